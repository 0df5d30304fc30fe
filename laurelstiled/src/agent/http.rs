//! The agent's HTTP server for health and metrics.

use std::net::SocketAddr;

use dropshot::{
    ApiDescription, ApiDescriptionRegisterError, Body, ConfigDropshot, HttpError, HttpResponseOk,
    HttpServer, RequestContext, ServerBuilder, endpoint,
};
use http::Response;
use metrics_exporter_prometheus::PrometheusHandle;

use crate::error::DaemonError;
use crate::gateway::api::{Health, metrics_response};

/// Starts the server on `address`.
///
/// # Errors
/// [`DaemonError::Http`] if the address cannot be bound.
pub fn serve(
    address: SocketAddr,
    metrics: PrometheusHandle,
) -> Result<HttpServer<PrometheusHandle>, DaemonError> {
    let config = ConfigDropshot {
        bind_address: address,
        ..ConfigDropshot::default()
    };
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let api = describe().map_err(DaemonError::Register)?;
    ServerBuilder::new(api, metrics, log)
        .config(config)
        .start()
        .map_err(|source| DaemonError::Http {
            address,
            source: Box::new(source),
        })
}

fn describe() -> Result<ApiDescription<PrometheusHandle>, ApiDescriptionRegisterError> {
    let mut api = ApiDescription::new();
    api.register(read_liveness)?;
    api.register(read_metrics)?;
    Ok(api)
}

/// Liveness probe: succeeds while the process runs.
#[endpoint { method = GET, path = "/health/live" }]
async fn read_liveness(
    _request: RequestContext<PrometheusHandle>,
) -> Result<HttpResponseOk<Health>, HttpError> {
    Ok(HttpResponseOk(Health { ok: true }))
}

/// Metrics in the Prometheus text format.
#[endpoint { method = GET, path = "/metrics" }]
async fn read_metrics(
    request: RequestContext<PrometheusHandle>,
) -> Result<Response<Body>, HttpError> {
    metrics_response(request.context())
}
