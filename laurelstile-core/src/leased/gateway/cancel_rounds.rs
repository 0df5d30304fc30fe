//! Rounds of confirmations, by which a gateway learns that nobody can start a cancelled job any more.
//!
//! A job can be started by the gateway that holds it, at any agent that accepts the start. So a
//! cancellation is in effect once the holder has ended the job and most of its agents know, or every other
//! gateway has recorded the cancellation, or else every agent: agents refuse the starts of a gateway that
//! does not answer.
//!
//! The gateway at which a caller cancels a job asks its peers. These forward the request, and answer once
//! those that they have asked have answered, so that one answer of each peer speaks for all gateways behind
//! it. If the answers do not speak for all gateways, the round is repeated, and each gateway asks its agents
//! too. Peers that have not answered for a while are sent requests but not waited for.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use laurelstile_types::id::Incarnation;
use laurelstile_types::time::{Span, Timestamp};

use super::agent_confirmations::Coverage;
use super::intake::RETRY_DELAY;
use super::job::CallNumber;
use super::{Answer, CancelOutcome, GatewayDecision, GatewayEffect, LeasedGateway};
use crate::leased::cancel_log::Cancelled;
use crate::leased::membership::digest::Digest;
use crate::leased::messages::{CancelConfirmation, CancelRequest, CancelRoundId, ToPeer};
use crate::leased::task::JobId;
use crate::session::SessionId;

/// Maximum time for the answers of peers.
const PEER_WAIT: Span = Span::from_millis(200);
/// Time without an answer after which a peer is not waited for. More than [`PEER_WAIT`], for which a peer
/// may wait for its own.
pub(super) const PEER_SILENT_AFTER: Span = Span::from_millis(300);
/// Maximum time for the confirmations of agents, from the start of a round.
const AGENT_WAIT: Span = Span::from_millis(400);
/// How long requests of a concluded round are recognized.
const CONCLUDED_RETENTION: Span = Span::from_secs(5);

/// Who is told the result of a round.
#[derive(Clone, Copy, Debug)]
enum Requester {
    /// The caller that has cancelled the job, and when.
    Caller(CallNumber, Timestamp),
    /// The peer that has sent the request.
    Peer(SessionId),
}

/// A round that has not been concluded here.
#[derive(Debug)]
struct Round {
    request: CancelRequest,
    requester: Requester,
    opened_at: Timestamp,
    /// Position of the cancellation among those that agents were told.
    position: u64,
    /// Whether this gateway held the job, and has ended it. Peers are not asked then.
    was_held_here: bool,
    /// Sessions to the peers that were asked and have not answered.
    unanswered: BTreeSet<SessionId>,
    /// Those of them that are waited for.
    awaited: BTreeSet<SessionId>,
    /// The peers' answers together.
    confirmed: CancelConfirmation,
    /// When the round has to be reviewed without further events.
    review_at: Timestamp,
}

impl Round {
    /// Whether peers may still answer in time.
    fn awaits_peers(&self, now: Timestamp) -> bool {
        !self.awaited.is_empty() && now < self.opened_at.after(PEER_WAIT)
    }
}

/// What follows from the confirmations of a caller's round.
enum Verdict {
    /// Further ones may come in time.
    Wait,
    /// The caller is answered.
    Conclude(CancelOutcome),
    /// Not all gateways can confirm, so that agents have to.
    AskAgents,
}

/// The rounds in which this gateway takes part.
#[derive(Debug)]
pub struct CancelRounds {
    /// Id of the latest round of this gateway.
    last: CancelRoundId,
    open: BTreeMap<CancelRoundId, Round>,
    concluded: BTreeSet<CancelRoundId>,
    /// The concluded rounds in order, with the times of their conclusion.
    concluded_at: VecDeque<(Timestamp, CancelRoundId)>,
    /// Whether an open round may have changed since the last review.
    needs_review: bool,
    /// Whether some gateway did not confirm the latest round of this gateway. Agents are then asked at
    /// once.
    lacks_gateways: bool,
}

impl CancelRounds {
    /// Without any round; `incarnation` is that of this gateway's process.
    pub fn new(incarnation: Incarnation) -> Self {
        Self {
            last: CancelRoundId {
                origin: incarnation,
                number: 0,
            },
            open: BTreeMap::new(),
            concluded: BTreeSet::new(),
            concluded_at: VecDeque::new(),
            needs_review: false,
            lacks_gateways: false,
        }
    }

