//! Whose bytes go where: answers that are late, too long or cut, and bodies; against the proxy's process.
#![allow(missing_docs, reason = "a test has no public interface")]

mod common;

use common::{instance, item, read, soon, usual, Client, Proxy, Server, Session, FIGURES};
use emberpin_config::ItemKind;
use googletest::prelude::*;
use std::net::Ipv4Addr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

async fn with_one_server() -> (Proxy, Session, Server) {
    let server = Server::anywhere().await;
    let (proxy, session) =
        Proxy::ready(FIGURES, usual(), vec![instance("i-1", server.address)]).await;
    (proxy, session, server)
}

/// Two requests on one connection of a client; the server answers the first with what `word` makes of its
/// good answer.
async fn second_after(word: impl Fn(Vec<u8>) -> Vec<u8>) -> googletest::Result<()> {
    let (proxy, _session, mut server) = with_one_server().await;
    let mut client = proxy.client().await;
    client
        .send("POST", "/write/a", &[("try-id", "t1")], b"")
        .await;
    let mut first = server.next().await;
    let bytes = word(first.worded(200, &[], "first"));
    first.write(&bytes).await;
    let answered = client.answer().await.expect("an answer");
    verify_that!(
        (answered.status, answered.text().as_str()),
        eq((200, "first"))
    )?;
    first.keep();
    client
        .send("POST", "/write/b", &[("try-id", "t2")], b"")
        .await;
    server.next().await.answer(200, &[], "second").await;
    let answered = client.answer().await.expect("an answer");
    verify_that!(
        (answered.status, answered.text().as_str()),
        eq((200, "second"))
    )?;
    verify_that!(answered.read.header("seal"), some(eq("s.t2")))?;
    // Nothing more stands on the client's connection.
    verify_that!(client.stream.try_read(&mut [0]).is_err(), eq(true))
}

/// No guard holds this alone: the turn behind an answer sees it, the looks at a kept connection, and the HTTP
/// library before it writes on one.
#[tokio::test]
async fn a_second_answer_right_behind_the_first_reaches_nobody() -> googletest::Result<()> {
    second_after(|bytes| [bytes.clone(), bytes].concat()).await
}

/// As before, with bytes that are no answer.
#[tokio::test]
async fn what_stands_behind_an_answer_reaches_nobody() -> googletest::Result<()> {
    second_after(|bytes| [bytes, b"and more of it".to_vec()].concat()).await
}

/// As before, with an answer that comes once the connection is idle.
#[tokio::test]
async fn a_second_answer_on_an_idle_connection_reaches_nobody() -> googletest::Result<()> {
    let (proxy, _session, mut server) = with_one_server().await;
    let mut client = proxy.client().await;
    client
        .send("POST", "/write/a", &[("try-id", "t1")], b"")
        .await;
    let mut first = server.next().await;
    let bytes = first.worded(200, &[], "first");
    first.write(&bytes).await;
    verify_that!(
        client.answer().await.map(|answered| answered.text()),
        some(eq("first"))
    )?;
    first.write(&bytes).await;
    first.keep();
    client
        .send("POST", "/write/b", &[("try-id", "t2")], b"")
        .await;
    server.next().await.answer(200, &[], "second").await;
    let answered = client.answer().await.expect("an answer");
    verify_that!(
        (answered.status, answered.text().as_str()),
        eq((200, "second"))
    )
}

/// Holds `belongs` in `converse`: the late one comes in the spot where the next one is due.
#[tokio::test]
async fn a_late_second_answer_is_not_the_next_requests() -> googletest::Result<()> {
    let (proxy, _session, mut server) = with_one_server().await;
    let mut client = proxy.client().await;
    client
        .send("POST", "/write/a", &[("try-id", "t1")], b"")
        .await;
    let first = server.next().await;
    let late = first.worded(200, &[], "late");
    first.answer(200, &[], "first").await;
    verify_that!(
        client.answer().await.map(|answered| answered.text()),
        some(eq("first"))
    )?;
    client
        .send("POST", "/write/b", &[("try-id", "t2")], b"")
        .await;
    let mut second = server.next().await;
    // On the connection that was kept, or this shows nothing.
    verify_that!(
        server
            .connections
            .load(std::sync::atomic::Ordering::Relaxed),
        eq(1)
    )?;
    second.write(&late).await;
    let answered = client.answer().await.expect("an answer");
    // It may have run; whatever is told, none of it is the late one's.
    verify_that!((answered.status, answered.text().as_str()), eq((502, "")))?;
    verify_that!(answered.read.header("seal"), none())?;
    second.broken_off().await;
    client
        .send("POST", "/write/c", &[("try-id", "t3")], b"")
        .await;
    server.next().await.answer(200, &[], "third").await;
    verify_that!(
        client.answer().await.map(|answered| answered.text()),
        some(eq("third"))
    )
}

