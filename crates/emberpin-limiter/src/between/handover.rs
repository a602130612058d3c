//! The host of an upgrade: the meeting point in `$TMPDIR`, the connection between the two processes of this limiter, and
//! what is carried over it. Who does what when is decided in `emberpin_upgrade`.

use crate::between::peers::Peers;
use crate::front::socket_budget::{SocketBudget, SocketCounts};
use crate::upstream::endpoint_list::Target;
use emberpin_balancer::{Handover, Millis, Usage};
use emberpin_upgrade::frame::{self, Message, HEADER_LEN, HELLO_LEN};
use emberpin_upgrade::process::{Action, Event, Process};
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::unix::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::{mpsc, oneshot};
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::timeout;

/// Where the processes of one limiter meet, in `$TMPDIR`.
const MEETING: &str = "emberpin.handover";
/// The older process has this long to answer whole; without it the start is as after a kill.
const PATIENCE: Duration = Duration::from_millis(1_500);
/// Whoever comes to the meeting point has this long to say who it is.
const HELLO_LIMIT: Duration = Duration::from_millis(500);
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// How often the other process is told what is held, if that has changed.
const HELD_LOOK: Duration = Duration::from_millis(20);
/// What waits for the other process; what does not fit is not told.
const NOTES: usize = 4_096;

/// What the older process gives.
#[derive(Serialize, Deserialize)]
pub struct Given {
    /// The time on its clock, which goes on.
    pub clock: Millis,
    /// Its list of servers, as JSON, and the version of that.
    pub rev: u64,
    targets: Vec<u8>,
    /// Names of servers that it was ever told of.
    pub names: Vec<String>,
    pub gateway: Handover,
}

impl Given {
    pub fn new(
        clock: Millis,
        rev: u64,
        targets: &[Target],
        names: Vec<String>,
        gateway: Handover,
    ) -> Given {
        Given {
            clock,
            rev,
            targets: serde_json::to_vec(targets).unwrap_or_default(),
            names,
            gateway,
        }
    }

    pub fn targets(&self) -> Vec<Target> {
        serde_json::from_slice(&self.targets).unwrap_or_default()
    }
}

/// What each of the two processes tells the other as it happens.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Shared {
    Spent(Usage),
    /// A server was taken out of service by hand, or put back.
    Order {
        server: String,
        out: bool,
    },
    /// So many connections are held.
    Held(SocketCounts),
}

/// What the driver hears of the other process.
pub enum Pairing {
    /// Give what is known, and tell from then on what is spent.
    Give(oneshot::Sender<Given>, mpsc::Sender<Shared>),
    /// The older process is there: tell it what is spent.
    Paired(mpsc::Sender<Shared>),
    Heard(Shared),
    /// It is gone.
    Alone,
}

/// This process, and what stands round it.
pub struct Upgrade {
    process: RefCell<Process>,
    meeting: Option<PathBuf>,
    peers: Option<Rc<Peers>>,
    driver: mpsc::Sender<Pairing>,
    /// What of the descriptors the other process holds.
    socket_budget: Rc<SocketBudget>,
    listening: RefCell<Option<JoinHandle<()>>>,
}

/// An older process that gave what it knows.
pub struct Older {
    stream: UnixStream,
}

/// Where the processes of this limiter meet, on a platform that starts a second one beside the first.
pub fn meeting_point() -> Option<PathBuf> {
    let folder = std::env::var_os("TMPDIR").filter(|folder| !folder.is_empty());
    if folder.is_none() {
        eprintln!("emberpin: TMPDIR is not set: nothing is handed over in an upgrade");
    }
    Some(Path::new(&folder?).join(MEETING))
}

/// Asks the older process, if there is one, for what it knows.
///
/// # Errors
///
/// One line, when another upgrade is under way.
pub async fn take(
    process: &mut Process,
    meeting: Option<&Path>,
) -> Result<Option<(Given, Older)>, String> {
    let mut actions = Vec::new();
    let found = match meeting {
        Some(path) => timeout(PATIENCE, UnixStream::connect(path))
            .await
            .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into())),
        None => Err(io::ErrorKind::NotFound.into()),
    };
    let started = match found.is_ok() {
        true => Event::StartedWithPredecessor,
        false => Event::StartedAlone,
    };
    process.handle(started, &mut actions);
    let Ok(stream) = found else { return Ok(None) };
    let (event, given) = match timeout(PATIENCE, ask(stream)).await {
        Ok(Ok((Message::State(body), stream))) => match postcard::from_bytes::<Given>(&body) {
            Ok(given) => (Event::StateReceived, Some((given, Older { stream }))),
            Err(problem) => useless(&problem.to_string()),
        },
        Ok(Ok((Message::Refused, _))) => (Event::StateRefused, None),
        Ok(Ok((Message::Update(_), _))) => useless("it did not give first"),
        Ok(Err(problem)) => useless(&problem),
        Err(_) => useless("it did not answer in time"),
    };
    actions.clear();
    process.handle(event, &mut actions);
    if actions.contains(&Action::AbortStart) {
        return Err(
            "another upgrade of this limiter is under way: try again once the older process is gone".into()
        );
    }
    Ok(given)
}

