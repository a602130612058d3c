//! Patches: the items that an operator's request sets and removes.

use crate::json::{compact, is_same_value};
use crate::schema::{join_route_body, parse_hostname, Fields, Limits, Route, Service};
use crate::{Item, ItemKey, ItemKind, Problem, ValidationError, Version};
use std::collections::BTreeMap;

/// The maximum length of a patch, in bytes; a longer one is rejected.
pub const MAX_PATCH_BYTES: usize = 8 << 20;
/// The maximum number of items that a patch sets and removes; a patch with more is rejected. Bounds the size of a
/// proposal in the stores.
pub const MAX_PATCH_ITEMS: usize = 20_000;

/// The items that one request sets and removes, each key once, in the order of their keys.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Patch {
    /// The items, with a tombstone for each removed one. Either all of them take effect or none.
    pub items: Vec<Item>,
}

/// Parses the body of a request. Each item of the result is valid by itself; [`validate`](crate::validate()) decides
/// whether the configuration is valid with all of them.
///
/// # Errors
///
/// [`ValidationError`] if the body is too long, is not JSON, has an invalid item, or has a part that a later export
/// could not return: two contents for one key, or a field outside of items that this build does not know and that might
/// contain items. Unknown fields inside items are kept.
pub fn parse_patch(body: &[u8]) -> Result<Patch, ValidationError> {
    if body.len() > MAX_PATCH_BYTES {
        return Err(ValidationError::new("body", Problem::BodyTooLong));
    }
    let text = compact(body)?;
    let patch =
        Fields::parse("", &text).map_err(|_| ValidationError::new("body", Problem::NotAnObject))?;
    let mut items = PatchItems::default();
    for (name, raw) in patch.iter() {
        match name {
            "upsert" => add_upserts(raw, &mut items)?,
            "remove" => add_removals(raw, &mut items)?,
            // An array or an object might contain items; ignoring any other value loses nothing.
            _ if raw.starts_with(['{', '[']) => {
                return Err(patch.error(name, Problem::UnknownField))
            }
            _ => {}
        }
    }
    Ok(Patch {
        items: items.by_key.into_values().collect(),
    })
}

/// The items of a patch that have been parsed so far.
#[derive(Default)]
struct PatchItems {
    by_key: BTreeMap<ItemKey, Item>,
}

impl PatchItems {
    /// Adds the item at this path of the patch. Adding the same content and version again has no effect.
    fn add(&mut self, path: &str, item: Item) -> Result<(), ValidationError> {
        let problem = match self.by_key.get(&item.key) {
            Some(other) if is_same_change(other, &item) => return Ok(()),
            Some(_) => Problem::DuplicateItem {
                item: item.key.to_string(),
            },
            None if self.by_key.len() == MAX_PATCH_ITEMS => Problem::TooManyItems,
            None => {
                self.by_key.insert(item.key.clone(), item);
                return Ok(());
            }
        };
        Err(ValidationError::new(path, problem))
    }
}

/// Whether two items of one key have the same version and the same content.
pub(crate) fn is_same_change(a: &Item, b: &Item) -> bool {
    a.version == b.version
        && match (&a.body, &b.body) {
            (None, None) => true,
            (Some(a), Some(b)) => is_same_value(a, b),
            _ => false,
        }
}

fn live_item(kind: ItemKind, name: String, version: Version, body: String) -> Item {
    Item {
        key: ItemKey { kind, name },
        version,
        body: Some(body),
    }
}

fn add_upserts(raw: &str, items: &mut PatchItems) -> Result<(), ValidationError> {
    let upsert = Fields::parse("upsert", raw)?;
    for (name, raw) in upsert.iter() {
        match name {
            "svcs" => add_services(&upsert, items)?,
            "limits" => {
                let path = "upsert.limits";
                let limits = Limits::parse(path, raw)?;
                let item = live_item(
                    ItemKind::Limits,
                    String::new(),
                    limits.version,
                    raw.to_owned(),
                );
                items.add(path, item)?;
            }
            "vhosts" => {
                for (index, raw) in upsert.list("vhosts")?.into_iter().enumerate() {
                    add_host(&format!("upsert.vhosts[{index}]"), raw, items)?;
                }
            }
            _ => return Err(upsert.error(name, Problem::UnknownField)),
        }
    }
    Ok(())
}

fn add_services(upsert: &Fields, items: &mut PatchItems) -> Result<(), ValidationError> {
    for (index, raw) in upsert.list("svcs")?.into_iter().enumerate() {
        let path = format!("upsert.svcs[{index}]");
        let service = Service::parse(&path, raw)?;
        let item = live_item(
            ItemKind::Service,
            service.name,
            service.version,
            raw.to_owned(),
        );
        items.add(&path, item)?;
    }
    Ok(())
}

/// Adds the routes of one host.
fn add_host(path: &str, raw: &str, items: &mut PatchItems) -> Result<(), ValidationError> {
    let host = Fields::parse(path, raw)?;
    let unknown = host
        .iter()
        .find(|(name, _)| !matches!(*name, "hostname" | "locs"));
    if let Some((name, _)) = unknown {
        return Err(host.error(name, Problem::UnknownField));
    }
    let raw_hostname = host.required("hostname")?;
    // Checked here as well, since a host without routes is never passed to `Route::parse`.
    parse_hostname(path, raw_hostname)?;
    for (index, raw) in host.list("locs")?.into_iter().enumerate() {
        let route_path = format!("{path}.locs[{index}]");
        let route = Route::parse(path, raw_hostname, &route_path, raw)?;
        let body = join_route_body(raw_hostname, raw);
        let item = live_item(ItemKind::Route, route.name, route.version, body);
        items.add(&route_path, item)?;
    }
    Ok(())
}

fn add_removals(raw: &str, items: &mut PatchItems) -> Result<(), ValidationError> {
    let remove = Fields::parse("remove", raw)?;
    for (list, _) in remove.iter() {
        let kind = match list {
            "rtab" => ItemKind::Route,
            "svcs" => ItemKind::Service,
            _ => return Err(remove.error(list, Problem::UnknownField)),
        };
        for (index, raw) in remove.list(list)?.into_iter().enumerate() {
            let path = format!("remove.{list}[{index}]");
            let fields = Fields::parse(&path, raw)?;
            let tombstone = Item {
                key: ItemKey {
                    kind,
                    name: fields.name()?,
                },
                version: fields.version()?,
                body: None,
            };
            items.add(&path, tombstone)?;
        }
    }
    Ok(())
}
