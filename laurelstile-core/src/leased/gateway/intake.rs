//! Jobs in, answers out.

use laurelstile_types::time::{Span, Timestamp};

use super::job::{CallNumber, Job, JobRequest};
use super::stages::StageTimes;
use super::{Answer, GatewayDecision, GatewayEffect, LeasedGateway, Refusal};
use crate::leased::task::JobId;

/// When to come back after a refusal that time alone mends.
pub(super) const RETRY_SOON: Span = Span::from_millis(1_000);
/// When to come back after a refusal for want of room.
const RETRY_AFTER_OVERLOAD: Span = Span::from_millis(500);

/// How long a gateway without any worker lets jobs wait for one, as if the workers
/// were full. After a loss of power the agents are back within this time; a longer
/// outage is told to callers at once.
const WORKER_PATIENCE: Span = Span::from_millis(1_000);

/// A job is refused at once if its caller will wait for less than this part of the
/// time that it is expected to run: half, since the expectation is rough.
const LEAST_TIME_DIVISOR: u64 = 2;

/// A stopping gateway still takes a job if so many times its objective is left.
const STOPPING_MARGIN: u64 = 2;

impl LeasedGateway {
    pub(super) fn on_submit(
        &mut self,
        now: Timestamp,
        call: CallNumber,
        mut request: JobRequest,
        effects: &mut Vec<GatewayEffect>,
    ) {
        if let Some(job) = self.jobs.get_mut(&request.id) {
            // The same job again: it stays one job.
            job.calls.push(call);
            self.calls.insert(call, request.id);
            return;
        }
        let id = request.id;
        let queue = request.queue.clone();
        let waited = self.way_in.delay(now);
        request.time_left = Span(request.time_left.0.saturating_sub(waited.0));
        self.note_workers(now);
        if let Some(reason) = self.refusal_of(now, &request) {
            let until = self.is_shut_out(now, &request.queue).unwrap_or_default();
            let answer = Answer::Refused {
                reason,
                retry_after: Span(until.since(now).0.max(RETRY_SOON.0)),
            };
            self.answer_at_once(call, &request, waited, answer, effects);
            return;
        }
        if let Some(answer) = self.known_end_of(now, id) {
            self.answer_at_once(call, &request, waited, answer, effects);
            return;
        }
        let arrival = Timestamp(now.0.saturating_sub(waited.0));
        let mut job = Job::new(arrival, call, request, &self.run_times);
        job.way_in = waited;
        self.set_known_apart(&mut job);
        job.group = self.shares.group_of(&job.queue.name, job.work());
        effects.push(GatewayEffect::Decided(GatewayDecision::Taken {
            job: id,
            queue,
            tasks: job.steps.iter().map(|step| step.request.count).sum(),
            objective: job.objective,
            version: self.configuration.as_ref().map_or(0, |known| known.version),
        }));
        self.calls.insert(call, id);
        self.waiting.insert((job.latest_start, id));
        self.timers.insert((job.refuse_at, id));
        self.timers.insert((job.deadline, id));
        self.jobs.insert(id, job);
        if self.standstill.is_reading(now) {
            self.pause(id, self.standstill.reading_until());
        }
    }

    /// How a job has ended that is handed in again, if that is known.
    fn known_end_of(&self, now: Timestamp, id: JobId) -> Option<Answer> {
        if self.cancels.contains(now, id) {
            return Some(Answer::Cancelled);
        }
        self.poison_task_of(id).map(|_| Answer::Failed)
    }

    /// Answers a call whose job is not taken.
    fn answer_at_once(
        &self,
        call: CallNumber,
        request: &JobRequest,
        way_in: Span,
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
                way_in,
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
        if request.time_left < self.least_time(request) {
            return Some(Refusal::DeadlineOver);
        }
        if self.is_closed_to(now, request) {
            return Some(Refusal::Stopping);
        }
        if self.is_evacuated(now, &request.queue.service) {
            return Some(Refusal::Evacuated);
        }
        if self.is_shut_out(now, &request.queue).is_some() {
            return Some(Refusal::Contained);
        }
        let patience_ends = self.without_worker_since?.after(WORKER_PATIENCE);
        (now > patience_ends).then_some(Refusal::NoWorker)
    }

