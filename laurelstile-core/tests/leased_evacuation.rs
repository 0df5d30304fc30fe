//! Tests for evacuated zones: their distribution, and that no task starts there.

mod leased_support;

use laurelstile_core::leased::gateway::{Answer, GatewayEvent, Refusal};
use laurelstile_core::leased::messages::{EndKind, NotStartedReason, ToAgentBody, ToPeer};
use laurelstile_core::session::SessionId;
use laurelstile_types::id::Incarnation;
use leased_support::{
    AgentRig, GatewayRig, at, configuration, cpu, evacuations, job, lists, run, task,
};

const OTHER_SESSION: SessionId = SessionId(71);

/// A gateway with a worker in its own zone and one in another.
fn gateway_of_two_zones() -> GatewayRig {
    let mut rig = GatewayRig::new();
    rig.join_from(at(0), 1, "agent-1", "parcels", "here", cpu(8_000));
    rig.join_from(at(0), 2, "agent-2", "parcels", "there", cpu(8_000));
    rig
}

#[test]
fn a_gateway_places_nothing_in_an_evacuated_zone_until_it_is_restored() {
    let mut rig = gateway_of_two_zones();
    let begun = GatewayEvent::Evacuations(evacuations(5, &["here"]));
    rig.event(at(1), begun);
    rig.submit(at(10), 1, job(1, 6, 100));
    assert_eq!(rig.next_start().0, SessionId(2));
    let ended = GatewayEvent::Evacuations(evacuations(6, &[]));
    rig.event(at(20), ended);
    rig.submit(at(30), 2, job(2, 6, 100));
    assert_eq!(rig.next_start().0, SessionId(1));
}

#[test]
fn evacuations_are_sent_at_once_and_first_on_new_sessions() {
    let mut rig = gateway_of_two_zones();
    let peer = SessionId(9);
    rig.open_peer(at(0), peer);
    let known = evacuations(5, &["here"]);
    rig.event(at(1), GatewayEvent::Evacuations(known.clone()));
    let sent: Vec<SessionId> = rig
        .evacuations
        .iter()
        .map(|(session, _)| *session)
        .collect();
    assert_eq!(sent, [SessionId(1), SessionId(2)]);
    let is_update =
        |message: &ToPeer| matches!(message, ToPeer::Evacuations(update) if *update == known);
    assert!(
        rig.to_peers
            .iter()
            .any(|(to, message)| *to == peer && is_update(message))
    );
    rig.join_from(at(5), 3, "agent-3", "parcels", "here", cpu(8_000));
    assert_eq!(rig.evacuations.last(), Some(&(SessionId(3), known)));
}

#[test]
fn evacuations_from_peers_apply_and_older_revisions_do_not() {
    let mut rig = gateway_of_two_zones();
    let session = SessionId(9);
    rig.open_peer(at(0), session);
    let message = ToPeer::Evacuations(evacuations(7, &["here"]));
    rig.peer_message(at(1), session, message);
    let older = GatewayEvent::Evacuations(evacuations(6, &[]));
    rig.event(at(2), older);
    rig.submit(at(10), 1, job(1, 1, 100));
    assert_eq!(rig.next_start().0, SessionId(2));
}

/// Guards against missed changes: a zone may have been restored and evacuated again between
/// two reads, and agents may have learned only of the first change.
#[test]
fn evacuations_read_from_the_store_are_sent_even_if_unchanged() {
    let mut rig = gateway_of_two_zones();
    rig.event(at(1), GatewayEvent::Evacuations(evacuations(5, &["here"])));
    rig.evacuations.clear();
    let again = evacuations(9, &["here"]);
    rig.event(at(2), GatewayEvent::Evacuations(again.clone()));
    let sent = [SessionId(1), SessionId(2)].map(|session| (session, again.clone()));
    assert_eq!(rig.evacuations, sent);
}

