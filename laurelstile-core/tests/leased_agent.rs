//! The agent beside a leased worker.

mod leased_support;

use laurelstile_core::leased::agent::AgentEvent;
use laurelstile_core::leased::agent::worker::{
    OrderFailure, Rejection, WorkerEndKind, WorkerLists,
};
use laurelstile_core::leased::messages::{EndKind, NO_TASK_LIMIT, NotStartedReason, ToAgentBody};
use laurelstile_core::leased::timing::{MAX_START_ECHO_AGE, OWNER_TIMEOUT};
use laurelstile_core::session::SessionId;
use laurelstile_types::id::Incarnation;
use laurelstile_types::time::Span;
use leased_support::{AgentRig, GATEWAY, SESSION, at, cpu, lists, run, task};
use rstest::rstest;

#[test]
fn nothing_starts_before_the_worker_is_under_control() {
    let mut rig = AgentRig::new();
    rig.register(at(0), "life-1", cpu(4_000), false);
    let batch = rig.batch(1, 1, 4);
    rig.message(at(1), batch);
    assert!(rig.take_starts().is_empty());
    let reason = NotStartedReason::Unavailable;
    assert_eq!(rig.ends(), vec![(task(1, 0), EndKind::NotStarted(reason))]);
}

#[test]
fn what_an_earlier_agent_left_is_stopped_before_anything_starts() {
    let mut rig = AgentRig::new();
    rig.register(at(0), "life-1", cpu(4_000), false);
    let left = run(9, 0);
    rig.answer_watch(at(1), lists(&[(left, 40)], &[]));
    assert_eq!(rig.take_stops(), vec![left]);
    assert!(!rig.is_available());
    rig.answer_stop(at(2), left, true);
    rig.answer_watch(at(3), lists(&[], &[(1, left, WorkerEndKind::Stopped)]));
    assert!(rig.is_available());
}

#[test]
fn starts_never_exceed_the_room() {
    let mut rig = AgentRig::with_worker(cpu(3_000));
    let batch = rig.batch(1, 5, 50);
    rig.message(at(1), batch);
    let started = rig.take_starts();
    assert_eq!(started.len(), 3);
    assert_eq!(rig.machine.taken_room(), cpu(3_000));
    for id in &started {
        rig.answer_start(at(2), *id, None);
    }
    let ended = [(1, started[0], WorkerEndKind::Done)];
    let running = [(started[1], 50), (started[2], 50)];
    rig.answer_watch(at(30), lists(&running, &ended));
    assert_eq!(
        rig.take_starts().len(),
        1,
        "the room of an end goes to the next"
    );
}

#[test]
fn a_task_that_waits_too_long_comes_back() {
    let mut rig = AgentRig::with_worker(cpu(1_000));
    let first = rig.batch(1, 1, 4);
    rig.message(at(1), first);
    let second = rig.batch(2, 1, 4);
    rig.message(at(2), second);
    rig.tick(at(7));
    let how = EndKind::NotStarted(NotStartedReason::Full);
    assert_eq!(rig.ends(), vec![(task(2, 0), how)]);
}

#[test]
fn a_start_without_an_answer_keeps_its_room_until_its_stop_is_proved() {
    let mut rig = AgentRig::with_worker(cpu(1_000));
    let batch = rig.batch(1, 1, 4);
    rig.message(at(1), batch);
    let id = rig.take_starts()[0];
    rig.time_out_start(at(70), id);
    assert_eq!(rig.take_stops(), vec![id]);
    // The stop gets no answer either: it is repeated.
    rig.answer_stop(at(140), id, false);
    assert_eq!(rig.take_stops(), vec![id], "once at once");
    rig.answer_stop(at(145), id, false);
    assert!(rig.take_stops().is_empty(), "then after a pause");
    rig.tick(at(170));
    assert_eq!(rig.take_stops(), vec![id]);
    rig.answer_watch(at(150), WorkerLists::default());
    assert!(
        rig.ends().is_empty(),
        "nothing proves that it will not start"
    );
    assert_eq!(rig.machine.taken_room(), cpu(1_000));
    rig.answer_stop(at(160), id, true);
    rig.answer_watch(at(170), WorkerLists::default());
    rig.answer_watch(at(180), WorkerLists::default());
    let how = EndKind::NotStarted(NotStartedReason::Refused);
    assert_eq!(rig.ends(), vec![(task(1, 0), how)]);
    assert_eq!(rig.machine.taken_room(), cpu(0));
}

