//! Samples with values that the sample of each message leaves out: `None`, the other variants of each enum, the highest
//! numbers, empty lists, and an IPv6 address.

use super::{frames_of, instance, item, lines, BALLOT, MACHINE, SESSION_REVISION};
use emberpin_config::{Item, ItemKind, Version};
use emberpin_consensus::message::{
    BootstrapReply, BucketItems, ComparisonId, DigestMatches, Prepare, Promise,
};
use emberpin_consensus::{
    AcceptedProposal, Ballot, BootstrapNonce, Incarnation, LatestIncarnations, Message,
};
use emberpin_membership::ids::{self, AckId, Digest, Nonce};
use emberpin_membership::instance::{Instance, Status};
use emberpin_membership::peers::{Ack, InstanceRecord, RegistryMessage};
use emberpin_membership::session::{FromProxy, Revision, SnapshotCursor, ToProxy};
use emberpin_runtime::preamble::Preamble;
use emberpin_runtime::protocol_version::{ProtocolVersion, VersionRange};
use emberpin_runtime::system_id::SystemId;
use emberpin_store::protocol::{
    DiskState, DiskStatus, FreshnessNonce, RequestId, StoreReply, StoreRequest, ToStore,
};
use std::net::Ipv4Addr;
use std::time::Duration;

const HIGHEST_BALLOT: Ballot = Ballot {
    counter: u64::MAX,
    proposer: u32::MAX,
    start_nonce: u32::MAX,
};
const HIGHEST_REVISION: Revision = Revision {
    incarnation: ids::Incarnation(u64::MAX),
    number: u64::MAX,
};

fn no_roster() -> Item {
    Item {
        version: Version(0),
        ..item(ItemKind::Roster, "", None)
    }
}

fn with_ipv6_address() -> Instance {
    Instance {
        address: "[2001:db8::7]:65535".parse().expect("an address"),
        zone: "zürich".into(),
        slots: u32::MAX,
        seq: u64::MAX,
        warmup_left: Duration::ZERO,
        ..instance(Status::Up)
    }
}

fn many_incarnations() -> LatestIncarnations {
    let mut latest_incarnations = LatestIncarnations::default();
    latest_incarnations.record(MACHINE, Incarnation(BALLOT));
    latest_incarnations.record(Ipv4Addr::BROADCAST, Incarnation(HIGHEST_BALLOT));
    latest_incarnations.record(Ipv4Addr::UNSPECIFIED, Incarnation::default());
    latest_incarnations
}

fn promise(latest_incarnations: LatestIncarnations) -> Message {
    Message::Promise(Promise {
        ballot: HIGHEST_BALLOT,
        incarnation: Incarnation::default(),
        latest_incarnations,
        accepted: AcceptedProposal::default(),
        buckets: Vec::new(),
        chosen: Vec::new(),
    })
}

/// Messages to a store.
pub fn to_store() -> Vec<ToStore> {
    let requests = [
        StoreRequest::Patch {
            id: RequestId(u64::MAX),
            body: vec![0, 0x80, 0xff],
        },
        StoreRequest::Evacuate {
            id: RequestId(0),
            zone: "zürich".into(),
            begin: false,
        },
    ];
    let messages = [
        Message::Prepare(Prepare {
            ballot: HIGHEST_BALLOT,
            roster: no_roster(),
            digests: Vec::new(),
            recovers: false,
        }),
        promise(LatestIncarnations::default()),
        promise(many_incarnations()),
        Message::DigestMatches(DigestMatches {
            comparison_id: ComparisonId(u64::MAX),
            voting: false,
            unchosen: Vec::new(),
        }),
        Message::BucketItems(BucketItems {
            comparison_id: ComparisonId(0),
            items: Vec::new(),
            voting: true,
        }),
        Message::BootstrapReply(BootstrapReply {
            query_nonce: BootstrapNonce(u64::MAX),
            candidate_nonce: None,
        }),
    ];
    let from = Ipv4Addr::BROADCAST;
    let messages = messages
        .into_iter()
        .map(|message| ToStore::Consensus { from, message });
    requests
        .into_iter()
        .map(ToStore::Request)
        .chain(messages)
        .collect()
}

