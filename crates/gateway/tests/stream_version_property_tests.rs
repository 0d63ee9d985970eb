//! Property: whatever the order in which engines of several software versions come and go, gateways learn of them and
//! restart, replicas miss writes or lose their disks, and callers come back at any gateway, all events of a stream come
//! from one version. And a stream goes on whenever its record can be read and an engine of its version is known.
//!
//! The decisions and the replicas' ledgers are those of the product; time, views and losses are the model's.

use foxnotch_membership::Millis;
use foxnotch_scheduler::stream_version::{stream_lifetime, OnlyVersion, ResumeVersion};
use foxnotch_turns::ledger::Ledger;
use foxnotch_turns::stream_origin::{origin_entry, origin_in, origin_program, StreamOrigin};
use proptest::prelude::*;
use std::time::Duration;

const SERVICE: &str = "drafts";
/// The timeout of the route, in milliseconds.
const TIMEOUT_MS: u64 = 4000;
/// The longest time after its start in which a caller resumes a stream: its deadline.
const MAX_STREAM_AGE_MS: u64 = TIMEOUT_MS;
/// The longest time by which a gateway's list of engines is behind, and the shortest for which an engine is listed.
const MAX_VIEW_LAG_MS: u64 = TIMEOUT_MS / 2;
const GATEWAYS: usize = 3;
const REPLICAS: usize = 3;
const VERSIONS: usize = 3;

/// One step of the model.
#[derive(Clone, Debug)]
enum Step {
    /// Time passes.
    Wait(u64),
    /// An engine of this version is listed.
    AddEngine(usize),
    /// The oldest engine that has been listed long enough is no longer listed.
    RemoveEngine,
    /// A gateway gets the current list of engines.
    UpdateView(usize),
    /// A gateway starts anew.
    Restart(usize),
    /// A replica loses its disk and is refilled from the others.
    WipeReplica(usize),
    /// A gateway begins a stream at one of the engines that it knows; the replicas in the mask store the record.
    Begin { gateway: usize, engine: usize, stored_by: [bool; REPLICAS] },
    /// A caller resumes one of the streams; the replicas in the mask answer.
    Resume { gateway: usize, stream: usize, answered_by: [bool; REPLICAS] },
}

fn step() -> impl Strategy<Value = Step> {
    let replicas = || any::<[bool; REPLICAS]>();
    prop_oneof![
        3 => (1..MAX_VIEW_LAG_MS).prop_map(Step::Wait),
        1 => (0..VERSIONS).prop_map(Step::AddEngine),
        2 => Just(Step::RemoveEngine),
        3 => (0..GATEWAYS).prop_map(Step::UpdateView),
        1 => (0..GATEWAYS).prop_map(Step::Restart),
        1 => (0..REPLICAS).prop_map(Step::WipeReplica),
        4 => (0..GATEWAYS, 0..8_usize, replicas())
            .prop_map(|(gateway, engine, stored_by)| Step::Begin { gateway, engine, stored_by }),
        6 => (0..GATEWAYS, 0..16_usize, replicas())
            .prop_map(|(gateway, stream, answered_by)| Step::Resume { gateway, stream, answered_by }),
    ]
}

fn version_name(version: usize) -> String {
    format!("v{version}")
}

fn origin(version: usize) -> StreamOrigin {
    StreamOrigin::new(SERVICE, &version_name(version))
}

/// What a gateway knows of the engines' versions.
#[derive(Clone, Debug)]
struct Gateway {
    versions: Vec<usize>,
    updated_at: u64,
    /// The only version that it has known, and since when.
    only: Option<(usize, u64)>,
}

impl Gateway {
    fn update(&mut self, versions: &[usize], now: u64) {
        self.versions = versions.to_vec();
        self.updated_at = now;
        let first = versions.first().copied();
        let only = first.filter(|first| versions.iter().all(|version| version == first));
        self.only = match (only, self.only) {
            (Some(version), Some((known, since))) if version == known => Some((known, since)),
            (Some(version), _) => Some((version, now)),
            (None, _) => None,
        };
    }
}

struct Stream {
    attempt: String,
    begun_at: u64,
    /// The version of each engine that has sent events of the stream.
    versions: Vec<usize>,
}

struct Model {
    now: u64,
    /// The versions of the listed engines, with the times at which they were listed, oldest first.
    engines: Vec<(usize, u64)>,
    gateways: Vec<Gateway>,
    replicas: Vec<Ledger>,
    streams: Vec<Stream>,
}

impl Model {
    fn new() -> Self {
        let gateway = Gateway { versions: vec![0], updated_at: 0, only: Some((0, 0)) };
        Self {
            now: 0,
            engines: vec![(0, 0)],
            gateways: vec![gateway; GATEWAYS],
            replicas: vec![Ledger::default(); REPLICAS],
            streams: Vec::new(),
        }
    }