#[test]
fn a_start_that_the_list_shows_needs_no_answer() {
    let mut rig = AgentRig::with_worker(cpu(1_000));
    let batch = rig.batch(1, 1, 4);
    rig.message(at(1), batch);
    let id = rig.take_starts()[0];
    rig.answer_watch(at(20), lists(&[(id, 15)], &[]));
    rig.time_out_start(at(70), id);
    assert!(rig.take_stops().is_empty());
    rig.answer_watch(at(100), lists(&[], &[(1, id, WorkerEndKind::Done)]));
    assert_eq!(rig.ends(), vec![(task(1, 0), EndKind::Done)]);
}

#[test]
fn runs_of_a_silent_gateway_are_stopped() {
    let mut rig = AgentRig::with_worker(cpu(1_000));
    let batch = rig.batch(1, 1, 4);
    rig.message(at(100), batch);
    let id = rig.take_starts()[0];
    rig.answer_start(at(101), id, None);
    let silent = 100 + OWNER_TIMEOUT.as_millis();
    rig.tick(at(silent));
    assert!(rig.take_stops().is_empty());
    rig.tick(at(silent + 1));
    assert_eq!(rig.take_stops(), vec![id]);
}

/// What a gateway sent before it froze may come late: it does not make the
/// gateway look alive.
#[test]
fn a_message_with_an_old_echo_does_not_renew() {
    let mut rig = AgentRig::with_worker(cpu(1_000));
    let batch = rig.batch(1, 1, 4);
    rig.message(at(100), batch);
    let id = rig.take_starts()[0];
    rig.answer_start(at(101), id, None);
    rig.message_with_echo(at(540), at(120), ToAgentBody::Heartbeat);
    rig.tick(at(120 + OWNER_TIMEOUT.as_millis() + 1));
    assert_eq!(rig.take_stops(), vec![id]);
}

#[test]
fn a_start_with_an_old_echo_is_refused() {
    let mut rig = AgentRig::with_worker(cpu(1_000));
    let batch = rig.batch(1, 1, 4);
    let echo = at(1_000 - MAX_START_ECHO_AGE.as_millis() - 1);
    rig.message_with_echo(at(1_000), echo, batch);
    assert!(rig.take_starts().is_empty());
    let how = EndKind::NotStarted(NotStartedReason::StaleSender);
    assert_eq!(rig.ends(), vec![(task(1, 0), how)]);
}

#[test]
fn a_gateway_whose_process_has_ended_has_its_runs_stopped_at_once() {
    let mut rig = AgentRig::with_worker(cpu(1_000));
    let batch = rig.batch(1, 1, 4);
    rig.message(at(1), batch);
    let id = rig.take_starts()[0];
    rig.answer_start(at(2), id, None);
    rig.event(at(3), AgentEvent::GatewayEnded { gateway: GATEWAY });
    assert_eq!(rig.take_stops(), vec![id]);
}

