//! Counts instructions per request with callgrind. For the same binary the count does not depend on the machine's other
//! load. The cost of start and exit is removed: the instructions of a run are subtracted from those of a run with
//! twice as many requests.

use crate::{settings, AS_IN_PROCESS_LIMITER};
use bytes::Bytes;
use emberpin_limiter::operate::request_path::RequestPath;
use http_body_util::Full;
use hyper::{Request, StatusCode};
use std::net::{Ipv4Addr, SocketAddr};
use std::process::{Command, Stdio};

/// The environment variable with the number of requests to send.
const REQUESTS_VARIABLE: &str = "EMBERPIN_COST_REQUESTS";
/// The number of servers in the settings.
const SERVERS: u16 = 9;

/// Sends the number of requests that the environment sets through the limiter in-process, without sockets.
///
/// # Errors
///
/// The environment or the settings cannot be read, or a request was not served.
pub fn run_in_process() -> Result<(), String> {
    let requests =
        std::env::var(REQUESTS_VARIABLE).map_err(|e| format!("{REQUESTS_VARIABLE}: {e}"))?;
    let requests: u64 = requests
        .parse()
        .map_err(|e| format!("{REQUESTS_VARIABLE}: {e}"))?;
    let mut limiter = RequestPath::from_env()?;
    for number in 0..requests {
        let status = limiter.exchange(request(number)?);
        if status != StatusCode::OK {
            return Err(format!("request {number} was answered {status}"));
        }
    }
    Ok(())
}

/// The request that the clients of the timed runs send as bytes, in the type that the HTTP library passes on.
fn request(number: u64) -> Result<Request<Full<Bytes>>, String> {
    let bytes = crate::standins::request(number, &format!("{number:016x}"));
    let text = String::from_utf8(bytes).map_err(|e| e.to_string())?;
    let (head, body) = text.split_once("\r\n\r\n").ok_or("a head without an end")?;
    let mut lines = head.lines();
    let mut first = lines.next().unwrap_or_default().split(' ');
    let (method, path) = (
        first.next().unwrap_or_default(),
        first.next().unwrap_or_default(),
    );
    let mut request = Request::builder().method(method).uri(path);
    for (name, value) in lines.filter_map(|line| line.split_once(": ")) {
        request = request.header(name, value);
    }
    request
        .body(Full::new(Bytes::copy_from_slice(body.as_bytes())))
        .map_err(|e| e.to_string())
}

/// Counts twice, and prints the first count, the second, and the difference between them.
///
/// # Errors
///
/// Valgrind is not installed, or a run failed.
pub fn count(requests: u64) -> Result<(), String> {
    let folder = std::env::temp_dir().join(format!("emberpin-instructions-{}", std::process::id()));
    std::fs::create_dir_all(&folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    let unused_address = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
    let servers: Vec<SocketAddr> = (0..SERVERS)
        .map(|n| (Ipv4Addr::LOCALHOST, 2 + n).into())
        .collect();
    let file = folder.join("config.json");
    let written = std::fs::write(
        &file,
        settings::file(unused_address, unused_address, &servers).to_string(),
    );
    let counted = written
        .map_err(|e| format!("{}: {e}", file.display()))
        .and_then(|()| {
            // The instructions of the longer run's additional requests.
            let extra_instructions = || {
                Ok::<_, String>(instructions(&file, 2 * requests)? - instructions(&file, requests)?)
            };
            Ok((
                extra_instructions()? / requests as f64,
                extra_instructions()? / requests as f64,
            ))
        });
    _ = std::fs::remove_dir_all(&folder);
    let (first, second) = counted?;
    let difference = 100.0 * (first - second).abs() / first;
    println!(
        "{first:.0} instructions per request; again {second:.0}, {difference:.3} % apart ({requests} requests)"
    );
    Ok(())
}

/// The number of instructions of one whole run with this number of requests.
fn instructions(file: &std::path::Path, requests: u64) -> Result<f64, String> {
    let program = std::env::current_exe().map_err(|e| format!("cannot find this program: {e}"))?;
    let run = Command::new("valgrind")
        .args(["--tool=callgrind", "--callgrind-out-file=/dev/null"])
        .arg(program)
        .arg(AS_IN_PROCESS_LIMITER)
        .env("GW_CONFIG", file)
        .env(REQUESTS_VARIABLE, requests.to_string())
        .stdin(Stdio::null())
        .output()
        .map_err(|e| format!("cannot run valgrind: {e}"))?;
    let output = String::from_utf8_lossy(&run.stderr);
    let collected = output
        .lines()
        .find_map(|line| line.split_once("Collected : "));
    let count = collected.and_then(|(_, count)| count.trim().parse().ok());
    count
        .filter(|_| run.status.success())
        .ok_or_else(|| format!("valgrind ended with {}: {output}", run.status))
}