fn useless(problem: &str) -> (Event, Option<(Given, Older)>) {
    eprintln!(
        "emberpin: nothing taken over from the process before, starting as after a kill: {problem}"
    );
    (Event::StateUnusable, None)
}

async fn ask(mut stream: UnixStream) -> Result<(Message<Shared>, UnixStream), String> {
    stream
        .write_all(&frame::encode_hello())
        .await
        .map_err(|e| e.to_string())?;
    let note = read(&mut stream).await?;
    Ok((note, stream))
}

async fn read(from: &mut (impl AsyncReadExt + Unpin)) -> Result<Message<Shared>, String> {
    let mut head = [0; HEADER_LEN];
    from.read_exact(&mut head)
        .await
        .map_err(|e| e.to_string())?;
    let mut body = vec![0; frame::body_len(&head).map_err(|e| e.to_string())?];
    from.read_exact(&mut body)
        .await
        .map_err(|e| e.to_string())?;
    frame::decode(&head, &body).map_err(|e| e.to_string())
}

async fn write(
    to: &mut (impl AsyncWriteExt + Unpin),
    note: &Message<Shared>,
) -> Result<(), String> {
    let bytes = frame::encode(note).map_err(|e| e.to_string())?;
    to.write_all(&bytes).await.map_err(|e| e.to_string())
}

impl Upgrade {
    /// Goes on from [`take`]: serves, takes the port and the meeting point, and stays in touch with the older process.
    pub fn start(
        process: Process,
        meeting: Option<PathBuf>,
        older: Option<Older>,
        peers: Option<Rc<Peers>>,
        driver: mpsc::Sender<Pairing>,
        socket_budget: Rc<SocketBudget>,
    ) -> Rc<Upgrade> {
        let upgrade = Rc::new(Upgrade {
            process: RefCell::new(process),
            meeting,
            peers,
            driver,
            socket_budget,
            listening: RefCell::default(),
        });
        if let Some(peers) = &upgrade.peers {
            peers.want(true);
        }
        upgrade.meet();
        if let Some(Older { stream }) = older {
            let upgrade = upgrade.clone();
            spawn_local(async move {
                let (tell, told) = mpsc::channel(NOTES);
                _ = upgrade.driver.send(Pairing::Paired(tell)).await;
                upgrade.clone().talk(stream, told).await;
                upgrade.handle(Event::PredecessorDisconnected).await;
            });
        }
        upgrade
    }

    /// Told to go. Whether a younger process takes the clients meanwhile makes no difference.
    pub async fn terminate(self: &Rc<Self>) {
        self.handle(Event::TerminationRequested).await;
    }

    /// Feeds the machine and carries out all but what needs the connection; those actions come back.
    async fn handle(self: &Rc<Self>, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.process.borrow_mut().handle(event, &mut actions);
        for action in &actions {
            match action {
                Action::OpenPeerPort => {
                    if let Some(peers) = &self.peers {
                        peers.want(true);
                    }
                }
                Action::ClosePeerPort => {
                    if let Some(peers) = &self.peers {
                        peers.leave().await;
                    }
                }
                Action::BindHandoverSocket => self.meet(),
                // Nothing is held by the next process yet; it tells as soon as it does.
                Action::ShareDescriptors => self
                    .socket_budget
                    .set_sibling(Some(SocketCounts::default())),
                Action::ReclaimDescriptors => {
                    self.socket_budget.set_sibling(None);
                    _ = self.driver.send(Pairing::Alone).await;
                }
                // Done by whoever feeds the event.
                Action::RequestState
                | Action::ServeWithState
                | Action::ServeWithoutState
                | Action::SendState
                | Action::RefuseState => {}
                Action::Drain | Action::Exit | Action::AbortStart => {}
            }
        }
        actions
    }

