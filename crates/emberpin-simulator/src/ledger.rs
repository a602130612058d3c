//! What was acknowledged, and what must always hold:
//!
//! - nothing that was acknowledged is lost, and one content stands for a name and a version;
//! - nothing goes back within an incarnation, and nothing invalid is in force, also in part;
//! - a call that was refused has no part in force;
//! - no cold server's sum is passed;
//! - on limiters in touch, what was acknowledged is in force in time;
//! - operators' histories are linearizable (see `history`);
//! - after all trouble, a call is acknowledged, and all limiters have it and are ready.

use crate::callers::Called;
use crate::history::{self, Call, Numbered, Outcome};
use crate::limiters::Proxy;
use crate::text::{Operation, Order};
use crate::world::{Applied, World};
use emberpin_config::{parse_patch, Configuration, Item, ItemKey, ItemKind, Version};
use emberpin_routing::Availability;
use std::collections::BTreeMap;

/// What an answer acknowledged.
pub(crate) enum Acknowledged<'a> {
    Items(&'a [Item]),
}

/// What is known from outside.
#[derive(Debug, Default)]
pub(crate) struct Ledger {
    /// The one content of each version that was chosen.
    contents: BTreeMap<(ItemKey, Version), Option<String>>,
    /// And of each that was acknowledged.
    acknowledged: BTreeMap<(ItemKey, Version), Option<String>>,
    /// The highest version of each name that was acknowledged.
    highest: BTreeMap<ItemKey, Version>,
    /// Messages are slow, so that nothing with a bound on time is asserted.
    pub slow: bool,
    /// Servers' calls that are not answered: name, incarnation, attempt, and whether it drains.
    pub beats: BTreeMap<u64, (String, u32, u64, bool)>,
    /// Requests that went to cold servers.
    pub cold_sent: usize,
    /// Acknowledgements that were looked up on limiters in touch.
    pub applied: usize,
    /// Operations in histories that were checked for linearizability.
    pub linearized: usize,
    /// Operations in histories that were too long to be checked.
    pub unchecked: usize,
}

/// A configuration as it is read back.
pub(crate) fn read_back(body: &str) -> Result<Configuration, String> {
    let whole = format!("{{\"upsert\":{body}}}");
    let items = parse_patch(whole.as_bytes())
        .map_err(|wrong| format!("what is read back is unreadable: {wrong}"))?;
    Ok(items.items.into_iter().collect())
}

impl Ledger {
    /// An item was chosen; what is wrong with that.
    pub fn chosen(&mut self, item: &Item) -> Option<String> {
        let place = (item.key.clone(), item.version);
        let known = self
            .contents
            .entry(place)
            .or_insert_with(|| item.body.clone());
        let two = || {
            format!(
                "two contents: {:?} {} is {known:?} and {:?}",
                item.key, item.version, item.body
            )
        };
        (*known != item.body).then(two)
    }

    pub fn acknowledged(&mut self, what: Acknowledged) -> Option<String> {
        let Acknowledged::Items(items) = what;
        for item in items {
            let place = (item.key.clone(), item.version);
            // What a higher version had passed before has no effect, and its content is nobody's any more.
            let newest = |((key, ver), _): (&(ItemKey, Version), &Option<String>)| {
                *key == item.key && *ver > item.version
            };
            let passed = self.contents.iter().any(newest);
            let chosen = self.contents.get(&place);
            if !passed && chosen != Some(&item.body) {
                let (key, ver, body) = (&item.key, item.version, &item.body);
                return Some(format!(
                    "two contents: {key:?} {ver} was acknowledged as {body:?}, and is {chosen:?}"
                ));
            }
            if passed && chosen.is_some_and(|chosen| *chosen != item.body) {
                continue;
            }
            self.acknowledged.insert(place, item.body.clone());
            let highest = self.highest.entry(item.key.clone()).or_default();
            *highest = item.version.max(*highest);
        }
        None
    }

