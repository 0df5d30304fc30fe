//! Events that a gateway receives for updates of the operator's data.

use laurelstile_core::leased::evacuation::Evacuations;
use laurelstile_core::leased::gateway::GatewayEvent;
use laurelstile_core::leased::gateway::queues::QueueConfiguration;
use laurelstiled::leased::operator::OperatorWatcher;
use laurelstiled::leased::ports::{EvacuationChange, OperatorUpdate};

fn change(zone: &str, is_evacuated: bool) -> EvacuationChange {
    EvacuationChange {
        zone: zone.to_owned(),
        is_evacuated,
    }
}

fn update(cursor: u64, evacuations: Vec<EvacuationChange>) -> OperatorUpdate {
    OperatorUpdate {
        configuration: None,
        evacuations,
        cursor,
    }
}

/// Revision and zones of the evacuation event, if there is one.
fn evacuations(events: &[GatewayEvent]) -> Option<(u64, Vec<&str>)> {
    events.iter().find_map(|event| match event {
        GatewayEvent::Evacuations(Evacuations { revision, zones }) => {
            Some((*revision, zones.iter().map(String::as_str).collect()))
        }
        _ => None,
    })
}

#[test]
fn changes_are_applied_to_the_snapshot() {
    let mut watcher = OperatorWatcher::default();
    let events = watcher.apply_update(update(3, vec![change("a", true)]));
    assert_eq!(evacuations(&events), Some((3, vec!["a"])));
    let events = watcher.apply_update(update(4, vec![change("b", true)]));
    assert_eq!(evacuations(&events), Some((4, vec!["a", "b"])));
    let events = watcher.apply_update(update(9, Vec::new()));
    assert_eq!(
        evacuations(&events),
        None,
        "an update without changes produces no event"
    );
    let events = watcher.apply_update(update(10, vec![change("a", false), change("a", true)]));
    assert_eq!(evacuations(&events), Some((10, vec!["a", "b"])));
    let events = watcher.apply_update(update(11, vec![change("a", false)]));
    assert_eq!(evacuations(&events), Some((11, vec!["b"])));
}

#[test]
fn a_snapshot_replaces_the_previous_state() {
    let mut watcher = OperatorWatcher::default();
    watcher.apply_update(update(3, vec![change("a", true)]));
    watcher.reset();
    let events = watcher.apply_update(update(8, vec![change("c", true)]));
    assert_eq!(evacuations(&events), Some((8, vec!["c"])));
}

#[test]
fn evacuations_precede_the_configuration() {
    let mut watcher = OperatorWatcher::default();
    let update = OperatorUpdate {
        configuration: Some(QueueConfiguration::default()),
        evacuations: vec![change("a", true)],
        cursor: 2,
    };
    let events = watcher.apply_update(update);
    assert!(matches!(
        events.as_slice(),
        [GatewayEvent::Evacuations(_), GatewayEvent::Configuration(_)]
    ));
}
