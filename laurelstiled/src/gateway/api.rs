//! The HTTP API of a gateway for callers, operators, health checks and metrics.
//!
//! Doc comments of endpoints and schema types are published in `openapi.json`.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use dropshot::{
    ApiDescription, ApiDescriptionRegisterError, ApiEndpoint, Body, ClientErrorStatusCode,
    ConfigDropshot, ErrorStatusCode, HandlerTaskMode, HttpError, HttpResponseError, HttpResponseOk,
    HttpServer, Path, RequestContext, ServerBuilder, StubContext, TypedBody, endpoint,
};
use http::{Response, StatusCode, header};
use laurelstile_core::gateway::{Answer, GatewayEvent, JobRequest as CoreRequest};
use laurelstile_core::payload::Payload;
use laurelstile_store::client::HttpPlatform;
use laurelstile_store::configuration_log::{AppendError, append};
use laurelstile_types::api::{
    ChangeAccepted, ChangeRequest, InForce, JobAnswer, JobFailure, JobRequest, Status,
};
use laurelstile_types::id::{ServiceName, SubmissionId};
use laurelstile_types::outcome::{Failure, Reason, RunState};
use laurelstile_types::revision::Change;
use laurelstile_types::time::Span;
use metrics_exporter_prometheus::PrometheusHandle;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use sha2::{Digest, Sha256};
use tokio::sync::{mpsc, oneshot};

use super::input::DriverInput;
use crate::error::DaemonError;
use crate::settings::GatewaySettings;

/// Version of the API in its OpenAPI document.
const API_VERSION: dropshot::semver::Version = dropshot::semver::Version::new(1, 0, 0);

/// State shared by the request handlers.
pub struct Context {
    input: mpsc::UnboundedSender<DriverInput>,
    platform: HttpPlatform,
    operator_token: [u8; 32],
    metrics: PrometheusHandle,
    next_number: AtomicU64,
}

impl Context {
    /// Creates the context of the gateway whose driver reads `input`. Only the digest of the
    /// operator token is kept.
    pub fn new(
        input: mpsc::UnboundedSender<DriverInput>,
        platform: HttpPlatform,
        operator_token: &str,
        metrics: PrometheusHandle,
    ) -> Self {
        Self {
            input,
            platform,
            operator_token: Sha256::digest(operator_token).into(),
            metrics,
            next_number: AtomicU64::new(1),
        }
    }

    async fn query<T>(
        &self,
        to_input: impl FnOnce(oneshot::Sender<T>) -> DriverInput,
    ) -> Result<T, HttpError> {
        let (reply, answer) = oneshot::channel();
        let _ = self.input.send(to_input(reply));
        answer.await.map_err(|_| not_ready())
    }
}

/// Starts the HTTP server on the API address of the settings.
///
/// # Errors
/// [`DaemonError::Http`] if the address cannot be bound.
pub fn serve(
    settings: &GatewaySettings,
    context: Context,
) -> Result<HttpServer<Context>, DaemonError> {
    let config = ConfigDropshot {
        bind_address: settings.api,
        default_request_body_max_bytes: settings.max_body_bytes,
        default_handler_task_mode: HandlerTaskMode::CancelOnDisconnect,
        ..ConfigDropshot::default()
    };
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let api = describe().map_err(DaemonError::Register)?;
    ServerBuilder::new(api, context, log)
        .config(config)
        .start()
        .map_err(|source| DaemonError::Http {
            address: settings.api,
            source: Box::new(source),
        })
}

/// Registers all endpoints.
///
/// # Errors
/// [`ApiDescriptionRegisterError`] if an endpoint is invalid or conflicts with another.
pub fn describe() -> Result<ApiDescription<Context>, ApiDescriptionRegisterError> {
    let mut api = ApiDescription::new();
    api.register(submit_job_endpoint())?;
    api.register(submit_change)?;
    api.register(read_status)?;
    api.register(read_configuration)?;
    api.register(read_liveness)?;
    api.register(read_readiness)?;
    api.register(read_metrics)?;
    Ok(api)
}

/// Generates the OpenAPI document that is committed as `openapi.json`.
///
/// # Errors
/// [`OpenApiError`] if an endpoint is invalid or the document cannot be serialized.
pub fn openapi() -> Result<String, OpenApiError> {
    let api = describe()?;
    let document = api.openapi("laurelstile gateway", API_VERSION).json()?;
    Ok(serde_json::to_string_pretty(&document)? + "\n")
}

