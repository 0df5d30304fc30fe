//! Queues: the endpoints at which jobs are submitted, with their service and response time
//! objective.

use std::collections::BTreeMap;
use std::sync::Arc;

use laurelstile_types::time::Span;
use serde::{Deserialize, Serialize};

/// Maximum floor of a queue, and of all queues of a service together, in percent of the service's
/// capacity.
pub const MAX_FLOOR_PERCENT: u32 = 100;
/// Stands for a floor that could not be read. [`QueueConfiguration::clamped`] drops it.
pub const UNREADABLE_FLOOR_PERCENT: u32 = u32::MAX;

/// Longest objective of a job: one day, far longer than any job is held. Bounds what is calculated
/// from the operator's factors and constants.
const MAX_OBJECTIVE: Span = Span::from_secs(24 * 3_600);

/// A value of a configuration that shares of queues cannot use. It is clamped, and does not keep the rest
/// of the configuration out of force.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConfigurationError {
    /// A value of a queue is out of its range.
    #[error("`{field}` of queue `{queue}` is {value}, and must be from 0 to {max}")]
    OutOfRange {
        /// Name of the queue.
        queue: String,
        /// Name of the field.
        field: &'static str,
        /// The configured value.
        value: u32,
        /// The largest permitted value.
        max: u32,
    },
    /// The floors of a service's queues exceed its capacity from this queue on.
    #[error(
        "`floor_percent` of queue `{queue}` brings the floors of service `{service}` to {value}, and \
         together they must be from 0 to {max}"
    )]
    FloorsExceedService {
        /// Name of the first queue with which the sum exceeds its range.
        queue: String,
        /// Name of the service.
        service: String,
        /// Sum of the floors up to this queue, in percent.
        value: u32,
        /// The largest permitted sum, in percent.
        max: u32,
    },
}

impl ConfigurationError {
    /// Name of the queue whose settings are wrong.
    pub fn queue(&self) -> &str {
        match self {
            Self::OutOfRange { queue, .. } | Self::FloorsExceedService { queue, .. } => queue,
        }
    }

    /// Name of the wrong field.
    pub fn field(&self) -> &'static str {
        match self {
            Self::OutOfRange { field, .. } => field,
            Self::FloorsExceedService { .. } => FLOOR_FIELD,
        }
    }
}

/// Name of [`QueueSettings::floor_percent`] in errors.
const FLOOR_FIELD: &str = "floor_percent";

/// A complete version of the queue configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct QueueConfiguration {
    /// Version number. Increases with every version, not necessarily by one.
    pub version: u64,
    /// Settings of all queues.
    pub queues: Vec<Arc<QueueSettings>>,
}

/// Which requests a queue takes, and how its jobs are run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QueueSettings {
    /// Name of the queue, unique in the configuration.
    pub name: String,
    /// Host name in callers' requests.
    pub host: String,
    /// Prefix of the request path.
    pub path_prefix: String,
    /// Name of the service whose workers run the tasks.
    pub service: String,
    /// Priority; 0 is the highest. Any number is permitted: only the order matters.
    pub priority: u32,
    /// Number of failed runs of a task after which its job fails.
    pub max_attempts: u32,
    /// Factor on the run time of the longest chain of steps in a job's objective.
    pub stretch: f64,
    /// Constant part of a job's objective, in milliseconds.
    pub slack_millis: u64,
    /// Whether tasks may run only on workers named by an external advisor.
    pub is_advised: bool,
    /// Part of the service's capacity that the queue gets before others if it needs it, in percent;
    /// `None` if only fair sharing protects it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub floor_percent: Option<u32>,
}

impl QueueSettings {
    /// Whether requests with this host and path belong to the queue, unless a longer prefix matches.
    pub fn matches(&self, host: &str, path: &str) -> bool {
        self.host.eq_ignore_ascii_case(without_port(host)) && path.starts_with(&self.path_prefix)
    }

    fn check_range(
        &self,
        field: &'static str,
        value: u32,
        max: u32,
    ) -> Result<(), ConfigurationError> {
        if value <= max {
            return Ok(());
        }
        Err(ConfigurationError::OutOfRange {
            queue: self.name.clone(),
            field,
            value,
            max,
        })
    }

    /// The floor, 100 percent at most; `None` also if it could not be read.
    fn clamped_floor(&self) -> Option<u32> {
        let floor = self.floor_percent?;
        (floor != UNREADABLE_FLOOR_PERCENT).then_some(floor.min(MAX_FLOOR_PERCENT))
    }

    /// Response time objective of a job whose longest chain of steps takes `chain`, at most
    /// [`MAX_OBJECTIVE`].
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss,
        reason = "spans are far below 2^52 and positive; the cast saturates"
    )]
    pub fn objective(&self, chain: Span) -> Span {
        let stretched = (chain.0 as f64 * self.stretch.max(0.0)) as u64;
        let slack = Span::from_millis(self.slack_millis);
        Span(stretched.saturating_add(slack.0)).min(MAX_OBJECTIVE)
    }
}

impl QueueConfiguration {
    /// Checks the ranges of floors.
    ///
    /// # Errors
    /// [`ConfigurationError`] for the first queue with a value out of its range, or with which the
    /// floors of its service exceed 100 percent.
    pub fn check(&self) -> Result<(), ConfigurationError> {
        let mut floors: BTreeMap<&str, u32> = BTreeMap::new();
        for queue in &self.queues {
            let floor = queue.floor_percent.unwrap_or(0);
            queue.check_range(FLOOR_FIELD, floor, MAX_FLOOR_PERCENT)?;
            let sum = floors.entry(&queue.service).or_default();
            *sum += floor;
            if *sum > MAX_FLOOR_PERCENT {
                return Err(ConfigurationError::FloorsExceedService {
                    queue: queue.name.clone(),
                    service: queue.service.clone(),
                    value: *sum,
                    max: MAX_FLOOR_PERCENT,
                });
            }
        }
        Ok(())
    }

    /// The configuration with values that [`Self::check`] accepts: floors of a service reduced in
    /// proportion to 100 percent, and no floor where it could not be read.
    pub fn clamped(&self) -> Self {
        let mut sums: BTreeMap<&str, u32> = BTreeMap::new();
        for queue in &self.queues {
            let sum = sums.entry(&queue.service).or_default();
            *sum = sum.saturating_add(queue.clamped_floor().unwrap_or(0));
        }
        let queues = self.queues.iter().map(|queue| {
            let sum = sums.get(queue.service.as_str()).copied().unwrap_or(0);
            let sum = sum.max(MAX_FLOOR_PERCENT);
            let scaled = |floor: u32| floor * MAX_FLOOR_PERCENT / sum;
            Arc::new(QueueSettings {
                floor_percent: queue.clamped_floor().map(scaled),
                ..queue.as_ref().clone()
            })
        });
        Self {
            version: self.version,
            queues: queues.collect(),
        }
    }

    /// Whether queues of a service have different priorities or floors.
    pub fn has_unequal_queues(&self, service: &str) -> bool {
        let queues = self.queues.iter().filter(|queue| queue.service == service);
        let mut rights = queues.map(|queue| (queue.priority, queue.floor_percent));
        let first = rights.next();
        rights.any(|other| Some(other) != first)
    }

    /// The queue for a request: the one with the request's host and the longest matching path
    /// prefix, or `None`.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<QueueSettings>> {
        let queues = self.queues.iter();
        queues
            .filter(|queue| queue.matches(host, path))
            .max_by_key(|queue| queue.path_prefix.len())
    }
}

fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}
