//! How gateways notify agents of other gateways.

mod leased_support;

use std::collections::BTreeSet;

use laurelstile_core::leased::gateway::GatewayEvent;
use laurelstile_core::leased::membership::digest::Digest;
use laurelstile_core::leased::membership::rank::Candidates;
use laurelstile_core::leased::messages::{Introduction, Member, ToPeer};
use laurelstile_core::session::SessionId;
use laurelstile_types::time::Timestamp;
use leased_support::{GatewayRig, at, cpu};

/// Session of the agent under test.
const AGENT: u64 = 1;

fn other(number: u64) -> Member {
    let port = u16::try_from(100 + number).expect("number too large");
    Member {
        name: format!("other-{number}"),
        address: ([127, 0, 0, 1], port).into(),
        zone: "there".into(),
    }
}

fn connect_peer(rig: &mut GatewayRig, now: Timestamp, number: u64) {
    let session = SessionId(1_000 + number);
    rig.open_peer(now, session);
    let message = ToPeer::Introduction(Introduction::new(&other(number), Digest::default()));
    rig.peer_message(now, session, message);
}

fn disconnect_peer(rig: &mut GatewayRig, now: Timestamp, number: u64) {
    let session = SessionId(1_000 + number);
    rig.event(now, GatewayEvent::PeerClosed { session });
}

/// Names that the agent was sent, one list per message.
fn sent_names(rig: &GatewayRig) -> Vec<Vec<String>> {
    let messages = rig.members.iter();
    messages
        .filter(|(session, _)| *session == SessionId(AGENT))
        .map(|(_, members)| members.iter().map(|member| member.name.clone()).collect())
        .collect()
}

#[test]
fn a_new_agent_is_sent_all_gateways_at_once() {
    let mut rig = GatewayRig::new();
    connect_peer(&mut rig, at(10), 1);
    connect_peer(&mut rig, at(11), 2);
    rig.join(at(12), AGENT, "agent-1", cpu(1_000));
    let first = sent_names(&rig);
    assert_eq!(first.len(), 1);
    assert_eq!(first[0], ["gateway", "other-1", "other-2"]);
}

/// An agent is sent only its candidates, however many gateways there are.
#[test]
fn gateways_that_join_together_are_sent_in_few_messages_and_once() {
    let mut rig = GatewayRig::new();
    rig.join(at(0), AGENT, "agent-1", cpu(1_000));
    for number in 1..=54 {
        connect_peer(&mut rig, at(100 + number / 4), number);
    }
    for millis in 120..400 {
        rig.tick(at(millis));
    }
    let sent = sent_names(&rig);
    assert!(sent.len() <= 3, "{} messages", sent.len());
    let names: Vec<&String> = sent.iter().flatten().collect();
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
fn updates_are_sent_without_any_other_event() {
    let mut rig = GatewayRig::new();
    rig.join(at(0), AGENT, "agent-1", cpu(1_000));
    connect_peer(&mut rig, at(1), 1);
    let wakeup = rig.machine.next_wakeup().expect("no wakeup is due");
    assert!(wakeup <= at(60));
    rig.tick(at(60));
    assert_eq!(
        sent_names(&rig).last().map(Vec::as_slice),
        Some(&["other-1".to_owned()][..])
    );
}

#[test]
fn a_gateway_that_reconnects_is_sent_again() {
    let mut rig = GatewayRig::new();
    rig.join(at(0), AGENT, "agent-1", cpu(1_000));
    for round in 0..200 {
        connect_peer(&mut rig, at(100 + round * 1_000), 1);
        rig.tick(at(200 + round * 1_000));
        disconnect_peer(&mut rig, at(300 + round * 1_000), 1);
        rig.tick(at(400 + round * 1_000));
    }
    let names = sent_names(&rig).concat();
    let count = names.iter().filter(|name| *name == "other-1").count();
    assert_eq!(count, 200);
}
