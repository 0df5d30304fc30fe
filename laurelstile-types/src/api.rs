//! Request and response bodies of the gateway's HTTP API.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::id::{ChangeId, ClassName, IdempotencyKey, SubmissionId, TenantName};
use crate::outcome::{Reason, RunState};
use crate::revision::{Change, Revision};

/// A job as submitted by a caller.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct JobRequest {
    /// Tenant whose quota the job uses.
    pub tenant: TenantName,
    /// Task class, of the service named in the path.
    pub class: ClassName,
    /// Input of each task, passed to the back end unchanged.
    pub tasks: Vec<serde_json::Value>,
    /// Time within which the caller wants an answer, in milliseconds; at most, and by default, the
    /// deadline of the class.
    #[serde(default)]
    pub deadline_millis: Option<u64>,
    /// Required if the class is not repeatable.
    #[serde(default)]
    pub idempotency_key: Option<IdempotencyKey>,
}

/// The results of a job that completed.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct JobAnswer {
    /// The submission that was completed.
    pub submission: SubmissionId,
    /// Output of each task, in the order of the request's tasks.
    pub results: Vec<serde_json::Value>,
}

/// Body of every rejection and failure.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct JobFailure {
    /// The submission; `null` if the request was rejected before one was created.
    pub submission: Option<SubmissionId>,
    /// Whether any task of the job may have run.
    pub run_state: RunState,
    /// Why there are no results.
    pub reason: Reason,
    /// When to retry, in milliseconds from now; `null` if no time is suggested.
    pub retry_after_millis: Option<u64>,
    /// Description of the failure.
    pub message: String,
}

/// A gateway's view of itself, of the other gateways and of the agents.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct Status {
    /// Name of the gateway.
    pub gateway: String,
    /// Incarnation of the gateway's process, in hexadecimal digits.
    pub incarnation: String,
    /// Whether the gateway accepts new jobs.
    pub ready: bool,
    /// Revision of the configuration in force at the gateway; 0 if there is none.
    pub revision: u64,
    /// The other gateways.
    pub peers: Vec<NodeStatus>,
    /// The agents of the configured back ends.
    pub agents: Vec<NodeStatus>,
    /// Number of submissions that wait for their answer at the gateway.
    pub submissions: u64,
    /// Number of tasks in the gateway's queues.
    pub queued_tasks: u64,
}

/// A gateway's view of another node.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct NodeStatus {
    /// Name of the gateway or back end.
    pub name: String,
    /// Whether the gateway has a live session to the node.
    pub live: bool,
    /// Whether the node accepts no new work.
    pub draining: bool,
    /// Revision in force at the node, as last reported.
    pub revision: u64,
    /// Free slots of the node, as last reported; 0 for gateways.
    pub free_slots: u32,
}

/// A change of the configuration, as sent by an operator's tool.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ChangeRequest {
    /// Identifier that the tool chooses for this change. A change may be sent repeatedly and to any
    /// gateway; it is accepted once.
    pub id: ChangeId,
    /// The requested change.
    pub change: Change,
    /// Reject the change unless this is the number of the newest revision.
    #[serde(default)]
    pub expected_head: Option<u64>,
}

/// Answer to an accepted change request.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct ChangeAccepted {
    /// Number of the revision that the change created.
    pub revision: u64,
}

/// The configuration in force at a gateway.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct InForce {
    /// The revision in force; `null` if there is none yet.
    pub revision: Option<Revision>,
}
