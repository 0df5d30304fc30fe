//! The stand-in back end: runs a task for the time that its input gives, and
//! logs each start.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use dropshot::{
    ApiDescription, ConfigDropshot, HandlerTaskMode, HttpError, HttpResponseOk,
    HttpResponseUpdatedNoContent, Path as PathArgument, RequestContext, ServerBuilder, TypedBody,
    endpoint,
};
use laurelstile_history::event::Event;
use laurelstile_history::file::HistoryWriter;
use laurelstile_types::id::IdempotencyKey;
use laurelstiled::agent::backend::{DISPATCH_HEADER, SUBMISSION_HEADER, TASK_HEADER};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use laurelstile_lab::error::LabError;

const THOUSAND: u64 = 1_000;

/// Input of a task as the stand-in understands it.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct TaskInput {
    /// Identifies the caller's request.
    pub request: String,
    /// Index of the task in the request.
    pub task: u32,
    /// How long to run, in microseconds.
    pub run_micros: u64,
    /// Answer with an error at the end.
    #[serde(default)]
    pub fail: bool,
    /// Key of a request that may not be repeated.
    #[serde(default)]
    pub key: Option<IdempotencyKey>,
}

/// Output of a task.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct TaskOutput {
    /// The request in the input.
    pub request: String,
    /// The index in the input.
    pub task: u32,
}

/// How the back end misbehaves, on demand.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, JsonSchema)]
pub struct BackendFaults {
    /// Run times are multiplied by this many thousandths.
    pub slowness_permille: u64,
}

struct Backend {
    history: HistoryWriter,
    slowness_permille: AtomicU64,
}

/// Runs the stand-in until the process is ended.
///
/// # Errors
/// [`LabError`] if it cannot start.
pub async fn run(listen: SocketAddr, name: &str, history: Option<&Path>) -> Result<(), LabError> {
    let history = match history {
        Some(path) => HistoryWriter::open(path, name)?,
        None => HistoryWriter::none(),
    };
    let backend = Backend {
        history,
        slowness_permille: AtomicU64::new(THOUSAND),
    };
    let mut api = ApiDescription::new();
    api.register(run_task)?;
    api.register(set_faults)?;
    let config = ConfigDropshot {
        bind_address: listen,
        default_request_body_max_bytes: 16 * 1024 * 1024,
        default_handler_task_mode: HandlerTaskMode::CancelOnDisconnect,
        ..ConfigDropshot::default()
    };
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let server = ServerBuilder::new(api, backend, log)
        .config(config)
        .start()
        .map_err(|error| LabError::Server(Box::new(error)))?;
    let _ = server.await;
    Ok(())
}

#[derive(Deserialize, JsonSchema)]
#[expect(dead_code, reason = "part of the path, not used by the stand-in")]
struct RunPath {
    service: String,
    class: String,
}

#[endpoint { method = POST, path = "/run/{service}/{class}" }]
async fn run_task(
    request: RequestContext<Backend>,
    _path: PathArgument<RunPath>,
    body: TypedBody<TaskInput>,
) -> Result<HttpResponseOk<TaskOutput>, HttpError> {
    let backend = request.context();
    let input = body.into_inner();
    let submission = header(&request, SUBMISSION_HEADER);
    let task = header(&request, TASK_HEADER).parse().unwrap_or(input.task);
    backend.history.record(Event::TaskStarted {
        submission: submission.clone(),
        task,
        dispatch: header(&request, DISPATCH_HEADER),
        request: input.request.clone(),
        key: input.key,
    });
    let slowness = backend.slowness_permille.load(Ordering::Relaxed);
    let micros = input.run_micros * slowness / THOUSAND;
    tokio::time::sleep(Duration::from_micros(micros)).await;
    backend
        .history
        .record(Event::TaskEnded { submission, task });
    if input.fail {
        return Err(HttpError::for_internal_error("asked to fail".to_owned()));
    }
    Ok(HttpResponseOk(TaskOutput {
        request: input.request,
        task: input.task,
    }))
}

#[endpoint { method = PUT, path = "/control/faults" }]
async fn set_faults(
    request: RequestContext<Backend>,
    body: TypedBody<BackendFaults>,
) -> Result<HttpResponseUpdatedNoContent, HttpError> {
    let slowness = body.into_inner().slowness_permille;
    let backend = request.context();
    backend.slowness_permille.store(slowness, Ordering::Relaxed);
    Ok(HttpResponseUpdatedNoContent())
}

fn header(request: &RequestContext<Backend>, name: &str) -> String {
    request
        .request
        .headers()
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
        .to_owned()
}
