//! Whether all is well again, and what has to hold once it is: no turn is lost, and the rest can be upgraded.

use super::callers::Outcome;
use super::disk_watch::Told;
use super::faults::Condition;
use super::ledger::Violation;
use super::plan::GATEWAYS;
use super::processes::{all_nodes, name};
use super::run::{Soak, LOOK_PERIOD};
use foxnotch::http::HttpClient;
use std::time::Duration;
use volo_http::http::Method;

/// Time in which everything has to be well again after the faults.
const RECOVERY_TIME: Duration = Duration::from_secs(30);
/// Pause between two looks whether something is well again.
const RECOVERY_PAUSE: Duration = Duration::from_millis(200);

impl Soak {
    /// Waits until every gateway is ready and serves all kinds of requests by the newest configuration.
    pub(super) async fn wait_until_well(&mut self, when: &str) {
        let Ok(client) = HttpClient::new() else { return };
        let begun = Told::now(&self.disk);
        for gateway in 0..GATEWAYS {
            while let Err(what) = self.is_well(&client, gateway).await {
                self.look();
                if begun.elapsed(&self.disk) >= RECOVERY_TIME {
                    let what = format!("{when}, gateway {gateway} after {RECOVERY_TIME:?}: {what}");
                    self.ledger.violate(Violation::NotRecovered { what });
                    return;
                }
                tokio::time::sleep(RECOVERY_PAUSE).await;
            }
        }
    }

    async fn is_well(&self, client: &HttpClient, gateway: usize) -> Result<(), &'static str> {
        let address = self.addresses.readiness(gateway).to_string();
        let ready = client.exchange(Method::GET, &address, "/v1/readyz", &[], Vec::new(), RECOVERY_PAUSE * 5).await;
        if !ready.is_ok_and(|answer| answer.status.is_success()) {
            return Err("it is not ready");
        }
        if self.callers.look_at_configuration(client, gateway).await != Outcome::Done {
            return Err("it does not serve the newest route");
        }
        if self.callers.plain(client, gateway, false).await != Outcome::Done {
            return Err("it does not serve plain requests");
        }
        let turn = self.callers.run_turn(client, "recovery", &Default::default(), "hello\n").await;
        turn.map(|_| ()).ok_or("no turn is served")
    }

    /// Stops the machines that still run the older build, one after the other, each once all is well again.
    pub(super) async fn upgrade_the_rest(&mut self) {
        for node in all_nodes() {
            let is_older = |soak: &Self| soak.machines.get(&node).is_some_and(|(machine, _)| !machine.is_upgraded());
            if !is_older(self) {
                continue;
            }
            while is_older(self) {
                self.look();
                if self.machines.get(&node).is_some_and(|(_, condition)| *condition == Condition::Running) {
                    self.stop(node);
                }
                tokio::time::sleep(LOOK_PERIOD).await;
            }
            self.wait_until_well(&format!("after the upgrade of {}", name(node))).await;
        }
    }

    /// Continues turns that were answered whole: none may be lost.
    pub(super) async fn continue_turns(&self, client: &HttpClient) {
        let begun = Told::now(&self.disk);
        for turn in self.callers.whole_turns() {
            let mut continued = self.callers.run_turn(client, "continued", &turn, "more\n").await;
            while continued.is_none() && begun.elapsed(&self.disk) < RECOVERY_TIME {
                continued = self.callers.run_turn(client, "continued", &turn, "more\n").await;
            }
            if continued.is_none() {
                let what = format!("the turn {} cannot be continued", turn.attempt);
                self.ledger.violate(Violation::NotRecovered { what });
            }
        }
    }
}
