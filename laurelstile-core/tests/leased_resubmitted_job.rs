//! Tests that the ends of a job's runs are not confused with those of its earlier submission to the
//! same gateway, whose runs have the same numbers.

mod leased_support;

use laurelstile_core::leased::gateway::GatewayEvent;
use laurelstile_core::leased::gateway::job::CallNumber;
use laurelstile_core::leased::messages::{EndKind, FromAgentBody};
use laurelstile_core::leased::task::RunNumber;
use leased_support::{GatewayRig, at, cpu, job};
use rstest::rstest;

const EARLIER: u64 = 1;
const LATER: u64 = 2;

/// What tells the gateway that the earlier submission's run is over.
#[derive(Clone, Copy)]
enum End {
    /// Its agent was silent for too long.
    Silence,
    /// Its agent reports it.
    Report(EndKind),
}

/// Guards against a second run of a task while its first goes on: an agent's late word of a run
/// that the caller had abandoned was taken for that of the run since placed elsewhere.
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
        if millis <= 600 {
            rig.report(at(millis), EARLIER, 1, cpu(0), FromAgentBody::Heartbeat);
        }
    }
    rig.submit(at(1_400), 2, job(1, 1, 2_000));
    let (session, batch) = rig.starts.pop_front().expect("a start elsewhere");
    assert_eq!(session.0, LATER);
    assert_eq!(batch.tasks, [(0, RunNumber(1))]);
    for millis in (1_500..2_500).step_by(100) {
        let body = FromAgentBody::Heartbeat;
        rig.report(at(millis), LATER, batch.number, cpu(1_000), body);
        if let End::Report(how) = end
            && millis == 1_500
        {
            rig.end(at(millis), &abandoned, how, cpu(1_000));
        }
        assert!(rig.starts.is_empty(), "a second run at {millis} ms");
    }
}
