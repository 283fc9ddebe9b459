//! Builds the parts of a fleet: keys, command lines, configuration entries and
//! back-end options.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use eyre::WrapErr;
use weirhinge_config::{Service, ServiceId, Target, TargetId, TargetState, TransportProtocol};

use crate::scenario::ServiceScenario;
use crate::standin::back_end::{BackEnd, BackEndOptions};
use crate::standin::link::LinkProxy;

/// Name of the keys file in the fleet's work folder.
pub(crate) const KEYS_FILE: &str = "keys.toml";
/// Fixed keys. They need not be secret, as they protect no real traffic.
const KEYS: &str = r#"flow_hash = "000102030405060708090a0b0c0d0e0f"
control = ["000102030405060708090a0b0c0d0e0f000102030405060708090a0b0c0d0e0f"]
"#;

/// Creates a temporary work folder that contains the keys file.
pub(crate) fn make_work_folder() -> eyre::Result<PathBuf> {
    let unique =
        getrandom::u64().map_err(|error| eyre::eyre!("read the random source: {error}"))?;
    let folder = std::env::temp_dir().join(format!("weirhinge-rehearsal-{unique:016x}"));
    std::fs::create_dir_all(&folder).wrap_err("create the work folder")?;
    std::fs::write(folder.join(KEYS_FILE), KEYS).wrap_err("write the keys file")?;
    Ok(folder)
}

/// Options for starting a fleet.
#[derive(Clone, Debug)]
pub struct FleetOptions {
    /// Random seed of the stand-ins.
    pub seed: u64,
    /// Number of targets that agents compare for a new flow.
    pub candidates: u8,
    /// Folder for the processes' logs; `None` discards them.
    pub logs: Option<PathBuf>,
    /// Maximum time that an agent's graceful shutdown waits for its flows, in
    /// seconds; `None` waits for the last flow, as required unless a defect is
    /// planted.
    pub stop_deadline_seconds: Option<u64>,
    /// Name of a defect to enable in every agent; needs the `planted-defects`
    /// feature in the tested program.
    pub plant: Option<String>,
}

/// Command line arguments that every process of a fleet gets.
pub(crate) struct ProcessArguments<'a> {
    pub(crate) role: &'a str,
    pub(crate) name: &'a str,
    pub(crate) zone: &'a str,
    pub(crate) platform: SocketAddr,
    pub(crate) work_folder: &'a Path,
    /// Whether logs are kept. They are then written at debug level, so that
    /// individual flows can be traced.
    pub(crate) keeps_logs: bool,
}

impl ProcessArguments<'_> {
    pub(crate) fn into_arguments(self) -> Vec<String> {
        let keys = self.work_folder.join(KEYS_FILE);
        let mut arguments = vec![self.role.to_owned()];
        let pairs = [
            ("--name", self.name.to_owned()),
            ("--zone", self.zone.to_owned()),
            ("--platform", self.platform.to_string()),
            ("--keys-file", keys.display().to_string()),
        ];
        let level = self.keeps_logs.then(|| ("--log-level", "debug".to_owned()));
        for (flag, value) in pairs.into_iter().chain(level) {
            arguments.push(flag.to_owned());
            arguments.push(value);
        }
        arguments
    }
}

pub(crate) fn service_entry(id: ServiceId, service: &ServiceScenario) -> Service {
    Service {
        id,
        name: service.name.clone(),
        address: service.address,
        port: service.port,
        protocol: TransportProtocol::Tcp,
        proxy_protocol: true,
    }
}

pub(crate) fn target_entry(
    service_id: ServiceId,
    number: usize,
    service: &ServiceScenario,
    zone: &str,
    proxy: &LinkProxy,
    back_end: &BackEnd,
) -> Target {
    Target {
        id: TargetId(number as u16),
        name: format!("{}-{number}", service.name),
        service: service_id,
        zone: zone.to_owned(),
        agent: proxy.address(),
        back_end: back_end.address(),
        weight: 100,
        state: TargetState::Active,
        slots: service.slots,
        connections: service.connections,
    }
}

pub(crate) fn back_end_options(
    number: usize,
    service: &ServiceScenario,
    seed: u64,
) -> BackEndOptions {
    BackEndOptions {
        target: number,
        service: service.name.clone(),
        slots: service.slots,
        connections: service.connections,
        service_time: Duration::from_secs_f64(service.service_ms / 1_000.0),
        feed_interval: Duration::from_millis(service.feed_interval_ms),
        answer_bytes: service.answer_bytes,
        seed: seed.wrapping_add(number as u64 + 1),
    }
}
