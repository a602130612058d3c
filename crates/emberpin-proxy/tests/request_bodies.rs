//! Bodies of requests: the limit of their size, and how they are forwarded to a server.
#![allow(missing_docs, reason = "a test has no public interface")]

mod common;

use common::{
    default_items, instance, item, read_message, start_with_one_server, within_limit, Client,
    MessageKind, Proxy, RegistrySession, Server, DEFAULT_BOUNDS,
};
use emberpin_config::ItemKind;
use googletest::prelude::*;
use std::net::Ipv4Addr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

async fn start_with_body_limit(bytes: u64) -> (Proxy, RegistrySession, Server) {
    let (proxy, mut session, server) = start_with_one_server().await;
    let times = "\"hdr_read\":\"3000ms\",\"idle\":\"15000ms\"";
    let body = format!("{{\"hdr_max_bytes\":16384,\"body_max_bytes\":{bytes},{times},\"ver\":1}}");
    session
        .send_changes(vec![item(ItemKind::Limits, "", 1, Some(body))], vec![])
        .await;
    (proxy, session, server)
}

/// Guards the comparison of a stated length with `max_body_bytes`, and that this limit is taken from the configuration.
#[tokio::test]
async fn a_body_above_the_limit_is_rejected_with_413() -> googletest::Result<()> {
    let (proxy, _session, mut server) = start_with_body_limit(1_000).await;
    let mut client = proxy.connect().await;
    client
        .send("POST", "/write/a", &[("try-id", "t1")], &[b'x'; 1_001])
        .await;
    verify_that!(client.status().await, some(eq(413)))?;
    verify_that!(server.has_no_request(), eq(true))?;
    let mut client = proxy.connect().await;
    client
        .send("POST", "/write/a", &[("try-id", "t2")], &[b'x'; 1_000])
        .await;
    let request = server.next_request().await;
    verify_that!(request.message.body.len(), eq(1_000))?;
    request.respond(200, &[], "").await;
    verify_that!(client.status().await, some(eq(200)))
}

/// Guards method, path, query and body, and the removal of hop-by-hop headers.
#[tokio::test]
async fn a_chunked_request_is_forwarded_unaltered() -> googletest::Result<()> {
    let (proxy, _session, mut server) = start_with_one_server().await;
    let mut client = proxy.connect().await;
    let head =
        "PUT /write/a%20b/?q=1&r=%2F HTTP/1.1\r\nhost: h.example\r\ntry-id: t1\r\nx-own: kept\r\n\
                connection: x-hop\r\nx-hop: 1\r\nkeep-alive: timeout=9\r\nwant-instance: i-9\r\n\
                transfer-encoding: chunked\r\n\r\n";
    client.write(head.as_bytes()).await;
    for chunk in ["5\r\nGET /\r\n", "1\r\n\r\r\n", "1\r\n\n\r\n", "0\r\n\r\n"] {
        client.write(chunk.as_bytes()).await;
    }
    let request = server.next_request().await;
    verify_that!(
        request.message.first_line.as_str(),
        eq("PUT /write/a%20b/?q=1&r=%2F HTTP/1.1")
    )?;
    verify_that!(request.message.body.as_slice(), eq(b"GET /\r\n"))?;
    verify_that!(request.header("x-own"), some(eq("kept")))?;
    verify_that!(request.header("host"), some(eq("h.example")))?;
    verify_that!(request.header("try-id"), some(eq("t1")))?;
    verify_that!(request.header("want-instance"), some(eq("i-1")))?;
    for name in ["x-hop", "keep-alive", "connection"] {
        verify_that!(request.header(name), none())?;
    }
    request.respond(200, &[], "").await;
    verify_that!(client.status().await, some(eq(200)))
}

