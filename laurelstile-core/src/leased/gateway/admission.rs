//! Rejection of submitted jobs by forecast, and the retry delay of refusals.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use laurelstile_types::time::{Span, Timestamp};

use super::accepted_share::AcceptedShares;
use super::expected_ends::ExpectedEnds;
use super::forecast::{ExpectedWait, Forecast, wait_limit};
use super::job::{Job, Step, StepRequest};
use super::queues::QueueSettings;
use super::returns::{Returns, spread};
use super::{Answer, GatewayDecision, GatewayEffect, LeasedGateway, Refusal, RefusalCause};
use crate::leased::resources::Resources;
use crate::leased::task::JobId;

/// Minimum interval of the log lines and metrics of the forecasts.
const FORECAST_REPORT_INTERVAL: Span = Span::from_millis(1_000);

/// Time after a job's arrival at which its expected wait is examined again. A job that was admitted by
/// a wrong forecast is then refused while its caller still has time to go elsewhere.
const REVIEW_AFTER: Span = Span::from_millis(15);

/// At the review, while other queues of the service have a backlog, a job is rejected if its expected
/// wait is over the time until its refusal divided by this. Later jobs of these queues may be ordered
/// first.
const CONTENDED_REVIEW_DIVISOR: u64 = 3;

/// State of the policy for admission; empty while it is off.
#[derive(Debug, Default)]
pub struct Admission {
    pub forecast: Forecast,
    pub accepted_shares: AcceptedShares,
    pub returns: Returns,
    /// Jobs submitted since the last flush.
    pub submitted: BTreeSet<JobId>,
    /// When admitted jobs are examined again.
    reviews: BTreeSet<(Timestamp, JobId)>,
    reported_at: Timestamp,
}

impl Admission {
    /// The next time at which an admitted job is examined again.
    pub fn next_review(&self) -> Option<Timestamp> {
        self.reviews.first().map(|(at, _)| *at)
    }

    /// Removes and returns the jobs that are to be examined again by `now`.
    fn take_due_reviews(&mut self, now: Timestamp) -> BTreeSet<JobId> {
        let mut due = BTreeSet::new();
        while let Some((at, id)) = self.reviews.first().copied()
            && at <= now
        {
            self.reviews.pop_first();
            due.insert(id);
        }
        due
    }
}

/// Unstarted work ahead of a job, on the same kind of workers.
struct WorkAhead {
    queue: Arc<QueueSettings>,
    label: Option<String>,
    resources: Resources,
    work: u64,
    /// Thousandths of a core that its waiting tasks need.
    cpu_millis: u64,
}

/// When the expected wait of a job is examined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Examination {
    /// After its submission.
    Submission,
    /// [`REVIEW_AFTER`] its submission.
    Review,
}

impl WorkAhead {
    fn is_of(&self, queue: &QueueSettings, step: &StepRequest) -> bool {
        self.queue.name == queue.name
            && self.label == step.label
            && self.resources == step.resources
    }

    /// Whether the work takes the resources that a task of `step` waits for: it can use each worker
    /// that the task can use, and needs no more there. Other work may wait for resources that the
    /// task does not need.
    fn is_before(&self, queue: &QueueSettings, step: &StepRequest) -> bool {
        self.queue.service == queue.service
            && (self.label.is_none() || self.label == step.label)
            && self.resources.fits_in(step.resources)
    }
}

