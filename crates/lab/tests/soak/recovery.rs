//! Checks of the recovery after faults: all gateways serve requests, no completed turn is lost, and the remaining
//! machines can be upgraded.

use super::callers::Outcome;
use super::disk_watch::StallAdjustedInstant;
use super::faults::Condition;
use super::ledger::Violation;
use super::plan::GATEWAYS;
use super::processes::{all_nodes, node_name};
use super::run::{Soak, UPDATE_PERIOD};
use foxnotch::http::HttpClient;
use std::time::Duration;
use volo_http::http::Method;

/// Time within which all gateways must serve requests again after faults.
const RECOVERY_TIME: Duration = Duration::from_secs(30);
/// Number of streams that run while no fault is injected.
const STREAMS_WITHOUT_FAULTS: usize = 40;
/// Pause between two checks of a gateway.
const RECOVERY_PAUSE: Duration = Duration::from_millis(200);

impl Soak {
    /// Waits until every gateway is ready and serves all kinds of requests with the newest configuration. Records a
    /// violation after [`RECOVERY_TIME`].
    pub(super) async fn wait_until_recovered(&mut self, when: &str) {
        let Ok(client) = HttpClient::new() else { return };
        let started = StallAdjustedInstant::now(&self.disk);
        for gateway in 0..GATEWAYS {
            while let Err(what) = self.check_service(&client, gateway).await {
                self.update_machines();
                if started.elapsed(&self.disk) >= RECOVERY_TIME {
                    let what = format!("{when}, gateway {gateway} did not recover within {RECOVERY_TIME:?}: {what}");
                    self.ledger.record_violation(Violation::NotRecovered { what });
                    return;
                }
                tokio::time::sleep(RECOVERY_PAUSE).await;
            }
        }
    }

    async fn check_service(&self, client: &HttpClient, gateway: usize) -> Result<(), &'static str> {
        let address = self.addresses.readiness_address(gateway).to_string();
        let ready = client.exchange(Method::GET, &address, "/v1/readyz", &[], Vec::new(), RECOVERY_PAUSE * 5).await;
        if !ready.is_ok_and(|answer| answer.status.is_success()) {
            return Err("it is not ready");
        }
        if self.callers.check_newest_route(client, gateway).await != Outcome::Done {
            return Err("it does not serve the newest route");
        }
        if self.callers.send_plain_request(client, gateway, false).await != Outcome::Done {
            return Err("it does not serve plain requests");
        }
        let turn = self.callers.run_turn(client, "recovery", &Default::default(), "hello\n").await;
        turn.map(|_| ()).ok_or("it does not serve turns")
    }

    /// Restarts each machine that still runs the older build with the newest one. Waits after each restart until the
    /// system has recovered.
    pub(super) async fn upgrade_remaining_machines(&mut self) {
        for node in all_nodes() {
            let is_older = |soak: &Self| soak.machines.get(&node).is_some_and(|(machine, _)| !machine.is_upgraded());
            if !is_older(self) {
                continue;
            }
            while is_older(self) {
                self.update_machines();
                if self.machines.get(&node).is_some_and(|(_, condition)| *condition == Condition::Running) {
                    self.stop(node);
                }
                tokio::time::sleep(UPDATE_PERIOD).await;
            }
            self.wait_until_recovered(&format!("after the upgrade of {}", node_name(node))).await;
        }
    }

    /// Runs streams while no fault is injected except that engines break them, and records a violation if one does not
    /// end: an engine of the version that began it is in service throughout.
    pub(super) async fn resume_streams_without_faults(&mut self, client: &HttpClient) {
        let started = StallAdjustedInstant::now(&self.disk);
        let may_go_on = |_| started.elapsed(&self.disk) < RECOVERY_TIME;
        let streams = (0..STREAMS_WITHOUT_FAULTS).map(|_| self.callers.run_stream(client, may_go_on));
        let ended = futures_util::future::join_all(streams).await;
        let given_up = ended.iter().filter(|has_ended| !**has_ended).count();
        if given_up > 0 {
            let what = format!("without faults, {given_up} of {STREAMS_WITHOUT_FAULTS} streams did not end in time");
            self.ledger.record_violation(Violation::NotRecovered { what });
        }
    }

    /// Continues the stored completed turns. Records a violation for each that cannot be continued.
    pub(super) async fn continue_turns(&self, client: &HttpClient) {
        let started = StallAdjustedInstant::now(&self.disk);
        for turn in self.callers.completed_turns() {
            let mut continued = self.callers.run_turn(client, "continued", &turn, "more\n").await;
            while continued.is_none() && started.elapsed(&self.disk) < RECOVERY_TIME {
                continued = self.callers.run_turn(client, "continued", &turn, "more\n").await;
            }
            if continued.is_none() {
                let what = format!("the turn {} cannot be continued", turn.attempt);
                self.ledger.record_violation(Violation::NotRecovered { what });
            }
        }
    }
}
