//! A worker that starts again under the id that it had.
//!
//! Seen: two tasks were started on a worker 2.2 s after its agent had acknowledged that it
//! leaves; and on a day on which all workers had come back once, none of them was given a task
//! later than 4 s after its return.
//!
//! How it came about: the worker's process ended and its agent saw that. It started again some
//! seconds later under its id, was used, and said that it leaves.
//!
//! Cause: the agent took the id for the life. It kept the id among the lives that had ended, and
//! held whatever came under it for a late heartbeat of the dead: answered, and not heeded.
//!
//! Proof: the agent's log of that day has the return of the worker and the answer to its word, and
//! no line that it drains. The tests below bring it about; each failed while an id was all that
//! told one start of a worker from another.

mod leased_support;

use laurelstile_core::leased::agent::worker::{
    Registration, Rejection, WorkerClock, WorkerEndKind, WorkerLists,
};
use laurelstile_core::leased::agent::{AgentDecision, AgentEvent, WatchAnswer};
use laurelstile_core::leased::messages::{EndKind, FromAgentBody};
use laurelstile_core::leased::worker_incarnation::{StartTime, WorkerIncarnation};
use leased_support::{
    AgentRig, FIRST_START, SECOND_START, SECOND_START_AFTER_CLOCK_STEP, answer_restarted, at, cpu,
    heartbeat_of, in_first_incarnation, incarnation, lists, registration, restarted, run, running,
    task,
};
use rstest::rstest;

/// Workers that do not tell their births, too.
#[rstest]
#[case::birth_told(Some(FIRST_START), Some(SECOND_START))]
#[case::birth_not_told(None, None)]
fn a_worker_that_came_back_and_leaves_is_given_nothing(
    #[case] first: Option<u64>,
    #[case] second: Option<u64>,
) {
    let named = |started_at: Option<u64>| WorkerIncarnation {
        id: "worker-1".into(),
        started_at: started_at.map(StartTime),
    };
    let mut rig = AgentRig::new();
    rig.incarnation = named(first);
    rig.heartbeat(at(0), registration(at(0), named(first), cpu(4_000), false));
    rig.answer_watch(at(1), WorkerLists::default());
    let batch = rig.batch(1, 1, 50);
    rig.message(at(10), batch);
    rig.refuse_watch(at(20));
    rig.incarnation = named(second);
    let back = registration(at(500), named(second), cpu(4_000), false);
    rig.heartbeat(at(500), back);
    rig.answer_watch(at(501), WorkerLists::default());
    rig.take_starts();
    let leaves = registration(at(1_000), named(second), cpu(4_000), true);
    rig.heartbeat(at(1_000), leaves);
    let batch = rig.batch(2, 1, 50);
    rig.message(at(3_200), batch);
    assert!(
        rig.take_starts().is_empty(),
        "started 2.2 s after the answer"
    );
}

#[test]
fn room_that_shrinks_after_the_return_is_heeded() {
    let mut rig = restarted();
    rig.heartbeat(at(1_000), heartbeat_of(SECOND_START, 500, 1_000, false));
    let batch = rig.batch(2, 3, 0);
    rig.message(at(1_010), batch);
    assert_eq!(rig.take_starts().len(), 1, "there is room for one");
}

/// What is heard of the worker goes on to count: nothing ages.
#[test]
fn heartbeats_after_the_return_are_not_set_aside() {
    let mut rig = restarted();
    for second in 1..20 {
        rig.heartbeat(
            at(500 + second * 1_000),
            heartbeat_of(SECOND_START, second * 1_000, 4_000, false),
        );
    }
    let ignored =
        |decision: &AgentDecision| matches!(decision, AgentDecision::HeartbeatIgnored { .. });
    assert!(!rig.decisions.iter().any(ignored));
}

/// It left in a planned way, and came back.
#[test]
fn a_worker_that_left_is_taken_up_again() {
    let mut rig = in_first_incarnation();
    rig.heartbeat(at(1_000), heartbeat_of(FIRST_START, 10_000, 4_000, true));
    rig.deregister(at(3_100));
    rig.answer_watch(at(3_101), WorkerLists::default());
    assert_eq!(rig.deregistrations, ["worker-1"]);
    rig.heartbeat(at(3_200), heartbeat_of(FIRST_START, 12_200, 4_000, true));
    rig.incarnation = incarnation(SECOND_START);
    rig.heartbeat(at(4_000), heartbeat_of(SECOND_START, 1, 4_000, false));
    rig.answer_watch(at(4_001), WorkerLists::default());
    assert!(rig.is_available());
}

/// Nobody saw it end: the lists of a process that was born at another time prove it.
#[rstest]
#[case::later(SECOND_START)]
#[case::by_a_clock_set_back(SECOND_START_AFTER_CLOCK_STEP)]
fn what_ran_before_an_unseen_restart_is_over(#[case] started_at: u64) {
    let mut rig = running();
    rig.heartbeat(at(30), heartbeat_of(started_at, 1, 4_000, false));
    assert!(!rig.is_available(), "one of the two lives is not there");
    answer_restarted(&mut rig, at(31), started_at, WorkerLists::default());
    let lost = [(task(1, 0), EndKind::Lost), (task(1, 1), EndKind::Lost)];
    assert_eq!(rig.ends(), lost);
    assert!(rig.is_available());
    rig.heartbeat(at(1_000), heartbeat_of(started_at, 970, 4_000, true));
    assert!(!rig.is_available(), "its next word is heeded");
}

