//! A request under which engines end is not sent to further engines, over tries, gateways, restarts and lost disks.

mod support;

use foxnotch_gateway::ports::configuration::EngineEntry;
use foxnotch_gateway::ports::store::{Kind, ObjectBody};
use rstest::rstest;
use std::time::Duration;
use support::ended_engines::{
    Deployment, Request, ENGINES, FIRST_GATEWAY, MARKER, MAX_ENDED_ENGINES, OTHER_GATEWAY, TRIES,
};
use support::engine::{Behaviour, StubEngine};
use support::gateway::{engine_entry, RunningGateway};

/// What happens between two tries of the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Between {
    /// The caller tries again at the same gateway.
    Nothing,
    /// The caller tries again at the other gateway.
    OtherGateway,
    /// The gateway is killed and starts again.
    GatewayRestart,
    /// Gateways and replicas are killed and start again; one replica loses its disk.
    PowerLossWithLostDisk,
}

/// Callers try the request again and again. At most [`MAX_ENDED_ENGINES`] engines end under it, and the others serve.
#[rstest]
#[case(160, Request::Repeatable, Between::Nothing)]
#[case(161, Request::Repeatable, Between::OtherGateway)]
#[case(162, Request::Repeatable, Between::GatewayRestart)]
#[case(163, Request::Repeatable, Between::PowerLossWithLostDisk)]
#[case(164, Request::Unrepeatable, Between::OtherGateway)]
#[case(165, Request::Turn, Between::Nothing)]
#[case(166, Request::Turn, Between::OtherGateway)]
#[case(167, Request::Turn, Between::GatewayRestart)]
#[case(168, Request::Turn, Between::PowerLossWithLostDisk)]
#[case(169, Request::ResumedStream, Between::OtherGateway)]
#[case(170, Request::ResumedStream, Between::PowerLossWithLostDisk)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_is_not_sent_on_after_three_engines_have_ended_under_it(
    #[case] net: u8,
    #[case] request: Request,
    #[case] between: Between,
) {
    let mut deployment = Deployment::start(net, request).await;
    let mut gateway = deployment.start_gateway(FIRST_GATEWAY).await;
    let mut other = deployment.start_gateway(OTHER_GATEWAY).await;
    let mut statuses = Vec::new();
    for attempt in 0..TRIES {
        statuses.push(request.send(&gateway, attempt).await.status);
        match between {
            Between::Nothing => {}
            Between::OtherGateway => std::mem::swap(&mut gateway, &mut other),
            Between::GatewayRestart => {
                gateway.kill();
                gateway = deployment.start_gateway(FIRST_GATEWAY).await;
            }
            Between::PowerLossWithLostDisk => {
                gateway.kill();
                other.kill();
                deployment.lose_power().await;
                gateway = deployment.start_gateway(FIRST_GATEWAY).await;
                other = deployment.start_gateway(OTHER_GATEWAY).await;
            }
        }
    }
    let ended = deployment.ended_engines();
    assert!(ended <= MAX_ENDED_ENGINES, "{ended} engines ended under one request; its tries got {statuses:?}");
    assert!(!statuses.iter().any(|status| [408, 421, 429, 503].contains(status)), "it has run: {statuses:?}");
    tokio::time::sleep(Duration::from_millis(300)).await;
    let headers = "t-attempt: harmless\r\nt-deadline: 2500\r\n";
    let harmless = gateway.send(&format!("POST /{}/", request.route()), headers, "harmless").await;
    assert!(harmless.status == 200 && harmless.is_whole && harmless.body.contains("done"), "{harmless:?}");
}

