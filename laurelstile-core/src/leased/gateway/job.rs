//! A job as its gateway keeps it: steps, tasks, attempts.

use std::collections::BTreeSet;
use std::sync::Arc;

use laurelstile_types::time::{Span, Timestamp};

use super::super::input::JobInput;
use super::super::resources::Resources;
use super::super::task::{JobId, RunNumber, TaskId};
use super::queues::QueueSettings;
use super::run_times::RunTimes;
use super::shares::SizeGroup;
use super::stages::StageTimes;

/// Number of a caller's request, new in this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallNumber(pub u64);

/// A job as its caller hands it in.
#[derive(Clone, Debug)]
pub struct JobRequest {
    /// Its id, chosen by the caller.
    pub id: JobId,
    /// Its queue.
    pub queue: Arc<QueueSettings>,
    /// Its input, as it came.
    pub input: JobInput,
    /// Its steps.
    pub steps: Vec<StepRequest>,
    /// How long the caller waits for an answer.
    pub time_left: Span,
    /// What it asks for that is not built.
    pub unsupported: Vec<Feature>,
}

/// A step of a job.
#[derive(Clone, Debug)]
pub struct StepRequest {
    /// Number of tasks.
    pub count: u32,
    /// What each needs.
    pub resources: Resources,
    /// A rough guess of how long each takes.
    pub estimate: Span,
    /// Steps that must be done before.
    pub after: Vec<usize>,
    /// Label that the worker must have.
    pub label: Option<String>,
    /// Label of the workers near the step's data.
    pub near: Option<String>,
}

/// Something that a job may ask for and that is not built yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Feature {
    /// The job is to be kept until it is done.
    Kept,
    /// Tasks that work only jointly.
    Gang,
    /// A bound on the tasks of a step on one worker.
    Spread,
    /// Tasks that last until the job is cancelled.
    Lasting,
    /// A job that runs at set times.
    Repeated,
    /// Tasks that use what others leave.
    Filling,
    /// Workers that an advisor names.
    Advised,
}

/// Most steps of a job.
pub const MOST_STEPS: usize = 64;
/// Most tasks of a job.
pub const MOST_TASKS: u32 = 10_000;

impl JobRequest {
    /// Whether the steps are in order: each comes after earlier ones only, and
    /// there are neither too many nor none.
    pub fn is_well_formed(&self) -> bool {
        let has_order = self
            .steps
            .iter()
            .enumerate()
            .all(|(index, step)| step.after.iter().all(|before| *before < index));
        let tasks: u64 = self.steps.iter().map(|step| u64::from(step.count)).sum();
        has_order
            && !self.steps.is_empty()
            && self.steps.len() <= MOST_STEPS
            && self.steps.iter().all(|step| step.count > 0)
            && tasks <= u64::from(MOST_TASKS)
    }

    /// The longest chain of steps, by the estimates.
    pub fn chain(&self) -> Span {
        let mut ends: Vec<u64> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let begin = step
                .after
                .iter()
                .map(|before| ends[*before])
                .max()
                .unwrap_or(0);
            ends.push(begin + step.estimate.0);
        }
        Span(ends.into_iter().max().unwrap_or(0))
    }
}

/// Where a task stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskState {
    /// It waits to be placed, or for earlier steps.
    Waiting,
    /// It is at an agent.
    Placed,
    /// It is done.
    Done,
}

/// A task of a job.
#[derive(Clone, Copy, Debug)]
pub struct Task {
    /// Where it stands.
    pub state: TaskState,
    /// Number of its latest run.
    pub run: RunNumber,
    /// Runs that failed by its own fault, as far as can be told.
    pub failures: u32,
    /// Runs that failed on workers that had failed others too.
    pub failures_on_suspects: u32,
    /// Runs of it that stood still.
    pub stalls: u32,
    /// When it was last placed.
    pub placed: Timestamp,
}

