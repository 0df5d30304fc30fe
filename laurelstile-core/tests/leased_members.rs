//! How agents hear of gateways.

mod leased_support;

use std::collections::BTreeSet;

use laurelstile_core::leased::gateway::GatewayEvent;
use laurelstile_core::leased::membership::digest::Digest;
use laurelstile_core::leased::membership::rank::Candidates;
use laurelstile_core::leased::messages::{Introduction, Member, ToPeer};
use laurelstile_core::session::SessionId;
use laurelstile_types::time::Timestamp;
use leased_support::{GatewayRig, at, cpu};

/// Session of the agent that the tests look at.
const AGENT: u64 = 1;

fn other(number: u64) -> Member {
    let port = u16::try_from(100 + number).expect("few gateways");
    Member {
        name: format!("other-{number}"),
        address: ([127, 0, 0, 1], port).into(),
        zone: "there".into(),
    }
}

fn meet(rig: &mut GatewayRig, now: Timestamp, number: u64) {
    let session = SessionId(1_000 + number);
    rig.open_peer(now, session);
    let message = ToPeer::Introduction(Introduction::new(&other(number), Digest::default()));
    rig.peer_message(now, session, message);
}

fn lose(rig: &mut GatewayRig, now: Timestamp, number: u64) {
    let session = SessionId(1_000 + number);
    rig.event(now, GatewayEvent::PeerClosed { session });
}

/// Names that the agent was told, a list for each message.
fn told(rig: &GatewayRig) -> Vec<Vec<String>> {
    let messages = rig.members.iter();
    messages
        .filter(|(session, _)| *session == SessionId(AGENT))
        .map(|(_, members)| members.iter().map(|member| member.name.clone()).collect())
        .collect()
}

#[test]
fn a_new_agent_is_told_of_all_gateways_at_once() {
    let mut rig = GatewayRig::new();
    meet(&mut rig, at(10), 1);
    meet(&mut rig, at(11), 2);
    rig.join(at(12), AGENT, "agent-1", cpu(1_000));
    let first = told(&rig);
    assert_eq!(first.len(), 1);
    assert_eq!(first[0], ["gateway", "other-1", "other-2"]);
}

/// Of many gateways an agent is told those that it may want sessions to, whatever their number.
#[test]
fn gateways_that_come_together_are_told_together_and_once() {
    let mut rig = GatewayRig::new();
    rig.join(at(0), AGENT, "agent-1", cpu(1_000));
    for number in 1..=54 {
        meet(&mut rig, at(100 + number / 4), number);
    }
    for millis in 120..400 {
        rig.tick(at(millis));
    }
    let told = told(&rig);
    assert!(told.len() <= 3, "{} messages", told.len());
    let names: Vec<&String> = told.iter().flatten().collect();
    let distinct: BTreeSet<&String> = names.iter().copied().collect();
    assert_eq!(names.len(), distinct.len(), "each gateway once");
    let mut candidates = Candidates::new("agent-1", "here");
    for number in 1..=54 {
        candidates.insert(&other(number));
    }
    let mut wanted = candidates.iter().map(|member| &member.name);
    assert!(wanted.all(|name| distinct.contains(name)));
    assert!(distinct.contains(&"gateway".to_owned()));
}

#[test]
fn news_of_gateways_are_told_without_any_other_event() {
    let mut rig = GatewayRig::new();
    rig.join(at(0), AGENT, "agent-1", cpu(1_000));
    meet(&mut rig, at(1), 1);
    let wakeup = rig.machine.next_wakeup().expect("news are due");
    assert!(wakeup <= at(60));
    rig.tick(at(60));
    assert_eq!(
        told(&rig).last().map(Vec::as_slice),
        Some(&["other-1".to_owned()][..])
    );
}

#[test]
fn a_gateway_that_was_away_is_told_anew() {
    let mut rig = GatewayRig::new();
    rig.join(at(0), AGENT, "agent-1", cpu(1_000));
    for round in 0..200 {
        meet(&mut rig, at(100 + round * 1_000), 1);
        rig.tick(at(200 + round * 1_000));
        lose(&mut rig, at(300 + round * 1_000), 1);
        rig.tick(at(400 + round * 1_000));
    }
    let times = told(&rig).concat();
    let times = times.iter().filter(|name| *name == "other-1").count();
    assert_eq!(times, 200);
}
