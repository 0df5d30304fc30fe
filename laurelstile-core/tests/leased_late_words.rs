//! Words that are not of the worker's present life: late ones of a life before, and those of
//! other writers. They name no worker to use, and what is known of the present life holds.

mod leased_support;

use laurelstile_core::leased::agent::worker::{Registration, WorkerLists};
use laurelstile_core::leased::agent::{AgentDecision, HeartbeatTimes, IgnoredHeartbeat, LifeEnd};
use laurelstile_core::leased::messages::{EndKind, FromAgentBody, ToAgentBody};
use laurelstile_core::leased::worker_incarnation::{StartTime, WorkerIncarnation};
use laurelstile_types::time::Span;
use leased_support::{
    AgentRig, FIRST_START, SECOND_START, SECOND_START_AFTER_CLOCK_STEP, SESSION, at, cpu,
    heartbeat_of, in_first_incarnation, incarnation, lists, registration, restarted, run, running,
    task,
};
use rstest::rstest;

/// Its process has not ended after all: it is not ignored for good.
#[test]
fn a_worker_that_is_heard_long_after_its_deregistration_is_taken_up_again() {
    let mut rig = in_first_incarnation();
    rig.heartbeat(at(100), heartbeat_of(FIRST_START, 9_100, 4_000, true));
    rig.deregister(at(200));
    rig.answer_watch(at(201), WorkerLists::default());
    rig.heartbeat(at(20_000), heartbeat_of(FIRST_START, 29_000, 4_000, false));
    assert!(rig.take_watches().is_empty());
    rig.heartbeat(at(31_000), heartbeat_of(FIRST_START, 40_000, 4_000, false));
    rig.answer_watch(at(31_001), WorkerLists::default());
    assert!(rig.is_available());
}

#[rstest]
#[case::of_before(
    heartbeat_of(FIRST_START, 9_500, 1_000, true),
    IgnoredHeartbeat::EndedLife
)]
#[case::without_birth(
    registration(at(600), "worker-1".into(), cpu(1_000), true),
    IgnoredHeartbeat::NoBirth
)]
#[case::of_another_service(
    Registration { service: "nowhere".into(), ..heartbeat_of(SECOND_START, 100, 1_000, true) },
    IgnoredHeartbeat::OtherService
)]
fn a_word_of_another_writer_or_of_before_changes_nothing(
    #[case] heartbeat_of: Registration,
    #[case] reason: IgnoredHeartbeat,
) {
    let mut rig = restarted();
    rig.heartbeat(at(600), heartbeat_of);
    assert!(rig.is_available());
    let told = rig.reported_free_cpu(SESSION);
    assert_eq!(told, Some(4_000));
    let ignored = rig.decisions.iter().find_map(|decision| match decision {
        AgentDecision::HeartbeatIgnored { reason, .. } => Some(*reason),
        _ => None,
    });
    assert_eq!(ignored, Some(reason));
}