    /// When an open round is next to be reviewed.
    pub fn next_due(&self) -> Option<Timestamp> {
        self.open.values().map(|round| round.review_at).min()
    }

    /// Has the open rounds reviewed in the next flush.
    pub fn request_review(&mut self) {
        self.needs_review = true;
    }

    /// Whether the open rounds have to be reviewed now.
    fn take_review_due(&mut self, now: Timestamp) -> bool {
        let is_due = self.next_due().is_some_and(|due| now >= due);
        std::mem::take(&mut self.needs_review) || is_due
    }

    /// A session to a peer has closed: it answers nothing more.
    pub fn on_peer_closed(&mut self, session: SessionId) {
        for round in self.open.values_mut() {
            round.unanswered.remove(&session);
            round.awaited.remove(&session);
        }
        self.needs_review = true;
    }

    fn contains(&self, round: CancelRoundId) -> bool {
        self.open.contains_key(&round) || self.concluded.contains(&round)
    }

    fn record_concluded(&mut self, now: Timestamp, round: CancelRoundId) {
        while let Some((at, oldest)) = self.concluded_at.front().copied()
            && now.since(at) > CONCLUDED_RETENTION
        {
            self.concluded_at.pop_front();
            self.concluded.remove(&oldest);
        }
        self.concluded.insert(round);
        self.concluded_at.push_back((now, round));
    }
}

impl LeasedGateway {
    /// Starts a round for a caller that has cancelled a job at `called_at`.
    pub(super) fn start_cancel_round(
        &mut self,
        now: Timestamp,
        (call, called_at): (CallNumber, Timestamp),
        job: JobId,
        effects: &mut Vec<GatewayEffect>,
    ) {
        self.cancel_rounds.last.number += 1;
        let request = CancelRequest {
            round: self.cancel_rounds.last,
            job,
            includes_agents: self.cancel_rounds.lacks_gateways,
        };
        self.open_round(now, request, Requester::Caller(call, called_at), effects);
    }

    /// Starts a round for a caller that has cancelled a job which this gateway held: its agents have to
    /// confirm.
    pub(super) fn start_holders_round(&mut self, now: Timestamp, call: CallNumber, job: JobId) {
        self.cancel_rounds.last.number += 1;
        let request = CancelRequest {
            round: self.cancel_rounds.last,
            job,
            includes_agents: false,
        };
        self.open_holders_round(now, request, Requester::Caller(call, now));
    }

    /// Handles a peer's request. A request that has come over another session already is answered at
    /// once: the answer there speaks for this gateway.
    pub(super) fn on_cancel_requested(
        &mut self,
        now: Timestamp,
        session: SessionId,
        request: CancelRequest,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let CancelRequest { round, job, .. } = request;
        if self.cancel_rounds.contains(round) {
            let answer = unconfirmed(round);
            send_confirmation(session, answer, effects);
            return;
        }
        let was_held = self.jobs.contains_key(&job);
        let cancelled = Cancelled { job, at: now };
        let is_recorded = self.cancel_job(now, cancelled, effects).is_ok();
        if request.includes_agents || was_held {
            self.tell_agents(cancelled);
        }
        if !is_recorded {
            send_confirmation(session, unconfirmed(round), effects);
            self.cancel_rounds.record_concluded(now, round);
        } else if was_held {
            self.open_holders_round(now, request, Requester::Peer(session));
        } else {
            self.open_round(now, request, Requester::Peer(session), effects);
        }
    }

    /// Handles a peer's answer.
    pub(super) fn on_cancel_confirmed(
        &mut self,
        session: SessionId,
        confirmation: CancelConfirmation,
    ) {
        if let Some(peer) = self.peers.get_mut(&session) {
            peer.unanswered_since = None;
        }
        let Some(round) = self.cancel_rounds.open.get_mut(&confirmation.round) else {
            return;
        };
        if !round.unanswered.remove(&session) {
            return;
        }
        round.awaited.remove(&session);
        let confirmed = &mut round.confirmed;
        confirmed.reached = confirmed.reached.with(confirmation.reached);
        confirmed.was_held |= confirmation.was_held;
        confirmed.has_unconfirmed_agents |= confirmation.has_unconfirmed_agents;
        self.cancel_rounds.request_review();
    }

