//! Validation of configuration files, and revisions that keep drains and stops.

use laurelstile_types::configuration::{Configuration, ConfigurationError};
use laurelstile_types::id::ChangeId;
use laurelstile_types::json::{JsonFileError, read_json_file};
use laurelstile_types::revision::{Change, Revision};
use rstest::rstest;
use serde_json::{Value, json};

fn valid() -> Value {
    json!({
        "version": 1,
        "pools": [{"name": "main", "backends": [
            {"name": "w1", "agent": "127.0.0.1:1", "zone": "a", "rack": "r", "slots": 8},
            {"name": "w2", "agent": "127.0.0.1:2", "zone": "b", "rack": "s", "slots": 8},
        ]}],
        "services": [{"name": "parcels", "pool": "main", "classes": [
            {"name": "snap", "expected_millis": 100, "deadline_millis": 5000},
        ]}],
        "tenants": [{"name": "advisers", "quota_slots": 16}],
    })
}

fn parse(value: Value) -> Configuration {
    serde_json::from_value(value).expect("the value does not parse")
}

#[test]
fn a_valid_file_passes() {
    parse(valid())
        .check()
        .expect("the configuration is invalid");
}

#[rstest]
#[case::version("/version", json!(2), "version 2")]
#[case::duplicate_backend("/pools/0/backends/1/name", json!("w1"), "pools[0].backends[1]")]
#[case::bad_name("/tenants/0/name", json!("a b"), "tenants[0]")]
#[case::unknown_pool("/services/0/pool", json!("other"), "services[0].pool")]
#[case::no_slots("/pools/0/backends/0/slots", json!(0), "pools[0].backends[0].slots")]
#[case::long_deadline(
    "/services/0/classes/0/deadline_millis",
    json!(10_000_000),
    "services[0].classes[0].deadline_millis"
)]
#[case::quota_over_capacity("/tenants/0/quota_slots", json!(17), "tenants[0].quota_slots")]
fn an_invalid_value_is_rejected_with_its_path(
    #[case] pointer: &str,
    #[case] value: Value,
    #[case] place: &str,
) {
    let mut file = valid();
    *file.pointer_mut(pointer).expect("no such field") = value;
    let error: ConfigurationError = parse(file)
        .check()
        .expect_err("the configuration was accepted");
    assert!(error.to_string().contains(place), "{error}");
}

#[test]
fn an_unknown_field_is_rejected_with_file_and_path() {
    let mut file = valid();
    file["pools"][0]["backends"][0]["slotz"] = json!(1);
    let path = std::env::temp_dir().join(format!("laurelstile-{}.json", std::process::id()));
    std::fs::write(&path, file.to_string()).expect("cannot write the file");
    let error = read_json_file::<Configuration>(&path).expect_err("the unknown field was accepted");
    std::fs::remove_file(&path).expect("cannot remove the file");
    assert!(matches!(error, JsonFileError::Malformed { .. }));
    let text = error.to_string();
    assert!(text.contains("pools[0].backends[0]"), "{text}");
    assert!(text.contains("slotz"), "{text}");
    assert!(text.contains(&path.display().to_string()), "{text}");
}

fn id(text: &str) -> ChangeId {
    text.into()
}

#[test]
fn drains_and_stops_last_until_a_file_omits_their_target() {
    let apply = |value| Change::Apply(parse(value));
    let first =
        Revision::following(None, id("a"), apply(valid())).expect("the change was rejected");
    let drained = Revision::following(Some(&first), id("b"), Change::Drain("w1".into()))
        .expect("the change was rejected");
    let stopped = Revision::following(Some(&drained), id("c"), Change::Stop("parcels".into()))
        .expect("the change was rejected");
    let again = Revision::following(Some(&stopped), id("d"), apply(valid()))
        .expect("the change was rejected");
    assert_eq!(again.number, 4);
    assert!(again.drained.contains(&"w1".into()));
    assert!(again.stopped.contains(&"parcels".into()));

    let mut without = valid();
    without["pools"][0]["backends"]
        .as_array_mut()
        .expect("not a list")
        .remove(0);
    let omitted = Revision::following(Some(&again), id("e"), apply(without))
        .expect("the change was rejected");
    assert!(omitted.drained.is_empty());
    let back = Revision::following(Some(&omitted), id("f"), apply(valid()))
        .expect("the change was rejected");
    assert!(back.drained.is_empty());
}

#[rstest]
#[case(Change::Drain("nobody".into()))]
#[case(Change::Stop("nothing".into()))]
fn a_change_of_an_unknown_target_is_rejected(#[case] change: Change) {
    let first = Revision::following(None, id("a"), Change::Apply(parse(valid())));
    assert!(Revision::following(first.as_ref(), id("b"), change.clone()).is_none());
    assert!(Revision::following(None, id("b"), change).is_none());
}
