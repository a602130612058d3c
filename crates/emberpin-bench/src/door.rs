//! Measures the response time of the limiter's operator interface (the setting `ops`): while the limiter is idle, under
//! the load of closed-loop clients, and under this load while further callers hold connections to the operator
//! interface without sending anything. A call to the clients' address under the same load is measured for comparison.

use crate::measure::{Subject, SubjectProcess};
use crate::{settings, standins, AS_LIMITER};
use comfy_table::presets::UTF8_HORIZONTAL_ONLY;
use comfy_table::Table;
use emberpin_testbed::report::percentile;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// The number of servers.
const SERVERS: usize = 9;
/// Connections of the clients that generate the load: far more requests than one core can answer.
const CONNECTIONS: usize = 128;
/// The load is generated in periods of this length, and ends after the one in which the calls end.
const LOAD_PERIOD: Duration = Duration::from_millis(500);
/// The time-out of reading a response.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// Measures the response times, and prints them as a table.
///
/// # Errors
///
/// The limiter does not start, or a call is not answered within 5 s or not with 200.
pub fn run(calls: u32, silent: u32) -> Result<(), String> {
    let own = std::env::current_exe().map_err(|e| format!("cannot find this program: {e}"))?;
    let subject = Subject {
        name: "limiter",
        program: own,
        arguments: vec![AS_LIMITER.into()],
    };
    let folder = std::env::temp_dir().join(format!("emberpin-door-{}", std::process::id()));
    std::fs::create_dir_all(&folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    let measured = measure(&subject, &folder, calls, silent);
    _ = std::fs::remove_dir_all(&folder);
    let mut table = Table::new();
    table.load_preset(UTF8_HORIZONTAL_ONLY);
    table.set_header(["state", "call", "median ms", "99th", "most"]);
    for (state, call, mut times) in measured? {
        times.sort_by(f64::total_cmp);
        let quantile = |share| format!("{:.2}", percentile(&times, share));
        table.add_row([
            state.to_string(),
            call.to_string(),
            quantile(0.5),
            quantile(0.99),
            quantile(1.0),
        ]);
    }
    println!("{calls} calls in each state, {CONNECTIONS} connections of clients, {silent} silent callers");
    println!("{table}");
    Ok(())
}

/// The state of the limiter, the name of the call, and the response times in milliseconds.
type Measured = Vec<(&'static str, &'static str, Vec<f64>)>;

fn measure(
    subject: &Subject,
    folder: &std::path::Path,
    calls: u32,
    silent: u32,
) -> Result<Measured, String> {
    let (servers, discovery) = standins::start(SERVERS)?;
    let free_address = || {
        let bound =
            TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).and_then(|listener| listener.local_addr());
        bound.map_err(|e| format!("no port: {e}"))
    };
    let (address, operator_address) = (free_address()?, free_address()?);
    let file = folder.join("config.json");
    let mut config = settings::file(address, discovery, &servers);
    config["ops"] = serde_json::json!(operator_address);
    std::fs::write(&file, config.to_string()).map_err(|e| format!("{}: {e}", file.display()))?;
    let _process = SubjectProcess::start(subject, &file, address)?;
    let mut measured = Vec::new();
    for (state, loaded, with_silent_callers) in [
        ("idle", false, false),
        ("under load", true, false),
        ("under load, silent callers", true, true),
    ] {
        let ended = AtomicBool::new(false);
        let times = std::thread::scope(|scope| {
            if loaded {
                scope.spawn(|| {
                    while !ended.load(Ordering::Relaxed) {
                        _ = standins::load_closed_loop(address, CONNECTIONS, LOAD_PERIOD);
                    }
                });
            }
            let callers = if with_silent_callers { silent } else { 0 };
            let silent_connections: Vec<_> = (0..callers)
                .filter_map(|_| TcpStream::connect(operator_address).ok())
                .collect();
            let times = all_calls(operator_address, address, calls);
            ended.store(true, Ordering::Relaxed);
            drop(silent_connections);
            times
        });
        let [stats, maintenance, ready] = times?;
        measured.push((state, "figures", stats));
        measured.push((state, "a server down and up", maintenance));
        measured.push((state, "readiness at the clients' address", ready));
    }
    Ok(measured)
}

/// Makes each kind of call this number of times, in turn. Returns the response times, in milliseconds, of reading the
/// figures, of taking a server out of service or putting it back, and of the readiness check at the clients' address.
fn all_calls(
    operator_address: SocketAddr,
    clients: SocketAddr,
    calls: u32,
) -> Result<[Vec<f64>; 3], String> {
    let (mut stats, mut maintenance, mut ready) = (Vec::new(), Vec::new(), Vec::new());
    for number in 0..calls {
        stats.push(call(operator_address, "GET", "/ops/stats")?);
        maintenance.push(call(
            operator_address,
            "PUT",
            if number % 2 == 0 {
                "/ops/servers/down/s-0"
            } else {
                "/ops/servers/up/s-0"
            },
        )?);
        ready.push(call(clients, "GET", "/health/ready")?);
    }
    Ok([stats, maintenance, ready])
}

/// Makes one call. Returns the time in milliseconds from the start of the connection to the last byte of the response.
fn call(address: SocketAddr, method: &str, path: &str) -> Result<f64, String> {
    let started_at = Instant::now();
    let exchange = || -> std::io::Result<String> {
        let mut stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(READ_TIMEOUT))?;
        stream.write_all(
            format!("{method} {path} HTTP/1.1\r\nHost: s\r\nConnection: close\r\n\r\n").as_bytes(),
        )?;
        let mut text = String::new();
        stream.read_to_string(&mut text)?;
        Ok(text)
    };
    let text = exchange().map_err(|e| format!("{method} {path}: {e}"))?;
    match text.split(' ').nth(1) {
        Some("200") => Ok(started_at.elapsed().as_secs_f64() * 1000.0),
        other => Err(format!(
            "{method} {path}: answered {}",
            other.unwrap_or("nothing")
        )),
    }
}
