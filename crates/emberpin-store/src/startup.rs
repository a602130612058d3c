//! Starts a store: opens the disks and the listener, waits until the writes of a first start are synced, and runs the
//! event loop.

use crate::disk::queue::DiskQueue;
use crate::disk::worker::{DiskEvent, SyncRecording, UsageMeasurement};
use crate::disk::{Disk, DiskError};
use crate::disk_monitor::DiskMonitor;
use crate::error::StoreError;
use crate::host::Host;
use crate::hosted_replica::{HostedReplica, ReplicaKind};
use crate::listener::listen;
use crate::loop_event::EventSources;
use crate::metrics::{StoreMetrics, SyncMetrics};
use crate::peer_links::PeerLinks;
use crate::signals::Signals;
use crate::system_record::SystemRecord;
use emberpin_consensus::{Action, PersistedState, Replica, ReplicaOptions, Rounds, Timestamp};
use emberpin_runtime::identity::ProcessIdentity;
use emberpin_runtime::metrics::{self as metrics_server, MetricSet, MetricsEndpoint};
use emberpin_runtime::settings::Settings;
use std::net::{IpAddr, Ipv4Addr, SocketAddrV4};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::time::timeout;

/// Name of the subfolder of the data folder that contains the registers' disk.
const REGISTERS_FOLDER: &str = "registers";
/// Capacity of the event loop's input queue. While it is full, connections wait before they read on.
const INPUT_QUEUE_LENGTH: usize = 256;
/// Maximum wait for each of the first syncs before the store accepts connections.
const FIRST_SYNC_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum wait for the last sync at shutdown. No message depends on that sync: each message was sent only after the
/// writes that it depends on were synced.
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
    let disk = Disk::open(&data_dir, settings.ip)?;
    let register_dir = data_dir.join(REGISTERS_FOLDER);
    let register_disk = settings
        .has_coordination
        .then(|| Disk::open(&register_dir, settings.ip))
        .transpose()?;
    let listener = bind(SocketAddrV4::new(settings.ip, settings.store_port())).await?;
    let seed = draw_seed()?;
    let identity = Arc::new(ProcessIdentity::new(seed).with_versions(settings.protocol_versions));
    let metrics = MetricSet::new("emberpin_store");
    let (inputs, queued_inputs) = mpsc::channel(INPUT_QUEUE_LENGTH);
    let replica_starter = ReplicaStarter {
        settings,
        seed,
        metrics: &metrics,
    };
    let system = SystemRecord::load(data_dir.clone(), identity.clone());
    let configuration = replica_starter.start(ReplicaKind::Configuration, data_dir, disk)?;
    let registers = register_disk
        .map(|disk| replica_starter.start(ReplicaKind::Registers, register_dir, disk))
        .transpose()?;
    let mut sources = EventSources {
        signals,
        disk_events: configuration.disk_events,
        register_disk_events: None,
        inputs: queued_inputs,
    };
    let seeds = seed_addresses(settings);
    let mut host = Host::new(
        settings,
        configuration.replica,
        PeerLinks::new(settings.store_port(), identity.clone(), seeds),
        identity.clone(),
        system,
        StoreMetrics::new(&metrics),
    );
    host.apply_actions(configuration.actions);
    if let Some(registers) = registers {
        host.registers = Some(registers.replica);
        host.apply_register_actions(registers.actions);
        sources.register_disk_events = Some(registers.disk_events);
    }
    wait_for_first_syncs(&mut host, &mut sources).await?;
    if let Some(endpoint) = metrics_endpoint {
        tokio::spawn(metrics_server::serve(settings.ip, endpoint, metrics));
    }
    tokio::spawn(listen(listener, identity, inputs));
    host.run_event_loop(&mut sources).await?;
    close_disks(&host, &mut sources).await;
    Ok(())
}

/// A started replica, the actions that it returned at its start, and the events of its disk.
struct StartedReplica {
    replica: HostedReplica,
    actions: Vec<Action>,
    disk_events: mpsc::Receiver<DiskEvent>,
}

/// Starts the replicas of a store with the parameters that they have in common.
struct ReplicaStarter<'a> {
    settings: &'a Settings,
    /// Random seed, drawn at each start of the process.
    seed: u64,
    metrics: &'a MetricSet,
}