/// Why the OpenAPI document could not be generated.
#[derive(Debug, thiserror::Error)]
pub enum OpenApiError {
    /// An endpoint is invalid or conflicts with another.
    #[error("cannot register an endpoint")]
    Register(#[from] ApiDescriptionRegisterError),
    /// The document cannot be serialized.
    #[error("cannot serialize the OpenAPI document")]
    Json(#[from] serde_json::Error),
}

/// Endpoint of `submit_job`. The handler builds its responses itself, since typed errors of
/// dropshot cannot carry a `Retry-After` header; the OpenAPI entry is generated from the response
/// types instead.
fn submit_job_endpoint() -> ApiEndpoint<Context> {
    let mut endpoint: ApiEndpoint<Context> = submit_job.into();
    let typed: ApiEndpoint<StubContext> = ApiEndpoint::new_for_types::<
        (Path<ServicePath>, TypedBody<JobRequest>),
        Result<HttpResponseOk<JobAnswer>, TypedFailure>,
    >(
        endpoint.operation_id.clone(),
        endpoint.method.clone(),
        "application/json",
        &endpoint.path,
        dropshot::ApiEndpointVersions::All,
    );
    endpoint.response = typed.response;
    endpoint.error = typed.error;
    endpoint
}

/// The error type of `submit_job`, used only for its entry in the OpenAPI document.
#[derive(Debug, Serialize, JsonSchema)]
#[serde(transparent)]
struct TypedFailure(JobFailure);

impl std::fmt::Display for TypedFailure {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(&self.0.message)
    }
}

impl From<HttpError> for TypedFailure {
    fn from(error: HttpError) -> Self {
        Self(JobFailure {
            submission: None,
            run_state: RunState::NotRun,
            reason: Reason::BadRequest,
            retry_after_millis: None,
            message: error.external_message,
        })
    }
}

impl HttpResponseError for TypedFailure {
    fn status_code(&self) -> ErrorStatusCode {
        to_status_code(self.0.reason)
            .try_into()
            .unwrap_or(ErrorStatusCode::INTERNAL_SERVER_ERROR)
    }
}

#[derive(Deserialize, JsonSchema)]
struct ServicePath {
    /// Name of the service.
    service: ServiceName,
}

/// Notifies the driver on drop that the caller has disconnected, unless the job was answered.
struct DisconnectGuard<'a> {
    input: &'a mpsc::UnboundedSender<DriverInput>,
    number: Option<u64>,
}

impl Drop for DisconnectGuard<'_> {
    fn drop(&mut self) {
        if let Some(number) = self.number {
            let _ = self
                .input
                .send(DriverInput::Event(GatewayEvent::CallerDisconnected {
                    number,
                }));
        }
    }
}

/// Submit a job and wait for its complete answer.
///
/// Every refusal and failure states in `run_state` whether the job may have run, and carries
/// `Retry-After` if the caller may retry.
#[endpoint { method = POST, path = "/v1/services/{service}/jobs" }]
async fn submit_job(
    request: RequestContext<Context>,
    path: Path<ServicePath>,
    body: TypedBody<JobRequest>,
) -> Result<Response<Body>, HttpError> {
    let context = request.context();
    let number = context.next_number.fetch_add(1, Ordering::Relaxed);
    let job = to_core_request(path.into_inner().service, body.into_inner())?;
    let mut guard = DisconnectGuard {
        input: &context.input,
        number: Some(number),
    };
    let answer = context
        .query(|reply| DriverInput::Submit {
            number,
            request: job,
            reply,
        })
        .await;
    guard.number = None;
    to_response(*answer?)
}

fn to_core_request(service: ServiceName, job: JobRequest) -> Result<CoreRequest, HttpError> {
    let inputs = job
        .tasks
        .iter()
        .map(|task| serde_json::to_vec(task).map(Payload::from))
        .collect::<Result<_, _>>()
        .map_err(internal)?;
    Ok(CoreRequest {
        service,
        tenant: job.tenant,
        class: job.class,
        inputs,
        deadline: job.deadline_millis.map(Span::from_millis),
        idempotency_key: job.idempotency_key,
    })
}