/// Holds the error of a body that ends early in `converse`.
#[tokio::test]
async fn an_answer_cut_short_is_not_passed_on_as_whole() -> googletest::Result<()> {
    let (proxy, _session, mut server) = with_one_server().await;
    let heads = [
        "content-length: 100\r\n\r\nonly this",
        "transfer-encoding: chunked\r\n\r\n9\r\nonly this\r\n",
    ];
    for (number, rest) in heads.into_iter().enumerate() {
        let id = format!("t{number}");
        let cutting = async {
            let mut asked = server.next().await;
            asked
                .write(format!("HTTP/1.1 200 X\r\ntry-id: {id}\r\nseal: s\r\n{rest}").as_bytes())
                .await;
        };
        let (answered, ()) = tokio::join!(proxy.ask("POST", "/write/a", &id), cutting);
        verify_that!((answered.status, answered.text().as_str()), eq((502, "")))?;
    }
    Ok(())
}

/// Holds `Cut` in `Passing`: what has begun to be passed on breaks off as visibly as it did at the server.
#[tokio::test]
async fn a_long_answer_cut_short_breaks_off_at_the_client_too() -> googletest::Result<()> {
    let (proxy, _session, mut server) = with_one_server().await;
    let (length, part) = (3 << 20, vec![b'x'; 1 << 20]);
    for framing in [
        format!("content-length: {length}\r\n\r\n"),
        "transfer-encoding: chunked\r\n\r\n100000\r\n".into(),
    ] {
        let mut client = proxy.client().await;
        client
            .send(
                "GET",
                "/read/a",
                &[("try-id", "t1"), ("deadline", "8000")],
                b"",
            )
            .await;
        let mut asked = server.next().await;
        asked
            .write(format!("HTTP/1.1 200 X\r\ntry-id: t1\r\nseal: s\r\n{framing}").as_bytes())
            .await;
        asked.write(&part).await;
        // The client has its beginning before the rest fails.
        let mut byte = [0];
        soon("a beginning", client.stream.peek(&mut byte)).await?;
        drop(asked);
        let answered = client.answer().await.expect("a head");
        verify_that!((answered.status, answered.read.whole), eq((200, false)))?;
        verify_that!(
            answered.read.body.iter().all(|byte| *byte == b'x'),
            eq(true)
        )?;
    }
    Ok(())
}

// ---- Bodies ----

async fn with_limit(bytes: u64) -> (Proxy, Session, Server) {
    let (proxy, mut session, server) = with_one_server().await;
    let times = "\"hdr_read\":\"3000ms\",\"idle\":\"15000ms\"";
    let body = format!("{{\"hdr_max_bytes\":16384,\"body_max_bytes\":{bytes},{times},\"ver\":1}}");
    session
        .change(vec![item(ItemKind::Limits, "", 1, Some(body))], vec![])
        .await;
    (proxy, session, server)
}

/// Holds `PAYLOAD_TOO_LARGE` in the request handler, and the limit on its way there.
#[tokio::test]
async fn a_body_beyond_the_limit_is_not_taken() -> googletest::Result<()> {
    let (proxy, _session, mut server) = with_limit(1_000).await;
    let mut client = proxy.client().await;
    client
        .send("POST", "/write/a", &[("try-id", "t1")], &[b'x'; 1_001])
        .await;
    verify_that!(
        client.answer().await.map(|answered| answered.status),
        some(eq(413))
    )?;
    verify_that!(server.is_unasked(), eq(true))?;
    let mut client = proxy.client().await;
    client
        .send("POST", "/write/a", &[("try-id", "t2")], &[b'x'; 1_000])
        .await;
    let asked = server.next().await;
    verify_that!(asked.read.body.len(), eq(1_000))?;
    asked.answer(200, &[], "").await;
    verify_that!(
        client.answer().await.map(|answered| answered.status),
        some(eq(200))
    )
}

/// Holds method, path, query and body on their way, and what concerns the client's connection only.
#[tokio::test]
async fn a_chunked_request_is_passed_on_unaltered() -> googletest::Result<()> {
    let (proxy, _session, mut server) = with_one_server().await;
    let mut client = proxy.client().await;
    let head =
        "PUT /write/a%20b/?q=1&r=%2F HTTP/1.1\r\nhost: h.example\r\ntry-id: t1\r\nx-own: kept\r\n\
                connection: x-hop\r\nx-hop: 1\r\nkeep-alive: timeout=9\r\nwant-instance: i-9\r\n\
                transfer-encoding: chunked\r\n\r\n";
    client.write(head.as_bytes()).await;
    for chunk in ["5\r\nGET /\r\n", "1\r\n\r\r\n", "1\r\n\n\r\n", "0\r\n\r\n"] {
        client.write(chunk.as_bytes()).await;
    }
    let asked = server.next().await;
    verify_that!(
        asked.read.first.as_str(),
        eq("PUT /write/a%20b/?q=1&r=%2F HTTP/1.1")
    )?;
    verify_that!(asked.read.body.as_slice(), eq(b"GET /\r\n"))?;
    verify_that!(asked.header("x-own"), some(eq("kept")))?;
    verify_that!(asked.header("host"), some(eq("h.example")))?;
    verify_that!(asked.header("try-id"), some(eq("t1")))?;
    verify_that!(asked.header("want-instance"), some(eq("i-1")))?;
    for name in ["x-hop", "keep-alive", "connection"] {
        verify_that!(asked.header(name), none())?;
    }
    asked.answer(200, &[], "").await;
    verify_that!(
        client.answer().await.map(|answered| answered.status),
        some(eq(200))
    )
}

