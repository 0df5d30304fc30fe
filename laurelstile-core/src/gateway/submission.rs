//! A submission as its entry gateway holds it.

use std::collections::{BTreeMap, BTreeSet};

use laurelstile_types::id::{
    ClassName, DelegationNumber, GatewayName, IdempotencyKey, PoolName, ServiceName, SubmissionId,
    TaskIndex, TenantName,
};
use laurelstile_types::time::{Span, Timestamp};

use super::links::LinkIndex;
use crate::messages::peer::{DelegatedTask, DelegationKey};
use crate::payload::Payload;

/// A job as a caller sends it.
#[derive(Clone, Debug)]
pub struct JobRequest {
    /// Service.
    pub service: ServiceName,
    /// Tenant that pays.
    pub tenant: TenantName,
    /// Class of its tasks.
    pub class: ClassName,
    /// Input of each task.
    pub inputs: Vec<Payload>,
    /// Longest wait that the caller asks for.
    pub deadline: Option<Span>,
    /// Key of a request that may not be repeated.
    pub idempotency_key: Option<IdempotencyKey>,
}

/// The claim on a request that may not be repeated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimRequest {
    /// Service.
    pub service: ServiceName,
    /// Tenant whose key it is.
    pub tenant: TenantName,
    /// The key.
    pub key: IdempotencyKey,
    /// Submission that claims it.
    pub submission: SubmissionId,
}

/// Which gateway schedules a delegation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AssignedScheduler {
    /// This one.
    Local,
    /// Another.
    Peer(GatewayName),
}

/// How far a submission has come.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Waits for its claim in the platform's table.
    Claiming,
    /// A scheduler has it.
    Delegated(AssignedScheduler),
    /// The scheduler was lost; these agents have yet to say what they started.
    Recovering(BTreeSet<LinkIndex>),
    /// Only tasks that agents report directly are left.
    Collecting,
}

/// A submission that waits for its answer.
#[derive(Debug)]
pub struct Submission {
    /// Identifier.
    pub id: SubmissionId,
    /// Service.
    pub service: ServiceName,
    /// Pool of the service.
    pub pool: PoolName,
    /// Tenant that pays.
    pub tenant: TenantName,
    /// Class of its tasks.
    pub class: ClassName,
    /// When it came.
    pub accepted: Timestamp,
    /// When it must be answered.
    pub deadline: Timestamp,
    /// Input of each task.
    pub inputs: Vec<Payload>,
    /// Output of each task that has ended.
    pub outputs: Vec<Option<Payload>>,
    /// Number of the latest delegation.
    pub delegation: DelegationNumber,
    /// How far it has come.
    pub phase: Phase,
    /// Tasks that agents run and report here directly.
    pub running_at: BTreeMap<TaskIndex, LinkIndex>,
    /// Agents that keep a fence for it.
    pub fenced_at: BTreeSet<LinkIndex>,
    /// Whether an agent's memory of it was lost.
    pub starts_unknown: bool,
    /// The claim, where it has one.
    pub claim: Option<ClaimRequest>,
}

impl Submission {
    /// Key of the latest delegation.
    pub fn key(&self) -> DelegationKey {
        DelegationKey {
            submission: self.id,
            delegation: self.delegation,
        }
    }

    /// Tasks that neither have an output nor run under a direct report.
    pub fn missing_tasks(&self) -> Vec<DelegatedTask> {
        let mut missing = Vec::new();
        for (index, output) in (0..).zip(&self.outputs) {
            if output.is_none() && !self.running_at.contains_key(&index) {
                missing.push(DelegatedTask {
                    index,
                    input: self.inputs[index as usize].clone(),
                });
            }
        }
        missing
    }

    /// Whether every task has its output.
    pub fn is_complete(&self) -> bool {
        self.outputs.iter().all(Option::is_some)
    }

    /// Whether it is known that tasks of it were started.
    pub fn has_run(&self) -> bool {
        self.starts_unknown
            || !self.running_at.is_empty()
            || self.outputs.iter().any(Option::is_some)
    }

    /// Notes the output of a task.
    pub fn set_output(&mut self, index: TaskIndex, output: Payload) {
        self.running_at.remove(&index);
        if let Some(output_slot) = self.outputs.get_mut(index as usize) {
            *output_slot = Some(output);
        }
    }
}
