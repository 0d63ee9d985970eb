//! One engine: its entry in the list of engines, this gateway's requests in flight at it, its health, and idle
//! connections to it.

use crate::engines::connection::{ConnectionId, EngineConnection};
use crate::engines::part_cache::PromptPartCache;
use crate::engines::peer_loads::engine_number;
use crate::engines::reachability::EngineReachability;
use crate::engines::warmth::EngineWarmth;
use crate::locks::lock;
use crate::ports::configuration::EngineEntry;
use foxnotch_scheduler::engine_health::{EngineHealth, HealthRecord, OVERDUE_AFTER};
use foxnotch_scheduler::outliers::{OutcomeWindow, Outcomes};
use foxnotch_scheduler::slow_start::warmth::ColdCause;
use foxnotch_turns::stream_origin::StreamOrigin;
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};
use std::time::Instant;

/// The most idle connections to one engine.
const MAX_IDLE_CONNECTIONS: usize = 64;

/// The health of an engine, from this gateway's recent requests to it.
#[derive(Debug, Default)]
struct RecentHealth {
    record: HealthRecord,
    outcomes: OutcomeWindow,
    /// Send times of the requests that still wait for the head of their answer.
    waiting: Vec<Instant>,
}

/// This gateway's state of one engine, from when the engine is first listed until it is removed from the list or
/// restarts.
#[derive(Debug)]
pub struct Engine {
    /// The entry when the engine was first listed. Its `draining`, `cold_left_ms`, `started_at_ms` and
    /// `software_version` may be out of date.
    pub entry: EngineEntry,
    /// The address that the engine listens on.
    pub address: SocketAddr,
    /// The engine number: the value of [`engine_number`] for the engine's identifier. Turn records and the load reports
    /// between gateways name the engine by it.
    pub number: u32,
    /// Whether the engine is considered cold.
    pub warmth: EngineWarmth,
    /// Whether connections to the engine succeed.
    pub reachability: EngineReachability,
    /// When the engine started, in milliseconds since 1970; empty until one of its entries states it.
    started_at_ms: OnceLock<u64>,
    /// The version of the engine's software; unset until one of its entries states it.
    software_version: OnceLock<String>,
    /// Whether the engine's latest entry states the version. An entry that does not may describe another start.
    is_version_stated: AtomicBool,
    in_flight_requests: AtomicU32,
    draining: AtomicBool,
    /// Whether another engine now has this engine's address.
    replaced: AtomicBool,
    health: Mutex<RecentHealth>,
    idle_connections: Mutex<VecDeque<EngineConnection>>,
    /// When the engine was first listed. The times in the record and the outcomes of `health` are relative to this
    /// moment.
    listed_at: Instant,
    prompt_parts: Mutex<PromptPartCache>,
}

impl Engine {
    /// Creates an engine from its first entry; `None` if the entry's address cannot be parsed. `memory_tokens` is the
    /// engine's memory for prompts, in tokens; 0 if unknown.
    pub fn new(entry: EngineEntry, memory_tokens: u64) -> Option<Self> {
        let address = entry.address.parse().ok()?;
        let draining = AtomicBool::new(entry.draining);
        let number = engine_number(&entry.id);
        let started_at_ms = entry.started_at_ms.map_or_else(OnceLock::new, OnceLock::from);
        let is_version_stated = AtomicBool::new(entry.software_version.is_some());
        let software_version = entry.software_version.clone().map_or_else(OnceLock::new, OnceLock::from);
        Some(Self {
            entry,
            address,
            number,
            warmth: EngineWarmth::new(),
            reachability: EngineReachability::new(),
            started_at_ms,
            software_version,
            is_version_stated,
            in_flight_requests: AtomicU32::new(0),
            draining,
            replaced: AtomicBool::new(false),
            health: Mutex::default(),
            idle_connections: Mutex::default(),
            listed_at: Instant::now(),
            prompt_parts: Mutex::new(PromptPartCache::new(memory_tokens)),
        })
    }

    /// Whether an entry describes the same engine process: the same identifier and address, and neither a different
    /// start time nor a different software version.
    pub fn is_same_incarnation(&self, entry: &EngineEntry) -> bool {
        let (own, other) = (&self.entry, entry);
        // The start time and the version may be missing from the first entry or from a later one.
        let is_other_start =
            self.started_at_ms.get().zip(other.started_at_ms).is_some_and(|(known, listed)| *known != listed);
        let known_version = self.software_version.get().map(String::as_str);
        let is_other_version =
            known_version.zip(other.software_version.as_deref()).is_some_and(|(known, listed)| known != listed);
        own.id == other.id && own.address == other.address && !is_other_start && !is_other_version
    }

