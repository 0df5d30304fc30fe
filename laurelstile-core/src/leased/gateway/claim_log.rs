//! Recent claims of jobs.

use std::collections::{BTreeMap, VecDeque};

use laurelstile_types::id::Incarnation;
use laurelstile_types::time::{Span, Timestamp};

use crate::leased::messages::ClaimNumber;
use crate::leased::task::JobId;

/// How long a claim is kept. Longer than the interval between claims of a job and the delay after which
/// callers resubmit together: a job may end just before its next claim is due.
const RETENTION: Span = Span::from_secs(5);
/// Maximum number of claims in a log, repeated ones included; beyond this the oldest are dropped.
const MAX_CLAIMS: usize = 16_384;

/// A job and the gateway process that claims it; the process is `None` for claims without a number.
type Key = (JobId, String, Option<Incarnation>);

/// A claim, or the release that ended it.
#[derive(Clone, Copy, Debug)]
pub struct Claim {
    /// When it arrived.
    pub at: Timestamp,
    /// Its number within the process; 0 for one without a number.
    pub number: u64,
}

/// The latest claim of each job by each gateway process.
#[derive(Debug, Default)]
pub struct ClaimLog {
    claims: BTreeMap<Key, Claim>,
    order: VecDeque<(Timestamp, Key)>,
}

impl ClaimLog {
    pub fn record(
        &mut self,
        now: Timestamp,
        job: JobId,
        holder: &str,
        number: Option<ClaimNumber>,
    ) {
        let key = key(job, holder, number);
        let number = number.map_or(0, |number| number.number);
        let claim = self
            .claims
            .entry(key.clone())
            .or_insert(Claim { at: now, number });
        claim.at = now;
        claim.number = claim.number.max(number);
        self.order.push_back((now, key));
        while let Some((at, _)) = self.order.front()
            && (now.since(*at) > RETENTION || self.order.len() > MAX_CLAIMS)
        {
            let Some((at, key)) = self.order.pop_front() else {
                return;
            };
            if self.claims.get(&key).is_some_and(|claim| claim.at == at) {
                self.claims.remove(&key);
            }
        }
    }

    /// Removes the claims of a process that are older than its release `number`.
    pub fn remove_older(&mut self, job: JobId, holder: &str, number: Option<ClaimNumber>) {
        let key = key(job, holder, number);
        let release = number.map_or(u64::MAX, |number| number.number);
        if self
            .claims
            .get(&key)
            .is_some_and(|claim| claim.number < release)
        {
            self.claims.remove(&key);
        }
    }

    /// The latest claim of the job by the process that sent `number`.
    pub fn latest(
        &self,
        now: Timestamp,
        job: JobId,
        holder: &str,
        number: Option<ClaimNumber>,
    ) -> Option<Claim> {
        let claim = self.claims.get(&key(job, holder, number)).copied();
        claim.filter(|claim| now.since(claim.at) <= RETENTION)
    }

    /// When the latest claim with a number arrived of the job by any process of `holder`.
    pub fn latest_numbered(&self, now: Timestamp, job: JobId, holder: &str) -> Option<Timestamp> {
        let claims = self.claims.range((job, holder.to_owned(), None)..);
        let claims = claims.take_while(|((claimed, name, _), _)| *claimed == job && name == holder);
        let numbered = claims
            .filter(|((.., process), claim)| process.is_some() && now.since(claim.at) <= RETENTION);
        numbered.map(|(_, claim)| claim.at).max()
    }

    /// Whether further claims would displace retained ones.
    pub fn is_full(&self) -> bool {
        self.order.len() >= MAX_CLAIMS
    }

    /// Names of the gateways that have claimed the job.
    pub fn holders(&self, now: Timestamp, job: JobId) -> Vec<String> {
        let claims = self.claims.range((job, String::new(), None)..);
        let claims = claims.take_while(|((claimed, ..), _)| *claimed == job);
        let claims = claims.filter(|(_, claim)| now.since(claim.at) <= RETENTION);
        let mut holders: Vec<String> = claims.map(|((_, holder, _), _)| holder.clone()).collect();
        holders.dedup();
        holders
    }

    /// The claimed jobs, with the numbers of their latest claims.
    pub fn jobs(&self, now: Timestamp) -> impl Iterator<Item = (JobId, u64)> {
        let claims = self.claims.iter();
        let retained = claims.filter(move |(_, claim)| now.since(claim.at) <= RETENTION);
        retained.map(|((job, ..), claim)| (*job, claim.number))
    }
}

fn key(job: JobId, holder: &str, number: Option<ClaimNumber>) -> Key {
    let incarnation = number.map(|number| number.incarnation);
    (job, holder.to_owned(), incarnation)
}
