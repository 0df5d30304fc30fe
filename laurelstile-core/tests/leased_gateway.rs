//! The gateway to leased workers.

mod leased_support;

use std::sync::Arc;

use laurelstile_core::leased::gateway::job::{CallNumber, Feature};
use laurelstile_core::leased::gateway::queues::QueueSettings;
use laurelstile_core::leased::gateway::stages::StageTimes;
use laurelstile_core::leased::gateway::{Answer, GatewayEvent, Refusal};
use laurelstile_core::leased::messages::{EndKind, FromAgentBody, NotStartedReason, ToPeer};
use laurelstile_core::leased::task::JobId;
use laurelstile_core::leased::timing::AGENT_EXPIRY;
use laurelstile_core::session::SessionId;
use laurelstile_types::time::Span;
use leased_support::{GatewayRig, at, configuration, cpu, job, queue, task};
use rstest::rstest;

#[test]
fn a_job_is_placed_together_and_completed() {
    let mut rig = GatewayRig::new();
    rig.join(at(0), 1, "agent-1", cpu(4_000));
    rig.join(at(0), 2, "agent-2", cpu(8_000));
    rig.submit(at(10), 1, job(1, 6, 100));
    let batch = rig.next_start();
    assert_eq!(batch.1.tasks.len(), 6, "one worker has room for all");
    assert_eq!(batch.0, SessionId(2));
    rig.end(at(110), &batch, EndKind::Done, cpu(8_000));
    assert_eq!(rig.answers, vec![(CallNumber(1), Answer::Completed)]);
}

#[test]
fn the_time_of_a_job_is_told_by_stage() {
    let mut rig = GatewayRig::new();
    rig.join(at(0), 1, "agent-1", cpu(1_000));
    rig.submit(at(10), 1, job(1, 1, 200));
    rig.submit(at(15), 2, job(2, 1, 200));
    let first = rig.next_start();
    rig.end(at(60), &first, EndKind::Done, cpu(1_000));
    let second = rig.next_start();
    rig.end(at(260), &second, EndKind::Done, cpu(1_000));
    let stages = |waiting, working| StageTimes {
        way_in: Span::default(),
        waiting: Span::from_millis(waiting),
        working: Span::from_millis(working),
    };
    assert_eq!(rig.stages, [stages(0, 50), stages(45, 200)]);
}

#[test]
fn a_job_without_room_is_refused_as_not_run_in_time() {
    let mut rig = GatewayRig::new();
    rig.join(at(0), 1, "agent-1", cpu(500));
    rig.submit(at(10), 1, job(1, 1, 200));
    assert!(rig.starts.is_empty());
    // The objective is 360 ms; a quarter of it, less the way, has passed.
    rig.tick(at(95));
    let Some(Answer::Refused {
        reason,
        retry_after,
    }) = rig.last_answer()
    else {
        panic!("not refused: {:?}", rig.answers);
    };
    assert_eq!(reason, Refusal::Overloaded);
    assert!(retry_after.0 > 0);
}

/// Found after losses of power: agents were back some 100 ms after the gateway, and
/// what came in between was refused.
#[test]
fn a_job_that_comes_before_the_workers_waits_for_them() {
    let mut rig = GatewayRig::new();
    rig.submit(at(10), 1, job(1, 1, 200));
    assert!(rig.answers.is_empty(), "not refused: {:?}", rig.answers);
    rig.join(at(60), 1, "agent-1", cpu(1_000));
    assert_eq!(rig.next_start().1.job, JobId(1));
}

#[test]
fn a_job_without_any_worker_is_refused_in_time_and_later_ones_at_once() {
    let mut rig = GatewayRig::new();
    let no_worker = |answer| {
        matches!(
            answer,
            Some(Answer::Refused {
                reason: Refusal::NoWorker,
                ..
            })
        )
    };
    rig.submit(at(10), 1, job(1, 1, 200));
    rig.tick(at(95));
    assert!(no_worker(rig.last_answer()), "{:?}", rig.answers);
    rig.submit(at(1_020), 2, job(2, 1, 200));
    assert_eq!(rig.answers.len(), 2, "the outage is long: refused at once");
    assert!(no_worker(rig.last_answer()), "{:?}", rig.answers);
}

