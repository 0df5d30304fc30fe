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
/// Silent workers from which on a task runs exclusively if none of them is known to have crashed: a
/// partition may interrupt a healthy task more than once.
const SUSPECT_PRESUMED_CRASHES: usize = 3;
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
/// How long a worker may refuse connections before it counts as crashed even if no other incarnation
/// has taken its place: longer than workers take to shut down, and than most are away after a crash.
const MAX_UNRESOLVED: Span = Span::from_secs(4);
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

/// What an agent knows of a crash that it cannot tell from a partition or a shutdown yet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CrashEvidence {
    /// The worker may have crashed: it has been silent until its lease expired, or it refuses
    /// connections.
    #[serde(rename = "p")]
    Presumed(WorkerCrash),
    /// The worker incarnation has crashed: another one has taken its place.
    #[serde(rename = "c")]
    Confirmed(String),
    /// The worker incarnation has not crashed: it has answered, or announced its shutdown. Reports of
    /// its crash are void as well.
    #[serde(rename = "w")]
    Withdrawn(String),
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
    /// Several workers may have crashed, and it is not known of enough of them: the task is not started
    /// until it is.
    Withheld,
    /// The task crashes its workers; it is not started again.
    Poison,
}

/// How certain it is that a worker has crashed, in rising order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Certainty {
    /// It was silent until its lease expired.
    Presumed,
    /// It refuses connections, as it also would while it shuts down.
    Reported,
    /// Another incarnation has taken its place.
    Confirmed,
}

/// A crash during a run of a task.
#[derive(Clone, Debug)]
struct Crash {
    recorded_at: Timestamp,
    incarnation: Arc<str>,
    is_early: bool,
    /// Number of runs that the worker had.
    runs: u32,
    certainty: Certainty,
}

/// A crash that has not been confirmed.
#[derive(Clone, Copy, Debug)]
struct PresumedCrash {
    since: Timestamp,
    /// Whether the worker refuses connections.
    is_reported: bool,
}

/// The remembered crashes, by task.
#[derive(Debug, Default)]
pub struct CrashLog {
    crashes: BTreeMap<TaskId, Vec<Crash>>,
    /// The task and the incarnation of each crash, in the order of recording.
    recorded: VecDeque<(Timestamp, TaskId, Arc<str>)>,
    /// Incarnations that may have crashed.
    presumed: BTreeMap<Arc<str>, PresumedCrash>,
    /// When an entry was last evicted because the log was full.
    evicted_at: Option<Timestamp>,
}

impl CrashLog {
    /// Whether a crash that is not in the log may have been evicted from it. Such a crash is not
    /// forwarded, since it would circulate among the gateways without end.
    pub fn may_have_evicted(&self, now: Timestamp) -> bool {
        self.evicted_at.is_some_and(|at| now.since(at) <= RETENTION)
    }

    /// Records a crash that an agent has reported, and returns the tasks for which it is new. It is
    /// confirmed unless the incarnation is presumed to have crashed.
    pub fn record(&mut self, now: Timestamp, crash: &WorkerCrash) -> Vec<TaskId> {
        let presumed = self.presumed.get_mut(crash.incarnation.as_str());
        let certainty = if let Some(presumed) = presumed {
            presumed.is_reported = true;
            Certainty::Reported
        } else {
            Certainty::Confirmed
        };
        self.add(now, crash, certainty)
    }

    /// Records a confirmed crash, and returns the tasks for which it is new.
    pub fn record_confirmed(&mut self, now: Timestamp, crash: &WorkerCrash) -> Vec<TaskId> {
        self.presumed.remove(crash.incarnation.as_str());
        self.add(now, crash, Certainty::Confirmed)
    }

    /// Whether the incarnation may have crashed, but is not known to have.
    pub fn is_presumed(&self, crash: &WorkerCrash) -> bool {
        self.presumed.contains_key(crash.incarnation.as_str())
    }

    /// Records that a worker may have crashed.
    pub fn presume(&mut self, now: Timestamp, crash: &WorkerCrash) {
        let presumed = PresumedCrash {
            since: now,
            is_reported: false,
        };
        let incarnation = crash.incarnation.as_str().into();
        self.presumed.entry(incarnation).or_insert(presumed);
        self.add(now, crash, Certainty::Presumed);
    }

    /// Records that an incarnation which was presumed to have crashed has. Returns the crash with all
    /// known tasks; `None` if it was not presumed.
    pub fn confirm(&mut self, incarnation: &str) -> Option<WorkerCrash> {
        self.presumed.remove(incarnation)?;
        let mut confirmed = WorkerCrash {
            incarnation: incarnation.to_owned(),
            runs: 0,
            tasks: Vec::new(),
        };
        for (task, crashes) in &mut self.crashes {
            for crash in crashes {
                if *crash.incarnation == *incarnation {
                    crash.certainty = Certainty::Confirmed;
                    confirmed.runs = crash.runs;
                    confirmed.tasks.push(CrashedTask {
                        task: *task,
                        is_early: crash.is_early,
                    });
                }
            }
        }
        Some(confirmed)
    }

