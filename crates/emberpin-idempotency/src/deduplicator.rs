//! The keys of one limiter, alone or together with others, behind one set of events and actions.

use crate::claims::{Action, Claims, Event, Told};
use crate::record::Millis;
use crate::table::{self, Table, Weight};

/// Who decides about keys here.
#[derive(Clone)]
pub enum Keeper<A> {
    /// This limiter by itself.
    Alone(Box<Table<A>>),
    /// A majority of those that hold a customer's keys.
    Together(Box<Claims<A>>),
}

impl<A: Clone + Weight> Keeper<A> {
    /// What this limiter holds.
    pub fn table(&self) -> &Table<A> {
        match self {
            Keeper::Alone(table) => table,
            Keeper::Together(claims) => claims.table(),
        }
    }

    /// The same, to restore it before the first event.
    pub fn table_mut(&mut self) -> &mut Table<A> {
        match self {
            Keeper::Alone(table) => table,
            Keeper::Together(claims) => claims.table_mut(),
        }
    }

    /// The claims, where a majority decides.
    pub fn claims(&self) -> Option<&Claims<A>> {
        match self {
            Keeper::Alone(_) => None,
            Keeper::Together(claims) => Some(claims),
        }
    }

    /// Takes an event, and appends what is to be done about it. What others say is nothing to one that is alone.
    pub fn handle(&mut self, now: Millis, event: Event<A>, actions: &mut Vec<Action<A>>) {
        let table = match self {
            Keeper::Together(claims) => return claims.handle(now, event, actions),
            Keeper::Alone(table) => table,
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
            Event::Refused { ticket, answer } => table::Event::Refused { ticket, answer },
            Event::Failed { ticket, answer } => table::Event::Failed { ticket, answer },
            Event::Left { ticket } => table::Event::Left { ticket },
            Event::Written { ticket } => table::Event::Written { ticket },
            Event::Unwritten { ticket } => table::Event::Unwritten { ticket },
            Event::Tick => table::Event::Tick,
            Event::Heard { .. }
            | Event::Reaches { .. }
            | Event::NewLife { .. }
            | Event::Ended { .. }
            | Event::Finished { .. } => return,
        };
        let mut told = Vec::new();
        table.handle(now, event, &mut told);
        actions.extend(told.into_iter().map(|action| match action {
            table::Action::Pass(ticket) => Action::Pass(ticket),
            table::Action::Hold(ticket) => Action::Hold(ticket),
            table::Action::Drop(ticket) => Action::Drop(ticket),
            table::Action::Record(record, ticket) => Action::Record(record, ticket),
            table::Action::Tell(ticket, telling) => Action::Tell(ticket, Told::Telling(telling)),
        }));
    }
}
