//! Release of a job that was submitted here while another gateway holds it.
//!
//! The caller has gone to this gateway, so the holder gives the job up. No task is placed here before
//! the holder has confirmed that all its runs have ended. A holder that does not answer is suspended or
//! has ended, and its agents stop its runs.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use laurelstile_types::id::Incarnation;
use laurelstile_types::time::{Span, Timestamp};

use super::claim_leases::GATEWAY_WAIT;
use super::{Answer, GatewayDecision, GatewayEffect, LeasedGateway};
use crate::leased::messages::{ClaimMessage, ReleaseRequest, ToPeer};
use crate::leased::task::{JobId, RunNumber};
use crate::leased::timing::AGENT_EXPIRY;
use crate::session::SessionId;

/// Minimum time for the answer of a holder, over several hops.
const MIN_RELEASE_TIMEOUT: Span = Span::from_millis(300);
/// Interval between two requests for the same release.
const REQUEST_INTERVAL: Span = Span::from_millis(200);
/// How long sent, forwarded and handled messages are remembered. Copies of a message go round all
/// gateways within this time, or else with it.
const MESSAGE_RETENTION: Span = Span::from_secs(10);
/// Maximum number of remembered messages. Further ones are not forwarded, as their copies would go round
/// the gateways without end. Requests are repeated.
const MAX_REMEMBERED: usize = 16_384;
/// How long the end of the last session to a gateway is remembered.
const CLOSED_RETENTION: Span = Span::from_secs(5);

/// A release that was requested from a holder and has not been confirmed.
#[derive(Debug)]
struct RequestedRelease {
    /// Number of the first request for it.
    first: u64,
    /// When it was first requested.
    requested_at: Timestamp,
    /// Until when no task is placed.
    until: Timestamp,
    /// Whether that time has passed.
    is_timed_out: bool,
    /// When the next request is sent.
    next_request_at: Timestamp,
}

/// Releases requested by this gateway and by others.
#[derive(Debug, Default)]
pub struct Releases {
    requested: BTreeMap<(JobId, String), RequestedRelease>,
    /// Number of the latest request.
    last_number: u64,
    /// Requests of peers for jobs of which runs have not ended.
    releasing: BTreeSet<ReleaseRequest>,
    /// Messages that need not be forwarded or handled again.
    remembered: RecentMessages,
    /// When the last session to a gateway closed that has not been heard of since.
    closed_at: BTreeMap<String, Timestamp>,
}

impl Releases {
    /// Without any release; `incarnation` is that of this gateway's process. Its requests are numbered
    /// from a number of its own, as answers to those of an earlier process may arrive late.
    pub fn new(incarnation: Incarnation) -> Self {
        let last_number = incarnation.0 / 2;
        Self {
            last_number,
            ..Self::default()
        }
    }

    /// Removes the requests for a job that has ended here.
    pub fn remove_requests(&mut self, job: JobId) {
        self.requested.retain(|(requested, _), _| *requested != job);
    }

    /// Records that the last session to a gateway has closed.
    pub fn record_closed(&mut self, now: Timestamp, name: String) {
        let is_recent = |at: &Timestamp| now.since(*at) <= CLOSED_RETENTION;
        self.closed_at.retain(|_, at| is_recent(at));
        self.closed_at.insert(name, now);
    }

    /// Records that a gateway has been heard of.
    pub fn record_alive(&mut self, name: &str) {
        self.closed_at.remove(name);
    }

    /// When the next request is to be sent again.
    pub fn next_due(&self) -> Option<Timestamp> {
        let requested = self.requested.values();
        requested.map(|release| release.next_request_at).min()
    }

    /// Until when no task of the job is placed; `None` if all its releases are confirmed.
    fn wait_until(&self, job: JobId) -> Option<Timestamp> {
        let requested = self.requested.iter();
        let of_job = requested.filter(|((requested, _), _)| *requested == job);
        of_job.map(|(_, release)| release.until).max()
    }

    /// The requested release that a message of its holder answers.
    fn answered(&mut self, request: &ReleaseRequest) -> Option<&mut RequestedRelease> {
        let key = (request.job, request.holder.clone());
        let release = self.requested.get_mut(&key);
        let last = self.last_number;
        release.filter(|release| (release.first..=last).contains(&request.number))
    }
}

/// Which message about a request for a release was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ReleaseStep {
    Requested,
    Pending,
    Released,
}

/// What the copies of a message have in common; `None` if it is not forwarded.
fn key_of(message: &ClaimMessage) -> Option<(ReleaseStep, ReleaseRequest)> {
    let (step, request) = match message {
        ClaimMessage::ReleaseRequested(request) => (ReleaseStep::Requested, request),
        ClaimMessage::ReleasePending(request) => (ReleaseStep::Pending, request),
        ClaimMessage::Released { request, .. } => (ReleaseStep::Released, request),
        ClaimMessage::Claimed(_) | ClaimMessage::Confirmed(_) => return None,
    };
    Some((step, request.clone()))
}

