//! Commands for an ended incarnation of a worker. A process restarted under the same id could
//! carry them out seconds later.

mod leased_support;

use laurelstile_core::leased::agent::worker::{CommandError, Rejection, RunLists, WorkerEndKind};
use laurelstile_core::leased::agent::{AgentDecision, AgentEvent, CommandAnswer, IncarnationEnd};
use laurelstile_core::leased::messages::{EndKind, NotStartedReason, ToAgentBody};
use laurelstile_core::leased::task::RunNumber;
use laurelstile_core::leased::worker_incarnation::StartTime;
use leased_support::{
    AgentRig, FIRST_START, SECOND_START, answer_restarted, at, cpu, heartbeat_of,
    in_first_incarnation, incarnation, lists, run, running, task,
};

/// A command for the previous incarnation that is still in flight must not be carried out by the
/// next one.
#[test]
fn commands_for_the_previous_incarnation_are_fenced_off() {
    let mut rig = running();
    let before = rig.last_token();
    rig.answer_watch_of(
        at(40),
        Some(StartTime(SECOND_START)),
        Ok(RunLists::default()),
    );
    let next = rig
        .commands
        .back()
        .expect("the next incarnation is queried at once");
    assert_eq!(next.incarnation, incarnation(SECOND_START));
    assert!(Some(next.token.0) > before);
    assert!(!rig.is_available(), "not before it has answered the watch");
}

