//! Readiness and metrics, as the outside sees them.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;

use http::StatusCode;
use weirhinge_observe::Metrics;

use crate::fleet_node::FleetNode;
use crate::http::{Answer, serve};
use crate::platform::Platform;
use crate::settings::CommonSettings;

/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// Whether this daemon should get work.
#[derive(Clone)]
pub struct Status {
    node: Rc<RefCell<FleetNode>>,
    needs_configuration: bool,
    stopping: Rc<Cell<bool>>,
    isolated: Rc<Cell<bool>>,
    withdrawn: Rc<Cell<bool>>,
}

impl Status {
    /// A daemon that is ready once it knows a configuration.
    pub fn new(node: Rc<RefCell<FleetNode>>) -> Self {
        Self {
            node,
            needs_configuration: true,
            stopping: Rc::default(),
            isolated: Rc::default(),
            withdrawn: Rc::default(),
        }
    }

    /// A daemon that is ready as soon as it runs.
    pub fn always(node: Rc<RefCell<FleetNode>>) -> Self {
        Self { needs_configuration: false, ..Self::new(node) }
    }

    /// Is not ready from now on.
    pub fn stop(&self) {
        self.stopping.set(true);
    }

    /// Notes whether this daemon is cut off from the others. Returns whether that
    /// is new.
    pub fn set_isolated(&self, isolated: bool) -> bool {
        self.isolated.replace(isolated) != isolated
    }

    /// Notes whether this daemon leaves the packets to others for lack of time.
    /// Returns whether that is new.
    pub fn set_withdrawn(&self, withdrawn: bool) -> bool {
        self.withdrawn.replace(withdrawn) != withdrawn
    }

    fn is_ready(&self) -> bool {
        let knows = !self.needs_configuration || self.node.borrow().view().label().is_some();
        knows && !self.stopping.get() && !self.isolated.get() && !self.withdrawn.get()
    }
}

/// Serves readiness and, if the settings say where, metrics.
///
/// # Errors
/// When an address cannot be bound.
pub async fn serve_status<P: Platform>(
    platform: &P,
    settings: &CommonSettings,
    status: Status,
    metrics: Arc<Metrics>,
) -> eyre::Result<()> {
    let path = platform.readiness_path();
    let readiness = move |asked: &str| match (asked == path, status.is_ready()) {
        (true, true) => answer(StatusCode::OK, "ready\n"),
        (true, false) => answer(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        (false, _) => answer(StatusCode::NOT_FOUND, "not found\n"),
    };
    serve(settings.readiness, readiness).await?;
    let Some(address) = settings.metrics else { return Ok(()) };
    let encode = move |asked: &str| match (asked == METRICS_PATH, metrics.encode()) {
        (false, _) => answer(StatusCode::NOT_FOUND, "not found\n"),
        (true, Ok(body)) => Answer { status: StatusCode::OK, body },
        (true, Err(error)) => answer(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    };
    serve(address, encode).await
}

fn answer(status: StatusCode, body: &str) -> Answer {
    Answer { status, body: body.to_owned() }
}
