//! Servers that respond before they have read the whole body of a request, keep the connection and read on.
#![allow(missing_docs, reason = "a test has no public interface")]

mod common;

use common::{
    default_items, instance, item, read_head, read_message, within_limit, BodyFraming, Client,
    MessageKind, Proxy, RegistrySession, Response, Uploader, DEFAULT_BOUNDS,
};
use emberpin_config::ItemKind;
use googletest::prelude::*;
use std::net::Ipv4Addr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// Length of each request body: several times what the proxy buffers.
const BODY_BYTES: usize = 600_000;
/// How much of a body is sent before the response.
const FIRST_PART: usize = 150_000;
/// A pause within a response without a stated length, after which the proxy streams it.
const RESPONSE_PAUSE: Duration = Duration::from_millis(500);

/// The form of an early response.
#[derive(Clone, Copy, Debug)]
struct ResponseForm {
    status: u16,
    length: usize,
    chunked: bool,
    /// Whether it is written in two halves, with a pause between them.
    paused: bool,
}

const RESPONSE_FORMS: [ResponseForm; 8] = [
    ResponseForm {
        status: 200,
        length: 2_000,
        chunked: false,
        paused: false,
    },
    ResponseForm {
        status: 200,
        length: 30_000,
        chunked: false,
        paused: false,
    },
    ResponseForm {
        status: 200,
        length: 30_000,
        chunked: false,
        paused: true,
    },
    ResponseForm {
        status: 200,
        length: 200_000,
        chunked: true,
        paused: false,
    },
    ResponseForm {
        status: 200,
        length: 2_000,
        chunked: true,
        paused: true,
    },
    ResponseForm {
        status: 500,
        length: 30_000,
        chunked: false,
        paused: false,
    },
    ResponseForm {
        status: 404,
        length: 200_000,
        chunked: true,
        paused: false,
    },
    ResponseForm {
        status: 504,
        length: 2_000,
        chunked: true,
        paused: true,
    },
];

fn response_head(form: ResponseForm) -> String {
    let framing = match form.chunked {
        true => "transfer-encoding: chunked".to_string(),
        false => format!("content-length: {}", form.length),
    };
    let status = form.status;
    format!("HTTP/1.1 {status} X\r\ntry-id: t1\r\nseal: s\r\n{framing}\r\n\r\n")
}

async fn write_response(stream: &mut TcpStream, form: ResponseForm) -> std::io::Result<()> {
    stream.write_all(response_head(form).as_bytes()).await?;
    let half = vec![b'r'; form.length / 2];
    for number in 0..2 {
        if number == 1 && form.paused {
            sleep(RESPONSE_PAUSE).await;
        }
        if form.chunked {
            let size = format!("{:x}\r\n", half.len());
            stream.write_all(size.as_bytes()).await?;
        }
        stream.write_all(&half).await?;
        if form.chunked {
            stream.write_all(b"\r\n").await?;
        }
    }
    if form.chunked {
        stream.write_all(b"0\r\n\r\n").await?;
    }
    Ok(())
}

/// A client that has sent the first part of its body.
async fn start_upload(proxy: &Proxy, framing: BodyFraming, length: usize) -> Uploader {
    let mut uploader = Uploader::start(proxy, "/write/a", framing, length).await;
    uploader.send(&[b'b'; FIRST_PART]).await;
    uploader
}

/// A proxy with one server, whose connections the test accepts.
async fn start() -> (Proxy, RegistrySession, TcpListener) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
        .await
        .expect("bound");
    let instances = vec![instance("i-1", listener.local_addr().expect("bound"))];
    let (proxy, session) = Proxy::start_ready(DEFAULT_BOUNDS, default_items(), instances).await;
    (proxy, session, listener)
}

/// Accepts an attempt, and reads the beginning of its request.
async fn accept_beginning(listener: &TcpListener) -> TcpStream {
    let (mut stream, _) = within_limit("a connection", listener.accept())
        .await
        .expect("accepted");
    let mut beginning = vec![0; FIRST_PART];
    within_limit("the beginning", stream.read_exact(&mut beginning))
        .await
        .expect("read");
    stream
}

/// Reads what comes, until the connection ends.
fn read_on(mut stream: TcpStream) {
    tokio::spawn(async move { tokio::io::copy(&mut stream, &mut tokio::io::sink()).await });
}

fn verify_complete(response: Option<Response>, form: ResponseForm) -> googletest::Result<()> {
    let Some(response) = response else {
        return fail!("the connection ended without a response");
    };
    let message = response.message;
    verify_that!(
        (response.status, message.complete, message.body.len()),
        eq((form.status, true, form.length))
    )
}

