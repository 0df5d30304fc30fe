//! Claims of jobs that their callers may resubmit while they still run.
//!
//! A caller's connection may end without its gateway noticing. The caller resubmits the job to any
//! gateway, [`CALLER_RETRY_DELAY`] after it sent the job at the earliest. A gateway therefore claims
//! the jobs that it still holds shortly before that time, and those of which runs have not ended.
//! A gateway to which a claimed job is submitted requests its release, and places no task before
//! the holder has confirmed that all its runs have ended.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use laurelstile_types::time::{Span, Timestamp};

use super::claim_log::{ClaimLog, RETENTION};
use super::{Answer, GatewayDecision, GatewayEffect, LeasedGateway};
use crate::leased::messages::{ClaimMessage, HeldJobs, ReleaseRequest, ToPeer};
use crate::leased::task::{JobId, RunNumber};
use crate::leased::timing::{AGENT_EXPIRY, CALLER_RETRY_DELAY};
use crate::session::SessionId;

/// How long before a caller can resubmit its job a claim is sent. It has to reach all gateways in
/// this time.
const CLAIM_LEAD: Span = Span::from_millis(400);
/// Interval between claims of the same job.
const CLAIM_INTERVAL: Span = Span::from_secs(2);
/// Minimum interval between two messages with claims to a peer.
const SEND_INTERVAL: Span = Span::from_millis(50);
/// Maximum number of known gateways, including this one, with which claims of others are forwarded.
/// The claims that reach each gateway rise with the jobs of all gateways. In larger deployments they
/// reach the neighbors of the holder only.
const MAX_FORWARDING_GATEWAYS: usize = 32;
/// Minimum time for the answer of a holder, over several hops.
const RELEASE_TIMEOUT: Span = Span::from_millis(300);
/// Maximum number of recently forwarded messages that are remembered.
const MAX_FORWARDED: usize = 1_024;

/// Claims that have not been sent to peers.
#[derive(Debug)]
struct UnsentClaims {
    /// The session that they came from; `None` for own claims.
    source: Option<SessionId>,
    held: HeldJobs,
}

/// Claims of this gateway and of others.
#[derive(Debug, Default)]
pub struct Claims {
    /// When own jobs are next to be claimed.
    due: BTreeSet<(Timestamp, JobId)>,
    own: ClaimLog,
    others: ClaimLog,
    unsent: Vec<UnsentClaims>,
    /// When claims were last sent.
    sent_at: Timestamp,
    /// Releases that this gateway has requested and that have not been confirmed.
    requested: BTreeSet<ReleaseRequest>,
    /// Releases that peers have requested, of jobs of which runs have not ended.
    releasing: BTreeSet<ReleaseRequest>,
    /// Messages about releases that were sent or forwarded recently.
    forwarded: VecDeque<ClaimMessage>,
    /// When sessions to gateways closed.
    closed: BTreeMap<String, Timestamp>,
}

impl Claims {
    /// Has a job claimed at `claim_at` if it is still held then.
    pub fn add_own(&mut self, job: JobId, claim_at: Timestamp) {
        self.due.insert((claim_at, job));
    }

    /// Removes a job of which nothing runs.
    pub fn remove_own(&mut self, job: JobId, claim_at: Timestamp) {
        self.due.remove(&(claim_at, job));
    }

    /// Removes the requests to release a job that has ended here.
    pub fn remove_requests(&mut self, job: JobId) {
        self.requested.retain(|request| request.job != job);
    }

    /// When the next own job is to be claimed, or claims are to be sent.
    pub fn next_due(&self) -> Option<Timestamp> {
        let claim = self.due.first().map(|(at, _)| *at);
        let sending = (!self.unsent.is_empty()).then(|| self.sent_at.after(SEND_INTERVAL));
        claim.into_iter().chain(sending).min()
    }

    /// Names of the other gateways that have claimed the job.
    pub fn holders(&self, now: Timestamp, job: JobId) -> Vec<String> {
        self.others.holders(now, job)
    }

    /// Records that the last session to a gateway has closed.
    pub fn record_closed(&mut self, now: Timestamp, name: String) {
        self.closed.retain(|_, at| now.since(*at) <= RETENTION);
        self.closed.insert(name, now);
    }

    /// Records a message about a release; returns whether it is new.
    fn is_new(&mut self, message: &ClaimMessage) -> bool {
        if self.forwarded.contains(message) {
            return false;
        }
        if self.forwarded.len() >= MAX_FORWARDED {
            self.forwarded.pop_front();
        }
        self.forwarded.push_back(message.clone());
        true
    }
}

