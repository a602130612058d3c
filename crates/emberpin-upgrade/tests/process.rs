//! Explores every interleaving of the events of a predecessor and a successor, including a kill of either.
#![allow(missing_docs, reason = "a test has no public interface")]

use emberpin_upgrade::process::{Action, Event, Process, Stage};
use std::collections::{HashSet, VecDeque};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Role {
    Predecessor,
    Successor,
}

/// A predecessor's reply to a request for its state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Reply {
    State,
    Refused,
}

/// One process, and its state in the operating system and on the connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Side {
    process: Process,
    alive: bool,
    /// Whether the process has observed that the other one ended.
    knows_other_ended: bool,
    port_open: bool,
    shares_descriptors: bool,
}

/// Two processes and the messages between them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct World {
    predecessor: Side,
    successor: Side,
    request_in_transit: bool,
    reply_in_transit: Option<Reply>,
    termination_requested: bool,
}

impl World {
    /// A predecessor that serves, and a successor that has not started.
    fn new() -> World {
        let mut predecessor = Process::default();
        predecessor.handle(Event::StartedAlone, &mut Vec::new());
        World {
            predecessor: Side {
                process: predecessor,
                alive: true,
                port_open: true,
                ..Side::default()
            },
            successor: Side {
                alive: true,
                ..Side::default()
            },
            request_in_transit: false,
            reply_in_transit: None,
            termination_requested: false,
        }
    }

    fn side(&mut self, role: Role) -> &mut Side {
        match role {
            Role::Predecessor => &mut self.predecessor,
            Role::Successor => &mut self.successor,
        }
    }

    /// Passes an event to a process, and carries out its actions.
    fn dispatch(&mut self, role: Role, event: Event) {
        let mut actions = Vec::new();
        self.side(role).process.handle(event, &mut actions);
        for action in actions {
            self.carry_out(role, action);
        }
        self.open_free_port();
    }

    fn carry_out(&mut self, role: Role, action: Action) {
        match action {
            Action::RequestState => self.request_in_transit = true,
            Action::SendState => {
                assert!(
                    !self.predecessor.port_open || role == Role::Successor,
                    "the state is sent while the port is still open"
                );
                self.reply_in_transit = Some(Reply::State);
            }
            Action::RefuseState => self.reply_in_transit = Some(Reply::Refused),
            Action::ClosePeerPort => self.side(role).port_open = false,
            Action::ShareDescriptors => self.side(role).shares_descriptors = true,
            Action::ReclaimDescriptors => self.side(role).shares_descriptors = false,
            Action::Exit | Action::AbortStart => {
                assert!(
                    role == Role::Successor || self.termination_requested,
                    "the predecessor exits only when its termination was requested"
                );
                self.side(role).alive = false;
            }
            Action::ServeWithState
            | Action::ServeWithoutState
            | Action::OpenPeerPort
            | Action::BindHandoverSocket
            | Action::Drain => {}
        }
    }

    /// Models the operating system: closes the port of a process that ended, and opens a free port for the process that
    /// owns it.
    fn open_free_port(&mut self) {
        for role in [Role::Successor, Role::Predecessor] {
            let is_open = |side: &Side| side.port_open && side.alive;
            let is_taken = is_open(&self.predecessor) || is_open(&self.successor);
            let side = self.side(role);
            if side.alive && side.process.owns_peer_port() && !is_taken {
                side.port_open = true;
            }
        }
        self.predecessor.port_open &= self.predecessor.alive;
        self.successor.port_open &= self.successor.alive;
    }

    /// Makes a process that is left alone observe that the other one ended.
    fn observe_ends(&mut self) {
        if !self.successor.alive && self.predecessor.alive && !self.predecessor.knows_other_ended {
            self.dispatch(Role::Predecessor, Event::SuccessorDisconnected);
        }
        if !self.predecessor.alive && self.successor.alive && !self.successor.knows_other_ended {
            self.dispatch(Role::Successor, Event::PredecessorDisconnected);
        }
    }

    /// All states that one event leads to from this state.
    fn next_states(&self) -> Vec<World> {
        let mut next_states = Vec::new();
        if self.successor.alive {
            next_states.extend(SUCCESSOR_STEPS.map(|step| self.after(step)));
        }
        if self.predecessor.alive {
            next_states.extend(PREDECESSOR_STEPS.map(|step| self.after(step)));
        }
        next_states
    }

    fn after(&self, step: fn(&mut World)) -> World {
        let mut next = *self;
        step(&mut next);
        next
    }