    /// Notes since when there is no worker at all.
    fn note_workers(&mut self, now: Timestamp) {
        if self.has_worker(now) {
            self.without_worker_since = None;
        } else {
            self.without_worker_since.get_or_insert(now);
        }
    }

    /// A job whose caller goes before this has passed is not worth a start: callers
    /// whose connection was taken late have waited elsewhere already.
    fn least_time(&self, request: &JobRequest) -> Span {
        let expected = self
            .run_times
            .expected(&request.queue.name, request.chain());
        Span((expected.0 / LEAST_TIME_DIVISOR).max(1))
    }

    /// Whether the process stops and the job comes too late. Callers that have kept
    /// their connections may still hand in, after the overlap, what is sure to be done
    /// before the limit.
    fn is_closed_to(&self, now: Timestamp, request: &JobRequest) -> bool {
        let Some(since) = self.stopping_since else {
            return false;
        };
        let times = self.identity.stop;
        let objective = request.queue.objective(request.chain());
        let done_by = now.after(Span(objective.0 * STOPPING_MARGIN));
        let is_short = done_by <= since.after(times.limit);
        self.stop_reported || (now >= since.after(times.overlap) && !is_short)
    }

    pub(super) fn on_caller_gone(
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

    /// Answers a job's callers, and stops what is left of it.
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
        let is_in_time = answer == Answer::Completed && age <= job.objective;
        if answer != Answer::Cancelled {
            self.shares
                .note(now, &job.queue.name, job.group, is_in_time);
        }
        self.remove_job(now, id, effects);
    }

    fn remove_job(&mut self, now: Timestamp, id: JobId, effects: &mut Vec<GatewayEffect>) {
        let Some(job) = self.jobs.remove(&id) else {
            return;
        };
        for call in &job.calls {
            self.calls.remove(call);
        }
        self.waiting.remove(&(job.latest_start, id));
        self.timers.remove(&(job.refuse_at, id));
        self.timers.remove(&(job.deadline, id));
        self.timers.remove(&(job.not_before, id));
        if job.placed > 0 {
            self.stop_tasks(now, id, effects);
        }
    }

    /// Refuses or gives up the jobs whose time has come.
    pub(super) fn run_timers(&mut self, now: Timestamp, effects: &mut Vec<GatewayEffect>) {
        while let Some((at, id)) = self.timers.first().copied() {
            if at > now {
                return;
            }
            self.timers.pop_first();
            self.refuse_or_give_up(now, id, effects);
        }
    }

    /// Ends all jobs: the process is about to end.
    pub(super) fn end_all_jobs(&mut self, now: Timestamp, effects: &mut Vec<GatewayEffect>) {
        let jobs: Vec<JobId> = self.jobs.keys().copied().collect();
        for id in jobs {
            let is_untouched = self.jobs.get(&id).is_some_and(Job::is_untouched);
            let answer = if is_untouched {
                Answer::Refused {
                    reason: Refusal::Stopping,
                    retry_after: RETRY_SOON,
                }
            } else {
                Answer::GivenUp
            };
            self.finish(now, id, answer, effects);
        }
    }

    fn refusal_for_want_of_room(&self, now: Timestamp) -> Answer {
        let (reason, retry_after) = if self.has_worker(now) {
            (Refusal::Overloaded, RETRY_AFTER_OVERLOAD)
        } else {
            (Refusal::NoWorker, RETRY_SOON)
        };
        Answer::Refused {
            reason,
            retry_after,
        }
    }

    /// Ends a job that has had its time.
    pub(super) fn refuse_or_give_up(
        &mut self,
        now: Timestamp,
        id: JobId,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let is_over = now >= job.deadline;
        if !is_over && self.standstill.is_reading(now) {
            return;
        }
        if job.is_untouched() && (now >= job.refuse_at || is_over) {
            let answer = self.refusal_for_want_of_room(now);
            self.finish(now, id, answer, effects);
        } else if is_over {
            self.finish(now, id, Answer::GivenUp, effects);
        }
    }
}
