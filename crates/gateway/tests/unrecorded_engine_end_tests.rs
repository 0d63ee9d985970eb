//! Engines that end under a request count although no gateway sees the end, can store it or can tell the others in time.

mod support;

use foxnotch_turns::engine_losses::LossRecord;
use foxnotch_wire::{NodeId, ProgramKey, ReadProgram, RpcBody, StoreEntries, StoreEntry};
use rstest::rstest;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::Duration;
use support::ended_engines::{Deployment, Request, ENGINES, MARKER, MAX_ENDED_ENGINES, TRIES};
use support::engine::{Behaviour, StubEngine};
use support::gateway::RunningGateway;
use support::older_node::{OlderGateway, OlderNode};

/// Number of the first gateway; the others follow.
const FIRST_GATEWAY: u8 = 50;
/// Number of gateways.
const GATEWAYS: u8 = 4;
/// The port at which nodes accept connections of other nodes.
const PEER_PORT: u16 = 7380;
/// Time after which a caller leaves that does not wait for an answer.
const PATIENCE: Duration = Duration::from_millis(150);
/// Time for which an engine works on a request before it ends.
const WORK: Duration = Duration::from_millis(400);

/// What hides the end of an engine from its gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Hidden {
    /// The caller leaves and tries again at another gateway at once, while the engine still works.
    CallerLeaves,
    /// The same, and the engine's machine falls silent instead of closing its connections.
    CallerLeavesSilentEngine,
    /// The gateway is killed while the engine works.
    GatewayKilled,
    /// The gateway and another one are killed while the engine works.
    TwoGatewaysKilled,
    /// No replica answers, so no record can be stored.
    NoReplica,
    /// The engine sends an answer to another request before it ends.
    OtherAnswerFirst,
    /// The engine reports a failure, and ends before the answer is complete.
    FailureCutShort,
}

impl Hidden {
    fn behaviour(self) -> Behaviour {
        match self {
            Self::CallerLeaves | Self::GatewayKilled | Self::TwoGatewaysKilled => {
                Behaviour::EndLaterUnder(MARKER, WORK)
            }
            Self::CallerLeavesSilentEngine => Behaviour::RestartMachineUnder(MARKER),
            Self::NoReplica => Behaviour::EndUnder(MARKER, Vec::new()),
            Self::OtherAnswerFirst => Behaviour::EndAfterOtherAnswerUnder(MARKER),
            Self::FailureCutShort => Behaviour::EndInFailureUnder(MARKER),
        }
    }
}

impl Hidden {
    /// Number of gateways that are killed in each try.
    fn killed_gateways(self) -> usize {
        match self {
            Self::GatewayKilled => 1,
            Self::TwoGatewaysKilled => 2,
            _ => 0,
        }
    }
}

