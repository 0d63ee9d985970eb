//! Parts of the gateway that need no sockets.

use foxnotch_gateway::edge::events::EventSplitter;
use foxnotch_gateway::edge::routes::{RouteTable, ServiceShares};
use foxnotch_gateway::edge::turn_cache::TurnCache;
use foxnotch_gateway::engines::part_cache::PartCache;
use foxnotch_gateway::ports::configuration::{Backend, Configuration, Route, RouteKind};
use foxnotch_gateway::ports::dialect::PromptPart;
use foxnotch_wire::{Content, TurnId, TurnRecord};
use rstest::rstest;
use std::collections::HashMap;
use std::sync::Arc;

fn route(name: &str, host: &str, path_prefix: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: host.to_owned(),
        path_prefix: path_prefix.to_owned(),
        kind: RouteKind::Idempotent,
        timeout_ms: 1000,
        objective_ms: 100,
        priority: 0,
        attempts: 1,
        backends: vec![Backend { service: name.to_owned(), weight: 1 }],
        retain: false,
        retention_ms: 0,
        resumable: false,
    }
}

#[rstest]
#[case("h.example", "/a/b", Some("short"))]
#[case("h.example", "/a/deep/b", Some("long"))]
#[case("H.Example:80", "/a/", Some("short"))]
#[case("h.example", "/b/", None)]
#[case("other.example", "/a/b", None)]
fn the_longest_prefix_of_the_host_serves(#[case] host: &str, #[case] path: &str, #[case] name: Option<&str>) {
    let routes = vec![route("short", "h.example", "/a/"), route("long", "h.example", "/a/deep/")];
    let table = RouteTable::new(Arc::new(Configuration { routes, ..Configuration::default() }));
    assert_eq!(table.find(host, path).map(|route| route.name.as_str()), name);
}

#[test]
fn services_get_their_shares() {
    let mut shared = route("r", "h", "/");
    shared.backends =
        vec![Backend { service: "a".to_owned(), weight: 90 }, Backend { service: "b".to_owned(), weight: 10 }];
    let shares = ServiceShares::default();
    let mut counts: HashMap<String, u32> = HashMap::new();
    for _ in 0..200 {
        *counts.entry(shares.next(&shared).expect("a service is there")).or_default() += 1;
    }
    assert_eq!(counts["a"], 180);
    assert_eq!(counts["b"], 20);
}

#[rstest]
fn events_come_whole_however_the_bytes_are_cut(#[values(1, 2, 3, 5, 7, 1000)] size: usize) {
    let text = b"id: 1\ndata: one\n\nid: 2\ndata: two\ndata: lines\n\n: note\n\nx-version: 3\nid:3\ndata:\n\nda";
    let mut splitter = EventSplitter::default();
    let mut events = Vec::new();
    for chunk in text.chunks(size) {
        splitter.push(chunk);
        while let Some(event) = splitter.next_event() {
            events.push(event);
        }
    }
    let data: Vec<Option<&[u8]>> = events.iter().map(|event| event.data.as_deref()).collect();
    assert_eq!(data, vec![Some(&b"one"[..]), Some(&b"two\nlines"[..]), None, Some(&b""[..])]);
    let ids: Vec<Option<&str>> = events.iter().map(|event| event.id.as_deref()).collect();
    assert_eq!(ids, vec![Some("1"), Some("2"), None, Some("3")]);
    assert_eq!(splitter.waiting(), 2);
    let passed: usize = events.iter().map(|event| event.raw.len()).sum();
    assert_eq!(passed + 2, text.len());
}

#[test]
fn events_may_end_their_lines_with_carriage_returns() {
    let mut splitter = EventSplitter::default();
    splitter.push(b"id: 4\r\ndata: x\r\n\r\nid");
    let event = splitter.next_event().expect("one event is whole");
    assert_eq!(event.data.as_deref(), Some(&b"x"[..]));
    assert_eq!(event.id.as_deref(), Some("4"));
    assert!(splitter.next_event().is_none());
}

fn record(length: usize) -> Arc<TurnRecord> {
    Arc::new(TurnRecord { previous: TurnId(0), input: Content::from(vec![0; length]), output: Content::default() })
}

#[test]
fn the_oldest_turns_leave_a_full_cache() {
    let cache = TurnCache::new(3000);
    for turn in 1..=5 {
        cache.insert(TurnId(turn), record(872));
    }
    assert!(cache.get(TurnId(2)).is_none());
    assert!(cache.get(TurnId(3)).is_some());
    assert!(cache.get(TurnId(5)).is_some());
}

fn part(id: u64, tokens: u32) -> PromptPart {
    PromptPart { id, tokens }
}

#[test]
fn parts_are_held_only_behind_those_before_them() {
    let mut parts = PartCache::new(10_000);
    parts.insert(&[part(1, 500), part(2, 100)], 20);
    assert_eq!(parts.held_tokens(&[part(1, 500), part(2, 100)]), 600);
    assert_eq!(parts.held_tokens(&[part(1, 500), part(2, 150)]), 620);
    assert_eq!(parts.held_tokens(&[part(1, 500), part(3, 100), part(2, 100)]), 500);
    assert_eq!(parts.held_tokens(&[part(9, 500), part(2, 100)]), 0);
}

#[test]
fn the_least_recently_used_parts_give_way() {
    let mut parts = PartCache::new(1000);
    parts.insert(&[part(1, 400)], 0);
    parts.insert(&[part(2, 400)], 0);
    parts.insert(&[part(1, 400)], 0);
    parts.insert(&[part(3, 400)], 0);
    assert_eq!(parts.held_tokens(&[part(2, 400)]), 0);
    assert_eq!(parts.held_tokens(&[part(1, 400)]), 400);
    assert_eq!(parts.held_tokens(&[part(3, 400)]), 400);
}