/// Connections break under a request while its engines go on running. Nothing tells such an engine from one that has
/// ended and was started again, so the request is refused after three; all others are served by the same engines.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_is_not_sent_on_after_three_broken_connections_although_its_engines_answer_others() {
    let request = Request::Repeatable;
    let deployment = Deployment::start_with_engines(171, request, 4, &Behaviour::CloseUnder(MARKER)).await;
    let gateway = deployment.start_gateway(FIRST_GATEWAY).await;
    // The gateway finds out that there is no other.
    tokio::time::sleep(Duration::from_millis(1500)).await;
    for attempt in 0..TRIES {
        let answer = request.send(&gateway, attempt).await;
        assert_eq!(answer.status, 502, "{answer:?}");
        assert_eq!(deployment.marked_requests(), (2 * (attempt + 1)).min(MAX_ENDED_ENGINES), "{answer:?}");
        for number in 0..4 {
            let name = format!("h{attempt}-{number}");
            let headers = format!("t-attempt: {name}\r\nt-deadline: 2500\r\nt-program: {name}\r\n");
            assert_eq!(gateway.send("POST /read/", &headers, "harmless").await.status, 200);
        }
    }
    // The engines that closed connections answer others.
    let never_closed = |engine: &&StubEngine| !engine.received().iter().any(|received| received.contains(MARKER));
    deployment.engines.iter().filter(never_closed).for_each(|engine| engine.set(Behaviour::Full));
    let headers = "t-attempt: last\r\nt-deadline: 2500\r\nt-program: last\r\n";
    assert_eq!(gateway.send("POST /read/", headers, "harmless").await.status, 200);
    // The same content in another program is another request.
    deployment.engines.iter().for_each(|engine| engine.set(Behaviour::Answer("done")));
    let headers = "t-attempt: other\r\nt-deadline: 2500\r\nt-program: other\r\n";
    assert_eq!(gateway.send("POST /read/", headers, MARKER).await.status, 200);
}

/// Requests without a program of several callers are equal. After three lost engines they are refused until the deadline
/// of the last lost one has passed, also if one was served in between; before and afterwards they are served.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn equal_requests_without_a_program_are_refused_after_three_ends_until_their_deadline() {
    let deadline = Duration::from_millis(1500);
    let deployment = Deployment::start_with_engines(156, Request::Unrepeatable, ENGINES, &Behaviour::Hang).await;
    let gateway = deployment.start_gateway(FIRST_GATEWAY).await;
    let send = async |number: usize| {
        let headers = format!("t-attempt: e{number}\r\nt-deadline: {}\r\n", deadline.as_millis());
        gateway.send("POST /write/", &headers, "equal").await.status
    };
    let received = || deployment.engines.iter().map(|engine| engine.received().len()).sum::<usize>();
    for number in 0..MAX_ENDED_ENGINES {
        let before = received();
        let end_engine = async {
            while received() == before {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
            let name = format!("e{number}");
            let runs_it = |engine: &&StubEngine| {
                engine.received().iter().any(|request| request.header("t-attempt") == Some(name.as_str()))
            };
            deployment.engines.iter().find(runs_it).expect("an engine got the request").end();
        };
        assert_eq!(tokio::join!(send(number), end_engine).0, 502);
        deployment
            .engines
            .iter()
            .for_each(|engine| engine.set(Behaviour::AnswerAfter(Duration::from_millis(50), "done")));
        let others = [100, 200, 300, 400, 500].map(|base| send(base + number));
        let expected = if number + 1 < MAX_ENDED_ENGINES { 200 } else { 502 };
        assert_eq!(futures_util::future::join_all(others).await, [expected; 5], "after {} ends", number + 1);
        deployment.engines.iter().for_each(|engine| engine.set(Behaviour::Hang));
    }
    deployment.engines.iter().for_each(|engine| engine.set(Behaviour::Answer("done")));
    let before = received();
    assert_eq!(send(600).await, 502);
    assert_eq!(received(), before);
    tokio::time::sleep(deadline).await;
    assert_eq!(send(601).await, 200);
}

