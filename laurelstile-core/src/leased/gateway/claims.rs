//! Claims of jobs that their callers may resubmit while they still run.
//!
//! A caller's connection may end without its gateway noticing. The caller resubmits the job to any
//! gateway, [`CALLER_RETRY_DELAY`] after it sent the job at the earliest. Shortly before that time a
//! gateway therefore notifies its peers of the jobs that it still holds, and of those of which runs
//! have not ended. A claim asks nothing of its receivers; it lets them request the release of a job
//! that is submitted to them (`releases.rs`).

use std::collections::{BTreeMap, BTreeSet};

use laurelstile_types::id::Incarnation;
use laurelstile_types::time::{Span, Timestamp};

use super::claim_log::ClaimLog;
use super::{GatewayDecision, GatewayEffect, LeasedGateway};
use crate::leased::messages::{ClaimConfirmation, ClaimMessage, ClaimNumber, HeldJobs, ToPeer};
use crate::leased::task::JobId;
#[cfg(doc)]
use crate::leased::timing::CLAIM_LEASE;
use crate::leased::timing::{CALLER_RETRY_DELAY, CLAIM_HONOR_TIME, MAX_STOP_TIME, OWNER_TIMEOUT};
use crate::session::SessionId;

/// How long before a caller can resubmit its job a claim is sent: the time after which agents stop the
/// runs of a gateway that is cut off, and then [`CLAIM_DELAY`] for the claim to reach all others. So
/// the runs are over in time, or the claim is known.
const CLAIM_LEAD: Span = Span(OWNER_TIMEOUT.0 + MAX_STOP_TIME.0 + CLAIM_DELAY.0);
/// Maximum time for a claim to reach all gateways.
const CLAIM_DELAY: Span = Span::from_millis(150);
/// Interval between claims of the same job, several within [`CLAIM_LEASE`].
const CLAIM_INTERVAL: Span = Span::from_millis(300);
/// A claim without a number is taken for a copy of the gateway's previous one, or for older than its
/// release, if it arrives within this time.
const MAX_COPY_DELAY: Span = Span::from_secs(1);
/// Minimum interval between two messages with claims to a peer.
const SEND_INTERVAL: Span = Span::from_millis(50);
/// Maximum number of known gateways, including this one, with which claims of others are forwarded.
/// The claims that reach each gateway rise with the jobs of all gateways. In larger deployments they
/// reach the neighbors of the holder only.
pub(super) const MAX_FORWARDING_GATEWAYS: usize = 32;

/// Claims that have not been sent to peers.
#[derive(Debug)]
struct UnsentClaims {
    /// The session that they came from; `None` for own claims.
    source: Option<SessionId>,
    held: HeldJobs,
}

/// Claims of this gateway and of others.
#[derive(Debug)]
pub struct Claims {
    /// Number of the latest claim or release that this gateway has sent.
    last_number: ClaimNumber,
    /// When own jobs are next to be claimed, in both orders.
    due: BTreeSet<(Timestamp, JobId)>,
    due_at: BTreeMap<JobId, Timestamp>,
    own: ClaimLog,
    others: ClaimLog,
    /// Claims of others that they have released.
    released: ClaimLog,
    unsent: Vec<UnsentClaims>,
    /// When claims were last sent.
    sent_at: Timestamp,
}

impl Claims {
    /// Without any claim; `incarnation` is that of this gateway's process.
    pub fn new(incarnation: Incarnation) -> Self {
        Self {
            last_number: ClaimNumber {
                incarnation,
                number: 0,
            },
            due: BTreeSet::new(),
            due_at: BTreeMap::new(),
            own: ClaimLog::default(),
            others: ClaimLog::default(),
            released: ClaimLog::default(),
            unsent: Vec::new(),
            sent_at: Timestamp::default(),
        }
    }

    /// The number of a new claim or release of this gateway.
    pub fn next_number(&mut self) -> ClaimNumber {
        self.last_number.number += 1;
        self.last_number
    }

    /// Has a job claimed at `at`, and at no other time, if it is still held then.
    pub fn schedule(&mut self, job: JobId, at: Timestamp) {
        self.cancel(job);
        self.due.insert((at, job));
        self.due_at.insert(job, at);
    }

    /// Has a job not claimed any more.
    pub fn cancel(&mut self, job: JobId) {
        if let Some(at) = self.due_at.remove(&job) {
            self.due.remove(&(at, job));
        }
    }

    /// When claims may next be sent.
    pub fn next_sending(&self) -> Timestamp {
        self.sent_at.after(SEND_INTERVAL)
    }

