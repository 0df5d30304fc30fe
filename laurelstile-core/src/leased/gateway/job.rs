//! The state of a job at its gateway: steps, tasks and attempts.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use laurelstile_types::time::{Span, Timestamp};

use super::super::checkpoint::Checkpoint;
use super::super::input::JobInput;
use super::super::resources::Resources;
use super::super::task::{JobId, RunId, RunNumber, TaskId};
use super::super::timing::CALLER_RETRY_DELAY;
use super::locality::{NearWait, RemoteFactor};
use super::on_time_rates::SizeGroup;
use super::queues::QueueSettings;
use super::run_times::RunTimes;
use super::stages::StageTimes;

/// Number of a caller's request, unique within this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallNumber(pub u64);

/// A job as submitted by its caller.
#[derive(Clone, Debug)]
pub struct JobRequest {
    /// Job id, chosen by the caller.
    pub id: JobId,
    /// Settings of the queue that the job was submitted to.
    pub queue: Arc<QueueSettings>,
    /// The input, unmodified.
    pub input: JobInput,
    /// The steps, in an order in which each depends only on earlier ones.
    pub steps: Vec<StepRequest>,
    /// Time until the caller's deadline.
    pub time_left: Span,
    /// Requested features that are not implemented; any of them causes a refusal.
    pub unsupported: Vec<Feature>,
}

/// A step of a submitted job.
#[derive(Clone, Debug)]
pub struct StepRequest {
    /// Number of tasks.
    pub count: u32,
    /// Resources that each task needs.
    pub resources: Resources,
    /// Estimated run time of each task.
    pub estimate: Span,
    /// Indices of the steps that must be done before this one starts.
    pub after: Vec<usize>,
    /// Label that the worker must have, or `None` if any worker will do.
    pub label: Option<String>,
    /// Label of the workers near the step's data, which are preferred.
    pub near: Option<String>,
    /// Whether a task that was preempted or moved continues from its saved progress.
    pub saves_progress: bool,
}

/// A feature that a job may request but that is not implemented.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Feature {
    /// Persistence of the job until it is done.
    Kept,
    /// Gang scheduling: the tasks run only if all run at the same time.
    Gang,
    /// A limit on the tasks of a step on one worker.
    Spread,
    /// Service tasks that run until the job is cancelled.
    Lasting,
    /// Scheduled repetition of the job.
    Repeated,
    /// Best-effort tasks that use only otherwise idle resources.
    Filling,
    /// Placement on workers named by an external advisor.
    Advised,
}

/// Maximum number of steps of a job.
pub const MAX_STEPS: usize = 64;
/// Maximum number of tasks of a job, over all steps.
pub const MAX_TASKS: u32 = 10_000;
/// Maximum estimate of a step: one day, far longer than any job is held.
pub const MAX_ESTIMATE: Span = Span::from_secs(24 * 3_600);
/// Largest work that a job counts with, in core-milliseconds, so that sums over all jobs stay within
/// their type: some 35 years of a core, far more than can be done while a job is held.
const MAX_WORK: u64 = 1 << 40;

impl JobRequest {
    /// Whether each step depends only on earlier ones, has at least one task, and the limits
    /// on steps, tasks and estimates are kept.
    pub fn is_well_formed(&self) -> bool {
        let has_order = self
            .steps
            .iter()
            .enumerate()
            .all(|(index, step)| step.after.iter().all(|before| *before < index));
        let tasks: u64 = self.steps.iter().map(|step| u64::from(step.count)).sum();
        has_order
            && !self.steps.is_empty()
            && self.steps.len() <= MAX_STEPS
            && self.steps.iter().all(|step| step.count > 0)
            && self.steps.iter().all(|step| step.estimate <= MAX_ESTIMATE)
            && tasks <= u64::from(MAX_TASKS)
    }