/// Body of an answer; results that are JSON are copied without being parsed into values.
#[derive(Serialize)]
struct RawAnswer<'a> {
    submission: SubmissionId,
    results: Vec<RawResult<'a>>,
}

#[derive(Serialize)]
#[serde(untagged)]
enum RawResult<'a> {
    Json(&'a RawValue),
    Text(std::borrow::Cow<'a, str>),
}

fn to_response(answer: Answer) -> Result<Response<Body>, HttpError> {
    match answer.outcome {
        Ok(outputs) => {
            let results = outputs.iter().map(to_raw_result).collect();
            let body = RawAnswer {
                submission: answer.submission,
                results,
            };
            json_response(StatusCode::OK, None, &body)
        }
        Err(failure) => failure_response(answer.submission, failure),
    }
}

/// Output that is not JSON is sent as a JSON string.
fn to_raw_result(output: &Payload) -> RawResult<'_> {
    match serde_json::from_slice(output.as_bytes()) {
        Ok(raw) => RawResult::Json(raw),
        Err(_) => RawResult::Text(String::from_utf8_lossy(output.as_bytes())),
    }
}

fn failure_response(
    submission: SubmissionId,
    failure: Failure,
) -> Result<Response<Body>, HttpError> {
    let body = JobFailure {
        submission: Some(submission),
        run_state: failure.run_state,
        reason: failure.reason,
        retry_after_millis: failure.retry_after_millis,
        message: failure.reason.to_string(),
    };
    let retry_after = failure.retry_after_millis;
    json_response(to_status_code(failure.reason), retry_after, &body)
}

fn json_response<T: Serialize>(
    status: StatusCode,
    retry_after_millis: Option<u64>,
    body: &T,
) -> Result<Response<Body>, HttpError> {
    let mut response = Response::builder()
        .status(status)
        .header(header::CONTENT_TYPE, "application/json");
    if let Some(millis) = retry_after_millis {
        response = response.header(header::RETRY_AFTER, millis.div_ceil(1_000));
    }
    let bytes = serde_json::to_vec(body).map_err(internal)?;
    response.body(bytes.into()).map_err(internal)
}

/// Maps each reason to its HTTP status.
fn to_status_code(reason: Reason) -> StatusCode {
    match reason {
        Reason::BadRequest | Reason::JobSize | Reason::IdempotencyKeyMissing => {
            StatusCode::BAD_REQUEST
        }
        Reason::UnknownService | Reason::UnknownClass | Reason::UnknownTenant => {
            StatusCode::NOT_FOUND
        }
        Reason::AlreadyClaimed => StatusCode::CONFLICT,
        Reason::ServiceStopped => StatusCode::GONE,
        Reason::TenantOverQuota | Reason::Overloaded | Reason::DeadlineUnreachable => {
            StatusCode::TOO_MANY_REQUESTS
        }
        Reason::ClaimUnavailable | Reason::GatewayStopping | Reason::NoConfiguration => {
            StatusCode::SERVICE_UNAVAILABLE
        }
        Reason::DeadlineExceeded => StatusCode::GATEWAY_TIMEOUT,
        Reason::TaskFailed | Reason::WorkerLost | Reason::CallerGone => StatusCode::BAD_GATEWAY,
    }
}

/// Submit a change: a complete configuration, a drain, or the stop of a service.
#[endpoint { method = POST, path = "/v1/operator/changes" }]
async fn submit_change(
    request: RequestContext<Context>,
    body: TypedBody<ChangeRequest>,
) -> Result<HttpResponseOk<ChangeAccepted>, HttpError> {
    let context = request.context();
    authorize(&request)?;
    let ChangeRequest {
        id,
        change,
        expected_head,
    } = body.into_inner();
    if let Change::Apply(configuration) = &change {
        configuration.check().map_err(|error| {
            HttpError::for_bad_request(Some("bad_configuration".to_owned()), error.to_string())
        })?;
    }
    let accepted = append(&context.platform, &id, &change, expected_head)
        .await
        .map_err(|error| append_error(&error))?;
    let number = accepted.number;
    log::info!(change:% = id, revision = number; "change accepted");
    // Apply the revision without waiting for the next poll of the table; the gateway then also
    // sends it over its sessions to the other processes.
    if let Some(revision) = accepted.revision {
        let event = GatewayEvent::Revision(Arc::new(revision));
        let _ = context.input.send(DriverInput::Event(event));
    }
    Ok(HttpResponseOk(ChangeAccepted { revision: number }))
}

