//! The operator commands: they read and write the desired state through the API of any balancer.

use std::net::SocketAddr;
use std::time::Duration;

use eyre::{WrapErr, eyre};
use http::request::Builder;
use http::{Request, StatusCode};
use pico_args::Arguments;
use weirhinge_config::{ConfigDocument, Target, TargetState, parse};
use weirhinge_document_source::{CONFIGURATION_PATH, HttpResponse, send};

use super::CliFailure;
use super::daemon::{read_flag, reject_remaining};

/// Help text of the operator commands.
pub const USAGE: &str = "\
weirhinge get | status | apply FILE | drain TARGET | activate TARGET: call a balancer's API

USAGE:
  weirhinge get --api IP:PORT               Print the agreed configuration (JSON)
  weirhinge status --api IP:PORT            Print the balancer's view of the balancer group (JSON)
  weirhinge apply FILE --api IP:PORT        Replace the configuration with a document
  weirhinge drain TARGET --api IP:PORT      Stop sending new flows to a target
  weirhinge activate TARGET --api IP:PORT   Send new flows to a target again

OPTIONS:
  --key KEY        Idempotency key: a write that is repeated with the same key runs once
  --revision N     Apply only if this is the current revision
  -h, --help       Show this help

The platform can store the output of 'get' as the initial document. The error of a
rejected write says 'not applied'; if it says 'unknown', the write may have been
applied: repeat it with the same key.
";

/// Maximum wait for a response of the API.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);
/// API path of the balancer group's status.
const STATUS_PATH: &str = "/v1/status";

struct ApiClient {
    api: SocketAddr,
    key: Option<String>,
    revision: Option<u64>,
}

/// Runs the operator command of this name.
pub fn run(command: &str, mut arguments: Arguments) -> Result<(), CliFailure> {
    if arguments.contains(["-h", "--help"]) {
        print!("{USAGE}");
        return Ok(());
    }
    let api = read_flag(&mut arguments, "--api")?.ok_or_else(|| {
        CliFailure::usage("--api: expected the address of a balancer's API, such as 127.0.0.1:7002")
    })?;
    let client = ApiClient {
        api,
        key: read_flag(&mut arguments, "--key")?,
        revision: read_flag(&mut arguments, "--revision")?,
    };
    let operand = match command {
        "apply" | "drain" | "activate" => Some(read_operand(command, &mut arguments)?),
        _ => None,
    };
    reject_remaining(arguments)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .wrap_err("start the runtime")
        .map_err(CliFailure::Runtime)?;
    let text = runtime.block_on(client.execute(command, operand.as_deref()))?;
    println!("{text}");
    Ok(())
}

fn read_operand(command: &str, arguments: &mut Arguments) -> Result<String, CliFailure> {
    arguments
        .free_from_str()
        .map_err(|_| CliFailure::usage(format!("{command}: expected a file or target\n\n{USAGE}")))
}

impl ApiClient {
    async fn execute(&self, command: &str, operand: Option<&str>) -> Result<String, CliFailure> {
        match (command, operand) {
            ("get", _) => self.read(CONFIGURATION_PATH).await,
            ("apply", Some(file)) => self.apply(file).await,
            ("drain", Some(target)) => self.set_state(target, TargetState::Draining).await,
            ("activate", Some(target)) => self.set_state(target, TargetState::Active).await,
            _ => self.read(STATUS_PATH).await,
        }
    }

    async fn apply(&self, file: &str) -> Result<String, CliFailure> {
        let text = parse::read_file(file).map_err(CliFailure::usage)?;
        let document = if file.ends_with(".json") {
            ConfigDocument::from_json(file, text.as_bytes())
        } else {
            ConfigDocument::from_toml(file, &text)
        };
        let document = document.map_err(CliFailure::usage)?;
        self.write(Request::put(CONFIGURATION_PATH), &document, self.revision).await
    }

    /// Reads a target, changes its state and writes it back. The write is conditional on the
    /// revision that was read, so a concurrent change is never overwritten.
    async fn set_state(&self, name: &str, state: TargetState) -> Result<String, CliFailure> {
        let text = self.read(CONFIGURATION_PATH).await?;
        let document = ConfigDocument::from_json("configuration", text.as_bytes())
            .map_err(CliFailure::usage)?;
        let is_requested =
            |target: &&Target| target.name == name || target.id.0.to_string() == name;
        let found = document.targets.iter().find(is_requested);
        let mut target = found.cloned().ok_or_else(|| {
            CliFailure::usage(format!("target {name:?}: not in the configuration"))
        })?;
        target.state = state;
        let request = Request::put(format!("/v1/targets/{}", target.id.0));
        self.write(request, &target, Some(document.revision)).await
    }

    async fn read(&self, path: &str) -> Result<String, CliFailure> {
        self.exchange(Request::get(path), Vec::new()).await
    }

    async fn write<T: serde::Serialize>(
        &self,
        mut request: Builder,
        value: &T,
        revision: Option<u64>,
    ) -> Result<String, CliFailure> {
        if let Some(key) = &self.key {
            request = request.header("idempotency-key", key.as_str());
        }
        if let Some(revision) = revision {
            request = request.header("if-match", format!("\"{revision}\""));
        }
        let body = serde_json::to_vec(value)
            .wrap_err("encode the request body")
            .map_err(CliFailure::Runtime)?;
        self.exchange(request, body).await
    }

    async fn exchange(&self, request: Builder, body: Vec<u8>) -> Result<String, CliFailure> {
        let HttpResponse { status, body, .. } =
            send(self.api, request, body.into(), RESPONSE_TIMEOUT)
                .await
                .map_err(|error| CliFailure::Runtime(error.into()))?;
        let text = String::from_utf8_lossy(&body).into_owned();
        if status == StatusCode::OK {
            return Ok(text);
        }
        Err(CliFailure::Runtime(eyre!("API {}: status {}: {text}", self.api, status.as_u16())))
    }
}
