//! The resource API, by which operators change the configuration and observe its state.
//!
//! The message of each failed write says whether the write was *not applied* or its outcome is
//! *unknown*. A write reported as *not applied* has definitely had no effect.

use std::net::SocketAddr;

use dropshot::{
    ApiDescription, Body, ConfigDropshot, HttpError, HttpServer, Path, RequestContext,
    ServerBuilder, UntypedBody, endpoint,
};
use eyre::{WrapErr, eyre};
use http::{Response, StatusCode, header};
use schemars::JsonSchema;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use slog::{Drain, Logger};
use weirhinge_config::{ConfigDocument, Service, ServiceId, Target, TargetId, parse};
use weirhinge_control::{
    ConfigChange, ConfigCommand, ControlHandle, ControlStatus, Outcome, WriteError,
};

/// Header with the client's idempotency key: a write repeated with the same key is applied once.
const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Maximum length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 128;
/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 16 << 20;
/// Name of the request body in error messages.
const BODY: &str = "body";

struct ApiContext {
    control: ControlHandle,
}

/// A running API server; stops when dropped.
pub struct ApiServer {
    server: HttpServer<ApiContext>,
}

impl ApiServer {
    /// Returns the address that the API listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.local_addr()
    }
}

/// Registers all endpoints of the API.
fn describe_api() -> eyre::Result<ApiDescription<ApiContext>> {
    let mut api = ApiDescription::new();
    let failed = |error: dropshot::ApiDescriptionRegisterError| eyre!("register API: {error}");
    api.register(get_configuration).map_err(failed)?;
    api.register(put_configuration).map_err(failed)?;
    api.register(put_service).map_err(failed)?;
    api.register(delete_service).map_err(failed)?;
    api.register(put_target).map_err(failed)?;
    api.register(delete_target).map_err(failed)?;
    api.register(get_status).map_err(failed)?;
    Ok(api)
}

/// Returns the API's OpenAPI document as indented JSON.
///
/// # Errors
/// When an endpoint cannot be registered or the document cannot be serialized.
pub fn open_api() -> eyre::Result<String> {
    let document = describe_api()?
        .openapi("weirhinge", semver::Version::new(1, 0, 0))
        .json()
        .wrap_err("describe API")?;
    serde_json::to_string_pretty(&document).wrap_err("write API description")
}

/// Starts the API server. It supports neither TLS nor authentication yet, so it binds to loopback
/// addresses only.
///
/// # Errors
/// When the address is not a loopback address or cannot be bound.
pub fn start_api(
    address: SocketAddr,
    control: ControlHandle,
    log: &Logger,
) -> eyre::Result<ApiServer> {
    if !address.ip().is_loopback() {
        return Err(eyre!("bind API at {address}: only loopback is allowed without TLS"));
    }
    let api = describe_api()?;
    let warnings_only =
        Logger::root(slog::LevelFilter::new(log.clone(), slog::Level::Warning).fuse(), slog::o!());
    let config = ConfigDropshot {
        bind_address: address,
        default_request_body_max_bytes: MAX_BODY_BYTES,
        ..Default::default()
    };
    let server = ServerBuilder::new(api, ApiContext { control }, warnings_only)
        .config(config)
        .start()
        .wrap_err_with(|| format!("start API at {address}"))?;
    Ok(ApiServer { server })
}

/// A numbered resource.
#[derive(Deserialize, JsonSchema)]
struct NumberedPath {
    /// The resource's identifier.
    id: u32,
}

/// Response body of an accepted write.
#[derive(Serialize)]
struct Accepted {
    revision: u64,
}

/// The configuration that balancers have agreed on.
#[endpoint { method = GET, path = "/v1/configuration" }]
async fn get_configuration(
    request: RequestContext<ApiContext>,
) -> Result<Response<Body>, HttpError> {
    let document = request.context().control.document().borrow().clone();
    if document.revision == 0 {
        return Err(error_response(StatusCode::NOT_FOUND, "no configuration is agreed on yet"));
    }
    let tag = format!("\"{}\"", document.revision);
    let known = request.request.headers().get(header::IF_NONE_MATCH);
    if known.is_some_and(|known| known.as_bytes() == tag.as_bytes()) {
        return respond(StatusCode::NOT_MODIFIED, None, Vec::new());
    }
    respond(StatusCode::OK, Some(tag), encode(&*document)?)
}

/// Replaces the whole configuration.
#[endpoint { method = PUT, path = "/v1/configuration" }]
async fn put_configuration(
    request: RequestContext<ApiContext>,
    body: UntypedBody,
) -> Result<Response<Body>, HttpError> {
    let mut document: ConfigDocument = parse_body(&body)?;
    // The balancer group assigns the revision; the one in the request is ignored.
    document.revision = 1;
    write(&request, ConfigChange::Replace(document)).await
}

/// Creates or replaces a service.
#[endpoint { method = PUT, path = "/v1/services/{id}" }]
async fn put_service(
    request: RequestContext<ApiContext>,
    path: Path<NumberedPath>,
    body: UntypedBody,
) -> Result<Response<Body>, HttpError> {
    let service: Service = parse_body(&body)?;
    check_id_matches_path(path.into_inner().id, service.id.0)?;
    write(&request, ConfigChange::PutService(service)).await
}