    /// Stores the engine's start time, unless it is `None` or a start time is already stored.
    pub fn set_start_time_if_unset(&self, started_at_ms: Option<u64>) {
        if let Some(started_at_ms) = started_at_ms {
            self.started_at_ms.get_or_init(|| started_at_ms);
        }
    }

    /// Identifies this start of the engine: an engine that starts again under its identifier gets another number. Equal
    /// to the engine number while the start time is unknown.
    pub fn start_number(&self) -> u32 {
        match self.started_at_ms.get() {
            Some(started_at_ms) => engine_number(&format!("{} {started_at_ms}", self.entry.id)),
            None => self.number,
        }
    }

    /// Applies the version of the engine's software in its latest entry, `None` if the entry does not state it. Stores
    /// the version unless one is already stored.
    pub fn apply_stated_software_version(&self, software_version: Option<&str>) {
        if let Some(version) = software_version {
            self.software_version.get_or_init(|| version.to_owned());
        }
        self.is_version_stated.store(software_version.is_some(), Ordering::Relaxed);
    }

    /// The version of the engine's software, empty if the engine states none; `None` while it is unknown.
    pub fn software_version(&self) -> Option<&str> {
        let version = self.software_version.get().map(String::as_str);
        version.filter(|_| self.is_version_stated.load(Ordering::Relaxed))
    }

    /// The origin of the streams that the engine begins; `None` while the version of its software is unknown.
    pub fn stream_origin(&self) -> Option<StreamOrigin> {
        self.software_version().map(|version| StreamOrigin::new(&self.entry.service, version))
    }

    /// Number of this gateway's requests in flight at the engine.
    pub fn in_flight_requests(&self) -> u32 {
        self.in_flight_requests.load(Ordering::Relaxed)
    }

    /// Counts a request as in flight until the returned guard is dropped.
    pub fn begin_request(self: &Arc<Self>) -> InFlightRequest {
        self.in_flight_requests.fetch_add(1, Ordering::Relaxed);
        InFlightRequest { engine: self.clone() }
    }

    /// Sets whether the engine is draining. It is if its latest entry says so, or if it was removed from the list.
    pub fn set_draining(&self, draining: bool) {
        self.draining.store(draining, Ordering::Relaxed);
    }

    /// Whether another engine has answered at this engine's address.
    pub fn is_replaced(&self) -> bool {
        self.replaced.load(Ordering::Relaxed)
    }

    /// Whether the engine may get new requests. It may if it is not draining and no other engine has its address.
    pub fn accepts_requests(&self) -> bool {
        !self.draining.load(Ordering::Relaxed) && !self.replaced.load(Ordering::Relaxed)
    }

    /// The health of the engine, from its recent refusals, failures and successes.
    pub fn health(&self) -> EngineHealth {
        let now = self.listed_at.elapsed();
        lock(&self.health).record.health(now)
    }

    /// Records that another engine now has this engine's address. Closes the idle connections, because this engine gets
    /// no more requests.
    pub fn note_replaced(&self) {
        self.replaced.store(true, Ordering::Relaxed);
        lock(&self.idle_connections).clear();
    }

    /// Records that the engine refused a request because it was full.
    pub fn note_full(&self) {
        let now = self.listed_at.elapsed();
        lock(&self.health).record.note_full(now);
    }

    /// Records that the engine gave a successful answer. It counts in the failure rate and in the engine's health.
    pub fn note_success(&self) {
        let mut health = lock(&self.health);
        health.outcomes.note_outcome(false, self.listed_at.elapsed());
        health.record.note_success();
    }

    /// Records an answer that reports a failure of the engine.
    pub fn note_failed_answer(&self) {
        lock(&self.health).outcomes.note_outcome(true, self.listed_at.elapsed());
    }

    /// The outcomes of this gateway's recent requests. Requests that have waited for the head of their answer for
    /// [`OVERDUE_AFTER`] or longer count as failed.
    pub fn outcomes(&self) -> Outcomes {
        let mut health = lock(&self.health);
        let overdue = health.waiting.iter().filter(|sent_at| sent_at.elapsed() >= OVERDUE_AFTER).count();
        let ended = health.outcomes.sum_window_ending_at(self.listed_at.elapsed());
        ended.plus(Outcomes { answered: 0, failed: u32::try_from(overdue).unwrap_or(u32::MAX) })
    }

