//! What the configuration's `limits` leave a client: the length of heads and bodies, and the time for both; against the
//! proxy's process.
#![allow(missing_docs, reason = "a test has no public interface")]

mod common;

use common::{instance, item, soon, usual, Client, Proxy, Server, Session, FIGURES};
use emberpin_config::{Item, ItemKind};
use googletest::prelude::*;
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;

/// More than the proxy holds of a body before a server gets its beginning.
const LONG: usize = 200_000;

#[derive(Clone, Copy)]
struct Bounds {
    head_bytes: u64,
    body_bytes: u64,
    head_ms: u32,
    idle_ms: u32,
    ver: u64,
}

const BOUNDS: Bounds = Bounds {
    head_bytes: 16_384,
    body_bytes: 1 << 20,
    head_ms: 3_000,
    idle_ms: 15_000,
    ver: 1,
};

impl Bounds {
    fn item(&self) -> Item {
        let Bounds {
            head_bytes,
            body_bytes,
            head_ms,
            idle_ms,
            ver,
        } = self;
        let sizes = format!("\"hdr_max_bytes\":{head_bytes},\"body_max_bytes\":{body_bytes}");
        let times = format!("\"hdr_read\":\"{head_ms}ms\",\"idle\":\"{idle_ms}ms\"");
        item(
            ItemKind::Limits,
            "",
            *ver,
            Some(format!("{{{sizes},{times},\"ver\":{ver}}}")),
        )
    }
}

