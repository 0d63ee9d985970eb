//! Lists all reasons for which the gateway itself refuses a request or ends it with a failure.
//!
//! The gateway's messages and statuses, the table of Retry-After values, `foxnotch explain` and the operators' page are
//! checked against this list, so that a new reason cannot be missing from one of them.

/// Defines [`RefusalKind`] with `ALL` and `name`, so that neither can miss a variant.
macro_rules! refusal_kinds {
    ($($(#[$documentation:meta])* $kind:ident => $name:literal,)+) => {
        /// The reason for which the gateway itself refuses a request or ends it with a failure.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum RefusalKind {
            $($(#[$documentation])* $kind,)+
        }

        impl RefusalKind {
            /// All kinds, in the order of the steps of a request that can produce them.
            pub const ALL: &'static [Self] = &[$(Self::$kind,)+];

            /// The name in logs (`cause=`) and in the label `outcome` of `foxnotch_calls_total`.
            pub fn name(self) -> &'static str {
                match self {
                    $(Self::$kind => $name,)+
                }
            }
        }
    };
}

refusal_kinds! {
    /// This gateway has no configuration yet.
    NoConfiguration => "no_configuration",
    /// The request cannot be parsed.
    Malformed => "malformed",
    /// No route matches the host and path.
    NoRoute => "no_route",
    /// The request carries no tenant's key where the route requires one, or a key that no tenant has.
    KeyDenied => "key_denied",
    /// The body is longer than the configuration allows.
    TooLarge => "too_large",
    /// The gateway holds as many bytes of bodies as its memory allows.
    BuffersFull => "buffers_full",
    /// The request would be denied, but another node has a newer configuration than this gateway.
    ConfigurationBehind => "configuration_behind",
    /// The request would be denied, but the configuration comes from the replicas' disks and the store has not
    /// confirmed it.
    ConfigurationUnconfirmed => "configuration_unconfirmed",
    /// The gateway is stopping and could not finish the request.
    Stopping => "stopping",
    /// The route and the tenant allow no region in common.
    NoCommonRegion => "no_common_region",
    /// The service has no engine in the allowed regions.
    NoEngineInRegions => "no_engine_in_regions",
    /// No engine in the allowed regions is in service.
    NoneInServiceInRegions => "none_in_service_in_regions",
    /// No replica in the allowed regions can store the turn.
    NotKeptInRegions => "not_kept_in_regions",
    /// The previous turn cannot be read: too few replicas answer.
    ChainUnknown => "chain_unknown",
    /// The previous turn does not exist.
    NoSuchTurn => "no_such_turn",
    /// Too few replicas answer to reserve tokens.
    NoQuorum => "no_quorum",
    /// The program's token budget is exhausted.
    BudgetSpent => "budget_spent",
    /// Whether the program's token budget is exhausted is not known.
    BudgetUnknown => "budget_unknown",
    /// The software version at which the stream that the request resumes began is not known.
    StreamVersionUnknown => "stream_version_unknown",
    /// No engine in service has the software version at which the stream that the request resumes began.
    StreamVersionGone => "stream_version_gone",
    /// The previous turns are restricted to regions that are no longer allowed.
    ChainOutsideRegions => "chain_outside_regions",
    /// The tenant is over its limit.
    OverLimit => "over_limit",
    /// Whether the tenant is over its limit is not known, because no replica answers.
    LimitUnknown => "limit_unknown",
    /// Every engine that may serve the request is in a drained zone.
    ZonesDrained => "zones_drained",
    /// No engine that may serve the request can be reached.
    NoEngineReachable => "no_engine_reachable",
    /// How many engines have ended under the request is not known.
    EngineLossesUnknown => "engine_losses_unknown",
    /// Engines ended while they ran the request; the request may have run.
    EnginesEnded => "engines_ended",
    /// No engine has capacity left.
    NoRoom => "no_room",
    /// Too little of the request's time limit was left when the gateway could send the request to an engine.
    OutOfTime => "out_of_time",
    /// The response of an engine was lost; the request may have run.
    MayHaveRun => "may_have_run",
    /// No response arrived in time; the request may have run.
    TimedOut => "timed_out",
}

impl RefusalKind {
    /// Whether the request may have run. All other kinds guarantee that the request has not run, so the caller may send
    /// it again without a second run.
    pub fn may_have_run(self) -> bool {
        matches!(self, Self::EnginesEnded | Self::MayHaveRun | Self::TimedOut)
    }
}
