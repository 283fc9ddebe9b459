//! An operator who writes the configuration through any of the APIs.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use eyre::WrapErr;
use http::{Request, StatusCode};
use weirhinge_config::ConfigDocument;
use weirhinge_document_source::{CONFIGURATION_PATH, send};

/// Longest that a change may take to be accepted.
const WRITE_PATIENCE: Duration = Duration::from_secs(20);
/// Longest that one try of a write may take.
const WRITE_TIMEOUT: Duration = Duration::from_secs(4);
/// Pause between two tries of a write.
const WRITE_PAUSE: Duration = Duration::from_millis(200);

/// Writes the whole configuration through any of the APIs, repeating it with
/// one key until it is accepted, as an operator would.
pub(crate) async fn write_configuration(
    apis: &[SocketAddr],
    document: &ConfigDocument,
) -> eyre::Result<()> {
    let body = serde_json::to_vec(document).wrap_err("encode the configuration")?;
    let key = format!("rehearsal-{}", document.revision);
    let deadline = Instant::now() + WRITE_PATIENCE;
    let mut last = "no API".to_owned();
    for api in apis.iter().cycle() {
        if Instant::now() >= deadline {
            break;
        }
        let request = Request::put(CONFIGURATION_PATH).header("idempotency-key", key.as_str());
        match send(*api, request, body.clone().into(), WRITE_TIMEOUT).await {
            Ok(answer) if answer.status == StatusCode::OK => return Ok(()),
            Ok(answer) => last = String::from_utf8_lossy(&answer.body).into_owned(),
            Err(error) => last = error.to_string(),
        }
        tokio::time::sleep(WRITE_PAUSE).await;
    }
    Err(eyre::eyre!("write configuration {}: {last}", document.revision))
}
