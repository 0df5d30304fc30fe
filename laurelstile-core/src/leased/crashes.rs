//! Crashes of workers, and which tasks were there.
//!
//! A task may take down each worker that starts it. Nothing tells it from the sound tasks
//! that ran beside it, or from a worker that died by itself, but that it was there each
//! time. So a task is judged by the crashes that it has been part of, whoever placed it:
//! agents tell of them to all their gateways, and gateways to each other.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use laurelstile_types::time::{Span, Timestamp};
use serde::{Deserialize, Serialize};

use super::serde_defaults::is_false;
use super::task::{JobId, TaskId};

/// Crashes from which on a task runs alone on a worker: a second may be chance, where a
/// worker dies by itself or beside another such task.
const CRASHES_OF_A_SUSPECT: usize = 2;
/// Early crashes from which on a task is given up, if the last one had it alone.
const EARLY_CRASHES_ALONE: usize = 2;
/// Early crashes from which on it is given up in any case.
const EARLY_CRASHES: usize = 3;
/// Crashes from which on it is given up whatever they looked like. That a sound task is hit
/// so often, alone from the third on, is rare: where two of eleven workers die by themselves
/// twice a second, up to 4 sound jobs failed in 40 runs; given up after three, 39 in 20.
const MOST_CRASHES: usize = 5;
/// How long a crash is remembered: longer than callers keep on handing a job in.
const MEMORY: Span = Span::from_secs(60);
/// Most crashes of tasks that are remembered: all that run when a seventh of 800 workers with 24 tasks
/// each crash at once, three times over. Some 100 bytes each.
const MOST_TASKS: usize = 8 * 1024;

/// A worker that has crashed, as its agent tells.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerCrash {
    /// The life that ended. Whoever tells of a crash, and however often, it counts once.
    #[serde(rename = "l")]
    pub incarnation: String,
    /// How many runs it had begun.
    #[serde(rename = "n")]
    pub runs: u32,
    /// Those of them that the receiver is told of.
    #[serde(rename = "t")]
    pub tasks: Vec<CrashedTask>,
}

impl WorkerCrash {
    /// The same crash, as told of some of its tasks; none if none of them is among those.
    pub fn restricted_to(&self, is_told: impl Fn(TaskId) -> bool) -> Option<Self> {
        let tasks = self.tasks.iter().filter(|crashed| is_told(crashed.task));
        let tasks: Vec<CrashedTask> = tasks.copied().collect();
        (!tasks.is_empty()).then(|| Self {
            incarnation: self.incarnation.clone(),
            runs: self.runs,
            tasks,
        })
    }
}

/// A task that a worker had begun as it crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashedTask {
    /// The task.
    #[serde(rename = "t")]
    pub task: TaskId,
    /// Whether the worker died soon after the start, for a task of this length. Sound tasks
    /// are seldom so young when their worker dies.
    #[serde(rename = "e", default, skip_serializing_if = "is_false")]
    pub is_early: bool,
}

/// How far a task is to be trusted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Suspicion {
    /// No worker has crashed under it.
    Clear,
    /// One worker has. It shares its next one with sound tasks only, so that the crashes of
    /// one task have no other in common.
    OneCrash,
    /// One worker has, soon after its start. If a worker can be had for it alone, that
    /// tells at the cost of one crash; else it is placed as one that shares its worker.
    OneEarlyCrash,
    /// Several have: it runs alone on its next worker.
    Suspect,
    /// It takes its workers down, and is not started again.
    Poison,
}

/// A crash under a task.
#[derive(Clone, Debug)]
struct Crash {
    incarnation: Arc<str>,
    is_early: bool,
    is_exclusive: bool,
}

/// The crashes that are remembered, by the tasks that were there.
#[derive(Debug, Default)]
pub struct CrashLog {
    crashes: BTreeMap<TaskId, Vec<Crash>>,
    /// The task of each crash, in the order in which they were noted.
    noted: VecDeque<(Timestamp, TaskId)>,
    /// When one was last forgotten for want of room.
    overran_at: Option<Timestamp>,
}

impl CrashLog {
    /// Whether what seems to be news may have been known and forgotten. It is not passed on
    /// then: it would go round and round.
    pub fn may_have_evicted(&self, now: Timestamp) -> bool {
        self.overran_at.is_some_and(|at| now.since(at) <= MEMORY)
    }

    /// Takes a crash in, and gives the tasks for which it is news.
    pub fn record(&mut self, now: Timestamp, crash: &WorkerCrash) -> Vec<TaskId> {
        self.forget_old(now);
        let incarnation: Arc<str> = crash.incarnation.as_str().into();
        let mut news = Vec::new();
        for CrashedTask { task, is_early } in &crash.tasks {
            let crashes = self.crashes.entry(*task).or_default();
            if crashes.iter().any(|known| known.incarnation == incarnation) {
                continue;
            }
            crashes.push(Crash {
                incarnation: Arc::clone(&incarnation),
                is_early: *is_early,
                is_exclusive: crash.runs == 1,
            });
            self.noted.push_back((now, *task));
            news.push(*task);
        }
        news
    }

    /// How far a task is to be trusted.
    pub fn suspicion(&self, task: TaskId) -> Suspicion {
        let Some(crashes) = self.crashes.get(&task) else {
            return Suspicion::Clear;
        };
        let early = crashes.iter().filter(|crash| crash.is_early).count();
        let was_alone = crashes.last().is_some_and(|crash| crash.is_exclusive);
        let is_proved = (was_alone && early >= EARLY_CRASHES_ALONE) || early >= EARLY_CRASHES;
        if is_proved || crashes.len() >= MOST_CRASHES {
            Suspicion::Poison
        } else if crashes.len() >= CRASHES_OF_A_SUSPECT {
            Suspicion::Suspect
        } else if early > 0 {
            Suspicion::OneEarlyCrash
        } else {
            Suspicion::OneCrash
        }
    }

    /// The lives that have ended under a task.
    pub fn incarnations_of(&self, task: TaskId) -> Vec<Arc<str>> {
        let crashes = self.crashes.get(&task).into_iter().flatten();
        crashes
            .map(|crash| Arc::clone(&crash.incarnation))
            .collect()
    }

    /// The tasks of a job under which workers have crashed.
    pub fn tasks_of(&self, job: JobId) -> impl Iterator<Item = TaskId> {
        let first = TaskId {
            job,
            repetition: 0,
            step: 0,
            index: 0,
        };
        let tasks = self.crashes.range(first..).map(|(task, _)| *task);
        tasks.take_while(move |task| task.job == job)
    }

    /// Whether no crash is remembered.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }

    fn forget_old(&mut self, now: Timestamp) {
        while let Some((at, task)) = self.noted.front().copied() {
            if now.since(at) <= MEMORY {
                if self.noted.len() <= MOST_TASKS {
                    return;
                }
                self.overran_at = Some(now);
            }
            self.noted.pop_front();
            self.forget_first_of(task);
        }
    }

    fn forget_first_of(&mut self, task: TaskId) {
        let Some(crashes) = self.crashes.get_mut(&task) else {
            return;
        };
        crashes.remove(0);
        if crashes.is_empty() {
            self.crashes.remove(&task);
        }
    }
}
