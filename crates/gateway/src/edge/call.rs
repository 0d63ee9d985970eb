//! A caller's request with its route, tenant and deadlines. No I/O.

use crate::edge::refusal::Refusal;
use crate::engines::engine::Engine;
use crate::ports::configuration::{Route, RouteKind};
use crate::ports::dialect::{CallMetadata, Dialect, ForwardedCall};
use bytes::Bytes;
use foxnotch_scheduler::placement_timeout::placement_timeout;
use foxnotch_scheduler::program_stage;
use foxnotch_scheduler::quota::ProgramStage;
use foxnotch_scheduler::residency::Residency;
use foxnotch_scheduler::retry::RepeatLimit;
use foxnotch_scheduler::tenants::Tenant;
use foxnotch_turns::identity::{request_key, RequestKey};
use foxnotch_turns::stream_origin::StreamOrigin;
use foxnotch_wire::RunLocation;
use http::{header, HeaderMap, Request};
use http_body_util::Full;
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

/// Hop-by-hop headers, which apply to one connection only and are not forwarded.
const CONNECTION_HEADERS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
];
/// Time before the caller's deadline that is reserved for returning the response to the caller.
const RETURN_TIME: Duration = Duration::from_millis(5);
/// The shortest time that an engine may be given. A request with less time left is not sent.
const MIN_ENGINE_TIME: Duration = Duration::from_millis(5);

/// A caller's request with its route, and the service that is to serve it.
pub struct Call {
    /// The values that the platform's headers of the request carry.
    pub metadata: CallMetadata,
    /// The tenant that the call belongs to, if any.
    pub tenant: Option<Arc<Tenant>>,
    /// The version of the configuration by which the tenant was identified.
    pub configuration_version: u64,
    /// Whether the call begins a new program or continues a running one, as far as the gateway knows. For a turn, the
    /// gateway updates the value once it has read the program's budget entries.
    pub stage: ProgramStage,
    /// The route that matches the request.
    pub route: Route,
    /// The regions in which the call may be served and its content may be stored: those that both the route and the
    /// tenant allow.
    pub residency: Residency,
    /// The name of the service whose engines may serve the call.
    pub service: String,
    /// The engine number of the engine that ran the program's previous turn; `None` when that engine is unknown. See
    /// [`Engine::number`].
    pub previous_engine: Option<u32>,
    /// Engine numbers of the engines at which turns of the program failed.
    pub avoided: Vec<u32>,
    /// The origin that the engine has to have because the call resumes a stream that began there; `None` for a call
    /// that begins a stream.
    pub required_origin: Option<StreamOrigin>,
    /// When the head of the request was received. The call's time limit starts then.
    pub arrived_at: Instant,
    /// The time by which the call has to be answered.
    pub expires_at: Instant,
    /// The method, path and headers of the request.
    pub head: http::request::Parts,
    /// The body that the caller sent.
    pub input: Bytes,
    /// The result of [`Self::request_key`], once it was needed.
    request_key: OnceLock<RequestKey>,
}

impl Call {
    /// Creates a call without a tenant. The call's deadline is the route's timeout after `arrived_at`, or an earlier
    /// one that the caller sets.
    pub fn new(
        metadata: CallMetadata,
        route: Route,
        service: String,
        arrived_at: Instant,
        head: http::request::Parts,
        input: Bytes,
    ) -> Self {
        let timeout_ms = metadata.deadline_ms.map_or(route.timeout_ms, |deadline| deadline.min(route.timeout_ms));
        let expires_at = arrived_at + Duration::from_millis(timeout_ms);
        Self {
            metadata,
            tenant: None,
            configuration_version: 0,
            stage: program_stage::PLAIN_REQUEST_STAGE,
            residency: route.residency.clone(),
            route,
            service,
            previous_engine: None,
            avoided: Vec::new(),
            required_origin: None,
            arrived_at,
            expires_at,
            head,
            input,
            request_key: OnceLock::new(),
        }
    }

    /// Sets the tenant, and the version of the configuration by which the tenant was identified. Also restricts the
    /// call to the tenant's regions.
    pub fn with_tenant(self, tenant: Option<Arc<Tenant>>, configuration_version: u64) -> Self {
        let residency = match &tenant {
            Some(tenant) => self.route.residency.intersection(&tenant.residency),
            None => self.residency,
        };
        Self { tenant, configuration_version, residency, request_key: OnceLock::new(), ..self }
    }

    /// The name of the call's tenant; empty when the call has none.
    pub fn tenant_name(&self) -> &str {
        self.tenant.as_ref().map_or("", |tenant| &tenant.name)
    }

    /// Identifies the request across its attempts. Attempts to resume a stream of a program have the key of the request
    /// that began it; others have the key of the stream.
    pub fn request_key(&self) -> RequestKey {
        *self.request_key.get_or_init(|| {
            if let (None, Some(stream)) = (&self.metadata.program, self.resumed_stream()) {
                return self.stream_key(stream);
            }
            let host = self.head.headers.get(header::HOST).map_or(&[][..], http::HeaderValue::as_bytes);
            let uri = &self.head.uri;
            let target = uri.path_and_query().map_or(uri.path(), http::uri::PathAndQuery::as_str);
            let method = self.head.method.as_str();
            let parts = [self.tenant_name().as_bytes(), method.as_bytes(), host, target.as_bytes()];
            let names = [&self.metadata.program, &self.metadata.session, &self.metadata.previous]
                .map(|name| name.as_deref().unwrap_or_default().as_bytes());
            request_key(parts.into_iter().chain(names).chain([&self.input[..]]))
        })
    }

