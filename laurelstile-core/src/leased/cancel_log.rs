//! Cancelled jobs, as gateways and agents remember them.

use std::collections::{BTreeMap, BTreeSet};

use laurelstile_types::time::{Span, Timestamp};
use serde::{Deserialize, Serialize};
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

/// A job that was cancelled at some time, on the clock of the process that remembers it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cancelled {
    /// Id of the job.
    pub job: JobId,
    /// When it was cancelled, or somewhat earlier.
    pub at: Timestamp,
}

/// Cancelled jobs, as processes tell each other. The receiver retains each for what is left of its
/// retention; counted from each time that it is told, it would never end.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancelList {
    /// Ids of the jobs.
    #[serde(rename = "j")]
    pub jobs: Vec<JobId>,
    /// Time since each was cancelled, in seconds, rounded up. Those that are missing are zero.
    #[serde(rename = "a", default, skip_serializing_if = "Vec::is_empty")]
    pub ages_seconds: Vec<u32>,
}

impl CancelList {
    /// The cancellations as told at `now`.
    pub fn new(now: Timestamp, cancelled: &[Cancelled]) -> Self {
        let ages = cancelled.iter().map(|one| age_seconds(now, one.at));
        let mut ages_seconds: Vec<u32> = ages.collect();
        if ages_seconds.iter().all(|age| *age == 0) {
            ages_seconds.clear();
        }
        Self {
            jobs: cancelled.iter().map(|one| one.job).collect(),
            ages_seconds,
        }
    }

    /// The cancellations as received at `now`.
    pub fn received(&self, now: Timestamp) -> impl Iterator<Item = Cancelled> {
        let ages = self.ages_seconds.iter().copied();
        let ages = ages.chain(std::iter::repeat(0));
        self.jobs.iter().zip(ages).map(move |(job, age)| Cancelled {
            job: *job,
            at: Timestamp(now.0.saturating_sub(Span::from_secs(u64::from(age)).0)),
        })
    }
}

fn age_seconds(now: Timestamp, at: Timestamp) -> u32 {
    let seconds = now.since(at).as_millis().div_ceil(1_000);
    u32::try_from(seconds).unwrap_or(u32::MAX)
}

/// The jobs cancelled within [`CANCEL_RETENTION`].
#[derive(Debug, Default)]
pub struct CancelLog {
    /// When each job was last cancelled.
    jobs: BTreeMap<JobId, Timestamp>,
    /// The same, in the order of these times.
    by_time: BTreeSet<(Timestamp, JobId)>,
}

impl CancelLog {
    /// Records a cancellation, if no later one of the same job is retained.
    ///
    /// # Errors
    /// [`CancelLogFull`] if the job is not retained yet and no entry has expired.
    pub fn record(&mut self, now: Timestamp, cancelled: Cancelled) -> Result<(), CancelLogFull> {
        let Cancelled { job, at } = cancelled;
        self.remove_expired(now);
        let known_at = self.jobs.get(&job).copied();
        if known_at.is_some_and(|known_at| known_at >= at) || !is_retained(now, at) {
            return Ok(());
        }
        match known_at {
            Some(known_at) => {
                self.by_time.remove(&(known_at, job));
            }
            None if self.jobs.len() >= MAX_CANCELS => return Err(CancelLogFull),
            None => {}
        }
        self.jobs.insert(job, at);
        self.by_time.insert((at, job));
        Ok(())
    }

    fn remove_expired(&mut self, now: Timestamp) {
        while let Some((at, job)) = self.by_time.first().copied()
            && !is_retained(now, at)
        {
            self.by_time.pop_first();
            self.jobs.remove(&job);
        }
    }

    /// The retained cancellations, by time.
    pub fn retained(&self, now: Timestamp) -> Vec<Cancelled> {
        let by_time = self.by_time.iter();
        let retained = by_time.filter(|(at, _)| is_retained(now, *at));
        let retained = retained.map(|(at, job)| Cancelled { job: *job, at: *at });
        retained.collect()
    }

    /// Whether the job's cancellation is retained.
    pub fn contains(&self, now: Timestamp, job: JobId) -> bool {
        self.cancelled_at(now, job).is_some()
    }

    /// When the job was cancelled, if that is retained.
    pub fn cancelled_at(&self, now: Timestamp, job: JobId) -> Option<Timestamp> {
        let at = self.jobs.get(&job).copied();
        at.filter(|at| is_retained(now, *at))
    }
}

fn is_retained(now: Timestamp, at: Timestamp) -> bool {
    now.since(at) <= CANCEL_RETENTION
}
