//! Tests the format in which nodes send the parts of the view to each other and replicas store them: compressed JSON.
//! Each line of `tests/fixtures/view_parts.txt` has a part's name, its bytes in hexadecimal and its JSON.
//!
//! To change the format on purpose: make sure that nodes of the previous version can read it, or raise
//! `PROTOCOL_VERSION`. Then run this test and copy the lines that the test prints as `actual` into the fixture.

mod support;

use flate2::read::DeflateDecoder;
use foxnotch_gateway::engines::peer_loads::engine_number;
use foxnotch_gateway::peers::engine_list::EngineChanges;
use foxnotch_gateway::peers::frame::{encode_frame, FrameReader};
use foxnotch_gateway::peers::view::{Origin, ViewHolder};
use foxnotch_gateway::peers::view_codec::{decode_view_part, encode_view_part};
use foxnotch_gateway::peers::view_exchange;
use foxnotch_gateway::ports::configuration::{Configuration, EngineEntry, RetirementRequest};
use foxnotch_scheduler::zone_drain::ZoneDrains;
use foxnotch_turns::identity::{node_id, program_key, region_id, turn_id, zone_hash};
use foxnotch_wire::{Content, NodeId, ProgramKey, RegionId, RpcBody, TurnId, ViewUpdate};
use std::io::Read;
use support::fixtures::{assert_same_lines, encoded_view_part, to_hex};
use support::view_samples::{
    configuration, engine, engine_changes, engines, minimal_configuration, retirements, zone_drains,
};

const PARTS: &str = include_str!("fixtures/view_parts.txt");

/// A configuration from a node of another version: it misses fields that were added later and has an unknown field.
const OLDER_CONFIGURATION: &str = r#"{"version":7,"routes":[{"name":"read","host":"h.example","path_prefix":"/read/",
"kind":"Idempotent","timeout_ms":4000,"objective_ms":200,"priority":1,"attempts":2,"backends":[{"service":"a","weight":90},
{"service":"b","weight":10}],"retain":true,"retention_ms":60000,"resumable":false,"of_a_later_version":1}],"services":[{"name":"a",
"maximum_connections":160,"model":{"memory_tokens":127559,"event_tokens":9}}],"limits":{"header_bytes":16384,
"body_bytes":4194304,"idle_ms":15000}}"#;

fn encoded_parts() -> Vec<(&'static str, Content)> {
    vec![
        ("configuration", encode_view_part(&configuration())),
        ("engines", encode_view_part(&engines())),
        ("engine_changes", encode_view_part(&engine_changes())),
        ("retirements", encode_view_part(&retirements())),
        ("zone_drains", encode_view_part(&zone_drains())),
    ]
}

fn json_of(content: &Content) -> String {
    let mut text = String::new();
    DeflateDecoder::new(content.bytes.as_slice()).read_to_string(&mut text).expect("the part is compressed text");
    text
}

/// Returns the encoded bytes of a part in the fixture.
fn fixture_part(name: &str) -> Content {
    encoded_view_part(PARTS, name)
}

#[test]
fn parts_are_encoded_as_in_the_fixture() {
    let line = |(name, content): (&str, Content)| format!("{name} {} {}", to_hex(&content.bytes), json_of(&content));
    assert_same_lines(&encoded_parts().into_iter().map(line).collect::<Vec<_>>(), PARTS);
}

#[test]
fn parts_of_the_fixture_are_decoded() {
    assert_eq!(decode_view_part::<Configuration>(&fixture_part("configuration")), Some(configuration()));
    assert_eq!(decode_view_part::<Vec<EngineEntry>>(&fixture_part("engines")), Some(engines()));
    assert_eq!(decode_view_part::<EngineChanges>(&fixture_part("engine_changes")), Some(engine_changes()));
    assert_eq!(decode_view_part::<Vec<RetirementRequest>>(&fixture_part("retirements")), Some(retirements()));
    assert_eq!(decode_view_part::<ZoneDrains>(&fixture_part("zone_drains")), Some(zone_drains()));
}

#[test]
fn parts_with_missing_or_unknown_fields_are_parsed() {
    let read: Configuration = serde_json::from_str(OLDER_CONFIGURATION).expect("the part is parsed");
    assert_eq!(read, minimal_configuration());
    let other_version =
        r#"{"id":"i-2","service":"a","address":"10.0.0.9:80","zone":"z1","slots":12,"draining":false,"later":1}"#;
    let read: EngineEntry = serde_json::from_str(other_version).expect("the part is parsed");
    assert_eq!(read, engines().remove(1));
}