#[test]
fn a_job_that_may_have_started_is_never_refused() {
    let mut rig = GatewayRig::new();
    rig.join(at(0), 1, "agent-1", cpu(1_000));
    rig.submit(at(10), 1, job(1, 2, 200));
    let batch = rig.next_start();
    rig.end(at(300), &batch, EndKind::Lost, cpu(0));
    assert!(rig.answers.is_empty());
    rig.tick(at(4_010));
    assert_eq!(rig.last_answer(), Some(Answer::GivenUp));
}

#[rstest]
#[case::own_fault(EndKind::Failed, Some(Answer::Failed))]
#[case::fault_of_the_worker(EndKind::FailedOnSuspect, None)]
#[case::stalled(EndKind::Stalled, None)]
#[case::too_slow(EndKind::TooSlow { projected_millis: 900 }, None)]
#[case::lost(EndKind::Lost, None)]
fn only_failures_of_its_own_count_as_attempts(
    #[case] how: EndKind,
    #[case] expected: Option<Answer>,
) {
    let mut rig = GatewayRig::new();
    rig.join(at(0), 1, "agent-1", cpu(4_000));
    rig.submit(at(10), 1, job(1, 1, 100));
    for attempt in 1..=2 {
        let batch = rig.next_start();
        assert_eq!(batch.1.tasks[0].1.0, attempt, "runs rise from 1");
        rig.end(at(100 * u64::from(attempt)), &batch, how, cpu(4_000));
    }
    assert_eq!(rig.last_answer(), expected);
}

/// Found on a calm day of the grown sites: a task whose work was many times its
/// estimate was stopped as too slow by one worker after the other, up to 22 times.
#[test]
fn a_task_stopped_for_slowness_gets_the_time_that_it_was_seen_to_need() {
    let mut rig = GatewayRig::new();
    rig.join(at(0), 1, "agent-1", cpu(4_000));
    rig.submit(at(10), 1, job(1, 2, 100));
    let batch = rig.next_start();
    assert_eq!(batch.1.estimate_millis, 100);
    let how = EndKind::TooSlow {
        projected_millis: 450,
    };
    rig.end(at(130), &batch, how, cpu(4_000));
    assert_eq!(rig.next_start().1.estimate_millis, 450);
}

#[test]
fn the_same_job_again_stays_one_job() {
    let mut rig = GatewayRig::new();
    rig.join(at(0), 1, "agent-1", cpu(4_000));
    rig.submit(at(10), 1, job(1, 1, 100));
    rig.submit(at(20), 2, job(1, 1, 100));
    let batch = rig.next_start();
    assert!(rig.starts.is_empty(), "not started twice");
    rig.end(at(120), &batch, EndKind::Done, cpu(4_000));
    let expected = vec![
        (CallNumber(1), Answer::Completed),
        (CallNumber(2), Answer::Completed),
    ];
    assert_eq!(rig.answers, expected);
}

#[test]
fn a_caller_that_goes_has_its_tasks_stopped() {
    let mut rig = GatewayRig::new();
    rig.join(at(0), 1, "agent-1", cpu(4_000));
    rig.submit(at(10), 1, job(1, 2, 100));
    let call = CallNumber(1);
    rig.event(at(50), GatewayEvent::CallerGone { call });
    assert_eq!(rig.stops.len(), 2);
    assert!(rig.answers.is_empty());
}

#[test]
fn a_silent_agents_tasks_are_repeated_only_after_they_have_lapsed() {
    let mut rig = GatewayRig::new();
    rig.join(at(0), 1, "agent-1", cpu(4_000));
    rig.submit(at(10), 1, job(1, 1, 100));
    rig.next_start();
    rig.join(at(20), 2, "agent-2", cpu(4_000));
    let session = SessionId(1);
    rig.event(at(30), GatewayEvent::AgentClosed { session });
    let lapse = AGENT_EXPIRY.as_millis();
    // A gateway looks at the time every 500 ms at least.
    rig.tick(at(lapse / 2));
    rig.tick(at(lapse - 5));
    assert!(rig.starts.is_empty(), "it may still run");
    let body = FromAgentBody::Heartbeat;
    rig.report(at(lapse + 5), 2, 0, cpu(4_000), body);
    assert_eq!(rig.next_start().0, SessionId(2));
}

