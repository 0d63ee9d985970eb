//! Error responses that the gateway generates itself, without an engine's answer.

use crate::buffer_budget::BuffersFull;
use crate::edge::body::AnswerBody;
pub use foxnotch_scheduler::refusal::RefusalKind;
use foxnotch_scheduler::residency::ResidencyDenial;
use foxnotch_scheduler::retry_after::RetryAdvice;
use foxnotch_scheduler::tenants::KeyDenial;
use http::{header, HeaderValue, Response, StatusCode};
use std::time::Duration;

/// Why the gateway refuses a request. The message is the body of the response and names the remedy.
///
/// "Not run" means that no engine has run the request, so the caller may send it again without running it twice.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// Not run: the gateway has not received a configuration yet.
    #[error("this gateway has no configuration yet; ask again")]
    NoConfiguration,
    /// Not run: the configuration denies the request, but another node has reported a newer configuration, which may
    /// allow the request.
    #[error("the route or the key is not known here, and a newer configuration is on its way; ask again after the time given")]
    ConfigurationBehind,
    /// Not run: the configuration denies the request. But that configuration comes from replicas' disks, and the
    /// platform's store has not confirmed it yet.
    #[error("what this asks for is not known here, and the platform's store has not confirmed the configuration yet; ask again after the time given")]
    ConfigurationUnconfirmed,
    /// Not run: the planned stop of the gateway leaves too little time for the request.
    #[error("this gateway stops before it could answer; ask again after the time given")]
    Stopping,
    /// Not run: no route matches the request's host and path, or the matching route has no service.
    #[error("no route serves this host and path; check both")]
    NoRoute,
    /// Not run: the request carries no key, or a key that no tenant has.
    #[error("this needs the key of a tenant, and the one given is {}; send a key that is in force", .0.name())]
    KeyDenied(KeyDenial),
    /// Not run: the request's tenant has exhausted its rate limit. Holds the time after which to retry.
    #[error("the tenant is over its limit; ask again after the time given, or have the limit raised")]
    OverLimit(Duration),
    /// Not run: no replica reported whether the request's tenant has exhausted its rate limit.
    #[error("whether the tenant is over its limit cannot be told now; ask again after the time given")]
    LimitUnknown,
    /// Not run: the request is malformed. Holds the reason.
    #[error("the request cannot be read ({0}); correct it")]
    Malformed(&'static str),
    /// Not run: the request's body is longer than the limit. Holds the limit in bytes.
    #[error("the body is over {0} bytes; send less")]
    TooLarge(usize),
    /// Not run: this process holds as many bytes of bodies as it may, so that it could not read the request or the turns
    /// that it continues.
    #[error("this gateway holds too much data to take this in ({0}); ask again after the time given")]
    BuffersFull(BuffersFull),
    /// Not run: no engine has room. Holds the time after which to retry.
    #[error("no engine has room; ask again after the time given")]
    NoRoom(Duration),
    /// Not run: none of the engines that may serve the request can be reached.
    #[error("no engine that may serve this can be reached; ask again after the time given, and check the engines if it lasts")]
    NoEngineReachable,
    /// Not run: all engines that may serve the request are in drained zones.
    #[error("every engine that may serve this is in a zone that is drained; have a zone taken back, or ask again after the time given")]
    ZonesDrained,
    /// Not run: no engine can serve the request in the regions to which the request is restricted. Holds the reason.
    #[error("this is bound to regions in which it cannot be served: {0}")]
    OutsideRegions(ResidencyDenial),
    /// Not run: no replica is in the regions in which the turn's text may be stored.
    #[error("turns of this route cannot be kept inside its regions: no replica is there; add a machine with a disk there, or widen the regions")]
    NotKeptInRegions,
    /// Not run: the turns that the request continues are restricted to regions in which the request may not be served.
    #[error("the turns that this one continues are bound to regions that its route and tenant do not allow any more; start anew, or allow them again")]
    ChainOutsideRegions,
    /// Not run: tokens could not be reserved for the turn, because the gateway knows no replica set or no quorum of
    /// replicas answered. Holds the text of the error.
    #[error("turns cannot be kept now ({0}); ask again after the time given")]
    NoQuorum(String),
    /// Not run: too few replicas answered to read the turns that the request continues.
    #[error("the turn that this one continues cannot be read now; ask again after the time given")]
    ChainUnknown,
    /// Not run: the turn that the request continues does not exist.
    #[error("the turn that this one continues does not exist; start anew")]
    NoSuchTurn,
    /// Not run: the program's token budget is exhausted.
    #[error("the program's budget is spent; raise it or end the program")]
    BudgetSpent,
    /// Not run: the program's token budget may be exhausted. That depends on whether turns use certain tickets, which
    /// the holders of these tickets did not report.
    #[error("whether the program's budget is spent cannot be told now; ask again after the time given")]
    BudgetUnknown,
    /// Not run: the stream that the request resumes may have begun at any of several software versions.
    #[error("at which software version this stream began is not known now; begin it anew, or ask again after the time given")]
    StreamVersionUnknown,
    /// Not run: no engine in service has the software version at which the stream began that the request resumes.
    #[error("no engine of the software version that began this stream is in service; begin it anew, or ask again after the time given")]
    StreamVersionGone,
    /// Not run: too little of the request's time was left when it could be sent to an engine.
    #[error("the time was over before an engine had room; ask again with more time")]
    OutOfTime,
    /// Not run: engines may have ended under earlier attempts of the request, and how many cannot be found out.
    #[error("whether engines end under this request cannot be told now; ask again after the time given")]
    EngineLossesUnknown,
    /// The request may have run: this number of engines ended while they ran it, so it is not sent to another one.
    #[error("{0} engines ended while they ran this request, so it is sent to no other engine; change the request, or have the engines' logs looked at")]
    EnginesEnded(usize),
    /// The request may have run: an engine's answer was lost or may not be forwarded, and no other engine answered.
    /// Holds the reason.
    #[error("the answer was lost ({0}); it may have run")]
    MayHaveRun(String),
    /// The request may have run: no answer arrived before the request's deadline.
    #[error("no answer came in time; it may have run")]
    TimedOut,
}

