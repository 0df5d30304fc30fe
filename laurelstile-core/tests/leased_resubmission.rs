//! Tests of a job that is submitted again to the gateway that held it before.
//!
//! They guard against two runs of a task at the same time, because the end of a run of the earlier
//! submission is attributed to the run of the present one, or because the present one starts before
//! the earlier one has ended.

mod leased_support;

use laurelstile_core::leased::crashes::{CrashedTask, WorkerCrash};
use laurelstile_core::leased::gateway::job::CallNumber;
use laurelstile_core::leased::gateway::{Answer, EndSource, GatewayEvent};
use laurelstile_core::leased::messages::{EndKind, FromAgentBody, StartBatch};
use laurelstile_core::leased::task::RunNumber;
use laurelstile_core::leased::timing::{AGENT_EXPIRY, CALLER_RETRY_DELAY};
use laurelstile_core::session::SessionId;
use leased_support::{GatewayRig, at, cpu, job, task};
use rstest::rstest;

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

/// Guards against a caller that is told that its job was not run while an earlier run continues.
#[test]
fn a_job_whose_earlier_run_continues_is_not_refused_as_not_run() {
    let (mut rig, first) = abandoned_job();
    let heartbeats_until = |rig: &mut GatewayRig, from: u64, to: u64| {
        for millis in (from..to).step_by(100) {
            heartbeats(rig, millis, &[1, 2, 3]);
        }
    };
    heartbeats_until(&mut rig, 200, RESUBMITTED);
    rig.submit(at(RESUBMITTED), 2, job(1, 1, 200));
    heartbeats_until(&mut rig, RESUBMITTED, 2_000);
    assert!(rig.starts.is_empty() && rig.answers.is_empty());
    rig.end(at(2_000), &first, EndKind::Stopped, cpu(4_000));
    assert_eq!(rig.starts.len(), 1, "a worker is free");
    heartbeats_until(&mut rig, 2_000, RESUBMITTED + 4_100);
    assert_eq!(rig.last_answer(), Some(Answer::GivenUp), "the deadline");
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

/// Has agents 2 and 3 send heartbeats until `until`, in milliseconds, and `jobs` other jobs complete
/// at that time.
fn complete_other_jobs(rig: &mut GatewayRig, until: u64, jobs: u64) {
    for millis in (200..=until).step_by(100) {
        heartbeats(rig, millis, &[2, 3]);
    }
    for id in 0..jobs {
        rig.submit(at(until), 10 + id, job(10 + id, 1, 200));
        let batch = rig.next_start();
        rig.end(at(until), &batch, EndKind::Done, cpu(4_000));
    }
}

/// Guards against run numbers that begin anew while agents may still report ends of earlier runs,
/// and against memory that grows with each removed job.
#[rstest]
#[case::for_ten_seconds(DISCONNECTED + 10_000, 1, 2)]
#[case::for_no_longer(DISCONNECTED + 10_001, 1, 1)]
#[case::of_many_jobs(RESUBMITTED, 8_191, 2)]
#[case::of_no_more_jobs(RESUBMITTED, 8_192, 1)]
fn the_numbers_of_earlier_runs_are_kept(
    #[case] resubmitted: u64,
    #[case] other_jobs: u64,
    #[case] next_run: u32,
) {
    let (mut rig, first) = abandoned_job();
    rig.end(at(150), &first, EndKind::Stopped, cpu(4_000));
    complete_other_jobs(&mut rig, resubmitted, other_jobs);
    rig.submit(at(resubmitted), 2, job(1, 1, 2_000));
    let (_, batch) = rig.next_start();
    assert_eq!(batch.tasks, [(0, RunNumber(next_run))]);
}

/// Guards against a second run of a task whose present run is taken for ended: its agent was
/// suspended for nearly ten seconds and then reports the end of the run of the earlier submission.
#[test]
fn an_end_reported_seconds_late_does_not_end_the_present_run() {
    let (mut rig, first) = abandoned_job();
    let resumed = DISCONNECTED + 9_900;
    complete_other_jobs(&mut rig, resumed, 1);
    for session in [2, 3] {
        rig.lose_session(at(resumed), session);
    }
    heartbeats(&mut rig, resumed, &[1]);
    rig.submit(at(resumed), 2, job(1, 1, 2_000));
    let second = rig.next_start();
    assert_eq!(second.0, SessionId(1));
    rig.end(at(resumed + 10), &first, EndKind::Stopped, cpu(4_000));
    heartbeats(&mut rig, resumed + 20, &[1]);
    assert!(rig.starts.is_empty(), "the present run has not ended");
}

/// Guards against resubmitted tasks that crash worker after worker together: the worker crashed while
/// it ran the earlier submission's tasks, which then are placed on different workers.
#[rstest]
#[case::before_the_resubmission(200)]
#[case::while_the_tasks_wait(RESUBMITTED + 10)]
fn tasks_whose_earlier_runs_crashed_a_worker_are_separated(#[case] crashed: u64) {
    let mut rig = GatewayRig::new();
    rig.join(at(0), 1, "agent-1", cpu(4_000));
    rig.submit(at(10), 1, job(1, 2, 2_000));
    let first = rig.next_start();
    assert_eq!(first.1.tasks.len(), 2);
    let call = CallNumber(1);
    rig.event(at(DISCONNECTED), GatewayEvent::CallerDisconnected { call });
    rig.join(at(DISCONNECTED), 2, "agent-2", cpu(4_000));
    rig.join(at(DISCONNECTED), 3, "agent-3", cpu(4_000));
    let tasks = [0, 1].map(|index| CrashedTask {
        task: task(1, index),
        is_early: false,
    });
    let crash = WorkerCrash {
        incarnation: "life-1".into(),
        runs: 2,
        tasks: tasks.to_vec(),
    };
    for millis in (200..RESUBMITTED + 100).step_by(10) {
        heartbeats(&mut rig, millis, &[1, 2, 3]);
        if millis == crashed {
            let crashes = FromAgentBody::Crashes(vec![crash.clone()]);
            rig.report(at(millis), 1, 1, cpu(0), crashes);
        }
        if millis == RESUBMITTED {
            rig.submit(at(millis), 2, job(1, 2, 2_000));
        }
    }
    assert!(rig.starts.is_empty(), "the earlier runs have not ended");
    rig.end(at(RESUBMITTED + 100), &first, EndKind::Lost, cpu(0));
    let starts: Vec<(SessionId, StartBatch)> = rig.starts.drain(..).collect();
    let sizes: Vec<usize> = starts.iter().map(|(_, batch)| batch.tasks.len()).collect();
    assert_eq!(sizes, [1, 1]);
    assert_ne!(starts[0].0, starts[1].0);
}

const EARLIER: u64 = 1;
const LATER: u64 = 2;
/// When the first agent was last heard, in milliseconds.
const SILENT_FROM: u64 = 600;

/// How the gateway learns that the earlier submission's run has ended.
#[derive(Clone, Copy)]
enum End {
    /// Its agent was silent for too long.
    Silence,
    /// Its agent reports it.
    Report(EndKind),
}

/// Guards against a second run of a task while its first goes on: an agent's late report of a run
/// that the caller had abandoned must not end the run since placed elsewhere. The task is started
/// once, after the first run, under a higher number.
#[rstest]
#[case::silence(End::Silence)]
#[case::stopped(End::Report(EndKind::Stopped))]
#[case::lost(End::Report(EndKind::Lost))]
fn the_end_of_an_abandoned_run_starts_no_second_run(#[case] end: End) {
    let mut rig = GatewayRig::new();
    rig.join(at(1), EARLIER, "agent-1", cpu(1_000));
    rig.submit(at(10), 1, job(1, 1, 2_000));
    let abandoned = rig.starts.pop_front().expect("a start");
    let call = CallNumber(1);
    rig.event(at(50), GatewayEvent::CallerDisconnected { call });
    assert_eq!(rig.stops.len(), 1);
    rig.join(at(60), LATER, "agent-2", cpu(1_000));
    for millis in (100..=1_400).step_by(100) {
        rig.report(at(millis), LATER, 0, cpu(1_000), FromAgentBody::Heartbeat);
        if millis <= SILENT_FROM {
            rig.report(at(millis), EARLIER, 1, cpu(0), FromAgentBody::Heartbeat);
        }
    }
    rig.submit(at(1_400), 2, job(1, 1, 2_000));
    assert!(rig.starts.is_empty(), "started beside the first run");
    rig.report(at(1_405), LATER, 0, cpu(1_000), FromAgentBody::Heartbeat);
    let ends_at = match end {
        End::Silence => SILENT_FROM + AGENT_EXPIRY.0 / 1_000,
        End::Report(_) => 1_500,
    };
    let mut present = None;
    for millis in (1_410..2_500).step_by(10) {
        if millis % 100 == 0 {
            let confirmed = present
                .as_ref()
                .map_or(0, |batch: &StartBatch| batch.number);
            let body = FromAgentBody::Heartbeat;
            rig.report(at(millis), LATER, confirmed, cpu(1_000), body);
        }
        if let End::Report(how) = end
            && millis == ends_at
        {
            rig.end(at(millis), &abandoned, how, cpu(1_000));
        }
        rig.tick(at(millis));
        let Some((session, batch)) = rig.starts.pop_front() else {
            continue;
        };
        assert!(
            millis >= ends_at,
            "started beside the first run at {millis} ms"
        );
        assert!(present.is_none(), "a second run at {millis} ms");
        assert!(matches!(session.0, EARLIER | LATER));
        let (index, run) = batch.tasks[0];
        assert_eq!((index, batch.tasks.len()), (0, 1));
        assert!(run > abandoned.1.tasks[0].1);
        present = Some(batch);
    }
    assert!(present.is_some(), "not started after the first run");
    assert!(rig.starts.is_empty());
}

const FORMER_AGENT: u64 = 11;
const AGENT: u64 = 12;
const SPARE_AGENT: u64 = 13;

/// A gateway whose caller was disconnected and submits again while the agent of the first run has
/// not reported its end. Two other agents have free resources.
fn resubmitted_job() -> (GatewayRig, (SessionId, StartBatch)) {
    let mut rig = GatewayRig::new();
    rig.join(at(0), FORMER_AGENT, "agent-11", cpu(1_000));
    rig.submit(at(10), 1, job(7, 1, 2_000));
    let former = rig.next_start();
    assert_eq!(former.0, SessionId(FORMER_AGENT));
    let call = CallNumber(1);
    rig.event(at(100), GatewayEvent::CallerDisconnected { call });
    assert_eq!(rig.stops.len(), 1);
    rig.report(at(140), FORMER_AGENT, 1, cpu(0), FromAgentBody::Heartbeat);
    rig.pass_time(500, 1_390);
    rig.join(at(1_390), AGENT, "agent-12", cpu(1_000));
    rig.submit(at(1_400), 2, job(7, 1, 2_000));
    rig.join(at(1_402), SPARE_AGENT, "agent-13", cpu(1_000));
    (rig, former)
}

/// Guards against a loss or an end of a run of the first submission that is taken for that of the
/// second's run: the task is started once, after it and under a higher number.
#[rstest]
#[case::by_silence(EndSource::Silence)]
#[case::by_its_end(EndSource::Agent)]
#[case::by_its_successor(EndSource::Successor)]
fn the_end_of_an_earlier_submissions_run_does_not_end_the_present_run(#[case] source: EndSource) {
    let (mut rig, former) = resubmitted_job();
    assert!(rig.starts.is_empty(), "started beside the first run");
    match source {
        EndSource::Silence => rig.tick(at(1_406)),
        EndSource::Agent => rig.end(at(1_404), &former, EndKind::Stopped, cpu(1_000)),
        _ => {
            rig.join(at(1_404), 21, "agent-11", cpu(1_000));
            rig.lose_session(at(1_405), FORMER_AGENT);
        }
    }
    rig.tick(at(1_407));
    let (_, present) = rig.next_start();
    assert!(present.tasks[0].1 > former.1.tasks[0].1);
    for millis in [1_450, 1_500, 1_550] {
        rig.report(at(millis), AGENT, 1, cpu(0), FromAgentBody::Heartbeat);
        rig.report(
            at(millis),
            SPARE_AGENT,
            0,
            cpu(1_000),
            FromAgentBody::Heartbeat,
        );
    }
    assert!(
        rig.starts.is_empty(),
        "started beside the present run: {:?}",
        rig.starts
    );
}
