//! Runs limiters as separate processes: starts, kills and measures them, and records their exits. Apart from signals,
//! the testbed reaches a running limiter through sockets only.

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

/// Time-out of a limiter's start, far longer than a start takes on any machine, so that only a failed start exceeds it.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Time-out of a graceful shutdown, after which SIGKILL follows SIGTERM: longer than the longest deadline
/// of a request.
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
    /// The folder for the files of the run.
    folder: PathBuf,
    /// The seed of the next incarnation.
    seed: Cell<u64>,
    usage: Cell<Usage>,
    /// Processor time of the earlier incarnations, in milliseconds.
    previous_cpu_ms: Cell<f64>,
    pid: Cell<Option<u32>>,
    /// How the testbed is ending the current incarnation; `None` if it is not, so that an exit is a crash.
    expected_end: Cell<Option<ProcessEnd>>,
    /// Whether no process is running: before the first start, and from each exit until the next start.
    exited: watch::Sender<bool>,
    /// The last line on standard error before the latest unexpected exit of a ready limiter; empty if there was none.
    last_stderr_line: RefCell<String>,
    /// Where the next incarnation pauses itself with SIGSTOP, as `POINT:N` (see [`Limiter::stop_at_point`]); consumed
    /// by the next start.
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
            exited: watch::Sender::new(true),
            last_stderr_line: RefCell::default(),
            stop_point: RefCell::default(),
            disk_fault: RefCell::default(),
        })
    }

    /// Starts the process with this configuration. Returns `true` once it is ready, and `false` if a fault killed it
    /// before it was ready.
    ///
    /// # Errors
    ///
    /// [`LimiterError`] if the process does not start or does not become ready.
    pub async fn start(self: &Rc<Self>, config: Value) -> Result<bool, LimiterError> {
        let number = self.number;
        let config_path = self.folder.join(format!("limiter-{number}.json"));
        let stderr_path = self.folder.join(format!("limiter-{number}.log"));
        std::fs::write(&config_path, config.to_string())
            .map_err(self.file_error(LimiterFile::Configuration))?;
        let stderr_file = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&stderr_path);
        let stderr_file = stderr_file.map_err(self.file_error(LimiterFile::Stderr))?;
        let durable_log_arguments = self.durable_log_arguments(&config_path)?;
        let mut child = Command::new(&self.program.path)
            .args(&self.program.arguments)
            .args(durable_log_arguments)
            .env("GW_CONFIG", &config_path)
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
            // The path of a marker file, which the limiter creates when its disk fault first takes effect.
            .env("EMBERPIN_DISK_SAID", self.disk_fault_marker())
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(stderr_file)
            .kill_on_drop(true)
            .spawn()
            .map_err(|source| self.spawn_error(source))?;
        self.pid.set(child.id());
        self.expected_end.set(None);
        self.exited.send_replace(false);
        let mut usage = self.usage.get();
        usage.starts += 1;
        self.usage.set(usage);
        let ready = async {
            while !self.is_ready().await {
                tokio::time::sleep(Duration::from_millis(2)).await;
            }
        };
        let started = tokio::select! {
            exit_status = child.wait() => {
                let stderr_text = std::fs::read_to_string(&stderr_path).unwrap_or_default();
                Err(LimiterError::Ended {
                    number,
                    status: format!("{exit_status:?}"),
                    last_line: stderr_text.lines().last().unwrap_or("nothing").to_string(),
                })
            }
            ready_in_time = tokio::time::timeout(START_TIMEOUT, ready) => {
                ready_in_time.map_err(|_| LimiterError::NotReady { number, seconds: START_TIMEOUT.as_secs() })
            }
        };
        if let Err(error) = started {
            // No task waits for the exit; returning drops `child`, which kills a process that still runs.
            self.pid.set(None);
            self.exited.send_replace(true);
            return match self.expected_end.get() {
                Some(ProcessEnd::Killed) => Ok(false),
                _ => Err(error),
            };
        }
        self.recorder
            .record(EventKind::LimiterReady { limiter: number });
        spawn_local(self.clone().record_exit(child, stderr_path));
        Ok(true)
    }

    /// Returns a function for `map_err` that turns an I/O error into the error that this file could not be created.
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
    fn durable_log_arguments(&self, config_path: &Path) -> Result<Vec<OsString>, LimiterError> {
        if !self.program.durable_log {
            return Ok(Vec::new());
        }
        let operator_file = self.folder.join("log.toml");
        let table = format!(
            "[log]\nfolder = \"{}/log-{{name}}\"\n",
            self.folder.display()
        );
        std::fs::write(&operator_file, table)
            .map_err(self.file_error(LimiterFile::OperatorFile))?;
        let arguments = vec!["--with".into(), operator_file.into_os_string()];
        if self.usage.get().starts == 0 {
            let log_init = std::process::Command::new(&self.program.path)
                .args(&self.program.arguments)
                .args(&arguments)
                .args(["log", "init"])
                .env("GW_CONFIG", config_path)
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

    /// Waits for the process to exit and records the exit, unless `kill_as` has recorded it already. After an
    /// unexpected exit, stores the last line of standard error.
    async fn record_exit(self: Rc<Self>, mut child: Child, stderr_path: PathBuf) {
        _ = child.wait().await;
        let end = self.expected_end.get().unwrap_or(ProcessEnd::Crashed);
        if end == ProcessEnd::Crashed {
            let stderr_text = std::fs::read_to_string(stderr_path).unwrap_or_default();
            *self.last_stderr_line.borrow_mut() =
                stderr_text.lines().last().unwrap_or_default().to_string();
        }
        if end != ProcessEnd::Killed && end != ProcessEnd::ShutdownTimedOut {
            self.recorder.record(EventKind::LimiterStopped {
                limiter: self.number,
                end,
            });
        }
        self.pid.set(None);
        self.exited.send_replace(true);
    }

    /// Whether the limiter answers `GET /health/ready` with status 200.
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
        // The exit is recorded before the signal is sent, so that it precedes all effects of the kill in the trace.
        self.kill_as(ProcessEnd::Killed);
        self.wait_until_exited().await;
    }

    /// Sends SIGKILL to the process, if it is running, and records this kind of end.
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
            self.expected_end.set(Some(ProcessEnd::ShutDown));
            self.recorder.record(EventKind::SigtermSent {
                limiter: self.number,
            });
            self.signal(Signal::SIGTERM);
        }
        if tokio::time::timeout(SHUTDOWN_TIMEOUT, self.wait_until_exited())
            .await
            .is_err()
        {
            self.kill_as(ProcessEnd::ShutdownTimedOut);
            self.wait_until_exited().await;
        }
    }

    /// Waits until the process has exited. Then the total processor time as of the last [`Limiter::measure`] becomes
    /// that of the earlier incarnations.
    async fn wait_until_exited(&self) {
        _ = self.exited.subscribe().wait_for(|exited| *exited).await;
        let mut usage = self.usage.get();
        usage.cpu_ms = usage.cpu_ms.max(self.previous_cpu_ms.get());
        self.usage.set(usage);
        self.previous_cpu_ms.set(usage.cpu_ms);
    }

    /// Sends SIGHUP.
    pub fn send_sighup(&self) {
        self.signal(Signal::SIGHUP);
    }

    /// Makes the next incarnation pause itself with SIGSTOP at a point of its code. `point` has the format `POINT:N`:
    /// the limiter pauses when it reaches the point for the Nth time, and stays paused until it is resumed or killed.
    pub fn stop_at_point(&self, point: &str) {
        *self.stop_point.borrow_mut() = Some(point.into());
    }

    /// Makes the disk that holds the durable log faulty. `disk_fault` has the format `KIND:N`: a fault of this kind
    /// from the Nth append of each incarnation on.
    pub fn set_disk_fault(&self, disk_fault: &str) {
        *self.disk_fault.borrow_mut() = Some(disk_fault.into());
    }

    /// The marker file that the limiter creates once its disk fault has taken effect; its path is passed to the limiter
    /// in `EMBERPIN_DISK_SAID`.
    pub fn disk_fault_marker(&self) -> PathBuf {
        self.folder
            .join(format!("limiter-{}.disk-fault", self.number))
    }

    /// Pauses the process with SIGSTOP, or resumes it with SIGCONT.
    pub fn set_paused(&self, paused: bool) {
        self.signal(if paused {
            Signal::SIGSTOP
        } else {
            Signal::SIGCONT
        });
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
        if let Some((cpu_ms, peak_kib)) = self.pid.get().and_then(resource_usage) {
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

    /// Returns the contents of the platform's configuration file for the next start; each call uses a new seed. The
    /// last parameter is the result of [`PeerNetwork::addresses`](crate::peers::PeerNetwork::addresses).
    pub fn config(
        &self,
        site: &Site,
        discovery: SocketAddr,
        initial_list: Value,
        (listen_address, peer_addresses, broadcast_address): (
            SocketAddr,
            Vec<SocketAddr>,
            SocketAddr,
        ),
    ) -> Value {
        let seed = self.seed.replace(self.seed.get().wrapping_add(1));
        json!({
            "name": format!("n{}", self.number), "listen": self.address, "discovery": discovery,
            "seed": format!("{seed:016x}"), "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "peer_listen": listen_address, "peers": peer_addresses, "peers_all": broadcast_address, "known": initial_list,
            "settings": settings::settings(site, self.number),
        })
    }
}

/// Kills the process if it is still running when the site is dropped.
impl Drop for Limiter {
    fn drop(&mut self) {
        self.signal(Signal::SIGKILL);
    }
}

/// Resource usage of a running process: its processor time in milliseconds (`clock_getcpuclockid(3)`) and its largest
/// resident set in KiB (`VmHWM`, proc(5)). `None` if the process has exited.
pub fn resource_usage(pid: u32) -> Option<(f64, u64)> {
    let cpu_time = clock_getcpuclockid(Pid::from_raw(pid as i32))
        .and_then(nix::time::ClockId::now)
        .ok()?;
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let peak_line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmHWM:"))?;
    let peak_kib = peak_line.split_whitespace().next()?.parse().ok()?;
    Some((
        cpu_time.tv_sec() as f64 * 1000.0 + cpu_time.tv_nsec() as f64 / 1e6,
        peak_kib,
    ))
}