#[test]
fn a_draining_worker_starts_nothing_more() {
    let mut rig = AgentRig::with_worker(cpu(2_000));
    let first = rig.batch(1, 1, 4);
    rig.message(at(1), first);
    let id = rig.take_starts()[0];
    rig.answer_start(at(2), id, None);
    rig.register(at(3), "life-1", cpu(2_000), true);
    let second = rig.batch(2, 1, 4);
    rig.message(at(4), second);
    assert!(rig.take_starts().is_empty());
    rig.answer_watch(at(50), lists(&[], &[(1, id, WorkerEndKind::Done)]));
    let reason = NotStartedReason::Unavailable;
    let expected = vec![
        (task(2, 0), EndKind::NotStarted(reason)),
        (task(1, 0), EndKind::Done),
    ];
    assert_eq!(rig.ends(), expected, "what runs goes on");
}

#[test]
fn a_new_life_of_the_worker_ends_the_runs_of_the_old_one() {
    let mut rig = AgentRig::with_worker(cpu(1_000));
    let batch = rig.batch(1, 1, 4);
    rig.message(at(1), batch);
    let id = rig.take_starts()[0];
    rig.answer_start(at(2), id, None);
    rig.register(at(10), "life-2", cpu(1_000), false);
    assert!(rig.ends().is_empty(), "its heartbeat alone proves nothing");
    rig.end_incarnation(at(11));
    assert_eq!(rig.ends(), vec![(task(1, 0), EndKind::Lost)]);
    // A late word of the old life changes nothing.
    rig.register(at(12), "life-1", cpu(1_000), false);
    assert!(!rig.is_available());
}

#[test]
fn a_worker_that_refuses_connections_is_dead() {
    let mut rig = AgentRig::with_worker(cpu(1_000));
    let batch = rig.batch(1, 1, 4);
    rig.message(at(1), batch);
    let id = rig.take_starts()[0];
    let answer = Err(OrderFailure::LifeOver);
    let life = "life-1".into();
    rig.event(
        at(2),
        AgentEvent::StartAnswered {
            run: id,
            life,
            answer,
        },
    );
    assert_eq!(rig.ends(), vec![(task(1, 0), EndKind::Lost)]);
}

#[test]
fn a_silent_worker_has_let_its_runs_lapse_after_the_lease() {
    let mut rig = AgentRig::with_worker(cpu(1_000));
    let batch = rig.batch(1, 1, 4);
    rig.message(at(0), batch);
    let id = rig.take_starts()[0];
    rig.answer_start(at(1), id, None);
    rig.time_out_watch(at(200));
    rig.time_out_watch(at(400));
    assert!(rig.take_watches().is_empty(), "not at once again");
    rig.tick(at(420));
    assert_eq!(rig.take_watches(), vec![(0, false)], "no longer renewed");
    rig.message(at(600), ToAgentBody::Heartbeat);
    assert!(rig.ends().is_empty());
    rig.message(at(1_000), ToAgentBody::Heartbeat);
    rig.tick(at(1_020));
    assert_eq!(rig.ends(), vec![(task(1, 0), EndKind::Lost)]);
    assert!(!rig.is_available(), "its room is unknown");
}

#[test]
fn ends_are_acknowledged_to_the_worker() {
    let mut rig = AgentRig::with_worker(cpu(1_000));
    let batch = rig.batch(1, 1, 4);
    rig.message(at(1), batch);
    let id = rig.take_starts()[0];
    rig.answer_start(at(2), id, None);
    rig.answer_watch(at(50), lists(&[], &[(5, id, WorkerEndKind::Done)]));
    assert_eq!(rig.take_watches(), vec![(5, false)]);
}

#[rstest]
#[case::old(Rejection::OldRun, EndKind::NotStarted(NotStartedReason::OldRun))]
#[case::full(Rejection::Full, EndKind::NotStarted(NotStartedReason::Full))]
#[case::late(Rejection::Late, EndKind::NotStarted(NotStartedReason::Refused))]
#[case::unhealthy(Rejection::Unhealthy, EndKind::NotStarted(NotStartedReason::Refused))]
fn rejected_starts_come_back(#[case] rejection: Rejection, #[case] how: EndKind) {
    let mut rig = AgentRig::with_worker(cpu(1_000));
    let batch = rig.batch(1, 1, 4);
    rig.message(at(1), batch);
    let id = rig.take_starts()[0];
    rig.answer_start(at(2), id, Some(rejection));
    assert_eq!(rig.ends(), vec![(task(1, 0), how)]);
    assert_eq!(rig.machine.taken_room(), cpu(0));
}

