//! Calls of the HTTP API, each on a new connection.

use super::{connect, HTTP_PORT, TEST_TIMEOUT};
use std::net::Ipv4Addr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::{interval, timeout};

/// The body of the response to a call that the registry neither forwards to a store nor redirects.
const UNAVAILABLE_BODY: &str = "not now\n";
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Makes one call. Returns the status and the whole response, including its head, as text.
pub async fn call(ip: Ipv4Addr, method: &str, path: &str, body: &str) -> (u16, String) {
    let mut stream = connect(ip, HTTP_PORT).await;
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: here\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).await.expect("sent");
    let mut response = Vec::new();
    timeout(TEST_TIMEOUT, stream.read_to_end(&mut response))
        .await
        .expect("in time")
        .expect("read");
    let response = String::from_utf8(response).expect("text");
    let status = response
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok())
        .expect("a status");
    (status, response)
}

/// As [`call`], but repeats the call until the registry forwards or redirects it. The registry forwards calls once a
/// store has confirmed that it is in contact with a majority.
pub async fn call_once_confirmed(
    ip: Ipv4Addr,
    method: &str,
    path: &str,
    body: &str,
) -> (u16, String) {
    let mut retry = interval(RETRY_INTERVAL);
    let confirmed = async {
        loop {
            retry.tick().await;
            let (status, response) = call(ip, method, path, body).await;
            if status != 503 || !response.ends_with(UNAVAILABLE_BODY) {
                return (status, response);
            }
        }
    };
    timeout(TEST_TIMEOUT, confirmed).await.expect("in time")
}

/// The JSON body of a heartbeat. `state` is `up` or `drain`, and `seq` increases from one heartbeat to the next.
pub fn heartbeat(service: &str, port: u16, state: &str, seq: u64) -> String {
    let info = format!("{{\"svc\":\"{service}\",\"ver\":\"v1\",\"az\":\"north\",\"slots\":4}}");
    let stat = format!("{{\"state\":\"{state}\",\"seq\":{seq},\"warm_left\":\"0ms\"}}");
    format!("{{\"addr\":\"10.128.0.9:{port}\",\"sysinfo\":{info},\"stat\":{stat}}}")
}
