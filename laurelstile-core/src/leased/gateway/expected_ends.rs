//! Expected ends of the runs of a gateway's tasks.
//!
//! Tasks that were placed together end together, so resources become free in bursts that a mean rate
//! does not show. Under overload, a waiting job is placed when the runs whose resources it and the jobs
//! before it need have ended.

use laurelstile_types::time::Timestamp;

use super::LeasedGateway;
use super::job::{Job, TaskState};

/// Expected ends of the runs of a service's tasks.
#[derive(Debug)]
pub struct ExpectedEnds {
    /// Ends, the first ones first, and the thousandths of a core that have become free by then.
    free_at: Vec<(Timestamp, u64)>,
}

impl ExpectedEnds {
    /// From ends and the thousandths of a core that become free at each, in any order.
    pub fn new(mut ends: Vec<(Timestamp, u64)>) -> Self {
        ends.sort_unstable();
        let mut free = 0;
        for (_, cpu_millis) in &mut ends {
            free += *cpu_millis;
            *cpu_millis = free;
        }
        Self { free_at: ends }
    }

    /// When `cpu_millis` thousandths of a core have become free; `None` if the known runs have less.
    pub fn free_at(&self, cpu_millis: u64) -> Option<Timestamp> {
        let index = self.free_at.partition_point(|(_, free)| *free < cpu_millis);
        self.free_at.get(index).map(|(end, _)| *end)
    }
}

impl LeasedGateway {
    /// Expected ends of this gateway's runs of a service. Overdue ones count as about to end.
    pub(super) fn expected_ends(&self, now: Timestamp, service: &str) -> ExpectedEnds {
        let running = |job: &&Job| job.placed_count > 0 && job.queue.service == service;
        let steps = self
            .jobs
            .values()
            .filter(running)
            .flat_map(|job| &job.steps);
        let ends = steps.flat_map(|step| {
            let placed = step
                .tasks
                .iter()
                .filter(|task| task.state == TaskState::Placed);
            let cpu_millis = u64::from(step.request.resources.cpu_millis);
            placed.map(move |task| {
                let end = task.placed_at.after(step.request.estimate);
                (end.max(now), cpu_millis)
            })
        });
        ExpectedEnds::new(ends.collect())
    }
}
