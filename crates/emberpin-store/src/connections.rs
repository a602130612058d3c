//! Connections: to other stores, and from stores and registries.

use crate::host::Input;
use crate::protocol::{StoreReply, StoreRequest, ToStore};
use emberpin_runtime::frames::{self, ConnectionError};
use emberpin_runtime::identity::ProcessIdentity;
use socket2::{SockRef, TcpKeepalive};
use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, Notify};
use tokio::time::{sleep, timeout};

/// A peer that doesn't take bytes for so long is gone: behind a cut, nothing answers.
const UNANSWERED: Duration = Duration::from_millis(1500);
/// Another store that says nothing for so long is gone; it compares twice a second.
const SILENCE: Duration = Duration::from_secs(10);
/// Pauses between tries to connect grow from the first to the second.
const PAUSES: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(1));
/// Frames that wait for a connection, and their bytes; what is more is dropped, or ends the connection.
const WAITING: (usize, usize) = (512, 12 << 20);
/// Connections from others at one time.
const OTHERS: usize = 256;

/// How often something went wrong.
#[derive(Debug, Default)]
pub struct Counts {
    /// Frames that were no message.
    pub unreadable: AtomicU64,
}

fn tune(stream: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(stream);
    socket.set_tcp_nodelay(true)?;
    // Where one of these is not to be had, silence is found by the pauses between frames.
    _ = socket.set_tcp_user_timeout(Some(UNANSWERED));
    let probes = TcpKeepalive::new()
        .with_time(Duration::from_secs(1))
        .with_interval(Duration::from_secs(1));
    _ = socket.set_tcp_keepalive(&probes);
    Ok(())
}

/// Frames on their way to one connection.
#[derive(Clone)]
pub struct Outbox {
    frames: mpsc::Sender<Arc<Vec<u8>>>,
    bytes: Arc<AtomicUsize>,
    end: Arc<Notify>,
}

impl Outbox {
    fn new() -> (Outbox, mpsc::Receiver<Arc<Vec<u8>>>) {
        let (frames, waiting) = mpsc::channel(WAITING.0);
        (
            Outbox {
                frames,
                bytes: Arc::default(),
                end: Arc::default(),
            },
            waiting,
        )
    }

    /// Whether there was room for it.
    pub fn put(&self, frame: Arc<Vec<u8>>) -> bool {
        let size = frame.len();
        if self.bytes.load(Ordering::Relaxed) + size > WAITING.1
            || self.frames.try_send(frame).is_err()
        {
            return false;
        }
        self.bytes.fetch_add(size, Ordering::Relaxed);
        true
    }

    /// Ends the connection.
    pub fn end(&self) {
        self.end.notify_one();
    }
}

/// Connections to other stores, one to each, made when there is something to say.
pub struct Links {
    port: u16,
    identity: Arc<ProcessIdentity>,
    /// Machines that the settings name: their system is this store's.
    seeds: Vec<Ipv4Addr>,
    links: BTreeMap<Ipv4Addr, (Outbox, bool)>,
}

impl Links {
    /// None yet; all stores hear on this port.
    pub fn new(port: u16, identity: Arc<ProcessIdentity>, seeds: Vec<Ipv4Addr>) -> Links {
        Links {
            port,
            identity,
            seeds,
            links: BTreeMap::new(),
        }
    }

    /// Sends a frame, or loses it.
    pub fn send(&mut self, to: Ipv4Addr, frame: Arc<Vec<u8>>) {
        let port = self.port;
        let (outbox, used) = self.links.entry(to).or_insert_with(|| {
            let (outbox, waiting) = Outbox::new();
            let identity = self.identity.clone();
            let learns = self.seeds.contains(&to);
            tokio::spawn(link(
                SocketAddrV4::new(to, port),
                identity,
                learns,
                outbox.bytes.clone(),
                waiting,
            ));
            (outbox, true)
        });
        *used = true;
        if !outbox.put(frame) {
            log::debug!("{to} takes no more: a message is lost");
        }
    }

    /// Ends those that were not used since the last call.
    pub fn prune(&mut self) {
        self.links.retain(|_, (_, used)| std::mem::take(used));
    }
}

/// Keeps a connection to a store up, until nobody sends to it.
async fn link(
    to: SocketAddrV4,
    identity: Arc<ProcessIdentity>,
    learns: bool,
    bytes: Arc<AtomicUsize>,
    mut waiting: mpsc::Receiver<Arc<Vec<u8>>>,
) {
    let mut pause = PAUSES.0;
    loop {
        match timeout(UNANSWERED, TcpStream::connect(to)).await {
            Ok(Ok(stream)) if tune(&stream).is_ok() => {
                match write_frames(stream, &identity, learns, &bytes, &mut waiting).await {
                    Written::Unused => return,
                    Written::Some => pause = PAUSES.0,
                    Written::Nothing => {}
                }
            }
            _ => log::debug!("{to} can't be reached"),
        }
        sleep(pause).await;
        pause = (pause * 2).min(PAUSES.1);
        // Rounds that these belong to are over.
        while let Ok(frame) = waiting.try_recv() {
            bytes.fetch_sub(frame.len(), Ordering::Relaxed);
        }
        if waiting.is_closed() {
            return;
        }
    }
}

/// What was written to a connection that is over.
enum Written {
    /// Something.
    Some,
    /// Nothing: it was not taken.
    Nothing,
    /// Nobody sends any more.
    Unused,
}

