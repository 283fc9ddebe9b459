//! Starts a balancer, keeps its configuration up to date, and shuts it down.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use arc_swap::ArcSwap;
use eyre::{WrapErr, eyre};
use slog::{Logger, info};
use tokio::sync::{oneshot, watch};
use weirhinge_config::{BalancerSettings, ConfigDocument, Keys};
use weirhinge_control::{ControlOptions, start_control};
use weirhinge_document_source::{ConfigFollower, ConfigFreshness, FollowerLog, PolledSources};
use weirhinge_observe::{BoundAddresses, Health, HealthSource, Metrics, start_admin};
use weirhinge_routing::RoutingTable;

use crate::api::start_api;
use crate::data_path::{DataPath, RECEIVE_TIMEOUT};
use crate::metrics::BalancerMetrics;

/// Size of the receive buffer requested from the kernel, in bytes. Holds the packets that arrive
/// while the data path is briefly paused.
const RECEIVE_BUFFER_BYTES: usize = 8 << 20;

struct BalancerHealth {
    settings: BalancerSettings,
    table: Arc<ArcSwap<RoutingTable>>,
    freshness: Arc<ConfigFreshness>,
    stopping: Arc<AtomicBool>,
}

impl HealthSource for BalancerHealth {
    fn health(&self) -> Health {
        Health {
            name: self.settings.common.name.clone(),
            zone: self.settings.common.zone.clone(),
            revision: self.table.load().revision(),
            configuration_age_seconds: self.freshness.age_seconds(),
            stopping: self.stopping.load(Ordering::Relaxed),
            flows: 0,
        }
    }
}

/// Runs a balancer until `stop` requests a graceful shutdown and the fabric has stopped sending.
/// Calls `ready` with the bound addresses.
///
/// # Errors
/// When the keys cannot be read, an address cannot be bound or the data path fails; the error names
/// the step and, if any, the address.
pub async fn run(
    settings: BalancerSettings,
    log: Logger,
    ready: impl FnOnce(BoundAddresses),
    stop: impl Future<Output = ()>,
) -> eyre::Result<()> {
    let Keys { flow_hash: key, control: control_keys } =
        Keys::from_file(&settings.common.keys_file)?;
    let mut registry = Metrics::new();
    let metrics = BalancerMetrics::declare(&mut registry);
    let empty = RoutingTable::build(&ConfigDocument::default(), &key);
    let table = Arc::new(ArcSwap::from_pointee(empty));
    let stopping = Arc::new(AtomicBool::new(false));
    let freshness = Arc::new(ConfigFreshness::default());
    let socket = bind_data_socket(settings.common.listen)?;
    let data = socket.local_addr().wrap_err("read the data socket's address")?;
    let health = Arc::new(BalancerHealth {
        settings: settings.clone(),
        table: table.clone(),
        freshness: freshness.clone(),
        stopping: stopping.clone(),
    });
    let admin = start_admin(settings.common.admin, health, registry.freeze(), &log)?;
    let data_path = DataPath {
        socket,
        table: table.clone(),
        metrics: metrics.clone(),
        stopping: stopping.clone(),
        batch: settings.batch,
    };
    let data_path_ended = start_data_path(data_path)?;
    let (platform_document, platform_documents) =
        watch::channel(Arc::new(ConfigDocument::default()));
    let control_options = ControlOptions {
        listen: settings.control,
        zone: settings.common.zone.clone(),
        platform: settings.common.platform,
        keys: control_keys,
        peers: settings.peers.clone(),
        may_found_group: settings.found_group,
    };
    let control = start_control(control_options, platform_documents.clone(), log.clone()).await?;
    let api = start_api(settings.api, control.clone(), &log)?;
    info!(log, "balancer: Started."; "data" => %data, "admin" => %admin.address(),
        "control" => %control.address, "api" => %api.address());
    ready(BoundAddresses {
        data,
        admin: admin.address(),
        control: Some(control.address),
        api: Some(api.address()),
    });

    let follower = ConfigFollower {
        platform: settings.common.platform,
        sources: PolledSources::Platform,
        freshness,
        errors: metrics.platform_errors.clone(),
        log: FollowerLog { log: log.clone(), prefix: "balancer" },
    };
    let follow = follower.run(move |document| {
        platform_document.send_replace(document);
    });
    let revision = metrics.revision.clone();
    let apply_newest = apply_newest(platform_documents, control.document(), move |document| {
        let next = table.load().rebuild(document);
        table.store(Arc::new(next));
        revision.set(i64::try_from(document.revision).unwrap_or(i64::MAX));
    });
    let shutdown_wait = async {
        stop.await;
        info!(log, "balancer: Graceful shutdown began; forwarding until the fabric stops sending.");
        stopping.store(true, Ordering::Relaxed);
        std::future::pending::<()>().await;
    };
    tokio::select! {
        () = follow => Err(eyre!("follow configuration: ended unexpectedly")),
        () = apply_newest => Err(eyre!("apply configuration: ended unexpectedly")),
        () = shutdown_wait => Err(eyre!("wait for shutdown: ended unexpectedly")),
        result = data_path_ended => {
            result.wrap_err("data path: thread ended without a result")??;
            info!(log, "balancer: Stopped.");
            Ok(())
        }
    }
}

/// Applies each new document: the one that the balancers have agreed on if there is one, else the
/// platform's. Never applies a document with a lower revision than the last one applied.
async fn apply_newest(
    mut platform_document: watch::Receiver<Arc<ConfigDocument>>,
    mut agreed: watch::Receiver<Arc<ConfigDocument>>,
    mut apply: impl FnMut(&ConfigDocument),
) {
    let mut applied_revision = 0;
    loop {
        let newest = {
            let agreed = agreed.borrow_and_update().clone();
            let platform_document = platform_document.borrow_and_update().clone();
            if agreed.revision > 0 { agreed } else { platform_document }
        };
        if newest.revision > applied_revision {
            applied_revision = newest.revision;
            apply(&newest);
        }
        // Both senders exist until the daemon exits.
        let changed = tokio::select! {
            changed = platform_document.changed() => changed,
            changed = agreed.changed() => changed,
        };
        if changed.is_err() {
            return;
        }
    }
}

fn bind_data_socket(address: SocketAddr) -> eyre::Result<std::net::UdpSocket> {
    let socket = std::net::UdpSocket::bind(address)
        .wrap_err_with(|| format!("bind data socket at {address}"))?;
    socket
        .set_read_timeout(Some(RECEIVE_TIMEOUT))
        .wrap_err("set the data socket's read timeout")?;
    // The kernel may grant a smaller buffer; that is not an error.
    let _ = socket2::SockRef::from(&socket).set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
    Ok(socket)
}

fn start_data_path(data_path: DataPath) -> eyre::Result<oneshot::Receiver<eyre::Result<()>>> {
    let (sender, receiver) = oneshot::channel();
    std::thread::Builder::new()
        .name("data-path".to_owned())
        .spawn(move || {
            let result = data_path.run().wrap_err("receive packets from the fabric");
            // The receiver is gone only while the process exits.
            let _ = sender.send(result);
        })
        .wrap_err("start the data path's thread")?;
    Ok(receiver)
}
