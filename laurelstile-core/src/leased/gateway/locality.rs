//! Locality: what it costs to run a step far from its data, and how long to wait for a worker near
//! it.
//!
//! The pace of a worker and the distance from the data are separate factors. A worker's pace is
//! learned by its agent; the factor of a remote run is a setting of the deployment. A step whose
//! near workers are all full waits for one of them as long as the wait costs less than the remote
//! run (delay scheduling). Without the `locality` policy nothing of this takes effect.

use std::sync::Arc;

use laurelstile_types::time::{Span, Timestamp};

use super::job::{Job, StepRequest};
use super::policies::LocalityPolicy;
use super::queues::QueueSettings;
use super::workers::Worker;
use super::{GatewayDecision, GatewayEffect, LeasedGateway};
use crate::leased::resources::Resources;
use crate::leased::task::JobId;

/// Use of a service's cores, in thousandths, above which the service counts as contended.
const CONTENDED_USE_PERMILLE: u64 = 900;
/// Under contention, a remote run costs its additional core-time as well as its additional time.
const CONTENDED_PRICE_FACTOR: u64 = 2;
/// Maximum wait for a near worker without contention, in percent of the time until the refusal.
/// Free remote workers are then available, and the other half is left for them.
const MAX_WAIT_PERCENT: u64 = 50;
/// Minimum wait for a near worker under contention, in percent of the time until the refusal.
const MIN_CONTENDED_WAIT_PERCENT: u64 = 50;
/// Maximum wait for a near worker under contention, in percent of the time until the refusal. The
/// rest is left for a remote worker to become free.
const MAX_CONTENDED_WAIT_PERCENT: u64 = 75;
/// Part of the time until the refusal, in percent, after which a step takes a remote worker although
/// it will be late there, if it would otherwise be refused while capacity is free.
const LAST_RESORT_PERCENT: u64 = 90;

/// Run time far from a step's data relative to the run time near it, at least 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RemoteFactor {
    permille: u64,
}

impl RemoteFactor {
    /// The factor of a policy. Values below 1 count as 1.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "checked settings are between 1 and 10"
    )]
    pub fn new(factor: f64) -> Self {
        let permille = (factor * 1_000.0).round() as u64;
        Self {
            permille: permille.max(1_000),
        }
    }

    /// Whether the distance from the data makes no difference.
    pub fn is_neutral(self) -> bool {
        self.permille == 1_000
    }

    /// Run time of a remote run that would take `near` near the data.
    pub fn multiply(self, near: Span) -> Span {
        Span(near.0.saturating_mul(self.permille) / 1_000)
    }

    /// Run time near the data of a run that takes `remote` far from it.
    pub fn divide(self, remote: Span) -> Span {
        Span(remote.0.saturating_mul(1_000) / self.permille)
    }
}

/// Expected run time on a worker whose run times are `run_time_percent` of the nominal ones, of a
/// task with the nominal run time `estimate`. `remote` is the factor if the worker is far from the
/// data.
pub fn expected_run_time(
    estimate: Span,
    run_time_percent: u32,
    remote: Option<RemoteFactor>,
) -> Span {
    let run_time = Span(estimate.0.saturating_mul(u64::from(run_time_percent)) / 100);
    remote.map_or(run_time, |factor| factor.multiply(run_time))
}

/// Whether more than [`CONTENDED_USE_PERMILLE`] of `capacity` is in use; both in thousandths of a
/// core. A service without capacity is not contended.
pub fn is_contended(used: u64, capacity: u64) -> bool {
    used.saturating_mul(1_000) > capacity.saturating_mul(CONTENDED_USE_PERMILLE)
}

/// A remote run that would be in time by less than this is started at once instead of waiting for a
/// near worker: it covers the callers' round trip and the way to the agent, which are not part of the
/// expected run time.
const IN_TIME_MARGIN: Span = Span::from_millis(10);

/// What is known of a step with data when a remote worker has free resources for it.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Expected run time on the best near worker with free resources; `None` if all are full.
    pub near_free: Option<Span>,
    /// Expected run time on the fastest usable near worker, full or not; `None` if none is usable.
    pub near: Option<Span>,
    /// Expected run time on the remote worker.
    pub remote: Span,
    /// How long the step has waited for a near worker.
    pub waited: Span,
    /// Time from the start of that wait until the job is refused.
    pub refused_after: Span,
    /// Time left until the job's objective passes.
    pub objective_left: Span,
    /// Whether the service is contended.
    pub is_contended: bool,
    /// Whether a task of the job may have started, so that it can no longer be refused as not run.
    pub is_started: bool,
}

/// Where a step with data goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// To the near worker with free resources.
    Near,
    /// To the remote worker, now.
    Remote,
    /// It waits for a near worker, until it has waited for this long in all.
    Wait(Span),
}

