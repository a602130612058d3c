//! What the idempotency stage keeps on disk: the log's host. It words records as bytes, reads them again at a start,
//! and writes all that is still wanted anew before old segments go.

use crate::messages::Answer;
use crate::operate::config::Config;
use crate::operate::operator::Log as Settings;
use crate::operate::{crash_points, faulty_disk};
use emberpin_idempotency::{Millis, Record};
use emberpin_wal::{
    boot_id, Files, Identity, Log, LogEvent, OpenError, Record as Written, Recovery, Service,
    Ticket,
};
use nix::time::{clock_gettime, ClockId};
use serde::{Deserialize, Serialize};
use std::path::Path;
use tokio::sync::mpsc;

/// What stands in a record of the log.
#[derive(Serialize, Deserialize)]
enum Entry {
    /// With what fingerprints are made; the last one holds.
    Secret([u8; 32]),
    /// Until then keyed work is told that it may have run.
    Quiet(Millis),
    /// What is known of a key.
    Key(Record<Answer>),
}

/// What an earlier life left.
pub struct Recalled {
    pub secret: [u8; 32],
    /// Each with whether its times can be compared with this life's.
    pub records: Vec<(Record<Answer>, bool)>,
    /// Nothing is let on before.
    pub quiet_until: Millis,
}

/// A log that is open.
pub struct Memory {
    service: Service,
    spare: u64,
    first_segment: u64,
}

/// Milliseconds since the machine's boot: the same for all lives in one boot, whatever the wall clock does
/// (`clock_gettime(2)`, `CLOCK_BOOTTIME`).
pub fn boot_clock() -> Millis {
    let now = clock_gettime(ClockId::CLOCK_BOOTTIME)
        .map(|now| (now.tv_sec() as f64, now.tv_nsec() as f64));
    now.map_or(0.0, |(seconds, nanos)| seconds * 1e3 + nanos / 1e6)
}

/// Bytes from the system's random source.
///
/// # Errors
///
/// One line; nothing secret can be made without it.
pub fn random<const N: usize>() -> Result<[u8; N], String> {
    let mut bytes = [0; N];
    getrandom::fill(&mut bytes).map_err(|e| format!("no random bytes from the system: {e}"))?;
    Ok(bytes)
}

/// Begins the log of an instance that never had one.
///
/// # Errors
///
/// One line that names the folder.
pub fn begin(config: &Config) -> Result<String, String> {
    let (_, folder) = config
        .log
        .as_ref()
        .ok_or("no operator file has a table [log]; give it by --with")?;
    let shown = folder.display();
    let identity = identity(config)?;
    let begun = Log::begin(take(folder)?, &identity);
    begun.map_err(|problem| format!("log {shown}: {problem}"))?;
    Ok(format!("begun the log of '{}' in {shown}", config.name))
}

fn identity(config: &Config) -> Result<Identity, String> {
    Ok(Identity {
        instance: config.name.clone(),
        boot: boot_id(),
        fresh: random()?,
    })
}

fn take(folder: &Path) -> Result<Files, String> {
    Files::take(folder).map_err(|e| match e.kind() {
        std::io::ErrorKind::WouldBlock => {
            format!("log {}: another process has it open", folder.display())
        }
        _ => format!("log {}: {e}", folder.display()),
    })
}

