//! Claims of gateways that cannot reach all others.
//!
//! Such a gateway may not be able to tell another one that it holds a job. Most agents honor its claim
//! instead, and reject the starts of the other.

use std::collections::BTreeMap;

use laurelstile_types::id::Incarnation;
use laurelstile_types::time::Timestamp;

use super::super::messages::{AgentClaims, FromAgent, FromAgentBody, NotStartedReason};
use super::super::task::JobId;
use super::super::timing::CLAIM_HONOR_TIME;
use super::{AgentDecision, AgentEffect, LeasedAgent};
use crate::session::SessionId;

/// Maximum number of honored claims. Further ones are not honored.
const MAX_CLAIMS: usize = 16_384;

#[derive(Clone, Copy, Debug)]
struct HonoredClaim {
    gateway: Incarnation,
    until: Timestamp,
}

/// The claims that an agent honors.
#[derive(Debug, Default)]
pub struct HonoredClaims {
    claims: BTreeMap<JobId, HonoredClaim>,
}

impl HonoredClaims {
    fn remove_expired(&mut self, now: Timestamp) {
        self.claims.retain(|_, claim| now < claim.until);
    }

    /// Whether the job is claimed by another gateway than this one.
    pub fn is_claimed_by_other(&self, now: Timestamp, gateway: Incarnation, job: JobId) -> bool {
        let claim = self.claims.get(&job);
        claim.is_some_and(|claim| claim.gateway != gateway && now < claim.until)
    }

    fn release(&mut self, gateway: Incarnation, job: JobId) {
        let claim = self.claims.get(&job);
        if claim.is_some_and(|claim| claim.gateway == gateway) {
            self.claims.remove(&job);
        }
    }
}

impl LeasedAgent {
    /// Honors the claims of a gateway and answers them. Claims of jobs that another gateway has claimed,
    /// or has runs of here, are refused. If there are too many, none is answered.
    pub(super) fn on_claims(
        &mut self,
        now: Timestamp,
        (session, gateway): (SessionId, Incarnation),
        claims: &AgentClaims,
        effects: &mut Vec<AgentEffect>,
    ) {
        if let Some(owner) = self.owners.get_mut(&gateway) {
            owner.understands_claims = true;
        }
        self.claims.remove_expired(now);
        for job in &claims.released {
            self.claims.release(gateway, *job);
        }
        let is_full = self.claims.claims.len() + claims.jobs.len() > MAX_CLAIMS;
        if claims.jobs.is_empty() || is_full {
            return;
        }
        let mut refused = Vec::new();
        for job in &claims.jobs {
            let is_claimed = self.claims.is_claimed_by_other(now, gateway, *job);
            if is_claimed || self.has_runs_of_other(gateway, *job) {
                refused.push(*job);
                continue;
            }
            let until = now.after(CLAIM_HONOR_TIME);
            let claim = HonoredClaim { gateway, until };
            self.claims.claims.insert(*job, claim);
        }
        let body = FromAgentBody::ClaimsHonored {
            number: claims.number,
            refused,
        };
        let message = FromAgent {
            clock: now,
            report: None,
            offers: Vec::new(),
            candidates: None,
            notices: Vec::new(),
            cancels_received: None,
            cancel_ages: Vec::new(),
            is_ending: false,
            usage: None,
            served: None,
            body,
        };
        effects.push(AgentEffect::Send { session, message });
    }

    /// Why the starts of a job that another gateway has claimed are rejected; `None` if none has.
    pub(super) fn claimed_reason(
        &self,
        now: Timestamp,
        gateway: Incarnation,
        job: JobId,
        effects: &mut Vec<AgentEffect>,
    ) -> Option<NotStartedReason> {
        if !self.claims.is_claimed_by_other(now, gateway, job) {
            return None;
        }
        let decision = AgentDecision::StartOfClaimedJob { job, gateway };
        effects.push(AgentEffect::Decided(decision));
        let owner = self.owners.get(&gateway);
        let reason = match owner.is_some_and(|owner| owner.understands_claims) {
            true => NotStartedReason::Claimed,
            false => NotStartedReason::Duplicate,
        };
        Some(reason)
    }

    fn has_runs_of_other(&self, gateway: Incarnation, job: JobId) -> bool {
        let mut runs = self.runs.iter();
        runs.any(|(task, run)| task.job == job && run.owner != gateway)
    }
}
