//! Preemption: which runs a worker loses so that a task of a queue within its fair share can start.
//!
//! Answers a burst of one queue whose long runs occupy the worker: a task of another queue would
//! wait longer for the next end than its objective allows. The decision loses the least
//! processing time, and a token bucket bounds what is lost.

use laurelstile_types::time::{Span, Timestamp};

use super::super::resources::Resources;
use super::super::task::TaskId;

/// How long a step waits before runs are stopped for it. Shorter waits often end without
/// preemption, since a busy worker ends tens of runs a second.
const MAX_PATIENCE: Span = Span::from_millis(20);
/// A step waits at most its announced time divided by this: the rest is left for the stop, the
/// offer and the start.
const PATIENCE_DIVISOR: u64 = 2;
/// A run that has more of its run time behind it than this is not stopped.
const MAX_DONE_PERCENT: u64 = 50;
/// A run that is expected to end within this time is not stopped: its resources become free
/// about as soon as those of a stopped run.
const MIN_REMAINING: Span = Span::from_millis(50);
/// Time in which an unused budget accumulates. Bursts are much longer, so that a bucket of this
/// size has little influence on the long-term rate.
const BUDGET_PERIOD: Span = Span::from_secs(2);

/// Processing time, in thousandths of a core times microseconds (core-nanoseconds).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct CoreTime(pub u64);

impl CoreTime {
    /// What `resources` process in `span`.
    pub fn of(resources: Resources, span: Span) -> Self {
        Self(u64::from(resources.cpu_millis).saturating_mul(span.0))
    }

    /// In core-milliseconds, rounded up.
    pub fn as_core_millis(self) -> u64 {
        self.0.div_ceil(1_000_000)
    }

    fn saturating_add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }

    fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

/// When a step that was announced at `since` for `ttl` may have runs stopped.
pub fn preemption_due(since: Timestamp, ttl: Span) -> Timestamp {
    since.after(MAX_PATIENCE.min(Span(ttl.0 / PATIENCE_DIVISOR)))
}

/// A run that its gateway allows to be stopped for other queues.
#[derive(Clone, Copy, Debug)]
pub struct PreemptibleRun {
    /// Task of the run.
    pub task: TaskId,
    /// Resources that become free with its end.
    pub resources: Resources,
    /// Time since the start.
    pub elapsed: Span,
    /// Expected run time on this worker.
    pub expected: Span,
    /// Latest progress that the worker has listed, in percent.
    pub percent: u32,
}

impl PreemptibleRun {
    /// Whether at most half of the run is done and it does not end soon, by its elapsed time and
    /// by its listed progress. The listed progress is up to a watch old, and estimates are rough,
    /// so both must agree.
    pub fn is_far_from_end(&self) -> bool {
        let percent = u64::from(self.percent.min(100));
        let is_half_elapsed =
            self.elapsed.0.saturating_mul(100) > self.expected.0.saturating_mul(MAX_DONE_PERCENT);
        if percent > MAX_DONE_PERCENT || is_half_elapsed {
            return false;
        }
        let remaining = self.expected.0.saturating_sub(self.elapsed.0);
        let by_progress = (self.elapsed.0.saturating_mul(100 - percent))
            .checked_div(percent)
            .unwrap_or(u64::MAX);
        remaining.min(by_progress) > MIN_REMAINING.0
    }

    /// Processing time that is lost if the run is stopped.
    pub fn loss(&self) -> CoreTime {
        CoreTime::of(self.resources, self.elapsed)
    }
}

/// Resources that a waiting task lacks on a worker.
#[derive(Clone, Copy, Debug)]
pub struct Shortage {
    /// Total resources of the worker.
    pub capacity: Resources,
    /// Resources that are taken or reserved, except by runs that are already being stopped.
    pub committed: Resources,
    /// Resources that the waiting task needs.
    pub needed: Resources,
}

impl Shortage {
    /// Whether the task fits once `freed` of the committed resources are free.
    pub fn is_covered_by(&self, freed: Resources) -> bool {
        let committed = self.committed.saturating_sub(freed);
        committed.saturating_add(self.needed).fits_in(self.capacity)
    }
}

