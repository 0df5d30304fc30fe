//! The handle through which a front end submits jobs to a gateway.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use laurelstile_core::leased::gateway::job::{CallNumber, JobRequest};
use laurelstile_core::leased::gateway::queues::{QueueConfiguration, QueueSettings};
use laurelstile_core::leased::gateway::{Answer, GatewayEvent, Refusal};
use laurelstile_core::leased::task::JobId;
use laurelstile_core::leased::timing::MAX_JOB_TIME;
use laurelstile_types::time::Span;
use metrics::counter;
use thiserror::Error;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::Instant;

use super::input::GatewayInput;
use crate::telemetry::REFUSED_UNCONFIGURED;

/// Time after the start of a gateway during which calls wait for the first configuration. Reading
/// it takes some 10 ms; after a power failure callers connect before that.
const FIRST_CONFIGURATION_WAIT: Duration = Duration::from_millis(250);
/// `retry_after` of a call that the gateway's driver did not answer because it has ended.
const DEFAULT_RETRY_AFTER: Span = Span::from_millis(1_000);

/// Status of a gateway, as published to its front end.
#[derive(Clone, Debug, Default)]
pub struct GatewayStatus {
    /// The configuration in force; `None` until one has been read.
    pub configuration: Option<Arc<QueueConfiguration>>,
    /// Queues that the configuration in force no longer has, whose jobs may not have ended.
    retired: Vec<RetiredQueue>,
    /// Whether the gateway should receive new connections.
    pub is_ready: bool,
    /// Whether the process is shutting down, so that callers should reconnect to another gateway.
    pub is_stopping: bool,
}

impl GatewayStatus {
    /// Puts a configuration in force. The queues that it no longer has are retired for as long as their
    /// jobs may be held.
    pub fn put_in_force(&mut self, configuration: Arc<QueueConfiguration>) {
        let now = Instant::now();
        let before = self.configuration.replace(Arc::clone(&configuration));
        let queues = before.iter().flat_map(|before| &before.queues);
        self.retired.extend(queues.map(|queue| RetiredQueue {
            queue: Arc::clone(queue),
            until: now + Duration::from_micros(MAX_JOB_TIME.0),
        }));
        let is_configured = |retired: &Arc<QueueSettings>| {
            let mut queues = configuration.queues.iter();
            queues
                .any(|queue| queue.host == retired.host && queue.path_prefix == retired.path_prefix)
        };
        self.retired
            .retain(|retired| now < retired.until && !is_configured(&retired.queue));
    }
}

/// A queue that the configuration in force no longer has.
#[derive(Clone, Debug)]
struct RetiredQueue {
    queue: Arc<QueueSettings>,
    /// Until when its jobs may be held.
    until: Instant,
}

/// The gateway's driver has ended and handles no more calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the gateway has ended")]
pub struct GatewayEnded;

/// Result of looking up the queue of a host and a path.
#[derive(Clone, Debug)]
pub enum Lookup {
    /// No configuration has been read yet.
    NotConfigured,
    /// No queue matches the host and a prefix of the path.
    Unknown,
    /// The queue that matches.
    Queue(Arc<QueueSettings>),
}

/// Maximum number of log lines about calls refused without a configuration. The metric counts
/// all of them.
const MAX_UNCONFIGURED_LINES: u64 = 200;

/// Handle to a gateway for its front end; clones share the same gateway.
#[derive(Clone, Debug)]
pub struct GatewayHandle {
    input: mpsc::UnboundedSender<GatewayInput>,
    status: watch::Receiver<GatewayStatus>,
    next_call_number: Arc<AtomicU64>,
    unconfigured_calls: Arc<AtomicU64>,
    /// End of the time during which calls wait for the first configuration.
    configuration_deadline: Instant,
}

impl GatewayHandle {
    /// Creates a handle to the gateway that reads `input` and publishes its status to `status`.
    pub fn new(
        input: mpsc::UnboundedSender<GatewayInput>,
        status: watch::Receiver<GatewayStatus>,
    ) -> Self {
        Self {
            input,
            status,
            next_call_number: Arc::default(),
            unconfigured_calls: Arc::default(),
            configuration_deadline: Instant::now() + FIRST_CONFIGURATION_WAIT,
        }
    }