#[test]
fn a_worker_that_fails_everything_is_left_alone_and_tried_again() {
    let mut rig = AgentRig::with_worker(cpu(8_000));
    let batch = rig.batch(1, 4, 4);
    rig.message(at(1), batch);
    let started = rig.take_starts();
    let ended: Vec<_> = started
        .iter()
        .enumerate()
        .map(|(index, id)| (index as u64 + 1, *id, WorkerEndKind::Failed))
        .collect();
    rig.answer_watch(at(10), lists(&[], &ended));
    let hows: Vec<EndKind> = rig.ends().into_iter().map(|(_, how)| how).collect();
    let suspect = EndKind::FailedOnSuspect;
    assert_eq!(hows, vec![EndKind::Failed, suspect, suspect, suspect]);
    assert_eq!(rig.last_report().map(|report| report.limit), Some(0));
    rig.tick(at(500));
    assert_eq!(rig.last_report().map(|report| report.limit), Some(1));
}

#[test]
fn a_task_that_stands_still_is_given_back() {
    let mut rig = AgentRig::with_worker(cpu(1_000));
    let batch = rig.batch(1, 1, 4);
    rig.message(at(0), batch);
    let id = rig.take_starts()[0];
    rig.answer_start(at(1), id, None);
    rig.message(at(50), ToAgentBody::Heartbeat);
    rig.answer_watch(at(60), lists(&[(id, 0)], &[]));
    assert!(rig.take_stops().is_empty());
    rig.answer_watch(at(120), lists(&[(id, 0)], &[]));
    assert_eq!(rig.take_stops(), vec![id]);
    rig.answer_stop(at(121), id, true);
    rig.answer_watch(at(130), lists(&[], &[(1, id, WorkerEndKind::Stopped)]));
    assert_eq!(rig.ends(), vec![(task(1, 0), EndKind::Stalled)]);
}

/// One bad task would else put worker after worker on probation.
#[rstest]
#[case::the_first_time(false, 0)]
#[case::as_on_another_worker(true, NO_TASK_LIMIT)]
fn a_worker_is_not_blamed_for_a_task_that_has_stood_still_elsewhere(
    #[case] has_stalled: bool,
    #[case] limit: u32,
) {
    let mut rig = AgentRig::with_worker(cpu(1_000));
    let mut batch = rig.batch(1, 1, 4);
    if let ToAgentBody::Start(batch) = &mut batch {
        batch.has_stalled = has_stalled;
    }
    rig.message(at(0), batch);
    let id = rig.take_starts()[0];
    rig.answer_start(at(1), id, None);
    rig.message(at(50), ToAgentBody::Heartbeat);
    rig.answer_watch(at(120), lists(&[(id, 0)], &[]));
    rig.answer_stop(at(121), id, true);
    rig.answer_watch(at(130), lists(&[], &[(1, id, WorkerEndKind::Stopped)]));
    rig.tick(at(150));
    assert_eq!(rig.ends(), vec![(task(1, 0), EndKind::Stalled)]);
    assert_eq!(rig.last_report().map(|report| report.limit), Some(limit));
}

