//! `weirhinge check`: validates a file.

use pico_args::Arguments;
use weirhinge_config::parse::{self, ConfigError};
use weirhinge_config::settings::RawSettings;
use weirhinge_config::{ConfigDocument, Keys};
use weirhinge_relay::RawSettings as RelaySettings;

use super::CliFailure;
use super::daemon::reject_remaining;

const USAGE: &str = "\
weirhinge check: validate a file without starting a daemon

USAGE:
  weirhinge check FILE

FILE is a configuration document (TOML, or JSON if its name ends in .json), a
settings file of a balancer or an agent, with or without relay mode, or a keys
file. Its kind is detected from its fields.
";

/// Kind of a file, as detected from its fields.
#[derive(Debug, PartialEq, Eq)]
enum FileKind {
    Document,
    Keys,
    AgentSettings,
    BalancerSettings,
    RelayAgentSettings,
    RelayBalancerSettings,
}

/// Runs the subcommand.
pub fn run(mut arguments: Arguments) -> Result<(), CliFailure> {
    if arguments.contains(["-h", "--help"]) {
        print!("{USAGE}");
        return Ok(());
    }
    let file: String = arguments
        .free_from_str()
        .map_err(|_| CliFailure::usage(format!("expected a file\n\n{USAGE}")))?;
    reject_remaining(arguments)?;
    let summary = check_file(&file).map_err(CliFailure::usage)?;
    println!("{file}: {summary}");
    Ok(())
}

fn check_file(file: &str) -> Result<String, ConfigError> {
    let text = parse::read_file(file)?;
    if file.ends_with(".json") {
        return ConfigDocument::from_json(file, text.as_bytes())
            .map(|document| document_summary(&document));
    }
    match detect_file_kind(&text) {
        FileKind::Document => {
            ConfigDocument::from_toml(file, &text).map(|document| document_summary(&document))
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

fn document_summary(document: &ConfigDocument) -> String {
    format!(
        "valid configuration document, revision {}, {} services, {} targets",
        document.revision,
        document.services.len(),
        document.targets.len()
    )
}

/// Detects the kind of a file by fields that only this kind has.
fn detect_file_kind(text: &str) -> FileKind {
    let has_field = |field: &str| {
        text.lines().any(|line| {
            let line = line.trim_start();
            line.strip_prefix(field).is_some_and(|rest| rest.trim_start().starts_with('='))
        })
    };
    if has_field("peer_port") || has_field("readiness") {
        return match has_field("target") || has_field("target_output") {
            true => FileKind::RelayAgentSettings,
            false => FileKind::RelayBalancerSettings,
        };
    }
    if has_field("revision") || text.contains("[[services]]") || text.contains("[[targets]]") {
        FileKind::Document
    } else if has_field("flow_hash") {
        FileKind::Keys
    } else if has_field("target") || has_field("fabric") {
        FileKind::AgentSettings
    } else {
        FileKind::BalancerSettings
    }
}