impl LeasedGateway {
    /// Rejects the jobs submitted since the last flush that would not be placed in time, and admitted
    /// ones that are examined again. Called after placement, so that jobs for which there are resources
    /// have been placed.
    pub(super) fn reject_by_forecast(&mut self, now: Timestamp, effects: &mut Vec<GatewayEffect>) {
        if self.policies.admission.is_none() {
            return;
        }
        let submitted = std::mem::take(&mut self.admission.submitted);
        let mut reviewed = self.admission.take_due_reviews(now);
        reviewed.retain(|id| self.jobs.get(id).is_some_and(Job::is_unstarted));
        for (id, expected) in self.rejections(now, &submitted, &reviewed) {
            self.reject(now, id, RefusalCause::Forecast(expected), effects);
        }
        self.reject_by_accepted_share(now, &submitted, effects);
        for id in reviewed {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.is_reviewed = true;
            }
        }
        for id in submitted {
            self.update_backlog(now, id);
            if self.jobs.get(&id).is_some_and(Job::is_unstarted) {
                self.admission.reviews.insert((now.after(REVIEW_AFTER), id));
            }
        }
        self.report_forecasts(now, effects);
    }

    fn reject(
        &mut self,
        now: Timestamp,
        id: JobId,
        cause: RefusalCause,
        effects: &mut Vec<GatewayEffect>,
    ) {
        if let Some(answer) = self.overload_answer(now, id, cause, effects) {
            self.finish(now, id, answer, effects);
        }
    }

    /// Rejects the share of the submitted jobs that will not be accepted, where the forecast leaves it
    /// open whether a single job is placed in time.
    fn reject_by_accepted_share(
        &mut self,
        now: Timestamp,
        submitted: &BTreeSet<JobId>,
        effects: &mut Vec<GatewayEffect>,
    ) {
        if self.suspension.is_reading_backlog(now) {
            return;
        }
        for id in submitted {
            let Some(job) = self.jobs.get(id).filter(|job| job.is_unstarted()) else {
                continue;
            };
            if !self.is_forecast_open(now, job) {
                continue;
            }
            let queue = Arc::clone(&job.queue);
            let shares = &mut self.admission.accepted_shares;
            if let Some(expected) = shares.take_rejection(now, &queue.name) {
                self.reject(now, *id, RefusalCause::AcceptedShare(expected), effects);
            }
        }
    }

    /// Whether the forecast does not decide about a submitted job: the drain rate of its queue is not
    /// known, or it says that the job waits too long while other queues, whose jobs may be placed
    /// first, have a backlog.
    fn is_forecast_open(&self, now: Timestamp, job: &Job) -> bool {
        let (forecast, queue) = (&self.admission.forecast, &job.queue.name);
        if forecast.drain_rate(now, queue).is_none() {
            return true;
        }
        let ahead = forecast.backlog(queue) + job.work();
        let rejection = forecast.rejection(now, queue, ahead, until_refusal(now, job));
        rejection.is_some() && self.has_other_backlog(&job.queue)
    }

    /// The submitted and reviewed jobs that are to be rejected. Jobs before a rejected one in the order
    /// of placement count as ahead of it, other rejected ones do not.
    fn rejections(
        &self,
        now: Timestamp,
        submitted: &BTreeSet<JobId>,
        reviewed: &BTreeSet<JobId>,
    ) -> Vec<(JobId, ExpectedWait)> {
        let may_reject = self.may_reject(now, submitted) || !reviewed.is_empty();
        if self.suspension.is_reading_backlog(now) || !may_reject {
            return Vec::new();
        }
        let mut rejections = Vec::new();
        let mut ahead: Vec<WorkAhead> = Vec::new();
        let mut ends: BTreeMap<&str, ExpectedEnds> = BTreeMap::new();
        for id in self.waiting_in_order(now) {
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            let index = job.placeable_steps().first().copied();
            let Some(index) = index.filter(|_| job.is_placeable_at(now)) else {
                continue;
            };
            let service = job.queue.service.as_str();
            let ends = ends.entry(service);
            let ends = ends.or_insert_with(|| self.expected_ends(now, service));
            let examination = if submitted.contains(&id) {
                Some(Examination::Submission)
            } else {
                reviewed.contains(&id).then_some(Examination::Review)
            };
            if let Some(examination) = examination
                && let Some(expected) = self.rejection_of(now, job, &ahead, ends, examination)
            {
                rejections.push((id, expected));
                continue;
            }
            let step = &job.steps[index].request;
            let count = u64::try_from(job.steps[index].waiting_count()).unwrap_or(u64::MAX);
            let cpu_millis = count.saturating_mul(u64::from(step.resources.cpu_millis));
            let work = job.work();
            if let Some(group) = ahead.iter_mut().find(|group| group.is_of(&job.queue, step)) {
                group.work += work;
                group.cpu_millis += cpu_millis;
                continue;
            }
            ahead.push(WorkAhead {
                queue: Arc::clone(&job.queue),
                label: step.label.clone(),
                resources: step.resources,
                work,
                cpu_millis,
            });
        }
        rejections
    }

    /// Whether any submitted job would be rejected if all unstarted work of its queue were ahead.
    /// Spares the ordering of the waiting jobs while the backlogs are short.
    fn may_reject(&self, now: Timestamp, submitted: &BTreeSet<JobId>) -> bool {
        let jobs = || submitted.iter().filter_map(|id| self.jobs.get(id));
        let unstarted = || jobs().filter(|job| job.is_unstarted());
        let new_work: u64 = unstarted().map(Job::work).sum();
        unstarted().any(|job| {
            let queue = &job.queue.name;
            let ahead = self.admission.forecast.backlog(queue) + new_work;
            let forecast = &self.admission.forecast;
            let rejection = forecast.rejection(now, queue, ahead, until_refusal(now, job));
            rejection.is_some()
        })
    }

    /// The forecast for a job that is to be rejected. A submitted job is rejected only if both the
    /// drain rate of its queue and the expected ends of runs say that it waits too long, since it is
    /// examined again. At the review either suffices.
    fn rejection_of(
        &self,
        now: Timestamp,
        job: &Job,
        ahead: &[WorkAhead],
        ends: &ExpectedEnds,
        examination: Examination,
    ) -> Option<ExpectedWait> {
        let left = until_refusal(now, job);
        match examination {
            Examination::Submission => {
                let limit = wait_limit(left);
                let by_rate = self.rejection_by_rate(now, job, ahead, limit)?;
                self.rejection_by_ends(now, job, ahead, ends, limit)
                    .map(|_| by_rate)
            }
            Examination::Review => {
                // Without other queues the expected ends are more exact than the drain rate, which lags
                // after workers come back.
                let (rate_limit, limit) = if self.has_other_backlog(&job.queue) {
                    let limit = Span(left.0 / CONTENDED_REVIEW_DIVISOR);
                    (limit, limit)
                } else {
                    (left, wait_limit(left))
                };
                let by_rate = self.rejection_by_rate(now, job, ahead, rate_limit);
                by_rate.or_else(|| self.rejection_by_ends(now, job, ahead, ends, limit))
            }
        }
    }

    /// Whether other queues of the service have unstarted jobs.
    fn has_other_backlog(&self, queue: &QueueSettings) -> bool {
        let queues = self.configuration.iter().flat_map(|known| &known.queues);
        let mut others =
            queues.filter(|other| other.service == queue.service && other.name != queue.name);
        others.any(|other| self.admission.forecast.backlog(&other.name) > 0)
    }

    /// The forecast for a job, if its wait is over `limit` by the drain rate of its queue.
    fn rejection_by_rate(
        &self,
        now: Timestamp,
        job: &Job,
        ahead: &[WorkAhead],
        limit: Span,
    ) -> Option<ExpectedWait> {
        let queue = &job.queue;
        let of_queue = || ahead.iter().filter(|work| work.queue.name == queue.name);
        let ahead_of = |step: &StepRequest| {
            let before = of_queue().filter(|work| work.is_before(queue, step));
            before.map(|work| work.work).sum::<u64>()
        };
        let least = waiting_steps(now, job).map(ahead_of).min()?;
        let forecast = &self.admission.forecast;
        forecast.wait_over(now, &queue.name, least, limit)
    }

    /// The forecast for a job, if its wait is over `limit` by the expected ends of the runs whose
    /// resources it and the jobs before it need. It is known in the same cases as the drain
    /// rate.
    fn rejection_by_ends(
        &self,
        now: Timestamp,
        job: &Job,
        ahead: &[WorkAhead],
        ends: &ExpectedEnds,
        limit: Span,
    ) -> Option<ExpectedWait> {
        let forecast = &self.admission.forecast;
        let by_rate = forecast.wait_over(now, &job.queue.name, u64::MAX, limit)?;
        let needed_by = |step: &StepRequest| {
            let before = ahead.iter().filter(|work| work.is_before(&job.queue, step));
            let before: u64 = before.map(|work| work.cpu_millis).sum();
            before.saturating_add(u64::from(step.resources.cpu_millis))
        };
        let needed = waiting_steps(now, job).map(needed_by).min()?;
        let Some(end) = ends.free_at(needed) else {
            // The runs of other gateways are not known.
            return self.rejection_by_rate(now, job, ahead, limit);
        };
        let wait = end.since(now);
        (wait > limit).then_some(ExpectedWait {
            wait,
            limit,
            ahead: ahead.iter().map(|work| work.work).sum(),
            drain_rate: by_rate.drain_rate,
        })
    }

    /// Adds a job to the backlog if it has become unstarted, or removes it if it no longer is.
    pub(super) fn update_backlog(&mut self, now: Timestamp, id: JobId) {
        if self.policies.admission.is_none() {
            return;
        }
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let (forecast, queue) = (&mut self.admission.forecast, &job.queue.name);
        match (job.backlog_work, job.is_unstarted()) {
            (None, true) => {
                let work = job.work();
                forecast.add(now, queue, work);
                job.backlog_work = Some(work);
            }
            (Some(work), false) => {
                forecast.remove(now, queue, work);
                job.backlog_work = None;
            }
            _ => {}
        }
    }

    /// Removes a job that has ended from the backlog.
    pub(super) fn remove_from_backlog(&mut self, now: Timestamp, job: &Job) {
        if let Some(work) = job.backlog_work {
            let forecast = &mut self.admission.forecast;
            forecast.remove(now, &job.queue.name, work);
        }
        self.admission.submitted.remove(&job.id);
    }

    /// Records that tasks of an unstarted job are being placed.
    pub(super) fn record_first_placement(&mut self, now: Timestamp, id: JobId) {
        if self.policies.admission.is_none() {
            return;
        }
        if let Some(job) = self.jobs.get_mut(&id).filter(|job| job.is_unstarted()) {
            let (forecast, work) = (&mut self.admission.forecast, job.work());
            let is_counted = forecast.record_placed(now, &job.queue.name, work);
            self.admission
                .accepted_shares
                .record_accepted(now, &job.queue.name);
            job.drained_work = is_counted.then_some(work);
        }
    }

    /// Records that agents have returned all placed tasks of a job without starting them.
    pub(super) fn record_returned_job(&mut self, now: Timestamp, id: JobId) {
        if self.policies.admission.is_none() {
            return;
        }
        if let Some(job) = self.jobs.get_mut(&id).filter(|job| job.is_unstarted())
            && let Some(work) = job.drained_work.take()
        {
            let forecast = &mut self.admission.forecast;
            forecast.record_returned(now, &job.queue.name, work);
            self.admission
                .accepted_shares
                .record_returned(now, &job.queue.name);
        }
        self.update_backlog(now, id);
    }

    /// The answer to a job that is refused for lack of capacity, with the delay after which its
    /// caller may return; `None` if there is no such job.
    pub(super) fn overload_answer(
        &mut self,
        now: Timestamp,
        id: JobId,
        cause: RefusalCause,
        effects: &mut Vec<GatewayEffect>,
    ) -> Option<Answer> {
        let max = self.max_retry_after()?;
        let job = self.jobs.get(&id)?;
        let queue = Arc::clone(&job.queue);
        let work = job.work();
        if now.since(job.arrival) >= REVIEW_AFTER {
            self.admission
                .accepted_shares
                .record_refusal(now, &queue.name);
        }
        let rate = self.known_drain_rate(now, &queue);
        let returns = &mut self.admission.returns;
        let retry_after = returns.reserve(now, &queue.service, queue.priority, work, rate, max);
        effects.push(GatewayEffect::Decided(
            GatewayDecision::RefusedForCapacity {
                job: id,
                queue,
                cause,
                retry_after,
            },
        ));
        Some(Answer::Refused {
            reason: Refusal::Overloaded,
            retry_after,
        })
    }

    /// Retry delay of a refusal that does not depend on the drain rate; `base` while the policy is
    /// off.
    pub(super) fn spread_retry_after(&self, id: JobId, base: Span) -> Span {
        self.max_retry_after()
            .map_or(base, |max| spread(id.0, base, max))
    }

    fn max_retry_after(&self) -> Option<Span> {
        let policy = self.policies.admission?;
        Some(Span::from_millis(policy.max_retry_after_millis))
    }

    /// Drain rate of a queue's service, in core-milliseconds per second; `None` if it is known of no
    /// queue.
    fn known_drain_rate(&self, now: Timestamp, queue: &QueueSettings) -> Option<f64> {
        // The queue may have left the configuration.
        let of_queue = self.admission.forecast.drain_rate(now, &queue.name);
        let of_service = self.service_drain_rate(now, &queue.service);
        let rate = of_service.max(of_queue.unwrap_or_default());
        (rate > 0.0).then_some(rate)
    }

    /// Total drain rate of the queues of a service, in core-milliseconds per second.
    fn service_drain_rate(&self, now: Timestamp, service: &str) -> f64 {
        let queues = self.configuration.iter().flat_map(|known| &known.queues);
        let queues = queues.filter(|queue| queue.service == service);
        let rates = queues.filter_map(|queue| self.admission.forecast.drain_rate(now, &queue.name));
        rates.sum()
    }

    fn report_forecasts(&mut self, now: Timestamp, effects: &mut Vec<GatewayEffect>) {
        if now.since(self.admission.reported_at) < FORECAST_REPORT_INTERVAL {
            return;
        }
        self.admission.reported_at = now;
        for queue in self.configuration.iter().flat_map(|known| &known.queues) {
            let backlog = self.admission.forecast.backlog(&queue.name);
            let drain_rate = self.admission.forecast.drain_rate(now, &queue.name);
            if backlog > 0 || drain_rate.is_some() {
                effects.push(GatewayEffect::Decided(GatewayDecision::QueueForecast {
                    queue: Arc::clone(queue),
                    backlog,
                    drain_rate: drain_rate.unwrap_or_default(),
                }));
            }
        }
    }
}

/// Time until the job is refused if nothing of it is placed.
fn until_refusal(now: Timestamp, job: &Job) -> Span {
    job.refuse_at.min(job.deadline).since(now)
}

/// The steps of an unstarted job whose tasks wait for resources only. Tasks that are placed
/// separately wait for exclusive workers, which the forecast does not know.
fn waiting_steps(now: Timestamp, job: &Job) -> impl Iterator<Item = &StepRequest> {
    let is_waiting = job.is_unstarted() && job.is_placeable_at(now);
    let steps = job.steps.iter().enumerate();
    steps
        .filter(move |(index, step)| is_waiting && !step.waiting.is_empty() && job.is_ready(*index))
        .map(|(_, Step { request, .. })| request)
}