/// Deletes a service.
#[endpoint { method = DELETE, path = "/v1/services/{id}" }]
async fn delete_service(
    request: RequestContext<ApiContext>,
    path: Path<NumberedPath>,
) -> Result<Response<Body>, HttpError> {
    let id = ServiceId(path.into_inner().id);
    write(&request, ConfigChange::DeleteService(id)).await
}

/// Creates or replaces a target.
#[endpoint { method = PUT, path = "/v1/targets/{id}" }]
async fn put_target(
    request: RequestContext<ApiContext>,
    path: Path<NumberedPath>,
    body: UntypedBody,
) -> Result<Response<Body>, HttpError> {
    let target: Target = parse_body(&body)?;
    check_id_matches_path(path.into_inner().id, u32::from(target.id.0))?;
    write(&request, ConfigChange::PutTarget(target)).await
}

/// Deletes a target.
#[endpoint { method = DELETE, path = "/v1/targets/{id}" }]
async fn delete_target(
    request: RequestContext<ApiContext>,
    path: Path<NumberedPath>,
) -> Result<Response<Body>, HttpError> {
    let id = u16::try_from(path.into_inner().id)
        .map_err(|_| error_response(StatusCode::NOT_FOUND, "not applied: no target has this id"))?;
    write(&request, ConfigChange::DeleteTarget(TargetId(id))).await
}

/// This balancer's view of the group.
#[endpoint { method = GET, path = "/v1/status" }]
async fn get_status(request: RequestContext<ApiContext>) -> Result<Response<Body>, HttpError> {
    let status: ControlStatus = request.context().control.status();
    respond(StatusCode::OK, None, encode(&status)?)
}

async fn write(
    request: &RequestContext<ApiContext>,
    change: ConfigChange,
) -> Result<Response<Body>, HttpError> {
    let headers = request.request.headers();
    let key = match headers.get(IDEMPOTENCY_KEY) {
        Some(key) => parse_key(key)?,
        None => request.request_id.clone(),
    };
    let expected = headers.get(header::IF_MATCH).map(parse_revision).transpose()?;
    let command = ConfigCommand { key, expected, change };
    match request.context().control.write(command).await {
        Ok(Outcome::Accepted { revision }) => {
            let tag = format!("\"{revision}\"");
            respond(StatusCode::OK, Some(tag), encode(&Accepted { revision })?)
        }
        Ok(Outcome::Conflict { revision }) => Err(error_response(
            StatusCode::PRECONDITION_FAILED,
            &format!("not applied: revision {revision} is in force"),
        )),
        Ok(Outcome::Invalid { reason }) => {
            Err(error_response(StatusCode::BAD_REQUEST, &format!("not applied: {reason}")))
        }
        Err(error @ WriteError::NoLeader) => {
            Err(error_response(StatusCode::SERVICE_UNAVAILABLE, &error.to_string()))
        }
        Err(error @ WriteError::Unknown) => {
            Err(error_response(StatusCode::GATEWAY_TIMEOUT, &error.to_string()))
        }
    }
}

fn parse_body<T: DeserializeOwned>(body: &UntypedBody) -> Result<T, HttpError> {
    parse::from_json(BODY, body.as_bytes())
        .map_err(|error| error_response(StatusCode::BAD_REQUEST, &format!("not applied: {error}")))
}

fn parse_key(value: &http::HeaderValue) -> Result<String, HttpError> {
    match value.to_str() {
        Ok(key) if !key.is_empty() && key.len() <= MAX_KEY_BYTES => Ok(key.to_owned()),
        _ => Err(error_response(
            StatusCode::BAD_REQUEST,
            "not applied: header idempotency-key: expected 1 to 128 printable characters",
        )),
    }
}

fn parse_revision(value: &http::HeaderValue) -> Result<u64, HttpError> {
    let text = value.to_str().unwrap_or_default();
    text.trim_matches('"').parse().map_err(|_| {
        error_response(
            StatusCode::BAD_REQUEST,
            "not applied: header if-match: expected a revision, such as \"12\"",
        )
    })
}

fn check_id_matches_path(path: u32, body: u32) -> Result<(), HttpError> {
    if path == body {
        return Ok(());
    }
    let reason =
        format!("not applied: {BODY}: field id: found {body}, expected {path} as in the path");
    Err(error_response(StatusCode::BAD_REQUEST, &reason))
}

fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, HttpError> {
    serde_json::to_vec(value).map_err(|error| HttpError::for_internal_error(error.to_string()))
}

fn respond(
    status: StatusCode,
    entity_tag: Option<String>,
    body: Vec<u8>,
) -> Result<Response<Body>, HttpError> {
    let mut response = Response::builder().status(status);
    if let Some(tag) = entity_tag {
        response = response.header(header::ETAG, tag);
    }
    response
        .header(header::CONTENT_TYPE, "application/json")
        .body(Body::from(body))
        .map_err(|error| HttpError::for_internal_error(error.to_string()))
}

fn error_response(status: StatusCode, message: &str) -> HttpError {
    let message = message.to_owned();
    let status = dropshot::ErrorStatusCode::try_from(status)
        .unwrap_or(dropshot::ErrorStatusCode::INTERNAL_SERVER_ERROR);
    HttpError {
        status_code: status,
        error_code: None,
        external_message: message.clone(),
        internal_message: message,
        headers: None,
    }
}
