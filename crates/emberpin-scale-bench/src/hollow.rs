//! Hollow limiters and servers: they speak as the real ones do and do nothing else.

use crate::http::Connection;
use crate::texts::{self, Places, BEAT_MS, LOAD, PROBE};
use emberpin_membership::ids::{Incarnation, Nonce};
use emberpin_membership::session::{ConnectionRole, FromProxy, Revision, ToProxy};
use emberpin_runtime::frames::{self, ConnectionError};
use emberpin_runtime::identity::ProcessIdentity;
use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout, Instant};

/// As the proxy has it.
const SESSIONS: usize = 2;
const PULSE: Duration = Duration::from_millis(500);
const AGAIN: Duration = Duration::from_millis(200);
/// A beat is acknowledged within this, or goes to the next registry.
const ACKNOWLEDGED: Duration = Duration::from_secs(1);

/// What limiters saw of one version of the probe.
#[derive(Clone, Copy, Debug)]
pub struct Seen {
    /// So many limiters have it.
    pub limiters: usize,
    /// When the last one got it.
    pub last: Instant,
}

/// What all hollow ones count.
#[derive(Debug, Default)]
pub struct Counts {
    /// Bytes of frames towards limiters, lengths included.
    pub told: AtomicU64,
    /// And from them.
    pub said: AtomicU64,
    /// Sessions that have begun.
    pub sessions: AtomicU64,
    /// Beats that were acknowledged, and those that were not.
    pub beats: AtomicU64,
    /// See `beats`.
    pub unheard: AtomicU64,
    seen: Mutex<BTreeMap<u64, Seen>>,
}

impl Counts {
    fn seen(&self) -> MutexGuard<'_, BTreeMap<u64, Seen>> {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What limiters saw of this version.
    pub fn of(&self, ver: u64) -> Option<Seen> {
        self.seen().get(&ver).copied()
    }

    fn note(&self, ver: u64) {
        let now = Instant::now();
        let mut seen = self.seen();
        let seen = seen.entry(ver).or_insert(Seen {
            limiters: 0,
            last: now,
        });
        (seen.limiters, seen.last) = (seen.limiters + 1, now);
    }
}

/// Starts a limiter: its sessions, with one registry after the other.
pub fn limiter(number: usize, places: &Places, counts: &Arc<Counts>) {
    let newest = Arc::new(AtomicU64::new(0));
    for session in 0..SESSIONS {
        let (places, counts, newest) = (places.clone(), counts.clone(), newest.clone());
        tokio::spawn(async move {
            // The sessions of one limiter never meet, as both go on by as many.
            for turn in number + session.. {
                let registry = places.registry(places.cores[turn % places.cores.len()]);
                _ = follow(number, registry, &counts, &newest).await;
                sleep(AGAIN).await;
            }
        });
    }
}

async fn follow(
    number: usize,
    registry: SocketAddr,
    counts: &Counts,
    newest: &AtomicU64,
) -> Result<(), ConnectionError> {
    let stream = TcpStream::connect(registry).await?;
    stream.set_nodelay(true)?;
    let (mut from, mut to) = stream.into_split();
    let hello = FromProxy::Hello {
        incarnation: Incarnation(number as u64),
        name: format!("hollow-{number}"),
        zone: texts::zone(number),
        resume_from: None,
        instances: Vec::new(),
    };
    let limiter = ProcessIdentity::new(number as u64);
    limiter.send_preamble(&mut to).await?;
    frames::write(&mut to, &ConnectionRole::Proxy).await?;
    frames::write(&mut to, &hello).await?;
    limiter.receive_preamble(&mut from).await?;
    counts.sessions.fetch_add(1, Ordering::Relaxed);
    let place: Mutex<Option<Revision>> = Mutex::new(None);
    let (cursors, mut wanted) = tokio::sync::mpsc::unbounded_channel();
    let at = || place.lock().unwrap_or_else(PoisonError::into_inner);
    let pulses = async {
        let mut nonce = 0;
        loop {
            nonce += 1;
            let said = tokio::select! {
                () = sleep(PULSE) => FromProxy::KeepAlive { applied: *at(), nonce: Nonce(nonce) },
                Some(after) = wanted.recv() => FromProxy::FetchSnapshotPart { after },
            };
            let frame = frames::encode(&said)?;
            counts.said.fetch_add(frame.len() as u64, Ordering::Relaxed);
            tokio::io::AsyncWriteExt::write_all(&mut to, &frame).await?;
        }
    };
    let hears = async {
        loop {
            let told: ToProxy = frames::read(&mut from).await?;
            counts
                .told
                .fetch_add(frames::encode(&told)?.len() as u64, Ordering::Relaxed);
            let (place, items, rest) = match told {
                ToProxy::Snapshot {
                    revision,
                    items,
                    next_part,
                    ..
                } => (Some(revision), items, next_part),
                ToProxy::SnapshotPart {
                    items, next_part, ..
                } => (None, items, next_part),
                ToProxy::Changes {
                    revision, items, ..
                } => (Some(revision), items, None),
                ToProxy::Confirmation { .. } => continue,
            };
            if place.is_some() {
                *at() = place;
            }
            if let Some(after) = rest {
                _ = cursors.send(after);
            }
            for ver in items
                .iter()
                .filter(|item| item.key.name == PROBE)
                .map(|item| item.version.0)
            {
                // By whichever session is first.
                if newest.fetch_max(ver, Ordering::Relaxed) < ver {
                    counts.note(ver);
                }
            }
        }
    };
    tokio::select! { ended = pulses => ended, ended = hears => ended }
}

