//! Headers of requests and answers: types for their content, and the trait that parses and writes them. If a header is
//! missing or cannot be parsed, the field for its content is empty. An empty field alone never makes a gateway reject a
//! request.

use foxnotch_scheduler::tenants::PresentedKey;
use http::HeaderMap;

/// A part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifies the part's content. Parts with the same identifier have the same text.
    pub id: u64,
    /// The part's length in tokens.
    pub tokens: u32,
}

/// The content of a request's headers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallMetadata {
    /// The identifier that the caller gave to this attempt; empty if it gave none.
    pub attempt: String,
    /// Milliseconds for which the caller will wait from now on; `None` if the caller sets no limit.
    pub deadline_ms: Option<u64>,
    /// Number of tokens in the prompt; 0 if unknown.
    pub prompt_tokens: u32,
    /// The most tokens that the engine may generate; 0 if unknown, as for services without a model.
    pub max_tokens: u32,
    /// The prompt's parts, in order.
    pub parts: Vec<PromptPart>,
    /// The program to which the request belongs.
    pub program: Option<String>,
    /// The session, a sequence of turns, to which the request belongs.
    pub session: Option<String>,
    /// Milliseconds from now until the program should end.
    pub program_deadline_ms: Option<u64>,
    /// The most tokens that all turns of the program may generate together.
    pub token_budget: Option<u64>,
    /// The turn that this one continues, named by the identifier of the attempt that produced it.
    pub previous: Option<String>,
    /// The identifier of the last event that the caller received from an earlier attempt.
    pub last_event: Option<String>,
    /// The identifier of the attempt that brought the first event of the stream that the caller resumes.
    pub resumes: Option<String>,
    /// The API key that authenticates the caller as a tenant.
    pub key: PresentedKey,
}

/// Values that the gateway sends to an engine as headers, in addition to the caller's own headers.
#[derive(Clone, Copy, Debug)]
pub struct ForwardedCall<'a> {
    /// Milliseconds that the engine has for the request.
    pub deadline_ms: u64,
    /// The identifier of the only engine that may run the request.
    pub engine: &'a str,
    /// The tenant to which the request belongs.
    pub tenant: Option<&'a str>,
    /// The priority of the request: 0 is served first; `None` for services without a model.
    pub priority: Option<u8>,
    /// The identifier of the last event that the caller received, if the caller resumes a stream.
    pub last_event: Option<&'a str>,
}

/// The content of the headers of an engine's answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AnswerMetadata {
    /// Whether the answer carries an engine's signature. The signature is not verified.
    pub sealed: bool,
    /// The identifier of the attempt that the engine answers.
    pub attempt: Option<String>,
    /// Whether the engine guarantees that it did not run the request.
    pub not_executed: bool,
}

/// Parses and writes the platform's headers.
pub trait Dialect: Send + Sync + 'static {
    /// Parses the headers of a caller's request.
    fn read_call(&self, headers: &HeaderMap) -> CallMetadata;
    /// Writes `call` into the headers of a request to an engine. `headers` are those of the caller's request; the
    /// headers that callers must not set are removed from them.
    fn write_call(&self, headers: &mut HeaderMap, call: &ForwardedCall<'_>);
    /// Parses the headers of an engine's answer.
    fn read_answer(&self, headers: &HeaderMap) -> AnswerMetadata;
    /// The path at which the platform checks whether a gateway is ready for connections.
    fn readiness_path(&self) -> &str;
}
