//! Runs the program, and stand-ins for the registries that it calls.
#![allow(dead_code, missing_docs, reason = "each test file uses a part of it")]

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::process::Command;
use std::sync::{Arc, Mutex};

/// The configuration of a healthy registry.
pub const CONFIG: &str = r#"{"svcs":[{"name":"s","hcheck":"/h","maxconn":9,"ver":3}],"vhosts":[]}"#;
/// Placeholder for the response of a healthy registry to `GET /status`, `GET /locks` or `GET /config/get`.
pub const HEALTHY: &str = "healthy";
/// The status of a healthy registry; `NOW` is replaced by the time of the response.
const STATUS: &str = r#"{"name":"core","settled":true,"voters":["a","b","c"],"registries":[],"limiters":[{"name":"e","zone":"z","behind":2}],"instances":[{"id":"i-1","service":"s","address":"10.0.0.1:80","zone":"z","status":"up","cold_ms":5,"heard_ms":7}],"items":1,"disk":null,"clock_ms":NOW}"#;

/// A stand-in registry that answers each request with the next of its responses, and all further requests with the last
/// one. An empty response closes the connection.
pub struct FakeRegistry {
    pub address: String,
    requests: Arc<Mutex<Vec<String>>>,
}

impl FakeRegistry {
    pub fn start(responses: &[&str]) -> FakeRegistry {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        FakeRegistry::on(listener, responses)
    }

    pub fn on(listener: TcpListener, responses: &[&str]) -> FakeRegistry {
        let address = listener.local_addr().expect("an address").to_string();
        let requests = Arc::new(Mutex::new(Vec::new()));
        let responses: Vec<String> = responses.iter().map(|text| (*text).to_owned()).collect();
        let received = requests.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let mut stream = stream.expect("a connection");
                let request = read_request(&stream);
                let mut received = received.lock().expect("no panic");
                received.push(request.clone());
                let next = (received.len() - 1).min(responses.len() - 1);
                let response = match responses[next].as_str() {
                    HEALTHY => healthy_response(&request),
                    response => response.to_owned(),
                };
                _ = stream.write_all(response.as_bytes());
            }
        });
        FakeRegistry { address, requests }
    }

    /// The method, path and body of each request so far.
    pub fn requests(&self) -> Vec<String> {
        self.requests.lock().expect("no panic").clone()
    }
}

fn healthy_response(request: &str) -> String {
    if request.starts_with("GET /status ") {
        ok(&STATUS.replace("NOW", &now_ms().to_string()))
    } else if request.starts_with("GET /locks ") {
        ok(r#"{"locks":[]}"#)
    } else {
        ok(CONFIG)
    }
}

/// Reads a request and returns its method, path and body.
fn read_request(stream: &TcpStream) -> String {
    let mut lines = BufReader::new(stream);
    let (mut request_line, mut content_length) = (String::new(), 0);
    lines.read_line(&mut request_line).expect("a request");
    loop {
        let mut line = String::new();
        if lines.read_line(&mut line).expect("a head") <= 2 {
            break;
        }
        if let Some(value) = line.to_ascii_lowercase().strip_prefix("content-length:") {
            content_length = value.trim().parse().expect("a length");
        }
    }
    let mut body = vec![0; content_length];
    lines.read_exact(&mut body).expect("a body");
    format!(
        "{} {}",
        request_line.trim_end().trim_end_matches(" HTTP/1.1"),
        String::from_utf8_lossy(&body)
    )
}

pub fn now_ms() -> u128 {
    std::time::UNIX_EPOCH
        .elapsed()
        .expect("after 1970")
        .as_millis()
}

pub fn response(status: &str, head: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\n{head}Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    )
}

pub fn ok(body: &str) -> String {
    response("200 OK", "", body)
}

/// Runs the program and returns its exit status, standard output and standard error.
pub fn emberpinctl(arguments: &[&str]) -> (Option<i32>, String, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_emberpinctl"))
        .args(arguments)
        .output()
        .expect("the program");
    let text = |bytes| String::from_utf8(bytes).expect("UTF-8");
    (
        output.status.code(),
        text(output.stdout),
        text(output.stderr),
    )
}

pub fn file(body: &str) -> tempfile::NamedTempFile {
    let mut file = tempfile::NamedTempFile::new().expect("a file");
    file.write_all(body.as_bytes()).expect("a body");
    file
}
