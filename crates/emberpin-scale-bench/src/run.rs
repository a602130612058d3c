//! One size: starts the processes, lets them settle, and measures.

use crate::hollow::{self, Counts};
use crate::http::Connection;
use crate::process::{self, Process};
use crate::size::Size;
use crate::texts::{self, Places};
use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// What is waited for comes well before, also on a busy machine.
const LONG: Duration = Duration::from_secs(30);
const LOOK: Duration = Duration::from_millis(10);
/// Pause between two changes, so that each is told alone.
const APART: Duration = Duration::from_millis(200);
/// The roles' figures at rest.
const REST: [&str; 3] = [
    "store: CPU at rest, ms/s",
    "registry: CPU at rest, ms/s",
    "proxy: CPU at rest, ms/s",
];
/// Servers that answer, and clients in closed loops.
const STAND_INS: usize = 2;
const CLIENTS: usize = 2;

/// Why nothing was measured.
#[derive(Debug, thiserror::Error)]
pub enum Failed {
    /// A program that does not stand beside this one.
    #[error("{0}: is not there; build the programs first")]
    Program(PathBuf),
    /// The system refused something.
    #[error("{0}")]
    System(#[from] io::Error),
    /// What was waited for did not come.
    #[error("{0}: not within {LONG:?}")]
    Late(&'static str),
}

/// How long, and how often.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// From the last start to the first window.
    pub settle: Duration,
    /// The length of a window at rest.
    pub window: Duration,
    /// How many windows.
    pub windows: usize,
    /// Changes in each of two batches.
    pub changes: usize,
    /// Requests of each client in each of two batches, and the longest time for one.
    pub requests: (usize, Duration),
    /// Servers that start in each of two batches.
    pub instances: usize,
    /// Limiters that come anew in each of two batches.
    pub snapshots: usize,
}

impl Plan {
    /// A run whose figures count.
    pub fn full() -> Plan {
        Plan {
            settle: Duration::from_secs(4),
            window: Duration::from_millis(2_500),
            windows: 3,
            changes: 8,
            requests: (1_000, Duration::from_secs(2)),
            instances: 40,
            snapshots: 15,
        }
    }

    /// One that shows that all parts work.
    pub fn quick() -> Plan {
        Plan {
            settle: Duration::from_millis(500),
            window: Duration::from_millis(600),
            windows: 2,
            changes: 2,
            requests: (50, Duration::from_secs(2)),
            instances: 4,
            snapshots: 3,
        }
    }
}

/// What was measured, by name; the names are those of the tables.
pub type Figures = BTreeMap<&'static str, Vec<f64>>;

/// A size, and what was measured at it.
#[derive(Clone, Debug)]
pub struct Sample {
    /// The size.
    pub size: Size,
    /// Several values of each figure.
    pub figures: Figures,
    /// How many limiters got each change.
    pub reached: Vec<usize>,
    /// Beats that were not acknowledged.
    pub unheard: u64,
}

/// The three programs.
#[derive(Clone, Debug)]
pub struct Programs {
    store: PathBuf,
    registry: PathBuf,
    proxy: PathBuf,
}

impl Programs {
    /// Those in this folder.
    ///
    /// # Errors
    ///
    /// [`Failed::Program`].
    pub fn within(folder: &Path) -> Result<Programs, Failed> {
        let program = |name: &str| {
            let path = folder.join(name);
            if path.is_file() {
                Ok(path)
            } else {
                Err(Failed::Program(path))
            }
        };
        Ok(Programs {
            store: program("emberpin-store")?,
            registry: program("emberpin-registry")?,
            proxy: program("emberpin-proxy")?,
        })
    }
}

/// Measures one size. What it started has ended when it returns.
///
/// # Errors
///
/// [`Failed`].
pub fn measure(programs: &Programs, size: Size, plan: &Plan) -> Result<Sample, Failed> {
    // With the runtime, all that is hollow ends.
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let mut stop = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())?;
        tokio::select! {
            sample = all(programs, size, plan) => sample,
            _ = stop.recv() => Err(io::Error::from(io::ErrorKind::Interrupted).into()),
            _ = tokio::signal::ctrl_c() => Err(io::Error::from(io::ErrorKind::Interrupted).into()),
        }
    })
}

