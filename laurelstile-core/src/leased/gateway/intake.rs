//! Admission of jobs, refusals, and answers to callers.

use std::sync::Arc;

use laurelstile_types::time::{Span, Timestamp};

use super::claim_leases::ClaimLeases;
use super::claims::first_claim_at;
use super::job::{CallNumber, Job, JobRequest};
use super::stages::StageTimes;
use super::{Answer, GatewayDecision, GatewayEffect, LeasedGateway, Refusal, RefusalCause};
use crate::leased::task::JobId;
use crate::leased::timing::{CALLER_RETRY_DELAY, MAX_JOB_TIME};

/// Minimum retry delay after refusals other than for lack of capacity.
pub(super) const RETRY_DELAY: Span = Span::from_millis(1_000);
/// Retry delay after a refusal for lack of capacity.
const OVERLOAD_RETRY_DELAY: Span = Span::from_millis(500);

/// How long after the first submission without any worker further jobs are still queued; later
/// ones are refused at once. Agents reconnect within this time after a power failure.
const NO_WORKER_MAX_WAIT: Span = Span::from_millis(1_000);

/// A job is refused at once if its caller's remaining time is less than its expected run time
/// divided by this. The divisor allows for the inaccuracy of the estimate.
const MIN_TIME_DIVISOR: u64 = 2;

/// After the overlap, a stopping gateway still admits a job if this many times its objective
/// is left before the limit.
const STOPPING_OBJECTIVE_FACTOR: u64 = 2;

impl LeasedGateway {
    pub(super) fn on_submit(
        &mut self,
        now: Timestamp,
        call: CallNumber,
        mut request: JobRequest,
        effects: &mut Vec<GatewayEffect>,
    ) {
        if let Some(job) = self.jobs.get_mut(&request.id) {
            // A resubmission joins the job that is already held.
            job.calls.push(call);
            self.calls.insert(call, request.id);
            return;
        }
        let id = request.id;
        let queue = request.queue.clone();
        let ingress_delay = self.ingress_delay.delay(now);
        let time_left = Span(request.time_left.0.saturating_sub(ingress_delay.0));
        request.time_left = time_left.min(MAX_JOB_TIME);
        self.update_worker_absence(now);
        if let Some(reason) = self.refusal_of(now, &request) {
            let until = self
                .containment_retry_at(now, &request.queue)
                .unwrap_or_default();
            let delay = Span(until.since(now).0.max(RETRY_DELAY.0));
            let answer = Answer::Refused {
                reason,
                retry_after: self.spread_retry_after(id, delay),
            };
            self.answer_unadmitted(call, &request, ingress_delay, answer, effects);
            return;
        }
        if let Some(answer) = self.known_outcome(now, id) {
            self.answer_unadmitted(call, &request, ingress_delay, answer, effects);
            return;
        }
        let arrival = Timestamp(now.0.saturating_sub(ingress_delay.0));
        let mut job = Job::new(arrival, call, request, &self.run_times);
        job.ingress_delay = ingress_delay;
        let max_delay = ingress_delay.0.max(self.suspension.max_read_delay(now).0);
        let sent_at = Timestamp(now.0.saturating_sub(max_delay));
        // A submission that may have waited for longer, while this process was suspended, needs a
        // confirmed claim before anything is placed.
        job.held_until = sent_at.after(CALLER_RETRY_DELAY).max(now);
        self.separate_crashed_tasks(&mut job);
        self.await_earlier_runs(&mut job, effects);
        let holders = self.claims.holders(now, id);
        job.group = self.on_time_rates.group_of(&job.queue.name, job.work());
        effects.push(GatewayEffect::Decided(GatewayDecision::Admitted {
            job: id,
            queue,
            tasks: job.steps.iter().map(|step| step.request.count).sum(),
            objective: job.objective,
            version: self
                .configuration
                .as_ref()
                .map_or(0, |configuration| configuration.version),
        }));
        self.calls.insert(call, id);
        if job.has_placeable() {
            self.waiting.insert((job.latest_start, id));
        }
        self.timers.insert((job.refuse_at, id));
        self.timers.insert((job.deadline, id));
        self.timers.insert((job.held_until, id));
        self.claims.schedule(id, first_claim_at(sent_at));
        if self.policies.admission.is_some() {
            self.admission.submitted.insert(id);
            let shares = &mut self.admission.accepted_shares;
            shares.record_arrival(now, &job.queue.name);
        }
        self.jobs.insert(id, job);
        for holder in holders {
            self.request_release(now, id, &holder, effects);
        }
        if self.suspension.is_reading_backlog(now) {
            self.delay_placement(id, self.suspension.backlog_read_until());
        }
    }