    /// Takes over the meeting point. Whatever stood there goes: a socket that nobody answers at, a file.
    fn meet(self: &Rc<Self>) {
        let Some(path) = &self.meeting else { return };
        let own = path.with_extension(std::process::id().to_string());
        _ = std::fs::remove_file(&own);
        let bound = UnixListener::bind(&own).and_then(|listener| {
            std::fs::rename(&own, path)?;
            Ok(listener)
        });
        match bound {
            Ok(listener) => {
                let listening = spawn_local(self.clone().listen(listener));
                if let Some(before) = self.listening.replace(Some(listening)) {
                    before.abort();
                }
            }
            Err(problem) => {
                _ = std::fs::remove_file(&own);
                let path = path.display();
                eprintln!(
                    "emberpin: nothing can be handed over to a next process: {path}: {problem}"
                );
            }
        }
    }

    async fn listen(self: Rc<Self>, listener: UnixListener) {
        loop {
            let Ok((mut stream, _)) = listener.accept().await else {
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            };
            // Another user's process is told nothing.
            let own = nix::unistd::geteuid().as_raw();
            if stream.peer_cred().map_or(true, |who| who.uid() != own) {
                continue;
            }
            let mut hello = [0; HELLO_LEN];
            match timeout(HELLO_LIMIT, stream.read_exact(&mut hello)).await {
                Ok(Ok(_)) => {}
                Ok(Err(_)) | Err(_) => continue,
            }
            if let Err(problem) = frame::check_hello(&hello) {
                eprintln!("emberpin: nothing handed over: {problem}");
                continue;
            }
            let actions = self.handle(Event::StateRequested).await;
            if actions.contains(&Action::SendState) {
                // Apart from this loop, so that another that asks is refused meanwhile.
                spawn_local(self.clone().give(stream));
            } else {
                _ = timeout(HELLO_LIMIT, write(&mut stream, &Message::Refused)).await;
            }
        }
    }

    async fn give(self: Rc<Self>, mut stream: UnixStream) {
        let (tell, told) = mpsc::channel(NOTES);
        let (give, given) = oneshot::channel();
        let sent = async {
            self.driver
                .send(Pairing::Give(give, tell))
                .await
                .map_err(|_| "no driver")?;
            let given = given.await.map_err(|_| "the driver gave nothing")?;
            let body = postcard::to_allocvec(&given).map_err(|e| e.to_string())?;
            write(&mut stream, &Message::State(body)).await
        };
        match timeout(PATIENCE, sent).await {
            Ok(Ok(())) => {
                eprintln!("emberpin: handed over to the next process");
                self.clone().talk(stream, told).await;
            }
            Ok(Err(problem)) => eprintln!("emberpin: not handed over: {problem}"),
            Err(_) => eprintln!("emberpin: not handed over: the next process does not read"),
        }
        self.handle(Event::SuccessorDisconnected).await;
    }

    /// Tells and hears until the other process is gone.
    async fn talk(self: Rc<Self>, stream: UnixStream, told: mpsc::Receiver<Shared>) {
        let (from, to) = stream.into_split();
        let (mut hearing, mut telling) = (
            spawn_local(self.clone().hear(from)),
            spawn_local(self.tell(to, told)),
        );
        tokio::select! {
            _ = &mut hearing => {}
            _ = &mut telling => {}
        }
        hearing.abort();
        telling.abort();
    }

    async fn hear(self: Rc<Self>, mut from: OwnedReadHalf) {
        while let Ok(Message::Update(shared)) = read(&mut from).await {
            if let Shared::Held(held) = shared {
                self.socket_budget.set_sibling(Some(held));
                continue;
            }
            if self.driver.send(Pairing::Heard(shared)).await.is_err() {
                return;
            }
        }
    }

    /// Tells what the driver shares, and what is held whenever that has changed.
    async fn tell(self: Rc<Self>, mut to: OwnedWriteHalf, mut told: mpsc::Receiver<Shared>) {
        let mut known = None;
        loop {
            let held = self.socket_budget.in_use();
            let shared = if known.replace(held) == Some(held) {
                match timeout(HELD_LOOK, told.recv()).await {
                    Ok(Some(shared)) => shared,
                    Ok(None) => return,
                    Err(_) => continue,
                }
            } else {
                Shared::Held(held)
            };
            if write(&mut to, &Message::Update(shared)).await.is_err() {
                return;
            }
        }
    }
}