/// A step under way.
#[derive(Debug)]
pub struct Step {
    /// What was asked for.
    pub request: StepRequest,
    /// Its tasks.
    pub tasks: Vec<Task>,
    /// Tasks that wait and may be placed together, by index.
    pub waiting: BTreeSet<u32>,
    /// Tasks that wait and go one by one: workers have crashed under them.
    pub apart: BTreeSet<u32>,
    /// Tasks that are done.
    pub done: u32,
    /// How long its caller guessed that each task takes.
    pub guess: Span,
    /// The longest that a task has taken from its placement to its end.
    pub longest: Span,
}

impl Step {
    fn new(request: StepRequest, guess: Span) -> Self {
        let task = Task {
            state: TaskState::Waiting,
            run: RunNumber(0),
            failures: 0,
            failures_on_suspects: 0,
            stalls: 0,
            placed: Timestamp::default(),
        };
        Self {
            guess,
            longest: Span::default(),
            tasks: vec![task; request.count as usize],
            waiting: (0..request.count).collect(),
            apart: BTreeSet::new(),
            done: 0,
            request,
        }
    }

    /// Whether all its tasks are done.
    pub fn is_done(&self) -> bool {
        self.done == self.request.count
    }

    /// Number of its tasks that wait.
    pub fn waiting_count(&self) -> usize {
        self.waiting.len() + self.apart.len()
    }

    /// Whether tasks of it wait.
    fn has_waiting(&self) -> bool {
        !self.waiting.is_empty() || !self.apart.is_empty()
    }

    /// A run of a task was stopped since it would have taken `projected`. The
    /// worker may be slow, or the caller's guess too short: the next worker
    /// gets that much time, so that no task is stopped for slowness again and
    /// again.
    pub fn raise_estimate(&mut self, projected: Span) {
        self.request.estimate = self.request.estimate.max(projected);
    }
}

/// The name of a task of a job that runs once.
pub fn task_id(job: JobId, step: usize, index: u32) -> TaskId {
    TaskId {
        job,
        repetition: 0,
        step: u32::try_from(step).unwrap_or(u32::MAX),
        index,
    }
}

/// A job that has not ended.
#[derive(Debug)]
pub struct Job {
    /// Its id.
    pub id: JobId,
    /// The callers that wait for its end.
    pub calls: Vec<CallNumber>,
    /// Its queue.
    pub queue: Arc<QueueSettings>,
    /// Its input.
    pub input: JobInput,
    /// When its caller sent it.
    pub arrival: Timestamp,
    /// How long it had waited on the way in when the gateway saw it.
    pub way_in: Span,
    /// When the first of its tasks was sent to an agent.
    pub first_placed: Option<Timestamp>,
    /// Response time at which it is aimed, by the estimates.
    pub objective: Span,
    /// When the tasks of a ready step must start to meet the objective.
    pub latest_start: Timestamp,
    /// Until when it may be refused for want of room.
    pub refuse_at: Timestamp,
    /// When it is given up.
    pub deadline: Timestamp,
    /// No task is placed before this time.
    pub not_before: Timestamp,
    /// Whether a task may have been started.
    pub may_have_started: bool,
    /// Tasks at agents.
    pub placed: u32,
    /// Times that placements came back without a start.
    pub bounces: u32,
    /// When that last happened.
    pub bounced: Option<Timestamp>,
    /// Its size, among the jobs of its queue.
    pub group: SizeGroup,
    /// Its steps.
    pub steps: Vec<Step>,
}

/// The share of the objective within which a job is started or refused.
const DECISION_SHARE: u64 = 4;
/// Time on the way to and from the caller, which counts too.
const CALLER_DISTANCE: Span = Span::from_millis(8);
/// How long before the caller's deadline the last answer leaves.
const ANSWER_MARGIN: Span = Span::from_millis(20);

