//! Cancelled jobs, as gateways and agents remember them.

use std::collections::{BTreeMap, VecDeque};

use laurelstile_types::time::Timestamp;
use thiserror::Error;

use super::task::JobId;
use super::timing::CANCEL_RETENTION;

/// Maximum number of retained cancellations: some 430 a second over [`CANCEL_RETENTION`].
pub const MAX_CANCELS: usize = 65_536;

/// A cancellation cannot be recorded. It must not be acknowledged, and nothing older is forgotten for
/// it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("{MAX_CANCELS} cancellations are retained, which is the maximum")]
pub struct CancelLogFull;

/// The jobs cancelled within [`CANCEL_RETENTION`].
#[derive(Debug, Default)]
pub struct CancelLog {
    /// When each job was last cancelled.
    jobs: BTreeMap<JobId, Timestamp>,
    /// Each job once, in the order in which their expiry is examined.
    order: VecDeque<(Timestamp, JobId)>,
}

impl CancelLog {
    /// Records a cancellation, or renews that of the same job.
    ///
    /// # Errors
    /// [`CancelLogFull`] if the job is not retained yet and no entry has expired.
    pub fn record(&mut self, now: Timestamp, job: JobId) -> Result<(), CancelLogFull> {
        self.remove_expired(now);
        if let Some(at) = self.jobs.get_mut(&job) {
            *at = now;
            return Ok(());
        }
        if self.jobs.len() >= MAX_CANCELS {
            return Err(CancelLogFull);
        }
        self.jobs.insert(job, now);
        self.order.push_back((now, job));
        Ok(())
    }

    fn remove_expired(&mut self, now: Timestamp) {
        while let Some((at, job)) = self.order.front().copied()
            && !is_retained(now, at)
        {
            self.order.pop_front();
            let renewed_at = self.jobs.get(&job).copied();
            match renewed_at.filter(|renewed_at| is_retained(now, *renewed_at)) {
                Some(renewed_at) => self.order.push_back((renewed_at, job)),
                None => {
                    self.jobs.remove(&job);
                }
            }
        }
    }

    /// Jobs whose cancellation is retained.
    pub fn retained(&self, now: Timestamp) -> Vec<JobId> {
        let retained = self.jobs.iter().filter(|(_, at)| is_retained(now, **at));
        retained.map(|(job, _)| *job).collect()
    }

    /// Whether the job's cancellation is retained.
    pub fn contains(&self, now: Timestamp, job: JobId) -> bool {
        self.jobs.get(&job).is_some_and(|at| is_retained(now, *at))
    }
}

fn is_retained(now: Timestamp, at: Timestamp) -> bool {
    now.since(at) <= CANCEL_RETENTION
}
