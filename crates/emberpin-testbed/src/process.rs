//! Limiters as processes of their own: starts, watches, kills and measures them. Apart from signals, the testbed
//! reaches a limiter through sockets only.

use crate::error::{LimiterError, LimiterFile};
use crate::http::Wire;
use crate::scenario::Site;
use crate::settings;
use crate::trace::{EventKind, ProcessEnd, Recorder};
use nix::sys::signal::{kill, Signal};
use nix::time::clock_getcpuclockid;
use nix::unistd::Pid;
use serde::Serialize;
use serde_json::{json, Value};
use std::cell::{Cell, RefCell};
use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::process::{Child, Command};
use tokio::sync::watch;
use tokio::task::spawn_local;

/// Time-out of a limiter's start, far longer than a start takes on any machine; only a failure reaches it.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Time-out of a graceful shutdown, after which SIGKILL follows SIGTERM: longer than the longest deadline.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(3700);

/// The program that runs as the limiter.
#[derive(Clone, Debug)]
pub struct Program {
    /// Path of the executable.
    pub path: PathBuf,
    /// Arguments of the command.
    pub arguments: Vec<OsString>,
    /// Whether each limiter has a durable log (its write-ahead log on disk), initialised before its first start and
    /// deleted after the run. Not the text that a limiter writes to standard error, which is always captured.
    pub durable_log: bool,
    /// Whether the limiters are connected by stream links in addition to the peer network. A network split between
    /// limiters cuts both.
    pub links: bool,
}

/// Resource usage of a limiter over all incarnations of its process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Usage {
    /// Processor time, user and system, in milliseconds.
    pub cpu_ms: f64,
    /// Largest resident set, in KiB.
    pub peak_kib: u64,
    /// Number of starts.
    pub starts: u32,
}

/// One limiter.
pub struct Limiter {
    /// The limiter's number, from 0.
    pub number: usize,
    /// The address that clients connect to.
    pub address: SocketAddr,
    recorder: Recorder,
    program: Program,
    folder: PathBuf,
    seed: Cell<u64>,
    usage: Cell<Usage>,
    /// Processor time of the earlier incarnations, in milliseconds.
    previous_cpu_ms: Cell<f64>,
    pid: Cell<Option<u32>>,
    expected_end: Cell<Option<ProcessEnd>>,
    ended: watch::Sender<bool>,
    /// The last line on standard error before the latest unexpected exit of a ready limiter; empty if there was none.
    last_stderr_line: RefCell<String>,
    /// The point of the code at which the next incarnation stops, as `POINT:N`; consumed by the next start.
    stop_point: RefCell<Option<String>>,
    /// The fault of the disk that holds the durable log, as `KIND:N`; it applies to every incarnation.
    disk_fault: RefCell<Option<String>>,
}

impl Limiter {
    /// Creates a limiter that is not started yet.
    pub fn new(
        number: usize,
        address: SocketAddr,
        recorder: Recorder,
        program: Program,
        folder: &Path,
        seed: u64,
    ) -> Rc<Limiter> {
        Rc::new(Limiter {
            number,
            address,
            recorder,
            program,
            folder: folder.to_path_buf(),
            seed: Cell::new(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ number as u64),
            usage: Cell::default(),
            previous_cpu_ms: Cell::new(0.0),
            pid: Cell::new(None),
            expected_end: Cell::new(None),
            ended: watch::Sender::new(true),
            last_stderr_line: RefCell::default(),
            stop_point: RefCell::default(),
            disk_fault: RefCell::default(),
        })
    }