    /// Whether a configuration shows what is expected.
    pub fn shows(&self, body: &str, hope: &Operation) -> Result<(), String> {
        let configuration = read_back(body)?;
        let find = |kind: &str, name: &str| {
            let kind = if kind == "route" {
                ItemKind::Route
            } else {
                ItemKind::Service
            };
            configuration
                .get(&ItemKey {
                    kind,
                    name: name.into(),
                })
                .map(|item| item.version)
        };
        match hope {
            Operation::GetHolds { kind, name, ver } if find(kind, name) != Some(Version(*ver)) => {
                Err(format!(
                    "expected that get holds {kind} {name} ver {ver}, found {:?}",
                    find(kind, name)
                ))
            }
            Operation::GetLacks { kind, name } if find(kind, name).is_some() => Err(format!(
                "expected that get lacks {kind} {name}, found {:?}",
                find(kind, name)
            )),
            _ => Ok(()),
        }
    }

    /// Whether what is read back at the end has all that was acknowledged.
    pub fn keeps(&self, body: &str) -> Result<(), String> {
        let configuration = read_back(body)?;
        configuration
            .check()
            .map_err(|wrong| format!("invalid as a whole: {wrong}"))?;
        for (key, highest) in &self.highest {
            let known = configuration.get(key);
            let acknowledged = &self.acknowledged[&(key.clone(), *highest)];
            let wrong = match (known, acknowledged) {
                (Some(item), _) if item.version > *highest => continue,
                (Some(item), body) => item.version < *highest || item.body != *body,
                // A newer drop may have been chosen without an acknowledgement.
                (None, Some(_)) => {
                    let newer = |((of, ver), body): (&(ItemKey, Version), &Option<String>)| {
                        of == key && ver > highest && body.is_none()
                    };
                    !self.contents.iter().any(newer)
                }
                (None, None) => false,
            };
            if wrong {
                return Err(format!(
                    "lost: {key:?} {highest} was acknowledged, and {known:?} is read back"
                ));
            }
        }
        Ok(())
    }

    fn was_chosen(&self, item: &Item) -> bool {
        self.contents.get(&(item.key.clone(), item.version)) == Some(&item.body)
    }
}

fn numbered(item: &Item) -> Numbered {
    let name = format!("{:?} {}", item.key.kind, item.key.name);
    Numbered {
        name,
        version: item.version.0,
        content: item.body.clone(),
    }
}

/// A call as histories have it; nothing of calls that no history tells of, as those that nobody could read.
fn recorded(called: &Called) -> Option<Call> {
    let outcome = match (&called.order, called.status) {
        (None, Some(_)) => {
            Outcome::Shown(read_back(&called.body).ok()?.live().map(numbered).collect())
        }
        (Some(Order::Patch(_)), Some(200)) => Outcome::Confirmed,
        (Some(Order::Patch(_)), Some(_)) => Outcome::Refused {
            attempted: called.attempted,
            only: called.attempts == 1,
        },
        (Some(Order::Patch(_)), None) => Outcome::Unclear,
        (None, None) | (Some(Order::Evacuate { .. }), _) => return None,
    };
    let items: Vec<Numbered> = called.items.iter().map(numbered).collect();
    let reads = called.order.is_none();
    let sent = if reads { called.attempted } else { called.sent };
    (reads || !items.is_empty()).then_some(Call {
        sent,
        ended: called.ended,
        items,
        outcome,
    })
}

impl World {
    /// What was acknowledged a while ago is in force on limiters in touch.
    pub fn applied(&mut self, what: &Applied, sent: u64) {
        if let Applied::Evacuated(zone) = what {
            // Not if somebody took it back meanwhile.
            let back = |order: &Option<Order>| matches!(order, Some(Order::Evacuate { zone: of, begin: false }) if of == zone);
            if self
                .operators
                .calls
                .iter()
                .any(|call| back(&call.order) && call.ended.max(call.sent) + 1_000 > sent)
            {
                return;
            }
        }
        let limiters: Vec<u8> = self
            .limiters
            .keys()
            .copied()
            .filter(|limiter| self.in_touch(*limiter))
            .collect();
        for limiter in limiters {
            self.ledger.applied += 1;
            let Some(proxy) = self
                .limiters
                .get(&limiter)
                .and_then(|machine| machine.up.as_ref())
            else {
                continue;
            };
            if let Err(wrong) = self.has(proxy, what) {
                return self.fail(format!(
                    "not applied in time: limiter-{limiter}, in touch, {wrong}"
                ));
            }
        }
    }

