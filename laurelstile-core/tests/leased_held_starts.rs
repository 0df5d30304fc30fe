//! Orders for a life of a worker that is over, and the next life under its id: a process that
//! knows nothing of before would carry them out, seconds late.

mod leased_support;

use laurelstile_core::leased::agent::worker::{
    OrderFailure, Rejection, WorkerEndKind, WorkerLists,
};
use laurelstile_core::leased::agent::{AgentDecision, AgentEvent, LifeEnd, OrderAnswer};
use laurelstile_core::leased::messages::{EndKind, NotStartedReason, ToAgentBody};
use laurelstile_core::leased::task::RunNumber;
use laurelstile_core::leased::worker_incarnation::StartTime;
use leased_support::{
    AgentRig, FIRST_START, SECOND_START, answer_restarted, at, cpu, heartbeat_of,
    in_first_incarnation, incarnation, lists, run, running, task,
};

/// An order for the life before that is still under way must not be carried out by the next:
/// the first order for that has a higher token.
#[test]
fn orders_for_the_life_before_are_fenced_off() {
    let mut rig = running();
    let before = rig.last_token();
    rig.answer_watch_of(
        at(40),
        Some(StartTime(SECOND_START)),
        Ok(WorkerLists::default()),
    );
    let next = rig.orders.back().expect("the next life is asked at once");
    assert_eq!(next.life, incarnation(SECOND_START));
    assert!(Some(next.token.0) > before);
    assert!(!rig.is_available(), "not before it has answered that");
}

/// An earlier agent whose time of day was far ahead has left a high token behind.
#[test]
fn a_token_that_is_far_too_low_is_soon_high_enough() {
    let mut rig = AgentRig::new();
    rig.incarnation = incarnation(FIRST_START);
    rig.heartbeat(at(0), heartbeat_of(FIRST_START, 9_000, 4_000, false));
    let seen = rig.last_token().expect("a watch") + 3_600_000;
    let mut rejections = 0;
    while rig.last_token() <= Some(seen) {
        rejections += 1;
        rig.answer_watch_as(at(rejections), Err(Rejection::Fenced));
    }
    assert!(rejections <= 22, "{rejections}");
}

/// A start without an answer, as the worker's process ends: the next life may carry it out.
fn unanswered() -> AgentRig {
    let mut rig = in_first_incarnation();
    let batch = rig.batch(1, 1, 50);
    rig.message(at(10), batch);
    let started = rig.take_starts()[0];
    rig.time_out_start(at(35), started);
    rig.take_stops();
    rig.refuse_watch(at(36));
    rig
}

#[test]
fn a_start_without_an_answer_is_not_repeated_before_the_next_life_was_told_to_leave_it() {
    let mut rig = unanswered();
    assert!(rig.ends().is_empty(), "it may yet be carried out");
    rig.incarnation = incarnation(SECOND_START);
    rig.heartbeat(at(500), heartbeat_of(SECOND_START, 1, 4_000, false));
    rig.answer_watch(at(501), WorkerLists::default());
    assert_eq!(rig.take_stops(), [run(1, 0)]);
    assert!(rig.ends().is_empty());
    rig.answer_stop(at(502), run(1, 0), true);
    for millis in [503, 504] {
        rig.answer_watch(at(millis), WorkerLists::default());
    }
    let how = EndKind::NotStarted(NotStartedReason::Refused);
    assert_eq!(rig.ends(), [(task(1, 0), how)]);
}

#[test]
fn a_start_that_the_next_life_has_carried_out_is_stopped_there() {
    let mut rig = unanswered();
    rig.incarnation = incarnation(SECOND_START);
    rig.heartbeat(at(500), heartbeat_of(SECOND_START, 1, 4_000, false));
    rig.answer_watch(at(501), lists(&[(run(1, 0), 10)], &[]));
    rig.answer_stop(at(502), run(1, 0), true);
    assert!(rig.ends().is_empty(), "it runs");
    let stopped = [(1, run(1, 0), WorkerEndKind::Stopped)];
    rig.answer_watch(at(520), lists(&[], &stopped));
    assert_eq!(rig.ends().len(), 1);
}

