//! The runs that an agent answers for, and the room that they take.
//!
//! A run takes room from before its start is sent until its end is proved.

use std::collections::BTreeMap;

use laurelstile_types::id::Incarnation;
use laurelstile_types::time::{Span, Timestamp};

use super::super::input::JobInput;
use super::super::resources::Resources;
use super::super::task::{RunId, RunNumber, TaskId};
use super::super::timing::MAX_STOP_TIME;
use super::life::LifeNumber;
use super::worker::WorkerClock;

/// Why a run is being stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReason {
    /// Its gateway asked.
    Asked,
    /// Its gateway is silent, or gone.
    OwnerSilent,
    /// It makes no progress.
    Stalled,
    /// It is far slower than estimated.
    TooSlow {
        /// How long it would take in all.
        projected: Span,
    },
    /// Its start had no answer.
    Unanswered,
    /// The agent stops.
    AgentStops,
    /// The worker has said that it ends.
    WorkerLeaves,
    /// Its start was meant for the life before, with a lease by another clock.
    LifeChanged,
}

/// Where a run stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunState {
    /// It waits here for room.
    Waiting,
    /// Its start is on its way.
    Starting,
    /// It runs.
    Running {
        /// When its start was answered.
        since: Timestamp,
    },
    /// Its stop is on its way or carried out; its end is not listed yet.
    Stopping {
        /// Why.
        reason: StopReason,
        /// Since when.
        since: Timestamp,
        /// When the stop was answered.
        answered: Option<Timestamp>,
    },
}

/// A run at the worker, or on its way there.
#[derive(Clone, Debug)]
pub struct Run {
    /// Its number.
    pub number: RunNumber,
    /// The gateway that it is for.
    pub owner: Incarnation,
    /// What it needs.
    pub resources: Resources,
    /// A rough guess of how long it takes.
    pub estimate: Span,
    /// Input of its job.
    pub input: JobInput,
    /// Until when it may wait for room.
    pub wait_until: Timestamp,
    /// When its start was sent.
    pub sent: Timestamp,
    /// The life to which it was sent.
    pub life: LifeNumber,
    /// Whether the worker has shown that it has carried the start out.
    pub is_confirmed: bool,
    /// Where it stands.
    pub state: RunState,
    /// When a stop that got no answer may be sent again.
    pub stop_again: Option<Timestamp>,
    /// Stops that got no answer.
    pub lost_stops: u32,
    /// Whether the log was told that they take longer than a stop may.
    pub is_overdue_told: bool,
    /// Whether the worker is to run nothing beside it.
    pub is_exclusive: bool,
    /// Whether its task has stood still on another worker.
    pub has_stalled: bool,
    /// Its progress, in percent.
    pub percent: u32,
    /// When it was started, by the worker's clock.
    pub started: WorkerClock,
    /// When its progress last grew, by the worker's clock.
    pub progressed: WorkerClock,
}

impl Run {
    /// Its name, as the run of `task`.
    pub fn id(&self, task: TaskId) -> RunId {
        RunId {
            task,
            run: self.number,
        }
    }

    /// Whether its start was sent, and nothing shows that it was carried out: it may be yet.
    pub fn is_unconfirmed(&self) -> bool {
        self.takes_room() && !self.is_confirmed
    }

    /// Whether it takes room at the worker.
    pub fn takes_room(&self) -> bool {
        self.state != RunState::Waiting
    }

    /// Whether it has been stopped for longer than a stop may take.
    pub fn is_stop_overdue(&self, now: Timestamp) -> bool {
        match self.state {
            RunState::Stopping { since, .. } => now.since(since) > MAX_STOP_TIME,
            _ => false,
        }
    }
}

/// All runs of one worker's life.
#[derive(Debug, Default)]
pub struct Ledger {
    runs: BTreeMap<TaskId, Run>,
    taken: Resources,
    waiting_room: Resources,
    waiting: usize,
    alone: usize,
}

impl Ledger {
    /// Adds a run. The task must not be here yet.
    pub fn insert(&mut self, task: TaskId, run: Run) {
        self.count(&run, true);
        let replaced = self.runs.insert(task, run);
        debug_assert!(replaced.is_none());
    }

    /// The run of a task.
    pub fn get(&self, task: TaskId) -> Option<&Run> {
        self.runs.get(&task)
    }

    /// The run `id`, if that very run is here.
    pub fn run(&self, id: RunId) -> Option<&Run> {
        self.runs.get(&id.task).filter(|run| run.number == id.run)
    }

    /// Changes the state of a run.
    pub fn set_state(&mut self, task: TaskId, state: RunState) {
        let Some(mut run) = self.runs.remove(&task) else {
            return;
        };
        self.count(&run, false);
        run.state = state;
        self.count(&run, true);
        self.runs.insert(task, run);
    }

    /// Begins the stop of a run anew, for another life of the worker.
    pub fn restart_stop(&mut self, task: TaskId, now: Timestamp) {
        self.note(task, |run| {
            if let RunState::Stopping {
                since, answered, ..
            } = &mut run.state
            {
                *since = now;
                *answered = None;
                run.stop_again = Some(now);
                run.lost_stops = 0;
            }
        });
    }

    /// The worker has shown that it has carried the start of `id` out.
    pub fn confirm(&mut self, id: RunId) {
        self.note(id.task, |run| run.is_confirmed |= run.number == id.run);
    }

    /// Changes what does not touch the room.
    pub fn note(&mut self, task: TaskId, change: impl FnOnce(&mut Run)) {
        if let Some(run) = self.runs.get_mut(&task) {
            change(run);
        }
    }

    /// Takes a run out.
    pub fn remove(&mut self, task: TaskId) -> Option<Run> {
        let run = self.runs.remove(&task)?;
        self.count(&run, false);
        Some(run)
    }

    /// All runs.
    pub fn iter(&self) -> impl Iterator<Item = (TaskId, &Run)> {
        self.runs.iter().map(|(task, run)| (*task, run))
    }

    /// Tasks whose run fulfils `condition`.
    pub fn tasks_where(&self, condition: impl Fn(&Run) -> bool) -> Vec<TaskId> {
        self.iter()
            .filter(|(_, run)| condition(run))
            .map(|(task, _)| task)
            .collect()
    }

    /// Whether a run is here that is to be alone.
    pub fn has_alone(&self) -> bool {
        self.alone > 0
    }

    /// Number of runs.
    pub fn len(&self) -> usize {
        self.runs.len()
    }

    /// Whether there is no run.
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }

    /// Room that runs take at the worker.
    pub fn taken(&self) -> Resources {
        self.taken
    }

    /// Room that waiting runs will take.
    pub fn waiting_room(&self) -> Resources {
        self.waiting_room
    }

    /// Number of waiting runs.
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// Runs that take room.
    pub fn active(&self) -> usize {
        self.runs.len() - self.waiting
    }

    fn count(&mut self, run: &Run, is_added: bool) {
        let alone = usize::from(run.is_exclusive);
        self.alone = if is_added {
            self.alone + alone
        } else {
            self.alone - alone
        };
        let sum = if run.takes_room() {
            &mut self.taken
        } else {
            self.waiting = if is_added {
                self.waiting + 1
            } else {
                self.waiting - 1
            };
            &mut self.waiting_room
        };
        *sum = if is_added {
            sum.saturating_add(run.resources)
        } else {
            sum.saturating_sub(run.resources)
        };
    }
}
