//! Tests tokens that are reserved ahead of a program's next turn, with real replicas and gateways. A replica holds the
//! ticket for the reserved tokens. A turn that takes the ticket is sent before a quorum answers. Whatever fails, a
//! program uses no more than its budget, and no turn is refused because of a ticket that no turn uses.

mod support;

use foxnotch_gateway::edge::tickets::TicketClient;
use foxnotch_gateway::edge::turn_cache::TurnCache;
use foxnotch_gateway::edge::turns::{Reservation, TurnClient};
use foxnotch_gateway::metrics::Metrics;
use foxnotch_gateway::peers::replica_client::ReplicaClient;
use foxnotch_gateway::peers::rpc_client::RpcClient;
use foxnotch_gateway::peers::view::{Origin, ViewHolder};
use foxnotch_gateway::ports::store::Kind;
use foxnotch_turns::ahead_entry::{revocable_ticket_key, ticket_holder};
use foxnotch_turns::identity::{node_id, program_key, turn_id};
use foxnotch_turns::replica_set::Tolerance;
use foxnotch_turns::reserve_ahead::ReclaimVerdict;
use foxnotch_wire::{
    NodeId, ProgramKey, ReplicaMember, ReplicaSet, RpcBody, TakeTicket, Ticket, TicketAnswer, TicketRequest, TurnEntry,
};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use support::cluster::{eventually, name, reservation, Cluster, ZoneLayout};
use support::engine::{Behaviour, StubEngine};
use support::gateway::{configuration, put_engine_entry, Answer, RunningGateway};

/// Two regions of one zone each: nodes with odd numbers are in zone `a`, the others in zone `b`.
const TWO_REGIONS: ZoneLayout = ZoneLayout {
    of_node: |number| if number % 2 == 1 { "a" } else { "b" },
    regions: &[("a", "region of a"), ("b", "region of b")],
};
/// Maximum wait for a metric or another condition.
const MAX_WAIT: Duration = Duration::from_secs(10);

/// Three replicas, an engine and a gateway that reserves tokens ahead.
struct Deployment {
    cluster: Cluster,
    gateway: RunningGateway,
    engine: StubEngine,
}

/// Starts a gateway that reserves tokens ahead, and waits until it knows all nodes that it needs for that.
async fn start_gateway(cluster: &Cluster, number: u8) -> RunningGateway {
    let gateway = RunningGateway::start_customized(cluster, number, cluster.store.clone(), |settings| {
        settings.policy.reserve_ahead = true;
        // No engine was lost before, so nothing has to be read before a turn is sent.
        settings.first_start = true;
    })
    .await;
    gateway.wait_ready().await;
    wait_until_nodes_are_known(cluster, number).await;
    gateway
}

