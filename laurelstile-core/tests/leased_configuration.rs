//! Propagation of configurations between gateways.

mod leased_support;

use laurelstile_core::leased::gateway::GatewayEvent;
use laurelstile_core::leased::messages::ToPeer;
use laurelstile_core::session::SessionId;
use laurelstile_types::time::Timestamp;
use leased_support::{GatewayRig, at, configuration};

fn connect_peer(rig: &mut GatewayRig, now: Timestamp, peer: u64, version: u64) {
    let session = SessionId(peer);
    rig.open_peer(now, session);
    receive(rig, now, peer, ToPeer::InForce(version));
}

fn receive(rig: &mut GatewayRig, now: Timestamp, peer: u64, message: ToPeer) {
    let session = SessionId(peer);
    rig.peer_message(now, session, message);
}

/// The peers whose configuration was requested, in order.
fn requested_from(rig: &GatewayRig) -> Vec<u64> {
    let sent = rig.to_peers.iter();
    sent.filter(|(_, message)| matches!(message, ToPeer::ConfigurationWanted))
        .map(|(session, _)| session.0)
        .collect()
}

fn sent_configurations(rig: &GatewayRig) -> usize {
    let sent = rig.to_peers.iter();
    sent.filter(|(_, message)| matches!(message, ToPeer::Configuration(_)))
        .count()
}

#[test]
fn peers_are_sent_only_the_version() {
    let mut rig = GatewayRig::new();
    for peer in 1..=54 {
        connect_peer(&mut rig, at(peer), peer, 1);
    }
    rig.event(at(100), GatewayEvent::Configuration(configuration(2)));
    assert_eq!(sent_configurations(&rig), 0);
    let versions = rig.to_peers.iter();
    let notified = versions.filter(|(_, message)| matches!(message, ToPeer::InForce(2)));
    assert_eq!(notified.count(), 54);
}

#[test]
fn a_newer_configuration_is_requested_from_one_peer_and_put_in_force() {
    let mut rig = GatewayRig::new();
    for peer in 1..=54 {
        connect_peer(&mut rig, at(10), peer, 7);
    }
    assert_eq!(requested_from(&rig).len(), 1, "one request is enough");
    let peer = requested_from(&rig)[0];
    receive(
        &mut rig,
        at(12),
        peer,
        ToPeer::Configuration(configuration(7)),
    );
    assert_eq!(rig.in_force, [1, 7]);
    rig.tick(at(1_000));
    assert_eq!(requested_from(&rig).len(), 1);
}

#[test]
fn an_unanswered_request_is_repeated_to_the_next_peer() {
    let mut rig = GatewayRig::new();
    for peer in 1..=3 {
        connect_peer(&mut rig, at(10), peer, 7);
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
    assert_eq!(requested_from(&rig), [1, 2, 3, 1, 2]);
}

#[test]
fn nothing_is_requested_from_peers_with_the_same_or_an_older_configuration() {
    let mut rig = GatewayRig::new();
    rig.event(at(1), GatewayEvent::Configuration(configuration(5)));
    connect_peer(&mut rig, at(10), 1, 5);
    connect_peer(&mut rig, at(10), 2, 3);
    rig.tick(at(500));
    assert!(requested_from(&rig).is_empty());
}

#[test]
fn a_request_is_answered_with_the_configuration_in_force() {
    let mut rig = GatewayRig::new();
    connect_peer(&mut rig, at(10), 1, 0);
    receive(&mut rig, at(11), 1, ToPeer::ConfigurationWanted);
    assert_eq!(sent_configurations(&rig), 1);
}

#[test]
fn an_older_configuration_is_ignored() {
    let mut rig = GatewayRig::new();
    rig.event(at(1), GatewayEvent::Configuration(configuration(5)));
    connect_peer(&mut rig, at(10), 1, 5);
    receive(&mut rig, at(11), 1, ToPeer::Configuration(configuration(3)));
    assert_eq!(rig.in_force, [1, 5]);
}
