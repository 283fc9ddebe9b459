//! The admin HTTP server of a daemon: `GET /health` and `GET /metrics`.

use std::net::SocketAddr;
use std::sync::Arc;

use dropshot::{
    ApiDescription, Body, ConfigDropshot, HttpError, HttpResponseOk, HttpServer, RequestContext,
    ServerBuilder, endpoint,
};
use eyre::{WrapErr, eyre};
use http::Response;
use schemars::JsonSchema;
use serde::Serialize;
use slog::{Drain, Logger};

use crate::metrics::Metrics;

/// Content type of the OpenMetrics 1.0 text format.
const OPEN_METRICS: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// The addresses that a started daemon listens on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct BoundAddresses {
    /// UDP address for packets of flows.
    pub data: SocketAddr,
    /// TCP address of the admin server (health and metrics).
    pub admin: SocketAddr,
    /// TCP address for other balancers; `None` for agents.
    pub control: Option<SocketAddr>,
    /// TCP address of the resource API; `None` for agents.
    pub api: Option<SocketAddr>,
}

/// Response body of `GET /health`.
#[derive(Clone, Debug, Serialize, JsonSchema)]
pub struct Health {
    /// Name of the daemon, from its settings.
    pub name: String,
    /// Zone of the daemon, from its settings.
    pub zone: String,
    /// Configuration revision in effect at this daemon; 0 before the first one.
    pub revision: u64,
    /// Seconds since the platform last confirmed the configuration; `None` if it never did.
    pub configuration_age_seconds: Option<u64>,
    /// Whether a graceful shutdown is in progress.
    pub stopping: bool,
    /// Number of flows held; always 0 for a balancer.
    pub flows: u64,
}

/// Supplies the daemon's health for each request to `/health`.
pub trait HealthSource: Send + Sync + 'static {
    /// Returns the current health.
    fn health(&self) -> Health;
}

struct AdminContext {
    health: Arc<dyn HealthSource>,
    metrics: Arc<Metrics>,
}

/// A running admin server; stops when dropped.
pub struct AdminServer {
    server: HttpServer<AdminContext>,
}

impl AdminServer {
    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.local_addr()
    }
}

/// Starts the admin server on `address`.
///
/// # Errors
/// Returns an error if `address` cannot be bound.
pub fn start_admin(
    address: SocketAddr,
    health: Arc<dyn HealthSource>,
    metrics: Arc<Metrics>,
    log: &Logger,
) -> eyre::Result<AdminServer> {
    let mut api = ApiDescription::new();
    api.register(get_health).map_err(|error| eyre!("register /health: {error}"))?;
    api.register(get_metrics).map_err(|error| eyre!("register /metrics: {error}"))?;
    let context = AdminContext { health, metrics };
    // Dropshot logs every request at level info; only its warnings are of interest here.
    let warnings_only =
        Logger::root(slog::LevelFilter::new(log.clone(), slog::Level::Warning).fuse(), slog::o!());
    let config = ConfigDropshot { bind_address: address, ..Default::default() };
    let server = ServerBuilder::new(api, context, warnings_only)
        .config(config)
        .start()
        .wrap_err_with(|| format!("start admin server on {address}"))?;
    Ok(AdminServer { server })
}

/// Returns the daemon's health.
#[endpoint { method = GET, path = "/health" }]
async fn get_health(
    request: RequestContext<AdminContext>,
) -> Result<HttpResponseOk<Health>, HttpError> {
    Ok(HttpResponseOk(request.context().health.health()))
}

/// Returns the daemon's metrics in the OpenMetrics text format.
#[endpoint { method = GET, path = "/metrics" }]
async fn get_metrics(request: RequestContext<AdminContext>) -> Result<Response<Body>, HttpError> {
    let internal_error = |error: String| HttpError::for_internal_error(error);
    let text =
        request.context().metrics.encode().map_err(|error| internal_error(error.to_string()))?;
    Response::builder()
        .header(http::header::CONTENT_TYPE, OPEN_METRICS)
        .body(Body::from(text))
        .map_err(|error| internal_error(error.to_string()))
}
