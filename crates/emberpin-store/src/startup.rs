//! Starts a store: opens the disk and the listener, syncs what a first start writes, and runs the event loop.

use crate::disk::queue::DiskQueue;
use crate::disk::worker::{DiskEvent, UsageMeasurement};
use crate::disk::{Disk, DiskError};
use crate::disk_monitor::DiskMonitor;
use crate::error::StoreError;
use crate::host::Host;
use crate::listener::listen;
use crate::loop_event::EventSources;
use crate::metrics::StoreMetrics;
use crate::peer_links::PeerLinks;
use crate::signals::Signals;
use crate::system_record::SystemRecord;
use emberpin_consensus::{Replica, ReplicaOptions, Timestamp};
use emberpin_runtime::identity::ProcessIdentity;
use emberpin_runtime::metrics::{self as metrics_server, MetricSet, MetricsEndpoint};
use emberpin_runtime::settings::Settings;
use std::net::{IpAddr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

/// Inputs that may wait for the event loop. Connections wait for room.
const INPUT_QUEUE_LENGTH: usize = 256;
/// Longest wait for the first sync before the store listens.
const FIRST_SYNC_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest wait for the last sync at the end. No message depends on it: each was sent after its own sync.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);

/// Runs a store until SIGTERM or SIGINT, and serves metrics if there is an endpoint for them.
///
/// # Errors
///
/// [`StoreError`]: the store could not start, or its disk was found damaged.
pub async fn run(
    settings: &Settings,
    metrics_endpoint: Option<MetricsEndpoint>,
) -> Result<(), StoreError> {
    let signals = Signals::install().map_err(StoreError::Signals)?;
    let data_dir = settings
        .data_dir
        .clone()
        .ok_or(StoreError::MissingDataDir)?;
    let (disk, state) = Disk::open(&data_dir, settings.ip)?;
    let listener = bind(SocketAddrV4::new(settings.ip, settings.store_port())).await?;
    let seed = draw_seed()?;
    let identity = Arc::new(ProcessIdentity::new(seed).with_versions(settings.protocol_versions));
    let options = replica_options(settings, seed);
    let seeds = options.seeds.clone();
    let mut actions = Vec::new();
    let replica = Replica::new(Timestamp::ZERO, options, state, &mut actions);
    let system = SystemRecord::load(data_dir.clone(), identity.clone());
    let measurement = match settings.disk_mib {
        0 => UsageMeasurement::Off,
        _ => UsageMeasurement::Periodic,
    };
    let (disk, mut disk_events) = DiskQueue::start(disk, data_dir, settings.ip, measurement)
        .map_err(StoreError::StartDiskWorker)?;
    let metrics = MetricSet::new("emberpin_store");
    let mut host = Host::new(
        settings,
        replica,
        DiskMonitor::new(disk, settings.disk_mib << 20),
        PeerLinks::new(settings.store_port(), identity.clone(), seeds),
        identity.clone(),
        system,
        StoreMetrics::new(&metrics),
    );
    host.apply_actions(actions);
    wait_for_first_sync(&mut host, &mut disk_events).await?;
    if let Some(endpoint) = metrics_endpoint {
        tokio::spawn(metrics_server::serve(settings.ip, endpoint, metrics));
    }
    let (inputs, queued_inputs) = mpsc::channel(INPUT_QUEUE_LENGTH);
    tokio::spawn(listen(listener, identity, inputs));
    let mut sources = EventSources {
        signals,
        disk_events,
        inputs: queued_inputs,
    };
    host.run_event_loop(&mut sources).await?;
    close_disk(&host.disk.queue, &mut sources.disk_events).await;
    Ok(())
}

async fn bind(address: SocketAddrV4) -> Result<TcpListener, StoreError> {
    TcpListener::bind(address)
        .await
        .map_err(|source| StoreError::Listen { address, source })
}

fn draw_seed() -> Result<u64, StoreError> {
    let mut seed = [0; 8];
    getrandom::fill(&mut seed).map_err(StoreError::Random)?;
    Ok(u64::from_be_bytes(seed))
}

fn replica_options(settings: &Settings, seed: u64) -> ReplicaOptions {
    let seeds = settings.seeds.iter().filter_map(|seed| match seed.ip() {
        IpAddr::V4(ip) => Some(ip),
        IpAddr::V6(_) => None,
    });
    ReplicaOptions {
        address: settings.ip,
        seeds: seeds.collect(),
        bootstrap: settings.bootstrap,
        tolerated_failures: settings.tolerated_node_losses,
        random_seed: seed,
    }
}

/// Waits until what a first start writes is synced, so that nobody hears of this store before that. A disk that
/// stalls is not waited for.
async fn wait_for_first_sync(
    host: &mut Host<'_>,
    disk_events: &mut mpsc::Receiver<DiskEvent>,
) -> Result<(), DiskError> {
    while !host.disk.queue.is_idle() {
        match tokio::time::timeout(FIRST_SYNC_TIMEOUT, disk_events.recv()).await {
            Ok(Some(event)) => host.handle_disk_event(event)?,
            _ => break,
        }
    }
    Ok(())
}

/// Waits for the last sync, up to [`CLOSE_TIMEOUT`].
async fn close_disk(disk: &DiskQueue, disk_events: &mut mpsc::Receiver<DiskEvent>) {
    if disk.close().is_err() {
        return;
    }
    let closed =
        async { while !matches!(disk_events.recv().await, Some(DiskEvent::Closed) | None) {} };
    if tokio::time::timeout(CLOSE_TIMEOUT, closed).await.is_err() {
        log::warn!("store ended before its last sync: timeout={CLOSE_TIMEOUT:?}");
    }
}
