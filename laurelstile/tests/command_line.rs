//! The command line's exit codes, and plans.

use std::process::{Command, Output};

use laurelstile::plan::{Action, EntryKind, Plan, PlannedChange};
use laurelstile_types::configuration::Configuration;
use serde_json::json;

fn configuration(backends: &[&str], quota: u32) -> serde_json::Value {
    let backends: Vec<_> = backends
        .iter()
        .map(|name| {
            json!({"name": name, "agent": "127.0.0.1:1", "zone": "a", "rack": "r", "slots": 8})
        })
        .collect();
    json!({
        "version": 1,
        "pools": [{"name": "main", "backends": backends}],
        "services": [],
        "tenants": [{"name": "one", "quota_slots": quota}, {"name": "two", "quota_slots": 8}],
    })
}

fn parse(value: serde_json::Value) -> Configuration {
    serde_json::from_value(value).expect("the shape is right")
}

fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_laurelstile"))
        .args(arguments)
        .env("LAURELSTILE_TOKEN", "token")
        .output()
        .expect("the tool can be started")
}

#[test]
fn a_plan_names_what_changes_and_whether_quotas_fit() {
    let old = parse(configuration(&["w1", "w2"], 8));
    let new = parse(configuration(&["w2", "w3"], 16));
    let plan = Plan::of(4, Some(&old), &new);
    let change = |kind, name: &str, action| PlannedChange {
        kind,
        name: name.to_owned(),
        action,
    };
    assert_eq!(
        plan.changes,
        [
            change(EntryKind::Backend, "w3", Action::Added),
            change(EntryKind::Tenant, "one", Action::Changed),
            change(EntryKind::Backend, "w1", Action::Removed),
        ]
    );
    assert!(!plan.capacity[0].carried);
}

#[test]
fn exit_codes_tell_what_happened() {
    let directory = std::env::temp_dir().join(format!("laurelstile-cli-{}", std::process::id()));
    std::fs::create_dir_all(&directory).expect("a directory");
    let good = directory.join("good.json");
    let bad = directory.join("bad.json");
    std::fs::write(&good, configuration(&["w1"], 8).to_string()).expect("a file");
    std::fs::write(&bad, configuration(&["w1"], 9).to_string()).expect("a file");
    let (good, bad) = (good.display().to_string(), bad.display().to_string());

    assert_eq!(run(&["check", &good]).status.code(), Some(0));
    let refused = run(&["check", &bad]);
    assert_eq!(refused.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&refused.stderr).contains("tenants[0].quota_slots"));
    assert_eq!(run(&["no-such-command"]).status.code(), Some(2));
    // Nothing listens on the discard port of this address.
    let unavailable = run(&[
        "--gateway",
        "http://127.0.0.1:9",
        "apply",
        &good,
        "--timeout",
        "0",
    ]);
    assert_eq!(unavailable.status.code(), Some(3));
    assert!(String::from_utf8_lossy(&unavailable.stderr).contains("--change-id"));
    std::fs::remove_dir_all(&directory).expect("the directory can be removed");
}

/// Found with `loss LOG | head`: the tool ended with a stack trace.
#[test]
fn a_reader_that_goes_away_ends_the_tool_quietly() {
    let directory = tempfile::tempdir().expect("a directory");
    let log = directory.path().join("gateway.log");
    std::fs::write(&log, "").expect("the log is written");
    let (reader, writer) = std::io::pipe().expect("a pipe");
    drop(reader);
    let output = Command::new(env!("CARGO_BIN_EXE_laurelstile"))
        .arg("loss")
        .arg(&log)
        .stdout(writer)
        .stderr(std::process::Stdio::piped())
        .output()
        .expect("the tool can be started");
    let told = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{}: {told}", output.status);
    assert!(told.is_empty(), "{told}");
}
