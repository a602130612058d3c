//! Shared code of the review's scripts: starts the gateway's programs as separate processes on loopback addresses, and
//! provides stand-ins for servers, clients and the operator. Standard library only; `build-2.sh` compiles it.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{exit, Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

extern "C" {
    fn prctl(option: i32, a: u64, b: u64, c: u64, d: u64) -> i32;
    fn kill(pid: i32, signal: i32) -> i32;
    fn waitpid(pid: i32, status: *mut i32, options: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// Exit codes of a script.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

/// Whether the run contains the disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// The record of a run: what was sent, answered and run, with the time since the start in seconds.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &str) -> Record {
        let file = File::create(path).expect("the record can be created");
        Record {
            start: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:8.3} {}\n", self.start.elapsed().as_secs_f64(), text.as_ref());
        print!("{line}");
        _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Waits for a condition; false if it does not hold in time.
pub fn wait_until(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + limit;
    loop {
        if condition() {
            return true;
        }
        if Instant::now() >= end {
            return false;
        }
        sleep(ms(20));
    }
}

/// A random number from the system, for ids.
pub fn random() -> u64 {
    let mut bytes = [0; 8];
    File::open("/dev/urandom")
        .and_then(|mut file| file.read_exact(&mut bytes))
        .expect("random bytes");
    u64::from_le_bytes(bytes)
}

// ---------------------------------------------------------------- the gateway

pub const ZONES: [&str; 3] = ["umea-hall", "lulea-hall", "skelleftea-hall"];
const PORTS_PER_MACHINE: u16 = 20;
const CTL: u16 = 16;
const HTTP: u16 = 17;
const READYZ: u16 = 18;
/// How many ports above a machine's first one its servers begin, on the address of their zone.
const SERVERS: u16 = 30;

pub struct Machine {
    pub name: String,
    pub ip: Ipv4Addr,
    pub zone: &'static str,
    is_core: bool,
}

/// The processes of the gateway. Dropping it kills them.
pub struct Gateway {
    pub core: Vec<Machine>,
    pub edges: Vec<Machine>,
    first_port: u16,
    next_server_port: u16,
    folder: PathBuf,
    coordination: bool,
    record: Record,
    processes: BTreeMap<String, Child>,
    commands: BTreeMap<String, Vec<String>>,
}

/// The commands of the deploy file, by role.
fn deploy_commands() -> BTreeMap<String, Vec<String>> {
    let text = fs::read_to_string("deploy/system.toml").unwrap_or_default();
    let (mut role, mut commands) = (String::new(), BTreeMap::new());
    for line in text.lines() {
        if let Some(rest) = line.strip_prefix("[roles.") {
            role = rest.trim_end_matches(']').to_string();
        } else if let Some(rest) = line.strip_prefix("run = \"") {
            let words = rest.trim_end_matches('"').split(' ').map(str::to_string);
            commands.insert(role.clone(), words.collect());
        }
    }
    commands
}

impl Gateway {
    /// Starts three core machines and `edges` proxies on free ports of loopback addresses.
    pub fn start(record: &Record, edges: usize, coordination: bool) -> Gateway {
        let seed = random();
        let net = 20 + (seed % 200) as u8;
        let machine = |class: &str, index: usize, first: u8| Machine {
            name: format!("{class}-{}-{}", ZONES[index % 3], index / 3 + 1),
            ip: Ipv4Addr::new(127, 0, net, first + index as u8),
            zone: ZONES[index % 3],
            is_core: class == "core",
        };
        let core: Vec<Machine> = (0..3).map(|index| machine("core", index, 11)).collect();
        let edges: Vec<Machine> = (0..edges).map(|index| machine("edge", index, 31)).collect();
        let folder = std::env::temp_dir().join(format!("review-{}-{seed:x}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let mut first_port = 12_000 + (seed >> 16) as u16 % 15_000;
        let is_free = |port: u16| {
            let mut machines = core.iter().chain(&edges);
            machines.all(|machine| {
                (port..port + PORTS_PER_MACHINE).all(|port| TcpListener::bind((machine.ip, port)).is_ok())
            })
        };
        while !is_free(first_port) {
            first_port = 12_000 + (first_port - 12_000 + 131) % 15_000;
        }
        let mut gateway = Gateway {
            core,
            edges,
            first_port,
            next_server_port: first_port + SERVERS,
            folder,
            coordination,
            record: record.clone(),
            processes: BTreeMap::new(),
            commands: deploy_commands(),
        };
        for index in 0..gateway.core.len() {
            gateway.start_core(index, true);
        }
        for index in 0..gateway.edges.len() {
            gateway.start_edge(index, true);
        }
        gateway
    }

    pub fn start_core(&mut self, index: usize, bootstrap: bool) {
        self.start_process("store", true, index, bootstrap);
        self.start_process("registry", true, index, bootstrap);
    }

    pub fn start_edge(&mut self, index: usize, bootstrap: bool) {
        self.start_process("proxy", false, index, bootstrap);
    }

    pub fn start_process(&mut self, role: &str, core: bool, index: usize, bootstrap: bool) {
        let machine = if core { &self.core[index] } else { &self.edges[index] };
        let key = format!("{role}-{index}");
        let settings = self.folder.join(format!("{key}.toml"));
        fs::write(&settings, self.settings(role, machine, bootstrap)).expect("settings");
        let log = File::options().create(true).append(true).open(self.folder.join(format!("{key}.log")));
        let log = log.expect("a log file");
        let Some(command) = self.commands.get(role) else {
            self.record.line(format!("deploy/system.toml has no role {role}"));
            exit(NOT_RUN);
        };
        let mut process = Command::new(&command[0]);
        process
            .args(&command[1..])
            .env("EMBERPIN_NODE_FILE", &settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log file"))
            .stderr(log);
        // Ends the process together with this one, however this one ends.
        unsafe {
            process.pre_exec(|| {
                prctl(1, SIGKILL as u64, 0, 0, 0);
                Ok(())
            });
        }
        match process.spawn() {
            Ok(child) => _ = self.processes.insert(key, child),
            Err(error) => {
                self.record.line(format!("{} does not start: {error}", command[0]));
                self.end();
                exit(NOT_RUN);
            }
        }
    }

    fn settings(&self, role: &str, machine: &Machine, bootstrap: bool) -> String {
        let (class, serves) = match role {
            "proxy" => ("edge", "\"edge\""),
            "registry" => ("core", "\"ctl\""),
            _ => ("core", ""),
        };
        let disk = self.folder.join(format!("disk-{}", machine.name));
        let datadir = if machine.is_core {
            fs::create_dir_all(&disk).expect("a disk folder");
            format!("datadir = \"{}\"\n", disk.display())
        } else {
            String::new()
        };
        let (ip, zone, port) = (machine.ip, machine.zone, self.first_port);
        let listen = match role {
            "proxy" => format!("http = \"{ip}:{}\"\nreadyz = \"{ip}:{}\"\n", port + HTTP, port + READYZ),
            "registry" => format!("ctl = \"{ip}:{}\"\n", port + CTL),
            _ => String::new(),
        };
        let seeds: Vec<String> = self.ctl().iter().map(|address| format!("\"{address}\"")).collect();
        let coord = if self.coordination { ",\"coord\"" } else { "" };
        let (nofile, mem, cpu) = if machine.is_core { (4096, 256, 0.15) } else { (4100, 260, 0.2) };
        format!(
            "[self]\nnodename = \"{}\"\nrole = \"{role}\"\nmclass = \"{class}\"\nserves = [{serves}]\nip = \"{ip}\"\n\
             az = \"{zone}\"\nrgn = \"norrland\"\nvoting = {}\nbootstrap = {bootstrap}\n{datadir}\
             [self.limits]\ncpu_quota = {cpu}\nncpu = 1\nmem_mb = {mem}\nnofile = {nofile}\nlink_mbps = 1000.0\ndisk_mb = {}\n\
             [network]\nport_range = [{port},{}]\nseeds = [{}]\n[network.listen]\n{listen}\
             [network.zones]\numea-hall = \"norrland\"\nlulea-hall = \"norrland\"\nskelleftea-hall = \"norrland\"\n\
             [infra]\ndisco = \"reg\"\ningress = \"lb\"\nhb = \"1300ms\"\ncfg_mode = \"parts\"\n\
             [defs]\ninvariants = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"places\"{coord}]\n\
             [defs.tolerance]\nnodes = 1\nzones = 1\nrgns = 0\n\
             [defs.bounds]\nseed_lag = \"3s\"\nreuse = \"2s\"\ncontact = \"3000ms\"\nack = \"5000ms\"\nsync_time = \"4s\"\n\
             drain = \"2500ms\"\ngrace = \"6s\"\nlost = \"200ms\"\napply = \"2500ms\"\nrevert = \"250ms\"\nskew = \"8000ms\"\n\
             retry_ratio = 0.2\nretry_win = \"10s\"\nretry_extra = 60\nwarm_excess = 1.5\nwarm_extra = 5\nevac = \"5000ms\"\n\
             recover = \"15s\"\nhistory = \"20s\"\nrelease = \"1500ms\"\n",
            machine.name,
            machine.is_core,
            if machine.is_core { 256 } else { 0 },
            port + 15,
            seeds.join(","),
        )
    }

    /// The addresses at which servers and the operator call the registries.
    pub fn ctl(&self) -> Vec<SocketAddr> {
        let address = |machine: &Machine| SocketAddr::from((machine.ip, self.first_port + CTL));
        self.core.iter().map(address).collect()
    }

    pub fn http(&self, edge: usize) -> SocketAddr {
        (self.edges[edge].ip, self.first_port + HTTP).into()
    }

    pub fn readyz(&self, edge: usize) -> SocketAddr {
        (self.edges[edge].ip, self.first_port + READYZ).into()
    }

    /// Sends a signal to a process, named by its role and the number of its machine, as `store-0`.
    pub fn signal(&self, key: &str, signal: i32) {
        if let Some(child) = self.processes.get(key) {
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Kills a process and waits for its end.
    pub fn kill(&mut self, key: &str) {
        if let Some(mut child) = self.processes.remove(key) {
            _ = child.kill();
            _ = child.wait();
        }
    }

    /// Whether a process has ended by itself.
    pub fn has_ended(&mut self, key: &str) -> bool {
        self.processes.get_mut(key).is_none_or(|child| child.try_wait().is_ok_and(|status| status.is_some()))
    }

    /// The folder of a core machine's disk.
    pub fn disk(&self, index: usize) -> PathBuf {
        self.folder.join(format!("disk-{}", self.core[index].name))
    }

    pub fn log(&self, key: &str) -> String {
        fs::read_to_string(self.folder.join(format!("{key}.log"))).unwrap_or_default()
    }

    /// An unused address for a server in a zone.
    pub fn server_address(&mut self, zone: &str) -> SocketAddr {
        let index = ZONES.iter().position(|known| *known == zone).unwrap_or(0);
        let ip = Ipv4Addr::new(127, 0, self.core[0].ip.octets()[2], 61 + index as u8);
        loop {
            self.next_server_port += 1;
            if TcpListener::bind((ip, self.next_server_port)).is_ok() {
                return (ip, self.next_server_port).into();
            }
        }
    }

    /// Waits until all proxies are ready; ends the run if they never are.
    pub fn wait_ready(&self) {
        let is_ready = |edge: usize| {
            call(self.readyz(edge), "GET", "/readyz", &[], b"", ms(500)).is_ok_and(|answer| answer.status == 200)
        };
        if !wait_until(ms(30_000), || (0..self.edges.len()).all(is_ready)) {
            self.record.line("the proxies never became ready");
            self.end_and_exit(NOT_RUN);
        }
        self.record.line("all proxies are ready");
    }

    /// Kills all processes, and waits for their ends.
    pub fn end(&self) {
        for child in self.processes.values() {
            unsafe { kill(child.id() as i32, SIGKILL) };
        }
        for child in self.processes.values() {
            unsafe { waitpid(child.id() as i32, std::ptr::null_mut(), 0) };
        }
    }

    pub fn end_and_exit(&self, code: i32) -> ! {
        self.end();
        if std::env::var("KEEP").is_err() {
            _ = fs::remove_dir_all(&self.folder);
        }
        exit(code)
    }
}

// ---------------------------------------------------------------- HTTP

#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The first line.
    pub start: String,
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let header = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        header.map(|(_, value)| value.as_str())
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }
}

fn ended(what: &str) -> io::Error {
    io::Error::new(io::ErrorKind::UnexpectedEof, what.to_string())
}

/// Reads a message whose body has a length or is chunked; `buffer` keeps what follows it.
pub fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Message> {
    let mut chunk = [0; 65_536];
    let head_end = loop {
        if let Some(end) = buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            break end;
        }
        let count = stream.read(&mut chunk)?;
        if count == 0 {
            return Err(ended(if buffer.is_empty() { "closed" } else { "closed within a head" }));
        }
        buffer.extend_from_slice(&chunk[..count]);
    };
    let head = String::from_utf8_lossy(&buffer[..head_end]).into_owned();
    buffer.drain(..head_end + 4);
    let mut lines = head.split("\r\n");
    let start = lines.next().unwrap_or_default().to_string();
    let headers = lines.filter_map(|line| line.split_once(':'));
    let headers = headers.map(|(name, value)| (name.trim().to_string(), value.trim().to_string())).collect();
    let mut message = Message {
        status: start.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0),
        start,
        headers,
        body: Vec::new(),
    };
    let mut fill = |buffer: &mut Vec<u8>| -> io::Result<()> {
        let count = stream.read(&mut chunk)?;
        if count == 0 {
            return Err(ended("closed within a body"));
        }
        buffer.extend_from_slice(&chunk[..count]);
        Ok(())
    };
    let chunked = message.header("transfer-encoding").is_some_and(|value| value.eq_ignore_ascii_case("chunked"));
    if chunked {
        loop {
            let line_end = loop {
                if let Some(end) = buffer.windows(2).position(|bytes| bytes == b"\r\n") {
                    break end;
                }
                fill(buffer)?;
            };
            let line = String::from_utf8_lossy(&buffer[..line_end]).into_owned();
            let size = usize::from_str_radix(line.trim(), 16).map_err(|_| ended("no chunk size"))?;
            while buffer.len() < line_end + 2 + size + 2 {
                fill(buffer)?;
            }
            message.body.extend_from_slice(&buffer[line_end + 2..line_end + 2 + size]);
            buffer.drain(..line_end + 2 + size + 2);
            if size == 0 {
                return Ok(message);
            }
        }
    }
    let length = message.header("content-length").and_then(|value| value.parse().ok()).unwrap_or(0usize);
    while buffer.len() < length {
        fill(buffer)?;
    }
    message.body = buffer.drain(..length).collect();
    Ok(message)
}

pub fn connect(to: SocketAddr, silence: Duration) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&to, ms(1_000))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(silence))?;
    Ok(stream)
}