    /// Estimated run time of the longest chain of dependent steps.
    pub fn longest_chain(&self) -> Span {
        let mut ends: Vec<u64> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let begin = step
                .after
                .iter()
                .map(|before| ends[*before])
                .max()
                .unwrap_or(0);
            ends.push(begin.saturating_add(step.estimate.0));
        }
        Span(ends.into_iter().max().unwrap_or(0))
    }
}

/// State of a task at the gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskState {
    /// Waiting to be placed, or for earlier steps.
    Waiting,
    /// Sent to an agent.
    Placed,
    /// A run of an earlier submission of the job has not ended; waits for its end.
    EndingEarlierRun,
    /// Completed.
    Done,
}

/// A task of a job, as its gateway tracks it.
#[derive(Clone, Copy, Debug)]
pub struct Task {
    /// Current state.
    pub state: TaskState,
    /// Number of the latest run; 0 before the first placement.
    pub run: RunNumber,
    /// Failed runs on workers that are not suspected of causing failures.
    pub failures: u32,
    /// Failed runs on suspected workers: those where other tasks had failed as well.
    pub failures_on_suspects: u32,
    /// Runs that were stopped because they made no progress.
    pub stalls: u32,
    /// Whether a run was stopped for a task of another queue. Later runs are not preemptible.
    pub was_preempted: bool,
    /// Whether the latest run may be stopped for a task of another queue.
    pub is_preemptible: bool,
    /// Whether a preemptible run was lost. It may have been preempted without a report, so that later
    /// runs are not preemptible.
    pub may_have_been_preempted: bool,
    /// Time of the latest placement; zero before the first.
    pub placed_at: Timestamp,
    /// Factor on the run time of the latest run if it is far from the step's data.
    pub remote: Option<RemoteFactor>,
}

impl Task {
    /// Run time near the step's data of a run that takes `run_time` where the latest one is.
    pub fn near_run_time(&self, run_time: Span) -> Span {
        let remote = self.remote;
        remote.map_or(run_time, |factor| factor.divide(run_time))
    }
}

/// State of a step of a job.
#[derive(Debug)]
pub struct Step {
    /// The submitted step, with its current run time estimate.
    pub request: StepRequest,
    /// State of each task, by index.
    pub tasks: Vec<Task>,
    /// Indices of waiting tasks that may share a batch.
    pub waiting: BTreeSet<u32>,
    /// Indices of waiting tasks that are placed separately, because a worker has crashed while
    /// it ran them or they have stalled.
    pub separated: BTreeSet<u32>,
    /// Saved progress of tasks that continue an earlier run, by index.
    pub checkpoints: BTreeMap<u32, Checkpoint>,
    /// Number of completed tasks.
    pub done: u32,
    /// The caller's estimate of the run time of each task.
    pub caller_estimate: Span,
    /// The longest time from the placement of a task to its completion. Remote runs count as if they
    /// had been near the data.
    pub longest: Span,
    /// The wait for a worker near the step's data; `None` if it has none or nothing waits.
    pub near_wait: Option<NearWait>,
}

impl Step {
    fn new(request: StepRequest, caller_estimate: Span) -> Self {
        let task = Task {
            state: TaskState::Waiting,
            run: RunNumber(0),
            failures: 0,
            failures_on_suspects: 0,
            stalls: 0,
            was_preempted: false,
            is_preemptible: false,
            may_have_been_preempted: false,
            placed_at: Timestamp::default(),
            remote: None,
        };
        Self {
            caller_estimate,
            longest: Span::default(),
            near_wait: None,
            tasks: vec![task; request.count as usize],
            waiting: (0..request.count).collect(),
            separated: BTreeSet::new(),
            checkpoints: BTreeMap::new(),
            done: 0,
            request,
        }
    }

    /// Whether every task has completed.
    pub fn is_done(&self) -> bool {
        self.done == self.request.count
    }

    /// Number of tasks that wait to be placed.
    pub fn waiting_count(&self) -> usize {
        self.waiting.len() + self.separated.len()
    }

