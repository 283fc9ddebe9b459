//! Real balancers replicate the configuration by consensus: writes through any of
//! them take effect everywhere and are never reverted, while leaders are killed,
//! every machine is replaced, and the platform is stale or down.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use http::{Method, Request, StatusCode};
use serde_json::Value;
use weirhinge_document_source::{Fetched, HttpResponse, fetch, send};
use weirhinge_rehearsal::fleet::{Fleet, FleetOptions};
use weirhinge_rehearsal::history::History;
use weirhinge_rehearsal::scenario::Scenario;
use weirhinge_rehearsal::standin::platform::PlatformMode;

const FLEET: &str = r#"
description = "agreement"
seconds = 1
zones = ["one", "two", "three"]
balancers = 5
agreement = true
[network]
client_delay_ms = 0.5
zone_delay_ms = 0.5
fabric_lag_ms = 100
[[services]]
name = "approvals"
address = "203.0.113.10"
port = 8443
targets = 3
slots = 4
connections = 100
service_ms = 50.0
load = 0.0
"#;

/// Time within which an awaited state must be reached. Generous, so that slow
/// machines pass too; the tests check results, not durations.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(60);
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

struct Group {
    fleet: Fleet,
    alive: Vec<usize>,
}

impl Group {
    async fn start() -> Self {
        let scenario = Scenario::from_toml("test", FLEET).expect("valid scenario");
        let options = FleetOptions {
            seed: 3,
            candidates: 3,
            logs: None,
            stop_deadline_seconds: None,
            plant: None,
        };
        let history = History::new().expect("history");
        let fleet = Fleet::start(&scenario, &options, &history).await.expect("fleet");
        let group = Self { fleet, alive: (0..5).collect() };
        group.wait_for_voters(5).await;
        group
    }

    fn api(&self, balancer: usize) -> SocketAddr {
        self.fleet.balancers[balancer].process.addresses.api.expect("API address")
    }

    async fn status(&self, balancer: usize) -> Option<Value> {
        let answer = fetch(self.api(balancer), "/v1/status", None, REQUEST_TIMEOUT).await;
        match answer {
            Ok(Fetched::Body { bytes, .. }) => serde_json::from_slice(&bytes).ok(),
            _ => None,
        }
    }

    async fn leader(&self) -> Option<usize> {
        for &balancer in &self.alive {
            if let Some(status) = self.status(balancer).await
                && status["leads"] == true
            {
                return Some(balancer);
            }
        }
        None
    }

