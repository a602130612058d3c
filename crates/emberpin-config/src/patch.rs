//! What a call of the operator carries.

use crate::forms::{called, join_route, read_hostname, Fields, Limits, Route, Service};
use crate::text::{compact, same};
use crate::{Item, Key, Kind, Wrong};
use std::collections::BTreeMap;

/// The longest body of a call.
pub const MOST_BODY: usize = 8 << 20;
/// The most items of a call.
pub const MOST_ITEMS: usize = 20_000;

/// The items of one call, each name once, in the order of their names.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Patch {
    /// They are all taken, or none.
    pub items: Vec<Item>,
}

/// Reads a call's body. What comes out is valid item by item; whether it is so as a whole,
/// [`validate`](crate::validate()) says.
///
/// What cannot be read in its entirety is refused: also a field outside of items that is not known here,
/// since it could not be handed back. Fields inside items are kept as they came.
pub fn read_patch(body: &[u8]) -> Result<Patch, Wrong> {
    if body.len() > MOST_BODY {
        return Err(Wrong::new(
            "body",
            format!("is longer than {MOST_BODY} bytes"),
        ));
    }
    let text = compact(body)?;
    let mut items = Items::default();
    for (name, raw) in Fields::read("", &text)
        .map_err(|_| Wrong::new("body", "is not an object"))?
        .all()
    {
        match name {
            "upsert" => upserts(raw, &mut items)?,
            "remove" => removals(raw, &mut items)?,
            // A remark in passing loses nothing; a list or an object might be items.
            _ if raw.starts_with(['{', '[']) => return Err(Wrong::new(name, "is not known here")),
            _ => {}
        }
    }
    Ok(Patch {
        items: items.by_key.into_values().collect(),
    })
}

#[derive(Default)]
struct Items {
    by_key: BTreeMap<Key, Item>,
}

impl Items {
    fn add(
        &mut self,
        place: &str,
        kind: Kind,
        name: String,
        ver: u64,
        body: Option<String>,
    ) -> Result<(), Wrong> {
        let item = Item {
            key: Key { kind, name },
            ver,
            body,
        };
        match self.by_key.get(&item.key) {
            Some(other) if same_content(other, &item) => return Ok(()),
            Some(_) => {
                return Err(Wrong::new(
                    place,
                    format!("{} stands twice in the call", called(&item.key)),
                ))
            }
            None if self.by_key.len() == MOST_ITEMS => {
                return Err(Wrong::new(
                    place,
                    format!("the call has more than {MOST_ITEMS} items"),
                ));
            }
            None => {}
        }
        self.by_key.insert(item.key.clone(), item);
        Ok(())
    }
}

/// Whether two items of one name are one change.
pub(crate) fn same_content(a: &Item, b: &Item) -> bool {
    a.ver == b.ver
        && match (&a.body, &b.body) {
            (None, None) => true,
            (Some(a), Some(b)) => same(a, b),
            _ => false,
        }
}

fn upserts(raw: &str, items: &mut Items) -> Result<(), Wrong> {
    let upsert = Fields::read("upsert", raw)?;
    for (name, raw) in upsert.all() {
        match name {
            "svcs" => {
                for (at, raw) in upsert.list("svcs")?.into_iter().enumerate() {
                    let place = format!("upsert.svcs[{at}]");
                    let service = Service::read(&place, raw)?;
                    items.add(
                        &place,
                        Kind::Service,
                        service.name,
                        service.ver,
                        Some(raw.to_owned()),
                    )?;
                }
            }
            "limits" => {
                let place = "upsert.limits";
                let limits = Limits::read(place, raw)?;
                items.add(
                    place,
                    Kind::Limits,
                    String::new(),
                    limits.ver,
                    Some(raw.to_owned()),
                )?;
            }
            "vhosts" => {
                for (at, raw) in upsert.list("vhosts")?.into_iter().enumerate() {
                    host(&format!("upsert.vhosts[{at}]"), raw, items)?;
                }
            }
            _ => return Err(upsert.wrong(name, "is not known here")),
        }
    }
    Ok(())
}

fn host(place: &str, raw: &str, items: &mut Items) -> Result<(), Wrong> {
    let fields = Fields::read(place, raw)?;
    if let Some((name, _)) = fields
        .all()
        .find(|(name, _)| !matches!(*name, "hostname" | "locs"))
    {
        return Err(fields.wrong(name, "is not known here"));
    }
    let hostname = fields.raw("hostname")?;
    read_hostname(place, hostname)?;
    for (at, raw) in fields.list("locs")?.into_iter().enumerate() {
        let at = format!("{place}.locs[{at}]");
        let route = Route::read(place, hostname, &at, raw)?;
        items.add(
            &at,
            Kind::Route,
            route.name,
            route.ver,
            Some(join_route(hostname, raw)),
        )?;
    }
    Ok(())
}

fn removals(raw: &str, items: &mut Items) -> Result<(), Wrong> {
    let remove = Fields::read("remove", raw)?;
    for (list, _) in remove.all() {
        let kind = match list {
            "rtab" => Kind::Route,
            "svcs" => Kind::Service,
            _ => return Err(remove.wrong(list, "is not known here")),
        };
        for (at, raw) in remove.list(list)?.into_iter().enumerate() {
            let place = format!("remove.{list}[{at}]");
            let fields = Fields::read(&place, raw)?;
            items.add(&place, kind, fields.name()?, fields.ver()?, None)?;
        }
    }
    Ok(())
}
