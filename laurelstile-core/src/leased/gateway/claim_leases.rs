//! Leases on held jobs: how long a gateway may hold a job that its caller may have resubmitted.
//!
//! From [`CALLER_RETRY_DELAY`] on, the caller of a job may have lost its connection unnoticed and
//! submitted the job to another gateway. This gateway then holds the job only while others have confirmed
//! its claim within [`CLAIM_LEASE`]: all other gateways, which start nothing of a job that they honor
//! a claim of, or else more than half of the agents, which reject the starts of other gateways. Without
//! that its runs have to end, since this gateway may be beyond a network partition, and it gives the job
//! up. A job without runs is held for [`REGAIN_TIME`] longer, in which only the confirmation of all gateways
//! counts: one of them may have started the job by then.
//!
//! [`CALLER_RETRY_DELAY`]: crate::leased::timing::CALLER_RETRY_DELAY

use std::collections::{BTreeMap, BTreeSet};

use laurelstile_types::id::Incarnation;
use laurelstile_types::time::{Span, Timestamp};

use super::agent_confirmations::FIRST_SESSIONS_TIME;
use super::claims::MAX_FORWARDING_GATEWAYS;
use super::job::Job;
use super::workers::Worker;
use super::{Answer, GatewayDecision, GatewayEffect, LeasedGateway, Refusal};
#[cfg(doc)]
use crate::leased::messages::NotStartedReason;
use crate::leased::messages::{AgentClaims, ClaimConfirmation, ToAgentBody};
use crate::leased::task::JobId;
use crate::leased::timing::CLAIM_LEASE;
use crate::session::SessionId;

/// Maximum time for the answers of gateways before agents are asked. Where a gateway has no session, they
/// are asked at once.
pub(super) const GATEWAY_WAIT: Span = Span::from_millis(300);

/// How long a job without runs is held after its lease, for the others to confirm a further claim. A
/// gateway that was suspended or cut off takes about this long to reach its peers again.
const REGAIN_TIME: Span = Span::from_millis(500);

/// Who has confirmed a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Confirmation {
    /// All other gateways.
    Gateways,
    /// Most agents.
    Agents,
}

/// A claim of this gateway that the others have not confirmed.
#[derive(Debug)]
struct OpenClaim {
    sent_at: Timestamp,
    jobs: Vec<JobId>,
    /// Jobs that another gateway holds as well.
    refused: BTreeSet<JobId>,
    /// Names of the gateways that have confirmed.
    confirmed_by: BTreeSet<String>,
    /// Whether agents were asked.
    was_sent_to_agents: bool,
}

impl OpenClaim {
    fn expires_at(&self) -> Timestamp {
        self.sent_at.after(CLAIM_LEASE)
    }
}

/// Claims of this gateway that others may still confirm.
#[derive(Debug, Default)]
pub struct ClaimLeases {
    /// By number.
    open: BTreeMap<u64, OpenClaim>,
    /// Whether the gateways did not all confirm the latest claim in time.
    lacks_gateways: bool,
    /// Jobs whose claims were sent to agents and have not been released there.
    claimed_at_agents: BTreeSet<JobId>,
    needs_review: bool,
}

impl ClaimLeases {
    /// Records that claim `number` is sent.
    pub fn record_sent(&mut self, now: Timestamp, number: u64, jobs: &[JobId]) {
        let claim = OpenClaim {
            sent_at: now,
            jobs: jobs.to_vec(),
            refused: BTreeSet::new(),
            confirmed_by: BTreeSet::new(),
            was_sent_to_agents: false,
        };
        self.open.insert(number, claim);
        self.needs_review = true;
    }

    /// The timer of the end of a job whose lease is over.
    pub fn regain_timer(job: &Job) -> (Timestamp, JobId) {
        (job.held_until.after(REGAIN_TIME), job.id)
    }

    /// When agents are to be asked, if no gateway answers before.
    pub fn next_due(&self) -> Option<Timestamp> {
        let mut unsent = self.open.values().filter(|claim| !claim.was_sent_to_agents);
        unsent.next().map(|claim| claim.sent_at.after(GATEWAY_WAIT))
    }

    /// Has the open claims reviewed in the next flush.
    pub fn request_review(&mut self) {
        self.needs_review = true;
    }

    fn refuse(&mut self, number: u64, refused: &[JobId]) {
        if let Some(claim) = self.open.get_mut(&number) {
            claim.refused.extend(refused);
        }
    }
}

impl LeasedGateway {
    pub(super) fn on_claim_confirmed(
        &mut self,
        session: SessionId,
        confirmation: &ClaimConfirmation,
    ) {
        let ClaimConfirmation { claim, refused } = confirmation;
        if claim.incarnation != self.identity.incarnation {
            return;
        }
        let name = self.peers.get(&session).and_then(|peer| peer.name.clone());
        self.claim_leases.refuse(claim.number, refused);
        if let Some(open) = self.claim_leases.open.get_mut(&claim.number) {
            open.confirmed_by.extend(name);
            self.claim_leases.needs_review = true;
        }
    }

