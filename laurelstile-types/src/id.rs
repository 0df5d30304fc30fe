//! Identifier newtypes.

use std::fmt;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Declares a newtype over `String` for a name chosen by people or tools.
macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema,
        )]
        #[serde(transparent)]
        pub struct $name(pub String);

        impl $name {
            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(text.to_owned())
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }
    };
}

name_type! {
    /// Name of a gateway, unique in the installation.
    GatewayName
}
name_type! {
    /// Name of a back end and of its agent.
    BackendName
}
name_type! {
    /// Name of a pool of back ends.
    PoolName
}
name_type! {
    /// Name of a service, as callers give it when they submit a job.
    ServiceName
}
name_type! {
    /// Name of a task class within a service.
    ClassName
}
name_type! {
    /// Name of a tenant (a team with a quota).
    TenantName
}
name_type! {
    /// Name of a zone. A gateway prefers agents of its own zone among otherwise equal ones.
    ZoneName
}
name_type! {
    /// Name of the rack that holds a back end.
    RackName
}
name_type! {
    /// Key chosen by a caller for a request that must run at most once.
    IdempotencyKey
}
name_type! {
    /// Identifier chosen by an operator's tool for one configuration change.
    ChangeId
}

/// One start of a process: a number drawn at random when the process starts.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema,
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// Id of a submitted job: the incarnation of its entry gateway, and a number within it.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema,
)]
pub struct SubmissionId {
    /// Incarnation of the entry gateway.
    pub entry: Incarnation,
    /// Number of the submission within that incarnation.
    pub number: u64,
}

impl fmt::Display for SubmissionId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}-{}", self.entry, self.number)
    }
}

/// Index of a task within its submission.
pub type TaskIndex = u32;

/// Number of a delegation of a submission; incremented at each recovery.
pub type DelegationNumber = u32;

/// Id of the dispatch of one task under one delegation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct DispatchId {
    /// The submission that the task belongs to.
    pub submission: SubmissionId,
    /// Index of the task in the submission.
    pub task: TaskIndex,
    /// Delegation under which the task is dispatched.
    pub delegation: DelegationNumber,
}

impl fmt::Display for DispatchId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{}.{}@{}",
            self.submission, self.task, self.delegation
        )
    }
}
