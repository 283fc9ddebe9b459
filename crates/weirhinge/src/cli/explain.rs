//! `weirhinge explain`.

use std::io::Read;
use std::time::{Duration, UNIX_EPOCH};

use eyre::WrapErr;
use pico_args::Arguments;
use serde_json::Value;
use weirhinge_observe::{MergedLine, MergedLogs, Subject};

use super::CliFailure;
use super::daemon::option;
use super::log_files::files;

const USAGE: &str = "\
weirhinge explain: tell from logs what happened

USAGE:
  weirhinge explain --request ID [FILE...]
  weirhinge explain --flow CLIENT:PORT>ADDRESS:PORT [FILE...]
  weirhinge explain --node NAME [FILE...]
  weirhinge explain --timeline [--every MS] [--from S] [--to S] [--node PREFIX] [--json]
                    [FILE...]

Reads the logs of any number of machines, from files or standard input, and
prints the lines about the subject in order of time. Differences between the
machines' clocks are estimated from the lines and corrected. Lines that cannot
be read are counted.

The timeline counts the lines of each kind in intervals of --every milliseconds
(1000), tells of daemons that started together and what came after, names daemons
that served nothing while others did, and how long steps took. Times are seconds
from the first line; --from and --to limit them. It reads any amount of lines in
bounded memory.
";

/// Fields that every line has, or that its head already shows.
const SHOWN_IN_HEAD: [&str; 6] = ["ts", "level", "node", "event", "msg", "up_ms"];

/// Runs the command.
pub fn run(mut arguments: Arguments) -> Result<(), CliFailure> {
    if arguments.contains(["-h", "--help"]) {
        print!("{USAGE}");
        return Ok(());
    }
    if arguments.contains("--timeline") {
        return super::timeline::run(arguments);
    }
    let subject = read_subject(&mut arguments)?;
    let files = files(arguments)?;
    let mut logs = MergedLogs::default();
    read_logs(&files, &mut logs).map_err(CliFailure::Runtime)?;
    let told = logs.lines_about(&subject);
    for line in &told {
        println!("{}", format_line(line));
    }
    print_summary(&logs, told.len());
    Ok(())
}

fn read_subject(arguments: &mut Arguments) -> Result<Subject, CliFailure> {
    let request: Option<String> = option(arguments, "--request")?;
    let flow: Option<String> = option(arguments, "--flow")?;
    let node: Option<String> = option(arguments, "--node")?;
    match (request, flow, node) {
        (Some(id), None, None) => Ok(Subject::Request(id)),
        (None, Some(flow), None) => Ok(Subject::Flow(flow)),
        (None, None, Some(node)) => Ok(Subject::Node(node)),
        _ => Err(CliFailure::usage(format!(
            "subject: expected one of --request, --flow and --node\n\n{USAGE}"
        ))),
    }
}

fn read_logs(files: &[String], logs: &mut MergedLogs) -> eyre::Result<()> {
    if files.is_empty() {
        let mut bytes = Vec::new();
        std::io::stdin().read_to_end(&mut bytes).wrap_err("read standard input")?;
        logs.read(&String::from_utf8_lossy(&bytes));
    }
    for file in files {
        let bytes = std::fs::read(file).wrap_err_with(|| format!("read {file}"))?;
        logs.read(&String::from_utf8_lossy(&bytes));
    }
    Ok(())
}

fn format_line(told: &MergedLine) -> String {
    let since = Duration::from_millis(u64::try_from(told.at_ms).unwrap_or(0));
    let time = humantime::format_rfc3339_millis(UNIX_EPOCH + since);
    let fields = told.line.fields.iter();
    let fields: Vec<String> = fields
        .filter(|(name, value)| !SHOWN_IN_HEAD.contains(&name.as_str()) && !value.is_null())
        .map(|(name, value)| match value {
            Value::String(text) => format!("{name}={text}"),
            other => format!("{name}={other}"),
        })
        .collect();
    format!("{time} {:<28} {:<14} {}", told.line.node, told.line.event, fields.join(" "))
}

fn print_summary(logs: &MergedLogs, told: usize) {
    let offsets = logs.clock_offsets();
    let largest = offsets.iter().max_by_key(|(_, offset)| offset.abs());
    let clocks = largest.map_or_else(
        || "no clock differs".to_owned(),
        |(node, offset)| format!("largest clock difference corrected: {offset} ms at {node}"),
    );
    println!("{told} lines; {clocks}; {} lines could not be read", logs.unreadable());
}
