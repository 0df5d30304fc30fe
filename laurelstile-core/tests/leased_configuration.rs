//! How gateways hear of configurations from each other.

mod leased_support;

use laurelstile_core::leased::gateway::GatewayEvent;
use laurelstile_core::leased::messages::ToPeer;
use laurelstile_core::session::SessionId;
use laurelstile_types::time::Timestamp;
use leased_support::{GatewayRig, at, configuration};

fn meet(rig: &mut GatewayRig, now: Timestamp, peer: u64, version: u64) {
    let session = SessionId(peer);
    rig.open_peer(now, session);
    hear(rig, now, peer, ToPeer::InForce(version));
}

fn hear(rig: &mut GatewayRig, now: Timestamp, peer: u64, message: ToPeer) {
    let session = SessionId(peer);
    rig.peer_message(now, session, message);
}

/// The peers that were asked, in order.
fn asked(rig: &GatewayRig) -> Vec<u64> {
    let asked = rig.to_peers.iter();
    asked
        .filter(|(_, message)| matches!(message, ToPeer::ConfigurationWanted))
        .map(|(session, _)| session.0)
        .collect()
}

fn whole_configurations(rig: &GatewayRig) -> usize {
    let sent = rig.to_peers.iter();
    sent.filter(|(_, message)| matches!(message, ToPeer::Configuration(_)))
        .count()
}

#[test]
fn peers_are_told_the_version_and_sent_no_configuration() {
    let mut rig = GatewayRig::new();
    for peer in 1..=54 {
        meet(&mut rig, at(peer), peer, 1);
    }
    rig.event(at(100), GatewayEvent::Configuration(configuration(2)));
    assert_eq!(whole_configurations(&rig), 0);
    let versions = rig.to_peers.iter();
    let told = versions.filter(|(_, message)| matches!(message, ToPeer::InForce(2)));
    assert_eq!(told.count(), 54);
}

#[test]
fn a_newer_configuration_is_asked_of_one_peer_and_put_in_force() {
    let mut rig = GatewayRig::new();
    for peer in 1..=54 {
        meet(&mut rig, at(10), peer, 7);
    }
    assert_eq!(asked(&rig).len(), 1, "one copy is enough");
    let peer = asked(&rig)[0];
    hear(
        &mut rig,
        at(12),
        peer,
        ToPeer::Configuration(configuration(7)),
    );
    assert_eq!(rig.in_force, [1, 7]);
    rig.tick(at(1_000));
    assert_eq!(asked(&rig).len(), 1);
}

#[test]
fn a_peer_that_does_not_answer_is_passed_over_for_the_next() {
    let mut rig = GatewayRig::new();
    for peer in 1..=3 {
        meet(&mut rig, at(10), peer, 7);
    }
    for millis in 11..500 {
        if rig
            .machine
            .next_wakeup()
            .is_some_and(|wakeup| wakeup <= at(millis))
        {
            rig.tick(at(millis));
        }
    }
    assert_eq!(asked(&rig), [1, 2, 3, 1, 2]);
}

#[test]
fn peers_with_the_same_or_an_older_configuration_are_not_asked() {
    let mut rig = GatewayRig::new();
    rig.event(at(1), GatewayEvent::Configuration(configuration(5)));
    meet(&mut rig, at(10), 1, 5);
    meet(&mut rig, at(10), 2, 3);
    rig.tick(at(500));
    assert!(asked(&rig).is_empty());
}

#[test]
fn a_peer_that_asks_gets_what_is_in_force() {
    let mut rig = GatewayRig::new();
    meet(&mut rig, at(10), 1, 0);
    hear(&mut rig, at(11), 1, ToPeer::ConfigurationWanted);
    assert_eq!(whole_configurations(&rig), 1);
}

#[test]
fn a_peer_that_sends_an_older_one_changes_nothing() {
    let mut rig = GatewayRig::new();
    rig.event(at(1), GatewayEvent::Configuration(configuration(5)));
    meet(&mut rig, at(10), 1, 5);
    hear(&mut rig, at(11), 1, ToPeer::Configuration(configuration(3)));
    assert_eq!(rig.in_force, [1, 5]);
}
