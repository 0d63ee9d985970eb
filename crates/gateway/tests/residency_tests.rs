//! Routes and tenants that are bound to regions: which engines and which disks see a body, and what is refused.

mod support;

use foxnotch_gateway::ports::configuration::{Configuration, RouteKind};
use foxnotch_gateway::ports::store::{Kind, ObjectBody};
use foxnotch_scheduler::residency::Residency;
use foxnotch_scheduler::tenants::Tenant;
use rstest::rstest;
use std::fs;
use std::path::Path;
use std::time::{Duration, Instant};
use support::cluster::{Cluster, Zones};
use support::engine::{Behaviour, EngineStandIn};
use support::gateway::{configuration, list_engine_in, tenant, Answer, RunningGateway};

/// The longest wait for a change to be in force.
const PATIENCE: Duration = Duration::from_secs(20);

/// Two replicas and a gateway in each of three regions, one of which has a zone each.
const THREE_REGIONS: Zones = Zones {
    of_node: |number| match number {
        1 | 2 | 50 => "za",
        3 | 4 | 51 => "zb",
        _ => "zc",
    },
    regions: &[("za", "ra"), ("zb", "rb"), ("zc", "rc")],
};

/// The same with all replicas in the first two regions.
const NO_REPLICA_IN_THE_THIRD: Zones = Zones {
    of_node: |number| match number {
        1 | 2 | 50 => "za",
        52 => "zc",
        _ => "zb",
    },
    ..THREE_REGIONS
};

fn bound_to(regions: &[&str]) -> Residency {
    Residency::in_regions(regions.iter().map(|region| (*region).to_owned()))
}

/// The usual configuration with the route `turn` bound to regions.
fn bound_configuration(version: u64, regions: &[&str], tenants: Option<Vec<Tenant>>) -> ObjectBody {
    let ObjectBody::Configuration(mut configuration) = configuration(version) else { unreachable!("it is one") };
    for route in configuration.routes.iter_mut().filter(|route| route.kind == RouteKind::Streaming) {
        route.residency = bound_to(regions);
    }
    ObjectBody::Configuration(Configuration { tenants, ..configuration })
}

/// Gateways and an engine in each of three regions.
struct Deployment {
    cluster: Cluster,
    gateways: Vec<RunningGateway>,
    engines: Vec<EngineStandIn>,
}

impl Deployment {
    async fn start(net: u8, zones: Zones, configuration: ObjectBody) -> Self {
        let cluster = Cluster::start_in(net, 6, zones).await;
        cluster.store.put(Kind::Configuration, "main", configuration);
        let mut engines = Vec::new();
        for zone in ["za", "zb", "zc"] {
            let engine = EngineStandIn::start(Behaviour::Stream(vec!["data: said\n\n"])).await;
            list_engine_in(&cluster, &format!("e-{zone}"), "turn", engine.address, zone, false);
            engines.push(engine);
        }
        let mut gateways = Vec::new();
        for number in 50..=52 {
            gateways.push(RunningGateway::start_with(&cluster, number, cluster.store.clone()).await);
        }
        for gateway in &gateways {
            gateway.wait_ready().await;
        }
        Self { cluster, gateways, engines }
    }

    async fn send(&self, gateway: usize, id: &str, previous: Option<&str>, headers: &str, body: &str) -> Answer {
        let previous = previous.map_or(String::new(), |previous| format!("t-previous: {previous}\r\n"));
        let headers = format!("t-attempt: {id}\r\nt-deadline: 3000\r\n{previous}{headers}");
        self.gateways[gateway].send("POST /turn/", &headers, body).await
    }

    /// Sends a turn under identifiers that begin with `id` until its answer is whole. Returns the last one's.
    async fn send_until_whole(&self, gateway: usize, id: &str, previous: Option<&str>, body: &str) -> String {
        let until = Instant::now() + PATIENCE;
        let mut number = 0;
        loop {
            let turn = format!("{id}-{number}");
            let answer = self.send(gateway, &turn, previous, "", body).await;
            if answer.status == 200 && answer.is_whole {
                return turn;
            }
            assert!(Instant::now() < until, "{id} is never whole: {} {}", answer.head, answer.body);
            number += 1;
        }
    }