impl ReplicaStarter<'_> {
    /// Starts a replica on a disk that was opened in `folder`, from the state that was read there.
    fn start(
        &self,
        kind: ReplicaKind,
        folder: PathBuf,
        (disk, state): (Disk, Option<PersistedState>),
    ) -> Result<StartedReplica, StoreError> {
        let settings = self.settings;
        let mut actions = Vec::new();
        let options = replica_options(settings, self.seed, kind);
        let replica = Replica::new(Timestamp::ZERO, options, state, &mut actions);
        // The configuration's folder contains the registers' folder, so its measurement covers both.
        let measurement = match (settings.disk_mib, kind) {
            (0, _) | (_, ReplicaKind::Registers) => UsageMeasurement::Off,
            (_, ReplicaKind::Configuration) => UsageMeasurement::Periodic,
        };
        let sync_recording = match kind {
            ReplicaKind::Configuration => SyncRecording::Immediate,
            ReplicaKind::Registers => SyncRecording::Periodic,
        };
        let (queue, disk_events) =
            DiskQueue::start(disk, folder, settings.ip, measurement, sync_recording)
                .map_err(StoreError::StartDiskWorker)?;
        let replica = HostedReplica::new(
            kind,
            settings.ip,
            replica,
            DiskMonitor::new(queue, settings.disk_mib << 20),
            SyncMetrics::new(self.metrics, kind),
        );
        Ok(StartedReplica {
            replica,
            actions,
            disk_events,
        })
    }
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

/// Returns the IPv4 addresses of the seeds in the settings.
fn seed_addresses(settings: &Settings) -> Vec<Ipv4Addr> {
    let seeds = settings.seeds.iter().filter_map(|seed| match seed.ip() {
        IpAddr::V4(ip) => Some(ip),
        IpAddr::V6(_) => None,
    });
    seeds.collect()
}

fn replica_options(settings: &Settings, seed: u64, kind: ReplicaKind) -> ReplicaOptions {
    ReplicaOptions {
        address: settings.ip,
        seeds: seed_addresses(settings),
        bootstrap: settings.bootstrap,
        tolerated_failures: settings.tolerated_node_losses,
        rounds: match kind {
            ReplicaKind::Configuration => Rounds::Leaderless,
            ReplicaKind::Registers => Rounds::Led,
        },
        random_seed: seed,
    }
}

/// Waits until the writes of a first start are synced, so that no other process communicates with this store before
/// that. Stops waiting for a disk that reports no event within [`FIRST_SYNC_TIMEOUT`].
async fn wait_for_first_syncs(
    host: &mut Host<'_>,
    sources: &mut EventSources,
) -> Result<(), DiskError> {
    while !host.configuration.disk.queue.is_idle() {
        match timeout(FIRST_SYNC_TIMEOUT, sources.disk_events.recv()).await {
            Ok(Some(event)) => host.handle_disk_event(event)?,
            _ => break,
        }
    }
    let Some(events) = &mut sources.register_disk_events else {
        return Ok(());
    };
    while host.has_queued_register_writes() {
        match timeout(FIRST_SYNC_TIMEOUT, events.recv()).await {
            Ok(Some(event)) => host.handle_register_disk_event(event)?,
            _ => break,
        }
    }
    Ok(())
}

/// Closes all disks, and waits for their last syncs.
async fn close_disks(host: &Host<'_>, sources: &mut EventSources) {
    close_disk(&host.configuration.disk.queue, &mut sources.disk_events).await;
    if let (Some(registers), Some(events)) = (&host.registers, &mut sources.register_disk_events) {
        close_disk(&registers.disk.queue, events).await;
    }
}

/// Closes a disk, and waits for its last sync, up to [`CLOSE_TIMEOUT`].
async fn close_disk(disk: &DiskQueue, disk_events: &mut mpsc::Receiver<DiskEvent>) {
    if disk.close().is_err() {
        return;
    }
    let closed =
        async { while !matches!(disk_events.recv().await, Some(DiskEvent::Closed) | None) {} };
    if timeout(CLOSE_TIMEOUT, closed).await.is_err() {
        log::warn!("store ended before its last sync: timeout={CLOSE_TIMEOUT:?}");
    }
}
