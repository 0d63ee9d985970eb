//! Handles one request of a caller: the steps that all requests share.
//!
//! The steps are, in this order: wait for routes, find the route, identify the tenant, read the body, choose the
//! service, check the planned stop, check the regions. Then `stream_call` continues with requests on streaming routes,
//! and `whole_call` with all others. `docs/DECISIONS.md` lists the rules in the same order.

use crate::buffer_budget::{BodyBuffer, BufferBudget, Source};
use crate::edge::abandoned::AbandonedCallGuard;
use crate::edge::body::AnswerBody;
use crate::edge::call::Call;
use crate::edge::gateway::Gateway;
use crate::edge::refusal::Refusal;
use crate::edge::routes::RouteTable;
use crate::edge::work::WorkGuard;
use crate::edge::{stream_call, whole_call};
use crate::logging::part;
use crate::ports::configuration::{Route, RouteKind};
use crate::ports::dialect::CallMetadata;
use bytes::Bytes;
use foxnotch_scheduler::configuration_denial::ConfigurationFreshness;
use foxnotch_scheduler::refusal::RefusalKind;
use foxnotch_scheduler::tenants::Tenant;
use http::{header, Request, Response};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The longest wait of a request for the first configuration. A gateway that has just started usually gets a
/// configuration from a peer within this time.
const MAX_CONFIGURATION_WAIT: Duration = Duration::from_millis(150);
/// Time between two checks for the first configuration.
const CONFIGURATION_POLL_PERIOD: Duration = Duration::from_millis(15);

impl Gateway {
    /// Serves one request. Logs and counts the request if it is refused.
    pub async fn serve(self: Arc<Self>, request: Request<Incoming>) -> Response<AnswerBody> {
        let arrived_at = Instant::now();
        let _work = WorkGuard::new(&self.pending_work);
        let metadata = self.dialect.read_call(request.headers());
        let attempt = metadata.attempt.clone();
        let abandon_guard = AbandonedCallGuard::new(&attempt, arrived_at, &self.metrics);
        let outcome = self.clone().process_request(request, metadata, arrived_at).await;
        abandon_guard.disarm();
        let mut response = match outcome {
            Ok(response) => response,
            Err(refusal) => {
                self.metrics.count_call(refusal.name(), arrived_at.elapsed());
                log::info!(
                    target: part::CALL,
                    "Call {attempt} refused: cause={} status={} after={:?}: {refusal}.",
                    refusal.name(),
                    refusal.status().as_u16(),
                    arrived_at.elapsed(),
                );
                refusal.to_response()
            }
        };
        if self.stop.get().is_some() {
            response.headers_mut().insert(header::CONNECTION, header::HeaderValue::from_static("close"));
        }
        response
    }

    /// The routes in force; waits up to [`MAX_CONFIGURATION_WAIT`] for them when the gateway has just started.
    async fn wait_for_routes(&self) -> Result<Arc<RouteTable>, Refusal> {
        if let Some(routes) = self.routes() {
            return Ok(routes);
        }
        self.members.watcher_role().watch_on_demand();
        let deadline = Instant::now() + MAX_CONFIGURATION_WAIT;
        loop {
            if let Some(routes) = self.routes() {
                return Ok(routes);
            }
            if Instant::now() >= deadline {
                return Err(Refusal::NoConfiguration);
            }
            tokio::time::sleep(CONFIGURATION_POLL_PERIOD).await;
        }
    }

    /// Returns the refusal for a request that the configuration denies, for example because no route matches. It is
    /// `denial` itself or, while the configuration may be outdated, a refusal that asks the caller to retry
    /// ([`foxnotch_scheduler::configuration_denial`]).
    fn denial_unless_outdated(&self, denial: Refusal) -> Refusal {
        let freshness = ConfigurationFreshness {
            is_behind: self.view.is_configuration_behind(),
            is_unconfirmed: self.view.is_configuration_unconfirmed(),
        };
        match freshness.replacement_for_denial() {
            None => denial,
            Some(RefusalKind::ConfigurationUnconfirmed) => Refusal::ConfigurationUnconfirmed,
            Some(_) => Refusal::ConfigurationBehind,
        }
    }