/// Waits until a gateway knows the replicas and knows that all nodes support tickets. Before that the gateway reserves
/// no tokens ahead.
async fn wait_until_nodes_are_known(cluster: &Cluster, gateway: u8) {
    let until = Instant::now() + MAX_WAIT;
    loop {
        let RpcBody::Members(list) = cluster.call_replica(gateway, RpcBody::ShowMembers).await else {
            panic!("gateway {gateway} did not answer with its members")
        };
        let knows = |number: u8| list.members.iter().any(|member| member.node == node_id(&name(number)));
        let without_tickets = cluster.metric(gateway, "nodes_not_on_newest_protocol").await;
        if (1..=3).all(knows) && without_tickets == Some(0) {
            return;
        }
        assert!(
            Instant::now() < until,
            "gateway {gateway} knows too few replicas, or nodes_not_on_newest_protocol is not 0: {without_tickets:?}"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

impl Deployment {
    /// Starts a deployment with `net` as the third byte of the nodes' addresses. Each test has another net.
    async fn start(net: u8) -> Self {
        Self::start_on(Cluster::start(net, 3).await).await
    }

    async fn start_on(cluster: Cluster) -> Self {
        // A replica that is not synced accepts no reservation, and the first turn would get a 503.
        cluster.wait_until_synced(&[1, 2, 3]).await;
        cluster.store.put(Kind::Configuration, "main", configuration(1));
        let engine = StubEngine::start(Behaviour::Stream(vec!["data: x\n\n", "data: y\n\n"])).await;
        for service in ["turn", "draft"] {
            put_engine_entry(&cluster, &format!("e-{service}"), service, engine.address);
        }
        let gateway = start_gateway(&cluster, 50).await;
        Self { cluster, gateway, engine }
    }

    /// Starts a deployment in which a program has completed one turn of 18 tokens and has a ticket of 30 tokens. Also
    /// returns the number of the replica that holds the ticket.
    async fn start_with_ticket(net: u8, budget: u64) -> (Self, u8) {
        Self::start(net).await.with_ticket(budget).await
    }

    async fn with_ticket(self, budget: u64) -> (Self, u8) {
        let deployment = self;
        deployment.run_first_turn(budget).await;
        deployment.wait_for_ticket_count("deposited", 1).await;
        let holder = deployment.find_ticket_holder().await;
        (deployment, holder)
    }

    /// Runs the turn at whose end the gateway reserves the ticket's tokens. Replicas answer after their disks have
    /// synced, which may take longer on a busy machine than a turn waits. Such a turn is refused without having run,
    /// and is resent, as callers do.
    async fn run_first_turn(&self, budget: u64) {
        let until = Instant::now() + MAX_WAIT;
        for resends in 0.. {
            let answer = send_turn(&self.gateway, "draft", &format!("t1-{resends}"), budget, 30).await;
            if answer.status != 503 {
                assert_eq!(answer.status, 200, "{}", answer.body);
                return;
            }
            assert!(answer.has_retry_after() && Instant::now() < until, "{}", answer.body);
            // Gives the gateway time to release the tokens that the refused turn has reserved.
            tokio::time::sleep(Duration::from_millis(300)).await;
        }
    }

    async fn find_ticket_holder(&self) -> u8 {
        for number in 1..=3 {
            if self.cluster.metric(number, "tickets_held").await == Some(1) {
                return number;
            }
        }
        panic!("no replica holds a ticket");
    }

    /// Returns the gateway's number of tickets with this outcome.
    async fn ticket_count(&self, outcome: &str) -> u64 {
        let name = format!("tickets_total{{outcome=\"{outcome}\"}}");
        self.cluster.metric(50, &name).await.unwrap_or(0)
    }

    /// Makes a gateway open its connection to a replica, as every gateway has done after its first turns. Otherwise
    /// opening it would take part of the time that a turn waits for a ticket.
    async fn connect_to(&self, gateway: &RunningGateway, replica: u8) {
        let headers = "t-attempt: first\r\nt-deadline: 2000\r\nt-program: another\r\n";
        // The turn's response does not matter here, only that the turn's record arrives at the replica.
        gateway.send("POST /turn/", headers, "in").await;
        let until = Instant::now() + MAX_WAIT;
        while !self.cluster.holds(replica, turn_id("", "first").0).await {
            assert!(Instant::now() < until, "replica {replica} did not get the turn in time");
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    async fn wait_for_ticket_count(&self, outcome: &str, count: u64) {
        let until = Instant::now() + MAX_WAIT;
        while self.ticket_count(outcome).await < count {
            assert!(
                Instant::now() < until,
                "the gateway's count of tickets with the outcome {outcome} did not reach {count} in time"
            );
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    fn run_count(&self) -> usize {
        self.engine.received().len()
    }

    /// Takes a ticket that the holder keeps under this key.
    async fn take_ticket(&self, holder: u8, key: ProgramKey, budget: u64) -> Option<Ticket> {
        let request = TakeTicket { program: key, asker: 99, min_tokens: 1, budget };
        let answer = self.cluster.call_replica(holder, RpcBody::Ticket(TicketRequest::Take(request))).await;
        match answer {
            RpcBody::TicketAnswer(TicketAnswer::Given(ticket)) => Some(ticket),
            RpcBody::TicketAnswer(TicketAnswer::NoneHeld) => None,
            other => panic!("the holder answered {other:?}"),
        }
    }

    /// Claims the tokens of a taken ticket for the turn with this number, as its gateway does.
    async fn claim(&self, ticket: &Ticket, number: u128, budget: u64) -> Reservation {
        let program = program_key("", "p");
        let own = TurnEntry { program, ..reservation(number, 0, ticket.reserved) };
        let replaced = TurnEntry { turn: ticket.entry, ..own.clone() };
        let until = Instant::now() + MAX_WAIT;
        let claimed = self.cluster.turn_client.reserve_in_place_of(replaced, &own, budget, until).await;
        claimed.expect("a quorum answers")
    }
}

async fn send_turn(gateway: &RunningGateway, route: &str, attempt: &str, budget: u64, max_tokens: u32) -> Answer {
    let headers = format!(
        "t-attempt: {attempt}\r\nt-deadline: 2000\r\nt-program: p\r\nt-budget: {budget}\r\nt-most: {max_tokens}\r\nt-parts: a:400\r\n"
    );
    gateway.send(&format!("POST /{route}/"), &headers, "in").await
}

/// With two of three replicas down there is no quorum, so a turn without a ticket is refused, and a turn with a ticket,
/// which has run, is neither answered nor said not to have run.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_turn_with_a_ticket_is_sent_before_a_quorum_answers_and_hands_out_no_token_without_one() {
    let (mut deployment, holder) = Deployment::start_with_ticket(220, 500).await;
    for number in (1..=3).filter(|number| *number != holder) {
        deployment.cluster.kill(number);
    }
    let answer = send_turn(&deployment.gateway, "draft", "t2", 500, 30).await;
    assert_eq!(answer.status, 502, "{}", answer.body);
    assert!(!answer.body.contains("data:"), "{}", answer.body);
    assert_eq!((deployment.ticket_count("taken").await, deployment.ticket_count("claim_failed").await), (1, 1));
    assert_eq!(send_turn(&deployment.gateway, "draft", "t3", 500, 30).await.status, 503);
    assert_eq!(deployment.run_count(), 2);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stored_turn_with_a_ticket_can_be_continued() {
    let deployment = Deployment::start(221).await;
    for number in 1..=4 {
        let previous = if number == 1 { String::new() } else { format!("t-previous: t{}\r\n", number - 1) };
        let headers = format!(
            "t-attempt: t{number}\r\nt-deadline: 2000\r\nt-program: p\r\nt-budget: 500\r\nt-most: 30\r\n{previous}"
        );
        let answer = deployment.gateway.send("POST /turn/", &headers, &format!("in{number}")).await;
        assert_eq!((answer.status, answer.is_whole), (200, true), "turn {number}: {}", answer.body);
        deployment.wait_for_ticket_count("deposited", number).await;
    }
    assert_eq!(deployment.ticket_count("taken").await, 3);
    let last = deployment.engine.received().pop().expect("the engine received the last turn");
    let text = String::from_utf8_lossy(&last.body).into_owned();
    assert_eq!(text.matches("in").count(), 4, "the engine did not get the inputs of all four turns: {text}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn another_gateway_takes_the_ticket() {
    let (deployment, holder) = Deployment::start_with_ticket(222, 500).await;
    let other = start_gateway(&deployment.cluster, 51).await;
    deployment.connect_to(&other, holder).await;
    assert_eq!(send_turn(&other, "draft", "t2", 500, 30).await.status, 200);
    let taken = deployment.cluster.metric(51, "tickets_total{outcome=\"taken\"}").await;
    assert_eq!(taken, Some(1));
}

/// The ticket is held in the region of the previous turn, so a turn in another region finds no ticket. When the budget
/// does not cover the turn and the ticket, the holder in the first region gives the ticket back.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_turn_in_another_region_is_not_refused_because_of_a_ticket() {
    let cluster = Cluster::start_in(229, 3, TWO_REGIONS).await;
    let (deployment, holder) = Deployment::start_on(cluster).await.with_ticket(70).await;
    assert_eq!(holder, 2, "the only replica in the gateway's zone must hold the ticket");
    let other = start_gateway(&deployment.cluster, 51).await;
    let answer = send_turn(&other, "draft", "t2", 70, 30).await;
    assert_eq!(answer.status, 200, "{}", answer.body);
    let missed = deployment.cluster.metric(51, "tickets_total{outcome=\"missed\"}").await;
    assert_eq!(missed, Some(1));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn when_the_holder_dies_the_next_turn_is_reserved_on_a_quorum() {
    let (mut deployment, holder) = Deployment::start_with_ticket(223, 500).await;
    deployment.cluster.kill(holder);
    assert_eq!(send_turn(&deployment.gateway, "draft", "t2", 500, 30).await.status, 200);
    assert_eq!(deployment.ticket_count("taken").await, 0);
}

/// The holder answers too late: the turn is reserved on the other replicas, and the late ticket is released.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn when_the_holder_answers_too_late_the_turn_is_reserved_on_a_quorum_and_the_ticket_is_released() {
    let (deployment, holder) = Deployment::start_with_ticket(231, 80).await;
    let frozen = deployment.cluster.freeze(holder).await;
    let answer = send_turn(&deployment.gateway, "draft", "t2", 80, 30).await;
    assert_eq!((answer.status, answer.is_whole), (200, true), "{}", answer.body);
    assert_eq!((deployment.ticket_count("take_unanswered").await, deployment.ticket_count("taken").await), (1, 0));
    drop(frozen);
    deployment.wait_for_ticket_count("given_up", 1).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    // The first two turns used 18 tokens each, and this turn reserves 30. If the ticket still reserved 30, or if the
    // second turn counted twice, this turn would not fit into the budget of 80.
    let answer = send_turn(&deployment.gateway, "draft", "t3", 80, 30).await;
    assert_eq!(answer.status, 200, "{}", answer.body);
    assert_eq!(deployment.run_count(), 3);
}

/// The ticket of 30 tokens is lost with its holder, which does not come back. 18 tokens are used and the turn needs 30,
/// so it fits into the budget of 70 only because no turn uses the ticket.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_turn_is_not_refused_because_of_a_ticket_that_was_lost_with_its_holder() {
    let (mut deployment, holder) = Deployment::start_with_ticket(224, 70).await;
    deployment.cluster.kill(holder);
    let answer = send_turn(&deployment.gateway, "draft", "t2", 70, 30).await;
    assert_eq!((answer.status, answer.is_whole), (200, true), "{}", answer.body);
    assert_eq!(deployment.run_count(), 2);
}

/// All replicas lose their memory: every ticket of the program is lost, and the budget holds one turn more.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_turn_is_not_refused_because_of_a_ticket_that_was_lost_when_all_replicas_restarted() {
    let (mut deployment, _) = Deployment::start_with_ticket(218, 60).await;
    for number in 1..=3 {
        deployment.cluster.kill(number);
    }
    for number in 1..=3 {
        deployment.cluster.start_replica(number, false);
    }
    deployment.cluster.wait_until_synced(&[1, 2, 3]).await;
    // 18 tokens are used, so a turn of 30 fits into the budget of 60, and not beside the lost ticket of 30. Replicas
    // that have just started may not answer within the time that a turn waits for them.
    let until = Instant::now() + MAX_WAIT;
    let mut answer = send_turn(&deployment.gateway, "draft", "t2", 60, 30).await;
    while answer.status == 503 && !answer.body.contains("budget") && Instant::now() < until {
        tokio::time::sleep(Duration::from_millis(100)).await;
        answer = send_turn(&deployment.gateway, "draft", "t2", 60, 30).await;
    }
    assert_eq!((answer.status, answer.is_whole), (200, true), "{}", answer.body);
    tokio::time::sleep(Duration::from_millis(300)).await;
    // 36 tokens are used.
    assert_eq!(send_turn(&deployment.gateway, "draft", "t3", 60, 30).await.status, 402);
    assert_eq!(deployment.run_count(), 2);
}

/// The gateway that took the ticket was cut off before it claimed the tokens, and goes on once another turn has used
/// them. The same ticket is claimed twice in the end, as after a late copy of its deposit.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn tokens_of_a_ticket_are_not_used_twice_when_it_is_claimed_late_or_twice() {
    let (deployment, holder) = Deployment::start_with_ticket(225, 90).await;
    let key = revocable_ticket_key(program_key("", "p"));
    let ticket = deployment.take_ticket(holder, key, 90).await.expect("the ticket is held");
    // 18 tokens are used, the taken ticket reserves 30, and this turn reserves 30.
    assert_eq!(send_turn(&deployment.gateway, "draft", "t2", 90, 30).await.status, 200);
    tokio::time::sleep(Duration::from_millis(300)).await;
    // 36 tokens are used. Another 30 fit into the budget of 90 only because the ticket is not claimed.
    assert_eq!(send_turn(&deployment.gateway, "draft", "t3", 90, 30).await.status, 200);
    tokio::time::sleep(Duration::from_millis(300)).await;
    // 54 tokens are used, so the first late claim of 30 fits and the second one does not.
    assert!(deployment.claim(&ticket, 11, 90).await.granted);
    assert!(!deployment.claim(&ticket, 12, 90).await.granted);
    assert_eq!(send_turn(&deployment.gateway, "draft", "t4", 90, 30).await.status, 402);
    assert_eq!(deployment.run_count(), 3);
}

/// Gateways of builds that claim no tokens ask for tickets by the program's own key.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_gateway_that_claims_no_tokens_gets_no_ticket() {
    let (deployment, holder) = Deployment::start_with_ticket(219, 90).await;
    assert_eq!(deployment.take_ticket(holder, program_key("", "p"), 90).await, None);
    let entry = deployment.take_ticket(holder, revocable_ticket_key(program_key("", "p")), 90).await;
    let entry = entry.expect("the ticket is held").entry;
    assert_eq!(ticket_holder(entry), Some(node_id(&name(holder))), "older builds ask this holder about the entry");
}

/// 18 tokens used, 30 reserved ahead, and a turn of 40, for which the ticket is too small, exceed the budget of 70.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn tokens_reserved_ahead_are_reclaimed_before_a_turn_is_refused() {
    let (deployment, _) = Deployment::start_with_ticket(226, 70).await;
    let answer = send_turn(&deployment.gateway, "draft", "t2", 70, 40).await;
    assert_eq!(answer.status, 200, "{}", answer.body);
    assert_eq!(deployment.run_count(), 2);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_resent_turn_counts_the_tokens_of_its_first_attempt() {
    let (deployment, _) = Deployment::start_with_ticket(227, 90).await;
    deployment.engine.set(Behaviour::BrokenStream(vec!["data: x\n\n"]));
    let broken = send_turn(&deployment.gateway, "draft", "t2", 90, 30).await;
    assert!(!broken.is_whole);
    assert_eq!(deployment.ticket_count("taken").await, 1);
    deployment.engine.set(Behaviour::Stream(vec!["data: x\n\n", "data: y\n\n"]));
    tokio::time::sleep(Duration::from_millis(300)).await;
    // The turns use 18, 9 (the interrupted turn), 18 and 18 tokens, 63 in total. Another 30 do not fit into the budget
    // of 90.
    for (attempt, status) in [("t2-again", 200), ("t3", 200), ("t4", 402)] {
        assert_eq!(send_turn(&deployment.gateway, "draft", attempt, 90, 30).await.status, status, "{attempt}");
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_endless_program_is_stopped_by_its_budget() {
    let deployment = Deployment::start(228).await;
    let other = start_gateway(&deployment.cluster, 51).await;
    let mut stopped = 0;
    let mut sends = 0;
    while stopped < 5 {
        assert!(sends < 400, "the budget did not stop the program within 400 turns");
        let target = if sends % 3 == 0 { &other } else { &deployment.gateway };
        let answer = send_turn(target, "draft", &format!("t{sends}"), 400, 30).await;
        assert!([200, 402, 503].contains(&answer.status), "{}", answer.body);
        stopped += usize::from(answer.status == 402);
        sends += 1;
        // A short pause, so that some turns begin before the previous one is settled.
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let runs = deployment.run_count();
    // Each turn uses 18 tokens.
    assert!(runs * 18 <= 400, "{runs} turns of 18 tokens ran, more than the budget of 400 tokens allows");
    assert!(runs * 18 > 400 - 4 * 30, "only {runs} turns of 18 tokens ran with a budget of 400 tokens");
}

/// Returns a ticket client without a gateway, its counter of the work that a planned stop waits for, and its metrics.
fn standalone_ticket_client(view: Arc<ViewHolder>) -> (Arc<TicketClient>, Arc<AtomicUsize>, Arc<Metrics>) {
    let client = Arc::new(RpcClient::new(NodeId(61)));
    let replicas = Arc::new(ReplicaClient::without_relays(client.clone()));
    let tolerance = Tolerance { machines: 1, zones: 0 };
    let turns = Arc::new(TurnClient::new(replicas, view, TurnCache::new(10_000), 0, tolerance));
    let (in_flight, metrics) = (Arc::new(AtomicUsize::new(0)), Arc::new(Metrics::default()));
    let ticket_client =
        TicketClient::new(turns, client, None, true, metrics.clone()).with_pending_work(in_flight.clone());
    (Arc::new(ticket_client), in_flight, metrics)
}

#[tokio::test]
async fn a_planned_stop_waits_for_a_ticket_whose_answer_is_late() {
    let silent = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let port = silent.local_addr().expect("the listener is bound").port();
    let holder = ReplicaMember { node: NodeId(1), zone: 0, ip: [127, 0, 0, 1], port };
    let view = Arc::new(ViewHolder::default());
    view.adopt_set(&ReplicaSet { version: 1, members: vec![holder], previous: Vec::new() }, Origin::Store);
    let (client, in_flight, metrics) = standalone_ticket_client(view);
    let request = TakeTicket { program: program_key("", "p"), asker: 99, min_tokens: 1, budget: 100 };
    assert_eq!(client.take_ticket(request).await, None);
    assert_eq!(in_flight.load(Ordering::Relaxed), 1);
    eventually("the request for the late ticket ends", || in_flight.load(Ordering::Relaxed) == 0).await;
    let text = metrics.to_text();
    assert!(text.contains("tickets_total{outcome=\"late_unanswered\"} 1"), "{text}");
}

/// Without a quorum, the release lasts until its time limit.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_planned_stop_waits_for_the_release_of_reclaimed_tickets() {
    let (mut deployment, holder) = Deployment::start_with_ticket(230, 70).await;
    let entry = TurnEntry { program: program_key("", "p"), ..reservation(2, 0, 40) };
    let reserved = deployment.cluster.turn_client.reserve_tokens(&entry, 70, Instant::now() + MAX_WAIT).await;
    let budget_view = reserved.expect("a quorum answers").program;
    let (client, in_flight, metrics) = standalone_ticket_client(deployment.cluster.view.clone());
    for number in (1..=3).filter(|number| *number != holder) {
        deployment.cluster.kill(number);
    }
    assert_eq!(client.reclaim_before_refusal(&entry, &budget_view, 70, 99).await, ReclaimVerdict::Granted);
    assert_eq!(in_flight.load(Ordering::Relaxed), 1);
    eventually("the release ends", || in_flight.load(Ordering::Relaxed) == 0).await;
    assert!(metrics.to_text().contains("tickets_total{outcome=\"given_up\"} 1"));
}
