//! Carries out an upgrade of this limiter from one process to the next: the handover socket in `$TMPDIR`, the
//! connection between the two processes, and the messages on it. Which process does what, and when, is decided in
//! `emberpin_upgrade`.

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

/// File name of the handover socket in `$TMPDIR`, at which a new process finds the running one.
const SOCKET_FILE: &str = "emberpin.handover";
/// The older process must deliver its whole state within this time; otherwise the new one starts without it, as after a
/// kill.
const STATE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// A process that connects to the handover socket must send its hello within this time.
const HELLO_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// How often the socket counts are compared with those last sent to the other process.
const SOCKET_COUNT_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of messages queued for the other process; those that do not fit are dropped.
const MAX_QUEUED_MESSAGES: usize = 4_096;

/// The state that the older process hands over.
#[derive(Serialize, Deserialize)]
pub struct HandoverState {
    /// The time on its clock, from which the new process's clock continues.
    pub clock: Millis,
    /// The revision of its endpoint list.
    pub revision: u64,
    /// Its endpoint list, as JSON.
    targets: Vec<u8>,
    /// The names of all servers that it has ever received.
    pub names: Vec<String>,
    /// The state of the decision module.
    pub gateway: Handover,
}

impl HandoverState {
    pub fn new(
        clock: Millis,
        revision: u64,
        targets: &[Target],
        names: Vec<String>,
        gateway: Handover,
    ) -> HandoverState {
        HandoverState {
            clock,
            revision,
            targets: serde_json::to_vec(targets).unwrap_or_default(),
            names,
            gateway,
        }
    }

    pub fn targets(&self) -> Vec<Target> {
        serde_json::from_slice(&self.targets).unwrap_or_default()
    }
}

/// A message with which each of the two processes keeps the other up to date.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Update {
    /// Quota that was used.
    Usage(Usage),
    /// An operator took a server out of service (`out`), or put it back.
    Maintenance { server: String, out: bool },
    /// The number of sockets that the sender has open.
    SocketCounts(SocketCounts),
}

/// An event about the other process of this limiter, for the driver.
pub enum SiblingEvent {
    /// A newer process requests the state: the first sender takes the state, and the second the messages that follow.
    StateRequested(oneshot::Sender<HandoverState>, mpsc::Sender<Update>),
    /// This process runs beside the older one: the sender takes the messages for it.
    Connected(mpsc::Sender<Update>),
    /// The other process sent a message.
    Update(Update),
    /// The other process has disconnected.
    Disconnected,
}

/// The upgrades of this process, from its predecessor and to its successor: the state machine, and the parts of the
/// limiter that an upgrade affects.
pub struct Upgrade {
    process: RefCell<Process>,
    bind_path: Option<PathBuf>,
    peers: Option<Rc<Peers>>,
    driver: mpsc::Sender<SiblingEvent>,
    /// Accounts for the sockets that the other process uses.
    socket_budget: Rc<SocketBudget>,
    /// The task that accepts connections on the handover socket.
    listening: RefCell<Option<JoinHandle<()>>>,
}

/// The connection to an older process that has handed over its state.
pub struct Predecessor {
    stream: UnixStream,
}

/// The path of the handover socket, for platforms that start a second process beside the first; `None` if `TMPDIR` is
/// not set.
pub fn handover_socket_path() -> Option<PathBuf> {
    let folder = std::env::var_os("TMPDIR").filter(|folder| !folder.is_empty());
    if folder.is_none() {
        eprintln!("emberpin: TMPDIR is not set: nothing is handed over in an upgrade");
    }
    Some(Path::new(&folder?).join(SOCKET_FILE))
}

/// Requests the state of the older process, if there is one. Returns `None` if there is none or its state is unusable.
///
/// # Errors
///
/// One line, if another upgrade is under way.
pub async fn request_state(
    process: &mut Process,
    socket_path: Option<&Path>,
) -> Result<Option<(HandoverState, Predecessor)>, String> {
    let mut actions = Vec::new();
    let stream = match socket_path {
        Some(path) => timeout(STATE_TIMEOUT, UnixStream::connect(path))
            .await
            .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into())),
        None => Err(io::ErrorKind::NotFound.into()),
    };
    let started = match stream.is_ok() {
        true => Event::StartedWithPredecessor,
        false => Event::StartedAlone,
    };
    process.handle(started, &mut actions);
    let Ok(stream) = stream else { return Ok(None) };
    let (event, state) = match timeout(STATE_TIMEOUT, fetch_state(stream)).await {
        Ok(Ok((Message::State(body), stream))) => {
            match postcard::from_bytes::<HandoverState>(&body) {
                Ok(state) => (Event::StateReceived, Some((state, Predecessor { stream }))),
                Err(problem) => unusable_state(&problem.to_string()),
            }
        }
        Ok(Ok((Message::Refused, _))) => (Event::StateRefused, None),
        Ok(Ok((Message::Update(_), _))) => unusable_state("its first message was not its state"),
        Ok(Err(problem)) => unusable_state(&problem),
        Err(_) => unusable_state("it did not answer in time"),
    };
    actions.clear();
    process.handle(event, &mut actions);
    if actions.contains(&Action::AbortStart) {
        return Err(
            "another upgrade of this limiter is under way: try again once the older process is gone".into()
        );
    }
    Ok(state)
}

