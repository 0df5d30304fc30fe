//! Recently cancelled jobs. A caller may cancel a job at any gateway, so gateways forward
//! cancellations to each other.

use std::collections::VecDeque;

use laurelstile_types::time::{Span, Timestamp};

use super::job::CallNumber;
use super::{Answer, GatewayEffect, LeasedGateway};
use crate::leased::messages::ToPeer;
use crate::leased::task::JobId;
use crate::session::SessionId;

/// How long a cancellation is kept: the submission may still be in flight, or be repeated
/// after a broken connection.
const RETENTION: Span = Span::from_secs(10);
/// Maximum number of entries, 16 bytes each.
const MAX_ENTRIES: usize = 4_096;

/// The jobs cancelled within [`RETENTION`].
#[derive(Debug, Default)]
pub struct CancelLog {
    jobs: VecDeque<(Timestamp, JobId)>,
    /// When an entry was last evicted before its retention ended.
    last_evicted_at: Option<Timestamp>,
}

impl CancelLog {
    fn record(&mut self, now: Timestamp, job: JobId) {
        let is_old = |(at, _): &(Timestamp, JobId)| now.since(*at) > RETENTION;
        while self.jobs.front().is_some_and(is_old) {
            self.jobs.pop_front();
        }
        if self.jobs.len() >= MAX_ENTRIES {
            self.jobs.pop_front();
            self.last_evicted_at = Some(now);
        }
        self.jobs.push_back((now, job));
    }

    /// Whether a cancellation that seems new may be one that was evicted. Such cancellations
    /// are not forwarded, since they could circulate between gateways forever.
    fn may_have_evicted(&self, now: Timestamp) -> bool {
        self.last_evicted_at
            .is_some_and(|at| now.since(at) <= RETENTION)
    }

    /// Jobs whose cancellation is still retained.
    fn recent(&self, now: Timestamp) -> Vec<JobId> {
        let jobs = self.jobs.iter();
        let recent = jobs.filter(|(at, _)| now.since(*at) <= RETENTION);
        recent.map(|(_, job)| *job).collect()
    }

    /// Whether the job's cancellation is still retained.
    pub fn contains(&self, now: Timestamp, job: JobId) -> bool {
        let mut jobs = self.jobs.iter();
        jobs.any(|(at, known)| *known == job && now.since(*at) <= RETENTION)
    }
}

impl LeasedGateway {
    /// Handles a caller's cancellation. If this gateway does not hold the job, the cancellation
    /// is sent to all peers and the caller is answered `Unknown`.
    pub(super) fn on_cancel(
        &mut self,
        now: Timestamp,
        call: CallNumber,
        job: JobId,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let is_here = self.jobs.contains_key(&job);
        self.cancel_job(now, job, effects);
        let answer = if is_here {
            Answer::Cancelled
        } else {
            self.broadcast_to_peers(&ToPeer::Cancelled(vec![job]), effects);
            Answer::Unknown
        };
        effects.push(GatewayEffect::Answer { call, answer });
    }

    /// Sends the retained cancellations to a new peer.
    pub(super) fn send_recent_cancels(
        &self,
        now: Timestamp,
        session: SessionId,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let recent = self.cancels.recent(now);
        if !recent.is_empty() {
            let message = ToPeer::Cancelled(recent);
            effects.push(GatewayEffect::ToPeer { session, message });
        }
    }

    /// Applies cancellations received from a peer and forwards those that are new here.
    pub(super) fn on_peer_cancels(
        &mut self,
        now: Timestamp,
        source: SessionId,
        jobs: &[JobId],
        effects: &mut Vec<GatewayEffect>,
    ) {
        let is_new = |job: &&JobId| !self.cancels.contains(now, **job);
        let new_jobs: Vec<JobId> = jobs.iter().filter(is_new).copied().collect();
        if new_jobs.is_empty() {
            return;
        }
        for job in &new_jobs {
            self.cancel_job(now, *job, effects);
        }
        if !self.cancels.may_have_evicted(now) {
            self.forward_to_peers(source, &ToPeer::Cancelled(new_jobs), effects);
        }
    }

    fn cancel_job(&mut self, now: Timestamp, job: JobId, effects: &mut Vec<GatewayEffect>) {
        self.cancels.record(now, job);
        self.finish(now, job, Answer::Cancelled, effects);
    }
}