/// When a job is first claimed that its caller may have sent at `sent_at`.
pub fn first_claim_at(sent_at: Timestamp) -> Timestamp {
    sent_at.after(Span(CALLER_RETRY_DELAY.0 - CLAIM_LEAD.0))
}

impl LeasedGateway {
    fn name(&self) -> &str {
        &self.identity.member.name
    }

    /// Whether this gateway has claimed the job recently.
    fn has_claimed(&self, now: Timestamp, job: JobId) -> bool {
        let claim = self.claims.own.claimed_at(now, job, self.name());
        claim.is_some()
    }

    fn has_runs_of(&self, job: JobId) -> bool {
        let mut workers = self.workers.values();
        workers.any(|worker| worker.runs_of(job).next().is_some())
    }

    /// Claims the own jobs that are due, and sends claims to peers. A job that is not held any more is
    /// claimed while runs of it have not ended.
    pub(super) fn claim_long_jobs(&mut self, now: Timestamp, effects: &mut Vec<GatewayEffect>) {
        let mut jobs = Vec::new();
        while let Some((at, job)) = self.claims.due.first().copied() {
            if at > now {
                break;
            }
            self.claims.due.pop_first();
            if self.jobs.contains_key(&job) || self.has_runs_of(job) {
                jobs.push(job);
            }
        }
        let holder = self.name().to_owned();
        for job in &jobs {
            self.claims.own.record(now, *job, &holder);
            self.claims.due.insert((now.after(CLAIM_INTERVAL), *job));
        }
        if !jobs.is_empty() {
            let held = HeldJobs { holder, jobs };
            self.claims.unsent.push(UnsentClaims { source: None, held });
        }
        self.send_unsent_claims(now, effects);
    }

    fn send_unsent_claims(&mut self, now: Timestamp, effects: &mut Vec<GatewayEffect>) {
        if self.claims.unsent.is_empty() || now < self.claims.sent_at.after(SEND_INTERVAL) {
            return;
        }
        let unsent = std::mem::take(&mut self.claims.unsent);
        self.claims.sent_at = now;
        for session in self.claim_peers() {
            let others = unsent
                .iter()
                .filter(|claims| claims.source != Some(session));
            let held: Vec<HeldJobs> = others.map(|claims| claims.held.clone()).collect();
            if !held.is_empty() {
                let message = ToPeer::Claim(ClaimMessage::Claimed(held));
                effects.push(GatewayEffect::ToPeer { session, message });
            }
        }
    }

    /// Sends the retained claims to a peer that has introduced itself.
    pub(super) fn send_claims(
        &self,
        now: Timestamp,
        session: SessionId,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let claimed = self.claims.own.jobs(now);
        let is_held = |job: &JobId| self.jobs.contains_key(job) || self.has_runs_of(*job);
        let jobs: Vec<JobId> = claimed.filter(is_held).collect();
        if !jobs.is_empty() && self.understands_claims(session) {
            let holder = self.name().to_owned();
            let held = HeldJobs { holder, jobs };
            let message = ToPeer::Claim(ClaimMessage::Claimed(vec![held]));
            effects.push(GatewayEffect::ToPeer { session, message });
        }
    }

    /// Requests the release of a job that was submitted here while another gateway holds it. No task
    /// is placed before the holder has answered or the wait for its answer has timed out.
    pub(super) fn request_release(
        &mut self,
        now: Timestamp,
        job: JobId,
        holder: String,
        effects: &mut Vec<GatewayEffect>,
    ) {
        effects.push(GatewayEffect::Decided(GatewayDecision::ReleaseRequested {
            job,
            holder: holder.clone(),
        }));
        let request = ReleaseRequest {
            job,
            holder,
            requester: self.name().to_owned(),
        };
        if let Some(job) = self.jobs.get_mut(&job) {
            job.may_have_started = true;
        }
        let until = self.release_due(now, &request.holder);
        self.claims.requested.insert(request.clone());
        self.delay_placement(job, until);
        self.forward_claim_message(None, ClaimMessage::ReleaseRequested(request), effects);
    }

    /// Until when the answer of a holder is waited for. A holder that does not answer is suspended or
    /// has ended: all its runs are over [`AGENT_EXPIRY`] after its last sign of life.
    fn release_due(&self, now: Timestamp, holder: &str) -> Timestamp {
        let alive_at = if self.has_peer(holder) {
            now
        } else {
            let closed_at = self.claims.closed.get(holder).copied();
            closed_at.unwrap_or_default()
        };
        now.after(RELEASE_TIMEOUT).max(alive_at.after(AGENT_EXPIRY))
    }