/// Decides between a near worker, a remote one and a further wait.
pub fn decide(options: &Options) -> Decision {
    if let Some(near_free) = options.near_free {
        return if near_free <= options.remote {
            Decision::Near
        } else {
            Decision::Remote
        };
    }
    let Some(near) = options.near else {
        return Decision::Remote;
    };
    if options.remote <= near {
        return Decision::Remote;
    }
    let is_only_remote_in_time =
        options.remote <= options.objective_left && near > options.objective_left;
    if is_only_remote_in_time {
        return Decision::Remote;
    }
    let wait = wait_for_near(options, near);
    if options.waited >= wait {
        Decision::Remote
    } else {
        Decision::Wait(wait)
    }
}

/// How long a step waits for a near worker whose expected run time `near` is shorter than that of the
/// remote one.
fn wait_for_near(options: &Options, near: Span) -> Span {
    let part = |percent: u64| Span(options.refused_after.0.saturating_mul(percent) / 100);
    let additional = options.remote.0.saturating_sub(near.0);
    let price = if options.is_contended {
        additional.saturating_mul(CONTENDED_PRICE_FACTOR)
    } else {
        additional
    };
    if options.is_started {
        return Span(price.min(part(MAX_WAIT_PERCENT).0));
    }
    let is_late = options.remote > options.objective_left && near <= options.objective_left;
    match (is_late, options.is_contended) {
        // A late run with additional core-time would only delay other jobs: the step waits for a near
        // worker until the job is refused.
        (true, true) => Span(options.refused_after.0.saturating_add(1)),
        (true, false) => part(LAST_RESORT_PERCENT),
        (false, true) => {
            let min = part(MIN_CONTENDED_WAIT_PERCENT).0;
            Span(price.clamp(min, part(MAX_CONTENDED_WAIT_PERCENT).0))
        }
        (false, false) => {
            let in_time_by = options.objective_left.0.saturating_sub(options.remote.0);
            let usable_wait = in_time_by.saturating_sub(IN_TIME_MARGIN.0) + options.waited.0;
            let is_possible = near <= options.objective_left;
            let bound = if is_possible { usable_wait } else { u64::MAX };
            Span(price.min(part(MAX_WAIT_PERCENT).0).min(bound))
        }
    }
}

/// The wait of a step for a worker near its data.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NearWait {
    /// When the step was first considered for placement.
    pub since: Timestamp,
    /// Whether a remote worker with free resources was passed over.
    pub has_passed_over: bool,
}

/// Paces of the usable workers of a step with data, in percent of the nominal run time.
#[derive(Clone, Debug, Default)]
struct Paces {
    /// The fastest near worker; `None` if none is usable.
    near: Option<u32>,
    /// All remote workers, the fastest first.
    remote: Arc<[u32]>,
}

/// Amounts of resources that fit into the capacity of the same workers.
#[derive(Clone, Debug)]
pub struct FittingClass {
    /// The least capacity of each kind among the workers that they fit in; `None` if there is none.
    least_fitting: Option<Resources>,
    /// The distinct capacities of the workers that they do not fit in.
    too_small: Vec<Resources>,
}

impl FittingClass {
    /// The class of `resources` among workers of these capacities.
    pub fn new(resources: Resources, capacities: impl IntoIterator<Item = Resources>) -> Self {
        let (mut least_fitting, mut too_small): (Option<Resources>, Vec<_>) = (None, Vec::new());
        for capacity in capacities {
            if resources.fits_in(capacity) {
                let least = least_fitting.map_or(capacity, |least| least.min(capacity));
                least_fitting = Some(least);
            } else if !too_small.contains(&capacity) {
                too_small.push(capacity);
            }
        }
        Self {
            least_fitting,
            too_small,
        }
    }

    /// Whether `resources` fit into the same workers.
    pub fn contains(&self, resources: Resources) -> bool {
        let fits = |capacity: &Resources| resources.fits_in(*capacity);
        self.least_fitting.as_ref().is_none_or(fits) && !self.too_small.iter().any(fits)
    }
}

/// [`Paces`] for steps with the same requirements.
#[derive(Debug)]
struct CachedPaces {
    queue: Arc<QueueSettings>,
    label: Option<String>,
    near: String,
    /// Classes instead of exact amounts bound the number of entries where resources differ by job.
    resources: FittingClass,
    paces: Paces,
}

/// What a flush has found out about locality, so that each question is answered once.
#[derive(Debug, Default)]
pub(super) struct LocalityRound {
    contended: Vec<(String, bool)>,
    paces: Vec<CachedPaces>,
}