#[test]
fn a_new_process_of_an_agent_proves_the_end_of_the_old_ones_runs() {
    let mut rig = GatewayRig::new();
    rig.join(at(0), 1, "agent-1", cpu(4_000));
    rig.submit(at(10), 1, job(1, 1, 100));
    rig.next_start();
    rig.join(at(200), 2, "agent-1", cpu(4_000));
    let again = rig.next_start();
    assert_eq!(again.0, SessionId(2));
    assert_eq!(again.1.tasks[0].1.0, 2);
}

#[test]
fn starts_that_were_refused_elsewhere_are_placed_again() {
    let mut rig = GatewayRig::new();
    rig.join(at(0), 1, "agent-1", cpu(1_000));
    rig.submit(at(10), 1, job(1, 1, 200));
    let batch = rig.next_start();
    rig.join(at(11), 2, "agent-2", cpu(1_000));
    let how = EndKind::NotStarted(NotStartedReason::Full);
    rig.end(at(12), &batch, how, cpu(0));
    assert_eq!(rig.next_start().0, SessionId(2));
}

#[test]
fn room_that_was_given_out_is_not_given_out_again() {
    let mut rig = GatewayRig::new();
    rig.join(at(0), 1, "agent-1", cpu(2_000));
    rig.submit(at(10), 1, job(1, 2, 200));
    rig.submit(at(11), 2, job(2, 1, 200));
    assert_eq!(
        rig.starts.len(),
        1,
        "no report has shown room for the second"
    );
    let batch = rig.next_start();
    rig.end(at(60), &batch, EndKind::Done, cpu(2_000));
    assert_eq!(rig.next_start().1.job.0, 2);
}

/// The most urgent job used to hold up every other one while it found no room.
#[test]
fn a_service_without_room_does_not_hold_up_another() {
    let mut rig = GatewayRig::new();
    rig.join(at(0), 1, "agent-1", cpu(500));
    rig.join_for(at(0), 2, "agent-2", "crystals", cpu(4_000));
    rig.submit(at(10), 1, job(1, 1, 100));
    assert!(rig.starts.is_empty());
    let mut other = job(2, 1, 200);
    other.queue = Arc::new(QueueSettings {
        service: "crystals".into(),
        ..queue()
    });
    rig.submit(at(11), 2, other);
    assert_eq!(rig.next_start().0, SessionId(2));
}

#[test]
fn a_small_task_takes_the_room_that_a_larger_one_cannot_use() {
    let mut rig = GatewayRig::new();
    rig.join(at(0), 1, "agent-1", cpu(1_500));
    let mut large = job(1, 1, 100);
    large.steps[0].resources = cpu(2_000);
    rig.submit(at(10), 1, large);
    rig.submit(at(11), 2, job(2, 2, 200));
    let batch = rig.next_start().1;
    assert_eq!((batch.job, batch.tasks.len()), (JobId(2), 1));
    assert!(rig.starts.is_empty(), "the second task has no room");
}

#[test]
fn a_configuration_never_reverts() {
    let mut rig = GatewayRig::new();
    rig.event(at(1), GatewayEvent::Configuration(configuration(5)));
    rig.event(at(2), GatewayEvent::Configuration(configuration(3)));
    rig.event(at(3), GatewayEvent::Configuration(configuration(5)));
    assert_eq!(rig.in_force, vec![1, 5]);
}

#[rstest]
#[case::kept(Feature::Kept)]
#[case::gang(Feature::Gang)]
fn what_is_not_built_is_refused(#[case] feature: Feature) {
    let mut rig = GatewayRig::new();
    rig.join(at(0), 1, "agent-1", cpu(4_000));
    let mut request = job(1, 1, 100);
    request.unsupported = vec![feature];
    rig.submit(at(10), 1, request);
    assert!(rig.starts.is_empty());
    assert!(matches!(
        rig.last_answer(),
        Some(Answer::Refused { reason: Refusal::Unsupported(asked), .. }) if asked == feature
    ));
}