/// An earlier agent whose wall clock was far ahead has left a high token at the worker.
#[test]
fn a_token_that_is_far_too_low_is_raised_quickly() {
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

/// An agent with a start that was unanswered when the worker's process ended; the next incarnation
/// may carry it out.
fn with_unanswered_start() -> AgentRig {
    let mut rig = in_first_incarnation();
    let batch = rig.batch(1, 1, 50);
    rig.message(at(10), batch);
    let started = rig.take_starts()[0];
    rig.time_out_start(at(35), started);
    rig.take_stops();
    rig.crash(at(36));
    rig
}

#[test]
fn an_unanswered_start_ends_only_after_the_next_incarnation_has_stopped_it() {
    let mut rig = with_unanswered_start();
    assert!(rig.ends().is_empty(), "the start may still be carried out");
    rig.incarnation = incarnation(SECOND_START);
    rig.heartbeat(at(1_500), heartbeat_of(SECOND_START, 1, 4_000, false));
    rig.answer_watch(at(1_501), RunLists::default());
    assert_eq!(rig.take_stops(), [run(1, 0)]);
    assert!(rig.ends().is_empty());
    rig.answer_stop(at(1_502), run(1, 0), true);
    for millis in [1_503, 1_504] {
        rig.answer_watch(at(millis), RunLists::default());
    }
    let how = EndKind::NotStarted(NotStartedReason::Refused);
    assert_eq!(rig.ends(), [(task(1, 0), how)]);
}

#[test]
fn a_start_carried_out_by_the_next_incarnation_is_stopped() {
    let mut rig = with_unanswered_start();
    rig.incarnation = incarnation(SECOND_START);
    rig.heartbeat(at(1_500), heartbeat_of(SECOND_START, 1, 4_000, false));
    rig.answer_watch(at(1_501), lists(&[(run(1, 0), 10)], &[]));
    rig.answer_stop(at(1_502), run(1, 0), true);
    assert!(rig.ends().is_empty(), "the run has not ended");
    let stopped = [(1, run(1, 0), WorkerEndKind::Stopped)];
    rig.answer_watch(at(1_520), lists(&[], &stopped));
    assert_eq!(rig.ends().len(), 1);
}

/// A worker with another id rejects commands for this one.
#[test]
fn an_unanswered_start_is_lost_once_another_id_answers() {
    let mut rig = with_unanswered_start();
    rig.register(at(1_500), "worker-2", cpu(4_000), false);
    assert!(rig.ends().is_empty());
    rig.incarnation = "worker-2".into();
    rig.answer_watch(at(1_501), RunLists::default());
    assert_eq!(rig.ends(), [(task(1, 0), EndKind::Lost)]);
}

/// The result of the start arrives late: its connection was refused, so nothing was sent.
#[test]
fn a_start_that_was_never_sent_is_lost_at_once() {
    let mut rig = in_first_incarnation();
    let batch = rig.batch(1, 1, 50);
    rig.message(at(10), batch);
    let started = rig.take_starts()[0];
    rig.crash(at(20));
    assert!(rig.ends().is_empty());
    let refused = AgentEvent::StartAnswered {
        run: started,
        incarnation: incarnation(FIRST_START),
        answer: Err(CommandError::ConnectionRefused),
    };
    rig.event(at(1_500), refused);
    assert_eq!(rig.ends(), [(task(1, 0), EndKind::Lost)]);
}

/// The lease of a start refers to the clock of the incarnation that the start was sent to.
#[test]
fn an_unanswered_start_is_held_when_the_worker_is_silent() {
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
    assert_eq!(
        rig.ends(),
        lost,
        "confirmed runs end when the lease expires"
    );
    assert_eq!(rig.machine.run_count(), 1);
}

/// A start for the previous incarnation reached the next one before the agent noticed the
/// restart.
#[test]
fn a_run_started_by_the_next_incarnation_with_an_old_lease_is_stopped() {
    let mut rig = running();
    let listed = lists(&[(run(1, 0), 10)], &[]);
    rig.heartbeat(at(30), heartbeat_of(SECOND_START, 1, 4_000, false));
    answer_restarted(&mut rig, at(31), SECOND_START, listed);
    assert_eq!(
        rig.ends(),
        [(task(1, 1), EndKind::Lost)],
        "the unlisted run is lost"
    );
    assert_eq!(rig.take_stops(), [run(1, 0)]);
    let ended = rig.decisions.iter().find_map(|decision| match decision {
        AgentDecision::IncarnationEnded { end, runs, .. } => Some((*end, runs.len())),
        _ => None,
    });
    assert_eq!(ended, Some((IncarnationEnd::Restarted, 1)));
}

/// A start that the previous incarnation rejected was not carried out.
#[test]
fn a_delayed_rejection_ends_a_held_start() {
    let mut rig = in_first_incarnation();
    let batch = rig.batch(1, 1, 50);
    rig.message(at(10), batch);
    let started = rig.take_starts()[0];
    rig.crash(at(20));
    let rejected = AgentEvent::StartAnswered {
        run: started,
        incarnation: incarnation(FIRST_START),
        answer: Ok(CommandAnswer {
            clock: None,
            rejection: Some(Rejection::Full),
        }),
    };
    rig.event(at(1_500), rejected);
    let how = EndKind::NotStarted(NotStartedReason::Refused);
    assert_eq!(rig.ends(), [(task(1, 0), how)]);
}

/// The order names the worker's id only, so the next incarnation may have carried it out and
/// answered before the agent heard of it.
#[test]
fn a_delayed_confirmation_does_not_end_a_held_start() {
    let mut rig = in_first_incarnation();
    let batch = rig.batch(1, 1, 50);
    rig.message(at(10), batch);
    let started = rig.take_starts()[0];
    rig.crash(at(20));
    let confirmed = AgentEvent::StartAnswered {
        run: started,
        incarnation: incarnation(FIRST_START),
        answer: Ok(CommandAnswer {
            clock: None,
            rejection: None,
        }),
    };
    rig.event(at(1_500), confirmed);
    assert!(rig.ends().is_empty(), "it may run in the next incarnation");
    rig.take_stops();
    rig.incarnation = incarnation(SECOND_START);
    rig.heartbeat(at(1_600), heartbeat_of(SECOND_START, 100, 4_000, false));
    rig.answer_watch(at(1_601), lists(&[(run(1, 0), 10)], &[]));
    assert_eq!(rig.take_stops(), [run(1, 0)]);
    assert!(rig.ends().is_empty(), "the run has not ended");
}

/// An answer to an earlier run of a task must not confirm a later one.
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
                rig.answer_watch(at(millis), RunLists::default());
            }
        }
    }
    rig.answer_start(at(21), run(1, 0), None);
    rig.crash(at(22));
    assert_eq!(rig.ends().len(), 1, "the second run is held without an end");
}