impl Refusal {
    /// The HTTP status of the response.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::NoRoute | Self::NoSuchTurn => StatusCode::NOT_FOUND,
            Self::KeyDenied(_) => StatusCode::UNAUTHORIZED,
            Self::OverLimit(_) => StatusCode::TOO_MANY_REQUESTS,
            Self::Malformed(_) => StatusCode::BAD_REQUEST,
            Self::TooLarge(_) => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BudgetSpent => StatusCode::PAYMENT_REQUIRED,
            Self::NoConfiguration
            | Self::ConfigurationBehind
            | Self::ConfigurationUnconfirmed
            | Self::Stopping
            | Self::BuffersFull(_)
            | Self::NoRoom(_)
            | Self::NoEngineReachable
            | Self::ZonesDrained
            | Self::NoQuorum(_)
            | Self::ChainUnknown
            | Self::LimitUnknown
            | Self::OutsideRegions(_)
            | Self::NotKeptInRegions
            | Self::ChainOutsideRegions
            | Self::BudgetUnknown
            | Self::StreamVersionUnknown
            | Self::StreamVersionGone
            | Self::EngineLossesUnknown
            | Self::OutOfTime => StatusCode::SERVICE_UNAVAILABLE,
            Self::EnginesEnded(_) | Self::MayHaveRun(_) => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// The time after which the caller may retry; `None` when the same request should not be sent again.
    pub fn retry_after(&self) -> Option<Duration> {
        let computed = match self {
            Self::NoRoom(delay) | Self::OverLimit(delay) => Some(*delay),
            _ => None,
        };
        RetryAdvice::of(self.kind()).retry_after(computed)
    }

    /// The kind of the refusal, without the details that its message holds.
    pub fn kind(&self) -> RefusalKind {
        match self {
            Self::NoConfiguration => RefusalKind::NoConfiguration,
            Self::ConfigurationBehind => RefusalKind::ConfigurationBehind,
            Self::ConfigurationUnconfirmed => RefusalKind::ConfigurationUnconfirmed,
            Self::Stopping => RefusalKind::Stopping,
            Self::NoRoute => RefusalKind::NoRoute,
            Self::KeyDenied(_) => RefusalKind::KeyDenied,
            Self::OverLimit(_) => RefusalKind::OverLimit,
            Self::LimitUnknown => RefusalKind::LimitUnknown,
            Self::Malformed(_) => RefusalKind::Malformed,
            Self::TooLarge(_) => RefusalKind::TooLarge,
            Self::BuffersFull(_) => RefusalKind::BuffersFull,
            Self::NoRoom(_) => RefusalKind::NoRoom,
            Self::NoEngineReachable => RefusalKind::NoEngineReachable,
            Self::ZonesDrained => RefusalKind::ZonesDrained,
            Self::OutsideRegions(denial) => RefusalKind::from(*denial),
            Self::NotKeptInRegions => RefusalKind::NotKeptInRegions,
            Self::ChainOutsideRegions => RefusalKind::ChainOutsideRegions,
            Self::NoQuorum(_) => RefusalKind::NoQuorum,
            Self::ChainUnknown => RefusalKind::ChainUnknown,
            Self::NoSuchTurn => RefusalKind::NoSuchTurn,
            Self::BudgetSpent => RefusalKind::BudgetSpent,
            Self::BudgetUnknown => RefusalKind::BudgetUnknown,
            Self::StreamVersionUnknown => RefusalKind::StreamVersionUnknown,
            Self::StreamVersionGone => RefusalKind::StreamVersionGone,
            Self::OutOfTime => RefusalKind::OutOfTime,
            Self::EngineLossesUnknown => RefusalKind::EngineLossesUnknown,
            Self::EnginesEnded(_) => RefusalKind::EnginesEnded,
            Self::MayHaveRun(_) => RefusalKind::MayHaveRun,
            Self::TimedOut => RefusalKind::TimedOut,
        }
    }

    /// The refusal's name in log lines and in labels of metrics.
    pub fn name(&self) -> &'static str {
        self.kind().name()
    }

    /// Builds the HTTP response for the caller.
    pub fn to_response(&self) -> Response<AnswerBody> {
        let mut response = Response::new(AnswerBody::whole(format!("{self}\n")));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        if let Some(delay) = self.retry_after() {
            if let Ok(value) = HeaderValue::from_str(&format!("{:.3}", delay.as_secs_f64())) {
                headers.insert(header::RETRY_AFTER, value);
            }
        }
        response
    }
}
