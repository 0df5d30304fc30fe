//! The gate through which a front end hands jobs to a gateway.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use laurelstile_core::leased::gateway::job::{CallNumber, JobRequest};
use laurelstile_core::leased::gateway::queues::{QueueConfiguration, QueueSettings};
use laurelstile_core::leased::gateway::{Answer, GatewayEvent, Refusal};
use laurelstile_core::leased::task::JobId;
use laurelstile_types::time::Span;
use metrics::counter;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::Instant;

use super::input::GatewayInput;
use crate::telemetry::REFUSED_UNCONFIGURED;

/// How long after its start a gateway lets calls wait for its first configuration.
/// Reading it takes some 10 ms; after a loss of power callers are there before that.
const FIRST_CONFIGURATION_WAIT: Duration = Duration::from_millis(250);
/// When to come back to a gateway that cannot say more.
const RETRY_LATER: Span = Span::from_millis(1_000);

/// What a front end can see of its gateway at any time.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The configuration in force.
    pub configuration: Option<Arc<QueueConfiguration>>,
    /// Whether new connections are wanted.
    pub is_ready: bool,
    /// Whether the process is stopping, so that callers should move on.
    pub is_stopping: bool,
}

/// What a host and a path lead to.
#[derive(Clone, Debug)]
pub enum Lookup {
    /// There is no configuration yet.
    NotConfigured,
    /// No queue has that host and a prefix of that path.
    Unknown,
    /// A queue.
    Queue(Arc<QueueSettings>),
}

/// Most lines that a process writes of calls refused for want of a configuration;
/// the metric counts on.
const MOST_UNCONFIGURED_LINES: u64 = 200;

/// A handle to a gateway for its front end.
#[derive(Clone, Debug)]
pub struct Gate {
    input: mpsc::UnboundedSender<GatewayInput>,
    view: watch::Receiver<View>,
    calls: Arc<AtomicU64>,
    unconfigured: Arc<AtomicU64>,
    /// Until when calls wait for the first configuration.
    waits_until: Instant,
}

impl Gate {
    /// A gate to the gateway that takes `input` and shows `view`.
    pub fn new(input: mpsc::UnboundedSender<GatewayInput>, view: watch::Receiver<View>) -> Self {
        Self {
            input,
            view,
            calls: Arc::default(),
            unconfigured: Arc::default(),
            waits_until: Instant::now() + FIRST_CONFIGURATION_WAIT,
        }
    }

    /// What the gateway shows.
    pub fn view(&self) -> watch::Ref<'_, View> {
        self.view.borrow()
    }

    /// The queue of a request. Shortly after the gateway's start the first
    /// configuration is waited for.
    pub async fn find(&self, host: &str, path: &str) -> Lookup {
        self.wait_for_configuration().await;
        match &self.view().configuration {
            None => {
                self.note_unconfigured(path);
                Lookup::NotConfigured
            }
            Some(configuration) => configuration
                .find(host, path)
                .map_or(Lookup::Unknown, |queue| Lookup::Queue(Arc::clone(queue))),
        }
    }

    async fn wait_for_configuration(&self) {
        if self.view().configuration.is_some() {
            return;
        }
        let mut view = self.view.clone();
        let configured = view.wait_for(|view| view.configuration.is_some());
        // Past the wait the call is refused; the caller is told when to come back.
        let _ = tokio::time::timeout_at(self.waits_until, configured).await;
    }

    /// Writes that a call is refused for want of a configuration; the path holds the
    /// job's id.
    fn note_unconfigured(&self, path: &str) {
        counter!(REFUSED_UNCONFIGURED).increment(1);
        let before = self.unconfigured.fetch_add(1, Ordering::Relaxed);
        if before < MOST_UNCONFIGURED_LINES {
            log::info!(event = "refused_unconfigured", path = path, before = before; "no configuration yet");
        }
    }

    /// Hands a job in and waits for its end. If the future is dropped before,
    /// its caller has gone.
    pub async fn submit(&self, request: JobRequest) -> Answer {
        let call = self.next_call();
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
            retry_after: RETRY_LATER,
        })
    }

    /// Cancels a job.
    pub async fn cancel(&self, job: JobId) -> Answer {
        let call = self.next_call();
        let (reply, answer) = oneshot::channel();
        let _ = self.input.send(GatewayInput::Cancel { call, job, reply });
        answer.await.unwrap_or(Answer::Unknown)
    }

    /// Whether a job is here and has not ended.
    pub async fn has_job(&self, job: JobId) -> bool {
        let (reply, answer) = oneshot::channel();
        let _ = self.input.send(GatewayInput::HasJob { job, reply });
        answer.await.unwrap_or(false)
    }

    fn next_call(&self) -> CallNumber {
        CallNumber(self.calls.fetch_add(1, Ordering::Relaxed))
    }
}

/// Tells the gateway when a caller goes before its answer.
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
