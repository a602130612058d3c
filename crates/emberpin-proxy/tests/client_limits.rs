//! The configuration's `limits` on clients: the sizes of heads and bodies, and the time limits of heads and idle
//! connections.
#![allow(missing_docs, reason = "a test has no public interface")]

mod common;

use common::{
    default_items, instance, item, within_limit, Client, Proxy, RegistrySession, Server,
    DEFAULT_BOUNDS,
};
use emberpin_config::{Item, ItemKind};
use googletest::prelude::*;
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;

/// Longer than the part of a body that the proxy buffers before it streams the rest.
const STREAMED_LENGTH: usize = 200_000;

/// Values of the configuration's `limits`.
#[derive(Clone, Copy)]
struct ClientLimits {
    max_head_bytes: u64,
    max_body_bytes: u64,
    head_timeout: Duration,
    idle_timeout: Duration,
    version: u64,
}

const DEFAULT_LIMITS: ClientLimits = ClientLimits {
    max_head_bytes: 16_384,
    max_body_bytes: 1 << 20,
    head_timeout: Duration::from_millis(3_000),
    idle_timeout: Duration::from_millis(15_000),
    version: 1,
};

impl ClientLimits {
    fn item(&self) -> Item {
        let ClientLimits {
            max_head_bytes,
            max_body_bytes,
            head_timeout,
            idle_timeout,
            version,
        } = self;
        let sizes =
            format!("\"hdr_max_bytes\":{max_head_bytes},\"body_max_bytes\":{max_body_bytes}");
        let times = format!(
            "\"hdr_read\":\"{}ms\",\"idle\":\"{}ms\"",
            head_timeout.as_millis(),
            idle_timeout.as_millis()
        );
        item(
            ItemKind::Limits,
            "",
            *version,
            Some(format!("{{{sizes},{times},\"ver\":{version}}}")),
        )
    }
}

async fn start_with_limits(limits: ClientLimits) -> (Proxy, RegistrySession, Server) {
    let server = Server::start().await;
    let mut items = default_items();
    items.push(limits.item());
    let (proxy, session) =
        Proxy::start_ready(DEFAULT_BOUNDS, items, vec![instance("i-1", server.address)]).await;
    (proxy, session, server)
}

fn chunk(length: usize) -> Vec<u8> {
    [
        format!("{length:x}\r\n").into_bytes(),
        vec![b'x'; length],
        b"\r\n".to_vec(),
    ]
    .concat()
}

const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

fn chunked_head(path: &str, id: &str) -> Vec<u8> {
    format!("POST {path} HTTP/1.1\r\nhost: h.example\r\ntry-id: {id}\r\ntransfer-encoding: chunked\r\n\r\n")
        .into()
}

/// Returns once the proxy has closed the connection.
async fn wait_closed(client: &mut Client) {
    let mut rest = Vec::new();
    _ = within_limit(
        "the end of the connection",
        client.stream.read_to_end(&mut rest),
    )
    .await;
}

// ---- Bodies in chunks ----

/// Guards the comparison in `receive_body`: the size of a buffered body is checked before any of it is sent.
#[tokio::test]
async fn a_short_chunked_body_above_the_limit_reaches_no_server() -> googletest::Result<()> {
    let (proxy, _session, mut server) = start_with_limits(ClientLimits {
        max_body_bytes: 1_000,
        ..DEFAULT_LIMITS
    })
    .await;
    for (sizes, id) in [
        (&[1_001][..], "t1"),
        (&[600, 400, 1], "t2"),
        (&[90_000, 90_000], "t3"),
    ] {
        let mut client = proxy.connect().await;
        let chunks = sizes.iter().flat_map(|size| chunk(*size));
        client
            .write(
                &[
                    chunked_head("/write/a", id),
                    chunks.collect(),
                    LAST_CHUNK.to_vec(),
                ]
                .concat(),
            )
            .await;
        verify_that!(client.status().await, some(eq(413)))?;
    }
    verify_that!(server.has_no_request(), eq(true))?;
    let mut client = proxy.connect().await;
    client
        .write(
            &[
                chunked_head("/write/a", "t4"),
                chunk(600),
                chunk(400),
                LAST_CHUNK.to_vec(),
            ]
            .concat(),
        )
        .await;
    let request = server.next_request().await;
    verify_that!(request.message.body.len(), eq(1_000))?;
    request.respond(200, &[], "").await;
    verify_that!(client.status().await, some(eq(200)))
}

