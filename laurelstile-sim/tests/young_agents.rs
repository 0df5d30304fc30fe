//! Jobs that were delegated before any agent joined the pool are still run.

use laurelstile_history::event::Event;
use laurelstile_sim::faults::{Fault, ScheduledFault};
use laurelstile_sim::workload::SimJob;
use laurelstile_sim::world::{World, WorldPlan};

const SECOND: u64 = 1_000_000;
const AGENTS: usize = 3;

#[test]
fn jobs_older_than_every_agent_are_answered() {
    let plan = WorldPlan {
        seed: 1,
        gateways: 3,
        agents: AGENTS,
        slots: 4,
        quotas: vec![12],
        deadline: 20 * SECOND,
        latency: 500,
        caller_latency: 3_000,
        sabotage: None,
    };
    let jobs = (0..12)
        .map(|index| SimJob {
            at: 2 * SECOND + index * 10_000,
            tenant: 0,
            runs: vec![100_000; 3],
            key: None,
        })
        .collect();
    // Every agent is down while the jobs come, and younger than they after.
    let faults = (0..AGENTS)
        .map(|agent| ScheduledFault {
            at: SECOND,
            length: 3 * SECOND,
            fault: Fault::KillAgent(agent),
        })
        .collect();
    let result = World::new(plan, jobs, faults).run(40 * SECOND);
    let answered = result
        .records
        .iter()
        .filter(|record| matches!(record.event, Event::Answered { .. }))
        .count();
    assert_eq!(answered, 12);
    let slowest = result.responses.iter().map(|(_, response)| *response).max();
    assert!(slowest < Some(8 * SECOND), "{slowest:?}");
}
