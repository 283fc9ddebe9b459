//! Timeline of an overload: served, waiting and refused openings by zone, route and client.

use weirhinge_observe::{OpeningCounts, Timeline, TimelineOptions, TimelineReport};

fn line(node: &str, second: usize, event: &str, fields: &str) -> String {
    format!(
        "{{\"ts\":\"2026-01-01T00:00:{second:02}.000Z\",\"node\":\"{node}\",\
         \"event\":\"{event}\",\"msg\":\"m\"{fields}}}\n"
    )
}

fn served(node: &str, second: usize, flow: &str) -> String {
    line(node, second, "answered", &format!(",\"flow\":\"{flow}\",\"confirmed\":false"))
}

fn waited(node: &str, second: usize, flow: &str) -> String {
    line(node, second, "opening_waits", &format!(",\"flow\":\"{flow}\",\"waiting\":3"))
}

fn refused(node: &str, second: usize, flow: &str) -> String {
    line(node, second, "reset", &format!(",\"flow\":\"{flow}\",\"outcome\":\"overloaded\""))
}

fn report(log: &str, options: TimelineOptions) -> TimelineReport {
    let mut timeline = Timeline::new(options);
    log.lines().for_each(|line| timeline.read_line(line));
    timeline.report()
}

fn counts(served: u64, waited: u64, refused: u64) -> OpeningCounts {
    OpeningCounts { served, waited, refused, refused_after_wait: 0 }
}

/// Balancers in two zones and an agent in the first; a route with two clients, one of which is
/// refused at first, and another route with a client that is only refused.
fn log() -> String {
    let mut log = line("b-1", 0, "start", ",\"zone\":\"east\"");
    log += &line("b-2", 0, "start", ",\"zone\":\"west\"");
    log += &line("a-1", 0, "start", ",\"zone\":\"east\",\"service\":\"sheets\"");
    log += &served("a-1", 1, "10.0.0.1:1>198.18.0.1:443");
    log += &waited("b-1", 1, "10.0.0.1:2>198.18.0.1:443");
    let queued = ",\"flow\":\"10.0.0.1:3>198.18.0.1:443\",\"ahead\":2,\"budget_ms\":180";
    log += &line("b-1", 1, "queued", queued);
    log += &served("a-1", 2, "10.0.0.1:2>198.18.0.1:443");
    log += &refused("b-2", 2, "10.0.0.2:1>198.18.0.1:443");
    log += &served("a-1", 5, "10.0.0.2:2>198.18.0.1:443");
    log += &refused("b-2", 5, "10.0.0.3:1>198.18.0.1:8443");
    let refused_fields = ",\"flow\":\"10.0.0.3:2>198.18.0.1:8443\",\"outcome\":\"refused\"";
    log += &line("b-9", 5, "reset", refused_fields);
    // None of these lines reports an opening that was served or refused for lack of capacity.
    log +=
        &line("a-1", 5, "answered", ",\"flow\":\"10.0.0.2:2>198.18.0.1:443\",\"confirmed\":true");
    log += &line(
        "b-1",
        5,
        "reset",
        ",\"flow\":\"10.0.0.2:2>198.18.0.1:443\",\"outcome\":\"no_route\"",
    );
    log + &line("b-1", 5, "reset", ",\"flow\":\"not a flow\",\"outcome\":\"refused\"")
}

#[test]
fn openings_are_counted_by_zone_and_route() {
    let report = report(&log(), TimelineOptions::default());
    let reported: Vec<_> = report
        .zones
        .iter()
        .map(|load| (load.zone.as_str(), load.route.as_str(), load.openings))
        .collect();
    let expected = [
        ("east", "198.18.0.1:443", counts(3, 2, 0)),
        ("unknown", "198.18.0.1:8443", counts(0, 0, 1)),
        ("west", "198.18.0.1:443", counts(0, 0, 1)),
        ("west", "198.18.0.1:8443", counts(0, 0, 1)),
    ];
    assert_eq!(reported, expected);
}

#[test]
fn clients_are_summarized_by_route() {
    let report = report(&log(), TimelineOptions::default());
    let [first, second] = &report.callers[..] else { panic!("{:?}", report.callers) };
    assert_eq!((first.callers, first.refused, first.never_served), (2, 1, 0));
    assert_eq!(first.most_refused.caller, "10.0.0.2");
    assert_eq!(first.most_refused.openings, counts(1, 0, 1));
    assert_eq!((second.callers, second.refused, second.never_served), (1, 1, 1));
    assert_eq!(second.heaviest.caller, "10.0.0.3");
    assert_eq!(second.heaviest.openings, counts(0, 0, 2));
}

#[test]
fn client_with_most_openings_is_reported() {
    let mut log = String::new();
    for number in 0..40 {
        log += &served("a-1", 1, &format!("10.0.0.{number}:1>198.18.0.1:443"));
    }
    for port in 0..50 {
        let flow = format!("10.0.9.9:{port}>198.18.0.1:443");
        log += &if port < 5 { served("a-1", 1, &flow) } else { refused("b-1", 1, &flow) };
    }
    let report = report(&log, TimelineOptions::default());
    let route = &report.callers[0];
    assert_eq!((route.callers, route.refused, route.never_served), (41, 1, 0));
    assert_eq!(route.heaviest.caller, "10.0.9.9");
    assert_eq!(route.heaviest.openings, counts(5, 0, 45));
}

#[test]
fn zone_is_known_if_daemon_started_before_the_covered_time() {
    let options = TimelineOptions { from_ms: 3_000, ..TimelineOptions::default() };
    let report = report(&log(), options);
    let zones: Vec<_> = report.zones.iter().map(|load| load.zone.as_str()).collect();
    assert_eq!(zones, ["east", "unknown", "west"]);
}

#[test]
fn clients_beyond_the_limit_are_left_out() {
    let mut timeline = Timeline::new(TimelineOptions::default());
    for number in 0..100_010_u32 {
        let caller = std::net::Ipv4Addr::from_bits(number);
        timeline.read_line(&refused("b-1", 1, &format!("{caller}:1>198.18.0.1:443")));
    }
    let report = timeline.report();
    assert_eq!(report.callers[0].callers, 100_000);
    assert_eq!(report.zones[0].openings.refused, 100_010);
    assert_eq!(report.left_out, 10);
}

#[test]
fn refusals_after_a_wait_are_counted_separately() {
    let queued = |flow: &str| line("b-1", 1, "queued", &format!(",\"flow\":\"{flow}\""));
    let [first, second, third] = [1, 2, 3].map(|port| format!("10.0.0.1:{port}>198.18.0.1:443"));
    let log = queued(&first)
        + &queued(&second)
        + &served("a-1", 1, &first)
        + &refused("b-1", 2, &second)
        + &refused("b-1", 2, &third);
    let openings = report(&log, TimelineOptions::default()).callers[0].heaviest.openings;
    assert_eq!(openings, OpeningCounts { refused_after_wait: 1, ..counts(1, 2, 2) });
}