    /// When the next own job is to be claimed, or claims are to be sent.
    pub fn next_due(&self) -> Option<Timestamp> {
        let next_sending = self.next_sending();
        let claim = self.due.first().map(|(at, _)| (*at).max(next_sending));
        let sending = (!self.unsent.is_empty()).then_some(next_sending);
        claim.into_iter().chain(sending).min()
    }

    /// Names of the other gateways that have claimed the job.
    pub fn holders(&self, now: Timestamp, job: JobId) -> Vec<String> {
        self.others.holders(now, job)
    }

    /// Until when this gateway honors the latest claim of the job by `holder`; `None` if there is none.
    /// A claim without a number is of an older version, which ends no job because its claim is not
    /// confirmed: only the silence of the holder ends its runs.
    pub fn honored_until(&self, now: Timestamp, job: JobId, holder: &str) -> Option<Timestamp> {
        let arrived_at = self.others.latest_numbered(now, job, holder)?;
        Some(arrived_at.after(CLAIM_HONOR_TIME))
    }

    /// Records that a gateway did not hold the job when it sent its release `number`.
    pub fn record_released(
        &mut self,
        now: Timestamp,
        job: JobId,
        holder: &str,
        number: Option<ClaimNumber>,
    ) {
        self.others.remove_older(job, holder, number);
        self.released.record(now, job, holder, number);
    }

    fn take_due(&mut self, now: Timestamp) -> Vec<JobId> {
        let mut jobs = Vec::new();
        while let Some((at, job)) = self.due.first().copied()
            && at <= now
        {
            self.cancel(job);
            jobs.push(job);
        }
        jobs
    }

    /// Whether a claim is a copy of one that has arrived, or older than the job's release.
    fn is_outdated(
        &self,
        now: Timestamp,
        job: JobId,
        holder: &str,
        number: Option<ClaimNumber>,
    ) -> bool {
        let logs = [&self.others, &self.released];
        let known = logs.map(|log| log.latest(now, job, holder, number));
        let mut known = known.into_iter().flatten();
        known.any(|known| match number {
            Some(number) => number.number <= known.number,
            None => now.since(known.at) <= MAX_COPY_DELAY,
        })
    }
}

/// When a job is first claimed that its caller may have sent at `sent_at`.
pub fn first_claim_at(sent_at: Timestamp) -> Timestamp {
    sent_at.after(Span(CALLER_RETRY_DELAY.0 - CLAIM_LEAD.0))
}

impl LeasedGateway {
    pub(super) fn name(&self) -> &str {
        &self.identity.member.name
    }

    /// Whether this gateway has claimed the job recently.
    pub(super) fn has_claimed(&self, now: Timestamp, job: JobId) -> bool {
        let number = Some(self.claims.last_number);
        let claim = self.claims.own.latest(now, job, self.name(), number);
        claim.is_some()
    }

    pub(super) fn has_runs_of(&self, job: JobId) -> bool {
        let mut workers = self.workers.values();
        workers.any(|worker| worker.runs_of(job).next().is_some())
    }

    /// Claims the own jobs that are due, and sends claims to peers.
    pub(super) fn claim_long_jobs(&mut self, now: Timestamp, effects: &mut Vec<GatewayEffect>) {
        if now < self.claims.next_sending() {
            return;
        }
        self.probe_gateways(now);
        let due = self.claims.take_due(now);
        let is_held = |job: &JobId| self.jobs.contains_key(job) || self.has_runs_of(*job);
        let jobs: Vec<JobId> = due.into_iter().filter(is_held).collect();
        if !jobs.is_empty() {
            let claimed = GatewayDecision::Claimed { jobs: jobs.clone() };
            effects.push(GatewayEffect::Decided(claimed));
            self.claim(now, jobs);
        }
        self.send_unsent_claims(now, effects);
    }

    /// Claims jobs with the next messages to peers.
    pub(super) fn claim(&mut self, now: Timestamp, jobs: Vec<JobId>) {
        let holder = self.name().to_owned();
        let number = self.claims.next_number();
        for id in &jobs {
            self.claims.own.record(now, *id, &holder, Some(number));
            self.claims.schedule(*id, now.after(CLAIM_INTERVAL));
            if let Some(job) = self.jobs.get_mut(id) {
                job.is_claimed = true;
            }
        }
        self.claim_leases.record_sent(now, number.number, &jobs);
        let held = HeldJobs {
            holder,
            jobs,
            number: Some(number),
            reaches_all: self.reaches_all_gateways(),
        };
        self.claims.unsent.push(UnsentClaims { source: None, held });
    }

