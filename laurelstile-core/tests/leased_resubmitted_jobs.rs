//! A job that its caller has submitted again at the gateway that stops the runs of before.

mod leased_support;

use laurelstile_core::leased::gateway::job::CallNumber;
use laurelstile_core::leased::gateway::{EndSource, GatewayEvent};
use laurelstile_core::leased::messages::{EndKind, FromAgentBody, StartBatch};
use laurelstile_core::session::SessionId;
use leased_support::{GatewayRig, at, cpu, job};
use rstest::rstest;

const FORMER_AGENT: u64 = 11;
const AGENT: u64 = 12;
const SPARE_AGENT: u64 = 13;

/// A gateway whose caller was disconnected and submits again while the agent of the first run has
/// not reported its end. Two other agents have free resources.
fn resubmitted() -> (GatewayRig, (SessionId, StartBatch)) {
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
#[case::told_by_silence(EndSource::Silence)]
#[case::told_by_its_end(EndSource::Agent)]
#[case::told_by_its_successor(EndSource::Successor)]
fn the_end_of_an_earlier_submissions_run_does_not_end_the_present_run(#[case] told: EndSource) {
    let (mut rig, former) = resubmitted();
    assert!(rig.starts.is_empty(), "started beside the first run");
    match told {
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
