//! Histories of leased workers: what callers and workers have seen, and the
//! judge of what must hold there.

mod double_runs;
mod judge;
mod lost_track;

use serde::{Deserialize, Serialize};

pub use double_runs::{CallSeen, DoubleRun, OverlappingRun, Source, double_runs};
pub use judge::{Bounds, judge};
pub use lost_track::{LostTrack, Point, Recorded};

/// A task, as workers name it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskName {
    /// The job.
    pub job: u64,
    /// The step.
    pub step: u32,
    /// Index in the step.
    pub index: u32,
}

/// One life of a worker.
pub type Life = u64;

/// How a run ended at its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunEnd {
    /// Done.
    Done,
    /// Failed.
    Failed,
    /// Stopped, lapsed, or dead with its worker.
    Broken,
}

/// How late an order to start was carried out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Promptness {
    /// At once.
    #[default]
    Prompt,
    /// Long after it was sent: bounds of time do not bind it.
    Late,
    /// So late that its worker had started again under its id, and before an order for that life
    /// had come: nobody could keep it from that. A worker that starts again holds nothing of
    /// before, so this goes beyond what platforms do; what it starts is nobody's run.
    LateAndUnreached,
}

impl Promptness {
    /// Whether it was carried out at once.
    pub fn is_prompt(&self) -> bool {
        *self == Self::Prompt
    }
}

/// The order to start a run, as a gateway sent it to an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartOrder {
    /// Number of the gateway.
    pub gateway: usize,
    /// Incarnation of the gateway, if it is known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub gateway_incarnation: Option<u64>,
    /// Number of the agent.
    pub agent: usize,
    /// Number of the run.
    pub run: u32,
    /// When the gateway sent it, in microseconds, if it is known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub sent_at: Option<u64>,
    /// Fencing token of the agent, if it is known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub token: Option<u64>,
    /// Which of the caller's calls the gateway had the job from, from 1, if it is known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub call: Option<usize>,
}

/// What a caller was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Told {
    /// The job is done.
    Completed,
    /// The job has failed.
    Failed,
    /// Nothing of this call was or will be started.
    Refused,
    /// Given up after a start.
    GivenUp,
    /// The connection broke, or the caller left.
    Nothing,
}

/// Something that a caller or a worker has seen.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Seen {
    /// A caller hands a job in.
    Submitted {
        /// The job.
        job: u64,
        /// Tasks of each of its steps.
        tasks: Vec<u32>,
        /// Room that each task needs.
        room: u32,
        /// Failures of a task that end it.
        max_attempts: u32,
        /// Number of the gateway that is called, if it is known.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        gateway: Option<usize>,
    },
    /// A call has ended.
    Answered {
        /// The job.
        job: u64,
        /// What its caller was told.
        told: Told,
        /// Whether the gateway was in a planned stop, and nothing else.
        in_planned_stop: bool,
    },
    /// A life of a worker begins.
    Began {
        /// Life of the worker.
        life: Life,
        /// Its zone.
        zone: String,
    },
    /// A job requires a label of each worker that starts it.
    Requires {
        /// The job.
        job: u64,
        /// The label.
        label: String,
    },
    /// The labels of a life of a worker.
    Labelled {
        /// Life of the worker.
        life: Life,
        /// Its labels.
        labels: Vec<String>,
    },
    /// The operator's word that a zone is evacuated was acknowledged.
    Evacuated {
        /// The zone.
        zone: String,
    },
    /// The operator takes an evacuated zone back.
    TakenBack {
        /// The zone.
        zone: String,
    },
    /// A worker starts a run.
    Started {
        /// Life of the worker.
        life: Life,
        /// The task.
        task: TaskName,
        /// Room of the worker.
        capacity: u32,
        /// How late its order was carried out.
        #[serde(default, skip_serializing_if = "Promptness::is_prompt")]
        promptness: Promptness,
        /// The gateway's order, if it is known.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        order: Option<StartOrder>,
    },
    /// A run ends at its worker.
    Ended {
        /// Life of the worker.
        life: Life,
        /// The task.
        task: TaskName,
        /// How.
        how: RunEnd,
    },
    /// An order to stop a run reaches its worker.
    StopReceived {
        /// Life of the worker.
        life: Life,
        /// The task.
        task: TaskName,
        /// Number of the run.
        run: u32,
    },
    /// An agent acknowledges the end of a run to its worker.
    Acknowledged {
        /// Life of the worker.
        life: Life,
        /// The task.
        task: TaskName,
        /// Number of the run.
        run: u32,
        /// Fencing token of the agent.
        token: u64,
    },
    /// A life of a worker ends without its word, with all that it runs.
    Crashed {
        /// Life of the worker.
        life: Life,
        /// The task whose run took it down, if one did.
        by: Option<TaskName>,
    },
    /// The room of a worker has changed.
    Capacity {
        /// Life of the worker.
        life: Life,
        /// Its room before.
        before: u32,
    },
    /// The cancelling of a job was acknowledged.
    Cancelled {
        /// The job.
        job: u64,
    },
    /// An agent has acknowledged that a worker drains.
    DrainAcknowledged {
        /// Life of the worker.
        life: Life,
    },
    /// A gateway uses a version of the configuration.
    InForce {
        /// Incarnation of the gateway.
        gateway: u64,
        /// The version.
        version: u64,
    },
}

/// Something seen, and when.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Time, in microseconds.
    pub at: u64,
    /// What.
    #[serde(flatten)]
    pub seen: Seen,
}

/// What must hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// No start pushes a worker over its room.
    Room,
    /// No task starts on a worker without the label that its job requires.
    Label,
    /// No task runs twice at the same time.
    OneRun,
    /// No start after a drain's bound.
    Drain,
    /// No start in a zone after the bound of its evacuation.
    Evacuation,
    /// A job whose every call was refused has no start.
    RefusedIsTrue,
    /// Only what was handed in starts.
    Asked,
    /// A job shown as done has all its tasks done.
    WholeAnswer,
    /// A job shown as failed has a task that failed as often as allowed, or under
    /// which two workers have crashed.
    FailedForCause,
    /// A task that takes its workers down is not started again and again.
    CrashBudget,
    /// A cancelled job does not start, and does not run on.
    Cancelled,
    /// A planned stop ends no call without an answer.
    StopCutsNothing,
    /// A configuration never reverts within a process.
    NeverReverts,
}

/// A broken rule.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// When it broke, in microseconds.
    pub at: u64,
    /// What broke it.
    pub message: String,
}
