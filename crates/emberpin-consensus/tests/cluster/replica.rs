//! A single replica, one of three voters, without a cluster around it.

use super::ip;
use emberpin_config::{Item, ItemKey, ItemKind, Version};
use emberpin_consensus::message::{Chosen, Message};
use emberpin_consensus::{
    Action, Ballot, Event, Guards, PersistedState, Replica, ReplicaOptions, Rounds, Timestamp,
    WriteBatch,
};

/// When [`voter`] starts.
const START: Timestamp = Timestamp::from_millis(1);

/// A voter that knows only the roster of the machines 1, 2 and 3.
pub fn voter(machine: u8, guards: Guards) -> Replica {
    let options = ReplicaOptions {
        address: ip(machine),
        seeds: vec![ip(1), ip(2), ip(3)],
        bootstrap: false,
        tolerated_failures: 1,
        rounds: Rounds::Leaderless,
        random_seed: machine.into(),
    };
    let persisted = PersistedState {
        chosen: vec![roster()],
        voting: true,
        ..PersistedState::default()
    };
    Replica::with_guards(START, options, Some(persisted), guards, &mut Vec::new())
}

/// A voter that has learned chosen items.
pub fn voter_with_items(machine: u8, items: &[Item]) -> Replica {
    let mut replica = voter(machine, Guards::default());
    let items = items.to_vec();
    receive(&mut replica, Message::Chosen(Chosen { items }));
    replica
}

/// The roster of the machines 1, 2 and 3.
pub fn roster() -> Item {
    Item {
        key: ItemKey {
            kind: ItemKind::Roster,
            name: String::new(),
        },
        version: Version(1),
        body: Some("[\"10.0.0.1\",\"10.0.0.2\",\"10.0.0.3\"]".into()),
    }
}

/// A ballot of a machine.
pub fn ballot(counter: u64, proposer: u8) -> Ballot {
    Ballot {
        counter,
        proposer: ip(proposer).to_bits(),
        start_nonce: 1,
    }
}

/// Has a replica handle an event.
pub fn handle(replica: &mut Replica, now_millis: u64, event: Event) -> Vec<Action> {
    let mut actions = Vec::new();
    replica.handle(Timestamp::from_millis(now_millis), event, &mut actions);
    actions
}

/// Has a replica receive a message from machine 3, right after its start.
pub fn receive(replica: &mut Replica, message: Message) -> Vec<Action> {
    receive_from(replica, 1, 3, message)
}

/// Has a replica receive a message from a machine.
pub fn receive_from(
    replica: &mut Replica,
    now_millis: u64,
    sender: u8,
    message: Message,
) -> Vec<Action> {
    let from = ip(sender);
    handle(replica, now_millis, Event::Message { from, message })
}

/// The messages among these actions to a machine.
pub fn messages_to(actions: Vec<Action>, machine: u8) -> Vec<Message> {
    let messages = actions.into_iter().filter_map(|action| match action {
        Action::Send { to, message } if to == ip(machine) => Some(message),
        _ => None,
    });
    messages.collect()
}

/// The writes among these actions.
pub fn writes_among(actions: Vec<Action>) -> Vec<WriteBatch> {
    let writes = actions.into_iter().filter_map(|action| match action {
        Action::Persist { write, .. } => Some(write),
        _ => None,
    });
    writes.collect()
}
