//! Tests that the ends of a job's runs are not confused with those of its earlier submission to the
//! same gateway, whose runs have the same numbers.

mod leased_support;

use laurelstile_core::leased::gateway::GatewayEvent;
use laurelstile_core::leased::gateway::job::CallNumber;
use laurelstile_core::leased::messages::{EndKind, FromAgentBody, StartBatch};
use laurelstile_core::leased::timing::AGENT_EXPIRY;
use leased_support::{GatewayRig, at, cpu, job};
use rstest::rstest;

const EARLIER: u64 = 1;
const LATER: u64 = 2;
/// When the first agent was last heard, in milliseconds.
const SILENT_FROM: u64 = 600;

/// What tells the gateway that the earlier submission's run is over.
#[derive(Clone, Copy)]
enum End {
    /// Its agent was silent for too long.
    Silence,
    /// Its agent reports it.
    Report(EndKind),
}

/// Guards against a second run of a task while its first goes on: an agent's late word of a run
/// that the caller had abandoned was taken for that of the run since placed elsewhere. The task is
/// started once, after the first run, under a higher number.
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
