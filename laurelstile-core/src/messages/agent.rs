//! Messages between a gateway and an agent.

use std::sync::Arc;

use laurelstile_types::id::{
    BackendName, ClassName, DelegationNumber, DispatchId, ServiceName, SubmissionId, TaskIndex,
};
use laurelstile_types::revision::{Revision, RevisionNumber};
use laurelstile_types::time::{Span, Timestamp};
use serde::{Deserialize, Serialize};

use crate::payload::Payload;

/// A message from a gateway to an agent.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ToAgent {
    /// The latest clock reading of the agent that the gateway has seen. The
    /// agent refuses starts whose reading is older than its freshness bound.
    pub echo: Timestamp,
    /// Revision in force at the gateway.
    pub revision: RevisionNumber,
    /// Submissions whose answers are out; the agent may forget them.
    pub release: Vec<SubmissionId>,
    /// What the message is about.
    pub body: ToAgentBody,
}

/// What a gateway tells an agent.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ToAgentBody {
    /// Nothing but the envelope.
    Heartbeat,
    /// Start tasks, one slot each.
    Start(Vec<StartTask>),
    /// After a new session: what became of these dispatches?
    Reconcile(Vec<DispatchId>),
    /// Refuse older delegations of these submissions, say what was started,
    /// and send what is still to come to this gateway.
    Recover(Vec<Fence>),
    /// Stop the tasks of these submissions.
    Cancel(Vec<SubmissionId>),
    /// A newer revision than the agent's, whole: the agent can teach it to
    /// gateways.
    Revision(Arc<Revision>),
    /// A newer revision than the agent's, as far as it concerns the agent.
    Membership(Membership),
    /// The machine list says that the agent's machine is leaving.
    Leaving,
}

/// What a revision says of one back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Number of the revision.
    pub revision: RevisionNumber,
    /// Slots of the back end; 0 if the revision does not name it.
    pub slots: u32,
    /// Whether it is drained.
    pub drained: bool,
}

impl Membership {
    /// What `revision` says of the back end `name`.
    pub fn of(revision: &Revision, name: &BackendName) -> Self {
        let backend = revision
            .configuration
            .backends()
            .find(|backend| backend.name == *name);
        Self {
            revision: revision.number,
            slots: backend.map_or(0, |backend| backend.slots),
            drained: revision.drained.contains(name),
        }
    }
}

/// One task to start.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StartTask {
    /// Identifies the dispatch.
    pub dispatch: DispatchId,
    /// Service that the task belongs to.
    pub service: ServiceName,
    /// Class of the task.
    pub class: ClassName,
    /// At least the time since the entry gateway delegated the task. An agent
    /// that joined its pool later refuses it, as it may have missed a fence.
    pub age: Span,
    /// Time left until the job's deadline. The agent keeps the output for so
    /// long, unless it is released before.
    pub time_left: Span,
    /// Input of the task.
    pub input: Payload,
}

/// The least delegation of a submission that may still start tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fence {
    /// The submission.
    pub submission: SubmissionId,
    /// Older delegations are refused from now on.
    pub delegation: DelegationNumber,
}

/// A message from an agent to a gateway.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FromAgent {
    /// State of the agent's slots.
    pub report: SlotReport,
    /// What the message is about.
    pub body: FromAgentBody,
}

/// State of an agent as it is in every message of its.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotReport {
    /// The agent's clock.
    pub clock: Timestamp,
    /// Revision in force at the agent.
    pub revision: RevisionNumber,
    /// Slots that the receiving gateway may fill.
    pub free: u32,
    /// Task starts of this session that the agent has dealt with so far.
    pub processed: u64,
    /// Whether the agent takes no new work.
    pub draining: bool,
    /// Since when, on the agent's clock, its back end is in the configuration.
    pub member_since: Timestamp,
}

/// What an agent tells a gateway.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum FromAgentBody {
    /// Nothing but the report.
    Heartbeat,
    /// Tasks that have ended.
    Results(Vec<TaskResult>),
    /// Proof that these dispatches were not started.
    NotStarted(Vec<NotStarted>),
    /// What became of the dispatches that the gateway asked for.
    Reconciled(Vec<Reconciled>),
    /// What was started of the submissions that the gateway recovers.
    Recovered(Vec<Recovered>),
    /// Another gateway has taken over these submissions: older delegations
    /// than the fences start nothing more here.
    Superseded(Vec<Fence>),
    /// A newer revision than the gateway's.
    Revision(Arc<Revision>),
}

/// A task that has ended.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TaskResult {
    /// The dispatch.
    pub dispatch: DispatchId,
    /// How long the back end took, in microseconds.
    pub run_micros: u64,
    /// How it ended.
    pub outcome: TaskOutcome,
}

/// How a started task ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskOutcome {
    /// The back end's answer.
    Output(Payload),
    /// The back end answered with an error.
    Failed,
    /// The connection to the back end broke after the request was sent.
    Unknown,
    /// Stopped at a gateway's request.
    Cancelled,
    /// It ended, but the agent had no room to keep the output.
    OutputLost,
}

/// A dispatch that was not started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NotStarted {
    /// The dispatch.
    pub dispatch: DispatchId,
    /// Why.
    pub reason: NotStartedReason,
}

/// Why a dispatch was not started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum NotStartedReason {
    /// All slots are taken.
    Full,
    /// The agent takes no new work.
    Draining,
    /// The sender's revision is older than the agent's.
    StaleRevision,
    /// The sender has not heard from the agent for too long.
    StaleSender,
    /// A newer delegation of the submission exists, or it is over.
    Fenced,
    /// The task was started before.
    Duplicate,
    /// The task was delegated before the agent joined its pool.
    OlderThanAgent,
    /// The back end refused the connection.
    BackendUnreachable,
}

/// What became of a dispatch from an earlier session.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Reconciled {
    /// The dispatch.
    pub dispatch: DispatchId,
    /// What became of it.
    #[serde(rename = "fate")]
    pub status: DispatchStatus,
}

/// What became of a dispatch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DispatchStatus {
    /// It never came, and now never will: its session is closed.
    NeverReceived,
    /// It runs.
    Running,
    /// It has ended.
    Finished {
        /// How long it ran, in microseconds.
        run_micros: u64,
        /// How it ended.
        outcome: TaskOutcome,
    },
}

/// What an agent had started of a submission.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Recovered {
    /// The fence that the agent now keeps.
    pub fence: Fence,
    /// Tasks that were started; no other ever will be under an older
    /// delegation.
    pub tasks: Vec<(TaskIndex, DispatchStatus)>,
}
