//! Messages between gateways.

use std::sync::Arc;

use laurelstile_types::id::{
    BackendName, ClassName, DelegationNumber, PoolName, ServiceName, SubmissionId, TaskIndex,
    TenantName,
};
use laurelstile_types::outcome::Failure;
use laurelstile_types::revision::{Revision, RevisionNumber};
use laurelstile_types::time::{Span, Timestamp};
use serde::{Deserialize, Serialize};

use crate::payload::Payload;

/// A message from one gateway to another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ToPeer {
    /// Revision in force at the sender; 0 if none.
    pub revision: RevisionNumber,
    /// Whether the sender is shutting down and accepts no new delegations.
    pub stopping: bool,
    /// The sender's clock at the time of sending.
    pub clock: Timestamp,
    /// The latest reading of the receiver's clock that the sender has
    /// received.
    pub echo: Timestamp,
    /// Submissions whose ends the sender, their entry gateway, has received;
    /// the receiver may discard them.
    pub acknowledge: Vec<SubmissionId>,
    /// Payload of the message.
    pub body: ToPeerBody,
}

/// Payload of a message between gateways.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ToPeerBody {
    /// Carries only the envelope.
    Heartbeat,
    /// Requests scheduling of a job. The entry gateway keeps the submission.
    Delegate(Box<Delegation>),
    /// Reports the end of a delegation to its entry gateway.
    Done(Box<DelegationEnd>),
    /// Cancels delegations that the entry gateway has abandoned.
    Withdraw(Vec<DelegationKey>),
    /// After a new session: the delegations that the entry gateway considers
    /// outstanding at the receiver.
    Outstanding(Vec<DelegationKey>),
    /// The delegations in `Outstanding` that are unknown to the sender.
    #[serde(rename = "NotHere")]
    UnknownDelegations(Vec<DelegationKey>),
    /// A revision newer than the receiver's.
    Revision(Arc<Revision>),
    /// Back ends marked as leaving in the machine list as read by the sender.
    Leaving(Vec<BackendName>),
}

/// Identifier of a delegation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct DelegationKey {
    /// Submission that is delegated.
    pub submission: SubmissionId,
    /// Sequence number within the submission, starting at 1.
    pub delegation: DelegationNumber,
}

/// A job delegated to a scheduler.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Delegation {
    /// Identifier of the delegation.
    pub key: DelegationKey,
    /// Pool whose slots run the job.
    pub pool: PoolName,
    /// Service that the tasks belong to.
    pub service: ServiceName,
    /// Class of all tasks.
    pub class: ClassName,
    /// Tenant to whose quota the job counts.
    pub tenant: TenantName,
    /// Time left until the job's deadline.
    pub time_left: Span,
    /// Tasks that have neither ended nor been recovered as still running.
    pub tasks: Vec<DelegatedTask>,
}

/// One task of a delegation.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DelegatedTask {
    /// Index of the task within the submission.
    pub index: TaskIndex,
    /// Opaque input passed to the back end.
    pub input: Payload,
}

/// Outcome of a delegated job, for the entry gateway that delegated it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DelegationEnd {
    /// Identifier of the delegation.
    pub key: DelegationKey,
    /// Outputs or reason of failure.
    pub outcome: DelegationOutcome,
}

/// How a delegation ended.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum DelegationOutcome {
    /// The outputs of all delegated tasks.
    Complete(Vec<TaskOutput>),
    /// The whole job failed.
    Failed(Failure),
    /// The scheduler did not and will not run the job; it must be delegated
    /// again.
    SentBack,
}

/// Output of one task.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TaskOutput {
    /// Index of the task within the submission.
    pub index: TaskIndex,
    /// Opaque output of the back end.
    pub output: Payload,
}