    /// Records that a request was sent now and waits for the head of its answer. The wait ends when the returned guard
    /// is dropped.
    pub fn begin_waiting_for_head(self: &Arc<Self>) -> WaitingRequest {
        let sent_at = Instant::now();
        lock(&self.health).waiting.push(sent_at);
        WaitingRequest { engine: self.clone(), sent_at }
    }

    fn end_waiting_for_head(&self, sent_at: Instant) {
        let mut health = lock(&self.health);
        if let Some(index) = health.waiting.iter().position(|known| *known == sent_at) {
            health.waiting.swap_remove(index);
        }
        if sent_at.elapsed() >= OVERDUE_AFTER {
            health.outcomes.note_outcome(true, self.listed_at.elapsed());
        }
    }

    /// Records that the engine could not be reached or that it broke off an answer.
    pub fn note_failure(&self) {
        let now = self.listed_at.elapsed();
        let mut health = lock(&self.health);
        health.outcomes.note_outcome(true, now);
        health.record.note_failure(now);
    }

    /// Records that no connection to the engine could be opened, with the kind of the I/O error. Depending on the kind,
    /// the engine may now be considered unreachable, and also cold, since it may have restarted.
    pub fn note_unreachable(&self, kind: io::ErrorKind) {
        self.reachability.note_failure(&self.entry.id, kind);
        let cause = match kind {
            io::ErrorKind::ConnectionRefused | io::ErrorKind::ConnectionReset => ColdCause::Unreachable,
            io::ErrorKind::TimedOut | io::ErrorKind::HostUnreachable => ColdCause::ConnectTimeout,
            // Other errors do not concern the engine, for example when this machine has no free descriptors.
            _ => return,
        };
        self.warmth.assume_cold(&self.entry.id, cause);
    }

    /// Takes the usable connection that has been idle longest, so that all connections stay in use. Closes the unusable
    /// connections that it finds before that one, and passes over those in `used`.
    pub fn take_idle_connection(&self, used: &[ConnectionId]) -> Option<EngineConnection> {
        let mut idle_connections = lock(&self.idle_connections);
        idle_connections.retain(EngineConnection::is_usable);
        let unused = idle_connections.iter().position(|connection| !used.contains(&connection.id()))?;
        idle_connections.remove(unused)
    }

    /// Whether a usable idle connection exists.
    pub fn has_idle_connection(&self) -> bool {
        lock(&self.idle_connections).iter().any(EngineConnection::is_usable)
    }

    /// Adds a connection to the idle ones. Closes it instead if there are already [`MAX_IDLE_CONNECTIONS`], or if the
    /// engine gets no more requests.
    pub fn return_connection(&self, mut connection: EngineConnection) {
        connection.mark_idle();
        let mut idle_connections = lock(&self.idle_connections);
        if idle_connections.len() < MAX_IDLE_CONNECTIONS && self.accepts_requests() {
            idle_connections.push_back(connection);
        }
    }

    /// Closes this gateway's idle connections to the engine; connections in use stay open.
    pub fn close_idle_connections(&self) {
        lock(&self.idle_connections).clear();
    }

    /// The prompt parts that the engine's prompt cache probably holds.
    pub fn prompt_parts(&self) -> MutexGuard<'_, PromptPartCache> {
        lock(&self.prompt_parts)
    }
}

/// A guard for a request that waits for the head of its answer. If the wait took [`OVERDUE_AFTER`] or longer, the
/// request counts as failed, whether the head arrived in the end or the request was given up.
#[derive(Debug)]
pub struct WaitingRequest {
    engine: Arc<Engine>,
    sent_at: Instant,
}

impl Drop for WaitingRequest {
    fn drop(&mut self) {
        self.engine.end_waiting_for_head(self.sent_at);
    }
}

/// A guard that counts one request as in flight at an engine.
#[derive(Debug)]
pub struct InFlightRequest {
    engine: Arc<Engine>,
}

impl InFlightRequest {
    /// The engine that the request was sent to.
    pub fn engine(&self) -> &Arc<Engine> {
        &self.engine
    }
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        self.engine.in_flight_requests.fetch_sub(1, Ordering::Relaxed);
    }
}