/// The lists may come before the first heartbeat: what the worker is like is not known then.
#[test]
fn a_restart_that_only_the_lists_tell_of_waits_for_the_first_heartbeat() {
    let mut rig = running();
    answer_restarted(&mut rig, at(40), SECOND_START, WorkerLists::default());
    assert_eq!(rig.ends().len(), 2);
    assert!(!rig.is_available());
    let service = "nowhere".into();
    let other = heartbeat_of(SECOND_START, 20, 500, true);
    rig.heartbeat(at(50), Registration { service, ..other });
    assert!(
        !rig.is_available(),
        "another writer's word is not the first"
    );
    rig.heartbeat(at(60), heartbeat_of(SECOND_START, 30, 1_000, false));
    assert!(rig.is_available());
    let batch = rig.batch(2, 3, 0);
    rig.message(at(70), batch);
    assert_eq!(rig.take_starts().len(), 1, "it has come back smaller");
}

#[test]
fn leases_of_the_next_life_are_counted_by_its_own_clock() {
    let mut rig = running();
    rig.heartbeat(at(30), heartbeat_of(SECOND_START, 1, 4_000, false));
    for (asked, clock) in [(FIRST_START, 2), (SECOND_START, 3)] {
        let answer = Ok(WatchAnswer {
            clock: Some(WorkerClock(clock)),
            started_at: Some(StartTime(SECOND_START)),
            lists: Ok(WorkerLists::default()),
        });
        let life = incarnation(asked);
        rig.event(at(29 + clock), AgentEvent::Watched { life, answer });
    }
    rig.orders.clear();
    let batch = rig.batch(2, 1, 0);
    rig.message(at(33), batch);
    let latest = rig.leases().into_iter().max().expect("a lease");
    assert!(latest <= WorkerClock(1_100), "{latest:?}");
}

/// The numbers of its ends begin anew, so those of before would have it forget ends unread.
#[test]
fn ends_are_acknowledged_to_the_life_that_told_them() {
    let mut rig = running();
    let done = [(7, run(1, 0), WorkerEndKind::Done)];
    rig.answer_watch(at(40), lists(&[(run(1, 1), 50)], &done));
    assert_eq!(rig.take_watches()[0].0, 7);
    rig.answer_watch(at(41), lists(&[(run(1, 1), 50)], &[]));
    assert_eq!(rig.take_watches()[0].0, 0, "said once");
    rig.answer_watch_of(
        at(70),
        Some(StartTime(SECOND_START)),
        Ok(WorkerLists::default()),
    );
    assert_eq!(rig.take_watches()[0].0, 0);
}

/// A worker does nothing for an order that it fences off, whatever else that says.
#[test]
fn ends_in_a_watch_that_was_fenced_off_are_acknowledged_again() {
    let mut rig = running();
    let done = [(7, run(1, 0), WorkerEndKind::Done)];
    rig.answer_watch(at(40), lists(&[(run(1, 1), 50)], &done));
    rig.answer_watch_as(at(41), Err(Rejection::Fenced));
    assert_eq!(rig.take_watches()[0].0, 7);
}

/// Two crashes under one id are two.
#[test]
fn each_crash_counts() {
    let mut rig = running();
    rig.refuse_watch(at(20));
    rig.incarnation = incarnation(SECOND_START);
    rig.heartbeat(at(500), heartbeat_of(SECOND_START, 1, 4_000, false));
    rig.answer_watch(at(501), WorkerLists::default());
    let batch = rig.batch(1, 2, 50);
    rig.message(at(510), batch);
    for started in rig.take_starts() {
        rig.answer_start(at(511), started, None);
    }
    rig.refuse_watch(at(520));
    let crashes = rig
        .sent
        .iter()
        .filter_map(|(_, message)| match &message.body {
            FromAgentBody::Crashes(crashes) => Some(crashes),
            _ => None,
        });
    let lives: Vec<&str> = crashes
        .flatten()
        .map(|crash| crash.incarnation.as_str())
        .collect();
    let names = [
        incarnation(FIRST_START).to_string(),
        incarnation(SECOND_START).to_string(),
    ];
    assert_eq!(lives, names);
}

/// An agent that starts recalls the life before; the worker tells that it is another.
#[test]
fn a_recalled_life_that_has_been_followed_by_another_is_not_used() {
    let mut rig = AgentRig::new();
    rig.incarnation = incarnation(FIRST_START);
    rig.event(
        at(0),
        AgentEvent::Recalled(heartbeat_of(FIRST_START, 9_000, 4_000, true)),
    );
    answer_restarted(&mut rig, at(1), SECOND_START, WorkerLists::default());
    rig.heartbeat(at(10), heartbeat_of(SECOND_START, 5, 4_000, false));
    assert!(rig.is_available(), "it does not drain in this life");
}

/// What a later agent must know is of the present life.
#[test]
fn what_is_left_for_a_later_agent_names_the_life() {
    let mut rig = restarted();
    rig.heartbeat(at(700), heartbeat_of(SECOND_START, 200, 4_000, true));
    let last = rig.remembered.last().expect("a record");
    assert_eq!(last.registration.life, incarnation(SECOND_START));
    assert!(last.registration.draining && last.is_vital);
}

/// An agent that stood still may have missed the restart of its worker.
#[test]
fn a_worker_is_asked_before_it_is_used_after_a_standstill() {
    let mut rig = in_first_incarnation();
    rig.tick(at(400));
    let batch = rig.batch(1, 1, 0);
    rig.message(at(5_000), batch);
    assert!(rig.take_starts().is_empty());
    rig.answer_watch(at(5_002), WorkerLists::default());
    assert!(rig.is_available());
}
