//! The last list on a disk, by `emberpin_startup::snapshot`: read once at the start, written behind the limiter's back by
//! a thread of its own. A disk that fails, lies or stalls costs the snapshot, never the start or the service.

use crate::operate::config::Config;
use crate::upstream::endpoint_list::{Entry, Listing, Target, Teller};
use emberpin_startup::snapshot::{decode, encode, SnapshotHeader, MAX_BYTES};
use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::{Duration, SystemTime};
use tokio::sync::oneshot;
use tokio::time::timeout;

const FILE: &str = "list";
const NEW: &str = "list.new";
/// At most one write in so long.
const EVERY: Duration = Duration::from_secs(1);

/// Where one instance's snapshot is.
pub struct ListSnapshot {
    folder: PathBuf,
    owner: String,
    /// What is to be written next; a newer list takes its place.
    next: Arc<(Mutex<Option<Vec<u8>>>, Condvar)>,
}

impl ListSnapshot {
    /// The instance's snapshot, if the operator wants one.
    ///
    /// # Errors
    ///
    /// No thread can be had.
    pub fn start(config: &Config) -> Result<Option<ListSnapshot>, String> {
        let (Some(start), Some(folder)) = (&config.start, &config.snapshot) else {
            return Ok(None);
        };
        let kept = ListSnapshot {
            folder: folder.clone(),
            owner: format!("{}/{}", start.site, config.name),
            next: Arc::default(),
        };
        let (folder, next) = (folder.clone(), kept.next.clone());
        let thread = std::thread::Builder::new()
            .name("list".into())
            .spawn(move || write_for_ever(&folder, &next));
        thread.map_err(|e| format!("[start] snapshot: no thread: {e}"))?;
        Ok(Some(kept))
    }

    /// What the life before left, if the disk gives it in time and it can be used.
    pub async fn read(&self, within: Duration, most: Duration) -> Option<Listing> {
        let path = self.folder.join(FILE);
        let shown = path.display().to_string();
        let (give, given) = oneshot::channel();
        // Its own thread: one that a stalled disk holds on to must not hold anything else.
        let reading = move || _ = give.send(read(&path));
        if let Err(problem) = std::thread::Builder::new()
            .name("list-read".into())
            .spawn(reading)
        {
            eprintln!("emberpin: {shown}: no thread: {problem}; starting without it");
            return None;
        }
        let bytes = match timeout(within, given).await {
            Ok(Ok(Ok(bytes))) => bytes,
            Ok(Ok(Err(problem))) if problem.kind() == io::ErrorKind::NotFound => return None,
            Ok(Ok(Err(problem))) => {
                eprintln!("emberpin: cannot read {shown}: {problem}; starting without it");
                return None;
            }
            Ok(Err(_)) | Err(_) => {
                eprintln!(
                    "emberpin: {shown}: the disk gave nothing within {} ms; starting without it",
                    within.as_millis()
                );
                return None;
            }
        };
        match decode(&bytes, &self.owner, SystemTime::now(), most) {
            Ok((label, entries)) => match serde_json::from_slice::<Vec<Target>>(entries) {
                Ok(targets) => {
                    eprintln!(
                        "emberpin: {shown}: {} servers of version {}",
                        targets.len(),
                        label.revision
                    );
                    let targets = targets.into_iter().map(Entry::Target).collect();
                    Some(Listing {
                        rev: label.revision,
                        whole: true,
                        targets,
                        place: 0,
                        teller: Teller::Service,
                    })
                }
                Err(problem) => {
                    eprintln!("emberpin: {shown}: {problem}; starting without it");
                    None
                }
            },
            Err(unusable) => {
                eprintln!("emberpin: {shown} is not used: {unusable}; remove it or let it be written anew");
                None
            }
        }
    }

    /// Has this list written.
    pub fn keep(&self, rev: u64, targets: &[Target]) {
        let Ok(entries) = serde_json::to_vec(targets) else {
            return;
        };
        let label = SnapshotHeader {
            owner: self.owner.clone(),
            written_at: SystemTime::now(),
            revision: rev,
        };
        let (next, wake) = &*self.next;
        *next.lock().unwrap_or_else(PoisonError::into_inner) = Some(encode(&label, &entries));
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

fn write_for_ever(folder: &Path, next: &(Mutex<Option<Vec<u8>>>, Condvar)) {
    let mut failing = false;
    loop {
        let bytes = {
            let waiting = next.0.lock().unwrap_or_else(PoisonError::into_inner);
            let mut woken = next
                .1
                .wait_while(waiting, |next| next.is_none())
                .unwrap_or_else(PoisonError::into_inner);
            woken.take().unwrap_or_default()
        };
        match write(folder, &bytes) {
            Ok(()) => failing = false,
            Err(problem) if !failing => {
                failing = true;
                eprintln!(
                    "emberpin: cannot write {}: {problem}; the list is not kept",
                    folder.display()
                );
            }
            Err(_) => {}
        }
        std::thread::sleep(EVERY);
    }
}

/// Whole or not at all: a new file, on the disk before it takes the old one's name.
fn write(folder: &Path, bytes: &[u8]) -> io::Result<()> {
    fs::create_dir_all(folder)?;
    let new = folder.join(NEW);
    let mut file = File::create(&new)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    fs::rename(&new, folder.join(FILE))?;
    File::open(folder)?.sync_all()
}