impl Memory {
    /// Opens the log that the configuration names, and reads what earlier lives left. `retention` is how long nothing
    /// may be let on where something of theirs is lost.
    ///
    /// # Errors
    ///
    /// One line that names the folder and the way out.
    pub fn open(
        config: &Config,
        settings: &Settings,
        folder: &Path,
        retention: Millis,
        notes: mpsc::UnboundedSender<LogEvent>,
    ) -> Result<(Memory, Recalled), String> {
        let shown = folder.display().to_string();
        let mut recalled = Recalled {
            secret: random()?,
            records: Vec::new(),
            quiet_until: 0.0,
        };
        let (mut quiet, mut foreign) = (None, 0u64);
        let visit = |Written {
                         payload, same_boot, ..
                     }: Written<'_>| match postcard::from_bytes(payload) {
            Ok(Entry::Secret(bytes)) => recalled.secret = bytes,
            Ok(Entry::Quiet(until)) => quiet = Some(if same_boot { until } else { f64::INFINITY }),
            Ok(Entry::Key(record)) => recalled.records.push((record, same_boot)),
            Err(_) => foreign += 1,
        };
        let began = boot_clock();
        let identity = identity(config)?;
        let opened = Log::open(
            crash_points::CrashPointStorage(faulty_disk::with_faults(take(folder)?)),
            &identity,
            visit,
        );
        let (mut log, recovery) =
            opened.map_err(|problem: OpenError| format!("log {shown}: {problem}"))?;
        let Recovery {
            records,
            bytes,
            torn,
            lost,
        } = recovery;
        let now = boot_clock();
        let whole = now + retention;
        // Quiet as long as an earlier start said, within a whole retention; a loss without its word is a new one.
        recalled.quiet_until = match (&lost, quiet) {
            (None, None) if foreign == 0 => 0.0,
            (Some(emberpin_wal::DataLoss::EarlierLoss) | None, Some(until)) if foreign == 0 => {
                until.min(whole)
            }
            _ => whole,
        };
        eprintln!(
            "emberpin: log {shown}: {records} records, {bytes} bytes read in {:.0} ms; {torn} bytes unfinished",
            now - began
        );
        if foreign > 0 {
            eprintln!("emberpin: log {shown}: {foreign} records that this program does not know");
        }
        if let Some(lost) = lost {
            eprintln!("emberpin: log {shown}: LOST: {lost}");
        }
        // Down before any key's record: a next start must make the same fingerprints, and be quiet for what is left.
        let mut first = vec![Entry::Secret(recalled.secret)];
        if recalled.quiet_until > now {
            let seconds = (recalled.quiet_until - now) / 1000.0;
            eprintln!(
                "emberpin: log {shown}: keyed work is told for {seconds:.1} s that it may have run"
            );
            first.push(Entry::Quiet(recalled.quiet_until));
        }
        let first: Vec<Vec<u8>> = first.iter().filter_map(encode).collect();
        log.write(&first, true)
            .map_err(|problem| format!("log {shown}: {problem}"))?;
        let first_segment = log.segment();
        // The receiver goes with the stage.
        let service = Service::start(log, move |note| _ = notes.send(note));
        let service = service.map_err(|e| format!("log {shown}: no thread: {e}"))?;
        Ok((
            Memory {
                service,
                spare: settings.spare_bytes as u64,
                first_segment,
            },
            recalled,
        ))
    }

    /// The segment that this life began with.
    pub fn first_segment(&self) -> u64 {
        self.first_segment
    }

    /// Appends a key's record; false if it cannot be taken now.
    pub fn key(&self, record: Record<Answer>, ticket: Option<Ticket>) -> bool {
        self.append(&Entry::Key(record), ticket)
    }

    /// Appends what fingerprints are made with.
    pub fn secret(&self, bytes: [u8; 32], ticket: Option<Ticket>) -> bool {
        self.append(&Entry::Secret(bytes), ticket)
    }

    /// Appends until when nothing is let on.
    pub fn quiet(&self, until: Millis) -> bool {
        self.append(&Entry::Quiet(until), None)
    }

    fn append(&self, entry: &Entry, ticket: Option<Ticket>) -> bool {
        encode(entry).is_some_and(|bytes| self.service.append(bytes, ticket).is_ok())
    }

    /// Whether the log has grown enough to be written anew, after it held so much then.
    pub fn wants_rotation(&self, then: u64) -> bool {
        self.service.bytes() > 2 * then + self.spare
    }

    /// Bytes on the disk.
    pub fn bytes(&self) -> u64 {
        self.service.bytes()
    }

    /// Turns to a new segment, soon.
    pub fn rotate(&self) -> bool {
        self.service.rotate().is_ok()
    }

    /// Lets go of the segments before this one, soon.
    pub fn retire(&self, before: u64) -> bool {
        self.service.retire(before).is_ok()
    }
}

/// An entry's bytes; entries of these types always encode.
fn encode(entry: &Entry) -> Option<Vec<u8>> {
    postcard::to_allocvec(entry).ok()
}