/// Sends a short request on the client's connection, and serves it.
async fn verify_connection_is_kept(
    client: &mut Client,
    listener: &TcpListener,
) -> googletest::Result<()> {
    client
        .send("POST", "/write/b", &[("try-id", "t1")], b"short")
        .await;
    let (mut server, _) = within_limit("a connection", listener.accept()).await?;
    let reading = read_message(&mut server, MessageKind::Request);
    verify_that!(within_limit("a request", reading).await, some(anything()))?;
    let form = RESPONSE_FORMS[0];
    write_response(&mut server, form).await?;
    verify_complete(client.response().await, form)
}

/// Guards `StreamedBody::upload` and `StreamConnection::Driven`: an early response reaches a client that is still sending
/// its body, in every form, and its connection is kept (review/6, LOST).
#[tokio::test]
async fn an_early_response_reaches_a_client_that_is_still_uploading() -> googletest::Result<()> {
    for framing in BodyFraming::ALL {
        for form in RESPONSE_FORMS {
            let (proxy, _session, listener) = start().await;
            let mut uploader = start_upload(&proxy, framing, BODY_BYTES).await;
            let mut server = accept_beginning(&listener).await;
            write_response(&mut server, form).await?;
            read_on(server);
            verify_complete(uploader.client.response().await, form)
                .with_failure_message(|| format!("{framing:?}, {form:?}"))?;
            uploader.finish(&[b'b'; BODY_BYTES - FIRST_PART]).await;
            verify_connection_is_kept(&mut uploader.client, &listener).await?;
        }
    }
    Ok(())
}

/// Guards that the rest of the body goes to the server while an early response is streamed, which the server may wait
/// for.
#[tokio::test]
async fn a_server_gets_the_rest_of_a_body_while_it_responds() -> googletest::Result<()> {
    for framing in BodyFraming::ALL {
        let (proxy, _session, listener) = start().await;
        let mut uploader = start_upload(&proxy, framing, BODY_BYTES).await;
        let mut server = accept_beginning(&listener).await;
        let form = RESPONSE_FORMS[1];
        server.write_all(response_head(form).as_bytes()).await?;
        server.write_all(&vec![b'r'; form.length / 2]).await?;
        let mut half = vec![0; form.length / 2];
        within_limit("the head", read_head(&mut uploader.client.stream)).await;
        within_limit("a half", uploader.client.stream.read_exact(&mut half)).await?;
        uploader.finish(&[b'b'; BODY_BYTES - FIRST_PART]).await;
        let mut rest = vec![0; BODY_BYTES - FIRST_PART];
        within_limit("the rest of the body", server.read_exact(&mut rest)).await?;
        server.write_all(&half).await?;
        within_limit(
            "the other half",
            uploader.client.stream.read_exact(&mut half),
        )
        .await?;
        verify_connection_is_kept(&mut uploader.client, &listener).await?;
    }
    Ok(())
}

/// Guards `drive_in_background`: a client that reads its response only after it has sent its body gets it, although the
/// response is longer than what sockets hold.
#[tokio::test]
async fn a_client_that_reads_after_its_upload_gets_a_long_early_response() -> googletest::Result<()>
{
    const LONG: usize = 24 << 20;
    let (proxy, _session, listener) = start().await;
    let mut uploader = start_upload(&proxy, BodyFraming::Length, LONG).await;
    let server = accept_beginning(&listener).await;
    let (mut reader, mut writer) = server.into_split();
    tokio::spawn(async move { tokio::io::copy(&mut reader, &mut tokio::io::sink()).await });
    let form = ResponseForm {
        status: 200,
        length: LONG,
        chunked: false,
        paused: false,
    };
    tokio::spawn(async move {
        writer.write_all(response_head(form).as_bytes()).await?;
        writer.write_all(&vec![b'r'; LONG]).await
    });
    uploader.finish(&vec![b'b'; LONG - FIRST_PART]).await;
    verify_complete(uploader.client.response().await, form)
}

/// Guards the end of a connection after SIGTERM: it is closed only when its client has sent the rest of its body, as the
/// response could be lost otherwise.
#[tokio::test]
async fn an_early_response_of_a_draining_proxy_is_not_lost() -> googletest::Result<()> {
    for framing in BodyFraming::ALL {
        let (proxy, _session, listener) = start().await;
        let mut uploader = start_upload(&proxy, framing, BODY_BYTES).await;
        let mut server = accept_beginning(&listener).await;
        proxy.terminate();
        proxy.wait_readiness(503).await;
        let form = RESPONSE_FORMS[1];
        write_response(&mut server, form).await?;
        read_on(server);
        // The client does not read before it has sent all.
        sleep(RESPONSE_PAUSE).await;
        uploader.finish(&[b'b'; BODY_BYTES - FIRST_PART]).await;
        verify_complete(uploader.client.response().await, form)
            .with_failure_message(|| format!("{framing:?}"))?;
    }
    Ok(())
}