    /// Waits until a leader reports `count` voters, all of which are alive.
    async fn wait_for_voters(&self, count: usize) {
        let deadline = Instant::now() + CONVERGENCE_TIMEOUT;
        while Instant::now() < deadline {
            if let Some(leader) = self.leader().await
                && let Some(status) = self.status(leader).await
            {
                let voters = status["voters"].as_array().expect("voters").clone();
                let mut alive_replicas = Vec::new();
                for &balancer in &self.alive {
                    if let Some(status) = self.status(balancer).await {
                        alive_replicas.push(status["replica"].clone());
                    }
                }
                if voters.len() == count
                    && voters.iter().all(|voter| alive_replicas.contains(voter))
                {
                    return;
                }
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        panic!("no leader with {count} live voters");
    }

    async fn write(
        &self,
        balancer: usize,
        weight: u32,
        key: &str,
        expected: Option<u64>,
    ) -> Option<HttpResponse> {
        let mut target = self.fleet.desired().targets[0].clone();
        target.weight = weight;
        let body = serde_json::to_vec(&target).expect("JSON");
        let mut request = Request::builder()
            .method(Method::PUT)
            .uri("/v1/targets/0")
            .header("idempotency-key", key);
        if let Some(expected) = expected {
            request = request.header("if-match", format!("\"{expected}\""));
        }
        send(self.api(balancer), request, body.into(), REQUEST_TIMEOUT).await.ok()
    }

    /// Repeats a write with the same key until it is accepted, as an operator does
    /// after a timeout; returns its revision.
    async fn write_until_accepted(&self, weight: u32, key: &str) -> u64 {
        let deadline = Instant::now() + CONVERGENCE_TIMEOUT;
        let mut turn = 0;
        while Instant::now() < deadline {
            let balancer = self.alive[turn % self.alive.len()];
            turn += 1;
            if let Some(answer) = self.write(balancer, weight, key, None).await
                && answer.status == StatusCode::OK
            {
                return revision_of(&answer);
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        panic!("write {key} was not accepted in time");
    }

    /// Waits until every live balancer and every agent has the revision. Panics if a
    /// revision ever decreases.
    async fn wait_until_in_effect(&self, revision: u64) {
        let balancers = self.alive.iter().map(|&balancer| &self.fleet.balancers[balancer].process);
        let admins: Vec<SocketAddr> =
            balancers.chain(&self.fleet.agents).map(|process| process.addresses.admin).collect();
        let deadline = Instant::now() + CONVERGENCE_TIMEOUT;
        for admin in admins {
            let mut highest = 0;
            loop {
                let current = health_revision(admin).await;
                assert!(
                    current >= highest,
                    "revision of {admin} decreased from {highest} to {current}"
                );
                highest = current;
                if current >= revision {
                    break;
                }
                assert!(
                    Instant::now() < deadline,
                    "{admin} has revision {current}, expected {revision}"
                );
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }

    async fn kill(&mut self, balancer: usize) {
        self.fleet.balancers[balancer].process.kill().await;
        self.fleet.remove_from_list(balancer);
        self.alive.retain(|&alive| alive != balancer);
    }

    async fn add(&mut self) {
        let number = self.fleet.start_balancer().await.expect("balancer");
        self.fleet.publish_machines();
        self.alive.push(number);
    }
}

async fn health_revision(admin: SocketAddr) -> u64 {
    match fetch(admin, "/health", None, REQUEST_TIMEOUT).await {
        Ok(Fetched::Body { bytes, .. }) => {
            let health: Value = serde_json::from_slice(&bytes).expect("JSON");
            health["revision"].as_u64().expect("revision")
        }
        other => panic!("health of {admin}: {other:?}"),
    }
}

fn revision_of(answer: &HttpResponse) -> u64 {
    let body: Value = serde_json::from_slice(&answer.body).expect("JSON");
    body["revision"].as_u64().expect("revision")
}

#[tokio::test(flavor = "multi_thread")]
async fn accepted_writes_take_effect_and_survive_leader_kill() {
    let mut group = Group::start().await;
    let first = group.write_until_accepted(50, "first").await;
    group.wait_until_in_effect(first).await;

    let leader = group.leader().await.expect("leader");
    group.kill(leader).await;
    let second = group.write_until_accepted(60, "second").await;
    assert!(second > first);
    group.wait_until_in_effect(second).await;

    // The platform's document is older than the replicated one, then unavailable.
    group.fleet.platform.set_mode(PlatformMode::Stale);
    let third = group.write_until_accepted(70, "third").await;
    group.wait_until_in_effect(third).await;
    group.fleet.platform.set_mode(PlatformMode::Down);
    let fourth = group.write_until_accepted(80, "fourth").await;
    group.wait_until_in_effect(fourth).await;
    group.wait_until_in_effect(fourth).await;
}

/// Runs a subcommand of `weirhinge` against balancer 1's API; returns whether it
/// succeeded, and its output.
async fn run_command(group: &Group, arguments: &[&str]) -> (bool, String) {
    let current = std::env::current_exe().expect("path of the test executable");
    let program = current.parent().expect("folder").join("../weirhinge");
    let api = group.api(1).to_string();
    let output = tokio::process::Command::new(program)
        .args(arguments)
        .args(["--api", &api])
        .output()
        .await
        .expect("run command");
    let text = [output.stdout, output.stderr].concat();
    (output.status.success(), String::from_utf8_lossy(&text).into_owned())
}

#[tokio::test(flavor = "multi_thread")]
async fn commands_drain_read_and_apply_configuration() {
    let group = Group::start().await;
    let base = group.write_until_accepted(50, "base").await;
    group.wait_until_in_effect(base).await;
    let (drained, text) = run_command(&group, &["drain", "approvals-1", "--key", "d"]).await;
    assert!(drained, "{text}");
    group.wait_until_in_effect(base + 1).await;
    let (read, text) = run_command(&group, &["get"]).await;
    assert!(read && text.contains("\"draining\""), "{text}");
    let (unknown, text) = run_command(&group, &["drain", "nobody"]).await;
    assert!(!unknown && text.contains("not in the configuration"), "{text}");
    let file = std::env::temp_dir().join(format!("weirhinge-apply-{}.json", std::process::id()));
    std::fs::write(&file, serde_json::to_vec(&group.fleet.desired()).expect("JSON")).expect("file");
    let file = file.display().to_string();
    let (stale, text) = run_command(&group, &["apply", &file, "--revision", "1"]).await;
    assert!(!stale && text.contains("not applied"), "{text}");
    let (applied, text) = run_command(&group, &["apply", &file]).await;
    assert!(applied, "{text}");
    group.wait_until_in_effect(base + 2).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn conflicting_repeated_and_invalid_writes_are_handled() {
    let group = Group::start().await;
    let base = group.write_until_accepted(50, "base").await;
    let (one, other) = tokio::join!(
        group.write(0, 51, "one", Some(base)),
        group.write(3, 52, "other", Some(base))
    );
    let mut statuses = [one.expect("answer").status, other.expect("answer").status];
    statuses.sort_unstable();
    assert_eq!(statuses, [StatusCode::OK, StatusCode::PRECONDITION_FAILED]);

    let again = group.write_until_accepted(50, "base").await;
    assert_eq!(again, base, "a repeated write returns its first outcome");

    let invalid = group.write(2, 0, "invalid", None).await.expect("answer");
    assert_eq!(invalid.status, StatusCode::BAD_REQUEST);
    let text = String::from_utf8_lossy(&invalid.body).into_owned();
    assert!(text.contains("not applied") && text.contains("weight"), "{text}");
}

#[tokio::test(flavor = "multi_thread")]
async fn replacing_every_balancer_keeps_all_writes() {
    let mut group = Group::start().await;
    let mut latest = group.write_until_accepted(50, "start").await;
    for round in 0..5 {
        group.add().await;
        group.kill(round).await;
        let key = format!("round-{round}");
        let revision = group.write_until_accepted(60 + round as u32, &key).await;
        assert!(revision > latest, "revision {revision} after {latest}");
        latest = revision;
        group.wait_for_voters(5).await;
    }
    assert!(
        group.alive.iter().all(|&balancer| balancer >= 5),
        "none of the initial balancers is left"
    );
    group.wait_until_in_effect(latest).await;
    let repeated = group.write_until_accepted(50, "start").await;
    assert!(repeated < latest, "the first write's outcome is still known: revision {repeated}");
}
