//! What a gateway logs when it considers runs ended without a report of their agent.

mod leased_support;

use laurelstile_core::leased::gateway::EndSource;
use laurelstile_core::leased::task::{RunId, RunNumber};
use laurelstile_core::leased::timing::AGENT_EXPIRY;
use laurelstile_types::time::Span;
use leased_support::{GatewayRig, at, cpu, job, task};
use rstest::rstest;

/// Guards against a second run of a task whose logs do not say why the first was considered ended.
#[rstest]
#[case::snapshot(EndSource::Snapshot)]
#[case::successor(EndSource::Successor)]
#[case::silence(EndSource::Silence)]
fn runs_that_end_without_a_report_are_named_with_the_evidence(#[case] source: EndSource) {
    let mut rig = GatewayRig::new();
    rig.join(at(0), 1, "agent-1", cpu(4_000));
    rig.submit(at(10), 1, job(1, 1, 100));
    rig.next_start();
    rig.lose_session(at(100), 1);
    match source {
        EndSource::Snapshot => rig.rejoin(at(200), 1, 11, cpu(4_000), Vec::new()),
        EndSource::Successor => {
            rig.join_with_uptime(at(200), 2, "agent-1", cpu(4_000), Span::default());
        }
        EndSource::Silence => rig.tick(at(10).after(AGENT_EXPIRY).after(AGENT_EXPIRY)),
        EndSource::Agent => unreachable!("an agent's report is no lost run"),
    }
    let run = RunId {
        task: task(1, 0),
        run: RunNumber(1),
    };
    assert_eq!(rig.lost, [(source, vec![run])]);
}