pub fn request_bytes(method: &str, path: &str, host: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{method} {path} HTTP/1.1\r\nHost: {host}\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    if !body.is_empty() || method == "POST" {
        text += &format!("Content-Length: {}\r\n", body.len());
    }
    text += "\r\n";
    [text.as_bytes(), body].concat()
}

/// One call on a connection of its own.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    silence: Duration,
) -> io::Result<Message> {
    let host = headers.iter().find(|(name, _)| *name == "Host").map(|(_, value)| value.to_string());
    let others: Vec<(&str, &str)> = headers.iter().filter(|(name, _)| *name != "Host").copied().collect();
    let mut stream = connect(to, silence)?;
    stream.write_all(&request_bytes(method, path, &host.unwrap_or(to.to_string()), &others, body))?;
    read_message(&mut stream, &mut Vec::new())
}

/// Makes the next close of a connection a reset.
pub fn reset_on_close(stream: &TcpStream) {
    let linger = [1, 0];
    unsafe { setsockopt(stream.as_raw_fd(), 1, 13, linger.as_ptr(), 8) };
}

// ---------------------------------------------------------------- the operator

/// A call to the registries as the pages describe it: two redirects are followed, and the next registry is called after
/// a failure, a 5xx, a 408 or 429, or a second of silence. `None` if no clear answer came within `limit`.
pub fn order(ctl: &[SocketAddr], method: &str, path: &str, body: &str, limit: Duration) -> Option<Message> {
    let end = Instant::now() + limit;
    let mut pause = ms(50);
    for index in 0.. {
        let (mut to, mut path) = (ctl[index % ctl.len()], path.to_string());
        for _ in 0..3 {
            let headers = [("Content-Type", "application/json")];
            match call(to, method, &path, &headers, body.as_bytes(), ms(1_000)) {
                Ok(answer) if answer.status == 307 => {
                    let location = answer.header("location").unwrap_or_default();
                    let rest = location.strip_prefix("http://").unwrap_or_default();
                    let (address, target) = rest.split_once('/').unwrap_or((rest, ""));
                    let Ok(address) = address.parse() else { break };
                    (to, path) = (address, format!("/{target}"));
                }
                Ok(answer) if answer.status < 500 && answer.status != 408 && answer.status != 429 => {
                    return Some(answer);
                }
                _ => break,
            }
        }
        if Instant::now() + pause >= end {
            return None;
        }
        sleep(pause);
        pause = (pause * 2).min(ms(400));
    }
    None
}

