//! Use of workers by queue, and how queues were served, as gateways and agents tell each other.

use serde::{Deserialize, Serialize};

use super::gateway::on_time_rates::SizeGroup;
use super::queue_key::QueueKey;

/// Use of one worker by queue. Gateways average the reports of an agent over a short time.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// The queues with running or waiting tasks; empty if no task waits for the worker any more.
    #[serde(rename = "l", default, skip_serializing_if = "Vec::is_empty")]
    pub loads: Vec<QueueLoad>,
}

/// Use of one worker by the tasks of one queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueLoad {
    /// The queue.
    #[serde(rename = "q")]
    pub queue: QueueKey,
    /// Processing capacity that its runs take, or that is offered for tasks about to start, in
    /// thousandths of a core.
    #[serde(rename = "r")]
    pub running_cpu_millis: u32,
    /// Processing capacity that its tasks wait for at this worker, in thousandths of a core.
    #[serde(rename = "w")]
    pub waiting_cpu_millis: u32,
}

/// Largest number of counts that a process keeps or sends: sixteen queues of three size groups, some
/// 1 kB on the wire.
pub const MAX_SERVED_COUNTS: usize = 48;

/// How queues were served lately.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ServedCounts(pub Vec<ServedCount>);

/// How the jobs of one queue and size group were served lately.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServedCount {
    /// The queue.
    #[serde(rename = "q")]
    pub queue: QueueKey,
    /// Size of the jobs relative to others of the queue.
    #[serde(rename = "g")]
    pub group: SizeGroup,
    /// Number of answered jobs.
    #[serde(rename = "a")]
    pub answered: u32,
    /// Number of jobs that completed within their objective.
    #[serde(rename = "o")]
    pub on_time: u32,
}
