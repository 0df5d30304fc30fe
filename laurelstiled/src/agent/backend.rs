//! The back end that an agent stands beside.

use std::future::Future;
use std::time::Duration;

use http::Method;
use laurelstile_core::agent::RunEnd;
use laurelstile_core::messages::agent::TaskOutcome;
use laurelstile_core::payload::Payload;
use laurelstile_store::http::{HttpClient, HttpError};
use laurelstile_types::configuration::MAX_DEADLINE_MILLIS;
use laurelstile_types::id::{ClassName, DispatchId, ServiceName};

/// Header that names the dispatch to the back end.
pub const DISPATCH_HEADER: &str = "x-laurelstile-dispatch";
/// Header that names the submission to the back end.
pub const SUBMISSION_HEADER: &str = "x-laurelstile-submission";
/// Header that gives the task's index to the back end.
pub const TASK_HEADER: &str = "x-laurelstile-task";

/// A task to run.
#[derive(Debug)]
pub struct Run {
    /// The dispatch.
    pub dispatch: DispatchId,
    /// Service.
    pub service: ServiceName,
    /// Class.
    pub class: ClassName,
    /// Input.
    pub input: Payload,
}

/// Runs tasks.
pub trait Backend: Send + Sync + 'static {
    /// Runs a task. Dropping the future breaks the run off.
    fn run(&self, run: Run) -> impl Future<Output = RunEnd> + Send;
}

/// A back end behind HTTP: `POST /run/{service}/{class}`.
#[derive(Debug)]
pub struct HttpBackend {
    base: String,
    http: HttpClient,
}

impl HttpBackend {
    /// The back end at a base address.
    pub fn new(base: &str) -> Self {
        Self {
            base: base.to_owned(),
            http: HttpClient::new(Duration::from_millis(MAX_DEADLINE_MILLIS)),
        }
    }
}

impl Backend for HttpBackend {
    async fn run(&self, run: Run) -> RunEnd {
        let uri = format!("{}/run/{}/{}", self.base, run.service, run.class);
        let dispatch = run.dispatch.to_string();
        let submission = run.dispatch.submission.to_string();
        let task = run.dispatch.task.to_string();
        let headers = [
            ("content-type", "application/json"),
            (DISPATCH_HEADER, dispatch.as_str()),
            (SUBMISSION_HEADER, submission.as_str()),
            (TASK_HEADER, task.as_str()),
        ];
        let input = run.input.as_bytes().to_vec();
        match self
            .http
            .exchange(Method::POST, &uri, &headers, input)
            .await
        {
            Ok(response) if response.status.is_success() => {
                let output = Payload::from(response.body.to_vec());
                RunEnd::Ended(TaskOutcome::Output(output))
            }
            Ok(response) => {
                log::info!(dispatch = dispatch.as_str(), status:% = response.status; "task failed");
                RunEnd::Ended(TaskOutcome::Failed)
            }
            // Nothing was sent: proof that the task did not start.
            Err(HttpError::Connect(_) | HttpError::Request(_)) => RunEnd::NotStarted,
            Err(error) => {
                log::warn!(dispatch = dispatch.as_str(), error:% = error; "back end broke off");
                RunEnd::Ended(TaskOutcome::Unknown)
            }
        }
    }
}