/// Messages from a store.
pub fn from_store() -> Vec<StoreReply> {
    let status = |state| {
        let disk = DiskStatus {
            state,
            used_bytes: u64::MAX,
            limit_bytes: 0,
        };
        StoreReply::Status {
            up_to_date: false,
            voters: Vec::new(),
            disk,
            rejected_peers: 0,
        }
    };
    vec![
        StoreReply::Response {
            id: RequestId(u64::MAX),
            status: 200,
            body: String::new(),
        },
        StoreReply::Items { items: Vec::new() },
        status(DiskState::Writable),
        status(DiskState::NearlyFull),
        status(DiskState::Stalled),
        StoreReply::FreshnessConfirmed {
            nonce: FreshnessNonce(u64::MAX),
            age_ms: Some(u64::MAX),
        },
    ]
}

/// Messages from a proxy to a registry.
pub fn from_proxy() -> Vec<FromProxy> {
    let hello = FromProxy::Hello {
        incarnation: ids::Incarnation(u64::MAX),
        name: String::new(),
        zone: "zürich".into(),
        resume_from: None,
        instances: vec![with_ipv6_address()],
    };
    let after = SnapshotCursor::Instance("i-1".into());
    vec![
        hello,
        FromProxy::KeepAlive {
            applied: None,
            nonce: Nonce(u64::MAX),
        },
        FromProxy::FetchSnapshotPart { after },
    ]
}

/// Messages from one registry to another.
pub fn between_registries() -> Vec<RegistryMessage> {
    let (instances, proxies) = (Vec::new(), Vec::new());
    let unowned = InstanceRecord {
        instance: with_ipv6_address(),
        expired: false,
        owner: None,
    };
    vec![
        RegistryMessage::Hello {
            zone: String::new(),
            confirmed: false,
            instances,
            proxies,
        },
        RegistryMessage::Changed {
            ack_id: None,
            instances: vec![unowned],
        },
        RegistryMessage::Heartbeat {
            confirmed: true,
            nonce: Nonce(u64::MAX),
            digest: Digest(u64::MAX),
        },
    ]
}

/// Messages from a registry to a proxy.
pub fn to_proxy() -> Vec<ToProxy> {
    let (items, instances) = (Vec::new(), vec![with_ipv6_address()]);
    let next_part = Some(SnapshotCursor::Item(item(ItemKind::Route, "r", None).key));
    vec![
        ToProxy::Snapshot {
            revision: SESSION_REVISION,
            items: items.clone(),
            instances,
            complete: false,
            next_part,
        },
        ToProxy::Changes {
            revision: HIGHEST_REVISION,
            items: items.clone(),
            instances: Vec::new(),
        },
        ToProxy::SnapshotPart {
            items,
            instances: Vec::new(),
            next_part: None,
        },
        ToProxy::Confirmation {
            nonce: Nonce(u64::MAX),
            age: None,
            proxies: u32::MAX,
            registries: Vec::new(),
        },
    ]
}

/// The acknowledgement of a registry to another one.
pub fn acks() -> Vec<Ack> {
    vec![Ack {
        ack_id: AckId(u64::MAX),
    }]
}

/// Preambles of version 2 of the protocol, from a process that does not know its system and from one that does.
pub fn preambles() -> Vec<Preamble> {
    let system = SystemId::new(0x0123_4567_89ab_cdef);
    let versions = VersionRange {
        oldest: ProtocolVersion::V2,
        newest: ProtocolVersion::V2,
    };
    vec![
        Preamble {
            versions,
            system: None,
            incarnation: 1,
        },
        Preamble {
            versions,
            system,
            incarnation: u64::MAX,
        },
    ]
}

/// The frames of all samples as text, one on each line.
pub fn text() -> String {
    let preambles: Vec<Vec<u8>> = preambles()
        .iter()
        .map(|preamble| preamble.encode().to_vec())
        .collect();
    [
        lines("to-store", &frames_of(&to_store())),
        lines("from-store", &frames_of(&from_store())),
        lines("from-limiter", &frames_of(&from_proxy())),
        lines("between-registries", &frames_of(&between_registries())),
        lines("to-limiter", &frames_of(&to_proxy())),
        lines("ack", &frames_of(&acks())),
        lines("preamble", &preambles),
    ]
    .concat()
}
