//! Use of the worker by queue, which gateways are told while tasks wait for the worker.

use std::collections::BTreeMap;

use laurelstile_types::id::Incarnation;
use laurelstile_types::time::{Span, Timestamp};

use super::LeasedAgent;
use super::owner::Owner;
use super::run_table::Run;
use crate::leased::queue_key::QueueKey;
use crate::leased::resources::Resources;
use crate::leased::usage::{QueueLoad, UsageReport};

/// Minimum interval between two usage reports to a gateway. Gateways use a report for several times
/// as long, and each takes about 20 bytes per queue.
const USAGE_INTERVAL: Span = Span::from_millis(100);

/// The usage reports that were sent on a session.
#[derive(Clone, Copy, Debug, Default)]
pub struct SentUsage {
    /// When the usage was last examined, whether or not a report was sent; `None` before the first
    /// time.
    examined: Option<Timestamp>,
    /// Whether any was sent.
    has_sent: bool,
    /// Whether the latest named a queue.
    has_loads: bool,
}

impl SentUsage {
    fn is_due(self, now: Timestamp) -> bool {
        self.examined
            .is_none_or(|examined| now.since(examined) >= USAGE_INTERVAL)
    }
}

impl LeasedAgent {
    /// The usage to add to a message that is sent to a gateway now; `None` if it is not due. The first
    /// one of a session is sent also if no task waits, since a gateway that has just started has
    /// announced none. An empty one follows the last one after no task waits any more. Nothing is
    /// examined while there is no queue key, as without policies that use them: a gateway may announce
    /// hundreds of steps.
    pub(super) fn take_due_usage(
        &mut self,
        now: Timestamp,
        gateway: Incarnation,
    ) -> Option<Box<UsageReport>> {
        let sent = self.owners.get(&gateway)?.sent_usage;
        let may_have_loads = sent.has_loads || self.has_queue_keys();
        if !may_have_loads || !sent.is_due(now) {
            return None;
        }
        let usage = if !sent.has_sent || self.has_waiting_queue(now) {
            self.usage(now)
        } else {
            UsageReport::default()
        };
        let has_loads = !usage.loads.is_empty();
        let is_sent = has_loads || sent.has_loads;
        self.owners.get_mut(&gateway)?.sent_usage = SentUsage {
            examined: Some(now),
            has_sent: sent.has_sent || is_sent,
            has_loads,
        };
        is_sent.then(|| Box::new(usage))
    }

    /// Whether any run, offer or announced step has a queue key.
    fn has_queue_keys(&self) -> bool {
        self.runs.has_queue_keys() || self.owners.values().any(Owner::has_queue_keys)
    }

    /// Whether any gateway has announced waiting tasks of a named queue that fit the worker.
    fn has_waiting_queue(&self, now: Timestamp) -> bool {
        let capacity = self.capacity();
        let mut announced = self.owners.values().flat_map(|owner| owner.announced(now));
        announced.any(|(_, step)| step.queue.is_some() && step.resources.fits_in(capacity))
    }

    fn usage(&self, now: Timestamp) -> UsageReport {
        let capacity = self.capacity();
        let mut loads: BTreeMap<QueueKey, QueueLoad> = BTreeMap::new();
        for (_, run) in self.runs.iter() {
            add_run(&mut loads, run);
        }
        for owner in self.owners.values() {
            add_offered(&mut loads, owner);
            add_announced(&mut loads, now, owner, capacity);
        }
        UsageReport {
            loads: loads.into_values().collect(),
        }
    }
}

fn load_of(loads: &mut BTreeMap<QueueKey, QueueLoad>, queue: QueueKey) -> &mut QueueLoad {
    loads.entry(queue).or_insert(QueueLoad {
        queue,
        running_cpu_millis: 0,
        waiting_cpu_millis: 0,
    })
}

fn add_run(loads: &mut BTreeMap<QueueKey, QueueLoad>, run: &Run) {
    let Some(queue) = run.queue else {
        return;
    };
    let load = load_of(loads, queue);
    let sum = if run.takes_resources() {
        &mut load.running_cpu_millis
    } else {
        &mut load.waiting_cpu_millis
    };
    *sum = sum.saturating_add(run.resources.cpu_millis);
}

/// Counts resources that are reserved for tasks about to start as if these ran. Otherwise the part of
/// its time that a worker waits for starts would look like free capacity.
fn add_offered(loads: &mut BTreeMap<QueueKey, QueueLoad>, owner: &Owner) {
    for (queue, resources) in owner.offered_by_queue() {
        let load = load_of(loads, queue);
        load.running_cpu_millis = load.running_cpu_millis.saturating_add(resources.cpu_millis);
    }
}

/// Counts one task of each announced step. A gateway announces a step to as many agents as it has
/// waiting tasks, so that the agents together count each task once. A task that does not fit the
/// worker's capacity takes nothing from other queues there, however long it waits.
fn add_announced(
    loads: &mut BTreeMap<QueueKey, QueueLoad>,
    now: Timestamp,
    owner: &Owner,
    capacity: Resources,
) {
    let announced = owner.announced(now);
    for (_, step) in announced.filter(|(_, step)| step.resources.fits_in(capacity)) {
        let Some(queue) = step.queue else {
            continue;
        };
        let load = load_of(loads, queue);
        load.waiting_cpu_millis = load
            .waiting_cpu_millis
            .saturating_add(step.resources.cpu_millis);
    }
}
