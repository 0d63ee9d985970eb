//! Callers: they send turns and plain requests, and record what they send and what they are answered.

use crate::fleet::Fleet;
use crate::http::{exchange, Answer, Request};
use crate::record::Record;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// The host of all routes.
pub const HOST: &str = "ficu95.example";
/// Time for which a caller waits, as on the small sites.
pub const DEADLINE_MS: u64 = 4000;

static NEXT_ATTEMPT: AtomicU64 = AtomicU64::new(1);

/// A new identifier of an attempt.
pub fn new_attempt() -> String {
    format!("{:016x}", 0x9c41_0000_0000_0000_u64 + NEXT_ATTEMPT.fetch_add(1, Ordering::Relaxed))
}

/// One turn of a program.
#[derive(Clone)]
pub struct Turn {
    pub program: String,
    pub path: String,
    pub previous: Option<String>,
    pub budget: Option<u64>,
    /// Tokens of the prompt, and the most that are generated.
    pub tokens: (u32, u32),
    /// When the program should end.
    pub program_ends_at: Instant,
    /// When the caller stops waiting, if it has sent this turn before; otherwise it waits [`DEADLINE_MS`] from now.
    pub deadline: Option<Instant>,
    pub input: Vec<u8>,
    /// The last event that the caller has of a stream, and the attempt that brought its first one.
    pub resumed: Option<(u32, String)>,
}

impl Turn {
    /// A first turn.
    pub fn first(program: &str, path: &str, input: &[u8]) -> Self {
        Self {
            program: program.to_owned(),
            path: path.to_owned(),
            previous: None,
            budget: None,
            tokens: (1840, 288),
            program_ends_at: Instant::now() + Duration::from_secs(20),
            deadline: None,
            input: input.to_vec(),
            resumed: None,
        }
    }
}

/// Sends a turn once. Returns its attempt and the answer.
pub fn send_turn(record: &Record, gateway: SocketAddr, turn: &Turn, on_piece: impl FnMut(&[u8])) -> (String, Answer) {
    let attempt = new_attempt();
    let left = |until: Instant| until.saturating_duration_since(Instant::now()).as_millis().to_string();
    let mut headers = vec![
        ("Host", HOST.to_owned()),
        ("X-Attempt-Id", attempt.clone()),
        ("X-Deadline-Ms", turn.deadline.map_or_else(|| DEADLINE_MS.to_string(), left)),
        ("X-Program-Id", turn.program.clone()),
        ("X-Session-Id", format!("{}-0", turn.program)),
        ("X-Program-Deadline-Ms", left(turn.program_ends_at)),
        ("X-Model", "m".to_owned()),
        ("X-Token-Count", format!("{},{}", turn.tokens.0, turn.tokens.1)),
        ("X-Prompt-Prefix", format!("5c1e07a2:512,{}:{}", &attempt[8..], turn.tokens.0.saturating_sub(512))),
    ];
    headers.extend(turn.budget.map(|budget| ("X-Token-Budget", budget.to_string())));
    headers.extend(turn.previous.clone().map(|previous| ("X-Previous-Turn", previous)));
    if let Some((last_event, begun_by)) = &turn.resumed {
        headers.push(("Last-Event-Id", last_event.to_string()));
        headers.push(("Resumes", begun_by.clone()));
    }
    record.line(&format!(
        "send    attempt={attempt} to={gateway} program={} previous={} budget={:?} bytes={} resumed={:?}",
        turn.program,
        turn.previous.as_deref().unwrap_or("-"),
        turn.budget,
        turn.input.len(),
        turn.resumed,
    ));
    let request = Request { method: "POST", path: &turn.path, headers: &headers, body: &turn.input };
    let timeout = Duration::from_millis(DEADLINE_MS + 1500);
    let answer = exchange(gateway, &request, timeout, on_piece);
    let text = if answer.status == 200 { String::new() } else { String::from_utf8_lossy(&answer.body).into_owned() };
    record.line(&format!(
        "answer  attempt={attempt} status={} bytes={} whole={} {}{}",
        answer.status,
        answer.body.len(),
        answer.is_whole,
        answer.error,
        text.trim(),
    ));
    (attempt, answer)
}

/// When a caller that sends a turn now stops waiting.
pub fn deadline_from_now() -> Instant {
    Instant::now() + Duration::from_millis(DEADLINE_MS)
}

/// Whether an engine has run an attempt, by the record.
pub fn has_run(record: &Record, attempt: &str) -> bool {
    let wanted = format!("attempt={attempt} ");
    record.lines().iter().any(|line| line.contains("  run ") && line.contains(&wanted))
}

/// Writes a configuration with one service of engines: kept turns under `/kept/`, streams that may be resumed under
/// `/open/`.
pub fn write_configuration(fleet: &Fleet) {
    let route = |name: &str, retain: bool| {
        format!(
            "{{\"name\":\"r-{name}\",\"host\":\"{HOST}\",\"path_prefix\":\"/{name}/\",\"route_type\":\"streaming\",\
             \"timeout_ms\":4000,\"target_ms\":200,\"priority\":1,\"service\":\"huvo11a\",\"attempts\":1,\
             \"retain\":{retain},\"retention_s\":60.0,\"sticky\":true,\"resumable\":{},\"gap_aim_ms\":200}}",
            !retain
        )
    };
    let routes = [route("kept", true), route("open", false)].join(",");
    let engine =
        "{\"slots\":12,\"kv_capacity\":127559,\"kv_bytes\":131072,\"link_mbps\":1100000.0,\"migrations\":true,\
                  \"backups\":true,\"tokens_per_event\":9,\"most\":12,\"pin_ms\":4000.0,\"hold_ms\":2000.0,\
                  \"handle_s\":5.0,\"models\":[{\"name\":\"m\"}]}";
    let spec = format!(
        "{{\"version\":7,\"routes\":[{routes}],\"services\":[{{\"name\":\"huvo11a\",\"health_path\":\"/healthz\",\
         \"max_conns\":160,\"protocol\":\"h1\",\"tls\":false,\"engine\":{engine}}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}}}}"
    );
    fleet.store.put("config", "main", &spec);
}

/// The service of the engines.
pub const SERVICE: &str = "huvo11a";
