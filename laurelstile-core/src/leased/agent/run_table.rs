//! The runs that an agent is responsible for, and the resources that they take.
//!
//! A run takes resources from just before its start is sent until its end is confirmed.

use std::collections::BTreeMap;

use laurelstile_types::id::Incarnation;
use laurelstile_types::time::{Span, Timestamp};

use super::super::checkpoint::Checkpoint;
use super::super::input::JobInput;
use super::super::queue_key::QueueKey;
use super::super::resources::Resources;
use super::super::task::{RunId, RunNumber, TaskId};
use super::super::timing::MAX_STOP_TIME;
use super::worker::WorkerClock;
use super::worker_state::IncarnationNumber;

/// Why a run is being stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReason {
    /// The run's gateway requested the stop.
    Requested,
    /// The run's gateway is silent or has ended, or a newer run of the task was requested.
    OwnerSilent,
    /// The run makes no progress.
    Stalled,
    /// The run is much slower than estimated.
    TooSlow {
        /// Projected total run time.
        projected: Span,
    },
    /// The start command of the run was not answered.
    Unanswered,
    /// The agent is shutting down.
    AgentStops,
    /// The worker is shutting down.
    WorkerLeaves,
    /// A task of another queue needs the run's resources.
    Preempted,
    /// The run was started for an earlier incarnation, with a lease on that incarnation's clock.
    IncarnationChanged,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunState {
    /// The run waits at the agent for free resources.
    Waiting,
    /// The start command was sent and is not answered yet.
    Starting,
    Running {
        /// When the start was confirmed.
        since: Timestamp,
    },
    /// The run is being stopped; its end is not confirmed yet.
    Stopping {
        reason: StopReason,
        /// When the stop began, or when it was restarted for another incarnation.
        since: Timestamp,
        /// When the worker answered the stop; `None` while it has not.
        answered: Option<Timestamp>,
    },
}

/// A run that waits at the agent, or that was sent to the worker.
#[derive(Clone, Debug)]
pub struct Run {
    pub number: RunNumber,
    /// Gateway that requested the run.
    pub owner: Incarnation,
    /// Resources that the run takes at the worker.
    pub resources: Resources,
    /// Estimated run time.
    pub estimate: Span,
    pub input: JobInput,
    /// Until when the run may wait for free resources.
    pub wait_until: Timestamp,
    /// When the start command was sent; until then, when the request for the run arrived.
    pub sent: Timestamp,
    /// Incarnation of the worker that the start command was sent to.
    pub incarnation: IncarnationNumber,
    /// Whether the worker has confirmed that it carried out the start.
    pub is_confirmed: bool,
    pub state: RunState,
    /// When an unanswered stop is sent again.
    pub retry_stop_at: Option<Timestamp>,
    pub unanswered_stops: u32,
    /// Whether the overdue stop has been logged.
    pub has_logged_overdue_stop: bool,
    /// Whether the worker must run nothing else meanwhile.
    pub is_exclusive: bool,
    /// Whether the task has stalled on another worker.
    pub has_stalled: bool,
    /// Queue of the job, if its gateway named it.
    pub queue: Option<QueueKey>,
    /// Whether the run may be stopped for tasks of other queues.
    pub is_preemptible: bool,
    /// The latest saved progress: that of an earlier run of the task until the worker lists another.
    pub checkpoint: Option<Checkpoint>,
    /// Whether the run continues an earlier one.
    pub is_resumed: bool,
    /// Progress in percent.
    pub percent: u32,
    /// When the start was confirmed, on the worker's clock; zero before.
    pub started: WorkerClock,
    /// When the run's progress last increased, on the worker's clock.
    pub progressed: WorkerClock,
}

impl Run {
    pub fn id(&self, task: TaskId) -> RunId {
        RunId {
            task,
            run: self.number,
        }
    }

    /// Whether the start was sent but not confirmed, so that the worker may still carry it out.
    pub fn is_unconfirmed(&self) -> bool {
        self.takes_resources() && !self.is_confirmed
    }

    pub fn takes_resources(&self) -> bool {
        self.state != RunState::Waiting
    }

    pub fn is_stopping(&self) -> bool {
        matches!(self.state, RunState::Stopping { .. })
    }

