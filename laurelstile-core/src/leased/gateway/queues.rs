//! Queues: where jobs are handed in, which service runs them, and how soon
//! they are wanted.

use std::sync::Arc;

use laurelstile_types::time::Span;
use serde::{Deserialize, Serialize};

/// A version of the configuration; the whole of it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct QueueConfiguration {
    /// Rises from version to version, in uneven steps.
    pub version: u64,
    /// All queues.
    pub queues: Vec<Arc<QueueSettings>>,
}

/// One queue.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QueueSettings {
    /// Its name.
    pub name: String,
    /// Host that callers name.
    pub host: String,
    /// Path with which the paths of its jobs begin.
    pub path_prefix: String,
    /// Service whose workers run its tasks.
    pub service: String,
    /// 0 goes first.
    pub priority: u32,
    /// Failed runs of a task after which its job has failed.
    pub max_attempts: u32,
    /// Factor on the longest chain of work in a job's objective.
    pub stretch: f64,
    /// Added to that product in the objective, in milliseconds.
    pub slack_millis: u64,
    /// Whether its tasks may only run where an advisor says.
    pub is_advised: bool,
}

impl QueueSettings {
    /// Response time at which a job with `chain` of work is aimed.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss,
        reason = "spans are far below 2^52 and positive"
    )]
    pub fn objective(&self, chain: Span) -> Span {
        let stretched = (chain.0 as f64 * self.stretch.max(0.0)) as u64;
        Span(stretched + self.slack_millis * 1_000)
    }
}

impl QueueConfiguration {
    /// The queue of a request: its host, and the longest prefix of its path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<QueueSettings>> {
        let host = without_port(host);
        self.queues
            .iter()
            .filter(|queue| queue.host.eq_ignore_ascii_case(host))
            .filter(|queue| path.starts_with(&queue.path_prefix))
            .max_by_key(|queue| queue.path_prefix.len())
    }
}

fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}