/// A worker of another id rejects what was meant for this one.
#[test]
fn a_start_without_an_answer_is_over_once_another_id_answers() {
    let mut rig = unanswered();
    rig.register(at(500), "worker-2", cpu(4_000), false);
    assert!(rig.ends().is_empty());
    rig.incarnation = "worker-2".into();
    rig.answer_watch(at(501), WorkerLists::default());
    assert_eq!(rig.ends(), [(task(1, 0), EndKind::Lost)]);
}

/// Its connection was refused after all: nothing was sent.
#[test]
fn a_start_that_was_never_sent_is_lost_at_once() {
    let mut rig = in_first_incarnation();
    let batch = rig.batch(1, 1, 50);
    rig.message(at(10), batch);
    let started = rig.take_starts()[0];
    rig.refuse_watch(at(20));
    assert!(rig.ends().is_empty());
    let refused = AgentEvent::StartAnswered {
        run: started,
        life: incarnation(FIRST_START),
        answer: Err(OrderFailure::Refused),
    };
    rig.event(at(21), refused);
    assert_eq!(rig.ends(), [(task(1, 0), EndKind::Lost)]);
}

/// The lease that bounds a start is by the clock of the life for which it was meant.
#[test]
fn a_silent_worker_proves_nothing_of_a_start_without_an_answer() {
    let mut rig = running();
    let batch = rig.batch(2, 1, 50);
    rig.message(at(20), batch);
    let started = rig.take_starts()[0];
    rig.time_out_start(at(45), started);
    for millis in [60, 90] {
        rig.time_out_watch(at(millis));
    }
    rig.tick(at(1_000));
    let lost = [(task(1, 0), EndKind::Lost), (task(1, 1), EndKind::Lost)];
    assert_eq!(rig.ends(), lost, "these had begun, and have lapsed");
    assert_eq!(rig.machine.run_count(), 1);
}

/// A start meant for the life before reached the next, before anybody knew of that.
#[test]
fn a_run_that_the_next_life_began_with_an_old_lease_is_stopped() {
    let mut rig = running();
    let shown = lists(&[(run(1, 0), 10)], &[]);
    rig.heartbeat(at(30), heartbeat_of(SECOND_START, 1, 4_000, false));
    answer_restarted(&mut rig, at(31), SECOND_START, shown);
    assert_eq!(
        rig.ends(),
        [(task(1, 1), EndKind::Lost)],
        "this one is over"
    );
    assert_eq!(rig.take_stops(), [run(1, 0)]);
    let over = rig.decisions.iter().find_map(|decision| match decision {
        AgentDecision::LifeOver { end, runs, .. } => Some((*end, runs.len())),
        _ => None,
    });
    assert_eq!(over, Some((LifeEnd::Reborn, 1)));
}

/// A start that was rejected by the life before was not carried out by anybody.
#[test]
fn a_late_rejection_ends_a_held_start() {
    let mut rig = in_first_incarnation();
    let batch = rig.batch(1, 1, 50);
    rig.message(at(10), batch);
    let started = rig.take_starts()[0];
    rig.refuse_watch(at(20));
    let rejected = AgentEvent::StartAnswered {
        run: started,
        life: incarnation(FIRST_START),
        answer: Ok(OrderAnswer {
            clock: None,
            rejection: Some(Rejection::Full),
        }),
    };
    rig.event(at(21), rejected);
    let how = EndKind::NotStarted(NotStartedReason::Refused);
    assert_eq!(rig.ends(), [(task(1, 0), how)]);
}

/// The answer to an earlier run of a task says nothing of the next.
#[test]
fn an_answer_to_an_earlier_run_confirms_no_later_one() {
    let mut rig = in_first_incarnation();
    for number in 1..=2 {
        let mut batch = rig.batch(1, 1, 50);
        if let ToAgentBody::Start(batch) = &mut batch {
            batch.tasks = vec![(0, RunNumber(number))];
        }
        rig.message(at(u64::from(number) * 10), batch);
        let started = rig.take_starts()[0];
        if number == 1 {
            rig.time_out_start(at(12), started);
            rig.answer_stop(at(13), started, true);
            for millis in [14, 15] {
                rig.answer_watch(at(millis), WorkerLists::default());
            }
        }
    }
    rig.answer_start(at(21), run(1, 0), None);
    rig.refuse_watch(at(22));
    assert_eq!(rig.ends().len(), 1, "the second run is held");
}