/// Broke LOST on the bench (days/rolls.toml): jobs kept coming for as long as
/// others were in flight, and the process was killed with them.
#[test]
fn a_stopping_gateway_takes_no_job_after_the_overlap() {
    let mut rig = GatewayRig::new();
    rig.join(at(0), 1, "agent-1", cpu(4_000));
    rig.event(at(1_000), GatewayEvent::Stop);
    rig.report(at(3_890), 1, 0, cpu(4_000), FromAgentBody::Heartbeat);
    rig.submit(at(3_900), 1, job(1, 1, 3_000));
    assert!(rig.answers.is_empty(), "callers have not moved on yet");
    rig.report(at(4_050), 1, 1, cpu(3_000), FromAgentBody::Heartbeat);
    rig.submit(at(4_100), 2, job(2, 1, 3_000));
    assert!(matches!(
        rig.last_answer(),
        Some(Answer::Refused {
            reason: Refusal::Stopping,
            ..
        })
    ));
    assert!(!rig.stopped, "a job is in flight");
}

/// Found in a recorded day: callers that had kept their connections were refused for
/// seconds while all machines were stopped in turn.
#[rstest]
#[case::sure_to_be_done(4_100, 100, true)]
#[case::not_sure_to_be_done(5_600, 100, false)]
#[case::long(4_100, 3_000, false)]
fn a_stopping_gateway_takes_what_is_sure_to_be_done_in_time(
    #[case] millis: u64,
    #[case] estimate: u64,
    #[case] is_taken: bool,
) {
    let mut rig = GatewayRig::new();
    rig.join(at(0), 1, "agent-1", cpu(4_000));
    rig.event(at(1_000), GatewayEvent::Stop);
    for millis in (1_390..=3_890).step_by(500) {
        rig.report(at(millis), 1, 0, cpu(4_000), FromAgentBody::Heartbeat);
    }
    rig.submit(at(3_900), 1, job(1, 1, 3_000));
    rig.report(at(millis - 10), 1, 1, cpu(3_000), FromAgentBody::Heartbeat);
    rig.submit(at(millis), 2, job(2, 1, estimate));
    assert_eq!(rig.answers.is_empty(), is_taken, "{:?}", rig.answers);
}

/// The other half of the same day: what is left shortly before the process is
/// killed gets its answer.
#[test]
fn a_stopping_gateway_answers_what_is_left_at_its_limit() {
    let mut rig = GatewayRig::new();
    rig.join(at(0), 1, "agent-1", cpu(4_000));
    rig.event(at(1_000), GatewayEvent::Stop);
    for millis in (1_390..=3_890).step_by(500) {
        rig.report(at(millis), 1, 0, cpu(4_000), FromAgentBody::Heartbeat);
    }
    rig.submit(at(3_900), 1, job(1, 1, 3_000));
    rig.tick(at(6_000));
    assert_eq!(rig.last_answer(), Some(Answer::GivenUp));
    assert!(rig.stopped);
}

/// Slow workers took the overflow of a day with many of them (incident of
/// krystalon-wro), and their tasks came back.
#[test]
fn a_worker_far_slower_than_the_others_gets_one_task_while_idle() {
    let mut rig = GatewayRig::new();
    rig.join(at(0), 1, "agent-1", cpu(1_000));
    rig.join(at(0), 2, "agent-2", cpu(8_000));
    rig.report_pace(at(1), 2, 0, cpu(8_000), 600);
    rig.submit(at(10), 1, job(1, 4, 200));
    let placed: Vec<(u64, usize)> = rig
        .starts
        .iter()
        .map(|(session, batch)| (session.0, batch.tasks.len()))
        .collect();
    assert_eq!(placed, vec![(1, 1), (2, 1)]);
}

#[test]
fn workers_that_are_all_slow_are_used() {
    let mut rig = GatewayRig::new();
    rig.join(at(0), 1, "agent-1", cpu(8_000));
    rig.report_pace(at(1), 1, 0, cpu(8_000), 600);
    rig.submit(at(10), 1, job(1, 4, 200));
    assert_eq!(rig.next_start().1.tasks.len(), 4);
}

/// Found after a loss of power: callers that had waited for most of their time were
/// taken, run in part and given up, and fresh ones went without the room.
#[rstest]
#[case::too_little(99, true)]
#[case::enough(150, false)]
fn a_job_that_its_caller_cannot_wait_for_is_refused_at_once(
    #[case] time_left_millis: u64,
    #[case] is_refused: bool,
) {
    let mut rig = GatewayRig::new();
    rig.join(at(0), 1, "agent-1", cpu(1_000));
    let mut request = job(1, 1, 200);
    request.time_left = Span::from_millis(time_left_millis);
    rig.submit(at(10), 1, request);
    let refused = matches!(
        rig.last_answer(),
        Some(Answer::Refused {
            reason: Refusal::DeadlineOver,
            ..
        })
    );
    assert_eq!(refused, is_refused, "{:?}", rig.answers);
    assert_eq!(rig.starts.is_empty(), is_refused);
}

