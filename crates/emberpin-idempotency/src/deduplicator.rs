//! The keys of one limiter, alone or together with others, behind one set of events and actions.

use crate::claims::{Action, Claims, Event, Reply};
use crate::record::Millis;
use crate::table::{self, Table, Weight};

/// Who decides about keys here.
#[derive(Clone)]
pub enum Deduplicator<A> {
    /// This limiter by itself.
    Single(Box<Table<A>>),
    /// A majority of those that hold a customer's keys.
    Replicated(Box<Claims<A>>),
}

impl<A: Clone + Weight> Deduplicator<A> {
    /// What this limiter holds.
    pub fn table(&self) -> &Table<A> {
        match self {
            Deduplicator::Single(table) => table,
            Deduplicator::Replicated(claims) => claims.table(),
        }
    }

    /// The same, to restore it before the first event.
    pub fn table_mut(&mut self) -> &mut Table<A> {
        match self {
            Deduplicator::Single(table) => table,
            Deduplicator::Replicated(claims) => claims.table_mut(),
        }
    }

    /// The claims, where a majority decides.
    pub fn claims(&self) -> Option<&Claims<A>> {
        match self {
            Deduplicator::Single(_) => None,
            Deduplicator::Replicated(claims) => Some(claims),
        }
    }

    /// Takes an event, and appends what is to be done about it. What others say is nothing to one that is alone.
    pub fn handle(&mut self, now: Millis, event: Event<A>, actions: &mut Vec<Action<A>>) {
        let table = match self {
            Deduplicator::Replicated(claims) => return claims.handle(now, event, actions),
            Deduplicator::Single(table) => table,
        };
        let event = match event {
            Event::Arrived {
                ticket,
                customer,
                key,
                fingerprint,
                ..
            } => table::Event::Arrived {
                ticket,
                customer,
                key,
                fingerprint,
            },
            Event::Served { ticket, answer } => table::Event::Served { ticket, answer },
            Event::Rejected { ticket, answer } => table::Event::Rejected { ticket, answer },
            Event::Failed { ticket, answer } => table::Event::Failed { ticket, answer },
            Event::ClientLeft { ticket } => table::Event::ClientLeft { ticket },
            Event::Written { ticket } => table::Event::Written { ticket },
            Event::WriteFailed { ticket } => table::Event::WriteFailed { ticket },
            Event::Tick => table::Event::Tick,
            Event::Received { .. }
            | Event::ReachabilityChanged { .. }
            | Event::NewIncarnation { .. }
            | Event::ClaimEnded { .. }
            | Event::ServedAfterTakeover { .. } => return,
        };
        let mut table_actions = Vec::new();
        table.handle(now, event, &mut table_actions);
        actions.extend(table_actions.into_iter().map(|action| match action {
            table::Action::Forward(ticket) => Action::Forward(ticket),
            table::Action::Hold(ticket) => Action::Hold(ticket),
            table::Action::Drop(ticket) => Action::Drop(ticket),
            table::Action::Record(record, ticket) => Action::Record(record, ticket),
            table::Action::Tell(ticket, telling) => Action::Reply(ticket, Reply::Standard(telling)),
        }));
    }
}
