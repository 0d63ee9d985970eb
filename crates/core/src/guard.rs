//! Safety mechanisms that a test can deactivate one at a time. The test shows that the simulator's oracle detects the
//! violation that follows.
//!
//! Without the build feature `guard-removal`, which is never enabled in a released build, every guard is active.

/// A mechanism on which one of the guarantees to callers depends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Guard {
    /// A replica refuses entries of an owner whose epoch is lower than the one that the replica has promised.
    FencingEpoch,
    /// The intent of a call is on the disks of a majority of replicas before the call is sent to an engine.
    IntentRecord,
    /// The maximum token use of a call is reserved in the budget before the call is sent to an engine.
    Reservation,
    /// An entry is committed only when a majority of replicas has stored it.
    Quorum,
    /// A replica with an empty disk fetches the histories of the other replicas before it votes.
    RefillVote,
    /// Only a newer configuration is applied.
    VersionCheck,
    /// A stopping node waits for its work in flight.
    Drain,
    /// The owner releases the engine memory of ended branches and programs.
    HoldRelease,
    /// An engine's answer is accepted only for the call and the attempt for which it was sent.
    AnswerIdentity,
    /// A call runs only after the earlier calls of its branch have ended.
    SequenceCheck,
}

/// Every guard.
pub const ALL_GUARDS: [Guard; 10] = [
    Guard::FencingEpoch,
    Guard::IntentRecord,
    Guard::Reservation,
    Guard::Quorum,
    Guard::RefillVote,
    Guard::VersionCheck,
    Guard::Drain,
    Guard::HoldRelease,
    Guard::AnswerIdentity,
    Guard::SequenceCheck,
];

/// The set of active guards.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Guards {
    #[cfg(feature = "guard-removal")]
    removed: Option<Guard>,
}

impl Guards {
    /// All guards except `guard`.
    #[cfg(feature = "guard-removal")]
    pub fn without(guard: Guard) -> Self {
        Self { removed: Some(guard) }
    }

    /// Whether `guard` is active.
    #[cfg(feature = "guard-removal")]
    pub fn is_active(self, guard: Guard) -> bool {
        self.removed != Some(guard)
    }

    /// Whether `guard` is active.
    #[cfg(not(feature = "guard-removal"))]
    pub fn is_active(self, _guard: Guard) -> bool {
        true
    }
}
