//! What a gateway makes of the readings of what operators leave.

use laurelstile_core::leased::evacuation::Evacuations;
use laurelstile_core::leased::gateway::GatewayEvent;
use laurelstile_core::leased::gateway::queues::QueueConfiguration;
use laurelstiled::leased::operator::Follower;
use laurelstiled::leased::ports::{EvacuationChange, OperatorNews};

fn change(zone: &str, is_evacuated: bool) -> EvacuationChange {
    EvacuationChange {
        zone: zone.to_owned(),
        is_evacuated,
    }
}

fn reading(cursor: u64, evacuations: Vec<EvacuationChange>) -> OperatorNews {
    OperatorNews {
        configuration: None,
        evacuations,
        cursor,
    }
}

/// The evacuations that the gateway is told, with their revision.
fn told(events: &[GatewayEvent]) -> Option<(u64, Vec<&str>)> {
    events.iter().find_map(|event| match event {
        GatewayEvent::Evacuations(Evacuations { revision, zones }) => {
            Some((*revision, zones.iter().map(String::as_str).collect()))
        }
        _ => None,
    })
}

#[test]
fn changes_add_to_what_was_read_and_zones_are_taken_back() {
    let mut follower = Follower::default();
    let events = follower.take(reading(3, vec![change("a", true)]));
    assert_eq!(told(&events), Some((3, vec!["a"])));
    let events = follower.take(reading(4, vec![change("b", true)]));
    assert_eq!(told(&events), Some((4, vec!["a", "b"])));
    let events = follower.take(reading(9, Vec::new()));
    assert_eq!(told(&events), None, "nothing has changed");
    let events = follower.take(reading(10, vec![change("a", false), change("a", true)]));
    assert_eq!(told(&events), Some((10, vec!["a", "b"])));
    let events = follower.take(reading(11, vec![change("a", false)]));
    assert_eq!(told(&events), Some((11, vec!["b"])));
}

#[test]
fn a_whole_reading_replaces_what_was_known() {
    let mut follower = Follower::default();
    follower.take(reading(3, vec![change("a", true)]));
    follower.forget();
    let events = follower.take(reading(8, vec![change("c", true)]));
    assert_eq!(told(&events), Some((8, vec!["c"])));
}

#[test]
fn evacuations_are_told_before_the_configuration() {
    let mut follower = Follower::default();
    let news = OperatorNews {
        configuration: Some(QueueConfiguration::default()),
        evacuations: vec![change("a", true)],
        cursor: 2,
    };
    let events = follower.take(news);
    assert!(matches!(
        events.as_slice(),
        [GatewayEvent::Evacuations(_), GatewayEvent::Configuration(_)]
    ));
}
