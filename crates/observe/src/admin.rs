//! The HTTP endpoint of a daemon: `/health` and `/metrics`.

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

/// Content type of the OpenMetrics text format.
const OPEN_METRICS: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// The addresses at which a started daemon can be reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct BoundAddresses {
    /// UDP address of the data path.
    pub data: SocketAddr,
    /// TCP address of health and metrics.
    pub admin: SocketAddr,
    /// TCP address for other balancers; none for agents.
    pub control: Option<SocketAddr>,
    /// TCP address of the resource API; none for agents.
    pub api: Option<SocketAddr>,
}

/// What a daemon says about its health.
#[derive(Clone, Debug, Serialize, JsonSchema)]
pub struct Health {
    /// The daemon's name from its settings.
    pub name: String,
    /// The daemon's zone from its settings.
    pub zone: String,
    /// The configuration revision in force here; 0 before the first.
    pub revision: u64,
    /// Seconds since the platform last confirmed the configuration, if ever.
    pub configuration_age_seconds: Option<u64>,
    /// Whether a planned stop has begun.
    pub stopping: bool,
    /// Flows held; always 0 for a balancer.
    pub flows: u64,
}

/// Supplies a daemon's health when somebody asks.
pub trait HealthSource: Send + Sync + 'static {
    /// The health at this moment.
    fn health(&self) -> Health;
}

struct AdminContext {
    health: Arc<dyn HealthSource>,
    metrics: Arc<Metrics>,
}

/// A running admin endpoint; stops when dropped.
pub struct AdminServer {
    server: HttpServer<AdminContext>,
}

impl AdminServer {
    /// The address that the endpoint listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.local_addr()
    }
}

/// Starts the endpoint at `address`.
///
/// # Errors
/// When the address cannot be bound.
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
    // Dropshot logs every request at info; only its warnings matter here.
    let quiet =
        Logger::root(slog::LevelFilter::new(log.clone(), slog::Level::Warning).fuse(), slog::o!());
    let config = ConfigDropshot { bind_address: address, ..Default::default() };
    let server = ServerBuilder::new(api, context, quiet)
        .config(config)
        .start()
        .wrap_err_with(|| format!("start admin endpoint at {address}"))?;
    Ok(AdminServer { server })
}

/// The daemon's health.
#[endpoint { method = GET, path = "/health" }]
async fn get_health(
    request: RequestContext<AdminContext>,
) -> Result<HttpResponseOk<Health>, HttpError> {
    Ok(HttpResponseOk(request.context().health.health()))
}

/// The daemon's metrics in the OpenMetrics text format.
#[endpoint { method = GET, path = "/metrics" }]
async fn get_metrics(request: RequestContext<AdminContext>) -> Result<Response<Body>, HttpError> {
    let internal = |error: String| HttpError::for_internal_error(error);
    let text = request.context().metrics.encode().map_err(|error| internal(error.to_string()))?;
    Response::builder()
        .header(http::header::CONTENT_TYPE, OPEN_METRICS)
        .body(Body::from(text))
        .map_err(|error| internal(error.to_string()))
}