/// A caller may cancel at any gateway, and its job may still be on its way to another.
#[rstest]
#[case::before(0)]
#[case::after(20)]
fn a_job_that_was_cancelled_at_a_peer_does_not_run(#[case] told: u64) {
    let mut rig = GatewayRig::new();
    rig.join(at(0), 1, "agent-1", cpu(1_000));
    let session = SessionId(50);
    rig.open_peer(at(0), session);
    let message = ToPeer::Cancelled(vec![JobId(1)]);
    let told_at = |rig: &mut GatewayRig, millis| {
        let message = message.clone();
        rig.peer_message(at(millis), session, message);
    };
    if told < 10 {
        told_at(&mut rig, told);
    }
    rig.submit(at(10), 1, job(1, 1, 100));
    if told > 10 {
        told_at(&mut rig, told);
        assert_eq!(rig.stops, [task(1, 0)]);
    } else {
        assert!(rig.starts.is_empty());
    }
    assert_eq!(rig.last_answer(), Some(Answer::Cancelled));
}

/// A gateway that has just started may be handed the job once more.
#[test]
fn a_cancel_of_an_unknown_job_is_passed_on_also_to_peers_that_come_later() {
    let mut rig = GatewayRig::new();
    let peers = [50, 51].map(SessionId);
    rig.open_peer(at(0), peers[0]);
    let cancel = GatewayEvent::Cancel {
        call: CallNumber(1),
        job: JobId(1),
    };
    rig.event(at(10), cancel);
    assert_eq!(rig.last_answer(), Some(Answer::Unknown));
    rig.open_peer(at(3_000), peers[1]);
    for peer in peers {
        let is_told = |(session, message): &(SessionId, ToPeer)| {
            *session == peer && matches!(message, ToPeer::Cancelled(jobs) if *jobs == [JobId(1)])
        };
        assert!(rig.to_peers.iter().any(is_told));
    }
}

/// A new agent knows its worker from a record; whether that is old, gateways know.
#[test]
fn an_agent_that_takes_the_place_of_another_is_told_how_long_that_was_silent() {
    let mut rig = GatewayRig::new();
    rig.join(at(0), 1, "agent-1", cpu(1_000));
    rig.event(
        at(200),
        GatewayEvent::AgentClosed {
            session: SessionId(1),
        },
    );
    rig.join(at(500), 2, "agent-1", cpu(1_000));
    rig.join(at(500), 3, "agent-2", cpu(1_000));
    assert_eq!(rig.predecessors, [(SessionId(2), Span::from_millis(500))]);
}

/// It would stand still on one worker after the other.
#[test]
fn a_task_that_stands_still_wherever_it_runs_is_given_up() {
    let mut rig = GatewayRig::new();
    rig.join(at(0), 1, "agent-1", cpu(4_000));
    rig.submit(at(10), 1, job(1, 1, 100));
    for stalls in 0..4 {
        assert!(rig.answers.is_empty(), "given up after {stalls}");
        let batch = rig.next_start();
        assert_eq!(batch.1.has_stalled, stalls > 0);
        let now = at(100 + 100 * stalls);
        rig.end(now, &batch, EndKind::Stalled, cpu(4_000));
    }
    assert_eq!(rig.last_answer(), Some(Answer::GivenUp));
    assert!(rig.starts.is_empty());
}

/// A worker may be suspected only because this very task fails there.
#[test]
fn a_task_is_excused_by_suspected_workers_some_times_only() {
    let mut rig = GatewayRig::new();
    rig.join(at(0), 1, "agent-1", cpu(4_000));
    rig.submit(at(10), 1, job(1, 1, 100));
    for failures in 0..6 {
        assert!(rig.answers.is_empty(), "failed after {failures}");
        let batch = rig.next_start();
        let now = at(100 + 100 * failures);
        rig.end(now, &batch, EndKind::FailedOnSuspect, cpu(4_000));
    }
    assert_eq!(rig.last_answer(), Some(Answer::Failed));
}
