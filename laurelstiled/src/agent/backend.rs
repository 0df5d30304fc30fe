//! The back end that runs the tasks of an agent.

use std::future::Future;
use std::time::Duration;

use http::Method;
use laurelstile_core::agent::RunEnd;
use laurelstile_core::messages::agent::TaskOutcome;
use laurelstile_core::payload::Payload;
use laurelstile_store::http::{HttpClient, HttpError};
use laurelstile_types::configuration::MAX_DEADLINE_MILLIS;
use laurelstile_types::id::{ClassName, DispatchId, ServiceName};

/// Request header with the dispatch id.
pub const DISPATCH_HEADER: &str = "x-laurelstile-dispatch";
/// Request header with the submission id.
pub const SUBMISSION_HEADER: &str = "x-laurelstile-submission";
/// Request header with the index of the task in its submission.
pub const TASK_HEADER: &str = "x-laurelstile-task";

/// A task to run.
#[derive(Debug)]
pub struct Run {
    /// Identifier of this attempt to run the task.
    pub dispatch: DispatchId,
    /// Service that the task belongs to.
    pub service: ServiceName,
    /// Class of the task.
    pub class: ClassName,
    /// Input as submitted by the caller.
    pub input: Payload,
}

/// Runs tasks.
pub trait Backend: Send + Sync + 'static {
    /// Runs a task to its end. Dropping the future aborts the run.
    fn run(&self, run: Run) -> impl Future<Output = RunEnd> + Send;
}

/// A back end reached over HTTP: `POST /run/{service}/{class}`.
#[derive(Debug)]
pub struct HttpBackend {
    base_uri: String,
    http: HttpClient,
}

impl HttpBackend {
    /// Creates a client of the back end at `base`, such as `http://127.0.0.1:9000`.
    pub fn new(base: &str) -> Self {
        Self {
            base_uri: base.to_owned(),
            http: HttpClient::new(Duration::from_millis(MAX_DEADLINE_MILLIS)),
        }
    }
}

impl Backend for HttpBackend {
    async fn run(&self, run: Run) -> RunEnd {
        let uri = format!("{}/run/{}/{}", self.base_uri, run.service, run.class);
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
                log::info!(dispatch = dispatch.as_str(), status:% = response.status; "back end answered the task with an error status");
                RunEnd::Ended(TaskOutcome::Failed)
            }
            // Nothing was sent, so the task did not start.
            Err(HttpError::Connect(_) | HttpError::Request(_)) => RunEnd::NotStarted,
            Err(error) => {
                log::warn!(dispatch = dispatch.as_str(), error:% = error; "call to the back end failed; task outcome unknown");
                RunEnd::Ended(TaskOutcome::Unknown)
            }
        }
    }
}
