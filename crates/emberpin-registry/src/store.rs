//! The stores of configuration: what they tell is followed, and the outside calls are passed to them. The one
//! on this machine comes first; another voter's stands in while it is silent. Items merge, so what comes
//! twice does no harm.

use crate::host::Commands;
use crate::net;
use bytes::Bytes;
use emberpin_membership::registry::Event;
use emberpin_runtime::frames::{self, Broken};
use emberpin_runtime::preamble::ProcessIdentity;
use emberpin_store::protocol::{DiskState, DiskStatus, StoreReply, StoreRequest, ToStore};
use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt, BufReader};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{sleep, timeout, Instant};

/// A store says how it stands twice a second.
const SILENCE: Duration = Duration::from_millis(1_200);
/// Another voter's store is followed after so long without the one on this machine.
const ALONE: Duration = Duration::from_secs(1);
const PAUSE: Duration = Duration::from_millis(100);
const LONGEST_PAUSE: Duration = Duration::from_secs(1);
/// A call goes to another store if this one cannot be reached so soon.
const CONNECT: Duration = Duration::from_millis(300);
/// A store that refuses a call so soon has begun nothing for it: the next one is asked.
const REFUSED_AT_ONCE: Duration = Duration::from_millis(300);
/// The status of a call that may be sent again.
const UNAVAILABLE: u16 = 503;
/// Questions that wait on one connection.
const WAITING: usize = 64;

/// An answer of a store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answered {
    /// An HTTP status.
    pub status: u16,
    /// The body.
    pub body: String,
}

type Waiting = Arc<Mutex<HashMap<u64, oneshot::Sender<Answered>>>>;

/// A connection over which calls are passed.
#[derive(Clone)]
struct Passing {
    out: mpsc::Sender<Bytes>,
    waiting: Waiting,
}

