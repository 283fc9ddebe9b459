//! The readiness and metrics endpoints of a daemon.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;

use http::StatusCode;
use weirhinge_observe::Metrics;

use crate::fleet_node::FleetNode;
use crate::http_server::{TextResponse, serve};
use crate::platform::Platform;
use crate::settings::CommonSettings;

/// Path of the metrics endpoint.
const METRICS_PATH: &str = "/metrics";

/// Whether a daemon is ready to receive packets.
#[derive(Clone)]
pub struct Readiness {
    node: Rc<RefCell<FleetNode>>,
    needs_configuration: bool,
    stopping: Rc<Cell<bool>>,
    isolated: Rc<Cell<bool>>,
    withdrawn: Rc<Cell<bool>>,
}

impl Readiness {
    /// Creates the readiness of a daemon that is ready once it knows a configuration.
    pub fn new(node: Rc<RefCell<FleetNode>>) -> Self {
        Self {
            node,
            needs_configuration: true,
            stopping: Rc::default(),
            isolated: Rc::default(),
            withdrawn: Rc::default(),
        }
    }

    /// Creates the readiness of a daemon that is ready as soon as it runs.
    pub fn ready_from_start(node: Rc<RefCell<FleetNode>>) -> Self {
        Self { needs_configuration: false, ..Self::new(node) }
    }

    /// Marks the daemon as stopping; it is not ready from now on.
    pub fn set_stopping(&self) {
        self.stopping.set(true);
    }

    /// Sets whether the daemon is isolated from all agents; while it is, it is not ready. Returns
    /// whether this changed.
    pub fn set_isolated(&self, isolated: bool) -> bool {
        self.isolated.replace(isolated) != isolated
    }

    /// Sets whether the daemon leaves packets to other balancers because it is overloaded; while
    /// it does, it is not ready. Returns whether this changed.
    pub fn set_withdrawn(&self, withdrawn: bool) -> bool {
        self.withdrawn.replace(withdrawn) != withdrawn
    }

    fn is_ready(&self) -> bool {
        let has_required_configuration =
            !self.needs_configuration || self.node.borrow().view().label().is_some();
        has_required_configuration
            && !self.stopping.get()
            && !self.isolated.get()
            && !self.withdrawn.get()
    }
}

/// Serves readiness and, if the settings contain an address for them, metrics.
///
/// # Errors
/// When an address cannot be bound.
pub async fn serve_endpoints<P: Platform>(
    platform: &P,
    settings: &CommonSettings,
    readiness: Readiness,
    metrics: Arc<Metrics>,
) -> eyre::Result<()> {
    let readiness_path = platform.readiness_path();
    let answer_readiness = move |path: &str| match (path == readiness_path, readiness.is_ready()) {
        (true, true) => text_response(StatusCode::OK, "ready\n"),
        (true, false) => text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        (false, _) => text_response(StatusCode::NOT_FOUND, "not found\n"),
    };
    serve(settings.readiness, answer_readiness).await?;
    let Some(address) = settings.metrics else { return Ok(()) };
    let answer_metrics = move |path: &str| match (path == METRICS_PATH, metrics.encode()) {
        (false, _) => text_response(StatusCode::NOT_FOUND, "not found\n"),
        (true, Ok(body)) => TextResponse { status: StatusCode::OK, body },
        (true, Err(error)) => text_response(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    };
    serve(address, answer_metrics).await
}

fn text_response(status: StatusCode, body: &str) -> TextResponse {
    TextResponse { status, body: body.to_owned() }
}