    fn send_unsent_claims(&mut self, now: Timestamp, effects: &mut Vec<GatewayEffect>) {
        if self.claims.unsent.is_empty() {
            return;
        }
        let unsent = std::mem::take(&mut self.claims.unsent);
        self.claims.sent_at = now;
        for session in self.claim_peers() {
            let is_from_other = |claims: &&UnsentClaims| claims.source != Some(session);
            let others = unsent.iter().filter(is_from_other);
            let held: Vec<HeldJobs> = others.map(|claims| claims.held.clone()).collect();
            if !held.is_empty() {
                let message = ToPeer::Claim(ClaimMessage::Claimed(held));
                effects.push(GatewayEffect::ToPeer { session, message });
            }
        }
    }

    /// Sends the claims of jobs that are still held to a peer that has introduced itself.
    pub(super) fn send_claims(
        &self,
        now: Timestamp,
        session: SessionId,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let mut claimed: BTreeMap<u64, Vec<JobId>> = BTreeMap::new();
        for (job, number) in self.claims.own.jobs(now) {
            if self.jobs.contains_key(&job) || self.has_runs_of(job) {
                claimed.entry(number).or_default().push(job);
            }
        }
        if claimed.is_empty() || !self.claim_peers().contains(&session) {
            return;
        }
        let incarnation = self.identity.incarnation;
        let held = claimed.into_iter().map(|(number, jobs)| HeldJobs {
            holder: self.name().to_owned(),
            jobs,
            number: Some(ClaimNumber {
                incarnation,
                number,
            }),
            reaches_all: false,
        });
        let message = ToPeer::Claim(ClaimMessage::Claimed(held.collect()));
        effects.push(GatewayEffect::ToPeer { session, message });
    }

    /// Answers a claim that came from its holder, unless it cannot be recorded.
    fn confirm_claim(&self, session: SessionId, held: &HeldJobs, effects: &mut Vec<GatewayEffect>) {
        let Some(claim) = held.number else {
            return;
        };
        let peer = self.peers.get(&session);
        let is_from_holder = peer
            .is_some_and(|peer| peer.confirms_claims && peer.name.as_ref() == Some(&held.holder));
        if !is_from_holder || self.claims.others.is_full() {
            return;
        }
        let is_held_here = |job: &&JobId| self.jobs.contains_key(job) || self.has_runs_of(**job);
        let confirmation = ClaimConfirmation {
            claim,
            refused: held.jobs.iter().filter(is_held_here).copied().collect(),
        };
        let message = ToPeer::Claim(ClaimMessage::Confirmed(confirmation));
        effects.push(GatewayEffect::ToPeer { session, message });
    }

    /// Records claims of another gateway and forwards those that are new here. If a job is held here
    /// too, the later submission is to go on: this one, unless it has been claimed. If both are
    /// claimed, it is not known which one is later, and the names decide.
    pub(super) fn on_claimed(
        &mut self,
        now: Timestamp,
        source: SessionId,
        held: &HeldJobs,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let HeldJobs {
            holder,
            jobs,
            number,
            reaches_all,
        } = held;
        if *holder == self.name() {
            return;
        }
        self.releases.record_alive(holder);
        self.confirm_claim(source, held, effects);
        let is_new = |job: &&JobId| !self.claims.is_outdated(now, **job, holder, *number);
        let new_jobs: Vec<JobId> = jobs.iter().filter(is_new).copied().collect();
        if new_jobs.is_empty() {
            return;
        }
        let jobs = new_jobs.len();
        let received = GatewayDecision::ClaimsReceived { jobs };
        effects.push(GatewayEffect::Decided(received));
        for id in &new_jobs {
            self.claims.others.record(now, *id, holder, *number);
            self.extend_release_wait(now, *id, holder);
            let has_precedence = self.name() > holder.as_str();
            let job = self.jobs.get(id);
            if job.is_some_and(|job| !job.is_claimed || has_precedence) {
                self.request_release(now, *id, holder, effects);
            }
        }
        if !reaches_all && self.membership.members().count() <= MAX_FORWARDING_GATEWAYS {
            let held = HeldJobs {
                holder: holder.clone(),
                jobs: new_jobs,
                number: *number,
                reaches_all: false,
            };
            let source = Some(source);
            self.claims.unsent.push(UnsentClaims { source, held });
        }
    }
}
