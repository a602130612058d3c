//! Request bodies that are streamed to a server, and whose request is turned away, routed again or given up meanwhile:
//! no server may receive a part of a body as a complete request.
#![allow(missing_docs, reason = "a test has no public interface")]

mod common;

use common::{
    default_items, instance, next_request_at_either, poll_until, service, two_servers,
    within_limit, BodyFraming, Proxy, RegistrySession, RouteSpec, Server, Uploader, DEFAULT_BOUNDS,
    MUTATING_ROUTE, READONLY_ROUTE,
};
use emberpin_membership::instance::Instance;
use googletest::prelude::*;
use std::net::Ipv4Addr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Length of each body: several times what the proxy buffers.
const BODY_BYTES: usize = 300_000;
/// Length of the part of a body that is sent at first. The proxy buffers somewhat over 64 KiB of it.
const FIRST_PART: usize = 150_000;
/// The proxy forwards a body from this length on; all of it is in the buffered beginning.
const FORWARDED_FROM: usize = 64 * 1024 + 1;
/// A rejection by a server that has not run the request.
const REJECTION: &[u8] =
    b"HTTP/1.1 503 Full\r\ntry-id: t1\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n";
/// The mutating route, moved to the other service.
const MOVED_ROUTE: RouteSpec = RouteSpec {
    service: "t",
    version: 2,
    ..MUTATING_ROUTE
};

/// When the first server turns the request away.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Rejected {
    DuringUpload,
    AfterUpload,
}

/// A body without repetitions, so that a gap in it shows.
fn body() -> Vec<u8> {
    let word = |index: usize| format!("{index:07} ").into_bytes();
    let mut body: Vec<u8> = (0..BODY_BYTES / 8 + 1).flat_map(word).collect();
    body.truncate(BODY_BYTES);
    body
}

/// A proxy with a raw server of the service `s` and a server of the service `t`. Both services have a retry budget.
async fn start() -> (Proxy, RegistrySession, TcpListener, Server) {
    let first = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
        .await
        .expect("bound");
    let mut other = Server::start().await;
    let instances = vec![
        instance("i-1", first.local_addr().expect("bound")),
        Instance {
            service: "t".into(),
            ..instance("i-2", other.address)
        },
    ];
    let read = RouteSpec {
        service: "t",
        ..READONLY_ROUTE
    };
    let items = vec![
        service("s", 1, 10.0),
        service("t", 1, 10.0),
        MUTATING_ROUTE.item(),
        read.item(),
    ];
    let (proxy, session) = Proxy::start_ready(DEFAULT_BOUNDS, items, instances).await;
    let serving = async {
        let request = other.next_request().await;
        request.respond(200, &[], "read").await;
    };
    let (response, ()) = tokio::join!(proxy.request("GET", "/read/a", "t0"), serving);
    assert_eq!(response.status, 200);
    (proxy, session, first, other)
}

/// Accepts the attempt at the first server, and reads at least this many bytes of it.
async fn accept_beginning(listener: &TcpListener, bytes: usize) -> TcpStream {
    let (mut stream, _) = within_limit("a connection", listener.accept())
        .await
        .expect("accepted");
    let mut beginning = vec![0; bytes];
    within_limit("the beginning", stream.read_exact(&mut beginning))
        .await
        .expect("read");
    stream
}

/// Has the route move to another service during an upload that the first server turns away.
async fn expect_not_routed_again(
    framing: BodyFraming,
    rejected: Rejected,
) -> googletest::Result<()> {
    let (proxy, mut session, listener, mut other) = start().await;
    let body = body();
    let mut uploader = Uploader::start(&proxy, "/write/a", framing, BODY_BYTES).await;
    uploader.send(&body[..FIRST_PART]).await;
    let mut server = accept_beginning(&listener, FIRST_PART).await;
    session.send_changes(vec![MOVED_ROUTE.item()], vec![]).await;
    if rejected == Rejected::AfterUpload {
        uploader.finish(&body[FIRST_PART..]).await;
        let mut rest = vec![0; BODY_BYTES - FIRST_PART];
        within_limit("the rest", server.read_exact(&mut rest)).await?;
    }
    server.write_all(REJECTION).await?;
    let responding = async {
        let status = uploader.client.status().await;
        if rejected == Rejected::DuringUpload {
            uploader.finish(&body[FIRST_PART..]).await;
        }
        status
    };
    tokio::select! {
        request = other.requests.recv() => {
            let received = request.map(|request| (request.message.complete, request.message.body.len()));
            fail!("the other service got {received:?}")
        }
        // The request has not run, and can't be sent to a server again.
        status = responding => verify_that!(status, some(eq(503))),
    }
}

