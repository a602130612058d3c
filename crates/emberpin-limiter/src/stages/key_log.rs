//! The idempotency stage's log on disk: encodes its records, reads them back at a start, and removes old segments once
//! the live entries have been rewritten.

use crate::messages::Answer;
use crate::operate::config::Config;
use crate::operate::operator::Log as Settings;
use crate::operate::{crash_points, faulty_disk};
use emberpin_idempotency::{Millis, Record};
use emberpin_wal::{
    boot_id, Files, Identity, Log, LogEvent, OpenError, Record as LogRecord, Recovery, Service,
    Ticket,
};
use nix::time::{clock_gettime, ClockId};
use serde::{Deserialize, Serialize};
use std::path::Path;
use tokio::sync::mpsc;

/// The content of one record of the log. Encoded by position: the order of variants and fields must not change.
#[derive(Serialize, Deserialize)]
enum Entry {
    /// The secret with which fingerprints are computed; the last one in the log is valid.
    Secret([u8; 32]),
    /// Until this time, requests with unknown keys are answered as possibly executed.
    Quiet(Millis),
    /// The state of a key.
    Key(Record<Answer>),
}

/// The state that earlier incarnations left in the log.
pub struct RecoveredState {
    /// The secret with which fingerprints are computed.
    pub secret: [u8; 32],
    /// The records of keys, each with whether it was written in this boot, so that its times can be compared with
    /// [`boot_clock`].
    pub records: Vec<(Record<Answer>, bool)>,
    /// No request with an unknown key is forwarded before this time, in milliseconds of [`boot_clock`].
    pub quiet_until: Millis,
}

/// An open log.
pub struct KeyLog {
    service: Service,
    spare_bytes: u64,
    first_segment: u64,
}

/// Milliseconds since the machine's boot: continuous across process restarts within one boot, and independent of the
/// wall clock (`clock_gettime(2)`, `CLOCK_BOOTTIME`).
pub fn boot_clock() -> Millis {
    let now = clock_gettime(ClockId::CLOCK_BOOTTIME)
        .map(|now| (now.tv_sec() as f64, now.tv_nsec() as f64));
    now.map_or(0.0, |(seconds, nanos)| seconds * 1e3 + nanos / 1e6)
}

/// Bytes from the system's random source.
///
/// # Errors
///
/// One line; without random bytes no secret can be created.
pub fn random<const N: usize>() -> Result<[u8; N], String> {
    let mut bytes = [0; N];
    getrandom::fill(&mut bytes).map_err(|e| format!("no random bytes from the system: {e}"))?;
    Ok(bytes)
}

/// Creates the log of an instance that never had one, and returns a line that says so.
///
/// # Errors
///
/// One line that names the folder.
pub fn begin(config: &Config) -> Result<String, String> {
    let (_, folder) = config
        .log
        .as_ref()
        .ok_or("no operator file has a table [log]; pass one that has it by --with")?;
    let shown = folder.display();
    let identity = identity(config)?;
    let created = Log::initialize(lock_files(folder)?, &identity);
    created.map_err(|problem| format!("log {shown}: {problem}"))?;
    Ok(format!("created the log of '{}' in {shown}", config.name))
}

fn identity(config: &Config) -> Result<Identity, String> {
    Ok(Identity {
        instance: config.name.clone(),
        boot: boot_id(),
        new_log_id: random()?,
    })
}

fn lock_files(folder: &Path) -> Result<Files, String> {
    Files::lock(folder).map_err(|e| match e.kind() {
        std::io::ErrorKind::WouldBlock => {
            format!("log {}: another process has it open", folder.display())
        }
        _ => format!("log {}: {e}", folder.display()),
    })
}