    /// Sends until a refusal with this text comes.
    async fn wait_for_refusal(&self, gateway: usize, id: &str, previous: Option<&str>, text: &str) -> Answer {
        let until = Instant::now() + PATIENCE;
        let mut number = 0;
        loop {
            let answer = self.send(gateway, &format!("{id}-{number}"), previous, "", "refused body").await;
            if answer.status == 503 && answer.body.contains(text) {
                return answer;
            }
            assert!(Instant::now() < until, "no such refusal comes: {} {}", answer.head, answer.body);
            number += 1;
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }

    /// The engines that were given a body with this text.
    fn engines_that_saw(&self, text: &str) -> Vec<usize> {
        let saw = |engine: &EngineStandIn| {
            engine.received().iter().any(|request| String::from_utf8_lossy(&request.body).contains(text))
        };
        (0..self.engines.len()).filter(|index| saw(&self.engines[*index])).collect()
    }

    /// The replicas whose files hold this text.
    fn disks_that_hold(&self, text: &str) -> Vec<u8> {
        (1..=6).filter(|number| holds(&self.cluster.data_folder(*number), text.as_bytes())).collect()
    }
}

/// Whether any file of a folder holds these bytes.
fn holds(folder: &Path, text: &[u8]) -> bool {
    let files = fs::read_dir(folder).into_iter().flatten().flatten();
    files.filter_map(|file| fs::read(file.path()).ok()).any(|bytes| bytes.windows(text.len()).any(|part| part == text))
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_bound_turn_is_served_and_kept_in_its_region_wherever_it_enters() {
    let deployment = Deployment::start(100, THREE_REGIONS, bound_configuration(1, &["ra"], None)).await;
    let mut previous: Option<String> = None;
    for (index, gateway) in [0, 1, 2, 1, 0].into_iter().enumerate() {
        let id = format!("t{index}");
        previous =
            Some(deployment.send_until_whole(gateway, &id, previous.as_deref(), &format!("secret{index}.")).await);
    }
    let last = deployment.engines[0].received().pop().expect("it was served");
    let body = String::from_utf8_lossy(&last.body).into_owned();
    assert!(body.starts_with("secret0.said\nsecret1.") && body.ends_with("secret4."), "{body}");
    assert_eq!(deployment.engines_that_saw("secret"), vec![0]);
    assert_eq!(deployment.disks_that_hold("secret"), vec![1, 2]);
}

/// While a replica of the region is down, all that there are do not hold the text: the turn is not whole, and goes nowhere else.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn text_leaves_its_region_neither_while_replicas_there_are_down_nor_by_a_refill() {
    let mut deployment = Deployment::start(101, THREE_REGIONS, bound_configuration(1, &["ra"], None)).await;
    let first = deployment.send_until_whole(1, "kept", None, "secret1.").await;
    deployment.cluster.kill(1);
    deployment.cluster.kill(2);
    let answer = deployment.send(2, "lost", None, "", "secret2.").await;
    assert!(!answer.is_whole || answer.status != 200, "{}", answer.head);
    let unknown = deployment.send(2, "next", Some(&first), "", "secret3.").await;
    assert_eq!(unknown.status, 503, "a turn that is kept is not denied: {}", unknown.body);
    deployment.cluster.wipe(3);
    deployment.cluster.start_replica(3, false);
    deployment.cluster.start_replica(1, false);
    deployment.cluster.start_replica(2, false);
    deployment.cluster.wait_until_complete(3).await;
    deployment.cluster.wipe(1);
    deployment.cluster.start_replica(1, false);
    deployment.cluster.wait_until_complete(1).await;
    assert_eq!(deployment.disks_that_hold("secret1."), vec![1, 2], "a replica of the region is refilled with its text");
    deployment.send_until_whole(2, "again", Some(&first), "secret4.").await;
    assert_eq!(deployment.engines_that_saw("secret"), vec![0]);
    assert_eq!(deployment.disks_that_hold("secret"), vec![1, 2]);
}

#[rstest]
#[case::no_region_in_common(102, &["ra"], &["rb"], "allow no region in common")]
#[case::no_engine_there(103, &["rx"], &[], "has no engine in them")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn what_may_be_served_nowhere_is_refused_at_once(
    #[case] net: u8,
    #[case] route: &[&str],
    #[case] of_tenant: &[&str],
    #[case] reason: &str,
) {
    let tenants = vec![Tenant { residency: bound_to(of_tenant), ..tenant("acme", &["key"]) }];
    let deployment = Deployment::start(net, THREE_REGIONS, bound_configuration(1, route, Some(tenants))).await;
    let begun_at = Instant::now();
    let answer = deployment.send(0, "t1", None, "t-key: key\r\n", "secret").await;
    assert_eq!((answer.status, answer.says_when()), (503, true));
    assert!(answer.body.contains(reason), "{}", answer.body);
    assert!(begun_at.elapsed() < Duration::from_secs(1), "it waited for {:?}", begun_at.elapsed());
    assert!(deployment.engines_that_saw("secret").is_empty() && deployment.disks_that_hold("secret").is_empty());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_bound_request_waits_for_no_engine_that_takes_no_work() {
    let deployment = Deployment::start(104, THREE_REGIONS, bound_configuration(1, &["ra"], None)).await;
    list_engine_in(&deployment.cluster, "e-za", "turn", deployment.engines[0].address, "za", true);
    let answer = deployment.wait_for_refusal(0, "t", None, "no engine of its service is in service in them").await;
    assert!(answer.says_when());
    assert!(deployment.engines_that_saw("refused body").iter().all(|engine| *engine == 0));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_turn_that_no_replica_may_keep_is_refused_before_it_runs() {
    let deployment = Deployment::start(105, NO_REPLICA_IN_THE_THIRD, bound_configuration(1, &["rc"], None)).await;
    let answer = deployment.wait_for_refusal(2, "t", None, "cannot be kept inside its regions").await;
    assert!(answer.says_when());
    let draft = deployment.gateways[2].send("POST /draft/", "t-attempt: d1\r\nt-deadline: 2000\r\n", "x").await;
    assert!(draft.body.contains("has no engine in them"), "what is not kept needs no replica: {}", draft.body);
    assert!(deployment.disks_that_hold("refused body").is_empty());
}

/// The regions of a turn are those of the time when it was kept, and bind what continues it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn turns_stay_in_their_regions_when_the_configuration_changes() {
    let deployment = Deployment::start(106, THREE_REGIONS, bound_configuration(1, &["ra"], None)).await;
    let first = deployment.send_until_whole(1, "first", None, "secret1.").await;
    deployment.cluster.store.put(Kind::Configuration, "main", bound_configuration(2, &["rb"], None));
    deployment
        .wait_for_refusal(1, "moved", Some(&first), "bound to regions that its route and tenant do not allow")
        .await;
    deployment.send_until_whole(2, "new", None, "secret2.").await;
    assert_eq!(deployment.engines_that_saw("secret1."), vec![0]);
    assert_eq!(
        (deployment.engines_that_saw("secret2."), deployment.disks_that_hold("secret2.")),
        (vec![1], vec![3, 4])
    );
    deployment.cluster.store.put(Kind::Configuration, "main", bound_configuration(3, &["ra", "rb"], None));
    deployment.send_until_whole(1, "widened", Some(&first), "secret3.").await;
    assert_eq!(deployment.engines_that_saw("secret3."), vec![0], "it stays with the turn that it continues");
    assert_eq!(deployment.disks_that_hold("secret3."), vec![1, 2]);
    assert_eq!(deployment.disks_that_hold("secret1."), vec![1, 2]);
}
