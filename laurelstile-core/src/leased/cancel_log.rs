//! Recently cancelled jobs, as gateways and agents remember them.

use std::collections::VecDeque;

use laurelstile_types::time::{Span, Timestamp};

use super::task::JobId;

/// How long a cancellation is kept: the submission may still be in flight, or be repeated
/// after a broken connection.
const RETENTION: Span = Span::from_secs(10);
/// Maximum number of entries, 16 bytes each.
const MAX_ENTRIES: usize = 4_096;

/// The jobs cancelled within [`RETENTION`].
#[derive(Debug, Default)]
pub struct CancelLog {
    jobs: VecDeque<(Timestamp, JobId)>,
    /// When an entry was last evicted before its retention ended.
    last_evicted_at: Option<Timestamp>,
}

impl CancelLog {
    /// Records a cancellation.
    pub fn record(&mut self, now: Timestamp, job: JobId) {
        let is_old = |(at, _): &(Timestamp, JobId)| now.since(*at) > RETENTION;
        while self.jobs.front().is_some_and(is_old) {
            self.jobs.pop_front();
        }
        if self.jobs.len() >= MAX_ENTRIES {
            self.jobs.pop_front();
            self.last_evicted_at = Some(now);
        }
        self.jobs.push_back((now, job));
    }

    /// Whether a cancellation that seems new may be one that was evicted. Such cancellations
    /// are not forwarded, since they could circulate between gateways forever.
    pub fn may_have_evicted(&self, now: Timestamp) -> bool {
        self.last_evicted_at
            .is_some_and(|at| now.since(at) <= RETENTION)
    }

    /// Jobs whose cancellation is still retained.
    pub fn recent(&self, now: Timestamp) -> Vec<JobId> {
        let jobs = self.jobs.iter();
        let recent = jobs.filter(|(at, _)| now.since(*at) <= RETENTION);
        recent.map(|(_, job)| *job).collect()
    }

    /// Whether the job's cancellation is still retained.
    pub fn contains(&self, now: Timestamp, job: JobId) -> bool {
        let mut jobs = self.jobs.iter();
        jobs.any(|(at, known)| *known == job && now.since(*at) <= RETENTION)
    }
}
