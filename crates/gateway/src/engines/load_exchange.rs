//! Tells other gateways what this one has under way.

use crate::edge::handler::Gateway;
use crate::engines::load_board::engine_number;
use crate::peers::members::Members;
use foxnotch_wire::{EngineLoad, LoadNews, Message, MAXIMUM_LOADS};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time between two messages while something changes.
const PERIOD: Duration = Duration::from_millis(120);
/// Time after which the same is told again: what was told is believed for a while only.
const REPEAT: Duration = Duration::from_millis(500);
/// Gateways told at a time.
const FANOUT: usize = 4;

fn loads(gateway: &Gateway) -> Vec<EngineLoad> {
    let engines = gateway.engines.all();
    let busy = engines.iter().filter(|engine| engine.under_way() > 0);
    let loads = busy.map(|engine| EngineLoad {
        engine: engine_number(&engine.entry.id),
        under_way: u16::try_from(engine.under_way()).unwrap_or(u16::MAX),
    });
    loads.take(MAXIMUM_LOADS as usize).collect()
}

/// Tells for ever.
pub async fn run(gateway: Arc<Gateway>, members: Arc<Members>) {
    let mut last = Vec::new();
    let mut told_at = Instant::now();
    loop {
        tokio::time::sleep(PERIOD).await;
        let now = loads(&gateway);
        let repeat = !now.is_empty() && told_at.elapsed() >= REPEAT;
        if now == last && !repeat {
            continue;
        }
        told_at = Instant::now();
        members.tell_gateways(FANOUT, &Message::LoadNews(LoadNews { loads: now.clone() }));
        last = now;
    }
}
