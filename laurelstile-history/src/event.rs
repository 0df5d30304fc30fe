//! The events of a history.

use laurelstile_types::id::{ChangeId, IdempotencyKey};
use laurelstile_types::outcome::{Reason, RunState};
use laurelstile_types::revision::RevisionNumber;
use serde::{Deserialize, Serialize};

/// One line of a history.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Wall clock of the machine that all processes of the run share, in
    /// microseconds since the epoch.
    pub at_micros: u64,
    /// Who appended it.
    pub node: String,
    /// What happened.
    #[serde(flatten)]
    pub event: Event,
}

/// Identifies one HTTP request of one caller, unique in the run.
pub type RequestId = String;

/// Target of faults that hit the platform.
pub const PLATFORM: &str = "platform";

/// What happened.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event {
    /// A caller sends a job.
    Submitted {
        /// The request.
        request: RequestId,
        /// Gateway that it is sent to.
        gateway: String,
        /// Number of tasks.
        tasks: u32,
        /// Key, where the request may not be repeated.
        key: Option<IdempotencyKey>,
    },
    /// A caller has a whole answer.
    Answered {
        /// The request.
        request: RequestId,
        /// For each result the request and task that it speaks of.
        results: Vec<ResultTag>,
    },
    /// A caller has a refusal or failure.
    Failed {
        /// The request.
        request: RequestId,
        /// Whether it may have run.
        run_state: RunState,
        /// Why.
        reason: Reason,
    },
    /// A caller's connection broke, or no answer came in its time.
    Lost {
        /// The request.
        request: RequestId,
        /// Whether nothing was sent, as the connection was refused.
        unsent: bool,
    },
    /// A back end starts a task.
    TaskStarted {
        /// Submission, as the agent names it.
        submission: String,
        /// Index of the task.
        task: u32,
        /// Dispatch, as the agent names it.
        dispatch: String,
        /// The request in the task's input.
        request: RequestId,
        /// Key in the task's input, where the request may not be repeated.
        key: Option<IdempotencyKey>,
    },
    /// A back end has ended a task.
    TaskEnded {
        /// Submission, as the agent names it.
        submission: String,
        /// Index of the task.
        task: u32,
    },
    /// An operator asks for a change.
    ChangeRequested {
        /// The change.
        change: ChangeId,
    },
    /// An operator was told that a change is accepted.
    ChangeAccepted {
        /// The change.
        change: ChangeId,
        /// Its revision.
        revision: RevisionNumber,
        /// Back end that it drains, if it does.
        drains: Option<String>,
    },
    /// A node puts a revision in force.
    InForce {
        /// Incarnation of the node.
        incarnation: String,
        /// The revision.
        revision: RevisionNumber,
    },
    /// A back end was marked as leaving in the machine list.
    ListedLeaving {
        /// The back end.
        backend: String,
    },
    /// A gateway asks the table for a claim.
    ClaimRequested {
        /// Tenant, service and key.
        claim: String,
        /// Submission that claims.
        submission: String,
    },
    /// A gateway learned what became of a claim.
    ClaimDecided {
        /// Tenant, service and key.
        claim: String,
        /// Submission that claimed.
        submission: String,
        /// Whether it has the claim.
        granted: bool,
    },
    /// A gateway begins to give a claim back.
    ReleaseRequested {
        /// Tenant, service and key.
        claim: String,
        /// Submission that had or may have the claim.
        submission: String,
    },
    /// A claim is given back.
    ReleaseDone {
        /// Tenant, service and key.
        claim: String,
        /// Submission that had or may have had the claim.
        submission: String,
    },
    /// A planned stop of a node begins.
    StopBegan {
        /// The node.
        target: String,
    },
    /// A node has ended by itself after a planned stop.
    StopEnded {
        /// The node.
        target: String,
    },
    /// A fault begins on a node or on the link to it.
    FaultBegan {
        /// The node, or `platform`.
        target: String,
        /// Its kind.
        kind: String,
    },
    /// A fault ends.
    FaultEnded {
        /// The node, or `platform`.
        target: String,
        /// Its kind.
        kind: String,
    },
}

/// What a result speaks of.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResultTag {
    /// The request in the task's input.
    pub request: RequestId,
    /// The task's index in the input.
    pub task: u32,
}