    fn has(&self, proxy: &Proxy, what: &Applied) -> Result<(), String> {
        match what {
            Applied::Items(items) => {
                let lacks = |item: &&Item| {
                    proxy
                        .configuration
                        .get(&item.key)
                        .is_none_or(|known| known.version < item.version)
                };
                match items.iter().find(lacks) {
                    Some(item) => Err(format!("lacks {:?} {}", item.key, item.version)),
                    None => Ok(()),
                }
            }
            Applied::Drained(server) => match self.servers.get(server) {
                Some(server)
                    if server.drains && proxy.work(&server.id) == Availability::Available =>
                {
                    Err(format!("sends to {} after its drain", server.id))
                }
                _ => Ok(()),
            },
            Applied::Evacuated(zone) => {
                let wrong = self.servers.values().find(|server| {
                    server.zone == *zone
                        && server.up
                        && proxy.work(&server.id) == Availability::Available
                });
                match wrong {
                    Some(server) => Err(format!("sends to {} in an evacuated zone", server.id)),
                    None => Ok(()),
                }
            }
        }
    }

    /// After all trouble: what must hold of all that was asked.
    pub fn balance(&mut self, body: &str) {
        let wrong = self
            .ledger
            .keeps(body)
            .and_then(|()| self.refused())
            .and_then(|()| self.evacuations());
        if let Err(wrong) = wrong {
            self.fail(wrong);
        }
    }

    /// What operators were told fits one order of their calls.
    pub fn linearizable(&mut self) {
        let calls: Vec<Call> = self.operators.calls.iter().filter_map(recorded).collect();
        match history::check(&calls) {
            Ok(checked) => {
                (self.ledger.linearized, self.ledger.unchecked) =
                    (checked.operations, checked.unchecked);
            }
            Err(wrong) => self.fail(wrong.to_string()),
        }
    }

    /// What was refused is not in force, unless somebody else asked for the same.
    fn refused(&self) -> Result<(), String> {
        let calls = &self.operators.calls;
        for call in calls
            .iter()
            .filter(|call| call.status == Some(400) && call.clear)
        {
            for item in call
                .items
                .iter()
                .filter(|item| self.ledger.was_chosen(item))
            {
                let others = calls
                    .iter()
                    .filter(|other| other.status != Some(400) || !other.clear);
                if !others.into_iter().any(|other| other.items.contains(item)) {
                    return Err(format!(
                        "refused and in force: {:?} {}",
                        item.key, item.version
                    ));
                }
            }
        }
        Ok(())
    }

    /// The last order about a zone stands, where none was under way beside it.
    fn evacuations(&self) -> Result<(), String> {
        let mut zones: BTreeMap<&String, Vec<(u64, u64, bool)>> = BTreeMap::new();
        for call in &self.operators.calls {
            if let Some(Order::Evacuate { zone, begin }) = &call.order {
                let ended = if call.status == Some(200) {
                    call.ended
                } else {
                    u64::MAX
                };
                zones
                    .entry(zone)
                    .or_default()
                    .push((call.sent, ended, *begin));
            }
        }
        for (zone, orders) in zones {
            let Some((sent, ended, begin)) =
                orders.iter().copied().max_by_key(|(sent, _, _)| *sent)
            else {
                continue;
            };
            let beside = orders
                .iter()
                .any(|(at, end, other)| *other != begin && *at < sent && *end >= sent);
            if ended == u64::MAX || beside {
                continue;
            }
            let key = ItemKey {
                kind: ItemKind::Evacuation,
                name: zone.clone(),
            };
            for (limiter, machine) in &self.limiters {
                let Some(proxy) = &machine.up else { continue };
                let stands = proxy
                    .configuration
                    .get(&key)
                    .is_some_and(|item| item.body.is_some());
                if stands != begin {
                    return Err(format!(
                        "lost: the evacuation of {zone} was last acknowledged as {begin}, and is {stands} on \
                         limiter-{limiter}"
                    ));
                }
            }
        }
        Ok(())
    }
}
