//! The typed content of items (routes, services and limits), parsed from their JSON, and the validation of a single
//! item.

mod duration;
mod fields;
mod limits;
mod route;
mod service;

pub use duration::parse_duration;
pub(crate) use fields::Fields;
pub use fields::MAX_NAME_BYTES;
pub use limits::Limits;
pub(crate) use route::{join_route_body, parse_hostname, split_route_body};
pub use route::{Route, RouteKind, Target};
pub use service::Service;

use crate::{Item, ItemKind, Problem, ValidationError, Version};

/// The path of an item for error messages, and its body. Fails if the item is of another kind or a tombstone.
fn body_of_kind(item: &Item, kind: ItemKind) -> Result<(String, &str), ValidationError> {
    let path = item.key.to_string();
    match &item.body {
        _ if item.key.kind != kind => Err(ValidationError::new(path, Problem::WrongKind)),
        None => Err(ValidationError::new(path, Problem::Tombstone)),
        Some(body) => Ok((path, body)),
    }
}

/// Checks that the name and version in the body are those of the item. Items also come from other processes, so the two
/// may differ.
fn check_key(
    item: &Item,
    path: &str,
    stated_name: &str,
    stated_version: Version,
) -> Result<(), ValidationError> {
    if item.key.name == stated_name && item.version == stated_version {
        Ok(())
    } else {
        Err(ValidationError::new(path, Problem::KeyMismatch))
    }
}
