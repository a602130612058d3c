//! Measures the cost of a store. `measure_store STORE CHANGES` starts three stores on loopback from the program STORE and
//! sends this many changes to the first, one after the other. It prints time and processor time of a change, processor
//! time of an idle second, memory, disk usage, and the time of a start with what is on the disk then.
//!
//! `cargo build --release -p emberpin-store && cargo run --release -p emberpin-store --example measure_store --
//! target/release/emberpin-store 1000`

#[path = "../tests/common/settings.rs"]
mod settings;

use emberpin_runtime::frames;
use emberpin_runtime::identity::ProcessIdentity;
use emberpin_store::protocol::{RequestId, StoreReply, StoreRequest, ToStore};
use settings::NodeSettings;
use std::error::Error;
use std::net::Ipv4Addr;
use std::path::Path;
use std::process::{Child, Command};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;

const PORT: u16 = 27_311;
const STORES: u8 = 3;
/// Clock ticks in a second, the unit of processor times in `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;
/// How long the idle stores are measured.
const IDLE_PERIOD: Duration = Duration::from_secs(10);
/// Names that the changes cycle through: versions rise, and the number of items does not.
const NAMES: u64 = 100;

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

async fn patch(stream: &mut TcpStream, number: u64) -> Result<u16, Box<dyn Error>> {
    let (name, ver) = (number % NAMES, 1 + number / NAMES);
    let body = format!(
        "{{\"upsert\":{{\"svcs\":[{{\"name\":\"s-{name}\",\"hcheck\":\"/h\",\"maxconn\":9,\"proto\":\"h1\",\
         \"tls\":false,\"warmup\":\"3s\",\"warmup_per_s\":10.0,\"ver\":{ver}}}]}}}}"
    );
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

async fn measure(program: &str, changes: u64, folder: &Path) -> Result<(), Box<dyn Error>> {
    let mut stores = Vec::new();
    for store in 1..=STORES {
        stores.push(start(program, folder, store, true)?);
    }
    let mut stream = connect(1).await;
    while patch(&mut stream, 0).await? != 200 {}
    let (began, before) = (Instant::now(), processor_ms(&stores)?);
    for number in 1..=changes {
        while patch(&mut stream, number).await? != 200 {}
    }
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
    for store in &mut stores {
        store.kill()?;
        store.wait()?;
    }
    Ok(())
}

fn main() -> Result<(), Box<dyn Error>> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [program, changes] = arguments.as_slice() else {
        return Err("usage: measure_store STORE CHANGES".into());
    };
    let folder = tempfile::tempdir()?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(measure(program, changes.parse()?, folder.path()))
}
