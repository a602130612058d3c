//! What registries and limiters say over connections between processes.

use crate::host::{Command, Commands};
use crate::net;
use bytes::Bytes;
use emberpin_membership::peers::{Ack, RegistryMessage};
use emberpin_membership::registry::Event;
use emberpin_membership::session::{First, FromLimiter};
use emberpin_runtime::frames::{self, Broken};
use emberpin_runtime::preamble::ProcessIdentity;
use serde::de::DeserializeOwned;
use std::net::Ipv4Addr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout, Instant};

/// Whoever speaks does so twice a second.
const SILENCE: Duration = Duration::from_secs(3);
const FIRST: Duration = Duration::from_secs(2);
const PAUSE: Duration = Duration::from_millis(100);
const LONGEST_PAUSE: Duration = Duration::from_secs(1);
/// Frames that wait for a reader. One that is so far behind is better off with a new connection and all that
/// there is.
const BEHIND: usize = 128;
/// No more connections than these come in here.
const CONNECTIONS: u64 = 640;

/// Connections that ended as somebody said what cannot be read.
pub static UNREADABLE: AtomicU64 = AtomicU64::new(0);

/// Takes in other registries and limiters.
pub async fn serve(listener: TcpListener, identity: Arc<ProcessIdentity>, commands: Commands) {
    static OPEN: AtomicU64 = AtomicU64::new(0);
    let mut number = 0;
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // Without descriptors; those that are open end some time.
            sleep(PAUSE).await;
            continue;
        };
        if OPEN.load(Ordering::Relaxed) >= CONNECTIONS {
            continue;
        }
        number += 1;
        let (identity, commands) = (identity.clone(), commands.clone());
        OPEN.fetch_add(1, Ordering::Relaxed);
        tokio::spawn(async move {
            note(take(stream, number, &identity, &commands).await);
            OPEN.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

fn note(ended: Result<(), Broken>) {
    match ended {
        Err(Broken::Connection(e)) => log::debug!("a connection: {e}"),
        // Counted and logged where it was refused.
        Err(Broken::Refused(_)) => {}
        Err(e) => {
            let before = UNREADABLE.fetch_add(1, Ordering::Relaxed);
            log::warn!("{e}; {before} before");
        }
        Ok(()) => {}
    }
}

async fn next<T: DeserializeOwned>(
    from: &mut (impl AsyncRead + Unpin),
    within: Duration,
) -> Result<T, Broken> {
    timeout(within, frames::read(from))
        .await
        .map_err(std::io::Error::from)?
}

async fn write(
    to: &mut (impl AsyncWrite + Unpin),
    out: &mut mpsc::Receiver<Bytes>,
) -> Result<(), Broken> {
    while let Some(frame) = out.recv().await {
        to.write_all(&frame).await?;
    }
    Ok(())
}

/// Hears one that has connected, until it or this process ends the connection.
async fn take(
    stream: TcpStream,
    number: u64,
    identity: &ProcessIdentity,
    commands: &Commands,
) -> Result<(), Broken> {
    net::tune(&stream)?;
    let (from, mut to) = stream.into_split();
    let mut from = BufReader::new(from);
    let (out, mut frames_out) = mpsc::channel(BEHIND);
    timeout(FIRST, identity.receive(&mut from))
        .await
        .map_err(std::io::Error::from)??;
    identity.send(&mut to).await?;
    match next(&mut from, FIRST).await? {
        First::Limiter => {
            commands
                .send(Command::Session {
                    session: number,
                    out,
                })
                .await;
            let reads = async {
                loop {
                    let said: FromLimiter = next(&mut from, SILENCE).await?;
                    commands
                        .event(Event::Limiter {
                            session: number,
                            said,
                        })
                        .await;
                }
            };
            let ended = tokio::select! { ended = reads => ended, ended = write(&mut to, &mut frames_out) => ended };
            commands.event(Event::Ended { session: number }).await;
            ended
        }
        First::Registry(peer) => {
            commands.send(Command::Incoming { peer, out }).await;
            let reads = async {
                loop {
                    let said: RegistryMessage = next(&mut from, SILENCE).await?;
                    commands.event(Event::Peer { peer, said }).await;
                }
            };
            tokio::select! { ended = reads => ended, ended = write(&mut to, &mut frames_out) => ended }
        }
    }
}

/// Keeps a connection to another registry open, for as long as it is not aborted.
pub async fn call(
    identity: Arc<ProcessIdentity>,
    me: Ipv4Addr,
    peer: Ipv4Addr,
    port: u16,
    commands: Commands,
) {
    let mut pause = PAUSE;
    loop {
        let since = Instant::now();
        note(speak(&identity, me, peer, port, &commands).await);
        pause = if since.elapsed() > LONGEST_PAUSE {
            PAUSE
        } else {
            (pause * 2).min(LONGEST_PAUSE)
        };
        sleep(pause).await;
    }
}

async fn speak(
    identity: &ProcessIdentity,
    me: Ipv4Addr,
    peer: Ipv4Addr,
    port: u16,
    commands: &Commands,
) -> Result<(), Broken> {
    let stream = net::connect(peer, port).await?;
    let (from, mut to) = stream.into_split();
    let mut from = BufReader::new(from);
    identity.send(&mut to).await?;
    frames::write(&mut to, &First::Registry(me)).await?;
    timeout(FIRST, identity.receive(&mut from))
        .await
        .map_err(std::io::Error::from)??;
    let (out, mut frames_out) = mpsc::channel(BEHIND);
    commands
        .send(Command::Outgoing {
            peer,
            out: Some(out),
        })
        .await;
    let reads = async {
        loop {
            // Acknowledgements come only when something was asked.
            let ack: Ack = frames::read(&mut from).await?;
            commands.event(Event::Acked { peer, ack }).await;
        }
    };
    let ended =
        tokio::select! { ended = reads => ended, ended = write(&mut to, &mut frames_out) => ended };
    commands.send(Command::Outgoing { peer, out: None }).await;
    ended
}