    fn listed_versions(&self) -> Vec<usize> {
        self.engines.iter().map(|(version, _)| *version).collect()
    }

    fn update_view(&mut self, gateway: usize) {
        let versions = self.listed_versions();
        self.gateways[gateway].update(&versions, self.now);
    }

    /// Lets time pass, during which no list of a gateway falls behind by more than the limit.
    fn wait(&mut self, ms: u64) {
        self.now += ms;
        for gateway in 0..GATEWAYS {
            if self.now - self.gateways[gateway].updated_at >= MAX_VIEW_LAG_MS {
                self.update_view(gateway);
            }
        }
    }

    fn apply(&mut self, step: &Step) {
        match step {
            Step::Wait(ms) => self.wait(*ms),
            Step::AddEngine(version) => self.engines.push((*version, self.now)),
            Step::RemoveEngine => {
                let is_removable = self.engines.first().is_some_and(|(_, at)| self.now - at > 2 * MAX_VIEW_LAG_MS);
                if is_removable && self.engines.len() > 1 {
                    self.engines.remove(0);
                }
            }
            Step::UpdateView(gateway) => self.update_view(*gateway),
            Step::Restart(gateway) => {
                self.gateways[*gateway] = Gateway { versions: Vec::new(), updated_at: self.now, only: None };
                self.update_view(*gateway);
            }
            Step::WipeReplica(replica) => self.wipe(*replica),
            Step::Begin { gateway, engine, stored_by } => self.begin(*gateway, *engine, stored_by),
            Step::Resume { gateway, stream, answered_by } => self.resume(*gateway, *stream, answered_by),
        }
    }

    fn wipe(&mut self, replica: usize) {
        self.replicas[replica] = Ledger::default();
        for other in 0..REPLICAS {
            let marks = self.replicas[other].marks();
            let entries: Vec<_> = marks.iter().filter_map(|mark| self.replicas[other].entry(mark.turn)).collect();
            for entry in entries {
                self.replicas[replica].add_entry(entry, Millis(self.now));
            }
        }
    }

    fn begin(&mut self, gateway: usize, engine: usize, stored_by: &[bool; REPLICAS]) {
        let known = &self.gateways[gateway].versions;
        let version = known[engine % known.len()];
        let attempt = format!("a{}", self.streams.len());
        let retention = stream_lifetime(Duration::from_millis(TIMEOUT_MS));
        let entry = origin_entry("", &attempt, 7, origin(version), retention);
        for (replica, _) in self.replicas.iter_mut().zip(stored_by).filter(|(_, stores)| **stores) {
            replica.add_entry(entry.clone(), Millis(self.now));
        }
        self.streams.push(Stream { attempt, begun_at: self.now, versions: vec![version] });
    }

    fn resume(&mut self, gateway: usize, stream: usize, answered_by: &[bool; REPLICAS]) {
        if self.streams.is_empty() {
            return;
        }
        let index = stream % self.streams.len();
        let stream = &mut self.streams[index];
        if self.now - stream.begun_at > MAX_STREAM_AGE_MS {
            return;
        }
        let program = origin_program("", &stream.attempt);
        let answers = self.replicas.iter().zip(answered_by).filter(|(_, answers)| **answers);
        let recorded = answers.filter_map(|(replica, _)| origin_in(&replica.run_locations(program))).next();
        let gateway = &self.gateways[gateway];
        let lifetime = stream_lifetime(Duration::from_millis(TIMEOUT_MS));
        let only = gateway.only.and_then(|(version, since)| {
            let known_for = Duration::from_millis(self.now - since);
            let only = OnlyVersion { version: origin(version), known_for, is_first: false };
            only.must_have_begun(lifetime, true).then_some(only.version)
        });
        let required = match ResumeVersion::decide(recorded, only) {
            ResumeVersion::Recorded(required) | ResumeVersion::Only(required) => Some(required),
            ResumeVersion::Unknown => None,
        };
        let served_by = gateway.versions.iter().find(|version| required == Some(origin(**version)));
        let begun_at = stream.versions[0];
        if recorded.is_some() && gateway.versions.contains(&begun_at) {
            assert!(served_by.is_some(), "stream {} could go on at v{begun_at} and did not", stream.attempt);
        }
        stream.versions.extend(served_by);
        let is_one_version = stream.versions.iter().all(|version| *version == begun_at);
        assert!(is_one_version, "stream {} has events of versions {:?}", stream.attempt, stream.versions);
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2000))]

    #[test]
    fn all_events_of_a_stream_come_from_one_version(steps in prop::collection::vec(step(), 1..120)) {
        let mut model = Model::new();
        for step in &steps {
            model.apply(step);
        }
    }
}