fn unusable_state(problem: &str) -> (Event, Option<(HandoverState, Predecessor)>) {
    eprintln!(
        "emberpin: no state taken over from the previous process, starting with fresh state: {problem}"
    );
    (Event::StateUnusable, None)
}

async fn fetch_state(mut stream: UnixStream) -> Result<(Message<Update>, UnixStream), String> {
    stream
        .write_all(&frame::encode_hello())
        .await
        .map_err(|e| e.to_string())?;
    let message = read_message(&mut stream).await?;
    Ok((message, stream))
}

async fn read_message(from: &mut (impl AsyncReadExt + Unpin)) -> Result<Message<Update>, String> {
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

async fn write_message(
    to: &mut (impl AsyncWriteExt + Unpin),
    message: &Message<Update>,
) -> Result<(), String> {
    let bytes = frame::encode(message).map_err(|e| e.to_string())?;
    to.write_all(&bytes).await.map_err(|e| e.to_string())
}

impl Upgrade {
    /// Continues after [`request_state`]: binds the peer port and the handover socket, and exchanges messages with the
    /// older process until it exits.
    pub fn start(
        process: Process,
        bind_path: Option<PathBuf>,
        predecessor: Option<Predecessor>,
        peers: Option<Rc<Peers>>,
        driver: mpsc::Sender<SiblingEvent>,
        socket_budget: Rc<SocketBudget>,
    ) -> Rc<Upgrade> {
        let upgrade = Rc::new(Upgrade {
            process: RefCell::new(process),
            bind_path,
            peers,
            driver,
            socket_budget,
            listening: RefCell::default(),
        });
        if let Some(peers) = &upgrade.peers {
            peers.set_wanted(true);
        }
        upgrade.bind_socket();
        if let Some(Predecessor { stream }) = predecessor {
            let upgrade = upgrade.clone();
            spawn_local(async move {
                let (outgoing, queued_messages) = mpsc::channel(MAX_QUEUED_MESSAGES);
                _ = upgrade.driver.send(SiblingEvent::Connected(outgoing)).await;
                upgrade
                    .clone()
                    .exchange_messages(stream, queued_messages)
                    .await;
                upgrade.handle(Event::PredecessorDisconnected).await;
            });
        }
        upgrade
    }

    /// Handles a request to terminate, whether or not a newer process has taken over.
    pub async fn terminate(self: &Rc<Self>) {
        self.handle(Event::TerminationRequested).await;
    }

    /// Passes an event to the state machine and carries out its actions, except those that need the connection. Returns
    /// all actions.
    async fn handle(self: &Rc<Self>, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.process.borrow_mut().handle(event, &mut actions);
        for action in &actions {
            match action {
                Action::OpenPeerPort => {
                    if let Some(peers) = &self.peers {
                        peers.set_wanted(true);
                    }
                }
                Action::ClosePeerPort => {
                    if let Some(peers) = &self.peers {
                        peers.close().await;
                    }
                }
                Action::BindHandoverSocket => self.bind_socket(),
                // The next process has no sockets open yet, and reports its counts as soon as they change.
                Action::ShareDescriptors => self
                    .socket_budget
                    .set_sibling(Some(SocketCounts::default())),
                Action::ReclaimDescriptors => {
                    self.socket_budget.set_sibling(None);
                    _ = self.driver.send(SiblingEvent::Disconnected).await;
                }
                // Carried out by the function that passed the event.
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

    /// Binds the handover socket. Replaces whatever is at its path, such as a stale socket or a file, by binding a
    /// temporary path and renaming it.
    fn bind_socket(self: &Rc<Self>) {
        let Some(path) = &self.bind_path else { return };
        let temporary = path.with_extension(std::process::id().to_string());
        _ = std::fs::remove_file(&temporary);
        let bound = UnixListener::bind(&temporary).and_then(|listener| {
            std::fs::rename(&temporary, path)?;
            Ok(listener)
        });
        match bound {
            Ok(listener) => {
                let listening = spawn_local(self.clone().listen(listener));
                if let Some(previous) = self.listening.replace(Some(listening)) {
                    previous.abort();
                }
            }
            Err(problem) => {
                _ = std::fs::remove_file(&temporary);
                let path = path.display();
                eprintln!(
                    "emberpin: cannot bind the handover socket, so an upgrade will hand nothing over: {path}: {problem}"
                );
            }
        }
    }

    async fn listen(self: Rc<Self>, listener: UnixListener) {
        loop {
            let Ok((mut stream, _)) = listener.accept().await else {
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            // Processes of other users are rejected.
            let own_uid = nix::unistd::geteuid().as_raw();
            if stream
                .peer_cred()
                .map_or(true, |peer| peer.uid() != own_uid)
            {
                continue;
            }
            let mut hello = [0; HELLO_LEN];
            match timeout(HELLO_TIMEOUT, stream.read_exact(&mut hello)).await {
                Ok(Ok(_)) => {}
                Ok(Err(_)) | Err(_) => continue,
            }
            if let Err(problem) = frame::check_hello(&hello) {
                eprintln!("emberpin: handover request rejected: {problem}");
                continue;
            }
            let actions = self.handle(Event::StateRequested).await;
            if actions.contains(&Action::SendState) {
                // In its own task, so that this loop can refuse other processes meanwhile.
                spawn_local(self.clone().send_state(stream));
            } else {
                _ = timeout(HELLO_TIMEOUT, write_message(&mut stream, &Message::Refused)).await;
            }
        }
    }

    async fn send_state(self: Rc<Self>, mut stream: UnixStream) {
        let (outgoing, queued_messages) = mpsc::channel(MAX_QUEUED_MESSAGES);
        let (reply_to, state) = oneshot::channel();
        let sent = async {
            self.driver
                .send(SiblingEvent::StateRequested(reply_to, outgoing))
                .await
                .map_err(|_| "the driver has stopped")?;
            let state = state
                .await
                .map_err(|_| "the driver did not provide the state")?;
            let body = postcard::to_allocvec(&state).map_err(|e| e.to_string())?;
            write_message(&mut stream, &Message::State(body)).await
        };
        match timeout(STATE_TIMEOUT, sent).await {
            Ok(Ok(())) => {
                eprintln!("emberpin: handed over to the next process");
                self.clone()
                    .exchange_messages(stream, queued_messages)
                    .await;
            }
            Ok(Err(problem)) => eprintln!("emberpin: not handed over: {problem}"),
            Err(_) => eprintln!(
                "emberpin: not handed over: the next process did not receive the state in time"
            ),
        }
        self.handle(Event::SuccessorDisconnected).await;
    }

    /// Exchanges messages with the other process until either direction ends.
    async fn exchange_messages(
        self: Rc<Self>,
        stream: UnixStream,
        queued_messages: mpsc::Receiver<Update>,
    ) {
        let (from, to) = stream.into_split();
        let (mut receiving, mut sending) = (
            spawn_local(self.clone().receive_messages(from)),
            spawn_local(self.send_messages(to, queued_messages)),
        );
        tokio::select! {
            _ = &mut receiving => {}
            _ = &mut sending => {}
        }
        receiving.abort();
        sending.abort();
    }

    async fn receive_messages(self: Rc<Self>, mut from: OwnedReadHalf) {
        while let Ok(Message::Update(message)) = read_message(&mut from).await {
            if let Update::SocketCounts(counts) = message {
                self.socket_budget.set_sibling(Some(counts));
                continue;
            }
            if self
                .driver
                .send(SiblingEvent::Update(message))
                .await
                .is_err()
            {
                return;
            }
        }
    }

    /// Sends the driver's messages, and the socket counts at the start and whenever they have changed.
    async fn send_messages(
        self: Rc<Self>,
        mut to: OwnedWriteHalf,
        mut queued_messages: mpsc::Receiver<Update>,
    ) {
        let mut last_sent = None;
        loop {
            let counts = self.socket_budget.in_use();
            let message = if last_sent.replace(counts) == Some(counts) {
                match timeout(SOCKET_COUNT_INTERVAL, queued_messages.recv()).await {
                    Ok(Some(message)) => message,
                    Ok(None) => return,
                    Err(_) => continue,
                }
            } else {
                Update::SocketCounts(counts)
            };
            if write_message(&mut to, &Message::Update(message))
                .await
                .is_err()
            {
                return;
            }
        }
    }
}