    /// The outcome of an earlier submission of the job, if it is known to be cancelled or to
    /// have failed.
    fn known_outcome(&self, now: Timestamp, id: JobId) -> Option<Answer> {
        if self.cancels.contains(now, id) {
            return Some(Answer::Cancelled);
        }
        self.poison_task_of(id).map(|_| Answer::Failed)
    }

    /// Answers a call whose job is not admitted.
    fn answer_unadmitted(
        &self,
        call: CallNumber,
        request: &JobRequest,
        ingress_delay: Span,
        answer: Answer,
        effects: &mut Vec<GatewayEffect>,
    ) {
        effects.push(GatewayEffect::Answer { call, answer });
        effects.push(GatewayEffect::Decided(GatewayDecision::Answered {
            job: request.id,
            queue: request.queue.clone(),
            answer,
            age: Span::default(),
            objective: Span::default(),
            size: None,
            work: 0,
            stages: StageTimes {
                ingress_delay,
                ..StageTimes::default()
            },
        }));
    }

    fn refusal_of(&self, now: Timestamp, request: &JobRequest) -> Option<Refusal> {
        if self.configuration.is_none() {
            return Some(Refusal::NotConfigured);
        }
        if !request.is_well_formed() {
            return Some(Refusal::Malformed);
        }
        if let Some(feature) = request.unsupported.first() {
            return Some(Refusal::Unsupported(*feature));
        }
        if request.time_left < self.min_time_left(request) {
            return Some(Refusal::DeadlineOver);
        }
        if self.is_too_late_to_admit(now, request) {
            return Some(Refusal::Stopping);
        }
        if self.is_evacuated(now, &request.queue.service) {
            return Some(Refusal::Evacuated);
        }
        if self.containment_retry_at(now, &request.queue).is_some() {
            return Some(Refusal::Contained);
        }
        let wait_ends = self.without_worker_since?.after(NO_WORKER_MAX_WAIT);
        (now > wait_ends).then_some(Refusal::NoWorker)
    }

    /// Called for each submission; sets the start of a period without any worker, or ends it.
    fn update_worker_absence(&mut self, now: Timestamp) {
        if self.has_worker(now) {
            self.without_worker_since = None;
        } else {
            self.without_worker_since.get_or_insert(now);
        }
    }

    /// Minimum remaining time of a caller for which starting a job is worthwhile.
    fn min_time_left(&self, request: &JobRequest) -> Span {
        let expected = self
            .run_times
            .expected(&request.queue.name, request.longest_chain());
        Span((expected.0 / MIN_TIME_DIVISOR).max(1))
    }

    /// Whether the process is stopping and the job comes too late. After the overlap, callers
    /// on open connections may still submit jobs that are certain to complete before the
    /// limit.
    fn is_too_late_to_admit(&self, now: Timestamp, request: &JobRequest) -> bool {
        let Some(since) = self.stopping_since else {
            return false;
        };
        let times = self.identity.stop;
        let objective = request.queue.objective(request.longest_chain());
        let done_by = now.after(Span(objective.0.saturating_mul(STOPPING_OBJECTIVE_FACTOR)));
        let fits_before_limit = done_by <= since.after(times.limit);
        self.stop_reported || (now >= since.after(times.overlap) && !fits_before_limit)
    }

    pub(super) fn on_disconnect(
        &mut self,
        now: Timestamp,
        call: CallNumber,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let Some(id) = self.calls.remove(&call) else {
            return;
        };
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.calls.retain(|other| *other != call);
        if !job.calls.is_empty() {
            return;
        }
        let age = now.since(job.arrival);
        effects.push(GatewayEffect::Decided(GatewayDecision::Abandoned {
            job: id,
            age,
        }));
        self.remove_job(now, id, effects);
    }

