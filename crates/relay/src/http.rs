//! A small HTTP server for readiness and metrics. It is `hyper` itself rather
//! than `dropshot`, which is built on it: paths come from the platform's seam,
//! and memory is paid for.

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

/// Longest wait for a request's head.
const HEADER_TIMEOUT: Duration = Duration::from_secs(5);
/// Wait after the listener could not accept, such as for want of descriptors.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);

/// An answer to a GET.
pub struct Answer {
    /// The status code.
    pub status: StatusCode,
    /// The body, as plain text.
    pub body: String,
}

/// Serves GET requests at `address` for as long as the process lives.
///
/// # Errors
/// When the address cannot be bound.
pub async fn serve(
    address: SocketAddrV4,
    answer: impl Fn(&str) -> Answer + 'static,
) -> eyre::Result<()> {
    let listener =
        TcpListener::bind(address).await.wrap_err_with(|| format!("listen at {address}"))?;
    tokio::task::spawn_local(accept(listener, Rc::new(answer)));
    Ok(())
}

async fn accept(listener: TcpListener, answer: Rc<impl Fn(&str) -> Answer + 'static>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY).await;
            continue;
        };
        let answer = Rc::clone(&answer);
        let service = service_fn(move |request: http::Request<Incoming>| {
            let answer = answer(request.uri().path());
            async move { Ok::<_, Infallible>(response(answer)) }
        });
        tokio::task::spawn_local(async move {
            let mut builder = http1::Builder::new();
            builder.timer(TokioTimer::new()).header_read_timeout(HEADER_TIMEOUT);
            // A peer that breaks off harms nobody but itself.
            let _ = builder.serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

fn response(answer: Answer) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(answer.body)));
    *response.status_mut() = answer.status;
    let plain = header::HeaderValue::from_static("text/plain; charset=utf-8");
    response.headers_mut().insert(header::CONTENT_TYPE, plain);
    response
}
