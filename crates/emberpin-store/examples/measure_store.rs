//! Measures the cost of a store: `measure_store STORE CHANGES [NAMES] [BATCH]`.
//!
//! Starts three stores on loopback addresses from the program STORE, and sends CHANGES changes to the first store, one
//! after the other. The changes cycle through NAMES service names (default 100), and each change sets BATCH of them
//! (default 1). Prints the time and CPU time per change, the CPU time per idle second, the memory and disk usage, and
//! the time of a restart with the resulting disk.
//!
//! Then the third store is killed for another CHANGES changes, restarted, killed again, and restarted without its disk.
//! Changes are made during each restart; prints the time until that store is up to date, and the longest change
//! meanwhile.
//!
//! `cargo build --release -p emberpin-store && cargo run --release -p emberpin-store --example measure_store --
//! target/release/emberpin-store 1000`

#[path = "../tests/common/settings.rs"]
mod settings;

use emberpin_runtime::frames;
use emberpin_runtime::identity::ProcessIdentity;
use emberpin_store::protocol::{RequestId, StoreReply, StoreRequest, ToStore};
use settings::NodeSettings;
use std::cell::Cell;
use std::error::Error;
use std::net::Ipv4Addr;
use std::path::Path;
use std::process::{Child, Command};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;

const USAGE: &str = "usage: measure_store STORE CHANGES [NAMES] [BATCH]";
const PORT: u16 = 27_311;
/// Number of stores, which are numbered from 1.
const STORE_COUNT: u8 = 3;
/// Clock ticks per second. CPU times in `/proc` are in clock ticks.
const TICKS_PER_SECOND: f64 = 100.0;
/// Time for which the idle stores are measured.
const IDLE_PERIOD: Duration = Duration::from_secs(10);
/// Default number of names through which the changes cycle. Repeated names make versions rise, but not the number of
/// items.
const DEFAULT_NAMES: u64 = 100;
/// Number of the store that is stopped and restarted. The first store receives the changes.
const ABSENT_STORE: u8 = 3;

/// The number and the contents of the changes.
#[derive(Clone, Copy)]
struct Workload {
    /// Number of changes in a series.
    changes: u64,
    /// Number of service names through which the changes cycle.
    names: u64,
    /// Number of names that a change sets.
    batch: u64,
}

/// Returns the address of a store.
fn ip(store: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, 9, 200, store)
}

/// Starts a store process with its settings and data below `folder`.
fn start(program: &str, folder: &Path, store: u8, bootstrap: bool) -> std::io::Result<Child> {
    let seeds: Vec<Ipv4Addr> = (1..=STORE_COUNT).map(ip).collect();
    let settings = NodeSettings {
        ip: ip(store),
        port: PORT,
        data_dir: &folder.join(format!("data-{store}")),
        seeds: &seeds,
        bootstrap,
        disk_limit_mib: None,
    };
    let file = folder.join(format!("settings-{store}.toml"));
    std::fs::write(&file, settings.to_toml())?;
    Command::new(program)
        .env("EMBERPIN_NODE_FILE", &file)
        .spawn()
}

/// Returns the CPU time that the stores have used so far, in milliseconds.
fn cpu_time_ms(stores: &[Child]) -> Result<f64, Box<dyn Error>> {
    let mut ticks = 0;
    for store in stores {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", store.id()))?;
        let fields: Vec<&str> = stat
            .rsplit(") ")
            .next()
            .unwrap_or_default()
            .split(' ')
            .collect();
        ticks += fields[11].parse::<u64>()? + fields[12].parse::<u64>()?;
    }
    Ok(ticks as f64 / TICKS_PER_SECOND * 1_000.0)
}

/// Returns the resident memory of a store in KiB.
fn memory_kib(store: &Child) -> Result<u64, Box<dyn Error>> {
    let status = std::fs::read_to_string(format!("/proc/{}/status", store.id()))?;
    let line = status
        .lines()
        .find(|line| line.starts_with("VmRSS:"))
        .ok_or("no VmRSS")?;
    Ok(line.split_whitespace().nth(1).ok_or("no VmRSS")?.parse()?)
}