/// Sends a request that an engine does not answer, and ends this engine. Returns whether an engine received it.
async fn lose_engine_under(deployment: &Deployment, gateway: &RunningGateway, attempt: usize) -> bool {
    let name = format!("a{attempt}");
    let is_running = |engine: &&StubEngine| {
        engine.received().iter().any(|received| received.header("t-attempt") == Some(name.as_str()))
    };
    let end_engine = async {
        for _ in 0..100 {
            if let Some(engine) = deployment.engines.iter().find(is_running) {
                engine.end();
                return true;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        false
    };
    let (answer, has_ended) = tokio::join!(Request::Unrepeatable.send(gateway, attempt), end_engine);
    assert_eq!(answer.status, 502, "{answer:?}");
    has_ended
}

/// Engines end one after the other, whatever they run. A request that was running at three of them is not sent again,
/// however many others have ended.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_is_not_sent_on_after_three_ends_among_many_other_ends() {
    let deployment = Deployment::start_with_engines(172, Request::Unrepeatable, 14, &Behaviour::Hang).await;
    let gateway = deployment.start_gateway(FIRST_GATEWAY).await;
    for attempt in 0..MAX_ENDED_ENGINES {
        assert!(lose_engine_under(&deployment, &gateway, attempt).await);
    }
    deployment.engines.iter().filter(|engine| !engine.has_ended()).take(6).for_each(StubEngine::end);
    // The gateway finds out by other requests that these engines have ended.
    deployment.engines.iter().for_each(|engine| engine.set(Behaviour::Answer("done")));
    for number in 0..60 {
        let headers = format!("t-attempt: other{number}\r\nt-deadline: 2500\r\n");
        assert_eq!(gateway.send("POST /write/", &headers, "other").await.status, 200);
    }
    let before = deployment.marked_requests();
    assert_eq!(Request::Unrepeatable.send(&gateway, MAX_ENDED_ENGINES).await.status, 502);
    assert_eq!(deployment.marked_requests(), before);
}

/// Two engines end under a request, the request is served, and a third engine ends under it. All three count, because
/// the answer may not have reached the caller, whose next try is the same request.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_is_not_sent_on_after_three_ends_although_it_was_served_between_them() {
    let deployment = Deployment::start_with_engines(173, Request::Unrepeatable, ENGINES, &Behaviour::Hang).await;
    let gateway = deployment.start_gateway(FIRST_GATEWAY).await;
    let other = deployment.start_gateway(OTHER_GATEWAY).await;
    for attempt in 0..2 {
        assert!(lose_engine_under(&deployment, &gateway, attempt).await);
    }
    deployment.engines.iter().for_each(|engine| engine.set(Behaviour::Answer("done")));
    assert_eq!(Request::Unrepeatable.send(&other, 2).await.status, 200);
    tokio::time::sleep(Duration::from_millis(300)).await;
    deployment.engines.iter().for_each(|engine| engine.set(Behaviour::Hang));
    assert!(lose_engine_under(&deployment, &gateway, 3).await);
    deployment.engines.iter().for_each(|engine| engine.set(Behaviour::Answer("done")));
    let before = deployment.marked_requests();
    assert_eq!(Request::Unrepeatable.send(&gateway, 5).await.status, 502);
    assert_eq!(Request::Unrepeatable.send(&other, 6).await.status, 502);
    assert_eq!(deployment.marked_requests(), before);
}

/// A gateway is killed while an engine runs the request, so nobody sees the engine's connection break.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn engines_that_end_after_their_gateway_was_killed_count() {
    let work = Duration::from_millis(250);
    let behaviour = Behaviour::EndLaterUnder(MARKER, work);
    let deployment = Deployment::start_with_engines(174, Request::Unrepeatable, ENGINES, &behaviour).await;
    let mut gateway = deployment.start_gateway(FIRST_GATEWAY).await;
    assert_eq!(Request::Unrepeatable.send(&gateway, 0).await.status, 502);
    for attempt in 1..TRIES {
        let before = deployment.marked_requests();
        let killed_while_running = async {
            for _ in 0..40 {
                if deployment.marked_requests() > before {
                    return;
                }
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        };
        tokio::select! {
            _ = Request::Unrepeatable.send(&gateway, attempt) => {}
            () = killed_while_running => {}
        }
        gateway.kill();
        tokio::time::sleep(work + Duration::from_millis(50)).await;
        gateway = deployment.start_gateway(FIRST_GATEWAY).await;
    }
    let ended = deployment.ended_engines();
    assert!(ended <= MAX_ENDED_ENGINES, "{ended} engines ended under one request");
}

/// The machines of engines restart under a request. Their connections stay silent, so the request ends at its deadline.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn engines_whose_machines_restart_without_closing_connections_count() {
    let behaviour = Behaviour::RestartMachineUnder(MARKER);
    let deployment = Deployment::start_with_engines(175, Request::Unrepeatable, ENGINES, &behaviour).await;
    let gateway = deployment.start_gateway(FIRST_GATEWAY).await;
    let other = deployment.start_gateway(OTHER_GATEWAY).await;
    let mut statuses = Vec::new();
    for attempt in 0..TRIES {
        let at = if attempt % 2 == 0 { &gateway } else { &other };
        let headers = format!("t-attempt: a{attempt}\r\nt-deadline: 600\r\nt-program: p\r\n");
        statuses.push(at.send("POST /write/", &headers, MARKER).await.status);
    }
    let ended = deployment.ended_engines();
    assert!(ended <= MAX_ENDED_ENGINES, "{ended} engines ended under one request; its tries got {statuses:?}");
}