/// Callers try a request again and again at one gateway after the other. At most [`MAX_ENDED_ENGINES`] engines end.
#[rstest]
#[case(180, Request::Repeatable, Hidden::CallerLeaves)]
#[case(181, Request::Turn, Hidden::CallerLeaves)]
#[case(182, Request::Unrepeatable, Hidden::CallerLeavesSilentEngine)]
#[case(183, Request::Turn, Hidden::CallerLeavesSilentEngine)]
#[case(184, Request::Unrepeatable, Hidden::GatewayKilled)]
#[case(185, Request::Turn, Hidden::GatewayKilled)]
#[case(186, Request::Unrepeatable, Hidden::NoReplica)]
#[case(187, Request::Unrepeatable, Hidden::OtherAnswerFirst)]
#[case(188, Request::Turn, Hidden::FailureCutShort)]
#[case(189, Request::ResumedStream, Hidden::CallerLeavesSilentEngine)]
#[case(194, Request::Unrepeatable, Hidden::TwoGatewaysKilled)]
#[case(195, Request::Turn, Hidden::TwoGatewaysKilled)]
#[case(196, Request::Repeatable, Hidden::NoReplica)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn engines_whose_end_is_hidden_from_their_gateway_count(
    #[case] net: u8,
    #[case] request: Request,
    #[case] hidden: Hidden,
) {
    let mut deployment = Deployment::start_with_engines(net, request, ENGINES, &hidden.behaviour()).await;
    let mut gateways = Vec::new();
    for number in FIRST_GATEWAY..FIRST_GATEWAY + GATEWAYS {
        gateways.push(Some(deployment.start_gateway(number).await));
    }
    // The gateways get to know each other.
    tokio::time::sleep(Duration::from_millis(1500)).await;
    if hidden == Hidden::NoReplica {
        (1..=3).for_each(|number| deployment.cluster.kill(number));
    }
    let mut statuses = Vec::new();
    for attempt in 0..TRIES {
        let place = attempt % gateways.len();
        let gateway = gateways[place].as_ref().expect("each gateway is started again");
        let killed_gateways = hidden.killed_gateways();
        let limit = if killed_gateways > 0 { WORK / 2 } else { PATIENCE };
        match hidden {
            Hidden::CallerLeaves
            | Hidden::CallerLeavesSilentEngine
            | Hidden::GatewayKilled
            | Hidden::TwoGatewaysKilled => {
                statuses.push(send_within(limit, gateway, request, attempt).await);
            }
            Hidden::NoReplica | Hidden::OtherAnswerFirst | Hidden::FailureCutShort => {
                statuses.push(request.send(gateway, attempt).await.status);
            }
        }
        let killed: Vec<usize> = (place..place + killed_gateways).map(|place| place % gateways.len()).collect();
        for place in &killed {
            gateways[*place].take().expect("the gateway runs").kill();
        }
        for place in killed {
            let number = FIRST_GATEWAY + u8::try_from(place).expect("there are few gateways");
            gateways[place] = Some(deployment.start_gateway(number).await);
        }
    }
    tokio::time::sleep(WORK * 2).await;
    let ended = deployment.ended_engines();
    assert!(ended <= MAX_ENDED_ENGINES, "{ended} engines ended under one request; its tries got {statuses:?}");
}

/// A caller sends many tries at once. The engines end later, when all tries are under way.
#[rstest]
#[case::one_gateway(190, 1)]
#[case::several_gateways(191, GATEWAYS)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn tries_at_the_same_time_count_each_other(#[case] net: u8, #[case] gateway_count: u8) {
    let request = Request::Unrepeatable;
    let behaviour = Behaviour::EndLaterUnder(MARKER, WORK);
    let deployment = Deployment::start_with_engines(net, request, ENGINES, &behaviour).await;
    let mut gateways = Vec::new();
    for number in FIRST_GATEWAY..FIRST_GATEWAY + gateway_count {
        gateways.push(deployment.start_gateway(number).await);
    }
    tokio::time::sleep(Duration::from_millis(1500)).await;
    let gateways = &gateways;
    let tries = (0..2 * TRIES).map(|attempt| async move {
        tokio::time::sleep(Duration::from_millis(20) * u32::try_from(attempt).expect("there are few tries")).await;
        request.send(&gateways[attempt % gateways.len()], attempt).await.status
    });
    let statuses = futures_util::future::join_all(tries).await;
    let ended = deployment.ended_engines();
    assert!(ended <= MAX_ENDED_ENGINES, "{ended} engines ended under one request; its tries got {statuses:?}");
}

/// Engines that end are started again at their address, with the same entry, and answer other requests there. Each end
/// counts.
#[rstest]
#[case(192, Request::Unrepeatable)]
#[case(193, Request::Repeatable)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_engine_that_ends_twice_at_its_address_counts_twice(#[case] net: u8, #[case] request: Request) {
    let behaviour = Behaviour::EndUnder(MARKER, Vec::new());
    let mut deployment = Deployment::start_with_engines(net, request, 2, &behaviour).await;
    let gateways = [deployment.start_gateway(FIRST_GATEWAY).await, deployment.start_gateway(FIRST_GATEWAY + 1).await];
    tokio::time::sleep(Duration::from_millis(1500)).await;
    let mut ended = 0;
    for attempt in 0..TRIES {
        request.send(&gateways[attempt % 2], attempt).await;
        for engine in &mut deployment.engines {
            if engine.has_ended() {
                ended += 1;
                *engine = StubEngine::start_at(engine.address, behaviour.clone()).await;
            }
        }
        // Both engines answer other requests, at both gateways.
        for number in 0..8 {
            let name = format!("h{attempt}-{number}");
            let headers = format!("t-attempt: {name}\r\nt-deadline: 2500\r\nt-program: {name}\r\n");
            gateways[number % 2].send(&format!("POST /{}/", request.route()), &headers, "harmless").await;
        }
    }
    assert!(ended <= MAX_ENDED_ENGINES, "engines ended {ended} times under one request");
}

