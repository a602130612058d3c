//! Measures the cost of a store. `measure_store STORE CHANGES [NAMES] [BATCH]` starts three stores on loopback from the
//! program STORE and sends this many changes to the first, one after the other. The changes cycle through NAMES names
//! (100), and each is of BATCH names (1). It prints time and processor time of a change, processor time of an idle second,
//! memory, disk usage, and the time of a start with what is on the disk then. Then the third store is away for as many
//! changes again, comes back, and loses its disk, while changes go on: each time it prints how long the store takes until
//! it is up to date, and the longest change meanwhile.
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
const STORES: u8 = 3;
/// Clock ticks in a second, the unit of processor times in `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;
/// How long the idle stores are measured.
const IDLE_PERIOD: Duration = Duration::from_secs(10);
/// Names that the changes cycle through unless the arguments say otherwise: versions rise, and the number of items does not.
const DEFAULT_NAMES: u64 = 100;
/// The store that is away; the first takes the changes.
const ABSENT_STORE: u8 = 3;

/// What the changes are.
#[derive(Clone, Copy)]
struct Workload {
    changes: u64,
    names: u64,
    /// How many names a change sets.
    batch: u64,
}

fn ip(store: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, 9, 200, store)
}

fn start(program: &str, folder: &Path, store: u8, bootstrap: bool) -> std::io::Result<Child> {
    let seeds: Vec<Ipv4Addr> = (1..=STORES).map(ip).collect();
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

/// Processor time of the stores so far, in milliseconds.
fn processor_ms(stores: &[Child]) -> Result<f64, Box<dyn Error>> {
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

fn memory_kib(store: &Child) -> Result<u64, Box<dyn Error>> {
    let status = std::fs::read_to_string(format!("/proc/{}/status", store.id()))?;
    let line = status
        .lines()
        .find(|line| line.starts_with("VmRSS:"))
        .ok_or("no VmRSS")?;
    Ok(line.split_whitespace().nth(1).ok_or("no VmRSS")?.parse()?)
}

fn disk_bytes(folder: &Path) -> Result<u64, Box<dyn Error>> {
    use std::os::unix::fs::MetadataExt;
    let mut sum = 0;
    for entry in std::fs::read_dir(folder)? {
        let entry = entry?;
        let about = entry.metadata()?;
        sum += if about.is_dir() {
            disk_bytes(&entry.path())?
        } else {
            about.blocks() * 512
        };
    }
    Ok(sum)
}

async fn connect(store: u8) -> TcpStream {
    loop {
        if let Ok(mut stream) = TcpStream::connect((ip(store), PORT)).await {
            _ = stream.set_nodelay(true);
            let (mut from, mut to) = stream.split();
            if ProcessIdentity::new(1)
                .handshake(&mut from, &mut to)
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
    /// The body of a change: the next names in turn, each with its next version.
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
    next: u64,
}

impl Operator {
    /// Sends the next change until it is acknowledged; returns how long that took.
    async fn change(&mut self) -> Result<Duration, Box<dyn Error>> {
        let began = Instant::now();
        let number = self.next;
        self.next += 1;
        while patch(&mut self.stream, number, self.workload.patch_body(number)).await? != 200 {}
        Ok(began.elapsed())
    }

    async fn make_changes(&mut self) -> Result<(), Box<dyn Error>> {
        for _ in 0..self.workload.changes {
            self.change().await?;
        }
        Ok(())
    }
}

/// Returns once a store says that it is up to date.
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

/// Starts the absent store again, and makes changes until it is up to date.
async fn measure_catch_up(
    what: &str,
    operator: &mut Operator,
    start: impl FnOnce() -> std::io::Result<Child>,
) -> Result<Child, Box<dyn Error>> {
    let began = Instant::now();
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
        "{what}: up to date after {:.2} s, {} changes meanwhile, the longest {:.1} ms",
        began.elapsed().as_secs_f64(),
        latencies.len(),
        latencies
            .iter()
            .max()
            .map_or(0.0, |longest| longest.as_secs_f64() * 1_000.0)
    );
    Ok(child)
}

async fn measure(program: &str, workload: Workload, folder: &Path) -> Result<(), Box<dyn Error>> {
    let changes = workload.changes;
    let mut stores = Vec::new();
    for store in 1..=STORES {
        stores.push(start(program, folder, store, true)?);
    }
    let mut operator = Operator {
        stream: connect(1).await,
        workload,
        next: 0,
    };
    operator.change().await?;
    let (began, before) = (Instant::now(), processor_ms(&stores)?);
    operator.make_changes().await?;
    let (took, spent) = (began.elapsed(), processor_ms(&stores)? - before);
    let each = |total: f64| total / changes as f64;
    println!(
        "{changes} changes: {:.2} ms each, {:.3} ms of processor each over all stores",
        each(took.as_secs_f64() * 1_000.0),
        each(spent)
    );
    let before = processor_ms(&stores)?;
    tokio::time::sleep(IDLE_PERIOD).await;
    println!(
        "idle: {:.2} ms of processor a second and store",
        (processor_ms(&stores)? - before) / IDLE_PERIOD.as_secs_f64() / f64::from(STORES)
    );
    println!(
        "memory: {} KiB, disk: {} bytes",
        memory_kib(&stores[0])?,
        disk_bytes(&folder.join("data-1"))?
    );
    stores[0].kill()?;
    stores[0].wait()?;
    let began = Instant::now();
    stores[0] = start(program, folder, 1, false)?;
    drop(connect(1).await);
    println!("start: {:.1} ms", began.elapsed().as_secs_f64() * 1_000.0);
    operator.stream = connect(1).await;
    measure_absence(program, folder, &mut stores, &mut operator).await?;
    for store in &mut stores {
        store.kill()?;
        store.wait()?;
    }
    Ok(())
}

/// The absent store misses changes, comes back, and then loses its disk.
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