impl Job {
    /// A job that its caller sent now; `run_times` correct its caller's guesses.
    pub fn new(
        now: Timestamp,
        call: CallNumber,
        mut request: JobRequest,
        run_times: &RunTimes,
    ) -> Self {
        let guesses: Vec<Span> = request.steps.iter().map(|step| step.estimate).collect();
        for step in &mut request.steps {
            step.estimate = run_times.expected(&request.queue.name, step.estimate);
        }
        let chain = request.chain();
        let objective = request.queue.objective(chain);
        let slack = Span(objective.0.saturating_sub(chain.0 + CALLER_DISTANCE.0));
        let decision = Span((objective.0 / DECISION_SHARE).saturating_sub(CALLER_DISTANCE.0));
        Self {
            id: request.id,
            calls: vec![call],
            queue: request.queue,
            input: request.input,
            arrival: now,
            way_in: Span::default(),
            first_placed: None,
            objective,
            latest_start: now.after(slack),
            refuse_at: now.after(decision),
            deadline: now.after(Span(request.time_left.0.saturating_sub(ANSWER_MARGIN.0))),
            not_before: now,
            may_have_started: false,
            placed: 0,
            bounces: 0,
            bounced: None,
            group: SizeGroup::Ordinary,
            steps: request
                .steps
                .into_iter()
                .zip(guesses)
                .map(|(step, guess)| Step::new(step, guess))
                .collect(),
        }
    }

    /// Where its time has gone until `now`.
    pub fn stages(&self, now: Timestamp) -> StageTimes {
        let seen = self.arrival.after(self.way_in);
        let first_placed = self.first_placed.unwrap_or(now);
        StageTimes {
            way_in: self.way_in,
            waiting: first_placed.since(seen),
            working: now.since(first_placed),
        }
    }

    /// Whether all steps are done.
    pub fn is_done(&self) -> bool {
        self.steps.iter().all(Step::is_done)
    }

    /// Whether the steps before `step` are done.
    pub fn is_ready(&self, step: usize) -> bool {
        self.steps[step]
            .request
            .after
            .iter()
            .all(|before| self.steps[*before].is_done())
    }

    /// All work by the estimates, in core-milliseconds.
    pub fn work(&self) -> u64 {
        let of_step = |step: &Step| {
            let cores =
                u64::from(step.request.resources.cpu_millis) * u64::from(step.request.count);
            cores * step.request.estimate.as_millis() / 1_000
        };
        self.steps.iter().map(of_step).sum()
    }

    /// Steps with tasks that may be placed now.
    pub fn placeable(&self) -> Vec<usize> {
        (0..self.steps.len())
            .filter(|step| self.steps[*step].has_waiting() && self.is_ready(*step))
            .collect()
    }

    /// Whether a task may be placed now.
    pub fn has_placeable(&self) -> bool {
        (0..self.steps.len()).any(|step| self.steps[step].has_waiting() && self.is_ready(step))
    }

    /// Whether it can still be refused as not run: nothing is at an agent, and
    /// nothing may have been started.
    pub fn is_untouched(&self) -> bool {
        self.placed == 0 && !self.may_have_started
    }

    /// From now on a task goes by itself.
    pub fn set_apart(&mut self, id: TaskId) {
        let step = self.steps.get_mut(id.step as usize);
        if let Some(step) = step
            && step.waiting.remove(&id.index)
        {
            step.apart.insert(id.index);
        }
    }

    /// The tasks that wait and go one by one.
    pub fn waiting_apart(&self) -> impl Iterator<Item = TaskId> {
        let id = self.id;
        let steps = self.steps.iter().enumerate();
        steps.flat_map(move |(step, state)| {
            let tasks = state.apart.iter();
            tasks.map(move |index| task_id(id, step, *index))
        })
    }

    /// The task `id`.
    pub fn task_mut(&mut self, id: TaskId) -> Option<&mut Task> {
        let step = self.steps.get_mut(id.step as usize)?;
        step.tasks.get_mut(id.index as usize)
    }
}