/// Guards `Engine::withdraw` and `Upload`: a request of whose body a part was sent is not routed again when its route
/// moves to another service, as a server there would run a part of it (review/4, UNASKED).
#[tokio::test]
async fn an_upload_that_was_sent_in_part_is_not_sent_to_another_service() -> googletest::Result<()>
{
    for framing in BodyFraming::ALL {
        for rejected in [Rejected::AfterUpload, Rejected::DuringUpload] {
            expect_not_routed_again(framing, rejected)
                .await
                .with_failure_message(|| format!("{framing:?}, {rejected:?}"))?;
        }
    }
    Ok(())
}

/// Guards `Upload::is_replayable`: as long as only the buffered beginning was sent, the whole body can be sent to the
/// server of the new service.
#[tokio::test]
async fn an_upload_whose_beginning_is_buffered_is_sent_to_another_service_completely(
) -> googletest::Result<()> {
    for framing in BodyFraming::ALL {
        let (proxy, mut session, listener, mut other) = start().await;
        let body = body();
        let mut uploader = Uploader::start(&proxy, "/write/a", framing, BODY_BYTES).await;
        uploader.send(&body[..FORWARDED_FROM]).await;
        let mut server = accept_beginning(&listener, FORWARDED_FROM).await;
        session.send_changes(vec![MOVED_ROUTE.item()], vec![]).await;
        server.write_all(REJECTION).await?;
        uploader.finish(&body[FORWARDED_FROM..]).await;
        let request = other.next_request().await;
        verify_that!(request.message.complete, eq(true))?;
        verify_that!(request.message.body == body, eq(true))?;
        request.respond(200, &[], "done").await;
        verify_that!(uploader.client.status().await, some(eq(200)))?;
    }
    Ok(())
}

/// Guards `Source::Lost`: the end of a body that broke off is not its end. No server may receive the part that came
/// before a client gave up as a complete request (review/7, UNASKED).
#[tokio::test]
async fn an_upload_that_its_client_gave_up_is_not_sent_as_a_complete_request(
) -> googletest::Result<()> {
    for framing in BodyFraming::ALL {
        let (mut one, mut other, instances) = two_servers().await;
        let (proxy, _session) =
            Proxy::start_ready(DEFAULT_BOUNDS, default_items(), instances).await;
        let mut uploader = Uploader::start(&proxy, "/read/a", framing, BODY_BYTES).await;
        uploader.send(&body()[..FORWARDED_FROM]).await;
        let connected =
            || async { (one.connection_count() + other.connection_count() > 0).then_some(()) };
        poll_until("an attempt", connected).await;
        drop(uploader);
        let (received, _, _) = next_request_at_either(&mut one, &mut other).await;
        verify_that!(received.message.complete, eq(false))?;
        // A repetition of it would come before this request.
        let mut client = proxy.connect().await;
        client
            .send("GET", "/read/b", &[("try-id", "t2")], b"")
            .await;
        let (next, _, _) = next_request_at_either(&mut one, &mut other).await;
        verify_that!(next.header("try-id"), some(eq("t2")))?;
        next.respond(200, &[], "read").await;
        verify_that!(client.status().await, some(eq(200)))?;
    }
    Ok(())
}

/// Guards `ResponseStream::abandon`: a long response that reports an error is streamed, and given up if another attempt
/// follows, which sends the body from its beginning.
#[tokio::test]
async fn an_upload_is_sent_again_after_a_long_error_response() -> googletest::Result<()> {
    const LONG_ERROR: &str =
        "HTTP/1.1 500 X\r\ntry-id: t1\r\nseal: s\r\ncontent-length: 30000\r\n\r\n";
    for framing in BodyFraming::ALL {
        let (mut one, mut other) = (
            TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?,
            TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?,
        );
        let instances = vec![
            instance("i-1", one.local_addr()?),
            instance("i-2", other.local_addr()?),
        ];
        let (proxy, _session) =
            Proxy::start_ready(DEFAULT_BOUNDS, default_items(), instances).await;
        let body = body();
        let mut uploader = Uploader::start(&proxy, "/read/a", framing, BODY_BYTES).await;
        uploader.send(&body[..FORWARDED_FROM]).await;
        let first = tokio::select! {
            accepted = one.accept() => accepted,
            accepted = other.accept() => {
                std::mem::swap(&mut one, &mut other);
                accepted
            }
        };
        let (mut failing, _) = first?;
        let mut beginning = vec![0; FORWARDED_FROM];
        within_limit("the beginning", failing.read_exact(&mut beginning)).await?;
        failing.write_all(LONG_ERROR.as_bytes()).await?;
        failing.write_all(&[b'x'; 30_000]).await?;
        let mut server = Server::on(other);
        // Until then, the first attempt would send what comes.
        let connected = || async { (server.connection_count() > 0).then_some(()) };
        poll_until("the second attempt", connected).await;
        uploader.finish(&body[FORWARDED_FROM..]).await;
        let request = server.next_request().await;
        verify_that!(request.message.complete, eq(true))?;
        verify_that!(request.message.body == body, eq(true))?;
        request.respond(200, &[], "read").await;
        verify_that!(uploader.client.status().await, some(eq(200)))?;
    }
    Ok(())
}