/// The stores.
pub struct Stores {
    identity: Arc<ProcessIdentity>,
    me: Ipv4Addr,
    port: u16,
    seeds: Vec<Ipv4Addr>,
    voters: Mutex<Vec<Ipv4Addr>>,
    /// When the store on this machine said something.
    local: Mutex<Instant>,
    /// The disk of the store on this machine, once that told.
    disk: Mutex<Option<DiskStatus>>,
    passing: Mutex<HashMap<Ipv4Addr, Passing>>,
    /// The newest question that the registry asks whichever store is followed.
    questions: watch::Sender<u64>,
    ids: AtomicU64,
}

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    // Nothing that holds one of these panics halfway through a change.
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Stores {
    /// Those on these machines, at this port.
    pub fn new(
        identity: Arc<ProcessIdentity>,
        me: Ipv4Addr,
        port: u16,
        seeds: Vec<Ipv4Addr>,
    ) -> Stores {
        Stores {
            identity,
            me,
            port,
            seeds,
            voters: Mutex::default(),
            local: Mutex::new(Instant::now()),
            disk: Mutex::default(),
            passing: Mutex::default(),
            questions: watch::Sender::default(),
            ids: AtomicU64::new(0),
        }
    }

    /// The disk of the store on this machine, as it last told.
    pub fn disk(&self) -> Option<DiskStatus> {
        *locked(&self.disk)
    }

    /// Asks whichever store is followed how old what it tells is.
    pub fn confirm(&self, question: u64) {
        self.questions.send_replace(question);
    }

    /// Follows the stores for as long as the process runs.
    pub fn follow(self: &Arc<Stores>, commands: &Commands) {
        tokio::spawn(self.clone().follow_local(commands.clone()));
        tokio::spawn(self.clone().follow_others(commands.clone()));
    }

    async fn follow_local(self: Arc<Stores>, commands: Commands) {
        let mut pause = PAUSE;
        loop {
            let heard = Instant::now();
            let ended = self.follow_one(self.me, &commands).await;
            log::debug!("the store here: {ended}");
            pause = if heard.elapsed() > LONGEST_PAUSE {
                PAUSE
            } else {
                (pause * 2).min(LONGEST_PAUSE)
            };
            sleep(pause).await;
        }
    }

    async fn follow_others(self: Arc<Stores>, commands: Commands) {
        let mut turn = 0;
        loop {
            sleep(ALONE / 2).await;
            if locked(&self.local).elapsed() < ALONE {
                continue;
            }
            let others = self.others();
            let Some(other) = others.get(turn % others.len().max(1)).copied() else {
                continue;
            };
            turn += 1;
            let ended = self.follow_one(other, &commands).await;
            log::debug!("the store on {other}: {ended}");
        }
    }

    /// Follows one until it breaks, falls silent, or stands in for the one here, which is back.
    async fn follow_one(&self, store: Ipv4Addr, commands: &Commands) -> Broken {
        let follow = async {
            let stream = net::connect(store, self.port).await?;
            let (from, mut to) = stream.into_split();
            self.identity.send(&mut to).await?;
            frames::write(&mut to, &ToStore::Request(StoreRequest::Subscribe)).await?;
            let mut from = BufReader::new(from);
            let greeted = timeout(SILENCE, self.identity.receive(&mut from)).await;
            let peer = greeted.map_err(std::io::Error::from)??;
            if let Some(system) = peer.system.filter(|_| store == self.me) {
                self.identity.learn(system);
            }
            let asks = self.ask_on(&mut to);
            let follows = self.hear(store, from, commands);
            tokio::select! { ended = asks => ended, ended = follows => ended }
        };
        match follow.await {
            Ok(never) => never,
            Err(broken) => broken,
        }
    }

    async fn ask_on(&self, to: &mut (impl AsyncWrite + Unpin)) -> Result<Broken, Broken> {
        let mut questions = self.questions.subscribe();
        loop {
            let question = *questions.borrow_and_update();
            frames::write(
                to,
                &ToStore::Request(StoreRequest::ConfirmFreshness { nonce: question }),
            )
            .await?;
            // Its sender lives as long as this does.
            _ = questions.changed().await;
        }
    }

    async fn hear(
        &self,
        store: Ipv4Addr,
        mut from: impl AsyncRead + Unpin,
        commands: &Commands,
    ) -> Result<Broken, Broken> {
        loop {
            let told = timeout(SILENCE, frames::read::<StoreReply>(&mut from)).await;
            let told = told.map_err(std::io::Error::from)??;
            if store == self.me {
                *locked(&self.local) = Instant::now();
            }
            let event = match told {
                StoreReply::Items { items } => Event::Items(items),
                StoreReply::Status { voters, disk, .. } => {
                    if store == self.me {
                        *locked(&self.disk) = Some(disk);
                    }
                    locked(&self.voters).clone_from(&voters);
                    Event::Voters(voters)
                }
                StoreReply::FreshnessConfirmed {
                    nonce: question,
                    age_ms: age,
                } => Event::StoreConfirmed { question, age },
                StoreReply::Response { .. } => continue,
            };
            commands.event(event).await;
            if store != self.me && locked(&self.local).elapsed() < ALONE {
                return Err(std::io::Error::other("the store here is back").into());
            }
        }
    }

    fn others(&self) -> Vec<Ipv4Addr> {
        let voters = locked(&self.voters);
        let known = if voters.is_empty() {
            &self.seeds
        } else {
            &*voters
        };
        known
            .iter()
            .copied()
            .filter(|other| *other != self.me)
            .collect()
    }

    /// Passes a call to a store; `None` if none has answered in time. `ask` is given the number of the call,
    /// which may differ from try to try.
    pub async fn pass(
        self: &Arc<Stores>,
        within: Duration,
        ask: impl Fn(u64) -> StoreRequest,
    ) -> Option<Answered> {
        let tries = async {
            // One that breaks off may have taken the call; calls may come again, so another one is asked.
            let mut stores: Vec<Ipv4Addr> = std::iter::once(self.me).chain(self.others()).collect();
            if self.local_takes_no_calls() && stores.len() > 1 {
                // The one here may take the call and never answer it, or would refuse it.
                stores.rotate_left(1);
            }
            let mut refused = None;
            for store in stores {
                let id = self.ids.fetch_add(1, Ordering::Relaxed);
                let asked = Instant::now();
                let Some(answered) = self.ask(store, id, ask(id)).await else {
                    continue;
                };
                if answered.status != UNAVAILABLE || asked.elapsed() > REFUSED_AT_ONCE {
                    return Some(answered);
                }
                refused = Some(answered);
            }
            refused
        };
        timeout(within, tries).await.ok().flatten()
    }

    fn local_takes_no_calls(&self) -> bool {
        let unusable =
            |disk: DiskStatus| matches!(disk.state, DiskState::Full | DiskState::Stalled);
        locked(&self.local).elapsed() >= ALONE || self.disk().is_some_and(unusable)
    }

    async fn ask(
        self: &Arc<Stores>,
        store: Ipv4Addr,
        id: u64,
        ask: StoreRequest,
    ) -> Option<Answered> {
        let frame = frames::frame(&ToStore::Request(ask)).ok()?;
        let passing = self.passing(store).await?;
        let (tell, told) = oneshot::channel();
        locked(&passing.waiting).insert(id, tell);
        let forget = Forget {
            waiting: &passing.waiting,
            id,
        };
        let sent = passing.out.send(frame.into()).await;
        let answered = match sent {
            Ok(()) => told.await.ok(),
            Err(_) => None,
        };
        drop(forget);
        answered
    }

    async fn passing(self: &Arc<Stores>, store: Ipv4Addr) -> Option<Passing> {
        let known = locked(&self.passing)
            .get(&store)
            .filter(|known| !known.out.is_closed())
            .cloned();
        if known.is_some() {
            return known;
        }
        let stream = timeout(CONNECT, net::connect(store, self.port))
            .await
            .ok()?
            .ok()?;
        let (out, mut frames_out) = mpsc::channel::<Bytes>(WAITING);
        let passing = Passing {
            out,
            waiting: Waiting::default(),
        };
        locked(&self.passing).insert(store, passing.clone());
        let waiting = passing.waiting.clone();
        let identity = self.identity.clone();
        tokio::spawn(async move {
            let (from, mut to) = stream.into_split();
            let mut from = BufReader::new(from);
            let writes = async {
                identity.send(&mut to).await?;
                while let Some(frame) = frames_out.recv().await {
                    to.write_all(&frame).await?;
                }
                Ok::<(), Broken>(())
            };
            let reads = async {
                identity.receive(&mut from).await?;
                loop {
                    if let StoreReply::Response { id, status, body } =
                        frames::read::<StoreReply>(&mut from).await?
                    {
                        if let Some(tell) = locked(&waiting).remove(&id) {
                            _ = tell.send(Answered { status, body });
                        }
                    }
                }
            };
            let ended: Result<(), Broken> =
                tokio::select! { ended = writes => ended, ended = reads => ended };
            drop(frames_out);
            // Whoever waits is told that no answer comes.
            locked(&waiting).clear();
            if let Err(broken) = ended {
                log::debug!("calls to the store on {store}: {broken}");
            }
        });
        Some(passing)
    }
}

/// Forgets a question when its answer has come, or nobody waits for it any more.
struct Forget<'a> {
    waiting: &'a Waiting,
    id: u64,
}

impl Drop for Forget<'_> {
    fn drop(&mut self) {
        locked(self.waiting).remove(&self.id);
    }
}