    fn has_waiting(&self) -> bool {
        !self.waiting.is_empty() || !self.separated.is_empty()
    }

    /// Raises the estimate to the projected run time of a run that was stopped as too slow.
    /// The caller's estimate may be too short rather than the worker too slow; without this,
    /// every worker would stop the task again.
    pub fn raise_estimate(&mut self, projected: Span) {
        self.request.estimate = self.request.estimate.max(projected);
    }
}

/// The id of a task of a job that is not repeated.
pub fn task_id(job: JobId, step: usize, index: u32) -> TaskId {
    TaskId {
        job,
        repetition: 0,
        step: u32::try_from(step).unwrap_or(u32::MAX),
        index,
    }
}

/// State of a job that has not ended.
#[derive(Debug)]
pub struct Job {
    /// Job id, chosen by the caller.
    pub id: JobId,
    /// Calls that wait for the outcome; more than one after a resubmission.
    pub calls: Vec<CallNumber>,
    /// Settings of the queue that the job was submitted to.
    pub queue: Arc<QueueSettings>,
    /// The input that is sent with each start.
    pub input: JobInput,
    /// Estimated time at which the caller sent the job: its reception less the ingress delay.
    pub arrival: Timestamp,
    /// Estimated delay between the caller's sending and the arrival at the gateway.
    pub ingress_delay: Span,
    /// When the first task was sent to an agent.
    pub first_placed: Option<Timestamp>,
    /// Response time objective, derived from the estimates.
    pub objective: Span,
    /// Latest start of the first steps with which the job can still meet its objective.
    pub latest_start: Timestamp,
    /// When the job is refused if nothing of it was placed by then.
    pub refuse_at: Timestamp,
    /// When the job is given up.
    pub deadline: Timestamp,
    /// Whether the job has been claimed at other gateways.
    pub is_claimed: bool,
    /// Whether another gateway has claimed the job and has not confirmed its release.
    pub may_run_elsewhere: bool,
    /// No task is placed before this time: other gateways may have runs of the job.
    pub release_until: Timestamp,
    /// Until when no other gateway starts the job; the job is ended then. Confirmed claims extend it.
    pub held_until: Timestamp,
    /// Highest number of a run of an earlier submission. Later runs have higher ones.
    pub earlier_run: RunNumber,
    /// No task is placed before this time (backoff).
    pub not_before: Timestamp,
    /// Whether any task may have started, so that the job can no longer be refused as not run.
    pub may_have_started: bool,
    /// Number of tasks at agents.
    pub placed_count: u32,
    /// Number of distinct times at which agents returned starts as not started.
    pub returned_starts: u32,
    /// When an agent last returned a start as not started.
    pub last_returned: Option<Timestamp>,
    /// Whether any task was preempted.
    pub has_preempted_task: bool,
    /// Size relative to the other jobs of the queue.
    pub group: SizeGroup,
    /// Work that the forecast counts for the job, in core-milliseconds; `None` if it counts none.
    pub backlog_work: Option<u64>,
    /// Whether the job was examined again by the policy for admission, and is to keep its place before
    /// later jobs of its queue.
    pub is_reviewed: bool,
    /// Work that the drain rate counts for the job's first placement, in core-milliseconds.
    pub drained_work: Option<u64>,
    /// The steps, in an order in which each depends only on earlier ones.
    pub steps: Vec<Step>,
}

/// A job is placed or refused within its objective divided by this.
const DECISION_DIVISOR: u64 = 4;
/// Network round trip between caller and gateway, which counts towards the response time.
const CALLER_ROUND_TRIP: Span = Span::from_millis(8);
/// Time before the caller's deadline at which the final answer is sent.
const ANSWER_MARGIN: Span = Span::from_millis(20);

