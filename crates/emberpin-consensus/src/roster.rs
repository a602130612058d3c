//! The roster of voters, stored as an item of the configuration. Only replicas write it.
//!
//! Its body is a JSON array of addresses. In version 1, the addresses are followed by the nonces of the founders'
//! candidacies, in the same order.

use crate::bootstrap::BootstrapNonce;
use emberpin_config::{Item, ItemKey, ItemKind, Version};
use std::net::Ipv4Addr;

/// A voter of the first roster.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Founder {
    pub address: Ipv4Addr,
    /// The nonce of its candidacy; `None` for a seed that is not a candidate and has to catch up before it votes.
    pub nonce: Option<BootstrapNonce>,
}

/// The key of the roster.
pub(crate) fn roster_key() -> ItemKey {
    ItemKey {
        kind: ItemKind::Roster,
        name: String::new(),
    }
}

/// Builds the item of a roster.
pub(crate) fn roster_item(version: Version, voters: &[Ipv4Addr]) -> Item {
    let voters: Vec<String> = voters.iter().map(|voter| format!("\"{voter}\"")).collect();
    Item {
        key: roster_key(),
        version,
        body: Some(format!("[{}]", voters.join(","))),
    }
}

/// Builds the item of the first roster. A founder without a nonce is written with nonce 0, which no candidate draws.
pub(crate) fn first_roster_item(founders: &[Founder]) -> Item {
    let addresses = founders
        .iter()
        .map(|founder| format!("\"{}\"", founder.address));
    let nonces = founders
        .iter()
        .map(|founder| founder.nonce.unwrap_or_default().0.to_string());
    let elements: Vec<String> = addresses.chain(nonces).collect();
    Item {
        key: roster_key(),
        version: Version(1),
        body: Some(format!("[{}]", elements.join(","))),
    }
}

/// The nonce that the first roster records for a founder. `None` for later rosters, which record no nonces, and for a
/// founder without a nonce.
pub(crate) fn founder_nonce(roster: &Item, founder: Ipv4Addr) -> Option<BootstrapNonce> {
    let position = voters(roster).iter().position(|voter| *voter == founder)?;
    let body = roster
        .body
        .as_deref()
        .filter(|_| roster.version == Version(1))?;
    let mut nonces = body
        .split(['[', ']', ','])
        .filter_map(|element| element.parse::<u64>().ok());
    nonces
        .nth(position)
        .filter(|nonce| *nonce > 0)
        .map(BootstrapNonce)
}

/// The addresses of a roster's voters.
pub(crate) fn voters(roster: &Item) -> Vec<Ipv4Addr> {
    let body = roster.body.as_deref().unwrap_or_default();
    let elements = body.split(['[', ']', ',', '"', ' ']);
    elements
        .filter_map(|element| element.parse().ok())
        .collect()
}