/// The only other gateway runs an older build, which holds no records and gets nothing that it cannot read. The replicas
/// hold the sends of callers who leave.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn sends_beside_a_gateway_of_an_older_build_count() {
    let request = Request::Repeatable;
    let behaviour = Behaviour::EndLaterUnder(MARKER, WORK);
    let deployment = Deployment::start_with_engines(197, request, ENGINES, &behaviour).await;
    let gateway = deployment.start_gateway(FIRST_GATEWAY).await;
    let address = SocketAddrV4::new(deployment.cluster.ip(8), PEER_PORT);
    let node = OlderNode::start_at(address, BTreeMap::new()).await;
    let nodes = vec![deployment.cluster.peer_address(FIRST_GATEWAY)];
    let _older = OlderGateway::start(NodeId(8), address, nodes).await;
    tokio::time::sleep(Duration::from_millis(1500)).await;
    for attempt in 0..TRIES {
        send_within(PATIENCE, &gateway, request, attempt).await;
    }
    tokio::time::sleep(WORK * 2).await;
    let ended = deployment.ended_engines();
    assert!((1..=MAX_ENDED_ENGINES).contains(&ended), "{ended} engines ended under one request");
    assert_eq!(node.unreadable_count(), 0);
}

/// Gateways that only heard of a suspect from the lists of others do not list it, or they would tell each other of it for
/// good.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_suspect_is_listed_only_by_gateways_that_were_told_of_it() {
    let deployment = Deployment::start_with_engines(198, Request::Repeatable, 1, &Behaviour::Hang).await;
    let cluster = &deployment.cluster;
    let _told = deployment.start_gateway(FIRST_GATEWAY).await;
    let _other = deployment.start_gateway(FIRST_GATEWAY + 1).await;
    // A gateway that starts pulls what others hold, and lists it.
    tokio::time::sleep(Duration::from_millis(1500)).await;
    let suspect = ProgramKey(77);
    for engine in 1..=3 {
        let entry = LossRecord::Loss(engine).entry(suspect, Duration::from_secs(60));
        cluster.call_replica(FIRST_GATEWAY, RpcBody::StoreEntry(StoreEntry { set_version: 0, entry })).await;
    }
    // Each gateway asks another for its list once a second.
    tokio::time::sleep(Duration::from_millis(3500)).await;
    let list = async |number: u8| {
        let request = RpcBody::ReadProgram(ReadProgram { set_version: 0, program: ProgramKey(0) });
        let RpcBody::Stored(list) = cluster.call_replica(number, request).await else { panic!("no list came") };
        list.run_locations.iter().filter(|location| location.part == suspect.0).count()
    };
    assert_eq!((list(FIRST_GATEWAY).await, list(FIRST_GATEWAY + 1).await), (3, 0));
}

/// A gateway at the former address of a replica does not answer writes to the replica set, whose writer would count it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_gateway_holds_no_records_that_are_written_to_a_replica_set() {
    let deployment = Deployment::start_with_engines(199, Request::Repeatable, 1, &Behaviour::Hang).await;
    let _gateway = deployment.start_gateway(FIRST_GATEWAY).await;
    let answer_to = async |set_version: u64| {
        let entries = vec![LossRecord::Loss(1).entry(ProgramKey(77), Duration::from_secs(60))];
        let request = RpcBody::StoreEntries(StoreEntries { set_version, entries });
        deployment.cluster.call_replica(FIRST_GATEWAY, request).await
    };
    assert!(matches!(answer_to(0).await, RpcBody::Stored(_)));
    assert_eq!(answer_to(1).await, RpcBody::NotServed);
}

/// Sends a try, and leaves if there is no answer within this time. Returns the status; 0 without an answer.
async fn send_within(limit: Duration, gateway: &RunningGateway, request: Request, attempt: usize) -> u16 {
    tokio::time::timeout(limit, request.send(gateway, attempt)).await.map_or(0, |answer| answer.status)
}
