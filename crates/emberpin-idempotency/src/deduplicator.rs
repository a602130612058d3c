//! One interface to the keys of a limiter, whether it decides on its own or together with other limiters.

use crate::claims::{Action, Claims, Event, Reply};
use crate::record::Millis;
use crate::table::{self, SizeInBytes, Table};

/// Deduplicates the keyed requests of one limiter.
#[derive(Clone)]
pub enum Deduplicator<A> {
    /// This limiter decides on its own.
    Single(Box<Table<A>>),
    /// A majority of the limiters that hold a customer's keys decides.
    Replicated(Box<Claims<A>>),
}

impl<A: Clone + SizeInBytes> Deduplicator<A> {
    /// The key table of this limiter.
    pub fn table(&self) -> &Table<A> {
        match self {
            Deduplicator::Single(table) => table,
            Deduplicator::Replicated(claims) => claims.table(),
        }
    }

    /// The key table, to be restored before the first event.
    pub fn table_mut(&mut self) -> &mut Table<A> {
        match self {
            Deduplicator::Single(table) => table,
            Deduplicator::Replicated(claims) => claims.table_mut(),
        }
    }

    /// The claims, if a majority decides.
    pub fn claims(&self) -> Option<&Claims<A>> {
        match self {
            Deduplicator::Single(_) => None,
            Deduplicator::Replicated(claims) => Some(claims),
        }
    }

    /// Handles an event, and appends the actions that follow from it. Events about other limiters have no effect in the
    /// single mode.
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
            Event::Unwritten { ticket } => table::Event::Unwritten { ticket },
            Event::Tick => table::Event::Tick,
            Event::Received { .. }
            | Event::Reachable { .. }
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
            table::Action::Reply(ticket, table_reply) => {
                Action::Reply(ticket, Reply::Standard(table_reply))
            }
        }));
    }
}
