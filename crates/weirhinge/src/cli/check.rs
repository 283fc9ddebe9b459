//! `weirhinge check`.

use pico_args::Arguments;
use weirhinge_config::parse::{self, ConfigError};
use weirhinge_config::settings::RawSettings;
use weirhinge_config::{ConfigDocument, Keys};
use weirhinge_relay::RawSettings as RelaySettings;

use super::CliFailure;
use super::daemon::refuse_rest;

const USAGE: &str = "\
weirhinge check: check a file without starting anything

USAGE:
  weirhinge check FILE

FILE is a configuration document (TOML, or JSON if its name ends in .json), a
settings file of a balancer or an agent, of either in relay mode, or a keys file;
its fields tell which.
";

/// What a file turned out to be.
#[derive(Debug, PartialEq, Eq)]
enum FileKind {
    Document,
    Keys,
    AgentSettings,
    BalancerSettings,
    RelayAgentSettings,
    RelayBalancerSettings,
}

/// Runs the command.
pub fn run(mut arguments: Arguments) -> Result<(), CliFailure> {
    if arguments.contains(["-h", "--help"]) {
        print!("{USAGE}");
        return Ok(());
    }
    let file: String = arguments
        .free_from_str()
        .map_err(|_| CliFailure::usage(format!("no file given\n\n{USAGE}")))?;
    refuse_rest(arguments)?;
    let summary = check_file(&file).map_err(CliFailure::usage)?;
    println!("{file}: {summary}");
    Ok(())
}

fn check_file(file: &str) -> Result<String, ConfigError> {
    let text = parse::read_file(file)?;
    if file.ends_with(".json") {
        return ConfigDocument::from_json(file, text.as_bytes()).map(|document| summary(&document));
    }
    match file_kind(&text) {
        FileKind::Document => {
            ConfigDocument::from_toml(file, &text).map(|document| summary(&document))
        }
        FileKind::Keys => Keys::from_toml(file, &text).map(|_| "valid keys file".to_owned()),
        FileKind::AgentSettings => parse::from_toml::<RawSettings>(file, &text)?
            .into_agent(file)
            .map(|settings| format!("valid agent settings for {}", settings.target)),
        FileKind::RelayAgentSettings => parse::from_toml::<RelaySettings>(file, &text)?
            .into_agent(file)
            .map(|settings| format!("valid relay agent settings for {}", settings.service)),
        FileKind::RelayBalancerSettings => parse::from_toml::<RelaySettings>(file, &text)?
            .into_balancer(file)
            .map(|settings| format!("valid relay balancer settings in {}", settings.common.zone)),
        FileKind::BalancerSettings => parse::from_toml::<RawSettings>(file, &text)?
            .into_balancer(file)
            .map(|settings| format!("valid balancer settings in zone {}", settings.common.zone)),
    }
}

fn summary(document: &ConfigDocument) -> String {
    format!(
        "valid configuration document, revision {}, {} services, {} targets",
        document.revision,
        document.services.len(),
        document.targets.len()
    )
}

/// Tells the kinds of file apart by one field that only one of them has.
fn file_kind(text: &str) -> FileKind {
    let has = |field: &str| {
        text.lines().any(|line| {
            let line = line.trim_start();
            line.strip_prefix(field).is_some_and(|rest| rest.trim_start().starts_with('='))
        })
    };
    if has("peer_port") || has("readiness") {
        return match has("target") || has("target_output") {
            true => FileKind::RelayAgentSettings,
            false => FileKind::RelayBalancerSettings,
        };
    }
    if has("revision") || text.contains("[[services]]") || text.contains("[[targets]]") {
        FileKind::Document
    } else if has("flow_hash") {
        FileKind::Keys
    } else if has("target") || has("fabric") {
        FileKind::AgentSettings
    } else {
        FileKind::BalancerSettings
    }
}