    pub(super) fn on_claims_honored(&mut self, agent: Incarnation, number: u64, refused: &[JobId]) {
        self.claim_leases.refuse(number, refused);
        if let Some(worker) = self.workers.get_mut(&agent) {
            worker.claims.record_honored(number);
            self.claim_leases.needs_review = true;
        }
    }

    /// Extends the time for which jobs are held whose claims are confirmed, and asks agents where
    /// gateways have not confirmed.
    pub(super) fn review_claim_leases(&mut self, now: Timestamp, effects: &mut Vec<GatewayEffect>) {
        self.release_claims_at_agents(now, effects);
        let is_due = self.claim_leases.next_due().is_some_and(|due| now >= due);
        if !std::mem::take(&mut self.claim_leases.needs_review) && !is_due {
            return;
        }
        let open = &mut self.claim_leases.open;
        open.retain(|_, claim| now < claim.expires_at());
        let numbers: Vec<u64> = open.keys().copied().collect();
        for number in numbers {
            if self.have_gateways_confirmed(number) {
                self.claim_leases.lacks_gateways = false;
                self.extend_leases(now, number, Confirmation::Gateways);
            } else if self.have_agents_confirmed(now, number) {
                self.extend_leases(now, number, Confirmation::Agents);
            } else {
                self.send_claim_to_agents(now, number, effects);
            }
        }
    }

    /// Whether all other gateways have confirmed a claim. In deployments whose claims are not forwarded,
    /// all peers.
    fn have_gateways_confirmed(&self, number: u64) -> bool {
        let Some(claim) = self.claim_leases.open.get(&number) else {
            return false;
        };
        let peers = self.peers.values();
        let confirming = peers.filter(|peer| {
            let name = peer.name.as_ref();
            // A peer of an older version does not answer claims.
            name.is_some_and(|name| !peer.confirms_claims || claim.confirmed_by.contains(name))
        });
        let confirming: BTreeSet<&str> =
            confirming.filter_map(|peer| peer.name.as_deref()).collect();
        if self.membership.members().count() > MAX_FORWARDING_GATEWAYS {
            let mut names = self.peers.values().map(|peer| peer.name.as_deref());
            return !self.peers.is_empty()
                && names.all(|name| name.is_some_and(|name| confirming.contains(name)));
        }
        let mut others = self
            .membership
            .members()
            .filter(|member| member.name != self.identity.member.name);
        others.all(|member| confirming.contains(member.name.as_str()))
    }

    /// Whether this gateway has a session to every other, and all have confirmed its latest claim in time.
    pub(super) fn reaches_all_gateways(&self) -> bool {
        !self.claim_leases.lacks_gateways && self.has_sessions_to_all_gateways()
    }

    fn has_sessions_to_all_gateways(&self) -> bool {
        let mut members = self.membership.members();
        members
            .all(|member| member.name == self.identity.member.name || self.has_peer(&member.name))
    }

    /// Whether the agents that this gateway knows are most of those that there are. A gateway that has
    /// never met most others may have started beyond a network partition, and know only the agents there.
    fn knows_most_agents(&self, now: Timestamp) -> bool {
        let names = self.peers.values().filter_map(|peer| peer.name.as_deref());
        let met: BTreeSet<&str> = names.collect();
        let gateways = self.membership.members().count();
        let has_met_most = 2 * (met.len() + 1) > gateways;
        let is_settled = self
            .first_agent_at
            .is_some_and(|at| now.since(at) >= FIRST_SESSIONS_TIME);
        self.knows_agents(now) || (has_met_most && is_settled && !self.agent_sessions.is_empty())
    }

    /// Whether more than half of the agents honor a claim, counting those that have lost their sessions.
    /// Agents that do not control their worker can start nothing and are not counted.
    fn have_agents_confirmed(&self, now: Timestamp, number: u64) -> bool {
        let was_sent = self
            .claim_leases
            .open
            .get(&number)
            .is_some_and(|claim| claim.was_sent_to_agents);
        if !was_sent || !self.knows_most_agents(now) {
            return false;
        }
        let workers = self.workers.values();
        let can_start = |worker: &&Worker| {
            worker.session.is_some() && worker.snapshot.is_some() && !worker.is_ending
        };
        let connected = workers.filter(can_start);
        let mut agents = self.lost_agents.count(now);
        let mut honoring = 0;
        for worker in connected {
            agents += 1;
            honoring += usize::from(worker.claims.honors(number));
        }
        2 * honoring > agents
    }

    fn extend_leases(&mut self, now: Timestamp, number: u64, confirmation: Confirmation) {
        let Some(claim) = self.claim_leases.open.remove(&number) else {
            return;
        };
        if confirmation == Confirmation::Gateways {
            self.end_rejoining(claim.sent_at);
        }
        let until = claim.expires_at();
        for id in claim.jobs.iter().filter(|id| !claim.refused.contains(id)) {
            let is_over = self.jobs.get(id).is_some_and(|job| now >= job.held_until);
            if !is_over || confirmation == Confirmation::Gateways {
                self.hold_until(now, *id, until);
            }
        }
    }

