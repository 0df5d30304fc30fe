//! Lifecycle of delegations: deadlines, withdrawal, acknowledgement and loss
//! of their entry gateways.

use std::collections::BTreeSet;

use laurelstile_types::id::{Incarnation, SubmissionId};
use laurelstile_types::outcome::Reason;
use laurelstile_types::time::Timestamp;

use super::super::links::Links;
use super::{SEND_BACK_DELAY, Scheduler, queue_release};
use crate::messages::peer::{DelegationEnd, DelegationKey, DelegationOutcome};

impl Scheduler {
    /// Fails the jobs whose deadline has passed.
    pub fn expire(&mut self, now: Timestamp, links: &mut Links) {
        while let Some((deadline, submission)) = self.deadlines.first().copied() {
            if deadline > now {
                break;
            }
            self.deadlines.pop_first();
            self.fail(submission, Reason::DeadlineExceeded, links);
        }
    }

    /// Sends back jobs of which no task was dispatched and which no agent
    /// accepts, because all agents joined the pool after the delegation.
    /// Delegating them again gives them a later delegation time.
    pub fn send_back_stale(&mut self, now: Timestamp, links: &mut Links) {
        let stale: Vec<SubmissionId> = self
            .jobs
            .values()
            .filter(|job| job.contacted.is_empty() && job.delegated_at.is_some())
            .filter(|job| links.all_joined_after(&job.pool, job.delegated_at.unwrap_or_default()))
            .filter(|job| now.since(job.arrival) > SEND_BACK_DELAY)
            .map(|job| job.key.submission)
            .collect();
        for submission in stale {
            if let Some(job) = self.remove(submission, links) {
                let end = DelegationEnd {
                    key: job.key,
                    outcome: DelegationOutcome::SentBack,
                };
                self.record_end(job.entry, end, job.contacted);
            }
        }
    }

    /// Cancels a delegation that its entry gateway has abandoned.
    pub fn withdraw(&mut self, key: DelegationKey, links: &mut Links) {
        if self.jobs.get(&key.submission).map(|job| job.key) == Some(key) {
            self.cancel_running(key.submission, links);
            if let Some(job) = self.remove(key.submission, links) {
                queue_release(key.submission, &job.contacted, links);
            }
        }
        self.acknowledge(key.submission, links);
    }

    /// Handles the acknowledgement of a job's end: agents may discard their
    /// records of the job.
    pub fn acknowledge(&mut self, submission: SubmissionId, links: &mut Links) {
        if let Some(ended) = self.ended.remove(&submission) {
            queue_release(submission, &ended.contacted, links);
        }
    }

    /// Discards a delegation older than `fence`, which another gateway has
    /// taken over.
    pub fn supersede(&mut self, fence: DelegationKey, links: &mut Links) {
        let current = self.jobs.get(&fence.submission).map(|job| job.key);
        if current.is_some_and(|key| key.delegation < fence.delegation) {
            self.discard(fence.submission, links);
        }
    }

    /// Discards the jobs of `entry` that are not in `outstanding`, since that
    /// gateway has recovered or abandoned them.
    pub fn retain_delegations(
        &mut self,
        entry: Incarnation,
        outstanding: &BTreeSet<DelegationKey>,
        links: &mut Links,
    ) {
        for key in self.keys_of(entry) {
            if !outstanding.contains(&key) {
                self.discard(key.submission, links);
            }
        }
        self.ended
            .retain(|_, ended| ended.entry != entry || outstanding.contains(&ended.end.key));
    }

    /// Drops the jobs of a lost entry gateway. Agents keep their records of
    /// what was started, since the gateway may still be alive.
    pub fn on_entry_lost(&mut self, entry: Incarnation, links: &mut Links) {
        for key in self.keys_of(entry) {
            self.cancel_running(key.submission, links);
            self.discard(key.submission, links);
        }
        self.ended.retain(|_, ended| ended.entry != entry);
    }

    /// Ends of delegations that `entry` has not acknowledged.
    pub fn unacknowledged(&self, entry: Incarnation) -> Vec<DelegationEnd> {
        self.ended
            .values()
            .filter(|ended| ended.entry == entry)
            .map(|ended| ended.end.clone())
            .collect()
    }

    pub(super) fn keys_of(&self, entry: Incarnation) -> Vec<DelegationKey> {
        self.jobs
            .values()
            .filter(|job| job.entry == entry)
            .map(|job| job.key)
            .collect()
    }
}
