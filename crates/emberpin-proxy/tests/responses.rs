//! Integrity of responses: late, duplicated or truncated ones must not reach a client as another response or as
//! complete.
#![allow(missing_docs, reason = "a test has no public interface")]

mod common;

use common::{read_head, start_with_one_server, within_limit};
use googletest::prelude::*;

/// Sends two requests on one connection of a client. The server sends its response to the first as altered by `tamper`,
/// and the second must get its own response.
async fn second_request_after(tamper: impl Fn(Vec<u8>) -> Vec<u8>) -> googletest::Result<()> {
    let (proxy, _session, mut server) = start_with_one_server().await;
    let mut client = proxy.connect().await;
    client
        .send("POST", "/write/a", &[("try-id", "t1")], b"")
        .await;
    let mut first = server.next_request().await;
    let bytes = tamper(first.response_bytes(200, &[], "first"));
    first.write(&bytes).await;
    let response = client.response().await.expect("a response");
    verify_that!(
        (response.status, response.text().as_str()),
        eq((200, "first"))
    )?;
    first.keep_connection();
    client
        .send("POST", "/write/b", &[("try-id", "t2")], b"")
        .await;
    server
        .next_request()
        .await
        .respond(200, &[], "second")
        .await;
    let response = client.response().await.expect("a response");
    verify_that!(
        (response.status, response.text().as_str()),
        eq((200, "second"))
    )?;
    verify_that!(response.message.header("seal"), some(eq("s.t2")))?;
    // Nothing more follows on the client's connection.
    verify_that!(client.stream.try_read(&mut [0]).is_err(), eq(true))
}

/// Guards several checks together: of the connection after each response, of idle connections, and by the HTTP library
/// before it writes.
#[tokio::test]
async fn a_duplicate_response_directly_after_the_first_reaches_no_client() -> googletest::Result<()>
{
    second_request_after(|bytes| [bytes.clone(), bytes].concat()).await
}

/// As before, with bytes that are not a response.
#[tokio::test]
async fn bytes_after_a_response_reach_no_client() -> googletest::Result<()> {
    second_request_after(|bytes| [bytes, b"and more of it".to_vec()].concat()).await
}

/// As before, with a response that arrives once the connection is idle.
#[tokio::test]
async fn a_duplicate_response_on_an_idle_connection_reaches_no_client() -> googletest::Result<()> {
    let (proxy, _session, mut server) = start_with_one_server().await;
    let mut client = proxy.connect().await;
    client
        .send("POST", "/write/a", &[("try-id", "t1")], b"")
        .await;
    let mut first = server.next_request().await;
    let bytes = first.response_bytes(200, &[], "first");
    first.write(&bytes).await;
    verify_that!(
        client.response().await.map(|response| response.text()),
        some(eq("first"))
    )?;
    first.write(&bytes).await;
    first.keep_connection();
    client
        .send("POST", "/write/b", &[("try-id", "t2")], b"")
        .await;
    server
        .next_request()
        .await
        .respond(200, &[], "second")
        .await;
    let response = client.response().await.expect("a response");
    verify_that!(
        (response.status, response.text().as_str()),
        eq((200, "second"))
    )
}

/// Guards `Wire::response_belongs` where a response is read: the late one arrives while the next one is awaited.
#[tokio::test]
async fn a_late_duplicate_response_is_not_forwarded_for_the_next_request() -> googletest::Result<()>
{
    let (proxy, _session, mut server) = start_with_one_server().await;
    let mut client = proxy.connect().await;
    client
        .send("POST", "/write/a", &[("try-id", "t1")], b"")
        .await;
    let first = server.next_request().await;
    let late = first.response_bytes(200, &[], "late");
    first.respond(200, &[], "first").await;
    verify_that!(
        client.response().await.map(|response| response.text()),
        some(eq("first"))
    )?;
    client
        .send("POST", "/write/b", &[("try-id", "t2")], b"")
        .await;
    let mut second = server.next_request().await;
    // The second request must have arrived on the same connection, or this test would prove nothing.
    verify_that!(server.connection_count(), eq(1))?;
    second.write(&late).await;
    let response = client.response().await.expect("a response");
    // The request may have run, so the client gets a 502, without any byte of the late response.
    verify_that!((response.status, response.text().as_str()), eq((502, "")))?;
    verify_that!(response.message.header("seal"), none())?;
    second.wait_closed().await;
    client
        .send("POST", "/write/c", &[("try-id", "t3")], b"")
        .await;
    server.next_request().await.respond(200, &[], "third").await;
    verify_that!(
        client.response().await.map(|response| response.text()),
        some(eq("third"))
    )
}