    fn start_successor(&mut self) {
        if self.successor.process.stage() == Stage::Starting {
            let started = if self.predecessor.alive {
                Event::StartedWithPredecessor
            } else {
                Event::StartedAlone
            };
            self.dispatch(Role::Successor, started);
        }
    }

    fn deliver_reply(&mut self) {
        match self.reply_in_transit.take() {
            Some(Reply::State) => self.dispatch(Role::Successor, Event::StateReceived),
            Some(Reply::Refused) => self.dispatch(Role::Successor, Event::StateRefused),
            None => {}
        }
    }

    /// The reply does not arrive in time, or arrives incomplete.
    fn lose_reply(&mut self) {
        if self.successor.process.stage() == Stage::RequestingState {
            self.reply_in_transit = None;
            self.request_in_transit = false;
            self.dispatch(Role::Successor, Event::StateUnusable);
        }
    }

    fn observe_predecessor_ended(&mut self) {
        if !self.predecessor.alive && !self.successor.knows_other_ended {
            self.successor.knows_other_ended = true;
            self.dispatch(Role::Successor, Event::PredecessorDisconnected);
        }
    }

    fn kill_successor(&mut self) {
        self.successor.alive = false;
    }

    fn deliver_request(&mut self) {
        if std::mem::take(&mut self.request_in_transit) {
            self.dispatch(Role::Predecessor, Event::StateRequested);
        }
    }

    fn observe_successor_ended(&mut self) {
        if !self.successor.alive && !self.predecessor.knows_other_ended {
            self.predecessor.knows_other_ended = true;
            self.request_in_transit = false;
            self.dispatch(Role::Predecessor, Event::SuccessorDisconnected);
        }
    }

    fn terminate_predecessor(&mut self) {
        self.termination_requested = true;
        self.dispatch(Role::Predecessor, Event::TerminationRequested);
    }

    fn drain_predecessor(&mut self) {
        self.dispatch(Role::Predecessor, Event::Drained);
    }

    fn kill_predecessor(&mut self) {
        self.predecessor.alive = false;
    }
}

const SUCCESSOR_STEPS: [fn(&mut World); 5] = [
    World::start_successor,
    World::deliver_reply,
    World::lose_reply,
    World::observe_predecessor_ended,
    World::kill_successor,
];
const PREDECESSOR_STEPS: [fn(&mut World); 5] = [
    World::deliver_request,
    World::observe_successor_ended,
    World::terminate_predecessor,
    World::drain_predecessor,
    World::kill_predecessor,
];

/// A process that is left alone and serves owns the port and all descriptors.
fn assert_serves_alone(side: &Side, other: &Side) {
    if side.alive && !other.alive && side.process.stage() == Stage::Serving {
        assert!(side.port_open && !side.shares_descriptors, "{side:?}");
    }
}

#[test]
fn in_every_interleaving_at_most_one_process_owns_the_port_and_a_lone_one_owns_port_and_descriptors(
) {
    let start = World::new();
    let mut seen = HashSet::from([start]);
    let mut queue = VecDeque::from([start]);
    while let Some(world) = queue.pop_front() {
        assert!(
            !(world.predecessor.port_open && world.successor.port_open),
            "both own the port: {world:?}"
        );
        let mut settled = world;
        settled.observe_ends();
        assert_serves_alone(&settled.predecessor, &settled.successor);
        assert_serves_alone(&settled.successor, &settled.predecessor);
        for next in world.next_states() {
            if seen.insert(next) {
                queue.push_back(next);
            }
        }
    }
    assert!(seen.len() > 100, "only {} states", seen.len());
}

fn handle(process: &mut Process, event: Event) -> Vec<Action> {
    let mut actions = Vec::new();
    process.handle(event, &mut actions);
    actions
}

#[test]
fn both_processes_reject_a_second_upgrade_until_the_first_is_complete() {
    let mut predecessor = Process::default();
    handle(&mut predecessor, Event::StartedAlone);
    handle(&mut predecessor, Event::StateRequested);
    let mut successor = Process::default();
    handle(&mut successor, Event::StartedWithPredecessor);
    for process in [&mut predecessor, &mut successor] {
        assert_eq!(
            handle(process, Event::StateRequested),
            [Action::RefuseState]
        );
    }
    handle(&mut successor, Event::StateReceived);
    assert_eq!(
        handle(&mut successor, Event::StateRequested),
        [Action::RefuseState]
    );
    handle(&mut successor, Event::PredecessorDisconnected);
    let actions = handle(&mut successor, Event::StateRequested);
    assert!(actions.contains(&Action::SendState), "{actions:?}");
}
