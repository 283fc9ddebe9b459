//! `weirhinge explain --timeline`: summarizes logs over time.

use std::fs::File;
use std::io::{BufRead, BufReader};

use eyre::WrapErr;
use pico_args::Arguments;
use weirhinge_observe::{
    ClientLoad, IdleDaemon, Interval, OpeningCounts, RouteClients, StartWave, Timeline,
    TimelineOptions, TimelineReport, ZoneLoad,
};

use super::CliFailure;
use super::daemon::read_flag;
use super::log_files::read_file_names;

/// Prints a report of what a fleet did over time, from its logs.
pub fn run(mut arguments: Arguments) -> Result<(), CliFailure> {
    let options = read_options(&mut arguments)?;
    let as_json = arguments.contains("--json");
    let files = read_file_names(arguments)?;
    let report = build_report(&files, options).map_err(CliFailure::Runtime)?;
    if as_json {
        let text = serde_json::to_string(&report).wrap_err("encode the report");
        println!("{}", text.map_err(CliFailure::Runtime)?);
    } else {
        print!("{}", format_report(&report));
    }
    Ok(())
}

fn read_options(arguments: &mut Arguments) -> Result<TimelineOptions, CliFailure> {
    let default = TimelineOptions::default();
    let every_ms = read_flag(arguments, "--every")?.unwrap_or(default.every_ms);
    if every_ms < 1 {
        return Err(CliFailure::usage(format!(
            "argument --every: found {every_ms}, expected at least 1 millisecond"
        )));
    }
    let milliseconds = |value: Option<f64>| value.map(|seconds| (seconds * 1_000.0) as i64);
    Ok(TimelineOptions {
        every_ms,
        node: read_flag(arguments, "--node")?.unwrap_or_default(),
        from_ms: milliseconds(read_flag(arguments, "--from")?).unwrap_or(default.from_ms),
        to_ms: milliseconds(read_flag(arguments, "--to")?).unwrap_or(default.to_ms),
    })
}

fn build_report(files: &[String], options: TimelineOptions) -> eyre::Result<TimelineReport> {
    let mut timeline = Timeline::new(options);
    if files.is_empty() {
        read_lines(std::io::stdin().lock(), &mut timeline).wrap_err("read standard input")?;
    }
    for file in files {
        let opened = File::open(file).wrap_err_with(|| format!("open {file}"))?;
        let lines = BufReader::new(opened);
        read_lines(lines, &mut timeline).wrap_err_with(|| format!("read {file}"))?;
    }
    Ok(timeline.report())
}

/// Reads all lines. Bytes that are not UTF-8 are replaced, so that such a line still counts.
fn read_lines(mut input: impl BufRead, timeline: &mut Timeline) -> std::io::Result<()> {
    let mut line = Vec::new();
    while input.read_until(b'\n', &mut line)? > 0 {
        timeline.read_line(&String::from_utf8_lossy(&line));
        line.clear();
    }
    Ok(())
}

fn format_report(report: &TimelineReport) -> String {
    let intervals = report.intervals.iter().map(format_interval);
    let waves = report.waves.iter().map(format_wave);
    let idle = report.idle.iter().map(format_idle);
    let steps = report.steps.iter().map(|step| {
        let (name, count) = (step.step, step.count);
        format!("step: {name}: {count}, p50 {} ms, p99 {} ms\n", step.p50_ms, step.p99_ms)
    });
    let zones = report.zones.iter().map(format_zone);
    let clients = report.callers.iter().map(format_clients);
    let (unreadable, left_out) = (report.unreadable, report.left_out);
    let end = format!("{unreadable} lines could not be read, {left_out} were left out\n");
    let loads = zones.chain(clients);
    intervals.chain(waves).chain(idle).chain(steps).chain(loads).chain([end]).collect()
}

fn format_seconds(at_ms: i64) -> String {
    format!("{:.3}", at_ms as f64 / 1_000.0)
}

fn format_interval(interval: &Interval) -> String {
    let counts = interval.counts.iter().map(|(kind, count)| format!(" {kind}={count}"));
    format!("{:>10}{}\n", format_seconds(interval.at_ms), counts.collect::<String>())
}

fn format_wave(wave: &StartWave) -> String {
    let format_span = |span: Option<(i64, i64)>| {
        span.map_or("none".to_owned(), |(first, last)| {
            format!("{} to {}", format_seconds(first), format_seconds(last))
        })
    };
    let format_time = |at: Option<i64>| at.map_or("never".to_owned(), format_seconds);
    format!(
        "start of {} daemons: balancers {}, agents {}; first configuration {}, first answer {}, \
         first reset {}, last refusal {}\n",
        wave.daemons,
        format_span(wave.balancers),
        format_span(wave.agents),
        format_time(wave.first_configuration),
        format_time(wave.first_answer),
        format_time(wave.first_reset),
        format_time(wave.last_refusal),
    )
}

fn format_idle(idle: &IdleDaemon) -> String {
    let (from, to) = (format_seconds(idle.from_ms), format_seconds(idle.to_ms));
    format!("idle: {} served nothing from {from} to {to} while others did\n", idle.node)
}

fn format_zone(load: &ZoneLoad) -> String {
    format!(
        "openings: zone {}, route {}: {}\n",
        load.zone,
        load.route,
        format_counts(&load.openings)
    )
}

fn format_clients(route: &RouteClients) -> String {
    format!(
        "callers: route {}: {}, {} refused at least once, {} never served; most openings {}; \
         most refused {}\n",
        route.route,
        route.callers,
        route.refused,
        route.never_served,
        format_client(&route.heaviest),
        format_client(&route.most_refused),
    )
}

fn format_client(load: &ClientLoad) -> String {
    format!("{} ({})", load.caller, format_counts(&load.openings))
}

fn format_counts(openings: &OpeningCounts) -> String {
    let OpeningCounts { served, waited, refused, refused_after_wait } = openings;
    let refused_at_once = refused - refused_after_wait;
    format!(
        "{served} served, {waited} waited, {refused_at_once} refused at once, \
         {refused_after_wait} after a wait"
    )
}