    /// Logs that no route serves a request, and returns the refusal. The log line states how long ago the store last
    /// answered this node or the node that its updates come from, which shows whether the configuration may be
    /// outdated.
    fn no_route_refusal(&self, routes: &RouteTable, metadata: &CallMetadata) -> Refusal {
        let version = routes.configuration().version;
        let watcher_role = self.members.watcher_role();
        log::info!(
            target: part::CALL,
            "Call {} has no route in the configuration in force that matches its host and path, so it is refused: \
             configuration={version} store_age={:?} watches={}; `store_age` is the time since the store last \
             answered this node or the node that sends it updates, `watches` tells whether this node watches the \
             store itself.",
            metadata.attempt,
            watcher_role.latest_contact_age(),
            watcher_role.must_watch(),
        );
        self.denial_unless_outdated(Refusal::NoRoute)
    }

    /// The tenant of a request. `None` when the configuration has no tenants, or when the route is open and the caller
    /// sent no key.
    fn identify_tenant(
        &self,
        routes: &RouteTable,
        route: &Route,
        metadata: &CallMetadata,
    ) -> Result<Option<Arc<Tenant>>, Refusal> {
        match routes.identify_tenant(metadata.key, route) {
            Ok(tenant) => Ok(tenant),
            Err(denial) => {
                let version = routes.configuration().version;
                log::info!(
                    target: part::CALL,
                    "Call {} has no tenant, because its key is missing or unknown, so it is refused: \
                     route={} key={} configuration={version}.",
                    metadata.attempt,
                    route.name,
                    denial.name(),
                );
                Err(self.denial_unless_outdated(Refusal::KeyDenied(denial)))
            }
        }
    }

    /// Runs the steps that all requests share, and then serves the call according to its route's kind.
    async fn process_request(
        self: Arc<Self>,
        request: Request<Incoming>,
        metadata: CallMetadata,
        arrived_at: Instant,
    ) -> Result<Response<AnswerBody>, Refusal> {
        let routes = self.wait_for_routes().await?;
        let (head, body) = request.into_parts();
        let host = head.headers.get(header::HOST).and_then(|host| host.to_str().ok());
        let host = host.ok_or(Refusal::Malformed("it names no host"))?;
        let matching_route = routes.find(host, head.uri.path());
        let route = matching_route.ok_or_else(|| self.no_route_refusal(&routes, &metadata))?.clone();
        let tenant = self.identify_tenant(&routes, &route, &metadata)?;
        let time = Duration::from_millis(metadata.deadline_ms.unwrap_or(u64::MAX).min(route.timeout_ms));
        let reading = read_body(body, routes.configuration().limits.body_bytes, &self.buffers);
        let read = tokio::time::timeout_at((arrived_at + time).into(), reading).await;
        let input = read.unwrap_or(Err(Refusal::OutOfTime)).map_err(|refusal| match refusal {
            Refusal::TooLarge(_) => self.denial_unless_outdated(refusal),
            other => other,
        })?;
        let service =
            self.service_balancer.next_service(&route).ok_or_else(|| self.denial_unless_outdated(Refusal::NoRoute))?;
        let version = routes.configuration().version;
        let call = Call::new(metadata, route, service, arrived_at, head, input).with_tenant(tenant, version);
        if self.stop.get().is_some_and(|stop| !stop.admits(Instant::now(), call.expires_at)) {
            return Err(Refusal::Stopping);
        }
        self.check_residency(&call)?;
        match call.route.kind {
            RouteKind::Streaming => stream_call::serve(self, call).await,
            RouteKind::Idempotent | RouteKind::NonIdempotent => {
                self.quotas.count_against_limit(&call, call.engine_search_deadline()).await?;
                whole_call::serve(&self, &call).await
            }
        }
    }
}

/// Reads a body of at most `limit` bytes.
async fn read_body(mut body: Incoming, limit: usize, budget: &Arc<BufferBudget>) -> Result<Bytes, Refusal> {
    let mut read = BodyBuffer::new(budget, Source::Payload);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Refusal::Malformed("its body ends early"))?;
        let Ok(data) = frame.into_data() else { continue };
        if read.len() + data.len() > limit {
            return Err(Refusal::TooLarge(limit));
        }
        read.append(&data).map_err(Refusal::BuffersFull)?;
    }
    Ok(read.freeze())
}