async fn all(programs: &Programs, size: Size, plan: &Plan) -> Result<Sample, Failed> {
    let mut fleet = Fleet::start(programs, size).await?;
    sleep(plan.settle).await;
    let mut figures = Figures::new();
    for _ in 0..plan.windows {
        let before = fleet.look()?;
        sleep(plan.window).await;
        fleet.look()?.rest(&before, size, &mut figures);
    }
    let mut reached = Vec::new();
    for _ in 0..2 {
        fleet
            .change(plan.changes, &mut figures, &mut reached)
            .await?;
    }
    for batch in 0..2 {
        fleet.load(batch, plan.requests, &mut figures).await?;
    }
    for batch in 0..2 {
        fleet.churn(batch, plan.instances, &mut figures).await?;
        fleet.snapshots(plan.snapshots, &mut figures).await?;
    }
    let last = fleet.look()?;
    for (name, most) in ["store, most KiB", "registry, most KiB", "proxy, most KiB"]
        .into_iter()
        .zip(last.most)
    {
        note(&mut figures, name, most);
    }
    let unheard = fleet.counts.unheard.load(Ordering::Relaxed);
    Ok(Sample {
        size,
        figures,
        reached,
        unheard,
    })
}

fn note(figures: &mut Figures, name: &'static str, value: f64) {
    figures.entry(name).or_default().push(value);
}

/// All that runs.
struct Fleet {
    size: Size,
    places: Places,
    counts: Arc<Counts>,
    stores: Vec<Process>,
    registries: Vec<Process>,
    proxy: Process,
    ver: u64,
    /// Kept until the processes have ended, as fields are dropped in their order.
    _folder: tempfile::TempDir,
}

/// What was seen at one time; by role: stores and lookouts (means), the proxy.
struct Look {
    at: Instant,
    cpu: [f64; 3],
    memory: [f64; 3],
    most: [f64; 3],
    told: u64,
    said: u64,
    beats: u64,
    between: Option<[f64; 2]>,
}

impl Fleet {
    async fn start(programs: &Programs, size: Size) -> Result<Fleet, Failed> {
        let places = places()?;
        let folder = tempfile::tempdir()?;
        let file = |machine: Ipv4Addr, disk: bool| {
            let path = folder.path().join(format!("{machine}.toml"));
            let data = folder.path().join(format!("{machine}"));
            std::fs::write(
                &path,
                texts::settings(&places, machine, disk.then_some(data.as_path())),
            )?;
            io::Result::Ok(path)
        };
        let (mut stores, mut registries) = (Vec::new(), Vec::new());
        for core in &places.cores {
            let settings = file(*core, true)?;
            stores.push(Process::start(&programs.store, &settings)?);
            registries.push(Process::start(&programs.registry, &settings)?);
        }
        let until = Instant::now() + LONG;
        let configuration = texts::configuration(&size);
        while !patch(places.ctl(places.cores[0]), &configuration).await {
            in_time(until, "the first configuration")?;
            sleep(APART).await;
        }
        let proxy = Process::start(&programs.proxy, &file(places.edge, false)?)?;
        let counts = Arc::<Counts>::default();
        hollow::stand_ins(STAND_INS, &places, &counts).await?;
        for number in 0..size.servers {
            let address = SocketAddr::from((
                [127, 1, (number / 250) as u8, (number % 250 + 1) as u8],
                9_000,
            ));
            let service = format!("svc-{}", number % size.services.max(1));
            hollow::server(
                format!("i-{number:08x}"),
                service,
                address,
                number,
                &places,
                &counts,
            );
        }
        (0..size.limiters).for_each(|number| hollow::limiter(number, &places, &counts));
        let sessions = 2 * size.limiters as u64;
        let servers = (size.servers + STAND_INS) as u64;
        while counts.sessions.load(Ordering::Relaxed) < sessions
            || counts.beats.load(Ordering::Relaxed) < servers
            || counts
                .of(1)
                .is_none_or(|seen| seen.limiters < size.limiters)
            || !ready(places.readyz()).await
        {
            in_time(until, "sessions, beats and the proxy")?;
            sleep(10 * LOOK).await;
        }
        Ok(Fleet {
            size,
            places,
            counts,
            stores,
            registries,
            proxy,
            ver: 1,
            _folder: folder,
        })
    }

    fn look(&self) -> io::Result<Look> {
        let mean =
            |processes: &[Process], of: fn(&Process) -> io::Result<f64>| -> io::Result<f64> {
                let values = processes.iter().map(of).collect::<io::Result<Vec<f64>>>()?;
                Ok(values.iter().sum::<f64>() / values.len() as f64)
            };
        let roles = |of: fn(&Process) -> io::Result<f64>| {
            io::Result::Ok([
                mean(&self.stores, of)?,
                mean(&self.registries, of)?,
                of(&self.proxy)?,
            ])
        };
        let count = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        let between = process::sent().map(|sent| {
            let all = |processes: &[Process], port: u16| {
                let own = processes
                    .iter()
                    .filter_map(|process| sent.get(&(process.id(), port)));
                own.sum::<u64>() as f64 / processes.len() as f64
            };
            [
                all(&self.stores, self.places.store_port()),
                all(&self.registries, self.places.store_port() + 1),
            ]
        });
        Ok(Look {
            // Next to the times of the processors, which are what is divided by it.
            at: Instant::now(),
            cpu: roles(Process::cpu)?,
            memory: roles(|process| Ok(process.memory()?.0))?,
            most: roles(|process| Ok(process.memory()?.1))?,
            told: count(&self.counts.told),
            said: count(&self.counts.said),
            beats: count(&self.counts.beats),
            between,
        })
    }