    /// Whether the request can be told from equal ones of other callers, because it names a program or a stream.
    pub fn is_named(&self) -> bool {
        self.metadata.program.is_some() || self.resumed_stream().is_some()
    }

    /// The attempt that began the stream which the call resumes, if the call names it.
    pub fn resumed_stream(&self) -> Option<&str> {
        self.metadata.resumes.as_deref().filter(|_| self.resumes_stream())
    }

    /// The key that attempts to resume the stream of this call will have, if they can be told from equal requests only by
    /// the stream.
    pub fn begun_stream_key(&self) -> Option<RequestKey> {
        let is_resumable = self.route.resumable && self.is_model_call();
        (is_resumable && !self.is_named()).then(|| self.stream_key(&self.metadata.attempt))
    }

    fn stream_key(&self, begun_by: &str) -> RequestKey {
        request_key([self.tenant_name().as_bytes(), b"stream", begun_by.as_bytes()])
    }

    /// The tenant's priority if it has one, or else the route's.
    fn priority(&self) -> u8 {
        self.tenant.as_ref().and_then(|tenant| tenant.priority).unwrap_or(self.route.priority)
    }

    /// The time that an engine may use from now on; `None` when less than [`MIN_ENGINE_TIME`] is left.
    pub fn time_left_for_engine(&self) -> Option<Duration> {
        let time_left = self.expires_at.saturating_duration_since(Instant::now()).saturating_sub(RETURN_TIME);
        (time_left >= MIN_ENGINE_TIME).then_some(time_left)
    }

    /// Whether the call is on a streaming route: the engines that serve such routes run a model.
    pub fn is_model_call(&self) -> bool {
        self.route.kind == RouteKind::Streaming
    }

    /// Whether the caller has received events of a stream and asks for the rest of it.
    pub fn resumes_stream(&self) -> bool {
        let names_stream = self.metadata.resumes.is_some() || self.metadata.last_event.is_some();
        self.route.resumable && self.is_model_call() && names_stream
    }

    /// Whether an engine may serve the call as far as its software version is concerned.
    pub fn allows_version_of(&self, engine: &Engine) -> bool {
        self.required_origin.is_none_or(|required| engine.stream_origin() == Some(required))
    }

    /// The number of engines at which the call may run, according to its route.
    pub fn repetition_limit(&self) -> RepeatLimit {
        if self.route.is_repeatable() {
            RepeatLimit::AtMost(self.route.attempts)
        } else {
            RepeatLimit::Never
        }
    }

    /// The identifiers of the parts of the call's prompt, in order.
    pub fn part_ids(&self) -> Vec<u64> {
        self.metadata.parts.iter().map(|part| part.id).collect()
    }

    /// The engine and prompt to write into the program's budget entries when the call runs at `engine`. `None` for a
    /// stored turn, whose record names the engine, and for a request without prompt parts.
    pub fn run_location_at(&self, engine: &Engine) -> Option<RunLocation> {
        if self.route.retain {
            return None;
        }
        let last = self.metadata.parts.last()?;
        Some(RunLocation { engine: engine.number, part: last.id, prompt_tokens: self.metadata.prompt_tokens })
    }

    /// The deadline for finding an engine that has room ([`foxnotch_scheduler::placement_timeout`]).
    pub fn engine_search_deadline(&self) -> Instant {
        let objective = Duration::from_millis(self.route.objective_ms);
        let time_limit = self.expires_at.saturating_duration_since(self.arrived_at);
        self.arrived_at + placement_timeout(self.stage, objective, time_limit)
    }

    /// Builds the HTTP request for the engine with the identifier `engine`. `last_event` is the identifier of the last
    /// event that the caller has received, when the caller resumes a stream.
    ///
    /// # Errors
    /// [`Refusal::OutOfTime`] when too little time is left for an engine.
    pub fn build_engine_request(
        &self,
        dialect: &dyn Dialect,
        engine: &str,
        body: Bytes,
        last_event: Option<&str>,
    ) -> Result<Request<Full<Bytes>>, Refusal> {
        let time = self.time_left_for_engine().ok_or(Refusal::OutOfTime)?;
        let mut headers = self.head.headers.clone();
        remove_connection_headers(&mut headers);
        headers.remove(header::CONTENT_LENGTH);
        let runs_model = !self.metadata.parts.is_empty() || self.metadata.max_tokens > 0;
        let call = ForwardedCall {
            deadline_ms: time.as_millis() as u64,
            engine,
            tenant: self.tenant.as_ref().map(|tenant| tenant.name.as_str()),
            priority: runs_model.then(|| self.priority()),
            last_event,
        };
        dialect.write_call(&mut headers, &call);
        let mut request = Request::new(Full::new(body));
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = self.head.uri.clone();
        *request.headers_mut() = headers;
        Ok(request)
    }
}

/// Prepares the head of an engine's answer for the caller, to whom the gateway frames the body itself. An answer in
/// HTTP/1.0 is framed by the end of its connection, so the caller could not tell whether it is complete.
pub fn prepare_answer_head(head: &mut http::response::Parts) {
    head.version = http::Version::HTTP_11;
    remove_connection_headers(&mut head.headers);
    head.headers.remove(header::CONTENT_LENGTH);
}

/// Removes hop-by-hop headers, including those that the `Connection` header names.
fn remove_connection_headers(headers: &mut HeaderMap) {
    let named: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in named {
        headers.remove(name.as_str());
    }
    for name in CONNECTION_HEADERS {
        headers.remove(name);
    }
}