    /// Extends the time for which a job is held.
    fn hold_until(&mut self, now: Timestamp, id: JobId, until: Timestamp) {
        let Some(job) = self.jobs.get_mut(&id).filter(|job| until > job.held_until) else {
            return;
        };
        let was_over = now >= job.held_until;
        self.timers.remove(&(job.held_until, id));
        self.timers.remove(&ClaimLeases::regain_timer(job));
        job.held_until = until;
        self.timers.insert((until, id));
        if was_over {
            // Has it placed in the next flush.
            self.timers.insert((now, id));
        }
    }

    /// Whether there is no other gateway, as far as is known.
    pub(super) fn is_only_gateway(&self) -> bool {
        self.peers.is_empty() && self.membership.members().count() == 1
    }

    fn send_claim_to_agents(
        &mut self,
        now: Timestamp,
        number: u64,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let has_all_sessions = self.has_sessions_to_all_gateways();
        let Some(claim) = self.claim_leases.open.get_mut(&number) else {
            return;
        };
        let is_due = !has_all_sessions || now >= claim.sent_at.after(GATEWAY_WAIT);
        if claim.was_sent_to_agents || !is_due {
            return;
        }
        claim.was_sent_to_agents = true;
        let jobs = claim.jobs.clone();
        if jobs.is_empty() {
            return;
        }
        self.claim_leases.lacks_gateways = true;
        self.claim_leases.claimed_at_agents.extend(&jobs);
        let claims = AgentClaims {
            number,
            jobs,
            released: Vec::new(),
        };
        let agents = self.send_claims_to_agents(now, &claims, effects);
        // Agents of older versions count without an answer.
        self.claim_leases.needs_review = true;
        effects.push(GatewayEffect::Decided(GatewayDecision::ClaimSentToAgents {
            jobs: claims.jobs.len(),
            agents,
        }));
    }

    /// Has agents honor the claims of jobs no longer that this gateway has ended.
    fn release_claims_at_agents(&mut self, now: Timestamp, effects: &mut Vec<GatewayEffect>) {
        if self.claim_leases.claimed_at_agents.is_empty() {
            return;
        }
        let claimed = self.claim_leases.claimed_at_agents.iter();
        let ended = claimed.filter(|job| !self.jobs.contains_key(job) && !self.has_runs_of(**job));
        let released: Vec<JobId> = ended.copied().collect();
        if released.is_empty() {
            return;
        }
        for job in &released {
            self.claim_leases.claimed_at_agents.remove(job);
        }
        let claims = AgentClaims {
            number: self.claims.next_number().number,
            jobs: Vec::new(),
            released,
        };
        self.send_claims_to_agents(now, &claims, effects);
    }

    /// Shows an agent that this gateway understands [`NotStartedReason::Claimed`]. A gateway that reaches
    /// all others knows their claims itself.
    pub(super) fn introduce_claims(
        &mut self,
        now: Timestamp,
        agent: Incarnation,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let worker = self.workers.get(&agent);
        let is_supported = worker.is_some_and(|worker| worker.claims.are_supported());
        if is_supported && !self.has_sessions_to_all_gateways() {
            let claims = AgentClaims::default();
            self.send(now, agent, ToAgentBody::Claims(claims), effects);
        }
    }

    /// Sends claims to the connected agents; returns their number.
    fn send_claims_to_agents(
        &mut self,
        now: Timestamp,
        claims: &AgentClaims,
        effects: &mut Vec<GatewayEffect>,
    ) -> usize {
        let sessions = self.agent_sessions.values();
        let agents: Vec<Incarnation> = sessions.copied().collect();
        for agent in &agents {
            let Some(worker) = self.workers.get_mut(agent) else {
                continue;
            };
            worker.claims.record_sent(claims.number);
            if worker.claims.are_supported() {
                self.send(now, *agent, ToAgentBody::Claims(claims.clone()), effects);
            }
        }
        agents.len()
    }

    /// Ends a job that another gateway may start, unless it has no runs and its claim may still be
    /// confirmed.
    pub(super) fn end_unconfirmed(
        &mut self,
        now: Timestamp,
        id: JobId,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let regain_until = job.held_until.after(REGAIN_TIME);
        if job.placed_count == 0 && now < regain_until {
            self.timers.insert((regain_until, id));
            return;
        }
        self.end_claimed_elsewhere(now, id, effects);
    }

    /// Ends a job that another gateway holds, or may hold.
    pub(super) fn end_claimed_elsewhere(
        &mut self,
        now: Timestamp,
        id: JobId,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let age = now.since(job.arrival);
        let is_unstarted = job.is_unstarted();
        let decision = GatewayDecision::ClaimUnconfirmed { job: id, age };
        effects.push(GatewayEffect::Decided(decision));
        let answer = if is_unstarted {
            Answer::Refused {
                reason: Refusal::ClaimUnconfirmed,
                retry_after: self.spread_retry_after(id, super::intake::RETRY_DELAY),
            }
        } else {
            Answer::GivenUp
        };
        self.finish(now, id, answer, effects);
    }
}