    /// Changes one item so often, one after the other, and sees when all limiters have it.
    async fn change(
        &mut self,
        count: usize,
        figures: &mut Figures,
        reached: &mut Vec<usize>,
    ) -> Result<(), Failed> {
        let before = self.look()?;
        for _ in 0..count {
            self.ver += 1;
            let until = Instant::now() + LONG;
            let core = self.places.cores[self.ver as usize % self.places.cores.len()];
            while !patch(self.places.ctl(core), &texts::change(self.ver)).await {
                in_time(until, "an acknowledgement of a change")?;
                sleep(LOOK).await;
            }
            let acknowledged = Instant::now();
            let seen = loop {
                match self
                    .counts
                    .of(self.ver)
                    .filter(|seen| seen.limiters >= self.size.limiters)
                {
                    Some(seen) => break seen,
                    None => in_time(until, "a change at all limiters")?,
                }
                sleep(LOOK / 5).await;
            };
            reached.push(seen.limiters);
            let late = seen.last.saturating_duration_since(acknowledged);
            note(
                figures,
                "change: last limiter after acknowledgement, ms",
                late.as_secs_f64() * 1e3,
            );
            sleep(APART).await;
        }
        self.look()?.changes(&before, count, self.size, figures);
        Ok(())
    }

    /// Servers that start, one after the other.
    async fn churn(&self, batch: usize, count: usize, figures: &mut Figures) -> Result<(), Failed> {
        let before = self.look()?;
        let mut connection = Connection::open(self.places.ctl(self.places.cores[batch])).await?;
        for number in 0..count {
            let address = SocketAddr::from(([127, 2, batch as u8, (number + 1) as u8], 9_000));
            let body = texts::beat("svc-0", address, batch, 1);
            let line = format!("POST /instances/new-{batch}-{number}/heartbeat");
            let answer = connection
                .call(
                    &line,
                    "Host: ctl\r\nContent-Type: application/json\r\n",
                    &body,
                )
                .await?;
            if answer.status() != 200 {
                return Err(Failed::Late("an acknowledgement of a new server"));
            }
            sleep(LOOK).await;
        }
        // Until the last one is told.
        sleep(APART / 2).await;
        let after = self.look()?;
        let count = count as f64;
        after.beyond(
            &before,
            count,
            [
                "",
                "registry: CPU for a new server, ms",
                "proxy: CPU for a new server, ms",
            ],
            figures,
        );
        let told = (after.told - before.told) as f64 / self.size.limiters as f64;
        let rest = mean(figures, "limiter: told at rest, bytes/s") * after.seconds(&before);
        note(
            figures,
            "limiter: told for a new server, bytes",
            (told - rest) / count,
        );
        Ok(())
    }

    /// Limiters that know nothing, one after the other.
    async fn snapshots(&self, count: usize, figures: &mut Figures) -> Result<(), Failed> {
        let before = self.look()?;
        for number in 0..count {
            let core = self.places.cores[number % self.places.cores.len()];
            let bytes = hollow::snapshot(self.places.registry(core))
                .await
                .map_err(io::Error::other)?;
            note(figures, "limiter: a snapshot, bytes", bytes as f64);
        }
        let each = count as f64 / self.places.cores.len() as f64;
        self.look()?.beyond(
            &before,
            each,
            ["", "registry: CPU for a snapshot, ms", ""],
            figures,
        );
        Ok(())
    }

    /// A closed loop of a few clients through the proxy.
    async fn load(
        &self,
        batch: usize,
        bound: (usize, Duration),
        figures: &mut Figures,
    ) -> Result<(), Failed> {
        let before = self.look()?;
        let clients: Vec<_> = (0..CLIENTS)
            .map(|number| {
                let (at, name) = (self.places.http(), format!("t-{batch}-{number}"));
                tokio::spawn(async move { hollow::client(at, &name, bound.0, bound.1).await })
            })
            .collect();
        let mut done = 0;
        for client in clients {
            done += client.await.unwrap_or(0);
        }
        if done == 0 {
            return Err(Failed::Late("an answer through the proxy"));
        }
        let after = self.look()?;
        let rest = mean(figures, REST[2]);
        let spent = (after.cpu[2] - before.cpu[2]) * 1e3 - rest * after.seconds(&before);
        note(
            figures,
            "proxy: CPU for a request, us",
            spent * 1e3 / done as f64,
        );
        note(figures, "proxy: requests answered in a batch", done as f64);
        Ok(())
    }
}

