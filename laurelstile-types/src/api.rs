//! Bodies of the gateway's HTTP API, for callers and operators.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::id::{ChangeId, ClassName, IdempotencyKey, SubmissionId, TenantName};
use crate::outcome::{Reason, RunState};
use crate::revision::{Change, Revision};

/// A job as a caller submits it.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct JobRequest {
    /// Tenant on whose quota the job runs.
    pub tenant: TenantName,
    /// Class of its tasks.
    pub class: ClassName,
    /// Input of each task, handed to the back end as it is.
    pub tasks: Vec<serde_json::Value>,
    /// Longest wait for the answer, in milliseconds; at most and by default
    /// that of the class.
    #[serde(default)]
    pub deadline_millis: Option<u64>,
    /// Required where the class is not repeatable.
    #[serde(default)]
    pub idempotency_key: Option<IdempotencyKey>,
}

/// The whole answer to a job.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct JobAnswer {
    /// The submission that this answers.
    pub submission: SubmissionId,
    /// Output of each task, in the order of the request.
    pub results: Vec<serde_json::Value>,
}

/// Body of every refusal and failure.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct JobFailure {
    /// The submission, where one was made.
    pub submission: Option<SubmissionId>,
    /// Whether it may have run.
    pub run_state: RunState,
    /// Why there is no answer.
    pub reason: Reason,
    /// When to come back, in milliseconds.
    pub retry_after_millis: Option<u64>,
    /// The same in words.
    pub message: String,
}

/// What a gateway knows of itself, its peers and the agents.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct Status {
    /// Name of the gateway.
    pub gateway: String,
    /// Its incarnation.
    pub incarnation: String,
    /// Whether it takes new jobs.
    pub ready: bool,
    /// Revision of the configuration in force here.
    pub revision: u64,
    /// The other gateways.
    pub peers: Vec<NodeStatus>,
    /// The agents of the configured back ends.
    pub agents: Vec<NodeStatus>,
    /// Submissions that wait for their answer here.
    pub submissions: u64,
    /// Tasks in this gateway's queues.
    pub queued_tasks: u64,
}

/// What a gateway knows of another node.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct NodeStatus {
    /// Name of the gateway or back end.
    pub name: String,
    /// Whether there is a live session to it.
    pub live: bool,
    /// Whether it takes no new work.
    pub draining: bool,
    /// Revision in force there, as last heard.
    pub revision: u64,
    /// Free slots, as last heard; 0 for gateways.
    pub free_slots: u32,
}

/// A change of the configuration as an operator's tool sends it.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ChangeRequest {
    /// Identifier that the tool drew for this change. The same change may be
    /// sent again, to any gateway, and is accepted once.
    pub id: ChangeId,
    /// The change.
    pub change: Change,
    /// Refuse the change unless the newest revision has this number.
    #[serde(default)]
    pub expected_head: Option<u64>,
}

/// An accepted change.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct ChangeAccepted {
    /// Its revision.
    pub revision: u64,
}

/// The configuration in force at a gateway.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct InForce {
    /// The revision, if there is one.
    pub revision: Option<Revision>,
}
