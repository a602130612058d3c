//! The configuration of the gateway: versioned items such as routes, services and limits, and the items that the stores
//! themselves need.
//!
//! Operators change the configuration with patches: JSON bodies of API requests, which set and remove items. An
//! operator chooses the version of each item. Replicas merge item by item: of two versions of an item the higher one
//! wins, whether it sets or removes the item. A removed item leaves a tombstone, an item without a body. Patches may be
//! sent again, so the stores also keep the [`History`] of each item, to recognize versions that were acknowledged
//! before, and a [`Checkpoint`] that bounds the number of tombstones.
//!
//! All parsing, validation and export of the configuration is in this crate. It has no I/O, no clock and no randomness.
//!
//! | step | entry point |
//! | --- | --- |
//! | parse a patch | [`parse_patch`] |
//! | decide whether it takes effect | [`validate`](validate()), [`validate_for_commit`] in the stores |
//! | merge the committed items | [`Configuration::merge`] |
//! | use the configuration | [`effective_routes`](effective_routes()), [`Service::from_item`], [`Limits::from_item`] |
//! | export it | [`export_json`] |
#![forbid(unsafe_code)]

mod change_consistency;
pub mod checkpoint;
pub mod commit;
pub mod configuration;
mod consistency;
pub mod digest;
pub mod effective_routes;
pub mod error;
pub mod export;
pub mod history;
pub mod item;
mod json;
pub mod patch;
pub mod schema;
pub mod validate;
pub mod version;

pub use checkpoint::{Checkpoint, MAX_TOMBSTONES};
pub use commit::{validate_for_commit, Retention, MAX_CONFIGURATION_BYTES, MAX_HISTORY_BYTES};
pub use configuration::{Configuration, MergeOutcome};
pub use digest::Digest;
pub use effective_routes::effective_routes;
pub use error::{Problem, SyntaxError, ValidationError};
pub use export::export_json;
pub use history::{History, PastVersion, MAX_RETAINED_VERSIONS};
pub use item::{Item, ItemKey, ItemKind};
pub use json::MAX_JSON_DEPTH;
pub use patch::{parse_patch, Patch, MAX_PATCH_BYTES, MAX_PATCH_ITEMS};
pub use schema::{Limits, Route, RouteKind, Service, Target, MAX_NAME_BYTES};
pub use validate::{validate, PatchOutcome};
pub use version::Version;