// ---------------------------------------------------------------- servers

/// What a server does with a request that it runs.
pub enum Reply {
    /// An answer with the server's seal.
    Answer { status: u16, body: Vec<u8> },
    /// The connection is reset, without an answer.
    Reset,
    /// The handler has written the answer itself; the connection is kept.
    Written,
    /// The handler has written what it wanted; the connection is closed.
    Close,
}

type Handler = dyn Fn(&Message, &mut TcpStream) -> Reply + Send + Sync;

/// A stand-in server.
pub struct Server {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub zone: String,
    pub state: Arc<Mutex<&'static str>>,
    sequence: Arc<AtomicU64>,
    pub silent: Arc<AtomicBool>,
}

impl Server {
    /// Starts a server, which sends heartbeats and answers requests by `handler`.
    pub fn start(
        gateway: &mut Gateway,
        service: &str,
        zone: &str,
        slots: u32,
        handler: impl Fn(&Message, &mut TcpStream) -> Reply + Send + Sync + 'static,
    ) -> Server {
        let handler = Arc::new(handler) as Arc<Handler>;
        Server::start_raw(gateway, service, zone, slots, move |stream, id, state| {
            serve(stream, id, state, &*handler);
        })
    }

    /// Starts a server, which sends heartbeats and serves each connection by `serve`.
    pub fn start_raw(
        gateway: &mut Gateway,
        service: &str,
        zone: &str,
        slots: u32,
        serve: impl Fn(TcpStream, &str, &Mutex<&'static str>) + Send + Sync + 'static,
    ) -> Server {
        let address = gateway.server_address(zone);
        let server = Server {
            id: format!("i-{:08x}", random() as u32),
            service: service.into(),
            address,
            zone: zone.into(),
            state: Arc::new(Mutex::new("up")),
            sequence: Arc::default(),
            silent: Arc::default(),
        };
        let listener = TcpListener::bind(address).expect("a free port");
        let (id, state, serve) = (server.id.clone(), server.state.clone(), Arc::new(serve));
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let (id, state, serve) = (id.clone(), state.clone(), serve.clone());
                spawn(move || serve(stream, &id, &state));
            }
        });
        let ctl = gateway.ctl();
        let beat = server.beat(slots);
        let silent = server.silent.clone();
        spawn(move || loop {
            if !silent.load(Ordering::Relaxed) {
                let (path, body) = beat();
                for to in &ctl {
                    let sent = call(*to, "POST", &path, &[("Content-Type", "application/json")], body.as_bytes(), ms(1_000));
                    if sent.is_ok_and(|answer| answer.status == 200) {
                        break;
                    }
                }
            }
            sleep(ms(1_300));
        });
        server
    }

    /// Returns a function that words the next heartbeat.
    pub fn beat(&self, slots: u32) -> impl Fn() -> (String, String) + Send + 'static {
        let (id, address, service, zone) = (self.id.clone(), self.address, self.service.clone(), self.zone.clone());
        let (state, sequence) = (self.state.clone(), self.sequence.clone());
        move || {
            let seq = sequence.fetch_add(1, Ordering::Relaxed) + 1;
            let state = *state.lock().unwrap();
            let body = format!(
                "{{\"addr\":\"{address}\",\"sysinfo\":{{\"svc\":\"{service}\",\"ver\":\"v1\",\"az\":\"{zone}\",\"slots\":{slots}}},\
                 \"stat\":{{\"state\":\"{state}\",\"seq\":{seq},\"warm_left\":\"0ms\"}}}}"
            );
            (format!("/instances/{id}/heartbeat"), body)
        }
    }
}

