//! How this gateway's queues were served, which it tells its agents: they tell it to gateways that
//! start, so that the order of queues under overload outlives the loss of all gateways.

use std::collections::BTreeMap;
use std::ops::Bound;

use laurelstile_types::id::Incarnation;
use laurelstile_types::time::{Span, Timestamp};

use super::LeasedGateway;
use super::on_time_rates::SizeGroup;
use crate::leased::queue_key::QueueKey;
use crate::leased::usage::{MAX_SERVED_COUNTS, ServedCount};

/// Interval at which one of the agents is told, so that the counts of a few seconds reach several.
const TELL_INTERVAL: Span = Span::from_secs(1);

/// Counts of the jobs answered since an agent was last told of any.
#[derive(Debug, Default)]
pub struct ServedTally {
    counts: BTreeMap<(QueueKey, SizeGroup), Answers>,
    /// When the next agent may be told.
    due: Timestamp,
    last_told: Option<Incarnation>,
    /// The agent whose next message carries the counts.
    next: Option<Incarnation>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Answers {
    answered: u32,
    on_time: u32,
}

impl ServedTally {
    fn record(&mut self, queue: &str, group: SizeGroup, is_on_time: bool) {
        let key = (QueueKey::of(queue), group);
        if self.counts.len() >= MAX_SERVED_COUNTS && !self.counts.contains_key(&key) {
            return;
        }
        let count = self.counts.entry(key).or_default();
        count.answered = count.answered.saturating_add(1);
        count.on_time = count.on_time.saturating_add(u32::from(is_on_time));
    }

    /// Takes the counts if they go to this agent.
    pub(super) fn take_for(&mut self, now: Timestamp, agent: Incarnation) -> Vec<ServedCount> {
        if self.next != Some(agent) {
            return Vec::new();
        }
        self.next = None;
        self.last_told = Some(agent);
        self.due = now.after(TELL_INTERVAL);
        let counts = std::mem::take(&mut self.counts);
        let counts = counts
            .into_iter()
            .map(|((queue, group), count)| ServedCount {
                queue,
                group,
                answered: count.answered,
                on_time: count.on_time,
            });
        counts.collect()
    }
}

impl LeasedGateway {
    /// Counts an answered job, to tell an agent of it.
    pub(super) fn count_served(&mut self, queue: &str, group: SizeGroup, is_on_time: bool) {
        if self.policies.queue_shares.is_some() {
            self.served_tally.record(queue, group, is_on_time);
        }
    }

    /// Chooses the agent that is told next, in turn. The counts travel with the next message to it,
    /// at the latest the answer to its next heartbeat.
    pub(super) fn choose_told_agent(&mut self, now: Timestamp) {
        let tally = &self.served_tally;
        if tally.counts.is_empty() || now < tally.due {
            return;
        }
        let is_reachable = |agent: &Incarnation| {
            let worker = self.workers.get(agent);
            worker.is_some_and(|worker| worker.is_reachable(now))
        };
        if tally.next.as_ref().is_some_and(is_reachable) {
            return;
        }
        let after = tally.last_told.map_or(Bound::Unbounded, Bound::Excluded);
        let later = self.workers.range((after, Bound::Unbounded));
        let in_turn = later.chain(self.workers.iter());
        let mut agents = in_turn.map(|(agent, _)| *agent);
        self.served_tally.next = agents.find(is_reachable);
    }

    /// Uses what an agent tells, once from each agent process.
    pub(super) fn on_served_counts(
        &mut self,
        now: Timestamp,
        agent: Incarnation,
        counts: &[ServedCount],
    ) {
        let Some(worker) = self.workers.get_mut(&agent) else {
            return;
        };
        let is_first = !std::mem::replace(&mut worker.has_told_served, true);
        if is_first && self.policies.queue_shares.is_some() {
            let counts = &counts[..counts.len().min(MAX_SERVED_COUNTS)];
            self.on_time_rates.record_told(now, counts);
        }
    }
}