impl LocalityRound {
    /// Has the contention determined again, after placements have changed the use of the cores.
    pub(super) fn forget_contention(&mut self) {
        self.contended.clear();
    }
}

/// The circumstances of a step with data during a round of placement.
#[derive(Clone, Debug)]
pub(super) struct StepLocality {
    factor: RemoteFactor,
    paces: Paces,
    estimate: Span,
    waited: Span,
    refused_after: Span,
    objective_left: Span,
    is_contended: bool,
    is_started: bool,
}

impl StepLocality {
    /// The decision for a remote worker of this pace while all near workers are full.
    fn decide_if_near_is_full(&self, run_time_percent: u32) -> Decision {
        decide(&Options {
            near_free: None,
            near: self
                .paces
                .near
                .map(|percent| expected_run_time(self.estimate, percent, None)),
            remote: expected_run_time(self.estimate, run_time_percent, Some(self.factor)),
            waited: self.waited,
            refused_after: self.refused_after,
            objective_left: self.objective_left,
            is_contended: self.is_contended,
            is_started: self.is_started,
        })
    }

    /// Whether the step may take a remote worker of this pace while all near workers are full.
    pub(super) fn allows_remote(&self, run_time_percent: u32) -> bool {
        self.decide_if_near_is_full(run_time_percent) == Decision::Remote
    }

    /// Whether the step may take any remote worker.
    pub(super) fn allows_any_remote(&self) -> bool {
        self.first_remote()
            .any(|percent| self.allows_remote(percent))
    }

    /// The paces of the remote workers that may be used first: the fastest one, where the additional
    /// run time is the least, and the slowest one that is in time, which will be late first.
    fn first_remote(&self) -> impl Iterator<Item = u32> {
        let is_in_time = |percent: &u32| {
            let run_time = expected_run_time(self.estimate, *percent, Some(self.factor));
            run_time <= self.objective_left
        };
        let in_time = self.paces.remote.partition_point(is_in_time);
        let fastest = self.paces.remote.first();
        let slowest = self.paces.remote[..in_time].last();
        fastest.into_iter().chain(slowest).copied()
    }

    /// Whether a near worker is usable. If none is, the step is placed like one without data.
    pub(super) fn has_near(&self) -> bool {
        self.paces.near.is_some()
    }

    /// How long the step waits in all before it takes a remote worker; `None` if it does not wait, or
    /// no remote worker is usable.
    fn wait(&self) -> Option<Span> {
        let waits =
            self.first_remote()
                .filter_map(|percent| match self.decide_if_near_is_full(percent) {
                    Decision::Wait(wait) => Some(wait),
                    Decision::Near | Decision::Remote => None,
                });
        waits.min()
    }
}

impl LeasedGateway {
    /// The factor of remote runs, or `None` if the policy is off or the factor is 1.
    pub(super) fn remote_factor(&self) -> Option<RemoteFactor> {
        let LocalityPolicy { remote_factor } = self.policies.locality?;
        let factor = RemoteFactor::new(remote_factor);
        (!factor.is_neutral()).then_some(factor)
    }

    /// The factor of runs of a step on `worker`, or `None` if the worker is near the step's data, the
    /// step has none, or the policy is off.
    pub(super) fn remote_factor_on(
        &self,
        request: &StepRequest,
        worker: &Worker,
    ) -> Option<RemoteFactor> {
        let factor = self.remote_factor()?;
        worker.is_remote_from(request).then_some(factor)
    }

    /// Circumstances of a step with data; `None` if the step has no data or the policy is off.
    pub(super) fn step_locality(
        &self,
        now: Timestamp,
        job: &Job,
        step: usize,
        round: &mut LocalityRound,
    ) -> Option<StepLocality> {
        let factor = self.remote_factor()?;
        let step = &job.steps[step];
        let near = step.request.near.as_ref()?;
        let paces = self.paces(now, job, &step.request, near, round);
        let since = step.near_wait.map_or(now, |wait| wait.since);
        // A job that has started is not refused any more; it waits no longer than one that has not.
        let refused_after = if job.is_unstarted() {
            job.refuse_at.since(since)
        } else {
            job.refuse_at.since(job.arrival)
        };
        Some(StepLocality {
            factor,
            paces,
            estimate: step.request.estimate,
            waited: now.since(since),
            refused_after,
            objective_left: job.arrival.after(job.objective).since(now),
            is_contended: self.is_service_contended(now, &job.queue.service, round),
            is_started: !job.is_unstarted(),
        })
    }