/// Returns the bytes of the blocks that all files below a folder occupy.
fn disk_bytes(folder: &Path) -> Result<u64, Box<dyn Error>> {
    use std::os::unix::fs::MetadataExt;
    let mut sum = 0;
    for entry in std::fs::read_dir(folder)? {
        let entry = entry?;
        let metadata = entry.metadata()?;
        sum += if metadata.is_dir() {
            disk_bytes(&entry.path())?
        } else {
            metadata.blocks() * 512
        };
    }
    Ok(sum)
}

/// Connects to a store as soon as it accepts connections, and completes the handshake.
async fn connect(store: u8) -> TcpStream {
    loop {
        if let Ok(mut stream) = TcpStream::connect((ip(store), PORT)).await {
            _ = stream.set_nodelay(true);
            let (mut reader, mut writer) = stream.split();
            if ProcessIdentity::new(1)
                .handshake(&mut reader, &mut writer)
                .await
                .is_ok()
            {
                return stream;
            }
        }
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

impl Workload {
    /// Returns the body of a change: the next names in turn, each with its next version.
    fn patch_body(self, number: u64) -> String {
        let service = |nth: u64| {
            let (name, ver) = (nth % self.names, 1 + nth / self.names);
            format!(
                "{{\"name\":\"s-{name}\",\"hcheck\":\"/h\",\"maxconn\":9,\"proto\":\"h1\",\"tls\":false,\
                 \"warmup\":\"3s\",\"warmup_per_s\":10.0,\"ver\":{ver}}}"
            )
        };
        let first = number * self.batch;
        let services: Vec<String> = (first..first + self.batch).map(service).collect();
        format!("{{\"upsert\":{{\"svcs\":[{}]}}}}", services.join(","))
    }
}

/// Sends a patch, and returns the status of the response.
async fn patch(stream: &mut TcpStream, number: u64, body: String) -> Result<u16, Box<dyn Error>> {
    let request = StoreRequest::Patch {
        id: RequestId(number),
        body: body.into_bytes(),
    };
    frames::write(stream, &ToStore::Request(request)).await?;
    match frames::read(stream).await? {
        StoreReply::Response { status, .. } => Ok(status),
        other => Err(format!("not an answer: {other:?}").into()),
    }
}

/// Sends changes to the first store, one after the other.
struct Operator {
    stream: TcpStream,
    workload: Workload,
    /// Number of the next change.
    next_change: u64,
}

impl Operator {
    /// Sends the next change, retries it until it is acknowledged, and returns the time until then.
    async fn change(&mut self) -> Result<Duration, Box<dyn Error>> {
        let started_at = Instant::now();
        let number = self.next_change;
        self.next_change += 1;
        while patch(&mut self.stream, number, self.workload.patch_body(number)).await? != 200 {}
        Ok(started_at.elapsed())
    }

    /// Makes a series of [`Workload::changes`] changes.
    async fn make_changes(&mut self) -> Result<(), Box<dyn Error>> {
        for _ in 0..self.workload.changes {
            self.change().await?;
        }
        Ok(())
    }
}

/// Waits until a store reports that it is up to date.
async fn wait_until_up_to_date(store: u8) -> Result<(), Box<dyn Error>> {
    let mut stream = connect(store).await;
    frames::write(&mut stream, &ToStore::Request(StoreRequest::Subscribe)).await?;
    loop {
        if let StoreReply::Status {
            up_to_date: true, ..
        } = frames::read(&mut stream).await?
        {
            return Ok(());
        }
    }
}

/// Restarts the absent store, and makes changes until it is up to date. `label` names the measurement in the output.
async fn measure_catch_up(
    label: &str,
    operator: &mut Operator,
    start: impl FnOnce() -> std::io::Result<Child>,
) -> Result<Child, Box<dyn Error>> {
    let started_at = Instant::now();
    let child = start()?;
    let mut latencies = Vec::new();
    let is_up_to_date = Cell::new(false);
    let wait = async {
        let waited = wait_until_up_to_date(ABSENT_STORE).await;
        is_up_to_date.set(true);
        waited
    };
    let changes = async {
        while !is_up_to_date.get() {
            latencies.push(operator.change().await?);
        }
        Ok(())
    };
    tokio::try_join!(wait, changes)?;
    println!(
        "{label}: up to date after {:.2} s, {} changes meanwhile, the longest {:.1} ms",
        started_at.elapsed().as_secs_f64(),
        latencies.len(),
        latencies
            .iter()
            .max()
            .map_or(0.0, |longest| longest.as_secs_f64() * 1_000.0)
    );
    Ok(child)
}

/// Runs all measurements, and prints their results.
async fn measure(program: &str, workload: Workload, folder: &Path) -> Result<(), Box<dyn Error>> {
    let changes = workload.changes;
    let mut stores = Vec::new();
    for store in 1..=STORE_COUNT {
        stores.push(start(program, folder, store, true)?);
    }
    let mut operator = Operator {
        stream: connect(1).await,
        workload,
        next_change: 0,
    };
    operator.change().await?;
    let (started_at, before) = (Instant::now(), cpu_time_ms(&stores)?);
    operator.make_changes().await?;
    let (elapsed, cpu_ms) = (started_at.elapsed(), cpu_time_ms(&stores)? - before);
    let per_change = |total: f64| total / changes as f64;
    println!(
        "{changes} changes: {:.2} ms each, {:.3} ms of processor each over all stores",
        per_change(elapsed.as_secs_f64() * 1_000.0),
        per_change(cpu_ms)
    );
    let before = cpu_time_ms(&stores)?;
    tokio::time::sleep(IDLE_PERIOD).await;
    println!(
        "idle: {:.2} ms of processor a second and store",
        (cpu_time_ms(&stores)? - before) / IDLE_PERIOD.as_secs_f64() / f64::from(STORE_COUNT)
    );
    println!(
        "memory: {} KiB, disk: {} bytes",
        memory_kib(&stores[0])?,
        disk_bytes(&folder.join("data-1"))?
    );
    stores[0].kill()?;
    stores[0].wait()?;
    let started_at = Instant::now();
    stores[0] = start(program, folder, 1, false)?;
    drop(connect(1).await);
    println!(
        "start: {:.1} ms",
        started_at.elapsed().as_secs_f64() * 1_000.0
    );
    operator.stream = connect(1).await;
    measure_absence(program, folder, &mut stores, &mut operator).await?;
    for store in &mut stores {
        store.kill()?;
        store.wait()?;
    }
    Ok(())
}

/// Measures how the absent store catches up: after it missed changes, and after it also lost its disk.
async fn measure_absence(
    program: &str,
    folder: &Path,
    stores: &mut [Child],
    operator: &mut Operator,
) -> Result<(), Box<dyn Error>> {
    let absent = usize::from(ABSENT_STORE - 1);
    let restart = || start(program, folder, ABSENT_STORE, false);
    stores[absent].kill()?;
    stores[absent].wait()?;
    operator.make_changes().await?;
    stores[absent] = measure_catch_up("behind those changes", operator, restart).await?;
    stores[absent].kill()?;
    stores[absent].wait()?;
    std::fs::remove_dir_all(folder.join(format!("data-{ABSENT_STORE}")))?;
    stores[absent] = measure_catch_up("without its disk", operator, restart).await?;
    println!(
        "memory: {} KiB and {} KiB",
        memory_kib(&stores[0])?,
        memory_kib(&stores[absent])?
    );
    Ok(())
}

fn main() -> Result<(), Box<dyn Error>> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let (program, numbers) = arguments.split_first().ok_or(USAGE)?;
    let numbers: Vec<u64> = numbers
        .iter()
        .map(|number| number.parse())
        .collect::<Result<_, _>>()?;
    let workload = Workload {
        changes: *numbers.first().ok_or(USAGE)?,
        names: numbers.get(1).copied().unwrap_or(DEFAULT_NAMES),
        batch: numbers.get(2).copied().unwrap_or(1),
    };
    let folder = tempfile::tempdir()?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(measure(program, workload, folder.path()))
}