impl Job {
    /// Creates the state of a job that its caller sent at `now`; `run_times` corrects the
    /// caller's estimates.
    pub fn new(
        now: Timestamp,
        call: CallNumber,
        mut request: JobRequest,
        run_times: &RunTimes,
    ) -> Self {
        let caller_estimates: Vec<Span> = request.steps.iter().map(|step| step.estimate).collect();
        for step in &mut request.steps {
            step.estimate = run_times.expected(&request.queue.name, step.estimate);
        }
        let chain = request.longest_chain();
        let objective = request.queue.objective(chain);
        let slack = Span(
            objective
                .0
                .saturating_sub(chain.0.saturating_add(CALLER_ROUND_TRIP.0)),
        );
        let decision = Span((objective.0 / DECISION_DIVISOR).saturating_sub(CALLER_ROUND_TRIP.0));
        Self {
            id: request.id,
            calls: vec![call],
            queue: request.queue,
            input: request.input,
            arrival: now,
            ingress_delay: Span::default(),
            first_placed: None,
            objective,
            latest_start: now.after(slack),
            refuse_at: now.after(decision),
            deadline: now.after(Span(request.time_left.0.saturating_sub(ANSWER_MARGIN.0))),
            is_claimed: false,
            may_run_elsewhere: false,
            release_until: now,
            held_until: now.after(CALLER_RETRY_DELAY),
            earlier_run: RunNumber::default(),
            not_before: now,
            may_have_started: false,
            placed_count: 0,
            returned_starts: 0,
            last_returned: None,
            has_preempted_task: false,
            group: SizeGroup::Ordinary,
            backlog_work: None,
            is_reviewed: false,
            drained_work: None,
            steps: request
                .steps
                .into_iter()
                .zip(caller_estimates)
                .map(|(step, caller_estimate)| Step::new(step, caller_estimate))
                .collect(),
        }
    }

    /// Whether the job cannot meet its objective any more even if its waiting tasks are placed now.
    /// Tasks that have been placed count as about to complete.
    pub fn is_late(&self, now: Timestamp) -> bool {
        now > self.latest_in_time()
    }

    /// The last time at which the job is not late.
    pub fn latest_in_time(&self) -> Timestamp {
        if self.is_unstarted() {
            return self.latest_start;
        }
        let due = self.arrival.after(self.objective);
        let waiting = self.longest_waiting_chain().0;
        let needed = waiting.saturating_add(CALLER_ROUND_TRIP.0);
        Timestamp(due.0.saturating_sub(needed))
    }