/// The first word may have been another writer's: what the worker goes on to say holds.
#[rstest]
#[case::the_worker_alone(&[], "meadows")]
#[case::beside_the_known_service(&[1_600, 3_100, 4_600], "parcels")]
fn a_service_that_alone_is_named_for_long_is_the_workers(
    #[case] known_at: &[u64],
    #[case] service: &str,
) {
    let mut rig = AgentRig::with_heartbeats(HeartbeatTimes {
        interval: Span::from_millis(1_500),
        grace: Span::from_secs(3),
    });
    rig.incarnation = incarnation(FIRST_START);
    rig.heartbeat(at(0), heartbeat_of(FIRST_START, 9_000, 4_000, false));
    for millis in (100..5_000).step_by(100) {
        let heartbeat_of = heartbeat_of(FIRST_START, 9_000 + millis, 4_000, false);
        let service = if known_at.contains(&millis) {
            heartbeat_of.service.clone()
        } else {
            "meadows".into()
        };
        rig.heartbeat(
            at(millis),
            Registration {
                service,
                ..heartbeat_of
            },
        );
        rig.answer_watch(at(millis), WorkerLists::default());
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

/// A late heartbeat of a life of which this agent never heard: it started in between.
#[test]
fn a_late_heartbeat_of_a_life_unheard_of_leaves_the_present_one_alone() {
    let mut rig = AgentRig::new();
    rig.incarnation = incarnation(SECOND_START);
    rig.heartbeat(at(0), heartbeat_of(SECOND_START, 1, 4_000, false));
    rig.answer_watch(at(1), WorkerLists::default());
    rig.heartbeat(at(50), heartbeat_of(FIRST_START, 9_000, 1_000, true));
    assert!(!rig.is_available(), "the worker is asked");
    for millis in [51, 52] {
        rig.answer_watch(at(millis), WorkerLists::default());
    }
    assert!(rig.is_available());
    rig.heartbeat(at(60), heartbeat_of(FIRST_START, 8_000, 1_000, true));
    assert!(rig.is_available(), "it is known now");
}

/// Lists that do not tell a birth leave the later of the two to be there.
#[rstest]
#[case::later(SECOND_START, 2)]
#[case::earlier(SECOND_START_AFTER_CLOCK_STEP, 0)]
fn lists_without_a_birth_do_not_hide_a_restart(#[case] started_at: u64, #[case] lost: usize) {
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
    rig.answer_watch_of(at(42), None, Ok(WorkerLists::default()));
    let over = |decision: &&AgentDecision| {
        matches!(
            decision,
            AgentDecision::LifeOver {
                end: LifeEnd::Reborn,
                ..
            }
        )
    };
    let ends = rig.decisions.iter().filter(over).count();
    assert_eq!(ends, usize::from(lost > 0));
}

/// A deregistration names the id alone. That of the life before may come late.
#[test]
fn a_late_deregistration_ends_nothing() {
    let mut rig = restarted();
    let batch = rig.batch(2, 1, 50);
    rig.message(at(600), batch);
    for started in rig.take_starts() {
        rig.answer_start(at(601), started, None);
    }
    let ends = rig.ends().len();
    rig.deregister(at(610));
    assert!(!rig.is_available(), "until the worker tells whose it is");
    assert!(rig.take_stops().is_empty());
    rig.heartbeat(at(700), heartbeat_of(SECOND_START, 200, 4_000, false));
    assert!(rig.is_available());
    assert_eq!(rig.deregistrations, ["worker-1"]);
    assert_eq!(rig.ends().len(), ends);
}

/// It is the present life's after all: an earlier agent knew that it drains.
#[test]
fn a_deregistration_is_believed_once_the_life_says_that_it_drains() {
    let mut rig = running();
    rig.deregister(at(100));
    rig.heartbeat(at(200), heartbeat_of(FIRST_START, 9_200, 4_000, true));
    assert_eq!(rig.take_stops(), [run(1, 0), run(1, 1)]);
}

/// Nobody says whose it is: it is answered in time, and nothing starts.
#[test]
fn a_deregistration_that_nobody_explains_is_answered() {
    let mut rig = running();
    rig.deregister(at(100));
    rig.tick(at(900));
    assert_eq!(rig.deregistrations, ["worker-1"]);
    assert!(!rig.is_available());
    rig.refuse_watch(at(950));
    assert!(rig.ends().is_empty(), "its door may close before it ends");
}

/// One of them may be that run.
#[test]
fn a_run_is_not_over_because_a_list_with_unreadable_entries_lacks_it() {
    let mut rig = running();
    let mut shown = lists(&[(run(1, 0), 10)], &[]);
    shown.unreadable = 1;
    for millis in [30, 40] {
        rig.answer_watch(at(millis), shown.clone());
    }
    assert!(rig.ends().is_empty());
    shown.unreadable = 0;
    rig.answer_watch(at(50), shown);
    assert_eq!(rig.ends(), [(task(1, 1), EndKind::Lost)]);
}

/// Another writer was heard first, and told no birth.
#[test]
fn a_life_that_tells_its_birth_follows_one_that_does_not() {
    let mut rig = AgentRig::new();
    rig.incarnation = "worker-1".into();
    rig.register(at(0), "worker-1", cpu(1_000), true);
    rig.heartbeat(at(1), heartbeat_of(FIRST_START, 9_000, 4_000, false));
    for asked in [
        WorkerIncarnation::from("worker-1"),
        incarnation(FIRST_START),
    ] {
        rig.incarnation = asked;
        rig.answer_watch_of(
            at(2),
            Some(StartTime(FIRST_START)),
            Ok(WorkerLists::default()),
        );
    }
    assert!(rig.is_available());
}