/// Guards the limit in `Upload`, and `exceeded` in the frontend: the server that received the beginning never receives
/// the last chunk, and no other server receives any of it, whatever the kind of the route.
#[tokio::test]
async fn a_streamed_body_above_the_limit_is_cut_off_at_the_server_and_gets_413(
) -> googletest::Result<()> {
    let listeners = [
        TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?,
        TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?,
    ];
    let mut instances = Vec::new();
    for (number, listener) in listeners.iter().enumerate() {
        instances.push(instance(&format!("i-{number}"), listener.local_addr()?));
    }
    let mut items = default_items();
    items.push(
        ClientLimits {
            max_body_bytes: STREAMED_LENGTH as u64,
            ..DEFAULT_LIMITS
        }
        .item(),
    );
    let (proxy, _session) = Proxy::start_ready(DEFAULT_BOUNDS, items, instances).await;
    for path in ["/write/a", "/read/a"] {
        let mut client = proxy.connect().await;
        client
            .write(&[chunked_head(path, "t1"), chunk(STREAMED_LENGTH)].concat())
            .await;
        let accepting = async {
            tokio::select! {
                accepted = listeners[0].accept() => accepted,
                accepted = listeners[1].accept() => accepted,
            }
        };
        let (mut server, _) = within_limit("a connection", accepting).await?;
        let mut beginning = vec![0; STREAMED_LENGTH / 2];
        within_limit(
            "the beginning of the body",
            server.read_exact(&mut beginning),
        )
        .await?;
        client.write(&[b"1\r\ny\r\n", LAST_CHUNK].concat()).await;
        verify_that!(client.status().await, some(eq(413)))?;
        let mut rest = Vec::new();
        _ = within_limit("the end of the attempt", server.read_to_end(&mut rest)).await;
        verify_that!(
            (rest.contains(&b'y'), rest.ends_with(LAST_CHUNK)),
            eq((false, false))
        )?;
        // A retry would have connected before the response.
        for listener in &listeners {
            let another = tokio::time::timeout(Duration::from_millis(50), listener.accept()).await;
            verify_that!(another.is_err(), eq(true))?;
        }
    }
    Ok(())
}

/// Guards `>` in the limit of `Upload`.
#[tokio::test]
async fn a_streamed_body_of_exactly_the_limit_is_forwarded() -> googletest::Result<()> {
    let (proxy, _session, mut server) = start_with_limits(ClientLimits {
        max_body_bytes: STREAMED_LENGTH as u64,
        ..DEFAULT_LIMITS
    })
    .await;
    let mut client = proxy.connect().await;
    client
        .write(
            &[
                chunked_head("/write/a", "t1"),
                chunk(STREAMED_LENGTH - 1),
                chunk(1),
                LAST_CHUNK.to_vec(),
            ]
            .concat(),
        )
        .await;
    let request = server.next_request().await;
    verify_that!(
        (request.message.complete, request.message.body.len()),
        eq((true, STREAMED_LENGTH))
    )?;
    request.respond(200, &[], "").await;
    verify_that!(client.status().await, some(eq(200)))
}

// ---- Heads ----

/// A request whose head has this many bytes, of which the proxy does not count [`UNCOUNTED_SPACES`].
fn request_with_head_of(bytes: usize, id: &str) -> Vec<u8> {
    let beginning = format!("GET /read/a HTTP/1.1\r\nhost: h.example\r\ntry-id: {id}\r\nx-fill:");
    let fill = "x".repeat(bytes - beginning.len() - "\r\n\r\n".len());
    // The proxy does not count the spaces after the other two colons.
    format!("{beginning}{fill}\r\n\r\n").into()
}

/// Bytes that `request_with_head_of` spends on spaces before values.
const UNCOUNTED_SPACES: usize = 2;