impl KeyLog {
    /// Opens the log in `folder`, and reads the state that earlier incarnations left. If a part of that state is lost,
    /// requests with unknown keys are not forwarded for `retention`.
    ///
    /// # Errors
    ///
    /// One line that names the folder and the remedy.
    pub fn open(
        config: &Config,
        settings: &Settings,
        folder: &Path,
        retention: Millis,
        log_events: mpsc::UnboundedSender<LogEvent>,
    ) -> Result<(KeyLog, RecoveredState), String> {
        let shown = folder.display().to_string();
        let mut recovered = RecoveredState {
            secret: random()?,
            records: Vec::new(),
            quiet_until: 0.0,
        };
        let (mut quiet, mut unknown) = (None, 0u64);
        let visit = |LogRecord {
                         payload, same_boot, ..
                     }: LogRecord<'_>| match postcard::from_bytes(payload) {
            Ok(Entry::Secret(bytes)) => recovered.secret = bytes,
            Ok(Entry::Quiet(until)) => quiet = Some(if same_boot { until } else { f64::INFINITY }),
            Ok(Entry::Key(record)) => recovered.records.push((record, same_boot)),
            Err(_) => unknown += 1,
        };
        let started_at = boot_clock();
        let identity = identity(config)?;
        let opened = Log::open(
            crash_points::CrashPointStorage(faulty_disk::with_faults(lock_files(folder)?)),
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
        let full_retention_end = now + retention;
        // After a loss, requests with unknown keys are not forwarded for a retention period. A loss for which an
        // earlier start has recorded the end of this period applies until then, but no longer than for a whole period
        // from now. A loss without such a record is new, and applies for a whole period.
        recovered.quiet_until = match (&lost, quiet) {
            (None, None) if unknown == 0 => 0.0,
            (Some(emberpin_wal::DataLoss::EarlierLoss) | None, Some(until)) if unknown == 0 => {
                until.min(full_retention_end)
            }
            _ => full_retention_end,
        };
        eprintln!(
            "emberpin: log {shown}: {records} records, {bytes} bytes read in {:.0} ms; {torn} bytes of an unfinished record",
            now - started_at
        );
        if unknown > 0 {
            eprintln!("emberpin: log {shown}: {unknown} records of an unknown type ignored");
        }
        if let Some(lost) = lost {
            eprintln!("emberpin: log {shown}: LOST: {lost}");
        }
        // Written before any key's record: the next start must compute the same fingerprints, and must not forward
        // requests with unknown keys for the rest of the period.
        let mut first = vec![Entry::Secret(recovered.secret)];
        if recovered.quiet_until > now {
            let seconds = (recovered.quiet_until - now) / 1000.0;
            eprintln!(
                "emberpin: log {shown}: for {seconds:.1} s, requests with unknown keys are answered as possibly executed"
            );
            first.push(Entry::Quiet(recovered.quiet_until));
        }
        let first: Vec<Vec<u8>> = first.iter().filter_map(encode).collect();
        log.write(&first, true)
            .map_err(|problem| format!("log {shown}: {problem}"))?;
        let first_segment = log.segment();
        // Sending fails only once the stage, which owns the receiver, is dropped.
        let service = Service::start(log, move |event| _ = log_events.send(event));
        let service = service.map_err(|e| format!("log {shown}: cannot start its thread: {e}"))?;
        Ok((
            KeyLog {
                service,
                spare_bytes: settings.spare_bytes as u64,
                first_segment,
            },
            recovered,
        ))
    }

    /// The first segment that this incarnation writes to.
    pub fn first_segment(&self) -> u64 {
        self.first_segment
    }

    /// Appends a key's record. Returns false if the log does not accept it now. `ticket` identifies the record in the
    /// log's events.
    pub fn append_key(&self, record: Record<Answer>, ticket: Option<Ticket>) -> bool {
        self.append(&Entry::Key(record), ticket)
    }

    /// Appends the secret with which fingerprints are computed.
    pub fn append_secret(&self, bytes: [u8; 32], ticket: Option<Ticket>) -> bool {
        self.append(&Entry::Secret(bytes), ticket)
    }

    /// Appends the time until which no request with an unknown key is forwarded.
    pub fn append_quiet(&self, until: Millis) -> bool {
        self.append(&Entry::Quiet(until), None)
    }

    fn append(&self, entry: &Entry, ticket: Option<Ticket>) -> bool {
        encode(entry).is_some_and(|bytes| self.service.append(bytes, ticket).is_ok())
    }

    /// Whether the log has grown enough to be compacted, which begins with a new segment. `compacted_size` is its size
    /// after the last compaction, in bytes.
    pub fn wants_rotation(&self, compacted_size: u64) -> bool {
        self.service.bytes() > 2 * compacted_size + self.spare_bytes
    }

    /// The size of the log on disk, in bytes.
    pub fn bytes(&self) -> u64 {
        self.service.bytes()
    }

    /// Requests a new segment, which [`LogEvent::Rotated`] reports. Returns false if the log does not accept the
    /// request now.
    pub fn rotate(&self) -> bool {
        self.service.rotate().is_ok()
    }

    /// Requests the removal of all segments before this one. Returns false if the log does not accept the request now.
    pub fn remove_segments_before(&self, before: u64) -> bool {
        self.service.remove_segments_before(before).is_ok()
    }
}

/// An entry's bytes; entries of these types can always be encoded.
fn encode(entry: &Entry) -> Option<Vec<u8>> {
    postcard::to_allocvec(entry).ok()
}