    fn paces(
        &self,
        now: Timestamp,
        job: &Job,
        request: &StepRequest,
        near: &str,
        round: &mut LocalityRound,
    ) -> Paces {
        let is_same = |cached: &&CachedPaces| {
            cached.queue.name == job.queue.name
                && cached.near == near
                && cached.label == request.label
                && cached.resources.contains(request.resources)
        };
        if let Some(cached) = round.paces.iter().find(is_same) {
            return cached.paces.clone();
        }
        let (mut fastest_near, mut remote): (Option<u32>, Vec<u32>) = (None, Vec::new());
        let mut capacities = Vec::new();
        for (agent, worker) in &self.workers {
            let is_suitable = worker.is_usable(now, &job.queue.service)
                && worker.has_required_label(request)
                && self.may_use_worker(&job.queue, *agent);
            let Some(snapshot) = worker.snapshot.as_ref().filter(|_| is_suitable) else {
                continue;
            };
            capacities.push(snapshot.capacity);
            if request.resources.fits_in(snapshot.capacity) {
                let percent = worker.report.run_time_percent;
                if worker.has_label(near) {
                    fastest_near = Some(fastest_near.map_or(percent, |best| best.min(percent)));
                } else {
                    remote.push(percent);
                }
            }
        }
        remote.sort_unstable();
        let paces = Paces {
            near: fastest_near,
            remote: remote.into(),
        };
        round.paces.push(CachedPaces {
            queue: Arc::clone(&job.queue),
            label: request.label.clone(),
            near: near.to_owned(),
            resources: FittingClass::new(request.resources, capacities),
            paces: paces.clone(),
        });
        paces
    }

    /// Whether the queues of `service` demand more than its capacity, by the reported usage, or the
    /// cores of its usable workers are used to over 90%.
    fn is_service_contended(
        &self,
        now: Timestamp,
        service: &str,
        round: &mut LocalityRound,
    ) -> bool {
        let known = round.contended.iter().find(|(name, _)| name == service);
        if let Some((_, is_contended)) = known {
            return *is_contended;
        }
        let usable = self.workers.values();
        let usable = usable.filter(|worker| worker.is_usable(now, service));
        let (mut used, mut capacity) = (0, 0);
        for worker in usable {
            let snapshot = worker.snapshot.as_ref();
            let total = snapshot.map_or(0, |snapshot| u64::from(snapshot.capacity.cpu_millis));
            let free = u64::from(worker.free_resources().cpu_millis);
            capacity += total;
            used += total.saturating_sub(free);
        }
        let is_contended = is_contended(used, capacity) || self.is_under_contention(now, service);
        round.contended.push((service.to_owned(), is_contended));
        is_contended
    }

    /// Records when a step with data was first considered for placement.
    pub(super) fn begin_near_wait(&mut self, now: Timestamp, id: JobId, step: usize) {
        if self.remote_factor().is_none() {
            return;
        }
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let state = &mut job.steps[step];
        if state.request.near.is_some() {
            state.near_wait.get_or_insert(NearWait {
                since: now,
                has_passed_over: false,
            });
        }
    }

    /// Sets a timer for the time at which a step that waits for a near worker may take a remote one.
    /// Also while all remote workers are full: the step is then announced to their agents.
    /// `is_far_only`: whether only remote workers have free resources.
    pub(super) fn set_near_wait_timer(
        &mut self,
        id: JobId,
        step: usize,
        locality: &StepLocality,
        is_far_only: bool,
    ) {
        let (Some(wait), Some(job)) = (locality.wait(), self.jobs.get_mut(&id)) else {
            return;
        };
        let Some(near_wait) = &mut job.steps[step].near_wait else {
            return;
        };
        near_wait.has_passed_over |= is_far_only;
        let until = near_wait.since.after(wait);
        let next = self.next_near_wait_end.unwrap_or(until);
        self.next_near_wait_end = Some(next.min(until));
    }

    /// Records where tasks of a step with data were placed, and ends the step's wait for a near
    /// worker once none of its tasks waits.
    pub(super) fn on_data_placed(
        &mut self,
        now: Timestamp,
        id: JobId,
        step: usize,
        tasks: u32,
        is_remote: bool,
        effects: &mut Vec<GatewayEffect>,
    ) {
        if self.remote_factor().is_none() {
            return;
        }
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let state = &mut job.steps[step];
        if state.request.near.is_none() {
            return;
        }
        effects.push(GatewayEffect::Decided(GatewayDecision::DataPlaced {
            queue: Arc::clone(&job.queue),
            tasks,
            is_remote,
        }));
        if state.waiting_count() > 0 {
            return;
        }
        let wait = state.near_wait.take();
        if let Some(wait) = wait.filter(|wait| wait.has_passed_over) {
            effects.push(GatewayEffect::Decided(GatewayDecision::WaitedForNear {
                job: id,
                queue: Arc::clone(&job.queue),
                waited: now.since(wait.since),
                is_remote,
            }));
        }
    }
}
