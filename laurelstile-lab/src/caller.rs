//! A caller: submits jobs over HTTP and notes what became of them.

use std::time::{Duration, Instant};

use http::{Method, StatusCode};
use laurelstile_history::event::{Event, ResultTag};
use laurelstile_history::file::HistoryWriter;
use laurelstile_store::http::{HttpClient, HttpError};
use laurelstile_types::api::{JobAnswer, JobFailure, JobRequest};
use laurelstile_types::id::IdempotencyKey;

use crate::cell::{ONCE, REPEATABLE, SERVICE};
use crate::standin::backend::{TaskInput, TaskOutput};

/// A job to submit.
#[derive(Clone, Debug)]
pub struct Job {
    /// Identifies the request; unique in the run.
    pub request: String,
    /// Tenant.
    pub tenant: String,
    /// Run time of each task.
    pub runs: Vec<Duration>,
    /// Key, if the request may not be repeated.
    pub key: Option<IdempotencyKey>,
    /// Let the first task fail.
    pub fail: bool,
}

/// What became of a job.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// The whole answer.
    Answered,
    /// A refusal or failure.
    Failed(JobFailure),
    /// No answer: the connection was refused, broke, or timed out.
    Lost,
}

/// A caller.
#[derive(Clone, Debug)]
pub struct Caller {
    http: HttpClient,
    history: HistoryWriter,
}

impl Caller {
    /// A caller that waits at most `patience` for an answer.
    pub fn new(patience: Duration, history: HistoryWriter) -> Self {
        Self {
            http: HttpClient::new(patience),
            history,
        }
    }

    /// Submits a job to a gateway, given by its name and API address.
    pub async fn submit(&self, gateway: &str, api: &str, job: &Job) -> (Outcome, Duration) {
        self.history.record(Event::Submitted {
            request: job.request.clone(),
            gateway: gateway.to_owned(),
            tasks: u32::try_from(job.runs.len()).unwrap_or(u32::MAX),
            key: job.key.clone(),
        });
        let body = serde_json::to_vec(&request_of(job)).unwrap_or_default();
        let uri = format!("{api}/v1/services/{SERVICE}/jobs");
        let headers = [("content-type", "application/json")];
        let started = Instant::now();
        let response = self.http.exchange(Method::POST, &uri, &headers, body).await;
        let elapsed = started.elapsed();
        let outcome = match response {
            Ok(response) if response.status == StatusCode::OK => {
                self.note_answer(job, &response.body)
            }
            Ok(response) => self.note_failure(job, &response.body),
            Err(HttpError::Connect(_)) => self.note_lost(job, true),
            Err(_) => self.note_lost(job, false),
        };
        (outcome, elapsed)
    }

    fn note_answer(&self, job: &Job, body: &[u8]) -> Outcome {
        let Ok(answer) = serde_json::from_slice::<JobAnswer>(body) else {
            return self.note_lost(job, false);
        };
        let results = answer
            .results
            .into_iter()
            .filter_map(|result| serde_json::from_value::<TaskOutput>(result).ok())
            .map(|output| ResultTag {
                request: output.request,
                task: output.task,
            })
            .collect();
        self.history.record(Event::Answered {
            request: job.request.clone(),
            results,
        });
        Outcome::Answered
    }

    fn note_failure(&self, job: &Job, body: &[u8]) -> Outcome {
        let Ok(failure) = serde_json::from_slice::<JobFailure>(body) else {
            return self.note_lost(job, false);
        };
        self.history.record(Event::Failed {
            request: job.request.clone(),
            run_state: failure.run_state,
            reason: failure.reason,
        });
        Outcome::Failed(failure)
    }

    fn note_lost(&self, job: &Job, unsent: bool) -> Outcome {
        self.history.record(Event::Lost {
            request: job.request.clone(),
            unsent,
        });
        Outcome::Lost
    }
}

fn request_of(job: &Job) -> JobRequest {
    let tasks = (0..)
        .zip(&job.runs)
        .map(|(task, run)| TaskInput {
            request: job.request.clone(),
            task,
            run_micros: u64::try_from(run.as_micros()).unwrap_or(0),
            fail: job.fail && task == 0,
            key: job.key.clone(),
        })
        .filter_map(|input| serde_json::to_value(input).ok())
        .collect();
    let class = if job.key.is_some() { ONCE } else { REPEATABLE };
    JobRequest {
        tenant: job.tenant.as_str().into(),
        class: class.into(),
        tasks,
        deadline_millis: None,
        idempotency_key: job.key.clone(),
    }
}