    /// Whether the run is being stopped for longer than `MAX_STOP_TIME`.
    pub fn is_stop_overdue(&self, now: Timestamp) -> bool {
        match self.state {
            RunState::Stopping { since, .. } => now.since(since) > MAX_STOP_TIME,
            _ => false,
        }
    }
}

/// All runs that an agent is responsible for, with totals of their resources.
#[derive(Debug, Default)]
pub struct RunTable {
    runs: BTreeMap<TaskId, Run>,
    taken: Resources,
    waiting_resources: Resources,
    waiting: usize,
    exclusive: usize,
    /// Number of runs with a queue key.
    keyed: usize,
}

impl RunTable {
    /// Adds a run of a task that has none yet.
    pub fn insert(&mut self, task: TaskId, run: Run) {
        self.update_totals(&run, true);
        let replaced = self.runs.insert(task, run);
        debug_assert!(replaced.is_none());
    }

    pub fn get(&self, task: TaskId) -> Option<&Run> {
        self.runs.get(&task)
    }

    /// The run `id`; `None` if the task's run has another number.
    pub fn run(&self, id: RunId) -> Option<&Run> {
        self.runs.get(&id.task).filter(|run| run.number == id.run)
    }

    pub fn set_state(&mut self, task: TaskId, state: RunState) {
        let Some(mut run) = self.runs.remove(&task) else {
            return;
        };
        self.update_totals(&run, false);
        run.state = state;
        self.update_totals(&run, true);
        self.runs.insert(task, run);
    }

    /// Restarts the stop of a run for another incarnation of the worker.
    pub fn reset_stop(&mut self, task: TaskId, now: Timestamp) {
        self.update(task, |run| {
            if let RunState::Stopping {
                since, answered, ..
            } = &mut run.state
            {
                *since = now;
                *answered = None;
                run.retry_stop_at = Some(now);
                run.unanswered_stops = 0;
            }
        });
    }

    /// Marks the start of `id` as carried out by the worker.
    pub fn confirm(&mut self, id: RunId) {
        self.update(id.task, |run| run.is_confirmed |= run.number == id.run);
    }

    /// Changes fields of a run that don't affect the totals.
    pub fn update(&mut self, task: TaskId, change: impl FnOnce(&mut Run)) {
        if let Some(run) = self.runs.get_mut(&task) {
            change(run);
        }
    }

    pub fn remove(&mut self, task: TaskId) -> Option<Run> {
        let run = self.runs.remove(&task)?;
        self.update_totals(&run, false);
        Some(run)
    }

    pub fn iter(&self) -> impl Iterator<Item = (TaskId, &Run)> {
        self.runs.iter().map(|(task, run)| (*task, run))
    }

    /// Tasks whose run satisfies `condition`.
    pub fn tasks_where(&self, condition: impl Fn(&Run) -> bool) -> Vec<TaskId> {
        self.iter()
            .filter(|(_, run)| condition(run))
            .map(|(task, _)| task)
            .collect()
    }

    /// Whether there is an exclusive run.
    pub fn has_exclusive(&self) -> bool {
        self.exclusive > 0
    }

    /// Whether there is a run with a queue key.
    pub fn has_queue_keys(&self) -> bool {
        self.keyed > 0
    }

    pub fn len(&self) -> usize {
        self.runs.len()
    }

    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }

    /// Resources that runs take at the worker.
    pub fn taken(&self) -> Resources {
        self.taken
    }

    /// Resources that waiting runs will take.
    pub fn waiting_resources(&self) -> Resources {
        self.waiting_resources
    }

    /// Number of waiting runs.
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// Number of runs that take resources at the worker.
    pub fn active(&self) -> usize {
        self.runs.len() - self.waiting
    }

    fn update_totals(&mut self, run: &Run, is_added: bool) {
        let exclusive = usize::from(run.is_exclusive);
        self.exclusive = if is_added {
            self.exclusive + exclusive
        } else {
            self.exclusive - exclusive
        };
        let keyed = usize::from(run.queue.is_some());
        self.keyed = if is_added {
            self.keyed + keyed
        } else {
            self.keyed - keyed
        };
        let sum = if run.takes_resources() {
            &mut self.taken
        } else {
            self.waiting = if is_added {
                self.waiting + 1
            } else {
                self.waiting - 1
            };
            &mut self.waiting_resources
        };
        *sum = if is_added {
            sum.saturating_add(run.resources)
        } else {
            sum.saturating_sub(run.resources)
        };
    }
}