#[test]
fn unchanged_evacuations_from_a_peer_are_not_forwarded() {
    let mut rig = gateway_of_two_zones();
    let session = SessionId(9);
    rig.open_peer(at(0), session);
    rig.event(at(1), GatewayEvent::Evacuations(evacuations(5, &["here"])));
    rig.evacuations.clear();
    let message = ToPeer::Evacuations(evacuations(9, &["here"]));
    rig.peer_message(at(2), session, message);
    assert!(rig.evacuations.is_empty());
}

#[test]
fn a_job_is_refused_at_once_where_every_zone_is_evacuated() {
    let mut rig = GatewayRig::new();
    rig.join_from(at(0), 1, "agent-1", "parcels", "here", cpu(500));
    rig.submit(at(1), 1, job(1, 1, 100));
    assert!(rig.answers.is_empty(), "it waits for free resources");
    let begun = GatewayEvent::Evacuations(evacuations(5, &["here"]));
    rig.event(at(2), begun);
    rig.submit(at(3), 2, job(2, 1, 100));
    let is_refused = |answer: &Answer| matches!(answer, Answer::Refused { reason: Refusal::Evacuated, retry_after } if retry_after.0 > 0);
    assert_eq!(rig.answers.len(), 2);
    assert!(rig.answers.iter().all(|(_, answer)| is_refused(answer)));
}

#[test]
fn a_configuration_does_not_change_evacuated_zones() {
    let mut rig = gateway_of_two_zones();
    rig.event(at(1), GatewayEvent::Evacuations(evacuations(5, &["here"])));
    rig.event(at(2), GatewayEvent::Configuration(configuration(8)));
    rig.submit(at(10), 1, job(1, 1, 100));
    assert_eq!(rig.next_start().0, SessionId(2));
}

/// The gateway that sends a start may not know of the evacuation, for example while it cannot
/// reach the store.
#[test]
fn an_agent_in_an_evacuated_zone_refuses_starts_of_every_gateway() {
    let mut rig = AgentRig::with_worker(cpu(4_000));
    rig.open(at(1), OTHER_SESSION, Incarnation(8));
    let sent = ToAgentBody::Evacuations(evacuations(5, &["there", "here"]));
    rig.message_from(at(2), OTHER_SESSION, sent);
    let batch = rig.batch(1, 1, 50);
    rig.message(at(10), batch);
    assert!(rig.take_starts().is_empty());
    let refused = EndKind::NotStarted(NotStartedReason::Unavailable);
    assert_eq!(rig.ends(), [(task(1, 0), refused)]);
    assert_eq!(rig.last_report().map(|report| report.limit), Some(0));

    let older = ToAgentBody::Evacuations(evacuations(4, &[]));
    rig.message(at(20), older);
    assert!(!rig.is_available(), "older revisions are ignored");
    let ended = ToAgentBody::Evacuations(evacuations(6, &["there"]));
    rig.message(at(30), ended);
    let batch = rig.batch(2, 1, 50);
    rig.message(at(31), batch);
    assert_eq!(rig.take_starts(), [run(2, 0)]);
}

#[test]
fn an_evacuation_refuses_queued_starts_and_keeps_running_tasks() {
    let mut rig = AgentRig::with_worker(cpu(1_000));
    let batch = rig.batch(1, 1, 50);
    rig.message(at(10), batch);
    let started = rig.take_starts();
    rig.answer_start(at(11), started[0], None);
    let batch = rig.batch(2, 1, 500);
    rig.message(at(12), batch);
    let sent = ToAgentBody::Evacuations(evacuations(5, &["here"]));
    rig.message(at(13), sent);
    let refused = EndKind::NotStarted(NotStartedReason::Unavailable);
    assert_eq!(rig.ends(), [(task(2, 0), refused)]);
    assert!(rig.take_stops().is_empty());
    rig.answer_watch(at(20), lists(&[(run(1, 0), 20)], &[]));
    assert_eq!(rig.machine.run_count(), 1);
}