    pub(super) fn on_claim_message(
        &mut self,
        now: Timestamp,
        source: SessionId,
        message: ClaimMessage,
        effects: &mut Vec<GatewayEffect>,
    ) {
        if let ClaimMessage::Released { request, .. } = &message {
            self.claims.others.remove(request.job, &request.holder);
        }
        let name = self.name();
        match message {
            ClaimMessage::Claimed(held) => {
                for held in held {
                    self.on_claimed(now, source, &held, effects);
                }
            }
            ClaimMessage::ReleaseRequested(request) if request.holder == name => {
                self.release(now, request, effects);
            }
            ClaimMessage::ReleasePending(request) if request.requester == name => {
                if self.claims.requested.contains(&request) {
                    self.delay_placement(request.job, now.after(AGENT_EXPIRY));
                }
            }
            ClaimMessage::Released { request, last_run } if request.requester == name => {
                self.on_released(now, &request, last_run);
            }
            message => self.forward_claim_message(Some(source), message, effects),
        }
    }

    /// Records claims of another gateway and forwards those that are new here. If a job is held here
    /// too, the later submission is to go on: this one, unless it has been claimed. If both are
    /// claimed, it is not known which one is later, and the names decide.
    fn on_claimed(
        &mut self,
        now: Timestamp,
        source: SessionId,
        held: &HeldJobs,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let HeldJobs { holder, jobs } = held;
        if *holder == self.name() {
            return;
        }
        let is_known = |job: &JobId| {
            let claimed_at = self.claims.others.claimed_at(now, *job, holder);
            claimed_at.is_some_and(|at| now.since(at).0 * 2 < CLAIM_INTERVAL.0)
        };
        let new_jobs: Vec<JobId> = jobs.iter().filter(|job| !is_known(job)).copied().collect();
        if new_jobs.is_empty() {
            return;
        }
        for job in &new_jobs {
            self.claims.others.record(now, *job, holder);
            let is_claimed_here = self.has_claimed(now, *job);
            let is_later = !is_claimed_here || self.name() > holder.as_str();
            if self.jobs.contains_key(job) && is_later {
                self.request_release(now, *job, holder.to_owned(), effects);
            }
        }
        if self.membership.members().count() <= MAX_FORWARDING_GATEWAYS {
            let held = HeldJobs {
                holder: holder.clone(),
                jobs: new_jobs,
            };
            let source = Some(source);
            self.claims.unsent.push(UnsentClaims { source, held });
        }
    }

    /// Gives up a job that its caller has resubmitted to another gateway, and confirms that once
    /// all its runs have ended. A process that has not claimed the job does not answer: it may have
    /// replaced the holder.
    fn release(
        &mut self,
        now: Timestamp,
        request: ReleaseRequest,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let job = request.job;
        if !self.has_claimed(now, job) {
            return;
        }
        if self.jobs.contains_key(&job) {
            effects.push(GatewayEffect::Decided(GatewayDecision::ReleasedToPeer {
                job,
                requester: request.requester.clone(),
            }));
            self.finish(now, job, Answer::GivenUp, effects);
        }
        if self.has_runs_of(job) {
            let pending = ClaimMessage::ReleasePending(request.clone());
            self.forward_claim_message(None, pending, effects);
        }
        self.claims.releasing.insert(request);
    }

    /// Confirms the releases of jobs whose runs have all ended.
    pub(super) fn report_releases(&mut self, effects: &mut Vec<GatewayEffect>) {
        let releasing = self.claims.releasing.iter();
        let ended = releasing.filter(|request| !self.has_runs_of(request.job));
        let ended: Vec<ReleaseRequest> = ended.cloned().collect();
        for request in ended {
            self.claims.releasing.remove(&request);
            let last_run = self.earlier_runs.last_of(request.job);
            let released = ClaimMessage::Released { request, last_run };
            self.forward_claim_message(None, released, effects);
        }
    }

    fn on_released(&mut self, now: Timestamp, request: &ReleaseRequest, last_run: RunNumber) {
        if !self.claims.requested.remove(request) {
            return;
        }
        if let Some(job) = self.jobs.get_mut(&request.job) {
            job.number_runs_after(last_run);
        }
        let mut requested = self.claims.requested.iter();
        if !requested.any(|other| other.job == request.job) {
            self.resume_placement(now, request.job);
        }
    }

    /// Sends a message about a release to all peers but the one that it came from, unless that has
    /// been done.
    fn forward_claim_message(
        &mut self,
        source: Option<SessionId>,
        message: ClaimMessage,
        effects: &mut Vec<GatewayEffect>,
    ) {
        if self.claims.is_new(&message) {
            self.send_to_peers_except(source, &ToPeer::Claim(message), effects);
        }
    }
}
