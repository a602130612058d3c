//! What a call of the operator carries.

use crate::json::{compact, same};
use crate::schema::{called, join_route, read_hostname, Fields, Limits, Route, Service};
use crate::{Item, ItemKey, ItemKind, ValidationError, Version};
use std::collections::BTreeMap;

/// The longest body of a call.
pub const MAX_PATCH_BYTES: usize = 8 << 20;
/// The most items of a call.
pub const MAX_PATCH_ITEMS: usize = 20_000;

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
pub fn parse_patch(body: &[u8]) -> Result<Patch, ValidationError> {
    if body.len() > MAX_PATCH_BYTES {
        return Err(ValidationError::new(
            "body",
            format!("is longer than {MAX_PATCH_BYTES} bytes"),
        ));
    }
    let text = compact(body)?;
    let mut items = Items::default();
    for (name, raw) in Fields::read("", &text)
        .map_err(|_| ValidationError::new("body", "is not an object"))?
        .all()
    {
        match name {
            "upsert" => upserts(raw, &mut items)?,
            "remove" => removals(raw, &mut items)?,
            // A remark in passing loses nothing; a list or an object might be items.
            _ if raw.starts_with(['{', '[']) => {
                return Err(ValidationError::new(name, "is not known here"))
            }
            _ => {}
        }
    }
    Ok(Patch {
        items: items.by_key.into_values().collect(),
    })
}

#[derive(Default)]
struct Items {
    by_key: BTreeMap<ItemKey, Item>,
}

impl Items {
    fn add(
        &mut self,
        place: &str,
        kind: ItemKind,
        name: String,
        version: Version,
        body: Option<String>,
    ) -> Result<(), ValidationError> {
        let item = Item {
            key: ItemKey { kind, name },
            version,
            body,
        };
        match self.by_key.get(&item.key) {
            Some(other) if same_content(other, &item) => return Ok(()),
            Some(_) => {
                return Err(ValidationError::new(
                    place,
                    format!("{} stands twice in the call", called(&item.key)),
                ))
            }
            None if self.by_key.len() == MAX_PATCH_ITEMS => {
                return Err(ValidationError::new(
                    place,
                    format!("the call has more than {MAX_PATCH_ITEMS} items"),
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
    a.version == b.version
        && match (&a.body, &b.body) {
            (None, None) => true,
            (Some(a), Some(b)) => same(a, b),
            _ => false,
        }
}

fn upserts(raw: &str, items: &mut Items) -> Result<(), ValidationError> {
    let upsert = Fields::read("upsert", raw)?;
    for (name, raw) in upsert.all() {
        match name {
            "svcs" => {
                for (at, raw) in upsert.list("svcs")?.into_iter().enumerate() {
                    let place = format!("upsert.svcs[{at}]");
                    let service = Service::read(&place, raw)?;
                    items.add(
                        &place,
                        ItemKind::Service,
                        service.name,
                        service.version,
                        Some(raw.to_owned()),
                    )?;
                }
            }
            "limits" => {
                let place = "upsert.limits";
                let limits = Limits::read(place, raw)?;
                items.add(
                    place,
                    ItemKind::Limits,
                    String::new(),
                    limits.version,
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

fn host(place: &str, raw: &str, items: &mut Items) -> Result<(), ValidationError> {
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
            ItemKind::Route,
            route.name,
            route.version,
            Some(join_route(hostname, raw)),
        )?;
    }
    Ok(())
}

fn removals(raw: &str, items: &mut Items) -> Result<(), ValidationError> {
    let remove = Fields::read("remove", raw)?;
    for (list, _) in remove.all() {
        let kind = match list {
            "rtab" => ItemKind::Route,
            "svcs" => ItemKind::Service,
            _ => return Err(remove.wrong(list, "is not known here")),
        };
        for (at, raw) in remove.list(list)?.into_iter().enumerate() {
            let place = format!("remove.{list}[{at}]");
            let fields = Fields::read(&place, raw)?;
            items.add(&place, kind, fields.name()?, fields.version()?, None)?;
        }
    }
    Ok(())
}