    /// Incarnations that have refused connections for longer than workers take to shut down or to
    /// restart.
    pub fn unresolved(&self, now: Timestamp) -> Vec<String> {
        let is_unresolved = |presumed: &PresumedCrash| {
            presumed.is_reported && now.since(presumed.since) > MAX_UNRESOLVED
        };
        let presumed = self.presumed.iter();
        let unresolved = presumed.filter(|(_, presumed)| is_unresolved(presumed));
        unresolved
            .map(|(incarnation, _)| incarnation.to_string())
            .collect()
    }

    /// Removes an incarnation that has not crashed.
    pub fn withdraw(&mut self, incarnation: &str) {
        if self.presumed.remove(incarnation).is_none() {
            return;
        }
        self.crashes.retain(|_, crashes| {
            crashes.retain(|crash| *crash.incarnation != *incarnation);
            !crashes.is_empty()
        });
    }

    /// Adds a crash, or raises the certainty of a known one. Returns the tasks for which it has become
    /// more certain than a presumption.
    fn add(&mut self, now: Timestamp, crash: &WorkerCrash, certainty: Certainty) -> Vec<TaskId> {
        self.evict_expired(now);
        let incarnation: Arc<str> = crash.incarnation.as_str().into();
        let mut new = Vec::new();
        for CrashedTask { task, is_early } in &crash.tasks {
            let crashes = self.crashes.entry(*task).or_default();
            let mut known = crashes.iter_mut();
            if let Some(known) = known.find(|known| known.incarnation == incarnation) {
                if known.certainty < certainty {
                    new.extend((known.certainty == Certainty::Presumed).then_some(*task));
                    known.certainty = certainty;
                    known.is_early = *is_early;
                    known.runs = crash.runs;
                }
                continue;
            }
            crashes.push(Crash {
                recorded_at: now,
                incarnation: Arc::clone(&incarnation),
                is_early: *is_early,
                runs: crash.runs,
                certainty,
            });
            let recorded = (now, *task, Arc::clone(&incarnation));
            self.recorded.push_back(recorded);
            new.extend((certainty > Certainty::Presumed).then_some(*task));
        }
        new
    }

    /// The suspicion against a task, by its remembered crashes. Only confirmed ones make it
    /// [`Suspicion::Poison`].
    pub fn suspicion(&self, task: TaskId) -> Suspicion {
        let Some(crashes) = self.crashes.get(&task) else {
            return Suspicion::Clear;
        };
        if is_poison(crashes, Certainty::Confirmed) {
            return Suspicion::Poison;
        }
        if is_poison(crashes, Certainty::Reported) || crashes.len() >= MAX_CRASHES {
            return Suspicion::Withheld;
        }
        let reported = || crashes.iter().filter(|crash| crash.is_reported());
        let has_confirmed = crashes
            .iter()
            .any(|crash| crash.certainty == Certainty::Confirmed);
        if reported().count() >= SUSPECT_CRASHES && !has_confirmed {
            return Suspicion::Withheld;
        }
        let max_unsuspicious = match reported().count() {
            0 => SUSPECT_PRESUMED_CRASHES,
            _ => SUSPECT_CRASHES,
        };
        if crashes.len() >= max_unsuspicious {
            Suspicion::Suspect
        } else if reported().any(|crash| crash.is_early) {
            Suspicion::OneEarlyCrash
        } else if reported().next().is_some() {
            Suspicion::OneCrash
        } else {
            Suspicion::Clear
        }
    }

    /// Whether enough crashes of a task's workers have been reported to suspect it, without those that
    /// are only presumed.
    pub fn is_reported_suspect(&self, task: TaskId) -> bool {
        let crashes = self.crashes.get(&task).into_iter().flatten();
        let reported = crashes.filter(|crash| crash.is_reported());
        reported.count() >= SUSPECT_CRASHES
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
        self.presumed
            .retain(|_, presumed| now.since(presumed.since) <= RETENTION);
        while let Some((at, ..)) = self.recorded.front() {
            if now.since(*at) <= RETENTION {
                if self.recorded.len() <= MAX_ENTRIES {
                    return;
                }
                self.evicted_at = Some(now);
            }
            if let Some((at, task, incarnation)) = self.recorded.pop_front() {
                self.remove(at, task, &incarnation);
            }
        }
    }

    /// Removes a crash, unless it has been withdrawn and recorded anew.
    fn remove(&mut self, recorded_at: Timestamp, task: TaskId, incarnation: &Arc<str>) {
        let Some(crashes) = self.crashes.get_mut(&task) else {
            return;
        };
        crashes
            .retain(|crash| crash.incarnation != *incarnation || crash.recorded_at != recorded_at);
        if crashes.is_empty() {
            self.crashes.remove(&task);
        }
    }
}

impl Crash {
    fn is_reported(&self) -> bool {
        self.certainty >= Certainty::Reported
    }
}

/// Whether those crashes of a task that are certain enough prove that it causes them.
fn is_poison(crashes: &[Crash], certainty: Certainty) -> bool {
    let counted = || crashes.iter().filter(|crash| crash.certainty >= certainty);
    let early = counted().filter(|crash| crash.is_early).count();
    let was_exclusive = counted().next_back().is_some_and(|crash| crash.runs == 1);
    let is_proven =
        (was_exclusive && early >= MAX_EARLY_CRASHES_EXCLUSIVE) || early >= MAX_EARLY_CRASHES;
    is_proven || counted().count() >= MAX_CRASHES
}
