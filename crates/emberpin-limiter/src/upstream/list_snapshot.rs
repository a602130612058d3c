//! A snapshot of the endpoint list on disk, in the format of `emberpin_startup::snapshot`. It is read once at the
//! start, and written by a thread of its own. If the disk fails, returns corrupt data or stalls, the limiter starts and
//! runs without the snapshot.

use crate::operate::config::Config;
use crate::upstream::endpoint_list::{EndpointList, Entry, ListSource, Target};
use emberpin_startup::snapshot::{decode, encode, SnapshotHeader, MAX_BYTES};
use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::{Duration, SystemTime};
use tokio::sync::oneshot;
use tokio::time::timeout;

const FILE: &str = "list";
const TEMPORARY_FILE: &str = "list.new";
/// Minimum time between two writes.
const WRITE_INTERVAL: Duration = Duration::from_secs(1);

/// The snapshot of one instance.
pub struct ListSnapshot {
    folder: PathBuf,
    owner: String,
    /// The encoded list that is to be written next; a newer list replaces it.
    next: Arc<(Mutex<Option<Vec<u8>>>, Condvar)>,
}

impl ListSnapshot {
    /// Starts the thread that writes the instance's snapshot; `None` if the operator has not enabled snapshots.
    ///
    /// # Errors
    ///
    /// A message of one line, if the thread cannot be started.
    pub fn start(config: &Config) -> Result<Option<ListSnapshot>, String> {
        let (Some(start), Some(folder)) = (&config.start, &config.snapshot) else {
            return Ok(None);
        };
        let snapshot = ListSnapshot {
            folder: folder.clone(),
            owner: format!("{}/{}", start.site, config.name),
            next: Arc::default(),
        };
        let (folder, next) = (folder.clone(), snapshot.next.clone());
        let thread = std::thread::Builder::new()
            .name("list".into())
            .spawn(move || run_writer(&folder, &next));
        thread.map_err(|e| format!("[start] snapshot: cannot start its thread: {e}"))?;
        Ok(Some(snapshot))
    }

    /// Reads the list that an earlier incarnation saved. Returns `None` if there is none, if it is older than `max_age`
    /// or otherwise unusable, or if reading takes longer than `time_limit`.
    pub async fn read(&self, time_limit: Duration, max_age: Duration) -> Option<EndpointList> {
        let path = self.folder.join(FILE);
        let shown = path.display().to_string();
        let (reply_to, contents) = oneshot::channel();
        // In its own thread, so that a stalled disk blocks nothing else.
        let reading = move || _ = reply_to.send(read(&path));
        if let Err(problem) = std::thread::Builder::new()
            .name("list-read".into())
            .spawn(reading)
        {
            eprintln!("emberpin: {shown}: cannot start a thread to read it: {problem}; starting without it");
            return None;
        }
        let bytes = match timeout(time_limit, contents).await {
            Ok(Ok(Ok(bytes))) => bytes,
            Ok(Ok(Err(problem))) if problem.kind() == io::ErrorKind::NotFound => return None,
            Ok(Ok(Err(problem))) => {
                eprintln!("emberpin: cannot read {shown}: {problem}; starting without it");
                return None;
            }
            Ok(Err(_)) | Err(_) => {
                eprintln!(
                    "emberpin: {shown}: the disk did not deliver it within {} ms; starting without it",
                    time_limit.as_millis()
                );
                return None;
            }
        };
        match decode(&bytes, &self.owner, SystemTime::now(), max_age) {
            Ok((header, entries)) => match serde_json::from_slice::<Vec<Target>>(entries) {
                Ok(targets) => {
                    eprintln!(
                        "emberpin: {shown}: {} servers at revision {}",
                        targets.len(),
                        header.revision
                    );
                    let targets = targets.into_iter().map(Entry::Target).collect();
                    Some(EndpointList {
                        revision: header.revision,
                        full: true,
                        targets,
                        service_generation: 0,
                        source: ListSource::Service,
                    })
                }
                Err(problem) => {
                    eprintln!("emberpin: {shown}: {problem}; starting without it");
                    None
                }
            },
            Err(unusable) => {
                eprintln!("emberpin: {shown} is not used: {unusable}; remove it, or wait until it is overwritten");
                None
            }
        }
    }

    /// Schedules this list to be written.
    pub fn save(&self, list_revision: u64, targets: &[Target]) {
        let Ok(entries) = serde_json::to_vec(targets) else {
            return;
        };
        let header = SnapshotHeader {
            owner: self.owner.clone(),
            written_at: SystemTime::now(),
            revision: list_revision,
        };
        let (next, wake) = &*self.next;
        *next.lock().unwrap_or_else(PoisonError::into_inner) = Some(encode(&header, &entries));
        wake.notify_one();
    }
}

fn read(path: &Path) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    File::open(path)?
        .take(MAX_BYTES as u64)
        .read_to_end(&mut bytes)?;
    Ok(bytes)
}

/// Writes each scheduled list, at most one in [`WRITE_INTERVAL`]. Reports the first of a series of failures.
fn run_writer(folder: &Path, next: &(Mutex<Option<Vec<u8>>>, Condvar)) {
    let mut failing = false;
    loop {
        let bytes = {
            let guard = next.0.lock().unwrap_or_else(PoisonError::into_inner);
            let mut scheduled = next
                .1
                .wait_while(guard, |next| next.is_none())
                .unwrap_or_else(PoisonError::into_inner);
            scheduled.take().unwrap_or_default()
        };
        match write(folder, &bytes) {
            Ok(()) => failing = false,
            Err(problem) if !failing => {
                failing = true;
                eprintln!(
                    "emberpin: cannot write {}: {problem}; the list is not saved",
                    folder.display()
                );
            }
            Err(_) => {}
        }
        std::thread::sleep(WRITE_INTERVAL);
    }
}

/// Replaces the snapshot atomically: a new file is synced before it is renamed over the old one.
fn write(folder: &Path, bytes: &[u8]) -> io::Result<()> {
    fs::create_dir_all(folder)?;
    let new = folder.join(TEMPORARY_FILE);
    let mut file = File::create(&new)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    fs::rename(&new, folder.join(FILE))?;
    File::open(folder)?.sync_all()
}