/// Messages about releases that were sent, forwarded or handled lately.
#[derive(Debug, Default)]
struct RecentMessages {
    messages: BTreeSet<(ReleaseStep, ReleaseRequest)>,
    order: VecDeque<(Timestamp, ReleaseStep, ReleaseRequest)>,
}

impl RecentMessages {
    fn contains(&self, message: &ClaimMessage) -> bool {
        key_of(message).is_some_and(|key| self.messages.contains(&key))
    }

    /// Remembers a message; returns whether it is new and was remembered.
    fn insert(&mut self, now: Timestamp, message: &ClaimMessage) -> bool {
        let Some((step, request)) = key_of(message) else {
            return true;
        };
        while let Some((at, ..)) = self.order.front()
            && now.since(*at) > MESSAGE_RETENTION
            && let Some((_, step, request)) = self.order.pop_front()
        {
            self.messages.remove(&(step, request));
        }
        let is_new =
            self.messages.len() < MAX_REMEMBERED && self.messages.insert((step, request.clone()));
        if is_new {
            self.order.push_back((now, step, request));
        }
        is_new
    }
}

impl LeasedGateway {
    /// Has a job that is held here released by another gateway that has claimed it.
    pub(super) fn request_release(
        &mut self,
        now: Timestamp,
        id: JobId,
        holder: &str,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let key = (id, holder.to_owned());
        if self.releases.requested.contains_key(&key) {
            return;
        }
        effects.push(GatewayEffect::Decided(GatewayDecision::ReleaseRequested {
            job: id,
            holder: holder.to_owned(),
        }));
        let release = RequestedRelease {
            first: self.releases.last_number + 1,
            requested_at: now,
            until: self.release_timeout_at(now, id, holder),
            is_timed_out: false,
            next_request_at: now,
        };
        self.releases.requested.insert(key, release);
        if let Some(job) = self.jobs.get_mut(&id) {
            job.may_run_elsewhere = true;
        }
        self.update_release_wait(now, id);
        self.send_release_requests(now, effects);
    }

    /// Until when the answer of a holder is waited for: as long as its claim is honored, since it may be
    /// alive beyond a network partition and go on until then.
    ///
    /// The claim of an older version has no such bound. Its holder is taken to have ended or to be
    /// suspended: all its runs are over [`AGENT_EXPIRY`] after its last sign of life. Without a session to
    /// it, it may be alive unless the last session has closed and nothing has been heard of it since.
    fn release_timeout_at(&self, now: Timestamp, id: JobId, holder: &str) -> Timestamp {
        if let Some(until) = self.claims.honored_until(now, id, holder) {
            // Agents may have been sent the claim later, and reject starts for as much longer.
            return until
                .after(GATEWAY_WAIT)
                .max(now.after(MIN_RELEASE_TIMEOUT));
        }
        let closed_at = self.releases.closed_at.get(holder).copied();
        let closed_at = closed_at.filter(|_| !self.has_peer(holder));
        let alive_at = closed_at.unwrap_or(now);
        let timeout_at = now.after(MIN_RELEASE_TIMEOUT);
        timeout_at.max(alive_at.after(AGENT_EXPIRY))
    }

    /// Has a requested release waited for as long as a further claim of the holder is honored.
    pub(super) fn extend_release_wait(&mut self, now: Timestamp, id: JobId, holder: &str) {
        let Some(until) = self.claims.honored_until(now, id, holder) else {
            return;
        };
        let key = (id, holder.to_owned());
        if let Some(release) = self.releases.requested.get_mut(&key) {
            release.until = release.until.max(until.after(GATEWAY_WAIT));
            self.update_release_wait(now, id);
        }
    }

    /// Sends the requests that are due. They are repeated until the release is confirmed or the job
    /// has ended, as they may be lost, or the holder may be suspended.
    pub(super) fn send_release_requests(
        &mut self,
        now: Timestamp,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let requester = self.name().to_owned();
        let mut requests = Vec::new();
        for ((job, holder), release) in &mut self.releases.requested {
            if now >= release.next_request_at {
                release.next_request_at = now.after(REQUEST_INTERVAL);
                self.releases.last_number += 1;
                requests.push(ReleaseRequest {
                    job: *job,
                    holder: holder.clone(),
                    requester: requester.clone(),
                    number: self.releases.last_number,
                });
            }
        }
        for request in requests {
            self.flood(now, None, ClaimMessage::ReleaseRequested(request), effects);
        }
    }

    /// Reports the holders that have not confirmed a release in time, once each.
    pub(super) fn report_release_timeouts(
        &mut self,
        now: Timestamp,
        effects: &mut Vec<GatewayEffect>,
    ) {
        for ((job, holder), release) in &mut self.releases.requested {
            if now < release.until || release.is_timed_out {
                continue;
            }
            release.is_timed_out = true;
            effects.push(GatewayEffect::Decided(GatewayDecision::ReleaseTimedOut {
                job: *job,
                holder: holder.clone(),
                waited: now.since(release.requested_at),
            }));
        }
    }