    /// Asks all peers but the requester, and has the round reviewed in the next flush.
    fn open_round(
        &mut self,
        now: Timestamp,
        request: CancelRequest,
        requester: Requester,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let source = match requester {
            Requester::Caller(..) => None,
            Requester::Peer(session) => Some(session),
        };
        let mut unanswered = BTreeSet::new();
        let mut awaited = BTreeSet::new();
        for (session, peer) in &mut self.peers {
            if Some(*session) == source {
                continue;
            }
            let message = if peer.confirms_cancels {
                unanswered.insert(*session);
                if !peer.is_silent(now) {
                    awaited.insert(*session);
                }
                peer.unanswered_since.get_or_insert(now);
                ToPeer::CancelRequested(request)
            } else {
                ToPeer::Cancelled(vec![request.job])
            };
            let session = *session;
            effects.push(GatewayEffect::ToPeer { session, message });
        }
        let round = Round {
            unanswered,
            awaited,
            ..self.new_round(now, request, requester)
        };
        self.cancel_rounds.open.insert(request.round, round);
        self.cancel_rounds.request_review();
    }

    /// Opens a round for a job that this gateway held, and asks no peers.
    fn open_holders_round(&mut self, now: Timestamp, request: CancelRequest, requester: Requester) {
        let round = Round {
            was_held_here: true,
            ..self.new_round(now, request, requester)
        };
        self.cancel_rounds.open.insert(request.round, round);
        self.cancel_rounds.request_review();
    }

    /// A round in which no peer is asked.
    fn new_round(&self, now: Timestamp, request: CancelRequest, requester: Requester) -> Round {
        Round {
            request,
            requester,
            opened_at: now,
            position: self.cancel_position,
            was_held_here: false,
            unanswered: BTreeSet::new(),
            awaited: BTreeSet::new(),
            confirmed: unconfirmed(request.round),
            review_at: now.after(PEER_WAIT),
        }
    }

    /// Concludes the open rounds whose confirmations suffice, or have not come in time.
    pub(super) fn review_cancel_rounds(
        &mut self,
        now: Timestamp,
        effects: &mut Vec<GatewayEffect>,
    ) {
        // Repeated for the rounds that a review has started.
        while self.cancel_rounds.take_review_due(now) {
            self.review_open_rounds(now, effects);
        }
    }

    fn review_open_rounds(&mut self, now: Timestamp, effects: &mut Vec<GatewayEffect>) {
        let ids: Vec<CancelRoundId> = self.cancel_rounds.open.keys().copied().collect();
        for id in ids {
            let Some(mut round) = self.cancel_rounds.open.remove(&id) else {
                continue;
            };
            let is_concluded = match round.requester {
                Requester::Caller(call, called_at) => {
                    self.review_callers_round(now, &round, (call, called_at), effects)
                }
                Requester::Peer(session) => self.review_peers_round(now, &round, session, effects),
            };
            if is_concluded {
                self.cancel_rounds.record_concluded(now, id);
            } else {
                let waits = [PEER_WAIT, AGENT_WAIT].map(|wait| round.opened_at.after(wait));
                round.review_at = if now < waits[0] { waits[0] } else { waits[1] };
                self.cancel_rounds.open.insert(id, round);
            }
        }
    }

    /// Answers the caller, or starts the round that asks agents, if the result is clear. Returns whether the
    /// round is concluded.
    fn review_callers_round(
        &mut self,
        now: Timestamp,
        round: &Round,
        (call, called_at): (CallNumber, Timestamp),
        effects: &mut Vec<GatewayEffect>,
    ) -> bool {
        let job = round.request.job;
        match self.verdict(now, round) {
            Verdict::Wait => return false,
            Verdict::AskAgents => {
                self.cancel_rounds.lacks_gateways = true;
                self.start_cancel_round(now, (call, called_at), job, effects);
            }
            Verdict::Conclude(outcome) => {
                if outcome == CancelOutcome::AllGateways {
                    self.cancel_rounds.lacks_gateways = false;
                    self.met_gateways_at.get_or_insert(now);
                }
                self.answer_cancel((call, now.since(called_at)), job, outcome, effects);
            }
        }
        true
    }