#[test]
fn a_task_that_is_far_too_slow_is_given_back_with_the_time_it_would_take() {
    let mut rig = AgentRig::with_worker(cpu(1_000));
    let batch = rig.batch(1, 1, 4);
    rig.message(at(0), batch);
    let id = rig.take_starts()[0];
    rig.answer_start(at(0), id, None);
    rig.message(at(50), ToAgentBody::Heartbeat);
    rig.answer_watch(at(40), lists(&[(id, 10)], &[]));
    rig.answer_watch(at(110), lists(&[(id, 20)], &[]));
    assert_eq!(rig.take_stops(), vec![id]);
    rig.answer_stop(at(111), id, true);
    rig.answer_watch(at(120), lists(&[], &[(1, id, WorkerEndKind::Stopped)]));
    let how = EndKind::TooSlow {
        projected_millis: 550,
    };
    assert_eq!(rig.ends(), vec![(task(1, 0), how)]);
}

/// Found on a calm day: estimates are rough, and a task that takes many times its
/// own is no reason to stop it while its worker does others at a normal pace.
#[test]
fn a_slow_task_is_left_to_run_while_later_ones_are_done_in_good_time() {
    let mut rig = AgentRig::with_worker(cpu(2_000));
    let batch = rig.batch(1, 1, 4);
    rig.message(at(0), batch);
    let slow = rig.take_starts()[0];
    rig.answer_start(at(0), slow, None);
    let batch = rig.batch(2, 1, 4);
    rig.message(at(1), batch);
    let normal = rig.take_starts()[0];
    rig.answer_start(at(1), normal, None);
    rig.answer_watch(at(40), lists(&[(slow, 5), (normal, 40)], &[]));
    rig.answer_watch(
        at(100),
        lists(&[(slow, 15)], &[(1, normal, WorkerEndKind::Done)]),
    );
    rig.answer_watch(at(120), lists(&[(slow, 18)], &[]));
    assert!(rig.take_stops().is_empty());
    assert_eq!(rig.last_report().map(|report| report.limit), Some(u32::MAX));
}

/// Found on an overloaded day: every gateway heard of each bit of room at the same
/// moment, and most of what they sent for it came back.
#[test]
fn the_gateway_whose_task_ended_hears_of_the_room_before_the_others() {
    let other = SessionId(71);
    let mut rig = AgentRig::with_worker(cpu(1_000));
    rig.open(at(0), other, Incarnation(8));
    let batch = rig.batch(1, 1, 4);
    rig.message(at(10), batch);
    let id = rig.take_starts()[0];
    rig.answer_start(at(11), id, None);
    rig.tick(at(30));
    assert_eq!(rig.reported_free_cpu(other), Some(0));
    rig.answer_watch(at(100), lists(&[], &[(1, id, WorkerEndKind::Done)]));
    assert_eq!(rig.reported_free_cpu(SESSION), Some(1_000));
    assert_eq!(rig.reported_free_cpu(other), Some(0));
    let batch = rig.batch(2, 1, 4);
    rig.message(at(103), batch);
    rig.tick(at(120));
    assert_eq!(rig.reported_free_cpu(other), Some(0), "it is taken again");
    let id = rig.take_starts()[0];
    rig.answer_start(at(121), id, None);
    rig.answer_watch(at(200), lists(&[], &[(2, id, WorkerEndKind::Done)]));
    rig.tick(at(210));
    assert_eq!(
        rig.reported_free_cpu(other),
        Some(1_000),
        "nobody has taken it"
    );
}

#[test]
fn the_same_task_of_another_gateway_ends_the_earlier_run_first() {
    let mut rig = AgentRig::with_worker(cpu(4_000));
    let first = rig.batch(1, 1, 4);
    rig.message(at(1), first);
    let id = rig.take_starts()[0];
    rig.answer_start(at(2), id, None);
    let again = rig.batch(1, 1, 4);
    rig.message(at(3), again);
    assert!(rig.take_starts().is_empty());
    assert_eq!(rig.take_stops(), vec![id]);
    let how = EndKind::NotStarted(NotStartedReason::Duplicate);
    assert_eq!(rig.ends(), vec![(task(1, 0), how)]);
}

