//! Recent claims of jobs.

use std::collections::{BTreeMap, VecDeque};

use laurelstile_types::time::{Span, Timestamp};

use crate::leased::task::JobId;

/// How long a claim is kept. Longer than the interval between claims of a job and the delay after which
/// callers resubmit together: a job may end just before its next claim is due.
const RETENTION: Span = Span::from_secs(5);
/// Maximum number of claims in a log, repeated ones included; beyond this the oldest are dropped.
const MAX_CLAIMS: usize = 16_384;

/// The latest claim of each job by each gateway.
#[derive(Debug, Default)]
pub struct ClaimLog {
    claims: BTreeMap<(JobId, String), Timestamp>,
    order: VecDeque<(Timestamp, JobId, String)>,
}

impl ClaimLog {
    pub fn record(&mut self, now: Timestamp, job: JobId, holder: &str) {
        self.claims.insert((job, holder.to_owned()), now);
        self.order.push_back((now, job, holder.to_owned()));
        while let Some((at, _, _)) = self.order.front()
            && (now.since(*at) > RETENTION || self.order.len() > MAX_CLAIMS)
        {
            let Some((at, job, holder)) = self.order.pop_front() else {
                return;
            };
            let key = (job, holder);
            if self.claims.get(&key) == Some(&at) {
                self.claims.remove(&key);
            }
        }
    }

    pub fn remove(&mut self, job: JobId, holder: &str) {
        self.claims.remove(&(job, holder.to_owned()));
    }

    /// When the holder last claimed the job.
    pub fn claimed_at(&self, now: Timestamp, job: JobId, holder: &str) -> Option<Timestamp> {
        let claim = self.claims.get(&(job, holder.to_owned())).copied();
        claim.filter(|at| now.since(*at) <= RETENTION)
    }

    /// Names of the gateways that have claimed the job.
    pub fn holders(&self, now: Timestamp, job: JobId) -> Vec<String> {
        let claims = self.claims.range((job, String::new())..);
        let claims = claims.take_while(|((claimed, _), _)| *claimed == job);
        let claims = claims.filter(|(_, at)| now.since(**at) <= RETENTION);
        claims.map(|((_, holder), _)| holder.clone()).collect()
    }

    /// The claimed jobs.
    pub fn jobs(&self, now: Timestamp) -> impl Iterator<Item = JobId> {
        let claims = self.claims.iter();
        let retained = claims.filter(move |(_, at)| now.since(**at) <= RETENTION);
        retained.map(|((job, _), _)| *job)
    }
}