    fn verdict(&self, now: Timestamp, round: &Round) -> Verdict {
        let confirmed = &round.confirmed;
        if confirmed.was_held {
            return Verdict::Conclude(CancelOutcome::HeldByPeer);
        }
        if round.was_held_here {
            return match self.majority_coverage(now, round.position) {
                Coverage::Complete => Verdict::Conclude(CancelOutcome::HeldHere),
                Coverage::Pending if now < round.opened_at.after(PEER_WAIT) => Verdict::Wait,
                _ => Verdict::AskAgents,
            };
        }
        if round.awaits_peers(now) {
            return Verdict::Wait;
        }
        if self.digest_of_confirming() == Some(confirmed.reached) {
            return Verdict::Conclude(CancelOutcome::AllGateways);
        }
        if !round.request.includes_agents {
            return Verdict::AskAgents;
        }
        let is_in_time = now < round.opened_at.after(AGENT_WAIT);
        match self.agent_coverage(now, round.position) {
            _ if confirmed.has_unconfirmed_agents || !self.knows_agents(now) => {
                Verdict::Conclude(CancelOutcome::Unconfirmed)
            }
            Coverage::Complete => Verdict::Conclude(CancelOutcome::AllAgents),
            Coverage::Pending if is_in_time => Verdict::Wait,
            _ => Verdict::Conclude(CancelOutcome::Unconfirmed),
        }
    }

    /// Hash of the other gateways that have to confirm a cancellation: all but those with a session here whose
    /// version cannot. `None` if not all are known: none yet, or not who is at the other end of a session.
    fn digest_of_confirming(&self) -> Option<Digest> {
        if self.peers.values().any(|peer| peer.name.is_none()) {
            return None;
        }
        let unable = self.peers.values().filter(|peer| !peer.confirms_cancels);
        let unable: BTreeSet<&String> = unable.filter_map(|peer| peer.name.as_ref()).collect();
        let mut digest = self.membership.digest_of_others()?;
        for name in unable {
            digest = digest.without(self.membership.digest_of(name));
        }
        Some(digest)
    }

    /// Answers the peer, once the gateways behind this one and its agents have answered. Returns whether
    /// the round is concluded.
    fn review_peers_round(
        &mut self,
        now: Timestamp,
        round: &Round,
        session: SessionId,
        effects: &mut Vec<GatewayEffect>,
    ) -> bool {
        let coverage = match round.request.includes_agents {
            true => self.agent_coverage(now, round.position),
            false => Coverage::Complete,
        };
        let holders_coverage = match round.was_held_here {
            true => self.majority_coverage(now, round.position),
            false => Coverage::Incomplete,
        };
        let confirmed = &round.confirmed;
        let was_held = confirmed.was_held || holders_coverage == Coverage::Complete;
        let awaits_agents = [coverage, holders_coverage].contains(&Coverage::Pending)
            && now < round.opened_at.after(PEER_WAIT);
        if !was_held && (round.awaits_peers(now) || awaits_agents) {
            return false;
        }
        let confirmation = CancelConfirmation {
            reached: confirmed.reached.with(self.membership.own_digest()),
            was_held,
            has_unconfirmed_agents: confirmed.has_unconfirmed_agents
                || coverage != Coverage::Complete,
            ..*confirmed
        };
        send_confirmation(session, confirmation, effects);
        true
    }

    /// Answers a caller that has cancelled a job and waited for this time.
    pub(super) fn answer_cancel(
        &self,
        (call, waited): (CallNumber, Span),
        job: JobId,
        outcome: CancelOutcome,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let answer = match outcome {
            CancelOutcome::HeldHere => Answer::Cancelled,
            CancelOutcome::HeldByPeer | CancelOutcome::AllGateways | CancelOutcome::AllAgents => {
                Answer::Unknown
            }
            CancelOutcome::Unconfirmed | CancelOutcome::NotRecorded => {
                Answer::CancelUnacknowledged {
                    retry_after: RETRY_DELAY,
                }
            }
        };
        effects.push(GatewayEffect::Answer { call, answer });
        effects.push(GatewayEffect::Decided(GatewayDecision::CancelAnswered {
            job,
            outcome,
            waited,
        }));
    }
}

/// The answer of a gateway that speaks for none.
fn unconfirmed(round: CancelRoundId) -> CancelConfirmation {
    CancelConfirmation {
        round,
        reached: Digest::default(),
        was_held: false,
        has_unconfirmed_agents: false,
    }
}

fn send_confirmation(
    session: SessionId,
    confirmation: CancelConfirmation,
    effects: &mut Vec<GatewayEffect>,
) {
    let message = ToPeer::CancelConfirmed(confirmation);
    effects.push(GatewayEffect::ToPeer { session, message });
}
