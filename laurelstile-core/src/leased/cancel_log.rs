//! Recently cancelled jobs, as gateways and agents remember them.

use std::collections::{BTreeMap, VecDeque};

use laurelstile_types::time::{Span, Timestamp};

use super::task::JobId;

/// How long a cancellation is kept: the submission may still be in flight, or be repeated
/// after a broken connection.
const RETENTION: Span = Span::from_secs(10);
/// Maximum number of entries.
const MAX_ENTRIES: usize = 4_096;

/// The jobs cancelled within [`RETENTION`].
#[derive(Debug, Default)]
pub struct CancelLog {
    /// When each job was last cancelled.
    jobs: BTreeMap<JobId, Timestamp>,
    /// The entries in the order of recording, repeated ones included.
    order: VecDeque<(Timestamp, JobId)>,
    /// When an entry was last evicted before its retention ended.
    last_evicted_at: Option<Timestamp>,
}

impl CancelLog {
    /// Records a cancellation.
    pub fn record(&mut self, now: Timestamp, job: JobId) {
        while let Some((at, _)) = self.order.front() {
            let is_old = now.since(*at) > RETENTION;
            if !is_old && self.order.len() < MAX_ENTRIES {
                break;
            }
            if !is_old {
                self.last_evicted_at = Some(now);
            }
            self.remove_oldest();
        }
        self.jobs.insert(job, now);
        self.order.push_back((now, job));
    }

    fn remove_oldest(&mut self) {
        let Some((at, job)) = self.order.pop_front() else {
            return;
        };
        if self.jobs.get(&job) == Some(&at) {
            self.jobs.remove(&job);
        }
    }

    /// Whether a cancellation that seems new may be one that was evicted. Such cancellations
    /// are not forwarded, since they could circulate between gateways forever.
    pub fn may_have_evicted(&self, now: Timestamp) -> bool {
        self.last_evicted_at
            .is_some_and(|at| now.since(at) <= RETENTION)
    }

    /// Jobs whose cancellation is still retained.
    pub fn recent(&self, now: Timestamp) -> Vec<JobId> {
        let recent = self.jobs.iter().filter(|(_, at)| is_recent(now, **at));
        recent.map(|(job, _)| *job).collect()
    }

    /// Whether the job's cancellation is still retained.
    pub fn contains(&self, now: Timestamp, job: JobId) -> bool {
        self.jobs.get(&job).is_some_and(|at| is_recent(now, *at))
    }
}

fn is_recent(now: Timestamp, at: Timestamp) -> bool {
    now.since(at) <= RETENTION
}
