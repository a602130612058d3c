//! The state machine of one process of a limiter, from start to exit.
//!
//! Both processes of an upgrade run it: the successor requests the state of the one that serves, its predecessor. The
//! predecessor closes the peer port, which only one process may own, before it sends its state, so that they
//! never both own it. The two share the file descriptors until one of them has ended; when either exits or crashes, the
//! other goes on alone.

/// The stage of a process between start and exit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Stage {
    /// Nothing is open yet.
    Starting,
    /// The process has requested its predecessor's state.
    RequestingState,
    /// The process accepts clients.
    Serving,
    /// The process is shutting down, and answers the requests that it has accepted.
    Draining,
    /// The process has exited, or is about to.
    Ended,
}

/// An event that a process handles.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// The process starts, and no other process answers at the handover socket.
    StartedAlone,
    /// The process starts, and a predecessor answers at the handover socket.
    StartedWithPredecessor,
    /// The predecessor's state arrived, complete and of this version.
    StateReceived,
    /// No usable state arrived: none in time, an incomplete one, or one of another version.
    StateUnusable,
    /// The predecessor rejected the request, as another upgrade is in progress.
    StateRefused,
    /// A successor requests this process's state.
    StateRequested,
    /// The connection to the predecessor ended.
    PredecessorDisconnected,
    /// The connection to the successor ended.
    SuccessorDisconnected,
    /// The process received the request to shut down.
    TerminationRequested,
    /// All requests that were accepted have been answered.
    Drained,
}

/// An action that the host carries out, in the order in which actions are appended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Request the predecessor's state.
    RequestState,
    /// Accept clients, with the state received.
    ServeWithState,
    /// Accept clients without a state, as after a crash.
    ServeWithoutState,
    /// Open the peer port, as soon as it is free.
    OpenPeerPort,
    /// Close the peer port.
    ClosePeerPort,
    /// Send the state to the successor, and updates from then on.
    SendState,
    /// Reply to a request for the state that another upgrade is in progress.
    RefuseState,
    /// Listen at the handover socket, replacing any other process there.
    BindHandoverSocket,
    /// Use only this process's share of the file descriptors, and leave the rest to the other process.
    ShareDescriptors,
    /// Use all file descriptors again.
    ReclaimDescriptors,
    /// Accept no more clients, and answer the requests accepted so far.
    Drain,
    /// Exit with success.
    Exit,
    /// Exit with an error: another upgrade is in progress.
    AbortStart,
}

/// The state of one process of a limiter, including its knowledge of the other process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Process {
    stage: Stage,
    has_predecessor: bool,
    has_successor: bool,
    owns_peer_port: bool,
}

impl Default for Process {
    fn default() -> Process {
        Process {
            stage: Stage::Starting,
            has_predecessor: false,
            has_successor: false,
            owns_peer_port: false,
        }
    }
}

impl Process {
    /// The current stage.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Whether this process owns the peer port, or will own it once the port is free.
    pub fn owns_peer_port(&self) -> bool {
        self.owns_peer_port
    }

    /// Whether another process of this limiter is running, as far as this one knows.
    pub fn is_paired(&self) -> bool {
        self.has_predecessor || self.has_successor
    }

    /// Handles an event, and appends the actions to be carried out. Events without a meaning in the current stage are
    /// ignored.
    pub fn handle(&mut self, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::StartedAlone => self.on_started_alone(actions),
            Event::StartedWithPredecessor => self.on_started_with_predecessor(actions),
            Event::StateReceived => self.on_state_received(actions),
            Event::StateUnusable => self.on_state_unusable(actions),
            Event::StateRefused => self.on_state_refused(actions),
            Event::StateRequested => self.on_state_requested(actions),
            Event::PredecessorDisconnected => self.on_predecessor_disconnected(actions),
            Event::SuccessorDisconnected => self.on_successor_disconnected(actions),
            Event::TerminationRequested => self.on_termination_requested(actions),
            Event::Drained => self.on_drained(actions),
        }
    }

    fn on_started_alone(&mut self, actions: &mut Vec<Action>) {
        if self.stage == Stage::Starting {
            self.serve_without_state(actions);
        }
    }

    fn on_started_with_predecessor(&mut self, actions: &mut Vec<Action>) {
        if self.stage == Stage::Starting {
            self.stage = Stage::RequestingState;
            actions.push(Action::RequestState);
        }
    }

    fn on_state_received(&mut self, actions: &mut Vec<Action>) {
        if self.stage != Stage::RequestingState {
            return;
        }
        self.stage = Stage::Serving;
        self.has_predecessor = true;
        self.owns_peer_port = true;
        actions.extend([
            Action::ShareDescriptors,
            Action::ServeWithState,
            Action::OpenPeerPort,
            Action::BindHandoverSocket,
        ]);
    }

    fn on_state_unusable(&mut self, actions: &mut Vec<Action>) {
        if self.stage == Stage::RequestingState {
            self.serve_without_state(actions);
        }
    }

    fn on_state_refused(&mut self, actions: &mut Vec<Action>) {
        if self.stage == Stage::RequestingState {
            self.stage = Stage::Ended;
            actions.push(Action::AbortStart);
        }
    }

    /// A process sends its state only while it serves or drains, and to one successor at a time.
    fn on_state_requested(&mut self, actions: &mut Vec<Action>) {
        if !self.has_clients() || self.is_paired() {
            actions.push(Action::RefuseState);
            return;
        }
        self.has_successor = true;
        if std::mem::take(&mut self.owns_peer_port) {
            actions.push(Action::ClosePeerPort);
        }
        actions.extend([Action::SendState, Action::ShareDescriptors]);
    }

    fn on_predecessor_disconnected(&mut self, actions: &mut Vec<Action>) {
        if self.stage == Stage::RequestingState {
            self.serve_without_state(actions);
        } else if self.has_clients() && std::mem::take(&mut self.has_predecessor) {
            actions.push(Action::ReclaimDescriptors);
        }
    }

    /// Reclaims the descriptors. A process that serves also reopens the peer port and the handover socket; a process
    /// that drains exits without them.
    fn on_successor_disconnected(&mut self, actions: &mut Vec<Action>) {
        if !self.has_clients() || !std::mem::take(&mut self.has_successor) {
            return;
        }
        actions.push(Action::ReclaimDescriptors);
        if self.stage == Stage::Serving {
            self.owns_peer_port = true;
            actions.extend([Action::OpenPeerPort, Action::BindHandoverSocket]);
        }
    }

    fn on_termination_requested(&mut self, actions: &mut Vec<Action>) {
        match self.stage {
            Stage::Starting | Stage::RequestingState => {
                self.stage = Stage::Ended;
                actions.push(Action::Exit);
            }
            Stage::Serving => {
                self.stage = Stage::Draining;
                actions.push(Action::Drain);
            }
            Stage::Draining | Stage::Ended => {}
        }
    }

    fn on_drained(&mut self, actions: &mut Vec<Action>) {
        if self.stage == Stage::Draining {
            self.stage = Stage::Ended;
            actions.push(Action::Exit);
        }
    }

    fn serve_without_state(&mut self, actions: &mut Vec<Action>) {
        self.stage = Stage::Serving;
        self.owns_peer_port = true;
        actions.extend([
            Action::ServeWithoutState,
            Action::OpenPeerPort,
            Action::BindHandoverSocket,
        ]);
    }

    fn has_clients(&self) -> bool {
        matches!(self.stage, Stage::Serving | Stage::Draining)
    }
}
