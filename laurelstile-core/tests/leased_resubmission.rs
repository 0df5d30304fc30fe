//! Tests of a job that is submitted again to the gateway that held it before.
//!
//! They guard against two runs of a task at the same time, because the end of a run of the earlier
//! submission is attributed to the run of the present one, or because the present one starts before
//! the earlier one has ended.

mod leased_support;

use laurelstile_core::leased::gateway::job::CallNumber;
use laurelstile_core::leased::gateway::{Answer, GatewayEvent};
use laurelstile_core::leased::messages::{EndKind, FromAgentBody};
use laurelstile_core::leased::timing::{AGENT_EXPIRY, CALLER_RETRY_DELAY};
use leased_support::{GatewayRig, at, cpu, job, task};

/// When the caller of [`abandoned_job`] disconnects, in milliseconds.
const DISCONNECTED: u64 = 100;
/// When it submits its job again, in milliseconds.
const RESUBMITTED: u64 = DISCONNECTED + CALLER_RETRY_DELAY.as_millis();

/// A gateway whose caller disconnected while the job's task was at agent 1. Agents 2 and 3 have
/// joined since.
fn abandoned_job() -> GatewayRig {
    let mut rig = GatewayRig::new();
    rig.join(at(0), 1, "agent-1", cpu(4_000));
    rig.submit(at(10), 1, job(1, 1, 2_000));
    rig.next_start();
    rig.join(at(20), 2, "agent-2", cpu(4_000));
    rig.join(at(20), 3, "agent-3", cpu(4_000));
    let call = CallNumber(1);
    rig.event(at(DISCONNECTED), GatewayEvent::CallerDisconnected { call });
    assert_eq!(rig.stops, [task(1, 0)]);
    rig
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
    let mut rig = abandoned_job();
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
