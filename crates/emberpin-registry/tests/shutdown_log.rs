//! The shutdown log on disk: what a registry restores from it, and what it does while the disk takes no writes.
#![allow(missing_docs, reason = "a test has no public interface")]

mod common;
mod samples;

use common::{call, heartbeat, loopback, RegistryProcess};
use emberpin_wal::Files;
use googletest::prelude::*;
use samples::recorded;
use std::net::Ipv4Addr;
use std::path::Path;
use std::time::Duration;
use tempfile::TempDir;
use tokio::time::{sleep, timeout};

/// Longer than a registry takes to restart and to open its log.
const RESTORE_TIMEOUT: Duration = Duration::from_secs(5);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The files of a log of record format 1, on which `drained` drains and `left` has left. It belongs to the machine
/// [`loopback`] (33, 1). Never recorded again: later builds must read it.
const RECORDED_LOG: &str = "shutdown-log-1.txt";
/// How long the process before is assumed to hold the lock of the log.
const LOCK_HELD_FOR: Duration = Duration::from_millis(300);

async fn leave(registry: Ipv4Addr, id: &str) -> u16 {
    let path = format!("/instances/{id}/leave");
    call(registry, "POST", &path, "").await.0
}

/// Waits until the registry lists an instance with this status.
async fn wait_for_status(registry: Ipv4Addr, id: &str, status: &str) {
    let waiting = async {
        while !is_listed(registry, id, status).await {
            sleep(POLL_INTERVAL).await;
        }
    };
    timeout(RESTORE_TIMEOUT, waiting)
        .await
        .expect("the status is listed");
}

async fn is_listed(registry: Ipv4Addr, id: &str, status: &str) -> bool {
    let (_, response) = call(registry, "GET", "/status", "").await;
    let (_, body) = response.split_once("\r\n\r\n").expect("a body");
    let body = jzon::parse(body).expect("JSON");
    let mut instances = body["instances"].members();
    instances.any(|instance| instance["id"] == id && instance["status"] == status)
}

/// Starts a registry on a disk, has one server drain and another leave, and kills the registry.
async fn record_shutdowns(registry: Ipv4Addr, disk: &Path) -> googletest::Result<()> {
    let _process = RegistryProcess::start_with_disk(registry, &[registry], disk);
    for (id, port) in [("drained", 8001), ("left", 8002)] {
        let path = format!("/instances/{id}/heartbeat");
        let up = heartbeat("svc", port, "up", 1);
        verify_that!(call(registry, "POST", &path, &up).await.0, eq(200))?;
    }
    let drain = heartbeat("svc", 8001, "drain", 2);
    let path = "/instances/drained/heartbeat";
    verify_that!(call(registry, "POST", path, &drain).await.0, eq(200))?;
    verify_that!(leave(registry, "left").await, eq(200))
}

#[tokio::test]
async fn acknowledged_shutdowns_are_restored_after_a_kill() -> googletest::Result<()> {
    let (local, disk) = (loopback(30, 1), TempDir::new()?);
    record_shutdowns(local, disk.path()).await?;
    for _restart in 0..3 {
        let _process = RegistryProcess::start_with_disk(local, &[local], disk.path());
        wait_for_status(local, "drained", "drain").await;
        wait_for_status(local, "left", "gone").await;
    }
    Ok(())
}

/// Guards against a registry that begins with an empty log because the process before has not released it yet, and then
/// overwrites what that process has recorded.
#[tokio::test]
async fn shutdowns_are_restored_once_the_log_is_no_longer_locked() -> googletest::Result<()> {
    let (local, disk) = (loopback(31, 1), TempDir::new()?);
    record_shutdowns(local, disk.path()).await?;
    let lock = Files::lock(&disk.path().join("shutdowns"))?;
    let process = RegistryProcess::start_with_disk(local, &[local], disk.path());
    sleep(LOCK_HELD_FOR).await;
    // Nothing is acknowledged meanwhile.
    verify_that!(leave(local, "other").await, eq(503))?;
    drop(lock);
    wait_for_status(local, "left", "gone").await;
    drop(process);
    let _process = RegistryProcess::start_with_disk(local, &[local], disk.path());
    wait_for_status(local, "drained", "drain").await;
    wait_for_status(local, "left", "gone").await;
    Ok(())
}

#[tokio::test]
async fn a_damaged_record_does_not_keep_a_registry_from_recording() -> googletest::Result<()> {
    let (local, disk) = (loopback(32, 1), TempDir::new()?);
    record_shutdowns(local, disk.path()).await?;
    for entry in std::fs::read_dir(disk.path().join("shutdowns"))? {
        let path = entry?.path();
        let mut bytes = std::fs::read(&path)?;
        if let Some(last) = bytes.last_mut() {
            *last ^= 0xff;
        }
        std::fs::write(&path, bytes)?;
    }
    let process = RegistryProcess::start_with_disk(local, &[local], disk.path());
    let acknowledged = async {
        while leave(local, "later").await != 200 {
            sleep(POLL_INTERVAL).await;
        }
    };
    timeout(RESTORE_TIMEOUT, acknowledged).await?;
    drop(process);
    let _process = RegistryProcess::start_with_disk(local, &[local], disk.path());
    wait_for_status(local, "later", "gone").await;
    Ok(())
}

#[tokio::test]
async fn a_recorded_log_is_restored() -> googletest::Result<()> {
    let (local, disk) = (loopback(33, 1), TempDir::new()?);
    let folder = disk.path().join("shutdowns");
    std::fs::create_dir(&folder)?;
    for file in ["0000000001.log", "mark"] {
        let bytes = recorded::frames(RECORDED_LOG, file).concat();
        std::fs::write(folder.join(file), bytes)?;
    }
    let _process = RegistryProcess::start_with_disk(local, &[local], disk.path());
    wait_for_status(local, "drained", "drain").await;
    wait_for_status(local, "left", "gone").await;
    Ok(())
}