/// The head and body of an answer with the seal.
pub fn answer_bytes(request: &Message, id: &str, status: u16, body: &[u8]) -> Vec<u8> {
    let try_id = request.header("try-id").unwrap_or_default();
    let head = format!(
        "HTTP/1.1 {status} X\r\nTry-Id: {try_id}\r\nSeal: {id}.{:x}\r\nContent-Length: {}\r\n\r\n",
        body.len(),
        body.len()
    );
    [head.as_bytes(), body].concat()
}

fn serve(mut stream: TcpStream, id: &str, state: &Mutex<&'static str>, handler: &Handler) {
    _ = stream.set_nodelay(true);
    let mut buffer = Vec::new();
    while let Ok(request) = read_message(&mut stream, &mut buffer) {
        let refuse = |status: u16, text: &str| {
            let try_id = request.header("try-id").map(|id| format!("Try-Id: {id}\r\n")).unwrap_or_default();
            format!("HTTP/1.1 {status} {text}\r\n{try_id}Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
        };
        if request.path() == "/healthz" {
            let status = if *state.lock().unwrap() == "up" { 200 } else { 503 };
            let answer = format!("HTTP/1.1 {status} X\r\nInstance: {id}\r\nContent-Length: 0\r\n\r\n");
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        let refusal = if request.header("want-instance").is_some_and(|wanted| wanted != id) {
            Some(refuse(421, "Misdirected"))
        } else if request.header("try-id").is_none() {
            Some(refuse(400, "No id"))
        } else {
            None
        };
        if let Some(refusal) = refusal {
            if stream.write_all(refusal.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        match handler(&request, &mut stream) {
            Reply::Answer { status, body } => {
                if stream.write_all(&answer_bytes(&request, id, status, &body)).is_err() {
                    return;
                }
            }
            Reply::Written => {}
            Reply::Reset => return reset_on_close(&stream),
            Reply::Close => return,
        }
    }
}
