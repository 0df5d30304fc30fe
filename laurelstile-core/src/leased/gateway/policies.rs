//! Optional policies of a gateway. Each is off unless the settings of the process hold its section.

use serde::{Deserialize, Serialize};

/// The policies in force; a policy that is `None` is off.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Policies {
    /// How queues share the capacity of a service under contention.
    pub queue_shares: Option<QueueSharesPolicy>,
    /// How jobs are rejected by forecast, and when their callers may return.
    pub admission: Option<AdmissionPolicy>,
    /// What it costs to run far from a step's data.
    pub locality: Option<LocalityPolicy>,
    /// Which runs may be stopped for waiting jobs.
    pub preemption: Option<PreemptionPolicy>,
}

/// How queues share the capacity of a service under contention.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QueueSharesPolicy {
    /// What a queue above its fair share keeps before priorities decide, in percent of its fair
    /// share.
    pub floor_percent: u32,
}

/// How jobs are rejected by forecast, and when their callers may return.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdmissionPolicy {
    /// Maximum delay that a rejected caller is asked for, in milliseconds.
    pub max_retry_after_millis: u64,
}

/// What it costs to run far from a step's data.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LocalityPolicy {
    /// Run time on a worker far from the step's data, relative to one near it.
    pub remote_factor: f64,
}

/// Which runs may be stopped for waiting jobs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PreemptionPolicy {
    /// Processing time that preemption may discard, in percent of the worker's capacity.
    pub budget_percent: u32,
}