async fn with_limits(bounds: Bounds) -> (Proxy, Session, Server) {
    let server = Server::anywhere().await;
    let mut items = usual();
    items.push(bounds.item());
    let (proxy, session) =
        Proxy::ready(FIGURES, items, vec![instance("i-1", server.address)]).await;
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

async fn status(client: &mut Client) -> Option<u16> {
    client.answer().await.map(|answered| answered.status)
}

/// Returns once the proxy has ended the connection.
async fn ended(client: &mut Client) {
    let mut rest = Vec::new();
    _ = soon("the connection's end", client.stream.read_to_end(&mut rest)).await;
}

// ---- Bodies in chunks ----

/// Holds the comparison behind `take_in`: what is held whole is measured before anything goes out.
#[tokio::test]
async fn a_short_chunked_body_beyond_the_limit_reaches_no_server() -> googletest::Result<()> {
    let (proxy, _session, mut server) = with_limits(Bounds {
        body_bytes: 1_000,
        ..BOUNDS
    })
    .await;
    for (sizes, id) in [
        (&[1_001][..], "t1"),
        (&[600, 400, 1], "t2"),
        (&[90_000, 90_000], "t3"),
    ] {
        let mut client = proxy.client().await;
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
        verify_that!(status(&mut client).await, some(eq(413)))?;
    }
    verify_that!(server.is_unasked(), eq(true))?;
    let mut client = proxy.client().await;
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
    let asked = server.next().await;
    verify_that!(asked.read.body.len(), eq(1_000))?;
    asked.answer(200, &[], "").await;
    verify_that!(status(&mut client).await, some(eq(200)))
}

/// Holds `overflows` in `Upload`, and `exceeded` in the request handler: the server that had its beginning never gets
/// the last chunk, nor does another server get any of it, whatever the route's type.
#[tokio::test]
async fn a_long_chunked_body_is_broken_off_at_the_server_and_gets_413() -> googletest::Result<()> {
    let listeners = [
        TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?,
        TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?,
    ];
    let mut instances = Vec::new();
    for (number, listener) in listeners.iter().enumerate() {
        instances.push(instance(&format!("i-{number}"), listener.local_addr()?));
    }
    let mut items = usual();
    items.push(
        Bounds {
            body_bytes: LONG as u64,
            ..BOUNDS
        }
        .item(),
    );
    let (proxy, _session) = Proxy::ready(FIGURES, items, instances).await;
    for path in ["/write/a", "/read/a"] {
        let mut client = proxy.client().await;
        client
            .write(&[chunked_head(path, "t1"), chunk(LONG)].concat())
            .await;
        let accepting = async {
            tokio::select! {
                accepted = listeners[0].accept() => accepted,
                accepted = listeners[1].accept() => accepted,
            }
        };
        let (mut server, _) = soon("a connection", accepting).await?;
        let mut begun = vec![0; LONG / 2];
        soon("a beginning", server.read_exact(&mut begun)).await?;
        client.write(&[b"1\r\ny\r\n", LAST_CHUNK].concat()).await;
        verify_that!(status(&mut client).await, some(eq(413)))?;
        let mut rest = Vec::new();
        _ = soon("the attempt's end", server.read_to_end(&mut rest)).await;
        verify_that!(
            (rest.contains(&b'y'), rest.ends_with(LAST_CHUNK)),
            eq((false, false))
        )?;
        // A further attempt would have come up before the answer.
        for listener in &listeners {
            let further = tokio::time::timeout(Duration::from_millis(50), listener.accept()).await;
            verify_that!(further.is_err(), eq(true))?;
        }
    }
    Ok(())
}

/// Holds `>` in `overflows`: a body of just the limit is passed on whole.
#[tokio::test]
async fn a_long_chunked_body_of_just_the_limit_is_passed_on() -> googletest::Result<()> {
    let (proxy, _session, mut server) = with_limits(Bounds {
        body_bytes: LONG as u64,
        ..BOUNDS
    })
    .await;
    let mut client = proxy.client().await;
    client
        .write(
            &[
                chunked_head("/write/a", "t1"),
                chunk(LONG - 1),
                chunk(1),
                LAST_CHUNK.to_vec(),
            ]
            .concat(),
        )
        .await;
    let asked = server.next().await;
    verify_that!((asked.read.whole, asked.read.body.len()), eq((true, LONG)))?;
    asked.answer(200, &[], "").await;
    verify_that!(status(&mut client).await, some(eq(200)))
}

// ---- Heads ----

/// A request whose head takes so many bytes.
fn head_of(bytes: usize, id: &str) -> Vec<u8> {
    let begun = format!("GET /read/a HTTP/1.1\r\nhost: h.example\r\ntry-id: {id}\r\nx-fill:");
    let fill = "x".repeat(bytes - begun.len() - "\r\n\r\n".len());
    // Two spaces in the others are not counted: they stand around values.
    format!("{begun}{fill}\r\n\r\n").into()
}

/// Bytes that `head_of` spends on spaces before values.
const SPACES: usize = 2;

/// Holds `head_size` and its comparison: a limit that is lower than what the HTTP library reads.
#[tokio::test]
async fn a_head_beyond_a_low_limit_gets_431() -> googletest::Result<()> {
    let (proxy, _session, mut server) = with_limits(Bounds {
        head_bytes: 1_000,
        ..BOUNDS
    })
    .await;
    let mut client = proxy.client().await;
    client.write(&head_of(1_001 + SPACES, "t1")).await;
    let answered = client.answer().await.expect("an answer");
    verify_that!(
        (answered.status, answered.read.header("connection")),
        eq((431, Some("close")))
    )?;
    verify_that!(server.is_unasked(), eq(true))?;
    let mut client = proxy.client().await;
    client.write(&head_of(1_000, "t2")).await;
    server.next().await.answer(200, &[], "").await;
    verify_that!(status(&mut client).await, some(eq(200)))
}

/// Holds `head_bytes` in `client_limits`, and what the reception reads of a head.
#[tokio::test]
async fn a_head_up_to_a_high_limit_is_passed_on() -> googletest::Result<()> {
    let (proxy, _session, mut server) = with_limits(Bounds {
        head_bytes: 40_000,
        ..BOUNDS
    })
    .await;
    let mut client = proxy.client().await;
    client.write(&head_of(40_000, "t1")).await;
    let asked = server.next().await;
    verify_that!(asked.header("x-fill").map(str::len), some(gt(39_000)))?;
    asked.answer(200, &[], "").await;
    verify_that!(status(&mut client).await, some(eq(200)))?;
    let mut client = proxy.client().await;
    client.write(&head_of(40_001 + SPACES, "t2")).await;
    verify_that!(status(&mut client).await, some(eq(431)))?;
    verify_that!(server.is_unasked(), eq(true))
}

/// Holds the comparison with what a connection reads: one from before a higher limit ends with its next answer, and a
/// new one has the new limit.
#[tokio::test]
async fn a_connection_from_before_a_higher_limit_is_told_to_go() -> googletest::Result<()> {
    let (proxy, mut session, mut server) = with_limits(BOUNDS).await;
    let mut client = proxy.client().await;
    client.write(&head_of(200, "t1")).await;
    server.next().await.answer(200, &[], "").await;
    let answered = client.answer().await.expect("an answer");
    verify_that!(answered.read.header("connection"), none())?;
    session
        .change(
            vec![Bounds {
                head_bytes: 40_000,
                ver: 2,
                ..BOUNDS
            }
            .item()],
            vec![],
        )
        .await;
    client.write(&head_of(200, "t2")).await;
    server.next().await.answer(200, &[], "").await;
    let answered = client.answer().await.expect("an answer");
    verify_that!(
        (answered.status, answered.read.header("connection")),
        eq((200, Some("close")))
    )?;
    let mut client = proxy.client().await;
    client.write(&head_of(30_000, "t3")).await;
    server.next().await.answer(200, &[], "").await;
    verify_that!(status(&mut client).await, some(eq(200)))
}

// ---- Time ----

/// Holds `head` in `client_limits`: without it a head may take the 2.5 to 4 s of the default, and with it at least what
/// it says.
#[tokio::test]
async fn a_head_has_the_time_that_the_limits_say() -> googletest::Result<()> {
    let (proxy, _session, _server) = with_limits(Bounds {
        head_ms: 5_000,
        ..BOUNDS
    })
    .await;
    let mut client = proxy.client().await;
    client.write(b"GET /read/a HTTP/1.1\r\nhost: h.ex").await;
    let begun = Instant::now();
    ended(&mut client).await;
    verify_that!(begun.elapsed(), ge(Duration::from_millis(5_000)))
}

/// Holds `idle` in `client_limits`: the default leaves a connection open for as long as its client likes.
#[tokio::test]
async fn a_connection_may_rest_for_as_long_as_the_limits_say() -> googletest::Result<()> {
    let (proxy, _session, mut server) = with_limits(Bounds {
        idle_ms: 1_000,
        ..BOUNDS
    })
    .await;
    let mut client = proxy.client().await;
    client.write(&head_of(200, "t1")).await;
    server.next().await.answer(200, &[], "").await;
    verify_that!(status(&mut client).await, some(eq(200)))?;
    let begun = Instant::now();
    ended(&mut client).await;
    verify_that!(begun.elapsed(), ge(Duration::from_millis(1_000)))
}
