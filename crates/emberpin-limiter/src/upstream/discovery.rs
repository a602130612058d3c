//! Discovery: the list of servers, its watch, and how to get back in step when that breaks.

use crate::messages::Input;
use crate::upstream::endpoint_list::Listing;
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
/// An idle watch sends an empty line every 2 s: silence for longer may be a dead connection.
const SILENCE: Duration = Duration::from_millis(4_500);

/// Where the list comes from, and what may be asked of its watch.
pub struct Discovery {
    address: watch::Sender<SocketAddr>,
    refetch: Rc<Notify>,
}

impl Discovery {
    /// Watches for good, at first from the version held.
    pub fn start(
        address: SocketAddr,
        rev: u64,
        (list_calls, peer_lists): (Rc<ListCalls>, Option<Rc<PeerLists>>),
        inputs: mpsc::Sender<Input>,
    ) -> Discovery {
        let discovery = Discovery {
            address: watch::Sender::new(address),
            refetch: Rc::default(),
        };
        spawn_local(follow(
            discovery.address.subscribe(),
            discovery.refetch.clone(),
            rev,
            (list_calls, peer_lists),
            inputs,
        ));
        discovery
    }

    /// Asks for the whole list anew when notified.
    pub fn refetch(&self) -> Rc<Notify> {
        self.refetch.clone()
    }

    /// Leaves the present address for another at once; the list known so far holds until that has told its own.
    pub fn move_to(&self, address: SocketAddr) {
        self.address
            .send_if_modified(|known| std::mem::replace(known, address) != address);
    }
}

async fn follow(
    mut address: watch::Receiver<SocketAddr>,
    refetch: Rc<Notify>,
    rev: u64,
    (list_calls, peer_lists): (Rc<ListCalls>, Option<Rc<PeerLists>>),
    inputs: mpsc::Sender<Input>,
) {
    let mut since = Some(rev);
    let (mut place, mut whole) = (0, false);
    if peer_lists.is_none() {
        list_calls.first().await;
    }
    loop {
        let at = *address.borrow_and_update();
        let watching = async {
            // The whole list is wanted, or it is this limiter's turn to hold a watch.
            if let (Some(peer_lists), false) = (&peer_lists, std::mem::take(&mut whole)) {
                tokio::select! {
                    () = peer_lists.turn(&list_calls) => since = peer_lists.held().or(since),
                    () = refetch.notified() => since = None,
                }
            }
            let (began, mut watched) = (Instant::now(), Watched::default());
            let surplus = async {
                match &peer_lists {
                    Some(peer_lists) => peer_lists.surplus().await,
                    None => std::future::pending().await,
                }
            };
            let yielded = tokio::select! {
                () = hold((at, place), &mut since, &mut watched, peer_lists.as_deref(), &inputs) => false,
                () = refetch.notified() => {
                    (since, whole) = (None, true);
                    false
                }
                () = surplus => true,
            };
            if let Some(peer_lists) = &peer_lists {
                peer_lists.watch(false);
            }
            // A watch that told something was sound: only fruitless ones are spaced out.
            let ended = match watched {
                Watched { told: true, .. } => CallOutcome::Delivered,
                Watched {
                    busy: Some(wait), ..
                } => CallOutcome::RetryAfter { delay: wait },
                Watched { answered, .. } => CallOutcome::Failed {
                    after: answered.unwrap_or_else(|| began.elapsed()),
                },
            };
            if !yielded {
                tokio::time::sleep(list_calls.pause(ended)).await;
            }
        };
        tokio::select! {
            () = watching => {}
            moved = address.changed() => {
                if moved.is_err() {
                    return;
                }
                // Versions of one place mean nothing at another: the whole list is taken there.
                (since, place) = (None, place + 1);
                list_calls.moved();
                if let Some(peer_lists) = &peer_lists {
                    peer_lists.moved(*address.borrow());
                }
            }
        }
    }
}

/// What came of one watch.
#[derive(Default)]
struct Watched {
    /// It told something, if only that there was nothing new.
    told: bool,
    /// How long the service took to answer at all.
    answered: Option<Duration>,
    /// It was refused, to be asked again so long from now.
    busy: Option<Duration>,
}

/// One watch, until it breaks or falls silent.
async fn hold(
    (address, place): (SocketAddr, u32),
    since: &mut Option<u64>,
    watched: &mut Watched,
    peer_lists: Option<&PeerLists>,
    inputs: &mpsc::Sender<Input>,
) {
    let path = match since {
        Some(rev) => format!("{PATH}?follow=1&since={rev}"),
        None => format!("{PATH}?follow=1"),
    };
    let Some(Ok(stream)) = patient(TcpStream::connect(address)).await else {
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
        let Some(Ok(response)) = patient(sender.send_request(request)).await else {
            return;
        };
        watched.answered = Some(began.elapsed());
        if response.status() != hyper::StatusCode::OK {
            let wait = response
                .headers()
                .get(RETRY_AFTER)
                .and_then(|value| value.to_str().ok());
            // In seconds; a date (RFC 9110, 10.2.3, allows both) counts as not said.
            watched.busy = wait
                .and_then(|wait| wait.trim().parse().ok())
                .map(Duration::from_secs);
            return;
        }
        // It tells what is newer than the version held, if anything is.
        if let Some(peer_lists) =
            peer_lists.filter(|peer_lists| since.is_some() && peer_lists.held() == *since)
        {
            peer_lists.watch(true);
        }
        let mut body = response.into_body();
        let mut watch = WatchParser::default();
        while let Some(Some(Ok(frame))) = patient(body.frame()).await {
            let Ok(data) = frame.into_data() else {
                continue;
            };
            let Ok(all) = watch.take(&data) else { return };
            for told in all {
                watched.told = true;
                if let WatchEvent::Listing(listing) = told {
                    let listing = Listing { place, ..listing };
                    *since = Some(listing.rev);
                    if inputs.send(Input::Listing(listing)).await.is_err() {
                        return;
                    }
                }
                peer_lists.inspect(|peer_lists| peer_lists.watch(true));
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

async fn patient<F: Future>(what: F) -> Option<F::Output> {
    timeout(SILENCE, what).await.ok()
}