/// Guards `RequestBody::Uploading`: the server receives the beginning before the client has sent the end, and the time
/// limit of the route counts from the last byte of the body.
#[tokio::test]
async fn a_long_body_is_streamed_while_it_is_uploaded() -> googletest::Result<()> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    let instances = vec![instance("i-1", listener.local_addr()?)];
    let (proxy, _session) = Proxy::start_ready(DEFAULT_BOUNDS, default_items(), instances).await;
    let body: Vec<u8> = (0..300_000u32).map(|index| (index % 251) as u8).collect();
    let mut client = proxy.connect().await;
    let head = format!(
        "POST /write/a HTTP/1.1\r\nhost: h.example\r\ntry-id: t1\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    client.write(head.as_bytes()).await;
    client.write(&body[..150_000]).await;
    let (mut server, _) = within_limit("a connection", listener.accept()).await?;
    let mut beginning = vec![0; 100_000];
    within_limit(
        "the beginning of the body",
        server.read_exact(&mut beginning),
    )
    .await?;
    client.write(&body[150_000..]).await;
    // Parse the whole request as one message, from its beginning.
    let (mut copy, mut copy_sink) = connected_pair().await;
    let copying = async {
        copy_sink.write_all(&beginning).await?;
        let left = body.len() + head_length(&beginning) - beginning.len();
        tokio::io::copy(&mut (&mut server).take(left as u64), &mut copy_sink).await
    };
    let (request, copied) = tokio::join!(
        within_limit("a request", read_message(&mut copy, MessageKind::Request)),
        copying
    );
    copied?;
    let request = request.expect("a request");
    verify_that!((request.complete, request.body == body), eq((true, true)))?;
    // The time limit starts with the last byte, and is still the route's.
    let deadline = request
        .header("deadline")
        .and_then(|ms| ms.parse::<u64>().ok());
    verify_that!(deadline, some(all![gt(7_000), le(8_000)]))?;
    server
        .write_all(b"HTTP/1.1 200 X\r\ntry-id: t1\r\nseal: s\r\ncontent-length: 0\r\n\r\n")
        .await?;
    verify_that!(client.status().await, some(eq(200)))
}

fn head_length(bytes: &[u8]) -> usize {
    bytes
        .windows(4)
        .position(|four| four == b"\r\n\r\n")
        .expect("a head")
        + 4
}

async fn connected_pair() -> (tokio::net::TcpStream, tokio::net::TcpStream) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
        .await
        .expect("bound");
    let connecting = Client::try_connect(listener.local_addr().expect("bound"))
        .await
        .expect("connected")
        .stream;
    (listener.accept().await.expect("accepted").0, connecting)
}

/// A server may respond before it has read a long body, and continue to read: it must receive the rest of that body or
/// the end of the connection, and no bytes of another request.
#[tokio::test]
async fn after_an_early_response_a_server_reads_no_bytes_of_another_request(
) -> googletest::Result<()> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    let instances = vec![instance("i-1", listener.local_addr()?)];
    let (proxy, _session) = Proxy::start_ready(DEFAULT_BOUNDS, default_items(), instances).await;
    let body: Vec<u8> = (0..300_000u32).map(|index| (index % 251) as u8).collect();
    let mut client = proxy.connect().await;
    let head = format!(
        "POST /write/a HTTP/1.1\r\nhost: h.example\r\ntry-id: t1\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    client.write(head.as_bytes()).await;
    client.write(&body[..150_000]).await;
    let (mut server, _) = within_limit("a connection", listener.accept()).await?;
    let mut beginning = vec![0; 100_000];
    within_limit(
        "the beginning of the body",
        server.read_exact(&mut beginning),
    )
    .await?;
    server
        .write_all(b"HTTP/1.1 200 X\r\ntry-id: t1\r\nseal: s\r\ncontent-length: 0\r\n\r\n")
        .await?;
    verify_that!(client.status().await, some(eq(200)))?;
    let mut other = proxy.connect().await;
    other
        .send("POST", "/write/b", &[("try-id", "t2")], b"other")
        .await;
    let (mut second, _) = within_limit("another connection", listener.accept()).await?;
    let request = within_limit("a request", read_message(&mut second, MessageKind::Request)).await;
    verify_that!(
        request.map(|request| request.body),
        some(eq(b"other".as_slice()))
    )?;
    drop(client);
    let mut rest = Vec::new();
    _ = within_limit("the end", server.read_to_end(&mut rest)).await;
    let received = beginning.len() - head_length(&beginning) + rest.len();
    verify_that!(received, le(body.len()))?;
    let expected = &body[received - rest.len()..received];
    verify_that!(rest == expected, eq(true))
}
