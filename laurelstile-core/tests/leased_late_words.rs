//! Heartbeats and deregistrations that are not from the worker's current incarnation: delayed
//! ones of an earlier incarnation, and those of another sender that uses the same id. They must
//! not change what is known of the current incarnation.

mod leased_support;

use laurelstile_core::leased::agent::worker::{Registration, RunLists};
use laurelstile_core::leased::agent::{
    AgentDecision, HeartbeatIgnoreReason, HeartbeatTiming, IncarnationEnd,
};
use laurelstile_core::leased::messages::{EndKind, FromAgentBody, ToAgentBody};
use laurelstile_core::leased::worker_incarnation::{StartTime, WorkerIncarnation};
use laurelstile_types::time::Span;
use leased_support::{
    AgentRig, FIRST_START, SECOND_START, SECOND_START_AFTER_CLOCK_STEP, SESSION, at, cpu,
    heartbeat_of, in_first_incarnation, incarnation, lists, registration, restarted, run, running,
    task,
};
use rstest::rstest;

/// The process did not exit after its deregistration; it must not be ignored forever.
#[test]
fn a_worker_heard_long_after_its_deregistration_is_used_again() {
    let mut rig = in_first_incarnation();
    rig.heartbeat(at(100), heartbeat_of(FIRST_START, 9_100, 4_000, true));
    rig.deregister(at(200));
    rig.answer_watch(at(201), RunLists::default());
    rig.heartbeat(at(20_000), heartbeat_of(FIRST_START, 29_000, 4_000, false));
    assert!(rig.take_watches().is_empty());
    rig.heartbeat(at(31_000), heartbeat_of(FIRST_START, 40_000, 4_000, false));
    rig.answer_watch(at(31_001), RunLists::default());
    assert!(rig.is_available());
}

#[rstest]
#[case::of_ended_incarnation(
    heartbeat_of(FIRST_START, 9_500, 1_000, true),
    HeartbeatIgnoreReason::EndedIncarnation
)]
#[case::without_start_time(
    registration(at(600), "worker-1".into(), cpu(1_000), true),
    HeartbeatIgnoreReason::NoStartTime
)]
#[case::of_another_service(
    Registration { service: "nowhere".into(), ..heartbeat_of(SECOND_START, 100, 1_000, true) },
    HeartbeatIgnoreReason::OtherService
)]
fn a_heartbeat_of_another_sender_or_an_ended_incarnation_is_ignored(
    #[case] heartbeat: Registration,
    #[case] reason: HeartbeatIgnoreReason,
) {
    let mut rig = restarted();
    rig.heartbeat(at(600), heartbeat);
    assert!(rig.is_available());
    let reported = rig.reported_free_cpu(SESSION);
    assert_eq!(reported, Some(4_000));
    let ignored = rig.decisions.iter().find_map(|decision| match decision {
        AgentDecision::HeartbeatIgnored { reason, .. } => Some(*reason),
        _ => None,
    });
    assert_eq!(ignored, Some(reason));
}

/// The first heartbeat may be from another sender; the service that the worker keeps reporting
/// prevails.
#[rstest]
#[case::worker_only(&[], "meadows")]
#[case::alternating_with_known_service(&[1_600, 3_100, 4_600], "parcels")]
fn the_service_that_is_reported_consistently_prevails(
    #[case] known_at: &[u64],
    #[case] service: &str,
) {
    let mut rig = AgentRig::with_heartbeats(HeartbeatTiming {
        interval: Span::from_millis(1_500),
        grace: Span::from_secs(3),
    });
    rig.incarnation = incarnation(FIRST_START);
    rig.heartbeat(at(0), heartbeat_of(FIRST_START, 9_000, 4_000, false));
    for millis in (100..5_000).step_by(100) {
        let heartbeat = heartbeat_of(FIRST_START, 9_000 + millis, 4_000, false);
        let service = if known_at.contains(&millis) {
            heartbeat.service.clone()
        } else {
            "meadows".into()
        };
        rig.heartbeat(
            at(millis),
            Registration {
                service,
                ..heartbeat
            },
        );
        rig.answer_watch(at(millis), RunLists::default());
        rig.message(at(millis), ToAgentBody::Heartbeat);
    }
    let mut snapshots = rig
        .sent
        .iter()
        .filter_map(|(_, message)| match &message.body {
            FromAgentBody::Snapshot(snapshot) => Some(snapshot.service.as_str()),
            _ => None,
        });
    assert_eq!(snapshots.next_back(), Some(service));
}

/// An agent that was started after an incarnation had ended does not know that incarnation.
#[test]
fn a_delayed_heartbeat_of_an_unknown_incarnation_does_not_affect_the_current_one() {
    let mut rig = AgentRig::new();
    rig.incarnation = incarnation(SECOND_START);
    rig.heartbeat(at(0), heartbeat_of(SECOND_START, 1, 4_000, false));
    rig.answer_watch(at(1), RunLists::default());
    rig.heartbeat(at(50), heartbeat_of(FIRST_START, 9_000, 1_000, true));
    assert!(!rig.is_available(), "the worker is queried first");
    for millis in [51, 52] {
        rig.answer_watch(at(millis), RunLists::default());
    }
    assert!(rig.is_available());
    rig.heartbeat(at(60), heartbeat_of(FIRST_START, 8_000, 1_000, true));
    assert!(rig.is_available(), "the incarnation is known to have ended");
}