/// Runs to stop.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Choice {
    /// Tasks of the runs.
    pub tasks: Vec<TaskId>,
    /// Processing time that is lost with them.
    pub loss: CoreTime,
}

impl Choice {
    fn of(runs: &[PreemptibleRun]) -> Self {
        let losses = runs.iter().map(PreemptibleRun::loss);
        Self {
            tasks: runs.iter().map(|run| run.task).collect(),
            loss: losses.fold(CoreTime::default(), CoreTime::saturating_add),
        }
    }
}

/// The runs to stop so that a waiting task fits; `None` if it fits without, if no allowed runs
/// suffice, or if those would lose more than `budget`. Loses at most as much as any single run that
/// suffices; the least loss of several runs is approximated.
pub fn choose_runs(
    shortage: &Shortage,
    runs: &[PreemptibleRun],
    budget: CoreTime,
) -> Option<Choice> {
    if shortage.is_covered_by(Resources::default()) {
        return None;
    }
    let mut allowed: Vec<PreemptibleRun> = runs
        .iter()
        .filter(|run| run.is_far_from_end())
        .copied()
        .collect();
    allowed.sort_unstable_by_key(|run| (run.loss(), run.task));
    let single = allowed
        .iter()
        .find(|run| shortage.is_covered_by(run.resources))
        .map(|run| Choice::of(&[*run]));
    let several = cheapest_covering(shortage, &allowed).map(|runs| Choice::of(&runs));
    let choice = single
        .into_iter()
        .chain(several)
        .min_by_key(|choice| choice.loss)?;
    (choice.loss <= budget).then_some(choice)
}

/// The shortest prefix of `runs`, in order of loss, that covers the shortage, without the runs that
/// it does not need.
fn cheapest_covering(shortage: &Shortage, runs: &[PreemptibleRun]) -> Option<Vec<PreemptibleRun>> {
    let mut chosen = Vec::new();
    let mut freed = Resources::default();
    let mut remaining = runs.iter();
    while !shortage.is_covered_by(freed) {
        let run = remaining.next()?;
        freed = freed.saturating_add(run.resources);
        chosen.push(*run);
    }
    // The costly runs come last; each is kept only if the task does not fit without it.
    for index in (0..chosen.len()).rev() {
        let without = freed.saturating_sub(chosen[index].resources);
        if shortage.is_covered_by(without) {
            freed = without;
            chosen.remove(index);
        }
    }
    Some(chosen)
}

/// Token bucket for the processing time that preemption may discard on a worker.
#[derive(Clone, Copy, Debug, Default)]
pub struct PreemptionBudget {
    /// Processing time that may be discarded, in percent of the capacity.
    percent: u32,
    /// What was discarded and is not refilled yet.
    spent: CoreTime,
    /// Until when `spent` is refilled.
    refilled_at: Timestamp,
}

impl PreemptionBudget {
    /// Puts another rate into force, in percent of `capacity`.
    pub fn set_percent(&mut self, now: Timestamp, capacity: Resources, percent: u32) {
        self.refill(now, capacity);
        self.percent = percent;
    }

    /// What may be discarded at `now` on a worker of this capacity.
    pub fn available(&mut self, now: Timestamp, capacity: Resources) -> CoreTime {
        self.refill(now, capacity);
        self.accrued(capacity, BUDGET_PERIOD)
            .saturating_sub(self.spent)
    }

    /// Records that `loss` is discarded.
    pub fn spend(&mut self, loss: CoreTime) {
        self.spent = self.spent.saturating_add(loss);
    }

    fn refill(&mut self, now: Timestamp, capacity: Resources) {
        let refilled = self.accrued(capacity, now.since(self.refilled_at));
        self.spent = self.spent.saturating_sub(refilled);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// What may be discarded in `span`.
    fn accrued(&self, capacity: Resources, span: Span) -> CoreTime {
        let total = CoreTime::of(capacity, span).0;
        CoreTime(total.saturating_mul(u64::from(self.percent)) / 100)
    }
}