/// Older builds skip the field, so it may be sent to them. Without a version the field is absent, as in their entries.
#[test]
fn the_software_version_is_an_optional_field_of_an_engine() {
    let with_version = EngineEntry { software_version: Some("v1.2".to_owned()), ..engine("i-1") };
    let without_version = serde_json::to_string(&engine("i-1")).expect("the entry can be encoded");
    let expected = without_version.replace('}', r#","software_version":"v1.2"}"#);
    assert_eq!(serde_json::to_string(&with_version).expect("the entry can be encoded"), expected);
    assert_eq!(serde_json::from_str::<EngineEntry>(&expected).expect("the entry is parsed"), with_version);
}

/// The parts of an update are adopted into a node's view, and the view produces the same update again.
#[test]
fn an_update_with_the_parts_of_the_fixture_is_adopted() {
    let update = ViewUpdate {
        configuration_revision: 11,
        configuration_version: 7,
        configuration: fixture_part("configuration"),
        engines_revision: 12,
        engines: fixture_part("engines"),
        retirements_revision: 13,
        retirements: fixture_part("retirements"),
        zone_drains_revision: 14,
        zone_drains: fixture_part("zone_drains"),
        ..ViewUpdate::default()
    };
    let holder = ViewHolder::default();
    view_exchange::adopt_update(&holder, &update);
    let view = holder.get();
    assert_eq!((view.configuration.revision, &*view.configuration.value), (11, &configuration()));
    assert_eq!((view.engines.revision, &*view.engines.value), (12, &engines()));
    assert_eq!((view.retirements.revision, &*view.retirements.value), (13, &retirements()));
    assert_eq!((view.zone_drains.revision, &*view.zone_drains.value), (14, &zone_drains()));
    assert_eq!(view_exchange::build_update_for_peer(&holder, &ViewUpdate::default()), update);
}

#[test]
fn engine_changes_are_applied_to_the_list_at_their_first_revision() {
    let holder = ViewHolder::default();
    let others = ["i-3", "i-4", "i-5"].map(engine);
    holder.adopt_engines(12, engines().into_iter().chain(others).collect(), Origin::Store);
    let changes = || fixture_part("engine_changes");
    let update = ViewUpdate {
        engines_revision: 15,
        engines_since: 12,
        engines: changes(),
        ..view_exchange::revisions_with_replica_set(&holder.get())
    };
    view_exchange::adopt_update(&holder, &update);
    assert_eq!((holder.get().engines.revision, holder.get().engines.value.len()), (15, 4));
    let known = ViewUpdate { engines_revision: 12, ..ViewUpdate::default() };
    let sent = view_exchange::build_update_for_peer(&holder, &known);
    assert_eq!((sent.engines_revision, sent.engines_since, sent.engines), (15, 12, changes()));
}

#[tokio::test]
async fn a_frame_is_a_length_and_a_message() {
    let frame = encode_frame(NodeId(2), 11, RpcBody::ShowSet).expect("the message can be encoded");
    let bytes = "0e0000000902000000".to_owned() + "0b0000000000000009";
    assert_eq!(to_hex(&frame), bytes);
    let read = FrameReader::new(frame.as_slice())
        .read_message()
        .await
        .expect("the frame is valid")
        .expect("the stream has a frame");
    assert_eq!((read.from, read.exchange, read.body), (NodeId(2), 11, RpcBody::ShowSet));
}

/// Nodes identify turns, programs, zones and regions by these hashes in messages and in stored data, so a changed hash
/// would make existing data unreachable.
#[test]
fn names_keep_their_identifiers() {
    let (TurnId(turn), TurnId(tenants_turn)) = (turn_id("", "9c41"), turn_id("hule930", "9c41"));
    let (ProgramKey(program), ProgramKey(tenants_program)) = (program_key("", "p"), program_key("hule930", "p"));
    let (NodeId(node), RegionId(region)) = (node_id("replica-1"), region_id("north"));
    let numbers = [node, zone_hash("a"), region, engine_number("i-1")];
    assert_eq!(numbers, [1_751_775_782, 513_166_879, 1_501_486_590, 3_841_733_929]);
    assert_eq!(turn, 88_508_887_895_464_145_158_046_387_011_663_104_945);
    assert_eq!(tenants_turn, 68_031_353_194_626_890_903_054_789_850_398_601_450);
    assert_eq!([program, tenants_program], [13_700_201_962_489_027_463, 5_592_807_904_359_794_857]);
}
