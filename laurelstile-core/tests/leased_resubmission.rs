//! Tests of a job that is submitted again to the gateway that held it before.
//!
//! They guard against two runs of a task at the same time, because the end of a run of the earlier
//! submission is attributed to the run of the present one, or because the present one starts before
//! the earlier one has ended.

mod leased_support;

use laurelstile_core::leased::gateway::job::CallNumber;
use laurelstile_core::leased::gateway::{Answer, GatewayEvent};
use laurelstile_core::leased::messages::{EndKind, FromAgentBody, StartBatch};
use laurelstile_core::leased::task::RunNumber;
use laurelstile_core::leased::timing::{AGENT_EXPIRY, CALLER_RETRY_DELAY};
use laurelstile_core::session::SessionId;
use leased_support::{GatewayRig, at, cpu, job, task};

/// When the caller of [`abandoned_job`] disconnects, in milliseconds.
const DISCONNECTED: u64 = 100;
/// When it submits its job again, in milliseconds.
const RESUBMITTED: u64 = DISCONNECTED + CALLER_RETRY_DELAY.as_millis();

/// A gateway whose caller disconnected while the job's task was at agent 1, and the batch with that
/// task. Agents 2 and 3 have joined since.
fn abandoned_job() -> (GatewayRig, (SessionId, StartBatch)) {
    let mut rig = GatewayRig::new();
    rig.join(at(0), 1, "agent-1", cpu(4_000));
    rig.submit(at(10), 1, job(1, 1, 2_000));
    let first = rig.next_start();
    rig.join(at(20), 2, "agent-2", cpu(4_000));
    rig.join(at(20), 3, "agent-3", cpu(4_000));
    let call = CallNumber(1);
    rig.event(at(DISCONNECTED), GatewayEvent::CallerDisconnected { call });
    assert_eq!(rig.stops, [task(1, 0)]);
    (rig, first)
}

fn heartbeats(rig: &mut GatewayRig, millis: u64, agents: &[u64]) {
    for agent in agents {
        let body = FromAgentBody::Heartbeat;
        rig.report(at(millis), *agent, 0, cpu(4_000), body);
    }
}

/// Guards against two runs of a resubmitted job's task: the expiry of an agent that held a run of
/// the earlier submission must not end the present run.
#[test]
fn the_expiry_of_an_agent_with_an_earlier_run_does_not_end_the_present_run() {
    let (mut rig, _) = abandoned_job();
    let last_heard = RESUBMITTED - AGENT_EXPIRY.as_millis() + 20;
    heartbeats(&mut rig, last_heard, &[1]);
    for millis in (200..RESUBMITTED).step_by(100) {
        heartbeats(&mut rig, millis, &[2, 3]);
    }
    rig.submit(at(RESUBMITTED), 2, job(1, 1, 2_000));
    for millis in (RESUBMITTED..RESUBMITTED + 400).step_by(10) {
        heartbeats(&mut rig, millis, &[2, 3]);
    }
    let batch = rig.next_start();
    assert!(rig.starts.is_empty(), "the task was started twice");
    rig.end(at(3_700), &batch, EndKind::Done, cpu(4_000));
    assert_eq!(rig.last_answer(), Some(Answer::Completed));
}

/// Guards against two runs of a resubmitted job's task: a late report of the end of an earlier
/// submission's run must not end the present run, and the present run must not start before it.
#[test]
fn a_resubmitted_task_starts_once_its_earlier_run_is_reported_to_have_ended() {
    let (mut rig, first) = abandoned_job();
    for millis in (200..RESUBMITTED).step_by(100) {
        heartbeats(&mut rig, millis, &[1, 2, 3]);
    }
    rig.submit(at(RESUBMITTED), 2, job(1, 1, 2_000));
    heartbeats(&mut rig, RESUBMITTED + 10, &[1, 2, 3]);
    assert!(rig.starts.is_empty(), "the earlier run has not ended");
    rig.end(at(RESUBMITTED + 20), &first, EndKind::Stopped, cpu(4_000));
    let batch = rig.next_start();
    assert!(rig.starts.is_empty(), "the task was started twice");
    assert!(batch.1.tasks[0].1 > first.1.tasks[0].1);
    rig.end(at(3_700), &batch, EndKind::Done, cpu(4_000));
    assert_eq!(rig.last_answer(), Some(Answer::Completed));
}

/// Guards against two runs of a resubmitted job's task: an agent that was suspended until it
/// expired reports the end of its earlier run when it holds the present one.
#[test]
fn an_end_reported_after_the_expiry_of_its_agent_does_not_end_the_present_run() {
    let (mut rig, first) = abandoned_job();
    for session in [2, 3] {
        rig.lose_session(at(150), session);
    }
    rig.pass_time(500, 1_500);
    rig.tick(at(DISCONNECTED + AGENT_EXPIRY.as_millis() + 50));
    heartbeats(&mut rig, 1_500, &[1]);
    rig.submit(at(1_500), 2, job(1, 1, 2_000));
    let second = rig.next_start();
    assert_eq!(second.0, SessionId(1));
    rig.end(at(1_510), &first, EndKind::Stopped, cpu(4_000));
    assert!(rig.starts.is_empty(), "the present run has not ended");
    rig.end(at(3_500), &second, EndKind::Done, cpu(4_000));
    assert_eq!(rig.last_answer(), Some(Answer::Completed));
}

/// The earlier run completed before its stop took effect.
#[test]
fn a_task_whose_earlier_run_completes_is_not_run_again() {
    let (mut rig, first) = abandoned_job();
    heartbeats(&mut rig, 200, &[1, 2, 3]);
    rig.submit(at(210), 2, job(1, 1, 2_000));
    rig.end(at(220), &first, EndKind::Done, cpu(4_000));
    assert!(rig.starts.is_empty());
    assert_eq!(rig.last_answer(), Some(Answer::Completed));
}

/// An earlier run that is still being stopped neither counts as placed by the present submission nor
/// delays its refusal.
#[test]
fn a_job_whose_earlier_run_does_not_end_in_time_is_refused() {
    let (mut rig, _) = abandoned_job();
    for millis in (200..2_000).step_by(100) {
        heartbeats(&mut rig, millis, &[1, 2, 3]);
    }
    rig.submit(at(2_000), 2, job(1, 1, 2_000));
    for millis in (2_000..4_000).step_by(100) {
        heartbeats(&mut rig, millis, &[1, 2, 3]);
    }
    assert!(rig.starts.is_empty());
    assert!(matches!(rig.last_answer(), Some(Answer::Refused { .. })));
}

/// The numbers of later runs rise over submissions, also if all earlier runs have ended.
#[test]
fn the_runs_of_a_resubmission_have_higher_numbers() {
    let (mut rig, first) = abandoned_job();
    rig.end(at(150), &first, EndKind::Stopped, cpu(4_000));
    for millis in (200..RESUBMITTED).step_by(100) {
        heartbeats(&mut rig, millis, &[2, 3]);
    }
    rig.submit(at(RESUBMITTED), 2, job(1, 1, 2_000));
    let batch = rig.next_start();
    assert_eq!(batch.1.tasks[0].1, RunNumber(2));
}