/// The caller leaves each time before the engine under its request ends.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn engines_that_end_after_the_caller_has_left_count() {
    let work = Duration::from_millis(250);
    let behaviour = Behaviour::EndLaterUnder(MARKER, work);
    let deployment = Deployment::start_with_engines(176, Request::Unrepeatable, ENGINES, &behaviour).await;
    let gateway = deployment.start_gateway(FIRST_GATEWAY).await;
    let other = deployment.start_gateway(OTHER_GATEWAY).await;
    for attempt in 0..TRIES {
        let at = if attempt % 2 == 0 { &gateway } else { &other };
        let _ = tokio::time::timeout(work / 2, Request::Unrepeatable.send(at, attempt)).await;
        tokio::time::sleep(work * 2).await;
    }
    let ended = deployment.ended_engines();
    assert!(ended <= MAX_ENDED_ENGINES, "{ended} engines ended under one request");
}

/// After a loss of all power the replicas do not come back, so no gateway can find out how many engines have ended.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_whose_ended_engines_cannot_be_read_is_not_sent() {
    let mut deployment = Deployment::start(177, Request::Repeatable).await;
    let gateway = deployment.start_gateway(FIRST_GATEWAY).await;
    for attempt in 0..TRIES {
        Request::Repeatable.send(&gateway, attempt).await;
    }
    assert_eq!(deployment.ended_engines(), MAX_ENDED_ENGINES);
    gateway.kill();
    (1..=3).for_each(|number| deployment.cluster.kill(number));
    let gateway = deployment.start_gateway(FIRST_GATEWAY).await;
    for attempt in TRIES..2 * TRIES {
        let answer = Request::Repeatable.send(&gateway, attempt).await;
        assert!(answer.status == 503 && answer.has_retry_after(), "{answer:?}");
    }
    assert_eq!(deployment.ended_engines(), MAX_ENDED_ENGINES);
}

/// An engine that ends is started again at its address under its identifier. Each start that ends counts.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn each_start_of_an_engine_under_its_identifier_counts() {
    let behaviour = Behaviour::EndUnder(MARKER, Vec::new());
    let deployment = Deployment::start_with_engines(178, Request::Unrepeatable, 0, &behaviour).await;
    let gateway = deployment.start_gateway(FIRST_GATEWAY).await;
    let mut engine = StubEngine::start(behaviour.clone()).await;
    let mut ended = 0;
    for attempt in 0..TRIES {
        let entry =
            EngineEntry { started_at_ms: Some(1000 + attempt as u64), ..engine_entry("e0", "write", engine.address) };
        deployment.cluster.store.put(Kind::Engines, "e0", ObjectBody::Engine(entry));
        for probe in 0..200 {
            let headers = format!("t-attempt: probe{attempt}-{probe}\r\nt-deadline: 2500\r\n");
            if gateway.send("POST /write/", &headers, "harmless").await.status == 200 {
                break;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        // The entry of the new start has to reach the gateway.
        tokio::time::sleep(Duration::from_millis(300)).await;
        Request::Unrepeatable.send(&gateway, attempt).await;
        if engine.has_ended() {
            ended += 1;
            let address = engine.address;
            drop(engine);
            engine = StubEngine::start_at(address, behaviour.clone()).await;
        }
    }
    assert_eq!(ended, MAX_ENDED_ENGINES);
}

/// Two engines ended under a request, and the others refuse it at first. A refusal ends no engine, so the request goes on
/// until an engine serves it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn engines_that_refuse_a_request_do_not_count() {
    let deployment = Deployment::start_with_engines(179, Request::Unrepeatable, ENGINES, &Behaviour::Hang).await;
    let gateway = deployment.start_gateway(FIRST_GATEWAY).await;
    for attempt in 0..2 {
        assert!(lose_engine_under(&deployment, &gateway, attempt).await);
    }
    deployment.engines.iter().for_each(|engine| engine.set(Behaviour::RefuseOnceAndRepeat));
    let before = deployment.marked_requests();
    for attempt in 2..TRIES {
        assert_eq!(Request::Unrepeatable.send(&gateway, attempt).await.status, 200);
    }
    assert!(deployment.marked_requests() - before > TRIES - 2, "no engine refused the request");
}
