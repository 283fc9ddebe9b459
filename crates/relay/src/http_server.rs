//! A small HTTP server for readiness and metrics.
//!
//! It uses `hyper` directly rather than `dropshot`, which builds on it, because the paths come from
//! the `Platform` trait, and to use less memory.

use std::convert::Infallible;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use eyre::WrapErr;
use http::{Response, StatusCode, header};
use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;

/// Timeout for receiving the header of a request.
const HEADER_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay after a failed accept, for example when the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// A response with a plain-text body.
pub struct TextResponse {
    /// The status code.
    pub status: StatusCode,
    /// The body.
    pub body: String,
}

/// Serves requests at `address` until the process ends. `respond` maps the path of a request to the
/// response; the method is ignored.
///
/// # Errors
/// When the address cannot be bound.
pub async fn serve(
    address: SocketAddrV4,
    respond: impl Fn(&str) -> TextResponse + 'static,
) -> eyre::Result<()> {
    let listener =
        TcpListener::bind(address).await.wrap_err_with(|| format!("listen on {address}"))?;
    tokio::task::spawn_local(accept_connections(listener, Rc::new(respond)));
    Ok(())
}

async fn accept_connections(
    listener: TcpListener,
    respond: Rc<impl Fn(&str) -> TextResponse + 'static>,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let respond = Rc::clone(&respond);
        let service = service_fn(move |request: http::Request<Incoming>| {
            let text = respond(request.uri().path());
            async move { Ok::<_, Infallible>(into_http(text)) }
        });
        tokio::task::spawn_local(async move {
            let mut builder = http1::Builder::new();
            builder.timer(TokioTimer::new()).header_read_timeout(HEADER_TIMEOUT);
            // A failed connection affects only its own client.
            let _ = builder.serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

fn into_http(text: TextResponse) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(text.body)));
    *response.status_mut() = text.status;
    let content_type = header::HeaderValue::from_static("text/plain; charset=utf-8");
    response.headers_mut().insert(header::CONTENT_TYPE, content_type);
    response
}
