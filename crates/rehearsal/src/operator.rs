//! Writes the configuration through the balancers' APIs, as an operator does.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use eyre::WrapErr;
use http::{Request, StatusCode};
use weirhinge_config::ConfigDocument;
use weirhinge_document_source::{CONFIGURATION_PATH, send};

/// Time within which a change must be accepted.
const ACCEPTANCE_TIMEOUT: Duration = Duration::from_secs(20);
/// Timeout of one attempt.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(4);
/// Pause between two attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Writes the whole configuration through each API in turn, with the same
/// idempotency key, until one accepts it.
///
/// # Errors
/// Fails if no API accepts the write in time, with the last error received.
pub(crate) async fn write_configuration(
    apis: &[SocketAddr],
    document: &ConfigDocument,
) -> eyre::Result<()> {
    let body = serde_json::to_vec(document).wrap_err("encode the configuration")?;
    let key = format!("rehearsal-{}", document.revision);
    let deadline = Instant::now() + ACCEPTANCE_TIMEOUT;
    let mut last_error = "no API available".to_owned();
    for api in apis.iter().cycle() {
        if Instant::now() >= deadline {
            break;
        }
        let request = Request::put(CONFIGURATION_PATH).header("idempotency-key", key.as_str());
        match send(*api, request, body.clone().into(), ATTEMPT_TIMEOUT).await {
            Ok(response) if response.status == StatusCode::OK => return Ok(()),
            Ok(response) => last_error = String::from_utf8_lossy(&response.body).into_owned(),
            Err(error) => last_error = error.to_string(),
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
    Err(eyre::eyre!("write configuration {}: {last_error}", document.revision))
}
