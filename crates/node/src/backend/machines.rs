//! Client of the machine list.

use crate::http::HttpClient;
use crate::logging::part;
use crate::protocol::engines::MachineList;
use foxnotch_core::effect::Event;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc;

/// Pause between two requests for the list.
const POLL_PERIOD: Duration = Duration::from_secs(1);
/// Timeout of one request for the list.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// Polls the machine list and reports it as an event, until the driver ends. While the list cannot be read, the last
/// one read stays in force.
pub async fn run_machine_list(client: HttpClient, address: SocketAddr, events: mpsc::Sender<Event>) {
    let address = address.to_string();
    let mut is_readable = true;
    let mut last_list = MachineList::default();
    loop {
        match client.get_json::<MachineList>(&address, "/v1/machines", REQUEST_TIMEOUT).await {
            Ok(list) => {
                is_readable = true;
                if list != last_list {
                    log::info!(target: part::MACHINES, "The machine list now has {} machines.", list.machines.len());
                    last_list = list.clone();
                }
                if events.send(Event::Machines(list.machines)).await.is_err() {
                    return;
                }
            }
            Err(error) if is_readable => {
                is_readable = false;
                log::warn!(target: part::MACHINES, "The machine list cannot be read, so the list that was read last stays in force: {error}.");
            }
            Err(_) => {}
        }
        tokio::time::sleep(POLL_PERIOD).await;
    }
}