/// Guards the error of a response body that ends early.
#[tokio::test]
async fn a_truncated_response_is_not_forwarded_as_complete() -> googletest::Result<()> {
    let (proxy, _session, mut server) = start_with_one_server().await;
    let heads = [
        "content-length: 100\r\n\r\nonly this",
        "transfer-encoding: chunked\r\n\r\n9\r\nonly this\r\n",
    ];
    for (number, rest) in heads.into_iter().enumerate() {
        let id = format!("t{number}");
        let truncating = async {
            let mut request = server.next_request().await;
            request
                .write(format!("HTTP/1.1 200 X\r\ntry-id: {id}\r\nseal: s\r\n{rest}").as_bytes())
                .await;
        };
        let (response, ()) = tokio::join!(proxy.request("POST", "/write/a", &id), truncating);
        verify_that!((response.status, response.text().as_str()), eq((502, "")))?;
    }
    Ok(())
}

/// Guards `BodyInterrupted` in the streamed response: the client sees a truncation as clearly as the proxy did.
#[tokio::test]
async fn a_streamed_response_that_is_truncated_breaks_off_at_the_client_too(
) -> googletest::Result<()> {
    let (proxy, _session, mut server) = start_with_one_server().await;
    let (length, part) = (3 << 20, vec![b'x'; 1 << 20]);
    for framing in [
        format!("content-length: {length}\r\n\r\n"),
        "transfer-encoding: chunked\r\n\r\n100000\r\n".into(),
    ] {
        let mut client = proxy.connect().await;
        client
            .send(
                "GET",
                "/read/a",
                &[("try-id", "t1"), ("deadline", "8000")],
                b"",
            )
            .await;
        let mut request = server.next_request().await;
        request
            .write(format!("HTTP/1.1 200 X\r\ntry-id: t1\r\nseal: s\r\n{framing}").as_bytes())
            .await;
        request.write(&part).await;
        // The client receives the beginning before the rest fails.
        let mut byte = [0];
        within_limit("a beginning", client.stream.peek(&mut byte)).await?;
        drop(request);
        let response = client.response().await.expect("a head");
        verify_that!(
            (response.status, response.message.complete),
            eq((200, false))
        )?;
        verify_that!(
            response.message.body.iter().all(|byte| *byte == b'x'),
            eq(true)
        )?;
    }
    Ok(())
}

/// Guards the checks of idle connections: one on which an interim response has arrived is closed.
#[tokio::test]
async fn an_interim_response_on_an_idle_connection_reaches_no_client() -> googletest::Result<()> {
    let (proxy, _session, mut server) = start_with_one_server().await;
    let mut client = proxy.connect().await;
    for (number, interim) in ["100 Continue", "103 Early Hints", "101 Switching Protocols"]
        .into_iter()
        .enumerate()
    {
        client
            .send("POST", "/write/a", &[("try-id", "t1")], b"")
            .await;
        let mut first = server.next_request().await;
        first.write(&first.response_bytes(200, &[], "first")).await;
        verify_that!(
            client.response().await.map(|response| response.text()),
            some(eq("first"))
        )?;
        first
            .write(format!("HTTP/1.1 {interim}\r\n\r\n").as_bytes())
            .await;
        // The proxy closes the connection before the next request arrives.
        first.wait_closed().await;
        client
            .send("POST", "/write/b", &[("try-id", "t2")], b"")
            .await;
        server
            .next_request()
            .await
            .respond(200, &[], "second")
            .await;
        let response = client.response().await.expect("a response");
        verify_that!(
            (number, response.status, response.text().as_str()),
            eq((number, 200, "second"))
        )?;
        // The request was sent on another connection than the one with the interim response.
        verify_that!(server.connection_count(), eq(number as u32 + 2))?;
    }
    Ok(())
}

