//! `weirhinge explain`: shows what happened to one subject, from logs.

use std::io::Read;
use std::time::{Duration, UNIX_EPOCH};

use eyre::WrapErr;
use pico_args::Arguments;
use serde_json::Value;
use weirhinge_observe::{MergedLine, MergedLogs, Subject};

use super::CliFailure;
use super::daemon::read_flag;
use super::log_files::read_file_names;

const USAGE: &str = "\
weirhinge explain: show from logs what happened

USAGE:
  weirhinge explain --request ID [FILE...]
  weirhinge explain --flow CLIENT:PORT>ADDRESS:PORT [FILE...]
  weirhinge explain --node NAME [FILE...]
  weirhinge explain --timeline [--every MS] [--from S] [--to S] [--node PREFIX] [--json]
                    [FILE...]

Reads the logs of any number of machines, from files or standard input, and
prints the lines about the subject in order of time. Clock differences between
machines are estimated from the lines and corrected. Lines that cannot be read
are counted.

The timeline counts the lines of each kind in intervals of --every milliseconds
(default: 1000). It reports daemons that started together and what followed,
daemons that served nothing while others did, and how long steps took. Times are
in seconds since the first line; --from and --to limit the range. Memory use does
not grow with the number of lines.
";

/// Fields that the start of a printed line shows already, or that every line has.
const HEADER_FIELDS: [&str; 6] = ["ts", "level", "node", "event", "msg", "up_ms"];

/// Runs the subcommand.
pub fn run(mut arguments: Arguments) -> Result<(), CliFailure> {
    if arguments.contains(["-h", "--help"]) {
        print!("{USAGE}");
        return Ok(());
    }
    if arguments.contains("--timeline") {
        return super::timeline::run(arguments);
    }
    let subject = read_subject(&mut arguments)?;
    let files = read_file_names(arguments)?;
    let mut logs = MergedLogs::default();
    read_logs(&files, &mut logs).map_err(CliFailure::Runtime)?;
    let lines = logs.lines_about(&subject);
    for line in &lines {
        println!("{}", format_line(line));
    }
    print_summary(&logs, lines.len());
    Ok(())
}

fn read_subject(arguments: &mut Arguments) -> Result<Subject, CliFailure> {
    let request: Option<String> = read_flag(arguments, "--request")?;
    let flow: Option<String> = read_flag(arguments, "--flow")?;
    let node: Option<String> = read_flag(arguments, "--node")?;
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

fn format_line(entry: &MergedLine) -> String {
    let since_epoch = Duration::from_millis(u64::try_from(entry.at_ms).unwrap_or(0));
    let time = humantime::format_rfc3339_millis(UNIX_EPOCH + since_epoch);
    let fields = entry.line.fields.iter();
    let fields: Vec<String> = fields
        .filter(|(name, value)| !HEADER_FIELDS.contains(&name.as_str()) && !value.is_null())
        .map(|(name, value)| match value {
            Value::String(text) => format!("{name}={text}"),
            other => format!("{name}={other}"),
        })
        .collect();
    format!("{time} {:<28} {:<14} {}", entry.line.node, entry.line.event, fields.join(" "))
}

fn print_summary(logs: &MergedLogs, line_count: usize) {
    let offsets = logs.clock_offsets();
    let largest = offsets.iter().max_by_key(|(_, offset)| offset.abs());
    let clocks = largest.map_or_else(
        || "no clock differences".to_owned(),
        |(node, offset)| format!("largest clock difference corrected: {offset} ms at {node}"),
    );
    println!("{line_count} lines; {clocks}; {} lines could not be read", logs.unreadable());
}