/// Guards `min_size` and its comparison with a limit that is lower than what the HTTP library reads.
#[tokio::test]
async fn a_head_above_a_low_limit_gets_431() -> googletest::Result<()> {
    let (proxy, _session, mut server) = start_with_limits(ClientLimits {
        max_head_bytes: 1_000,
        ..DEFAULT_LIMITS
    })
    .await;
    let mut client = proxy.connect().await;
    client
        .write(&request_with_head_of(1_001 + UNCOUNTED_SPACES, "t1"))
        .await;
    let response = client.response().await.expect("a response");
    verify_that!(
        (response.status, response.message.header("connection")),
        eq((431, Some("close")))
    )?;
    verify_that!(server.has_no_request(), eq(true))?;
    let mut client = proxy.connect().await;
    client.write(&request_with_head_of(1_000, "t2")).await;
    server.next_request().await.respond(200, &[], "").await;
    verify_that!(client.status().await, some(eq(200)))
}

/// Guards `max_head_bytes` in `client_limits`, up to which the client listener reads a head.
#[tokio::test]
async fn a_head_up_to_a_high_limit_is_forwarded() -> googletest::Result<()> {
    let (proxy, _session, mut server) = start_with_limits(ClientLimits {
        max_head_bytes: 40_000,
        ..DEFAULT_LIMITS
    })
    .await;
    let mut client = proxy.connect().await;
    client.write(&request_with_head_of(40_000, "t1")).await;
    let request = server.next_request().await;
    verify_that!(request.header("x-fill").map(str::len), some(gt(39_000)))?;
    request.respond(200, &[], "").await;
    verify_that!(client.status().await, some(eq(200)))?;
    let mut client = proxy.connect().await;
    client
        .write(&request_with_head_of(40_001 + UNCOUNTED_SPACES, "t2"))
        .await;
    verify_that!(client.status().await, some(eq(431)))?;
    verify_that!(server.has_no_request(), eq(true))
}

/// Guards the comparison of the limit with the one that a connection was opened with: a connection from before the
/// limit was raised is closed after its next response, and a new one has the new limit.
#[tokio::test]
async fn a_connection_from_before_a_higher_limit_is_closed_after_its_next_response(
) -> googletest::Result<()> {
    let (proxy, mut session, mut server) = start_with_limits(DEFAULT_LIMITS).await;
    let mut client = proxy.connect().await;
    client.write(&request_with_head_of(200, "t1")).await;
    server.next_request().await.respond(200, &[], "").await;
    let response = client.response().await.expect("a response");
    verify_that!(response.message.header("connection"), none())?;
    session
        .send_changes(
            vec![ClientLimits {
                max_head_bytes: 40_000,
                version: 2,
                ..DEFAULT_LIMITS
            }
            .item()],
            vec![],
        )
        .await;
    client.write(&request_with_head_of(200, "t2")).await;
    server.next_request().await.respond(200, &[], "").await;
    let response = client.response().await.expect("a response");
    verify_that!(
        (response.status, response.message.header("connection")),
        eq((200, Some("close")))
    )?;
    let mut client = proxy.connect().await;
    client.write(&request_with_head_of(30_000, "t3")).await;
    server.next_request().await.respond(200, &[], "").await;
    verify_that!(client.status().await, some(eq(200)))
}

// ---- Time ----

/// Guards `head` in `client_limits`: a head may take at least as long as the configured limit. Without it, a default of
/// 2.5 to 4 s would apply.
#[tokio::test]
async fn a_head_may_take_as_long_as_the_limits_allow() -> googletest::Result<()> {
    let (proxy, _session, _server) = start_with_limits(ClientLimits {
        head_timeout: Duration::from_millis(5_000),
        ..DEFAULT_LIMITS
    })
    .await;
    let mut client = proxy.connect().await;
    client.write(b"GET /read/a HTTP/1.1\r\nhost: h.ex").await;
    let started = Instant::now();
    wait_closed(&mut client).await;
    verify_that!(started.elapsed(), ge(Duration::from_millis(5_000)))
}

/// Guards `idle` in `client_limits`: by default, an idle connection stays open until its client closes it.
#[tokio::test]
async fn a_connection_may_be_idle_as_long_as_the_limits_allow() -> googletest::Result<()> {
    let (proxy, _session, mut server) = start_with_limits(ClientLimits {
        idle_timeout: Duration::from_millis(1_000),
        ..DEFAULT_LIMITS
    })
    .await;
    let mut client = proxy.connect().await;
    client.write(&request_with_head_of(200, "t1")).await;
    server.next_request().await.respond(200, &[], "").await;
    verify_that!(client.status().await, some(eq(200)))?;
    let started = Instant::now();
    wait_closed(&mut client).await;
    verify_that!(started.elapsed(), ge(Duration::from_millis(1_000)))
}
