//! Discovery: watches the endpoint list at the discovery service, and recovers when the watch breaks.

use crate::messages::Input;
use crate::upstream::endpoint_list::EndpointList;
use crate::upstream::list_calls::ListCalls;
use crate::upstream::list_watch::{WatchEvent, WatchParser};
use crate::upstream::peer_lists::PeerLists;
use bytes::Bytes;
use emberpin_startup::call_schedule::CallOutcome;
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http1;
use hyper::header::RETRY_AFTER;
use hyper_util::rt::TokioIo;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch, Notify};
use tokio::task::spawn_local;
use tokio::time::{timeout, Instant};

const PATH: &str = "/registry/instances";
/// A watch that receives nothing for this long is ended. An idle watch sends an empty line every 2 s, so a longer
/// silence may be a dead connection.
const WATCH_TIMEOUT: Duration = Duration::from_millis(4_500);

/// Controls the watch of the discovery service.
pub struct Discovery {
    address: watch::Sender<SocketAddr>,
    refetch: Rc<Notify>,
}

impl Discovery {
    /// Starts a watch that is renewed for as long as the process runs, at first for changes after this revision.
    pub fn start(
        address: SocketAddr,
        revision: u64,
        (list_calls, peer_lists): (Rc<ListCalls>, Option<Rc<PeerLists>>),
        inputs: mpsc::Sender<Input>,
    ) -> Discovery {
        let discovery = Discovery {
            address: watch::Sender::new(address),
            refetch: Rc::default(),
        };
        spawn_local(run_watches(
            discovery.address.subscribe(),
            discovery.refetch.clone(),
            revision,
            (list_calls, peer_lists),
            inputs,
        ));
        discovery
    }

    /// A notification of the returned handle makes the watch start again with the full list.
    pub fn refetch(&self) -> Rc<Notify> {
        self.refetch.clone()
    }

    /// Switches to the discovery service at this address at once. The current list stays in use until that service has
    /// sent its own.
    pub fn switch_to(&self, address: SocketAddr) {
        self.address
            .send_if_modified(|current| std::mem::replace(current, address) != address);
    }
}

/// Runs one watch after another, for as long as the process runs.
async fn run_watches(
    mut address: watch::Receiver<SocketAddr>,
    refetch: Rc<Notify>,
    revision: u64,
    (list_calls, peer_lists): (Rc<ListCalls>, Option<Rc<PeerLists>>),
    inputs: mpsc::Sender<Input>,
) {
    let mut since = Some(revision);
    let (mut service_generation, mut full_list_requested) = (0, false);
    if peer_lists.is_none() {
        list_calls.wait_for_first_call().await;
    }
    loop {
        let service_address = *address.borrow_and_update();
        let next_watch = async {
            // Where peers send lists, waits for this limiter's turn to watch, unless the full list was requested.
            if let (Some(peer_lists), false) =
                (&peer_lists, std::mem::take(&mut full_list_requested))
            {
                tokio::select! {
                    () = peer_lists.wait_for_turn(&list_calls) => since = peer_lists.revision().or(since),
                    () = refetch.notified() => since = None,
                }
            }
            let (started_at, mut result) = (Instant::now(), WatchResult::default());
            let surplus = async {
                match &peer_lists {
                    Some(peer_lists) => peer_lists.wait_until_surplus().await,
                    None => std::future::pending().await,
                }
            };
            let is_surplus = tokio::select! {
                () = run_watch((service_address, service_generation), &mut since, &mut result, peer_lists.as_deref(), &inputs) => false,
                () = refetch.notified() => {
                    (since, full_list_requested) = (None, true);
                    false
                }
                () = surplus => true,
            };
            if let Some(peer_lists) = &peer_lists {
                peer_lists.set_watching(false);
            }
            // The delay until the next watch grows only after watches that received no event.
            let outcome = match result {
                WatchResult {
                    received_event: true,
                    ..
                } => CallOutcome::Delivered,
                WatchResult {
                    retry_after: Some(wait),
                    ..
                } => CallOutcome::RetryAfter { delay: wait },
                WatchResult { response_time, .. } => CallOutcome::Failed {
                    after: response_time.unwrap_or_else(|| started_at.elapsed()),
                },
            };
            if !is_surplus {
                tokio::time::sleep(list_calls.next_delay(outcome)).await;
            }
        };
        tokio::select! {
            () = next_watch => {}
            changed = address.changed() => {
                if changed.is_err() {
                    return;
                }
                // Revisions of different services cannot be compared, so the full list is fetched from the new one.
                (since, service_generation) = (None, service_generation + 1);
                list_calls.on_service_changed();
                if let Some(peer_lists) = &peer_lists {
                    peer_lists.on_service_changed(*address.borrow());
                }
            }
        }
    }
}