#[test]
fn a_planned_stop_waits_for_what_runs() {
    let mut rig = AgentRig::with_worker(cpu(1_000));
    let batch = rig.batch(1, 1, 4);
    rig.message(at(1), batch);
    let id = rig.take_starts()[0];
    rig.answer_start(at(2), id, None);
    rig.event(at(10), AgentEvent::Stop);
    assert!(!rig.stopped);
    let more = rig.batch(2, 1, 4);
    rig.message(at(11), more);
    assert!(rig.take_starts().is_empty());
    rig.answer_watch(at(50), lists(&[], &[(1, id, WorkerEndKind::Done)]));
    assert!(!rig.stopped, "the end is not acknowledged");
    rig.acknowledge_all(at(60));
    assert!(rig.stopped);
}

/// Found by the emulator (seed 117): a worker whose last watch was lost while
/// nothing ran was never used again.
#[test]
fn a_lost_watch_is_repeated_even_when_nothing_runs() {
    let mut rig = AgentRig::with_worker(cpu(1_000));
    let batch = rig.batch(1, 1, 4);
    rig.message(at(1), batch);
    let id = rig.take_starts()[0];
    rig.answer_start(at(2), id, None);
    rig.answer_watch(at(50), lists(&[], &[(1, id, WorkerEndKind::Done)]));
    rig.time_out_watch(at(100));
    assert_eq!(rig.take_watches(), vec![(1, false)]);
    rig.answer_watch(at(101), WorkerLists::default());
    assert!(rig.is_available());
}

/// A new agent need not wait for the worker's next heartbeat: it tries the
/// life that the record names, with a token above that of the earlier agent. That
/// the worker has the recorded room still is known once a gateway tells that an
/// earlier agent was there a moment ago.
#[test]
fn a_recalled_worker_is_under_control_without_a_heartbeat() {
    let mut rig = AgentRig::new();
    rig.recall(at(5_000), "life-1", cpu(2_000));
    let fenced = rig.last_token();
    rig.answer_watch_as(at(5_001), Err(Rejection::Fenced));
    rig.tick(at(5_002));
    assert!(rig.last_token() > fenced);
    rig.answer_watch(at(5_003), WorkerLists::default());
    assert!(!rig.is_available(), "its room may have shrunk");
    let silence = Span::from_millis(300);
    rig.message(at(5_003), ToAgentBody::Predecessor { silence });
    assert!(rig.is_available());
    let batch = rig.batch(1, 1, 4);
    rig.message(at(5_004), batch);
    assert_eq!(rig.take_starts().len(), 1);
}

#[test]
fn a_recalled_life_that_is_over_is_not_used() {
    let mut rig = AgentRig::new();
    rig.recall(at(5_000), "life-1", cpu(2_000));
    let before = rig.last_token();
    let answer = Err(OrderFailure::LifeOver);
    let life = "life-1".into();
    rig.event(at(5_001), AgentEvent::Watched { life, answer });
    assert!(!rig.is_available());
    rig.register(at(5_500), "life-2", cpu(2_000), false);
    assert!(
        rig.last_token() > before,
        "orders for before are fenced off"
    );
}

#[test]
fn a_worker_thought_dead_that_registers_again_is_taken_over() {
    let mut rig = AgentRig::with_worker(cpu(1_000));
    let batch = rig.batch(1, 1, 4);
    rig.message(at(1), batch);
    let id = rig.take_starts()[0];
    let (answer, life) = (Err(OrderFailure::LifeOver), "life-1".into());
    rig.event(
        at(2),
        AgentEvent::StartAnswered {
            run: id,
            life,
            answer,
        },
    );
    rig.register(at(1_000), "life-1", cpu(1_000), false);
    rig.answer_watch(at(1_001), lists(&[(id, 10)], &[]));
    assert_eq!(rig.take_stops(), vec![id], "what it runs is stopped first");
    assert!(!rig.is_available());
    rig.answer_watch(at(1_100), WorkerLists::default());
    assert!(rig.is_available());
}