    /// The status that the gateway published last.
    pub fn status(&self) -> watch::Ref<'_, GatewayStatus> {
        self.status.borrow()
    }

    /// Looks up the queue of a request. Shortly after the start of the gateway, waits for the
    /// first configuration.
    pub async fn find(&self, host: &str, path: &str) -> Lookup {
        self.wait_for_configuration().await;
        match &self.status().configuration {
            None => {
                self.record_unconfigured(path);
                Lookup::NotConfigured
            }
            Some(configuration) => configuration
                .find(host, path)
                .map_or(Lookup::Unknown, |queue| Lookup::Queue(Arc::clone(queue))),
        }
    }

    /// Looks up the queue of a request about a job among those that have been removed from the
    /// configuration lately. Such a job can still be queried and cancelled.
    pub fn find_retired(&self, host: &str, path: &str) -> Option<Arc<QueueSettings>> {
        let now = Instant::now();
        let status = self.status();
        let retired = status.retired.iter().filter(|retired| now < retired.until);
        let queues = retired.map(|retired| &retired.queue);
        let matching = queues.filter(|queue| queue.matches(host, path));
        let longest = matching.max_by_key(|queue| queue.path_prefix.len());
        longest.cloned()
    }

    async fn wait_for_configuration(&self) {
        if self.status().configuration.is_some() {
            return;
        }
        let mut status = self.status.clone();
        let configured = status.wait_for(|status| status.configuration.is_some());
        // After a time-out the caller finds no configuration and refuses the call.
        let _ = tokio::time::timeout_at(self.configuration_deadline, configured).await;
    }

    /// Logs and counts a call refused without a configuration. The path contains the job id.
    fn record_unconfigured(&self, path: &str) {
        counter!(REFUSED_UNCONFIGURED).increment(1);
        let before = self.unconfigured_calls.fetch_add(1, Ordering::Relaxed);
        if before < MAX_UNCONFIGURED_LINES {
            log::info!(event = "refused_unconfigured", path = path, before = before; "call refused: no configuration yet");
        }
    }

    /// Submits a job and waits for its answer. Dropping the future before that tells the gateway
    /// that the caller has disconnected.
    pub async fn submit(&self, request: JobRequest) -> Answer {
        let call = self.allocate_call();
        let (reply, answer) = oneshot::channel();
        let _ = self.input.send(GatewayInput::Submit {
            call,
            request,
            reply,
        });
        let mut guard = CallGuard {
            call,
            input: Some(self.input.clone()),
        };
        let answer = answer.await;
        guard.input = None;
        answer.unwrap_or(Answer::Refused {
            reason: Refusal::Stopping,
            retry_after: DEFAULT_RETRY_AFTER,
        })
    }

    /// Cancels a job, at whichever gateway holds it: [`Answer::Cancelled`] if this one does,
    /// [`Answer::Unknown`] if not. [`Answer::CancelUnacknowledged`] if the process has stopped handling
    /// calls: then no other process has heard of the cancellation.
    pub async fn cancel(&self, job: JobId) -> Answer {
        let call = self.allocate_call();
        let (reply, answer) = oneshot::channel();
        let _ = self.input.send(GatewayInput::Cancel { call, job, reply });
        answer.await.unwrap_or(Answer::CancelUnacknowledged {
            retry_after: DEFAULT_RETRY_AFTER,
        })
    }

    /// Whether the gateway has the job and it has not ended.
    ///
    /// # Errors
    /// [`GatewayEnded`] if the process has stopped handling calls.
    pub async fn has_job(&self, job: JobId) -> Result<bool, GatewayEnded> {
        let (reply, answer) = oneshot::channel();
        let _ = self.input.send(GatewayInput::HasJob { job, reply });
        answer.await.map_err(|_| GatewayEnded)
    }

    fn allocate_call(&self) -> CallNumber {
        CallNumber(self.next_call_number.fetch_add(1, Ordering::Relaxed))
    }
}

/// Notifies the gateway on drop that the caller has disconnected, unless the call was answered.
struct CallGuard {
    call: CallNumber,
    input: Option<mpsc::UnboundedSender<GatewayInput>>,
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        if let Some(input) = self.input.take() {
            let _ = input.send(GatewayInput::Event(GatewayEvent::CallerDisconnected {
                call: self.call,
            }));
        }
    }
}
