//! Cancelled jobs: a caller may cancel at any gateway, not only at the one that has the job.

use std::collections::VecDeque;

use laurelstile_types::time::{Span, Timestamp};

use super::job::CallNumber;
use super::{Answer, GatewayEffect, LeasedGateway};
use crate::leased::messages::ToPeer;
use crate::leased::task::JobId;
use crate::session::SessionId;

/// How long a cancel is remembered: a call that hands the job in may be on its way still,
/// or sent again after a broken connection.
const MEMORY: Span = Span::from_secs(10);
/// Most cancels that are remembered, 16 bytes each.
const MOST_REMEMBERED: usize = 4_096;

/// Jobs that were cancelled of late.
#[derive(Debug, Default)]
pub struct Cancels {
    jobs: VecDeque<(Timestamp, JobId)>,
    /// When one was last forgotten for want of room.
    overran_at: Option<Timestamp>,
}

impl Cancels {
    fn note(&mut self, now: Timestamp, job: JobId) {
        let is_old = |(at, _): &(Timestamp, JobId)| now.since(*at) > MEMORY;
        while self.jobs.front().is_some_and(is_old) {
            self.jobs.pop_front();
        }
        if self.jobs.len() >= MOST_REMEMBERED {
            self.jobs.pop_front();
            self.overran_at = Some(now);
        }
        self.jobs.push_back((now, job));
    }

    /// Whether what seems to be news may have been known and forgotten. It is not passed on
    /// then: it would go round and round.
    fn may_repeat(&self, now: Timestamp) -> bool {
        self.overran_at.is_some_and(|at| now.since(at) <= MEMORY)
    }

    /// The jobs that were cancelled of late.
    fn recent(&self, now: Timestamp) -> Vec<JobId> {
        let jobs = self.jobs.iter();
        let recent = jobs.filter(|(at, _)| now.since(*at) <= MEMORY);
        recent.map(|(_, job)| *job).collect()
    }

    /// Whether a job was cancelled of late.
    pub fn contains(&self, now: Timestamp, job: JobId) -> bool {
        let mut jobs = self.jobs.iter();
        jobs.any(|(at, known)| *known == job && now.since(*at) <= MEMORY)
    }
}

impl LeasedGateway {
    /// A caller cancels a job. If another gateway has it, that one ends it: the answer that
    /// it is unknown here counts as the acknowledgement all the same.
    pub(super) fn on_cancel(
        &mut self,
        now: Timestamp,
        call: CallNumber,
        job: JobId,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let is_here = self.jobs.contains_key(&job);
        self.end_cancelled(now, job, effects);
        let answer = if is_here {
            Answer::Cancelled
        } else {
            self.tell_peers(&ToPeer::Cancelled(vec![job]), effects);
            Answer::Unknown
        };
        effects.push(GatewayEffect::Answer { call, answer });
    }

    /// Tells a new peer what was cancelled before it came.
    pub(super) fn tell_peer_cancels(
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

    /// Jobs were cancelled at another gateway. What is news here is passed on.
    pub(super) fn on_cancels_told(
        &mut self,
        now: Timestamp,
        source: SessionId,
        jobs: &[JobId],
        effects: &mut Vec<GatewayEffect>,
    ) {
        let is_news = |job: &&JobId| !self.cancels.contains(now, **job);
        let news: Vec<JobId> = jobs.iter().filter(is_news).copied().collect();
        if news.is_empty() {
            return;
        }
        for job in &news {
            self.end_cancelled(now, *job, effects);
        }
        if !self.cancels.may_repeat(now) {
            self.tell_other_peers(source, &ToPeer::Cancelled(news), effects);
        }
    }

    fn end_cancelled(&mut self, now: Timestamp, job: JobId, effects: &mut Vec<GatewayEffect>) {
        self.cancels.note(now, job);
        self.finish(now, job, Answer::Cancelled, effects);
    }
}
