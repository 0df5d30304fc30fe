//! State of a submission at its entry gateway.

use std::collections::{BTreeMap, BTreeSet};

use laurelstile_types::id::{
    ClassName, DelegationNumber, GatewayName, IdempotencyKey, PoolName, ServiceName, SubmissionId,
    TaskIndex, TenantName,
};
use laurelstile_types::time::{Span, Timestamp};

use super::links::LinkIndex;
use crate::messages::peer::{DelegatedTask, DelegationKey};
use crate::payload::Payload;

/// A job as requested by a caller.
#[derive(Clone, Debug)]
pub struct JobRequest {
    /// Service that runs the job.
    pub service: ServiceName,
    /// Tenant to whose quota the job counts.
    pub tenant: TenantName,
    /// Class of all tasks of the job.
    pub class: ClassName,
    /// One opaque input per task.
    pub inputs: Vec<Payload>,
    /// Requested time limit, capped by that of the class; `None` for the limit
    /// of the class.
    pub deadline: Option<Span>,
    /// Required for classes that are not repeatable, ignored for others.
    pub idempotency_key: Option<IdempotencyKey>,
}

/// A claim on the idempotency key of a request that must not run twice.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimRequest {
    /// Service of the request.
    pub service: ServiceName,
    /// Tenant that chose the key.
    pub tenant: TenantName,
    /// Key as sent by the caller.
    pub key: IdempotencyKey,
    /// Submission that requests the claim.
    pub submission: SubmissionId,
}

/// The gateway that schedules a delegation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AssignedScheduler {
    /// This gateway.
    Local,
    /// Another gateway.
    Peer(GatewayName),
}

/// Progress of a submission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Waiting for the platform's table to decide the claim.
    Claiming,
    /// Delegated to a scheduler.
    Delegated(AssignedScheduler),
    /// The scheduler was lost; these agents have not reported yet what they
    /// started.
    Recovering(BTreeSet<LinkIndex>),
    /// Waiting only for tasks that agents report directly.
    Collecting,
}

/// A submission that has not been answered.
#[derive(Debug)]
pub struct Submission {
    pub id: SubmissionId,
    pub service: ServiceName,
    pub pool: PoolName,
    pub tenant: TenantName,
    pub class: ClassName,
    pub accepted_at: Timestamp,
    pub deadline: Timestamp,
    pub inputs: Vec<Payload>,
    /// Output of each task; `None` until it has ended.
    pub outputs: Vec<Option<Payload>>,
    /// Number of the latest delegation; 0 before the first.
    pub delegation: DelegationNumber,
    pub phase: Phase,
    /// Recovered tasks that are still running, with the agent that reports
    /// them here directly.
    pub running_on: BTreeMap<TaskIndex, LinkIndex>,
    /// Agents that hold a fence for the submission.
    pub fenced_on: BTreeSet<LinkIndex>,
    /// Whether an agent that may have started tasks of the submission has lost
    /// its records.
    pub starts_unknown: bool,
    /// The claim; `None` for a repeatable class or if another submission holds
    /// it.
    pub claim: Option<ClaimRequest>,
}

impl Submission {
    pub fn key(&self) -> DelegationKey {
        DelegationKey {
            submission: self.id,
            delegation: self.delegation,
        }
    }

    /// Tasks without an output, except recovered ones that are still running.
    pub fn missing_tasks(&self) -> Vec<DelegatedTask> {
        let mut missing = Vec::new();
        for (index, output) in (0..).zip(&self.outputs) {
            if output.is_none() && !self.running_on.contains_key(&index) {
                missing.push(DelegatedTask {
                    index,
                    input: self.inputs[index as usize].clone(),
                });
            }
        }
        missing
    }

    pub fn is_complete(&self) -> bool {
        self.outputs.iter().all(Option::is_some)
    }

    /// Whether tasks are known to have started, or may have without a record.
    pub fn has_run(&self) -> bool {
        self.starts_unknown
            || !self.running_on.is_empty()
            || self.outputs.iter().any(Option::is_some)
    }

    pub fn set_output(&mut self, index: TaskIndex, output: Payload) {
        self.running_on.remove(&index);
        if let Some(output_slot) = self.outputs.get_mut(index as usize) {
            *output_slot = Some(output);
        }
    }
}