    pub(super) fn on_claim_message(
        &mut self,
        now: Timestamp,
        source: SessionId,
        message: ClaimMessage,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let message = match message {
            ClaimMessage::Claimed(held) => {
                for held in held {
                    self.on_claimed(now, source, &held, effects);
                }
                return;
            }
            ClaimMessage::Confirmed(confirmation) => {
                self.on_claim_confirmed(source, &confirmation);
                return;
            }
            message => message,
        };
        if self.releases.remembered.contains(&message) {
            return;
        }
        let is_remembered = self.releases.remembered.insert(now, &message);
        if let ClaimMessage::Released {
            request, number, ..
        } = &message
        {
            let ReleaseRequest { job, holder, .. } = request;
            self.claims.record_released(now, *job, holder, *number);
        }
        let name = self.name();
        match &message {
            ClaimMessage::ReleaseRequested(request) if request.holder == name => {
                self.release(now, request, effects);
            }
            ClaimMessage::ReleasePending(request) if request.requester == name => {
                self.on_release_pending(now, request);
            }
            ClaimMessage::Released {
                request, last_run, ..
            } if request.requester == name => {
                self.on_released(now, request, *last_run, effects);
            }
            _ if !is_remembered => {}
            _ => self.send_to_peers_except(Some(source), &ToPeer::Claim(message), effects),
        }
    }

    /// Gives up a job that its caller has resubmitted to another gateway, and confirms that once
    /// all its runs have ended. A job that has not been claimed was submitted here again, or to a
    /// process that has replaced the holder: it goes on.
    fn release(
        &mut self,
        now: Timestamp,
        request: &ReleaseRequest,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let id = request.job;
        let has_runs = self.has_runs_of(id);
        match self.jobs.get(&id) {
            Some(job) if !job.is_claimed => return,
            None if !has_runs && !self.has_claimed(now, id) => return,
            Some(_) => {
                let requester = request.requester.clone();
                let decision = GatewayDecision::ReleasedToPeer { job: id, requester };
                effects.push(GatewayEffect::Decided(decision));
                self.finish(now, id, Answer::GivenUp, effects);
            }
            None => {}
        }
        if has_runs {
            let pending = ClaimMessage::ReleasePending(request.clone());
            self.flood(now, None, pending, effects);
        }
        self.releases.releasing.insert(request.clone());
    }

    /// Confirms the releases of jobs whose runs have all ended.
    pub(super) fn confirm_releases(&mut self, now: Timestamp, effects: &mut Vec<GatewayEffect>) {
        let releasing = self.releases.releasing.iter();
        let ended = releasing.filter(|request| !self.has_runs_of(request.job));
        let ended: Vec<ReleaseRequest> = ended.cloned().collect();
        for request in ended {
            self.releases.releasing.remove(&request);
            let id = request.job;
            let released = ClaimMessage::Released {
                request,
                last_run: self.earlier_runs.last_of(id),
                number: Some(self.claims.next_number()),
            };
            self.flood(now, None, released, effects);
            if self.jobs.get(&id).is_some_and(|job| job.is_claimed) {
                // A later submission, whose claim has a lower number than the release.
                self.claims.schedule(id, now);
            }
        }
    }

    /// The holder is alive and stops its runs, which takes [`AGENT_EXPIRY`] at most.
    fn on_release_pending(&mut self, now: Timestamp, request: &ReleaseRequest) {
        self.releases.record_alive(&request.holder);
        if let Some(release) = self.releases.answered(request) {
            release.until = release.until.max(now.after(AGENT_EXPIRY));
            self.update_release_wait(now, request.job);
        }
    }

    fn on_released(
        &mut self,
        now: Timestamp,
        request: &ReleaseRequest,
        last_run: RunNumber,
        effects: &mut Vec<GatewayEffect>,
    ) {
        self.releases.record_alive(&request.holder);
        let Some(release) = self.releases.answered(request) else {
            return;
        };
        effects.push(GatewayEffect::Decided(GatewayDecision::ReleaseConfirmed {
            job: request.job,
            holder: request.holder.clone(),
            waited: now.since(release.requested_at),
            is_late: release.is_timed_out,
        }));
        let key = (request.job, request.holder.clone());
        self.releases.requested.remove(&key);
        if let Some(job) = self.jobs.get_mut(&request.job) {
            job.number_runs_after(last_run);
            job.may_have_started |= last_run > RunNumber::default();
        }
        self.update_release_wait(now, request.job);
    }

    /// Applies the requested releases of a job to its placement. Once all are confirmed, the job is
    /// placed, or refused if there is no room and nothing of it has run.
    fn update_release_wait(&mut self, now: Timestamp, id: JobId) {
        let wait_until = self.releases.wait_until(id);
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.may_run_elsewhere &= wait_until.is_some();
        job.release_until = wait_until.unwrap_or(now);
        self.timers.insert((job.release_until, id));
        self.update_backlog(now, id);
    }

    /// Sends a message about a release to all peers but the one that it came from.
    fn flood(
        &mut self,
        now: Timestamp,
        source: Option<SessionId>,
        message: ClaimMessage,
        effects: &mut Vec<GatewayEffect>,
    ) {
        if self.releases.remembered.insert(now, &message) {
            self.send_to_peers_except(source, &ToPeer::Claim(message), effects);
        }
    }
}