    /// Answers a job's callers, removes the job and stops its tasks.
    pub(super) fn finish(
        &mut self,
        now: Timestamp,
        id: JobId,
        answer: Answer,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        for call in &job.calls {
            effects.push(GatewayEffect::Answer {
                call: *call,
                answer,
            });
        }
        let age = now.since(job.arrival);
        effects.push(GatewayEffect::Decided(GatewayDecision::Answered {
            job: id,
            queue: job.queue.clone(),
            answer,
            age,
            objective: job.objective,
            size: Some(job.group),
            work: job.work(),
            stages: job.stages(now),
        }));
        let is_on_time = answer == Answer::Completed && age <= job.objective;
        if answer != Answer::Cancelled {
            let (queue, group) = (Arc::clone(&job.queue), job.group);
            self.on_time_rates
                .record(now, &queue.name, group, is_on_time);
            self.count_served(&queue.name, group, is_on_time);
        }
        self.remove_job(now, id, effects);
    }

    fn remove_job(&mut self, now: Timestamp, id: JobId, effects: &mut Vec<GatewayEffect>) {
        let Some(job) = self.jobs.remove(&id) else {
            return;
        };
        self.remove_from_backlog(now, &job);
        for call in &job.calls {
            self.calls.remove(call);
        }
        self.waiting.remove(&(job.latest_start, id));
        self.timers.remove(&(job.refuse_at, id));
        self.timers.remove(&(job.deadline, id));
        self.timers.remove(&(job.held_until, id));
        self.timers.remove(&ClaimLeases::regain_timer(&job));
        self.timers.remove(&(job.not_before, id));
        self.earlier_runs.record(now, id, job.last_run());
        self.releases.remove_requests(id);
        if job.placed_count > 0 {
            self.stop_tasks(now, id, effects);
        } else {
            self.claims.cancel(id);
        }
    }

    /// Re-examines the jobs whose timers have expired.
    pub(super) fn run_timers(&mut self, now: Timestamp, effects: &mut Vec<GatewayEffect>) {
        while let Some((at, id)) = self.timers.first().copied() {
            if at > now {
                return;
            }
            self.timers.pop_first();
            self.refuse_or_give_up(now, id, effects);
        }
    }

    /// Ends all jobs at the limit of a graceful shutdown.
    pub(super) fn end_all_jobs(&mut self, now: Timestamp, effects: &mut Vec<GatewayEffect>) {
        let jobs: Vec<JobId> = self.jobs.keys().copied().collect();
        for id in jobs {
            let is_unstarted = self.jobs.get(&id).is_some_and(Job::is_unstarted);
            let answer = if is_unstarted {
                Answer::Refused {
                    reason: Refusal::Stopping,
                    retry_after: self.spread_retry_after(id, RETRY_DELAY),
                }
            } else {
                Answer::GivenUp
            };
            self.finish(now, id, answer, effects);
        }
    }

    fn capacity_refusal(
        &mut self,
        now: Timestamp,
        id: JobId,
        effects: &mut Vec<GatewayEffect>,
    ) -> Answer {
        if !self.has_worker(now) {
            return Answer::Refused {
                reason: Refusal::NoWorker,
                retry_after: self.spread_retry_after(id, RETRY_DELAY),
            };
        }
        let answer = self.overload_answer(now, id, RefusalCause::Wait, effects);
        answer.unwrap_or(Answer::Refused {
            reason: Refusal::Overloaded,
            retry_after: OVERLOAD_RETRY_DELAY,
        })
    }

    /// Ends a job whose refusal time or deadline has passed. While the backlog of a suspension
    /// is read, only the deadline counts.
    pub(super) fn refuse_or_give_up(
        &mut self,
        now: Timestamp,
        id: JobId,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        if now >= job.held_until {
            self.end_unconfirmed(now, id, effects);
            return;
        }
        let is_past_deadline = now >= job.deadline;
        if !is_past_deadline && self.suspension.is_reading_backlog(now) {
            return;
        }
        if job.is_unstarted() && (now >= job.refuse_at || is_past_deadline) {
            let answer = self.capacity_refusal(now, id, effects);
            self.finish(now, id, answer, effects);
        } else if is_past_deadline {
            self.finish(now, id, Answer::GivenUp, effects);
        }
    }
}