fn append_error(error: &AppendError) -> HttpError {
    let message = error.to_string();
    match error {
        AppendError::Unavailable(_) | AppendError::Contended => {
            HttpError::for_unavail(Some("table_unavailable".to_owned()), message)
        }
        AppendError::HeadMoved { .. } => HttpError::for_client_error(
            Some("head_moved".to_owned()),
            ClientErrorStatusCode::CONFLICT,
            message,
        ),
        AppendError::UnknownTarget => HttpError::for_client_error(
            Some("unknown_target".to_owned()),
            ClientErrorStatusCode::NOT_FOUND,
            message,
        ),
    }
}

/// Status of this gateway, its peers and the agents, as known to this gateway.
#[endpoint { method = GET, path = "/v1/operator/status" }]
async fn read_status(
    request: RequestContext<Context>,
) -> Result<HttpResponseOk<Status>, HttpError> {
    authorize(&request)?;
    let status = request.context().query(DriverInput::Status).await?;
    Ok(HttpResponseOk(status))
}

/// The configuration in force at this gateway.
#[endpoint { method = GET, path = "/v1/operator/configuration" }]
async fn read_configuration(
    request: RequestContext<Context>,
) -> Result<HttpResponseOk<InForce>, HttpError> {
    authorize(&request)?;
    let revision = request.context().query(DriverInput::InForce).await?;
    Ok(HttpResponseOk(InForce { revision }))
}

/// Liveness probe: succeeds while the process runs.
#[endpoint { method = GET, path = "/health/live" }]
async fn read_liveness(
    _request: RequestContext<Context>,
) -> Result<HttpResponseOk<Health>, HttpError> {
    Ok(HttpResponseOk(Health { ok: true }))
}

/// Readiness probe for load balancers: succeeds while the gateway accepts new jobs.
#[endpoint { method = GET, path = "/health/ready" }]
async fn read_readiness(
    request: RequestContext<Context>,
) -> Result<HttpResponseOk<Health>, HttpError> {
    let status = request.context().query(DriverInput::Status).await?;
    if status.ready {
        return Ok(HttpResponseOk(Health { ok: true }));
    }
    Err(not_ready())
}

/// Metrics in the Prometheus text format.
#[endpoint { method = GET, path = "/metrics" }]
async fn read_metrics(request: RequestContext<Context>) -> Result<Response<Body>, HttpError> {
    metrics_response(&request.context().metrics)
}

/// Body of a successful health check.
#[derive(Debug, Serialize, JsonSchema)]
pub struct Health {
    /// Always true; a failed check is reported by the HTTP status.
    pub ok: bool,
}

pub(crate) fn metrics_response(metrics: &PrometheusHandle) -> Result<Response<Body>, HttpError> {
    metrics.run_upkeep();
    Response::builder()
        .header(header::CONTENT_TYPE, "text/plain; version=0.0.4")
        .body(metrics.render().into())
        .map_err(internal)
}

fn authorize(request: &RequestContext<Context>) -> Result<(), HttpError> {
    let token = request
        .request
        .headers()
        .get(header::AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.strip_prefix("Bearer "));
    // Compare digests, so that the comparison time reveals nothing about the token.
    let digest: Option<[u8; 32]> = token.map(|token| Sha256::digest(token).into());
    if digest == Some(request.context().operator_token) {
        return Ok(());
    }
    log::warn!(remote:% = request.request.remote_addr(); "operator call rejected: missing or wrong token");
    Err(HttpError::for_client_error(
        Some("unauthorized".to_owned()),
        ClientErrorStatusCode::UNAUTHORIZED,
        "operator calls need the operator token".to_owned(),
    ))
}

fn not_ready() -> HttpError {
    let message = "this gateway does not take jobs now".to_owned();
    HttpError::for_unavail(Some("not_ready".to_owned()), message)
}

fn internal(error: impl std::fmt::Display) -> HttpError {
    HttpError::for_internal_error(error.to_string())
}
