//! The content of items, read from their JSON: routes, services and limits, and what is invalid about one of them
//! alone.

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

/// The content of an item of this kind, and the path by which errors name it.
fn content_of(item: &Item, kind: ItemKind) -> Result<(String, &str), ValidationError> {
    let path = item.key.to_string();
    match &item.body {
        _ if item.key.kind != kind => Err(ValidationError::new(path, Problem::WrongKind)),
        None => Err(ValidationError::new(path, Problem::Tombstone)),
        Some(body) => Ok((path, body)),
    }
}

/// Checks that the content states the name and version of its item. Items also come from other processes.
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