/// The result of one watch.
#[derive(Default)]
struct WatchResult {
    /// Whether it received at least one event, keep-alives included.
    received_event: bool,
    /// The time until the discovery service sent the head of its response; `None` if it sent none.
    response_time: Option<Duration>,
    /// The delay that the discovery service asked for when it rejected the watch (`Retry-After`).
    retry_after: Option<Duration>,
}

/// Runs one watch until it breaks or receives nothing for [`WATCH_TIMEOUT`].
async fn run_watch(
    (address, service_generation): (SocketAddr, u32),
    since: &mut Option<u64>,
    result: &mut WatchResult,
    peer_lists: Option<&PeerLists>,
    inputs: &mpsc::Sender<Input>,
) {
    let path = match since {
        Some(rev) => format!("{PATH}?follow=1&since={rev}"),
        None => format!("{PATH}?follow=1"),
    };
    let Some(Ok(stream)) = within_timeout(TcpStream::connect(address)).await else {
        return;
    };
    let Ok((mut sender, connection)) = http1::handshake(TokioIo::new(stream)).await else {
        return;
    };
    let request = hyper::Request::get(path)
        .header("host", address.to_string())
        .body(Empty::<Bytes>::new());
    let Ok(request) = request else { return };
    let reading = async {
        let began = Instant::now();
        let Some(Ok(response)) = within_timeout(sender.send_request(request)).await else {
            return;
        };
        result.response_time = Some(began.elapsed());
        if response.status() != hyper::StatusCode::OK {
            let retry_after = response
                .headers()
                .get(RETRY_AFTER)
                .and_then(|value| value.to_str().ok());
            // In seconds; a date, which RFC 9110, section 10.2.3, allows too, is ignored.
            result.retry_after = retry_after
                .and_then(|seconds| seconds.trim().parse().ok())
                .map(Duration::from_secs);
            return;
        }
        // The service sends only changes after `since`. If that is the revision of the accepted list, the watch is up
        // to date as soon as the response begins.
        if let Some(peer_lists) =
            peer_lists.filter(|peer_lists| since.is_some() && peer_lists.revision() == *since)
        {
            peer_lists.set_watching(true);
        }
        let mut body = response.into_body();
        let mut parser = WatchParser::default();
        while let Some(Some(Ok(frame))) = within_timeout(body.frame()).await {
            let Ok(data) = frame.into_data() else {
                continue;
            };
            let Ok(read) = parser.push(&data) else { return };
            for event in read {
                result.received_event = true;
                if let WatchEvent::List(list) = event {
                    let list = EndpointList {
                        service_generation,
                        ..list
                    };
                    *since = Some(list.revision);
                    if inputs.send(Input::EndpointList(list)).await.is_err() {
                        return;
                    }
                }
                peer_lists.inspect(|peer_lists| peer_lists.set_watching(true));
            }
        }
    };
    // The connection is driven here, so that leaving this function closes it.
    let (mut reading, mut connection) = (pin!(reading), pin!(connection));
    tokio::select! {
        () = &mut reading => {}
        _ = &mut connection => reading.await,
    }
}

/// `None` if the future takes longer than [`WATCH_TIMEOUT`].
async fn within_timeout<F: Future>(future: F) -> Option<F::Output> {
    timeout(WATCH_TIMEOUT, future).await.ok()
}
