//! The platform: a read-only HTTP service for the configuration document and the
//! machine list, which can serve stale data or fail.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use http::{Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use weirhinge_config::{ConfigDocument, MachineList};

/// Behaviour of the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlatformMode {
    /// Serves the latest document.
    Fresh,
    /// Serves the first published document.
    Stale,
    /// Accepts connections and closes them without a response.
    Down,
}

struct PlatformState {
    mode: PlatformMode,
    first: Option<ConfigDocument>,
    document: ConfigDocument,
    machines: MachineList,
}

/// Handle to the platform. Cheap to clone.
#[derive(Clone)]
pub struct Platform {
    address: SocketAddr,
    state: Arc<Mutex<PlatformState>>,
}

impl Platform {
    /// Starts the service on a loopback port.
    pub async fn start() -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let state = Arc::new(Mutex::new(PlatformState {
            mode: PlatformMode::Fresh,
            first: None,
            document: ConfigDocument::default(),
            machines: MachineList::default(),
        }));
        let platform = Self { address, state };
        tokio::spawn(platform.clone().accept(listener));
        Ok(platform)
    }

    /// Returns the address that daemons read from.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Publishes a new document.
    pub fn publish(&self, document: ConfigDocument) {
        let mut state = self.lock();
        state.first.get_or_insert_with(|| document.clone());
        state.document = document;
    }

    /// Returns the latest published document, even if the mode is stale or down.
    pub fn document(&self) -> ConfigDocument {
        self.lock().document.clone()
    }

    /// Publishes a new machine list.
    pub fn set_machines(&self, machines: MachineList) {
        self.lock().machines = machines;
    }

    /// Changes the platform's behaviour.
    pub fn set_mode(&self, mode: PlatformMode) {
        self.lock().mode = mode;
    }

    async fn accept(self, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                continue;
            };
            if self.lock().mode == PlatformMode::Down {
                continue;
            }
            let platform = self.clone();
            tokio::spawn(async move {
                let service = service_fn(|request| {
                    let response = platform.respond(&request);
                    async move { Ok::<_, Infallible>(response) }
                });
                // A daemon that disconnects early is not an error here.
                let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
            });
        }
    }

    fn respond(&self, request: &Request<Incoming>) -> Response<Full<Bytes>> {
        match request.uri().path() {
            weirhinge_document_source::CONFIGURATION_PATH => {
                self.respond_with_configuration(request)
            }
            weirhinge_document_source::MACHINES_PATH => {
                json(serde_json::to_vec(&self.lock().machines).unwrap_or_default(), None)
            }
            _ => status(StatusCode::NOT_FOUND),
        }
    }

    fn respond_with_configuration(&self, request: &Request<Incoming>) -> Response<Full<Bytes>> {
        let state = self.lock();
        let document = match (state.mode, &state.first) {
            (PlatformMode::Stale, Some(first)) => first,
            _ => &state.document,
        };
        let tag = format!("\"{}\"", document.revision);
        let known = request.headers().get(header::IF_NONE_MATCH);
        if known.is_some_and(|known| known.as_bytes() == tag.as_bytes()) {
            return status(StatusCode::NOT_MODIFIED);
        }
        json(serde_json::to_vec(document).unwrap_or_default(), Some(tag))
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, PlatformState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn json(body: Vec<u8>, entity_tag: Option<String>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    if let Some(tag) = entity_tag.and_then(|tag| tag.parse().ok()) {
        response.headers_mut().insert(header::ETAG, tag);
    }
    response
}

fn status(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::new()));
    *response.status_mut() = status;
    response
}
