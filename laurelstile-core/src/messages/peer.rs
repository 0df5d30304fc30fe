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
    /// Revision in force at the sender.
    pub revision: RevisionNumber,
    /// Whether the sender takes no new delegations.
    pub stopping: bool,
    /// The sender's clock.
    pub clock: Timestamp,
    /// The latest reading of the receiver's clock that the sender has seen.
    pub echo: Timestamp,
    /// Submissions whose ends the sender, their entry gateway, has; the
    /// receiver may forget them.
    pub acknowledge: Vec<SubmissionId>,
    /// What the message is about.
    pub body: ToPeerBody,
}

/// What a gateway tells another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ToPeerBody {
    /// Nothing but the envelope.
    Heartbeat,
    /// Schedule a job. The entry gateway keeps the submission.
    Delegate(Box<Delegation>),
    /// The end of a delegation.
    Done(Box<DelegationEnd>),
    /// The entry gateway no longer wants these delegations.
    Withdraw(Vec<DelegationKey>),
    /// After a new session: the delegations that the entry gateway believes
    /// the other has.
    Outstanding(Vec<DelegationKey>),
    /// Those of `Outstanding` that are not there.
    NotHere(Vec<DelegationKey>),
    /// A newer revision than the receiver's.
    Revision(Arc<Revision>),
    /// Back ends that the machine list, as the sender read it, says are
    /// leaving.
    Leaving(Vec<BackendName>),
}

/// One delegation of a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct DelegationKey {
    /// The submission.
    pub submission: SubmissionId,
    /// Number of the delegation.
    pub delegation: DelegationNumber,
}

/// A job handed to a scheduler.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Delegation {
    /// Identifies the delegation.
    pub key: DelegationKey,
    /// Pool that must run it.
    pub pool: PoolName,
    /// Service.
    pub service: ServiceName,
    /// Class of its tasks.
    pub class: ClassName,
    /// Tenant that pays.
    pub tenant: TenantName,
    /// Time left until the deadline.
    pub time_left: Span,
    /// The tasks to run.
    pub tasks: Vec<DelegatedTask>,
}

/// One task of a delegation.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DelegatedTask {
    /// Index in the submission.
    pub index: TaskIndex,
    /// Input.
    pub input: Payload,
}

/// How a delegation ended.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DelegationEnd {
    /// Identifies the delegation.
    pub key: DelegationKey,
    /// How it ended.
    pub outcome: DelegationOutcome,
}

/// How a delegation ended.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum DelegationOutcome {
    /// The outputs of all its tasks.
    Complete(Vec<TaskOutput>),
    /// There are none.
    Failed(Failure),
    /// The scheduler did not take it and never will: delegate it again.
    SentBack,
}

/// Output of one task.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TaskOutput {
    /// Index in the submission.
    pub index: TaskIndex,
    /// Output.
    pub output: Payload,
}