impl Look {
    fn seconds(&self, before: &Look) -> f64 {
        (self.at - before.at).as_secs_f64()
    }

    /// The time of each role for each of so many, beyond what it needs at rest; without a name, not noted.
    fn beyond(&self, before: &Look, count: f64, names: [&'static str; 3], figures: &mut Figures) {
        for (role, name) in names
            .into_iter()
            .enumerate()
            .filter(|(_, name)| !name.is_empty())
        {
            let spent = (self.cpu[role] - before.cpu[role]) * 1e3;
            note(
                figures,
                name,
                (spent - mean(figures, REST[role]) * self.seconds(before)) / count,
            );
        }
    }

    /// What it costs that nothing happens but beats and pulses.
    fn rest(&self, before: &Look, size: Size, figures: &mut Figures) {
        let seconds = self.seconds(before);
        for (role, name) in REST.into_iter().enumerate() {
            note(
                figures,
                name,
                (self.cpu[role] - before.cpu[role]) * 1e3 / seconds,
            );
        }
        for (role, name) in ["store: RSS, KiB", "registry: RSS, KiB", "proxy: RSS, KiB"]
            .into_iter()
            .enumerate()
        {
            note(figures, name, self.memory[role]);
        }
        let each = |now: u64, then: u64| (now - then) as f64 / seconds / size.limiters as f64;
        note(
            figures,
            "limiter: told at rest, bytes/s",
            each(self.told, before.told),
        );
        note(
            figures,
            "limiter: said at rest, bytes/s",
            each(self.said, before.said),
        );
        note(
            figures,
            "all: beats acknowledged, 1/s",
            (self.beats - before.beats) as f64 / seconds,
        );
        if let Some((now, then)) = self.between.zip(before.between) {
            note(
                figures,
                "store: to other stores at rest, bytes/s",
                (now[0] - then[0]) / seconds,
            );
            note(
                figures,
                "registry: to other registries at rest, bytes/s",
                (now[1] - then[1]) / seconds,
            );
        }
    }

    /// What a change costs beyond that.
    fn changes(&self, before: &Look, count: usize, size: Size, figures: &mut Figures) {
        let (seconds, count) = (self.seconds(before), count as f64);
        let names = [
            "store: CPU for a change, ms",
            "registry: CPU for a change, ms",
            "proxy: CPU for a change, ms",
        ];
        self.beyond(before, count, names, figures);
        let told = (self.told - before.told) as f64 / size.limiters as f64;
        let rest = mean(figures, "limiter: told at rest, bytes/s") * seconds;
        note(
            figures,
            "limiter: told for a change, bytes",
            (told - rest) / count,
        );
        if let Some((now, then)) = self.between.zip(before.between) {
            let rest = mean(figures, "store: to other stores at rest, bytes/s") * seconds;
            note(
                figures,
                "store: to other stores for a change, bytes",
                (now[0] - then[0] - rest) / count,
            );
        }
    }
}

fn mean(figures: &Figures, name: &str) -> f64 {
    figures.get(name).map_or(0.0, |values| {
        values.iter().sum::<f64>() / values.len() as f64
    })
}

fn in_time(until: Instant, what: &'static str) -> Result<(), Failed> {
    if Instant::now() < until {
        Ok(())
    } else {
        Err(Failed::Late(what))
    }
}

async fn patch(at: SocketAddr, body: &str) -> bool {
    let answered = async {
        let fields = "Host: ctl\r\nContent-Type: application/json\r\n";
        Connection::open(at)
            .await?
            .call("POST /config/patch", fields, body)
            .await
    };
    answered.await.is_ok_and(|answer| answer.status() == 200)
}

async fn ready(at: SocketAddr) -> bool {
    let answered = async {
        Connection::open(at)
            .await?
            .call("GET /readyz", "Host: readyz\r\n", "")
            .await
    };
    answered.await.is_ok_and(|answer| answer.status() == 200)
}

/// Places whose ports are free now.
fn places() -> io::Result<Places> {
    let cores: Vec<Ipv4Addr> = (31..=33)
        .map(|host| Ipv4Addr::new(127, 0, 0, host))
        .collect();
    let edge = Ipv4Addr::new(127, 0, 0, 41);
    for _ in 0..32 {
        let port = TcpListener::bind((cores[0], 0))?.local_addr()?.port();
        let Some(last) = port.checked_add(4) else {
            continue;
        };
        let free = |ip: &Ipv4Addr| (port..=last).all(|port| TcpListener::bind((*ip, port)).is_ok());
        if cores.iter().chain([&edge]).all(free) {
            return Ok(Places { cores, edge, port });
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}