    /// Starts the process with this configuration. Returns `true` once it is ready, `false` if it was killed before.
    ///
    /// # Errors
    ///
    /// [`LimiterError`] if the process does not start or does not become ready.
    pub async fn start(self: &Rc<Self>, config: Value) -> Result<bool, LimiterError> {
        let number = self.number;
        let file = self.folder.join(format!("limiter-{number}.json"));
        let stderr_path = self.folder.join(format!("limiter-{number}.log"));
        std::fs::write(&file, config.to_string())
            .map_err(self.file_error(LimiterFile::Configuration))?;
        let stderr_file = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&stderr_path);
        let stderr_file = stderr_file.map_err(self.file_error(LimiterFile::Log))?;
        let durable_log_arguments = self.durable_log_arguments(&file)?;
        let mut child = Command::new(&self.program.path)
            .args(&self.program.arguments)
            .args(durable_log_arguments)
            .env("GW_CONFIG", &file)
            .envs(
                self.stop_point
                    .borrow_mut()
                    .take()
                    .map(|point| ("EMBERPIN_STOP_AT", point)),
            )
            .envs(
                self.disk_fault
                    .borrow()
                    .clone()
                    .map(|fault| ("EMBERPIN_DISK", fault)),
            )
            // The limiter creates this file when its disk fault first takes effect.
            .env("EMBERPIN_DISK_SAID", self.disk_fault_marker())
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(stderr_file)
            .kill_on_drop(true)
            .spawn()
            .map_err(|source| self.spawn_error(source))?;
        self.pid.set(child.id());
        self.expected_end.set(None);
        self.ended.send_replace(false);
        let mut usage = self.usage.get();
        usage.starts += 1;
        self.usage.set(usage);
        let ready = async {
            while !self.is_ready().await {
                tokio::time::sleep(Duration::from_millis(2)).await;
            }
        };
        let started = tokio::select! {
            ended = child.wait() => {
                let stderr_text = std::fs::read_to_string(&stderr_path).unwrap_or_default();
                Err(LimiterError::Ended {
                    number,
                    status: format!("{ended:?}"),
                    last_line: stderr_text.lines().last().unwrap_or("nothing").to_string(),
                })
            }
            late = tokio::time::timeout(START_TIMEOUT, ready) => {
                late.map_err(|_| LimiterError::NotReady { number, seconds: START_TIMEOUT.as_secs() })
            }
        };
        if let Err(problem) = started {
            // Nothing waits for the exit any more; dropping the handle kills the process if it still runs.
            self.pid.set(None);
            self.ended.send_replace(true);
            return match self.expected_end.get() {
                Some(ProcessEnd::Killed) => Ok(false),
                _ => Err(problem),
            };
        }
        self.recorder
            .record(EventKind::LimiterReady { limiter: number });
        spawn_local(self.clone().watch(child, stderr_path));
        Ok(true)
    }

    /// For `map_err`: a file of this limiter could not be created.
    fn file_error(&self, file: LimiterFile) -> impl FnOnce(std::io::Error) -> LimiterError {
        let number = self.number;
        move |source| LimiterError::File {
            number,
            file,
            source,
        }
    }

    fn spawn_error(&self, source: std::io::Error) -> LimiterError {
        LimiterError::Spawn {
            number: self.number,
            program: self.program.path.clone(),
            source,
        }
    }

    /// The arguments that give the limiter a durable log; none if the program runs without one. Before the first start,
    /// initialises the log with `log init`, as an operator does.
    fn durable_log_arguments(&self, config: &Path) -> Result<Vec<OsString>, LimiterError> {
        if !self.program.durable_log {
            return Ok(Vec::new());
        }
        let file = self.folder.join("log.toml");
        let table = format!(
            "[log]\nfolder = \"{}/log-{{name}}\"\n",
            self.folder.display()
        );
        std::fs::write(&file, table).map_err(self.file_error(LimiterFile::Operator))?;
        let arguments = vec!["--with".into(), file.into_os_string()];
        if self.usage.get().starts == 0 {
            let log_init = std::process::Command::new(&self.program.path)
                .args(&self.program.arguments)
                .args(&arguments)
                .args(["log", "init"])
                .env("GW_CONFIG", config)
                .output();
            let log_init = log_init.map_err(|source| self.spawn_error(source))?;
            if !log_init.status.success() {
                return Err(LimiterError::LogInit {
                    number: self.number,
                    output: String::from_utf8_lossy(&log_init.stderr).trim().to_string(),
                });
            }
        }
        Ok(arguments)
    }

    /// Waits for the process to exit and records the exit, unless it was recorded when the testbed killed the process.
    /// Keeps the last line on standard error after an unexpected exit.
    async fn watch(self: Rc<Self>, mut child: Child, stderr_path: PathBuf) {
        _ = child.wait().await;
        let end = self.expected_end.get().unwrap_or(ProcessEnd::Crashed);
        if end == ProcessEnd::Crashed {
            let stderr_text = std::fs::read_to_string(stderr_path).unwrap_or_default();
            *self.last_stderr_line.borrow_mut() =
                stderr_text.lines().last().unwrap_or_default().to_string();
        }
        if end != ProcessEnd::Killed && end != ProcessEnd::Overdue {
            self.recorder.record(EventKind::LimiterStopped {
                limiter: self.number,
                end,
            });
        }
        self.pid.set(None);
        self.ended.send_replace(true);
    }

    async fn is_ready(&self) -> bool {
        let Ok(stream) = TcpStream::connect(self.address).await else {
            return false;
        };
        let mut wire = Wire::new(stream);
        let request =
            b"GET /health/ready HTTP/1.1\r\nHost: service.internal\r\nConnection: close\r\n\r\n";
        if wire.stream.write_all(request).await.is_err() {
            return false;
        }
        wire.read(true)
            .await
            .is_ok_and(|(head, _)| head.status == 200)
    }

    /// Kills the process with SIGKILL; returns when it has exited.
    pub async fn kill(&self) {
        // Recorded before the signal is sent, so that no effect of it precedes it in the trace.
        self.kill_as(ProcessEnd::Killed);
        self.wait_until_exited().await;
    }

    fn kill_as(&self, end: ProcessEnd) {
        self.measure();
        if self.pid.get().is_some() {
            self.expected_end.set(Some(end));
            self.recorder.record(EventKind::LimiterStopped {
                limiter: self.number,
                end,
            });
            self.signal(Signal::SIGKILL);
        }
    }

    /// Sends SIGTERM, and SIGKILL after the shutdown time-out; returns when the process has exited.
    pub async fn shut_down(&self) {
        if self.pid.get().is_some() {
            self.expected_end.set(Some(ProcessEnd::Left));
            self.recorder.record(EventKind::SigtermSent {
                limiter: self.number,
            });
            self.signal(Signal::SIGTERM);
        }
        if tokio::time::timeout(SHUTDOWN_TIMEOUT, self.wait_until_exited())
            .await
            .is_err()
        {
            self.kill_as(ProcessEnd::Overdue);
            self.wait_until_exited().await;
        }
    }

    async fn wait_until_exited(&self) {
        _ = self.ended.subscribe().wait_for(|ended| *ended).await;
        let mut usage = self.usage.get();
        usage.cpu_ms = usage.cpu_ms.max(self.previous_cpu_ms.get());
        self.usage.set(usage);
        self.previous_cpu_ms.set(usage.cpu_ms);
    }

    /// Sends SIGHUP.
    pub fn send_sighup(&self) {
        self.signal(Signal::SIGHUP);
    }

    /// Makes the next incarnation stop at a point of its code: `POINT:N`, the Nth time that the point is reached.
    pub fn stop_at_point(&self, point: &str) {
        *self.stop_point.borrow_mut() = Some(point.into());
    }

    /// Makes the disk that holds the durable log faulty: `KIND:N`, from the Nth append of each incarnation on.
    pub fn set_disk_fault(&self, disk_fault: &str) {
        *self.disk_fault.borrow_mut() = Some(disk_fault.into());
    }

    /// The file that the limiter creates once the disk fault has taken effect; passed to it in `EMBERPIN_DISK_SAID`.
    pub fn disk_fault_marker(&self) -> PathBuf {
        self.folder
            .join(format!("limiter-{}.disk-fault", self.number))
    }

    /// Pauses the process with SIGSTOP, or resumes it with SIGCONT.
    pub fn set_paused(&self, on: bool) {
        self.signal(if on { Signal::SIGSTOP } else { Signal::SIGCONT });
    }

    /// Whether the process is stopped by a signal (proc(5), state `T`).
    pub fn is_paused(&self) -> bool {
        let stat = self
            .pid
            .get()
            .and_then(|pid| std::fs::read_to_string(format!("/proc/{pid}/stat")).ok());
        stat.is_some_and(|stat| {
            stat.rsplit(") ")
                .next()
                .is_some_and(|rest| rest.starts_with('T'))
        })
    }

    fn signal(&self, signal: Signal) {
        if let Some(pid) = self.pid.get() {
            _ = kill(Pid::from_raw(pid as i32), signal);
        }
    }

    /// Reads the resource usage of the process and returns the total so far.
    pub fn measure(&self) -> Usage {
        if let Some((cpu_ms, peak_kib)) = self.pid.get().and_then(used) {
            let mut usage = self.usage.get();
            usage.cpu_ms = self.previous_cpu_ms.get() + cpu_ms;
            usage.peak_kib = usage.peak_kib.max(peak_kib);
            self.usage.set(usage);
        }
        self.usage.get()
    }

    /// The last line on standard error before the latest unexpected exit of a ready limiter; empty if there was none.
    pub fn last_stderr_line(&self) -> String {
        self.last_stderr_line.borrow().clone()
    }

    /// The platform's configuration file for the next start. The last parameter holds the address at which the limiter
    /// listens for its peers, the addresses at which it reaches each limiter, and the broadcast address to all of them.
    pub fn config(
        &self,
        site: &Site,
        discovery: SocketAddr,
        initial_list: Value,
        (peer_listen, peers, all_peers): (SocketAddr, Vec<SocketAddr>, SocketAddr),
    ) -> Value {
        let seed = self.seed.replace(self.seed.get().wrapping_add(1));
        json!({
            "name": format!("n{}", self.number), "listen": self.address, "discovery": discovery,
            "seed": format!("{seed:016x}"), "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "peer_listen": peer_listen, "peers": peers, "peers_all": all_peers, "known": initial_list,
            "settings": settings::settings(site, self.number),
        })
    }
}

/// Kills a process that is still running when the site is dropped.
impl Drop for Limiter {
    fn drop(&mut self) {
        self.signal(Signal::SIGKILL);
    }
}

/// Resource usage of a running process: processor time in milliseconds, from its own clock (`clock_getcpuclockid(3)`),
/// and the largest resident set in KiB (proc(5)).
pub fn used(pid: u32) -> Option<(f64, u64)> {
    let time = clock_getcpuclockid(Pid::from_raw(pid as i32))
        .and_then(nix::time::ClockId::now)
        .ok()?;
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let peak = status
        .lines()
        .find_map(|line| line.strip_prefix("VmHWM:"))?;
    let peak = peak.split_whitespace().next()?.parse().ok()?;
    Some((
        time.tv_sec() as f64 * 1000.0 + time.tv_nsec() as f64 / 1e6,
        peak,
    ))
}
