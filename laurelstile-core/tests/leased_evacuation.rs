//! Evacuated zones: who hears of them, and that nothing starts there.

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
fn a_gateway_places_nothing_in_an_evacuated_zone_until_it_is_taken_back() {
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
fn agents_and_peers_are_told_at_once_and_new_sessions_first_of_all() {
    let mut rig = gateway_of_two_zones();
    let peer = SessionId(9);
    rig.open_peer(at(0), peer);
    let known = evacuations(5, &["here"]);
    rig.event(at(1), GatewayEvent::Evacuations(known.clone()));
    let told: Vec<SessionId> = rig
        .evacuations
        .iter()
        .map(|(session, _)| *session)
        .collect();
    assert_eq!(told, [SessionId(1), SessionId(2)]);
    let is_news = |message: &ToPeer| matches!(message, ToPeer::Evacuations(news) if *news == known);
    assert!(
        rig.to_peers
            .iter()
            .any(|(to, message)| *to == peer && is_news(message))
    );
    rig.join_from(at(5), 3, "agent-3", "parcels", "here", cpu(8_000));
    assert_eq!(rig.evacuations.last(), Some(&(SessionId(3), known)));
}

#[test]
fn what_a_peer_knows_counts_and_what_comes_late_does_not() {
    let mut rig = gateway_of_two_zones();
    let session = SessionId(9);
    rig.open_peer(at(0), session);
    let message = ToPeer::Evacuations(evacuations(7, &["here"]));
    rig.peer_message(at(1), session, message);
    let late = GatewayEvent::Evacuations(evacuations(6, &[]));
    rig.event(at(2), late);
    rig.submit(at(10), 1, job(1, 1, 100));
    assert_eq!(rig.next_start().0, SessionId(2));
}

/// A zone was taken back and evacuated again while this gateway did not read. Found by the
/// emulator: agents that others had told of the first knew of the second from nobody.
#[test]
fn a_reading_is_told_also_if_it_says_what_was_known() {
    let mut rig = gateway_of_two_zones();
    rig.event(at(1), GatewayEvent::Evacuations(evacuations(5, &["here"])));
    rig.evacuations.clear();
    let again = evacuations(9, &["here"]);
    rig.event(at(2), GatewayEvent::Evacuations(again.clone()));
    let told = [SessionId(1), SessionId(2)].map(|session| (session, again.clone()));
    assert_eq!(rig.evacuations, told);
}

#[test]
fn what_a_peer_confirms_is_not_passed_on() {
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
    assert!(rig.answers.is_empty(), "it waits for room");
    let begun = GatewayEvent::Evacuations(evacuations(5, &["here"]));
    rig.event(at(2), begun);
    rig.submit(at(3), 2, job(2, 1, 100));
    let is_refused = |answer: &Answer| matches!(answer, Answer::Refused { reason: Refusal::Evacuated, retry_after } if retry_after.0 > 0);
    assert_eq!(rig.answers.len(), 2);
    assert!(rig.answers.iter().all(|(_, answer)| is_refused(answer)));
}

#[test]
fn a_configuration_changes_nothing_about_evacuated_zones() {
    let mut rig = gateway_of_two_zones();
    rig.event(at(1), GatewayEvent::Evacuations(evacuations(5, &["here"])));
    rig.event(at(2), GatewayEvent::Configuration(configuration(8)));
    rig.submit(at(10), 1, job(1, 1, 100));
    assert_eq!(rig.next_start().0, SessionId(2));
}

/// The gateway that places may not have heard of it: cut off from the store, say.
#[test]
fn an_agent_refuses_starts_of_every_gateway_while_any_has_told_it() {
    let mut rig = AgentRig::with_worker(cpu(4_000));
    rig.open(at(1), OTHER_SESSION, Incarnation(8));
    let told = ToAgentBody::Evacuations(evacuations(5, &["there", "here"]));
    rig.message_from(at(2), OTHER_SESSION, told);
    let batch = rig.batch(1, 1, 50);
    rig.message(at(10), batch);
    assert!(rig.take_starts().is_empty());
    let refused = EndKind::NotStarted(NotStartedReason::Unavailable);
    assert_eq!(rig.ends(), [(task(1, 0), refused)]);
    assert_eq!(rig.last_report().map(|report| report.limit), Some(0));

    let late = ToAgentBody::Evacuations(evacuations(4, &[]));
    rig.message(at(20), late);
    assert!(!rig.is_available(), "older news change nothing");
    let ended = ToAgentBody::Evacuations(evacuations(6, &["there"]));
    rig.message(at(30), ended);
    let batch = rig.batch(2, 1, 50);
    rig.message(at(31), batch);
    assert_eq!(rig.take_starts(), [run(2, 0)]);
}

#[test]
fn an_evacuation_ends_what_waits_for_room_and_leaves_what_runs() {
    let mut rig = AgentRig::with_worker(cpu(1_000));
    let batch = rig.batch(1, 1, 50);
    rig.message(at(10), batch);
    let started = rig.take_starts();
    rig.answer_start(at(11), started[0], None);
    let batch = rig.batch(2, 1, 500);
    rig.message(at(12), batch);
    let told = ToAgentBody::Evacuations(evacuations(5, &["here"]));
    rig.message(at(13), told);
    let refused = EndKind::NotStarted(NotStartedReason::Unavailable);
    assert_eq!(rig.ends(), [(task(2, 0), refused)]);
    assert!(rig.take_stops().is_empty());
    rig.answer_watch(at(20), lists(&[(run(1, 0), 20)], &[]));
    assert_eq!(rig.machine.run_count(), 1);
}
