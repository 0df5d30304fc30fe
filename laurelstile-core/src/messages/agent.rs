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
    /// The latest reading of the agent's clock that the gateway has received.
    /// The agent refuses starts whose reading is too old.
    pub echo: Timestamp,
    /// Revision in force at the gateway; 0 if none.
    pub revision: RevisionNumber,
    /// Answered submissions, whose records the agent may discard.
    pub release: Vec<SubmissionId>,
    /// Payload of the message.
    pub body: ToAgentBody,
}

/// Payload of a message from a gateway to an agent.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ToAgentBody {
    /// Carries only the envelope.
    Heartbeat,
    /// Starts tasks, one slot each.
    Start(Vec<StartTask>),
    /// After a reconnect: requests the status of these dispatches, whose
    /// outcome is unknown to the gateway.
    Reconcile(Vec<DispatchId>),
    /// Fences superseded delegations of these submissions, requests a report
    /// of the started tasks, and redirects their results to this gateway.
    Recover(Vec<Fence>),
    /// Stops those running tasks of these submissions whose results go to this
    /// gateway.
    Cancel(Vec<SubmissionId>),
    /// A revision newer than the agent's, in full, so that the agent can pass
    /// it on to other gateways.
    Revision(Arc<Revision>),
    /// Of a revision newer than the agent's, only the part that concerns its
    /// back end.
    Membership(Membership),
    /// The machine list marks the agent's machine as leaving.
    Leaving,
}

/// The part of a revision that concerns one back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Number of the revision.
    pub revision: RevisionNumber,
    /// Number of slots; 0 if the revision does not contain the back end.
    pub slots: u32,
    /// Whether the back end is drained.
    pub drained: bool,
}

impl Membership {
    /// Extracts the membership of the back end `name` from `revision`.
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

/// A request of a gateway that the agent run a task on its back end.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StartTask {
    /// Identifier of the dispatch, reported back with the result.
    pub dispatch: DispatchId,
    /// Service that the task belongs to.
    pub service: ServiceName,
    /// Class of the task within the service.
    pub class: ClassName,
    /// Upper bound of the time since the entry gateway delegated the task; zero
    /// if the entry gateway schedules it itself. An agent that joined its pool
    /// after the delegation refuses the task, as it may have missed a fence.
    pub age: Span,
    /// Time left until the job's deadline. The agent keeps its record of the
    /// task at least until then, unless it is released earlier.
    pub time_left: Span,
    /// Opaque input passed to the back end.
    pub input: Payload,
}

/// The lowest delegation number of a submission that may still start tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fence {
    /// Submission that is fenced.
    pub submission: SubmissionId,
    /// Delegations with a lower number are refused.
    pub delegation: DelegationNumber,
}

/// A message from an agent to a gateway.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FromAgent {
    /// State of the agent's slots at the time of sending.
    pub report: SlotReport,
    /// Payload of the message.
    pub body: FromAgentBody,
}

/// State of an agent, included in each of its messages.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotReport {
    /// The agent's clock at the time of sending.
    pub clock: Timestamp,
    /// Revision in force at the agent; 0 if none.
    pub revision: RevisionNumber,
    /// Slots that the receiving gateway may fill.
    pub free: u32,
    /// Number of starts of this session that the agent has processed.
    pub processed: u64,
    /// Whether the agent refuses new work.
    pub draining: bool,
    /// When the agent last joined its pool, by applying a revision that adds
    /// its back end; on the agent's clock.
    pub member_since: Timestamp,
}

/// Payload of a message from an agent to a gateway.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum FromAgentBody {
    /// Carries only the report.
    Heartbeat,
    /// Outcomes of tasks that have ended.
    Results(Vec<TaskResult>),
    /// Dispatches that were definitely not started.
    NotStarted(Vec<NotStarted>),
    /// Status of the dispatches in a `Reconcile` request.
    Reconciled(Vec<Reconciled>),
    /// Started tasks of the submissions in a `Recover` request.
    Recovered(Vec<Recovered>),
    /// Another gateway has taken over these submissions; delegations with a
    /// lower number than the fence start no more tasks here.
    Superseded(Vec<Fence>),
    /// A revision newer than the gateway's.
    Revision(Arc<Revision>),
}

/// The outcome of a task that has ended.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TaskResult {
    /// Dispatch that started the task.
    pub dispatch: DispatchId,
    /// Run time as measured by the agent, in microseconds.
    pub run_micros: u64,
    /// How the task ended.
    pub outcome: TaskOutcome,
}

/// How a started task ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskOutcome {
    /// Response of the back end.
    Output(Payload),
    /// The back end responded with an error.
    Failed,
    /// The connection to the back end was lost after the request had been
    /// sent.
    Unknown,
    /// Stopped at the request of a gateway.
    Cancelled,
    /// The task ended, but its output was not retained, since the retained
    /// outputs would have exceeded the agent's limit.
    OutputLost,
}

/// A dispatch that was not started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NotStarted {
    /// Dispatch that was refused.
    pub dispatch: DispatchId,
    /// Reason of the refusal.
    pub reason: NotStartedReason,
}

/// Why a dispatch was not started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum NotStartedReason {
    /// All slots are occupied.
    Full,
    /// The agent refuses new work.
    Draining,
    /// The sender's revision is older than the agent's.
    StaleRevision,
    /// The clock reading echoed by the sender is too old.
    StaleSender,
    /// A newer delegation of the submission exists, or the submission was
    /// released.
    Fenced,
    /// The task was started before.
    Duplicate,
    /// The task was delegated before the agent joined its pool.
    OlderThanAgent,
    /// The back end refused the connection, now or shortly before.
    BackendUnreachable,
}

/// Status of a dispatch from an earlier session.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Reconciled {
    /// Dispatch that the gateway asked for.
    pub dispatch: DispatchId,
    /// Status of the dispatch at the agent.
    #[serde(rename = "fate")]
    pub status: DispatchStatus,
}

/// Status of a dispatch at its agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DispatchStatus {
    /// Not started; the dispatch can no longer arrive, since its session is closed.
    NeverReceived,
    /// Started and still running.
    Running,
    /// Started and ended.
    Finished {
        /// Run time as measured by the agent, in microseconds.
        run_micros: u64,
        /// Outcome; `OutputLost` if the output was not retained.
        outcome: TaskOutcome,
    },
}

/// The tasks of a submission that an agent has started.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Recovered {
    /// Fence as requested; the agent may hold a higher one.
    pub fence: Fence,
    /// Started tasks. No others will start under a delegation below the fence.
    pub tasks: Vec<(TaskIndex, DispatchStatus)>,
}