/// Writes frames until the connection breaks or nobody sends any more.
async fn write_frames(
    mut stream: TcpStream,
    identity: &ProcessIdentity,
    learns: bool,
    bytes: &AtomicUsize,
    waiting: &mut mpsc::Receiver<Arc<Vec<u8>>>,
) -> Written {
    let (mut from, mut into) = stream.split();
    let Ok(Ok(peer)) = timeout(UNANSWERED, identity.handshake(&mut from, &mut into)).await else {
        return Written::Nothing;
    };
    if let Some(system) = peer.system.filter(|_| learns) {
        identity.learn_system(system);
    }
    let mut written = Written::Nothing;
    let mut nothing = [0; 1];
    loop {
        let frame = tokio::select! {
            frame = waiting.recv() => frame,
            // Nothing more ever comes on it, so this is its end.
            _ = tokio::io::AsyncReadExt::read(&mut from, &mut nothing) => return written,
        };
        let Some(frame) = frame else {
            return Written::Unused;
        };
        bytes.fetch_sub(frame.len(), Ordering::Relaxed);
        if !matches!(
            timeout(2 * UNANSWERED, into.write_all(&frame)).await,
            Ok(Ok(()))
        ) {
            return written;
        }
        written = Written::Some;
    }
}

/// Takes connections from stores and registries.
pub async fn listen(
    listener: TcpListener,
    identity: Arc<ProcessIdentity>,
    inputs: mpsc::Sender<Input>,
    counts: Arc<Counts>,
) {
    let places = Arc::new(tokio::sync::Semaphore::new(OTHERS));
    for number in 0.. {
        let Ok(place) = places.clone().acquire_owned().await else {
            return;
        };
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("no connection taken: {error}");
                sleep(PAUSES.0).await;
                continue;
            }
        };
        let (identity, inputs, counts) = (identity.clone(), inputs.clone(), counts.clone());
        tokio::spawn(async move {
            let ended = serve(stream, number, &identity, &inputs).await;
            if let Err(ConnectionError::Malformed(_) | ConnectionError::FrameTooLong(_)) = ended {
                let so_far = counts.unreadable.fetch_add(1, Ordering::Relaxed) + 1;
                log::warn!("a frame that is no message ended a connection; {so_far} so far");
            }
            _ = inputs.send(Input::Closed { connection: number }).await;
            drop(place);
        });
    }
}

/// Reads one connection to its end.
async fn serve(
    stream: TcpStream,
    connection: u64,
    identity: &ProcessIdentity,
    inputs: &mpsc::Sender<Input>,
) -> Result<(), ConnectionError> {
    tune(&stream)?;
    let (mut from, mut into) = stream.into_split();
    let greeted = timeout(SILENCE, identity.receive_preamble(&mut from)).await;
    greeted.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    identity.send_preamble(&mut into).await?;
    let mut writer = Some(into);
    let mut outbox: Option<Outbox> = None;
    let mut store = false;
    let mut first = true;
    loop {
        let message = match store || first {
            true => timeout(SILENCE, frames::read(&mut from))
                .await
                .map_err(|_| io::ErrorKind::TimedOut)
                .map_err(io::Error::from)??,
            false => tokio::select! {
                message = frames::read(&mut from) => message?,
                () = closed(outbox.as_ref()) => return Ok(()),
            },
        };
        first = false;
        let input = match message {
            ToStore::Consensus { from, message } => {
                store = true;
                Input::Message { from, message }
            }
            ToStore::Request(ask) => {
                if let Some(writer) = writer.take() {
                    let (told, waiting) = Outbox::new();
                    tokio::spawn(tell(writer, told.bytes.clone(), waiting));
                    outbox = Some(told);
                }
                let Some(outbox) = outbox.clone() else {
                    return Ok(());
                };
                Input::StoreRequest {
                    connection,
                    ask,
                    outbox,
                }
            }
        };
        if inputs.send(input).await.is_err() {
            return Ok(());
        }
    }
}

/// Until a registry no longer takes what it is told, or is let go.
async fn closed(outbox: Option<&Outbox>) {
    let Some(outbox) = outbox else {
        return std::future::pending().await;
    };
    tokio::select! {
        () = outbox.frames.closed() => {}
        () = outbox.end.notified() => {}
    }
}

/// Writes what a registry is told.
async fn tell(
    mut into: tokio::net::tcp::OwnedWriteHalf,
    bytes: Arc<AtomicUsize>,
    mut waiting: mpsc::Receiver<Arc<Vec<u8>>>,
) {
    while let Some(frame) = waiting.recv().await {
        bytes.fetch_sub(frame.len(), Ordering::Relaxed);
        if !matches!(
            timeout(2 * UNANSWERED, into.write_all(&frame)).await,
            Ok(Ok(()))
        ) {
            return;
        }
    }
}

/// A registry that asked, or follows.
pub struct Registry {
    /// Where it is told.
    pub outbox: Outbox,
    /// Whether it wants news.
    pub follows: bool,
}

impl Registry {
    /// Tells it; `false`, if it doesn't read and was let go.
    pub fn tell(&self, told: &StoreReply) -> bool {
        let put = match frames::encode(told) {
            Ok(frame) => self.outbox.put(Arc::new(frame)),
            Err(error) => {
                log::warn!("not told: {error}");
                false
            }
        };
        if !put {
            self.outbox.end();
        }
        put
    }
}

/// What the host needs of an ask: which call it is, if it is one.
pub fn call(ask: StoreRequest) -> Option<(u64, emberpin_consensus::Call)> {
    use emberpin_consensus::{Call, EvacuationChange};
    match ask {
        StoreRequest::Patch { id, body } => Some((id, Call::Patch(body))),
        StoreRequest::Get { id } => Some((id, Call::Get)),
        StoreRequest::Evacuate { id, zone, begin } => {
            let change = if begin {
                EvacuationChange::Begin
            } else {
                EvacuationChange::End
            };
            Some((id, Call::Evacuate { zone, change }))
        }
        StoreRequest::Subscribe | StoreRequest::ConfirmFreshness { .. } => None,
    }
}