/// Holds `Upstreamed::Coming`: the server has its beginning before the client has sent its end. And the
/// patience of such a request in the engine: it has as long as any other, counted from its last byte.
#[tokio::test]
async fn a_long_body_is_passed_on_while_it_comes() -> googletest::Result<()> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    let instances = vec![instance("i-1", listener.local_addr()?)];
    let (proxy, _session) = Proxy::ready(FIGURES, usual(), instances).await;
    let body: Vec<u8> = (0..300_000u32).map(|at| (at % 251) as u8).collect();
    let mut client = proxy.client().await;
    let head = format!(
        "POST /write/a HTTP/1.1\r\nhost: h.example\r\ntry-id: t1\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    client.write(head.as_bytes()).await;
    client.write(&body[..150_000]).await;
    let (mut server, _) = soon("a connection", listener.accept()).await?;
    let mut begun = vec![0; 100_000];
    soon("a beginning", server.read_exact(&mut begun)).await?;
    client.write(&body[150_000..]).await;
    // Read once more from its beginning, as one message.
    let (mut whole, mut source) = local_pair().await;
    let passing = async {
        source.write_all(&begun).await?;
        let left = body.len() + head_length(&begun) - begun.len();
        tokio::io::copy(&mut (&mut server).take(left as u64), &mut source).await
    };
    let (asked, passed) = tokio::join!(soon("a request", read(&mut whole, false)), passing);
    passed?;
    let asked = asked.expect("a request");
    verify_that!((asked.whole, asked.body == body), eq((true, true)))?;
    // Its time begins with its last byte, and is still the route's.
    let deadline = asked
        .header("deadline")
        .and_then(|ms| ms.parse::<u64>().ok());
    verify_that!(deadline, some(all![gt(7_000), le(8_000)]))?;
    server
        .write_all(b"HTTP/1.1 200 X\r\ntry-id: t1\r\nseal: s\r\ncontent-length: 0\r\n\r\n")
        .await?;
    verify_that!(
        client.answer().await.map(|answered| answered.status),
        some(eq(200))
    )
}

fn head_length(bytes: &[u8]) -> usize {
    bytes
        .windows(4)
        .position(|four| four == b"\r\n\r\n")
        .expect("a head")
        + 4
}

async fn local_pair() -> (tokio::net::TcpStream, tokio::net::TcpStream) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
        .await
        .expect("bound");
    let there = Client::try_connect(listener.local_addr().expect("bound"))
        .await
        .expect("connected")
        .stream;
    (listener.accept().await.expect("accepted").0, there)
}

/// Holds `is_quiet` in `retire`: a connection on which an interim answer has come while it was idle is given up.
#[tokio::test]
async fn an_interim_answer_on_an_idle_connection_reaches_nobody() -> googletest::Result<()> {
    let (proxy, _session, mut server) = with_one_server().await;
    let mut client = proxy.client().await;
    for (number, interim) in ["100 Continue", "103 Early Hints", "101 Switching Protocols"]
        .into_iter()
        .enumerate()
    {
        client
            .send("POST", "/write/a", &[("try-id", "t1")], b"")
            .await;
        let mut first = server.next().await;
        first.write(&first.worded(200, &[], "first")).await;
        verify_that!(
            client.answer().await.map(|answered| answered.text()),
            some(eq("first"))
        )?;
        first
            .write(format!("HTTP/1.1 {interim}\r\n\r\n").as_bytes())
            .await;
        // Seen by the proxy before the next request comes.
        first.broken_off().await;
        client
            .send("POST", "/write/b", &[("try-id", "t2")], b"")
            .await;
        server.next().await.answer(200, &[], "second").await;
        let answered = client.answer().await.expect("an answer");
        verify_that!(
            (number, answered.status, answered.text().as_str()),
            eq((number, 200, "second"))
        )?;
        // On another connection than the one that holds it.
        verify_that!(
            server
                .connections
                .load(std::sync::atomic::Ordering::Relaxed),
            eq(number as u32 + 2)
        )?;
    }
    Ok(())
}

/// Holds `freshness` for requests without an id: no late answer can be taken for theirs on a connection that carried
/// nothing before.
#[tokio::test]
async fn a_request_without_an_id_goes_on_a_new_connection() -> googletest::Result<()> {
    let (proxy, _session, mut server) = with_one_server().await;
    let mut client = proxy.client().await;
    for connections in 1..4 {
        client.send("POST", "/write/a", &[], b"").await;
        let mut asked = server.next().await;
        asked
            .write(b"HTTP/1.1 500 X\r\ncontent-length: 0\r\n\r\n")
            .await;
        asked.keep();
        verify_that!(
            client.answer().await.map(|answered| answered.status),
            some(eq(500))
        )?;
        verify_that!(
            server
                .connections
                .load(std::sync::atomic::Ordering::Relaxed),
            eq(connections)
        )?;
    }
    Ok(())
}
