//! Outcomes of submissions without results.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Whether any task of a submission that failed may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// No task of the submission was started or ever will be.
    NotRun,
    /// A task was started, or that cannot be ruled out.
    MayHaveRun,
}

/// Why a submission was rejected or failed.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq, Hash, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The request could not be parsed.
    #[error("the request could not be read")]
    BadRequest,
    /// The named service is not configured.
    #[error("the service is not configured")]
    UnknownService,
    /// The named class is not configured for the service.
    #[error("the class is not configured for the service")]
    UnknownClass,
    /// The named tenant is not configured.
    #[error("the tenant is not configured")]
    UnknownTenant,
    /// The job has no tasks, or more than the service admits.
    #[error("the job has no task, or more than the service admits")]
    JobSize,
    /// A class that is not repeatable needs an idempotency key.
    #[error("a class that is not repeatable needs an idempotency key")]
    IdempotencyKeyMissing,
    /// The idempotency key is claimed by another submission.
    #[error("the idempotency key is claimed by another submission")]
    AlreadyClaimed,
    /// The platform's table cannot be reached to claim the key.
    #[error("the idempotency key cannot be claimed now")]
    ClaimUnavailable,
    /// This gateway is shutting down and accepts no more jobs.
    #[error("this gateway is stopping")]
    GatewayStopping,
    /// The gateway has no configuration yet.
    #[error("this gateway has no configuration yet")]
    NoConfiguration,
    /// An operator has stopped the service.
    #[error("the service is stopped")]
    ServiceStopped,
    /// The queue of the service's pool is full.
    #[error("the queue is full")]
    Overloaded,
    /// The tenant has too many queued tasks.
    #[error("the tenant has too many queued tasks")]
    TenantOverQuota,
    /// The job would not complete before its deadline, given the backlog.
    #[error("the backlog makes the deadline unreachable")]
    DeadlineUnreachable,
    /// The deadline passed before the job completed.
    #[error("the deadline passed")]
    DeadlineExceeded,
    /// The back end answered a task with an error.
    #[error("the back end answered a task with an error")]
    TaskFailed,
    /// An agent was lost that may have had tasks of the submission.
    #[error("a worker was lost while it may have had tasks of the job")]
    WorkerLost,
    /// The caller's connection closed before the answer.
    #[error("the caller's connection closed")]
    CallerGone,
}

impl Reason {
    /// Whether the same request may succeed later.
    pub fn is_temporary(self) -> bool {
        matches!(
            self,
            Self::ClaimUnavailable
                | Self::GatewayStopping
                | Self::NoConfiguration
                | Self::Overloaded
                | Self::TenantOverQuota
                | Self::DeadlineUnreachable
        )
    }
}

/// The outcome of a submission without results.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Failure {
    /// Whether any task of the submission may have run.
    pub run_state: RunState,
    /// Why there are no results.
    pub reason: Reason,
    /// When to retry, in milliseconds; `None` if no time is suggested.
    pub retry_after_millis: Option<u64>,
}

impl Failure {
    /// A failure before any task was started.
    pub fn not_run(reason: Reason) -> Self {
        Self {
            run_state: RunState::NotRun,
            reason,
            retry_after_millis: reason.is_temporary().then_some(DEFAULT_RETRY_AFTER_MILLIS),
        }
    }

    /// A failure after a task may have been started.
    pub fn may_have_run(reason: Reason) -> Self {
        Self {
            run_state: RunState::MayHaveRun,
            reason,
            retry_after_millis: None,
        }
    }
}

/// Default retry delay, used if the backlog gives no better estimate.
pub const DEFAULT_RETRY_AFTER_MILLIS: u64 = 1_000;