/// Guards `Connection::end_request`: the rest of a body after an early response is no head of a request, and has the
/// time of a body.
#[tokio::test]
async fn a_slow_rest_of_a_body_after_its_response_does_not_end_the_connection(
) -> googletest::Result<()> {
    const HEAD_LIMIT: Duration = Duration::from_millis(300);
    const REST_PIECES: usize = 6;
    const REST_PIECE: usize = (BODY_BYTES - FIRST_PART) / REST_PIECES;
    for framing in BodyFraming::ALL {
        let (proxy, mut session, listener) = start().await;
        let limits = format!(
            "{{\"hdr_max_bytes\":16384,\"body_max_bytes\":67108864,\"hdr_read\":\"{}ms\",\"idle\":\"600ms\",\"ver\":1}}",
            HEAD_LIMIT.as_millis()
        );
        session
            .send_changes(vec![item(ItemKind::Limits, "", 1, Some(limits))], vec![])
            .await;
        let mut uploader = start_upload(&proxy, framing, BODY_BYTES).await;
        let mut server = accept_beginning(&listener).await;
        let form = RESPONSE_FORMS[1];
        write_response(&mut server, form).await?;
        read_on(server);
        for _ in 1..REST_PIECES {
            sleep(HEAD_LIMIT).await;
            uploader.send(&[b'b'; REST_PIECE]).await;
        }
        uploader.finish(&[b'b'; REST_PIECE]).await;
        verify_complete(uploader.client.response().await, form)
            .with_failure_message(|| format!("{framing:?}"))?;
        verify_connection_is_kept(&mut uploader.client, &listener).await?;
    }
    Ok(())
}

/// Length of a body that is still being sent when its server closes the connection.
const LONG_BODY_BYTES: usize = 4_000_000;
/// Each form of a response is tried this many times, as the moment of the failed write differs.
const CLOSING_ROUNDS: usize = 6;

/// Sends a long body, while the server responds with these bytes and closes its connection with the rest unread.
async fn response_before_close(
    framing: BodyFraming,
    bytes: Vec<u8>,
) -> googletest::Result<Option<Response>> {
    let (proxy, _session, listener) = start().await;
    let mut uploader = start_upload(&proxy, framing, LONG_BODY_BYTES).await;
    let mut server = accept_beginning(&listener).await;
    let responding = tokio::spawn(async move {
        server.write_all(&bytes).await?;
        // With a byte unread, the connection is reset when it is dropped.
        server.peek(&mut [0]).await
    });
    uploader
        .finish(&vec![b'b'; LONG_BODY_BYTES - FIRST_PART])
        .await;
    responding.await??;
    Ok(uploader.client.response().await)
}

/// Guards `ObservedStream::on_written`: a write to a server that has responded and closed its connection fails, and the
/// response must not be lost with it (a relative of review/6).
#[tokio::test]
async fn a_response_of_a_server_that_closes_without_reading_the_body_is_not_lost(
) -> googletest::Result<()> {
    const REJECTION: &[u8] =
        b"HTTP/1.1 503 Full\r\ntry-id: t1\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n";
    for framing in BodyFraming::ALL {
        for _ in 0..CLOSING_ROUNDS {
            for form in &RESPONSE_FORMS[..2] {
                let bytes = [response_head(*form).as_bytes(), &vec![b'r'; form.length]].concat();
                let response = response_before_close(framing, bytes).await?;
                verify_complete(response, *form)
                    .with_failure_message(|| format!("{framing:?}, {form:?}"))?;
            }
            let rejected = response_before_close(framing, REJECTION.to_vec()).await?;
            verify_that!(rejected.map(|response| response.status), some(eq(503)))?;
        }
    }
    Ok(())
}

/// Guards `ObservedStream::poll_read`: after a failed write, the end of the connection is no end of a response without a
/// length, as its server has reset it.
#[tokio::test]
async fn a_response_without_a_length_is_not_complete_after_a_reset() -> googletest::Result<()> {
    const UNTIL_CLOSE: &str =
        "HTTP/1.1 200 X\r\ntry-id: t1\r\nseal: s\r\nconnection: close\r\n\r\n";
    for framing in BodyFraming::ALL {
        for length in [2_000, 30_000] {
            let bytes = [UNTIL_CLOSE.as_bytes(), &vec![b'r'; length]].concat();
            let response = response_before_close(framing, bytes).await?;
            let is_whole = response
                .is_some_and(|response| response.status == 200 && response.message.complete);
            verify_that!(is_whole, eq(false))
                .with_failure_message(|| format!("{framing:?}, {length}"))?;
        }
    }
    Ok(())
}