/// If the run lists carry no start time, the incarnation with the later start time is taken to
/// be current.
#[rstest]
#[case::later(SECOND_START, 2)]
#[case::earlier(SECOND_START_AFTER_CLOCK_STEP, 0)]
fn run_lists_without_a_start_time_do_not_hide_a_restart(
    #[case] started_at: u64,
    #[case] lost: usize,
) {
    let mut rig = running();
    rig.answer_watch_of(
        at(20),
        None,
        Ok(lists(&[(run(1, 0), 10), (run(1, 1), 10)], &[])),
    );
    rig.heartbeat(at(30), heartbeat_of(started_at, 1, 4_000, false));
    rig.answer_watch_of(
        at(40),
        None,
        Ok(lists(&[(run(1, 0), 10), (run(1, 1), 10)], &[])),
    );
    rig.tick(at(41));
    rig.answer_watch_of(at(42), None, Ok(RunLists::default()));
    let is_restart = |decision: &&AgentDecision| {
        matches!(
            decision,
            AgentDecision::IncarnationEnded {
                end: IncarnationEnd::Restarted,
                ..
            }
        )
    };
    let ends = rig.decisions.iter().filter(is_restart).count();
    assert_eq!(ends, usize::from(lost > 0));
}

/// A deregistration carries only the worker id, so it may be a delayed one of the previous
/// incarnation.
#[test]
fn a_delayed_deregistration_stops_no_runs() {
    let mut rig = restarted();
    let batch = rig.batch(2, 1, 50);
    rig.message(at(600), batch);
    for started in rig.take_starts() {
        rig.answer_start(at(601), started, None);
    }
    let ends = rig.ends().len();
    rig.deregister(at(610));
    assert!(
        !rig.is_available(),
        "not before a heartbeat tells which incarnation sent it"
    );
    assert!(rig.take_stops().is_empty());
    rig.heartbeat(at(700), heartbeat_of(SECOND_START, 200, 4_000, false));
    assert!(rig.is_available());
    assert_eq!(rig.deregistrations, ["worker-1"]);
    assert_eq!(rig.ends().len(), ends);
}

#[test]
fn a_deregistration_is_confirmed_by_a_draining_heartbeat() {
    let mut rig = running();
    rig.deregister(at(100));
    rig.heartbeat(at(200), heartbeat_of(FIRST_START, 9_200, 4_000, true));
    assert_eq!(rig.take_stops(), [run(1, 0), run(1, 1)]);
}

/// No heartbeat shows which incarnation the deregistration came from.
#[test]
fn an_unconfirmed_deregistration_is_answered() {
    let mut rig = running();
    rig.deregister(at(100));
    rig.tick(at(900));
    assert_eq!(rig.deregistrations, ["worker-1"]);
    assert!(!rig.is_available());
    for millis in (950..1_700).step_by(50) {
        rig.message(at(millis), ToAgentBody::Heartbeat);
        rig.refuse_watch(at(millis));
        assert!(rig.ends().is_empty(), "at {millis} ms");
    }
    rig.tick(at(1_800));
    assert_eq!(rig.ends().len(), 2, "the lease has expired");
    let is_crash = |body: &FromAgentBody| matches!(body, FromAgentBody::Crashes(_));
    let mut sent = rig.sent.iter();
    assert!(!sent.any(|(_, message)| is_crash(&message.body)));
}

/// An unreadable entry may be the run that appears to be missing.
#[test]
fn a_run_missing_from_a_list_with_unreadable_entries_is_not_lost() {
    let mut rig = running();
    let mut listed = lists(&[(run(1, 0), 10)], &[]);
    listed.unreadable = 1;
    for millis in [30, 40] {
        rig.answer_watch(at(millis), listed.clone());
    }
    assert!(rig.ends().is_empty());
    listed.unreadable = 0;
    rig.answer_watch(at(50), listed);
    assert_eq!(rig.ends(), [(task(1, 1), EndKind::Lost)]);
}

/// Another sender, which reports no start time, was heard first.
#[test]
fn an_incarnation_with_a_start_time_replaces_one_without() {
    let mut rig = AgentRig::new();
    rig.incarnation = "worker-1".into();
    rig.register(at(0), "worker-1", cpu(1_000), true);
    rig.heartbeat(at(1), heartbeat_of(FIRST_START, 9_000, 4_000, false));
    for queried in [
        WorkerIncarnation::from("worker-1"),
        incarnation(FIRST_START),
    ] {
        rig.incarnation = queried;
        rig.answer_watch_of(at(2), Some(StartTime(FIRST_START)), Ok(RunLists::default()));
    }
    assert!(rig.is_available());
}
