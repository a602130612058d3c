//! The configuration of the gateway: routes, services, limits and what the stores keep beside them, as items with a
//! version each.
//!
//! No I/O, no clock, no randomness. Replicas merge item by item: of two versions of an item the higher one wins, be it
//! set or removed. How a call is read, whether it takes effect, and how the configuration is written out is decided
//! here and nowhere else.
//!
//! | step | entry point |
//! | --- | --- |
//! | read a call | [`parse_patch`] |
//! | decide what becomes of it | [`validate`](validate()), [`validate_for_commit`] in the stores |
//! | merge what was committed | [`Configuration::merge`] |
//! | follow the configuration | [`effective_routes`](effective_routes()), [`Service::from_item`], [`Limits::from_item`] |
//! | read it back | [`export_json`] |
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