/// How many bytes a limiter that knows nothing is told first.
///
/// # Errors
///
/// [`ConnectionError`].
pub async fn snapshot(registry: SocketAddr) -> Result<usize, ConnectionError> {
    let mut stream = TcpStream::connect(registry).await?;
    stream.set_nodelay(true)?;
    let hello = FromProxy::Hello {
        incarnation: Incarnation(0),
        name: "new".into(),
        zone: texts::zone(0),
        resume_from: None,
        instances: Vec::new(),
    };
    let limiter = ProcessIdentity::new(0);
    limiter.send_preamble(&mut stream).await?;
    frames::write(&mut stream, &ConnectionRole::Proxy).await?;
    frames::write(&mut stream, &hello).await?;
    limiter.receive_preamble(&mut stream).await?;
    let mut bytes = 0;
    loop {
        let told: ToProxy = frames::read(&mut stream).await?;
        let length = frames::encode(&told)?.len();
        let (ToProxy::Snapshot { next_part, .. } | ToProxy::SnapshotPart { next_part, .. }) = told
        else {
            continue;
        };
        bytes += length;
        let Some(after) = next_part else {
            return Ok(bytes);
        };
        frames::write(&mut stream, &FromProxy::FetchSnapshotPart { after }).await?;
    }
}

/// Starts a server that beats.
pub fn server(
    id: String,
    service: String,
    address: SocketAddr,
    number: usize,
    places: &Places,
    counts: &Arc<Counts>,
) {
    let (places, counts) = (places.clone(), counts.clone());
    tokio::spawn(async move {
        // Beats of many servers are spread, as their starts are.
        sleep(Duration::from_millis(number as u64 * 37 % BEAT_MS)).await;
        let (mut at, mut connection) =
            (places.ctl(places.cores[number % places.cores.len()]), None);
        for seq in 1.. {
            let began = Instant::now();
            let body = texts::beat(&service, address, number, seq);
            match timeout(ACKNOWLEDGED, beat(&id, at, &mut connection, &body)).await {
                Ok(Ok(next)) => {
                    counts.beats.fetch_add(1, Ordering::Relaxed);
                    if let Some(next) = next.filter(|next| *next != at) {
                        (at, connection) = (next, None);
                    }
                }
                _ => {
                    counts.unheard.fetch_add(1, Ordering::Relaxed);
                    (at, connection) = (
                        places.ctl(places.cores[(number + seq as usize) % places.cores.len()]),
                        None,
                    );
                }
            }
            sleep(Duration::from_millis(BEAT_MS).saturating_sub(began.elapsed())).await;
        }
    });
}

/// One beat; where later ones go, if that is said.
async fn beat(
    id: &str,
    at: SocketAddr,
    kept: &mut Option<Connection>,
    body: &str,
) -> io::Result<Option<SocketAddr>> {
    let mut connection = match kept.take() {
        Some(connection) => connection,
        None => Connection::open(at).await?,
    };
    let line = format!("POST /instances/{id}/heartbeat");
    let answer = connection
        .call(
            &line,
            "Host: ctl\r\nContent-Type: application/json\r\n",
            body,
        )
        .await?;
    if answer.status() != 200 {
        return Err(io::Error::other("not acknowledged"));
    }
    *kept = Some(connection);
    let named = jzon::parse(&String::from_utf8_lossy(&answer.body)).ok();
    Ok(named.and_then(|named| named["hb_addr"].as_str()?.parse().ok()))
}

/// Starts servers that answer, and beat.
///
/// # Errors
///
/// The system's.
pub async fn stand_ins(count: usize, places: &Places, counts: &Arc<Counts>) -> io::Result<()> {
    for number in 0..count {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let (id, address) = (format!("stand-in-{number}"), listener.local_addr()?);
        server(id, LOAD.into(), address, number, places, counts);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(answer(stream));
            }
        });
    }
    Ok(())
}

async fn answer(stream: TcpStream) -> io::Result<()> {
    let mut connection = Connection::of(stream)?;
    loop {
        let request = connection.read().await?;
        let mark = request.field("try-id").unwrap_or("none");
        let body = "x".repeat(256);
        connection
            .write(&format!(
                "HTTP/1.1 200 OK\r\nTry-Id: {mark}\r\nSeal: s\r\nContent-Length: 256\r\n\r\n{body}"
            ))
            .await?;
    }
}

/// One client in a closed loop, for so many requests and no longer than that; says how many were answered as
/// they are to be.
pub async fn client(at: SocketAddr, name: &str, requests: usize, within: Duration) -> usize {
    let until = Instant::now() + within;
    let mut done = 0;
    let Ok(mut connection) = Connection::open(at).await else {
        return 0;
    };
    for number in 0..requests {
        if Instant::now() >= until {
            break;
        }
        let fields = format!("Host: load.example\r\nTry-Id: {name}-{number}\r\nDeadline: 3000\r\n");
        match connection
            .call(&format!("GET /{LOAD}/{number}"), &fields, "")
            .await
        {
            Ok(answer) if answer.status() == 200 => done += 1,
            Ok(_) => {}
            Err(_) => break,
        }
    }
    done
}
