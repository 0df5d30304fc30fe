//! Log of worker crashes and of the tasks that were running at the time.
//!
//! A task may crash every worker that starts it. It cannot be told apart from the healthy tasks
//! that ran beside it, or from a worker that crashed on its own, except by being present each time.
//! A task is therefore judged by all crashes that it took part in, whichever gateway placed it:
//! agents report crashes to all their gateways, and gateways forward them to each other.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use laurelstile_types::time::{Span, Timestamp};
use serde::{Deserialize, Serialize};

use super::serde_defaults::is_false;
use super::task::{JobId, TaskId};

/// Crashes from which on a task runs exclusively: two may be a coincidence, where a worker crashes
/// on its own or because of another task.
const SUSPECT_CRASHES: usize = 2;
/// Early crashes after which a task fails, if it was the worker's only run at the latest crash.
const MAX_EARLY_CRASHES_EXCLUSIVE: usize = 2;
/// Early crashes after which a task fails in any case.
const MAX_EARLY_CRASHES: usize = 3;
/// Crashes after which a task fails, early or not. A healthy task rarely reaches this count, since
/// it runs exclusively from its third attempt on. With three, many healthy jobs fail where two of
/// eleven workers crash on their own twice a second.
const MAX_CRASHES: usize = 5;
/// How long a crash is remembered: longer than callers keep resubmitting a job.
const RETENTION: Span = Span::from_secs(60);
/// Maximum number of remembered (crash, task) pairs, at about 100 bytes each: enough for three
/// crashes at once of a seventh of 800 workers that run 24 tasks each.
const MAX_ENTRIES: usize = 8 * 1024;

/// A worker crash, as reported by the worker's agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerCrash {
    /// The worker incarnation that crashed. It identifies the crash: a repeated report counts once.
    #[serde(rename = "l")]
    pub incarnation: String,
    /// Number of runs that the worker had started and not ended.
    #[serde(rename = "n")]
    pub runs: u32,
    /// Tasks of those runs that concern the receiver.
    #[serde(rename = "t")]
    pub tasks: Vec<CrashedTask>,
}

impl WorkerCrash {
    /// A copy with only the tasks for which `selects` returns `true`; `None` if there are none.
    pub fn restricted_to(&self, selects: impl Fn(TaskId) -> bool) -> Option<Self> {
        let tasks = self.tasks.iter().filter(|crashed| selects(crashed.task));
        let tasks: Vec<CrashedTask> = tasks.copied().collect();
        (!tasks.is_empty()).then(|| Self {
            incarnation: self.incarnation.clone(),
            runs: self.runs,
            tasks,
        })
    }
}

/// A task that was running on a worker when it crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashedTask {
    /// Id of the task, with the job, the repetition and the step that the task belongs to.
    #[serde(rename = "t")]
    pub task: TaskId,
    /// Whether the worker crashed soon after the task's start, relative to the task's estimated
    /// duration. For a healthy task this is unlikely.
    #[serde(rename = "e", default, skip_serializing_if = "is_false")]
    pub is_early: bool,
}

/// Suspicion that a task crashes its workers, in rising order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Suspicion {
    /// No worker crashed while running it.
    Clear,
    /// One worker crashed. The task shares its next worker only with tasks that are clear, so that
    /// two suspicious tasks do not crash together again.
    OneCrash,
    /// One worker crashed, soon after the task's start. The task runs exclusively if a worker
    /// with enough free resources is available, so that a second early crash proves it the cause;
    /// otherwise as [`Suspicion::OneCrash`].
    OneEarlyCrash,
    /// Several workers crashed: the task runs exclusively on its next worker.
    Suspect,
    /// The task crashes its workers; it is not started again.
    Poison,
}

/// A crash during a run of a task.
#[derive(Clone, Debug)]
struct Crash {
    incarnation: Arc<str>,
    is_early: bool,
    /// Whether the task was the worker's only run.
    is_exclusive: bool,
}

/// The remembered crashes, by task.
#[derive(Debug, Default)]
pub struct CrashLog {
    crashes: BTreeMap<TaskId, Vec<Crash>>,
    /// The task of each crash, in the order of recording.
    recorded: VecDeque<(Timestamp, TaskId)>,
    /// When an entry was last evicted because the log was full.
    evicted_at: Option<Timestamp>,
}

impl CrashLog {
    /// Whether a crash that is not in the log may have been evicted from it. Such a crash is not
    /// forwarded, since it would circulate among the gateways without end.
    pub fn may_have_evicted(&self, now: Timestamp) -> bool {
        self.evicted_at.is_some_and(|at| now.since(at) <= RETENTION)
    }

    /// Records a crash, and returns the tasks for which it is new.
    pub fn record(&mut self, now: Timestamp, crash: &WorkerCrash) -> Vec<TaskId> {
        self.evict_expired(now);
        let incarnation: Arc<str> = crash.incarnation.as_str().into();
        let mut new = Vec::new();
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
            self.recorded.push_back((now, *task));
            new.push(*task);
        }
        new
    }

    /// The suspicion against a task, by its remembered crashes.
    pub fn suspicion(&self, task: TaskId) -> Suspicion {
        let Some(crashes) = self.crashes.get(&task) else {
            return Suspicion::Clear;
        };
        let early = crashes.iter().filter(|crash| crash.is_early).count();
        let was_exclusive = crashes.last().is_some_and(|crash| crash.is_exclusive);
        let is_proven =
            (was_exclusive && early >= MAX_EARLY_CRASHES_EXCLUSIVE) || early >= MAX_EARLY_CRASHES;
        if is_proven || crashes.len() >= MAX_CRASHES {
            Suspicion::Poison
        } else if crashes.len() >= SUSPECT_CRASHES {
            Suspicion::Suspect
        } else if early > 0 {
            Suspicion::OneEarlyCrash
        } else {
            Suspicion::OneCrash
        }
    }

    /// The worker incarnations that crashed while running a task.
    pub fn incarnations_of(&self, task: TaskId) -> Vec<Arc<str>> {
        let crashes = self.crashes.get(&task).into_iter().flatten();
        crashes
            .map(|crash| Arc::clone(&crash.incarnation))
            .collect()
    }

    /// The tasks of a job with remembered crashes.
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

    fn evict_expired(&mut self, now: Timestamp) {
        while let Some((at, task)) = self.recorded.front().copied() {
            if now.since(at) <= RETENTION {
                if self.recorded.len() <= MAX_ENTRIES {
                    return;
                }
                self.evicted_at = Some(now);
            }
            self.recorded.pop_front();
            self.remove_oldest_of(task);
        }
    }

    fn remove_oldest_of(&mut self, task: TaskId) {
        let Some(crashes) = self.crashes.get_mut(&task) else {
            return;
        };
        crashes.remove(0);
        if crashes.is_empty() {
            self.crashes.remove(&task);
        }
    }
}