/// Guards `max_connection_idle` for requests without an id: on a connection that carried no request before, no late
/// response can be mistaken for theirs.
#[tokio::test]
async fn a_request_without_an_id_is_sent_on_a_new_connection() -> googletest::Result<()> {
    let (proxy, _session, mut server) = start_with_one_server().await;
    let mut client = proxy.connect().await;
    for connections in 1..4 {
        client.send("POST", "/write/a", &[], b"").await;
        let mut request = server.next_request().await;
        request
            .write(b"HTTP/1.1 500 X\r\ncontent-length: 0\r\n\r\n")
            .await;
        request.keep_connection();
        verify_that!(client.status().await, some(eq(500)))?;
        verify_that!(server.connection_count(), eq(connections))?;
    }
    Ok(())
}

/// Guards `Wire::is_reusable_after`: a second rejection of a request without an id names no request, and must not be
/// taken for the rejection of the next one (a relative of review/8).
#[tokio::test]
async fn a_connection_of_a_request_without_an_id_carries_no_other_request() -> googletest::Result<()>
{
    let (proxy, _session, mut server) = start_with_one_server().await;
    let mut client = proxy.connect().await;
    client.send("POST", "/write/a", &[], b"").await;
    let mut first = server.next_request().await;
    first
        .write(b"HTTP/1.1 500 X\r\ncontent-length: 0\r\n\r\n")
        .await;
    verify_that!(client.status().await, some(eq(500)))?;
    client
        .send("GET", "/read/b", &[("try-id", "t2")], b"")
        .await;
    let next_on_first = async {
        let mut stream = &mut first.stream;
        tokio::io::AsyncReadExt::read(&mut stream, &mut [0]).await
    };
    // The proxy closes the connection in place of using it again.
    verify_that!(within_limit("the end", next_on_first).await?, eq(0))?;
    server.next_request().await.respond(200, &[], "read").await;
    verify_that!(client.status().await, some(eq(200)))
}

/// Has a server send a response without a length and with `connection: close`, then close the connection, or reset it
/// if `reset`. Returns the client's status, whether the response was complete, and its body.
async fn unframed_response(reset: bool) -> googletest::Result<Option<(u16, bool, String)>> {
    let (proxy, _session, mut server) = start_with_one_server().await;
    let mut client = proxy.connect().await;
    client
        .send("POST", "/write/a", &[("try-id", "t1")], b"")
        .await;
    let mut request = server.next_request().await;
    request
        .write(b"HTTP/1.1 200 X\r\ntry-id: t1\r\nseal: s.t1\r\nconnection: close\r\n\r\nto the end")
        .await;
    if reset {
        // Dropping the stream resets the connection now.
        socket2::SockRef::from(&request.stream).set_linger(Some(std::time::Duration::ZERO))?;
    }
    drop(request);
    let response = client.response().await;
    Ok(response.map(|response| (response.status, response.message.complete, response.text())))
}

#[tokio::test]
async fn a_response_without_a_length_ends_with_its_connection() -> googletest::Result<()> {
    let response = unframed_response(false).await?;
    verify_that!(response, some(eq(&(200, true, "to the end".to_string()))))
}

#[tokio::test]
async fn a_response_without_a_length_that_is_reset_is_not_forwarded_as_complete(
) -> googletest::Result<()> {
    let response = unframed_response(true).await?;
    let is_complete_success =
        response.is_some_and(|(status, complete, _)| status == 200 && complete);
    verify_that!(is_complete_success, eq(false))
}

/// Guards `may_have_body` in `has_valid_framing`: a response that can have no body ends with its head, and needs no
/// framing. A mutating request that its server had run got 502.
#[tokio::test]
async fn a_response_that_can_have_no_body_is_forwarded_without_a_framing() -> googletest::Result<()>
{
    for (method, status) in [("POST", 204), ("POST", 304), ("GET", 204), ("HEAD", 200)] {
        let (proxy, _session, mut server) = start_with_one_server().await;
        let mut client = proxy.connect().await;
        for id in ["t1", "t2"] {
            client
                .send(method, "/write/a", &[("try-id", id)], b"")
                .await;
            let mut received = server.next_request().await;
            let head = format!("HTTP/1.1 {status} X\r\ntry-id: {id}\r\nseal: s\r\n\r\n");
            received.write(head.as_bytes()).await;
            received.keep_connection();
            let reading = read_head(&mut client.stream);
            let (first, headers) = within_limit("a response", reading).await.expect("a head");
            verify_that!(first, starts_with(format!("HTTP/1.1 {status} ")))
                .with_failure_message(|| method.to_string())?;
            verify_that!(headers.get("seal").map(String::as_str), some(eq("s")))?;
        }
    }
    Ok(())
}