    /// Estimated run time of the longest chain of steps that have tasks to place.
    fn longest_waiting_chain(&self) -> Span {
        if let [step] = self.steps.as_slice() {
            return step.request.estimate;
        }
        let mut ends: Vec<u64> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let before = step.request.after.iter().map(|before| ends[*before]);
            let begin = before.max().unwrap_or(0);
            let estimate = step.request.estimate.0;
            let length = if step.has_waiting() { estimate } else { 0 };
            ends.push(begin.saturating_add(length));
        }
        Span(ends.into_iter().max().unwrap_or(0))
    }

    /// Time spent in each stage until `now`.
    pub fn stages(&self, now: Timestamp) -> StageTimes {
        let received_at = self.arrival.after(self.ingress_delay);
        let first_placed = self.first_placed.unwrap_or(now);
        StageTimes {
            ingress_delay: self.ingress_delay,
            waiting: first_placed.since(received_at),
            working: now.since(first_placed),
        }
    }

    /// Whether every step has completed.
    pub fn is_done(&self) -> bool {
        self.steps.iter().all(Step::is_done)
    }

    /// Whether the steps that `step` depends on are done.
    pub fn is_ready(&self, step: usize) -> bool {
        self.steps[step]
            .request
            .after
            .iter()
            .all(|before| self.steps[*before].is_done())
    }

    /// Estimated total work, in core-milliseconds; at most [`MAX_WORK`].
    pub fn work(&self) -> u64 {
        let step_work = |step: &Step| {
            let cpu_millis =
                u64::from(step.request.resources.cpu_millis) * u64::from(step.request.count);
            cpu_millis.saturating_mul(step.request.estimate.as_millis()) / 1_000
        };
        let work = self.steps.iter().map(step_work);
        work.fold(0, u64::saturating_add).min(MAX_WORK)
    }

    /// Indices of the steps with tasks that may be placed now.
    pub fn placeable_steps(&self) -> Vec<usize> {
        (0..self.steps.len())
            .filter(|step| self.steps[*step].has_waiting() && self.is_ready(*step))
            .collect()
    }

    /// Whether any task may be placed now.
    pub fn has_placeable(&self) -> bool {
        (0..self.steps.len()).any(|step| self.steps[step].has_waiting() && self.is_ready(step))
    }

    /// Whether the job can still be refused as not run: no task is at an agent and none may
    /// have started.
    pub fn is_unstarted(&self) -> bool {
        self.placed_count == 0 && !self.may_have_started && !self.may_run_elsewhere
    }

    /// Keeps a task from being placed while `run`, of an earlier submission, has not ended. Ignores a
    /// task that the job does not have.
    pub fn await_earlier_run(&mut self, run: RunId) {
        let Some(task) = self.task_mut(run.task) else {
            return;
        };
        task.state = TaskState::EndingEarlierRun;
        self.may_have_started = true;
        let step = &mut self.steps[run.task.step as usize];
        step.waiting.remove(&run.task.index);
        step.separated.remove(&run.task.index);
    }

    /// Has the next run of each task numbered higher than `run`.
    pub fn number_runs_after(&mut self, run: RunNumber) {
        self.earlier_run = self.earlier_run.max(run);
    }

    /// Whether delays of the job's placement are over.
    pub fn is_placeable_at(&self, now: Timestamp) -> bool {
        now >= self.not_before && now >= self.release_until && now < self.held_until
    }

    /// The highest number of a run of any task.
    pub fn last_run(&self) -> RunNumber {
        let tasks = self.steps.iter().flat_map(|step| &step.tasks);
        let runs = tasks.map(|task| task.run);
        runs.fold(self.earlier_run, RunNumber::max)
    }

    /// Whether any of these tasks of a step was or may have been preempted before.
    pub fn has_preempted(&self, step: usize, tasks: &[(u32, RunNumber)]) -> bool {
        let states = &self.steps[step].tasks;
        let mut tasks = tasks.iter().map(|(index, _)| &states[*index as usize]);
        tasks.any(|task| task.was_preempted || task.may_have_been_preempted)
    }

    /// Whether a preempted task waits to be placed again.
    pub fn has_waiting_preempted(&self) -> bool {
        let is_preempted_in = |step: &Step, index: &u32| step.tasks[*index as usize].was_preempted;
        self.has_preempted_task
            && self.steps.iter().any(|step| {
                let mut waiting = step.waiting.iter().chain(&step.separated);
                waiting.any(|index| is_preempted_in(step, index))
            })
    }

    /// Moves a waiting task to those that are placed separately.
    pub fn separate(&mut self, id: TaskId) {
        let step = self.steps.get_mut(id.step as usize);
        if let Some(step) = step
            && step.waiting.remove(&id.index)
        {
            step.separated.insert(id.index);
        }
    }

    /// Waiting tasks that are placed separately.
    pub fn waiting_separated(&self) -> impl Iterator<Item = TaskId> {
        let id = self.id;
        let steps = self.steps.iter().enumerate();
        steps.flat_map(move |(step, state)| {
            let tasks = state.separated.iter();
            tasks.map(move |index| task_id(id, step, *index))
        })
    }

    /// The task with this id, or `None` if the job has no such step or index.
    pub fn task_mut(&mut self, id: TaskId) -> Option<&mut Task> {
        let step = self.steps.get_mut(id.step as usize)?;
        step.tasks.get_mut(id.index as usize)
    }
}
