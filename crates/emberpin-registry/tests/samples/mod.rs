//! One sample of each message between processes, and the text format in which their frames are recorded.
#![allow(dead_code, reason = "each test file uses a part of it")]

pub mod recorded;
pub mod values;

use emberpin_config::{Item, ItemKey, ItemKind, Version};
use emberpin_consensus::message::{
    Accept, AcceptLed, Accepted, AcceptedLed, BootstrapQuery, BootstrapReply, BucketItems,
    CandidacyQuery, CandidacyReply, Chosen, CompareDigest, ComparisonId, DigestDiffers,
    DigestMatches, DiskUnavailable, FetchBuckets, FetchNewer, FirstRoster, ItemVersion, NotVoting,
    Prepare, Promise, Rejected, StaleRoster,
};
use emberpin_consensus::{
    AcceptedProposal, Ballot, BootstrapNonce, CoordinationReply, EvacuationChange, Incarnation,
    LatestIncarnations, Message, PossibleEffect, WhenLed,
};
use emberpin_coordination::{CellEvent, FencingToken, HeldLock, Operation, Outcome, Revision};
use emberpin_membership::ids::{self, AckId, Digest, Nonce};
use emberpin_membership::instance::{Instance, Status};
use emberpin_membership::peers::{Ack, InstanceRecord, ProxyIdentity, RegistryMessage};
use emberpin_membership::session::{self, ConnectionRole, FromProxy, SnapshotCursor, ToProxy};
use emberpin_runtime::frames;
use emberpin_store::protocol::{
    DiskState, DiskStatus, FreshnessNonce, RequestId, StoreReply, StoreRequest, ToStore,
};
use serde::Serialize;
use std::net::Ipv4Addr;
use std::time::Duration;

const MACHINE: Ipv4Addr = Ipv4Addr::new(10, 1, 0, 7);
const BALLOT: Ballot = Ballot {
    counter: 300,
    proposer: 7,
    start_nonce: 9,
};
const SESSION_REVISION: session::Revision = session::Revision {
    incarnation: ids::Incarnation(5),
    number: 6,
};

fn frame<T: Serialize>(message: &T) -> Vec<u8> {
    frames::encode(message).expect("a frame")
}

fn item(kind: ItemKind, name: &str, body: Option<&str>) -> Item {
    Item {
        key: ItemKey {
            kind,
            name: name.into(),
        },
        version: Version(7),
        body: body.map(str::to_owned),
    }
}

fn roster() -> Item {
    item(ItemKind::Roster, "", Some("[\"10.1.0.7\"]"))
}

fn items() -> Vec<Item> {
    let kinds = [
        ItemKind::Evacuation,
        ItemKind::Limits,
        ItemKind::Service,
        ItemKind::Route,
        ItemKind::History,
        ItemKind::Checkpoint,
    ];
    kinds
        .into_iter()
        .map(|kind| item(kind, "a", Some("{}")))
        .chain([item(ItemKind::Service, "b", None)])
        .collect()
}

fn instance(status: Status) -> Instance {
    Instance {
        id: "i-1".into(),
        service: "s".into(),
        address: "10.1.0.9:80".parse().expect("an address"),
        zone: "z".into(),
        slots: 4,
        status,
        seq: 8,
        warmup_left: Duration::from_millis(9),
    }
}

fn records() -> Vec<InstanceRecord> {
    vec![InstanceRecord {
        instance: instance(Status::Up),
        expired: true,
        owner: Some(MACHINE),
    }]
}

fn proxies() -> Vec<ProxyIdentity> {
    vec![ProxyIdentity {
        incarnation: ids::Incarnation(3),
        name: "edge".into(),
        zone: "z".into(),
    }]
}

fn consensus_messages() -> Vec<Message> {
    let (ballot, buckets) = (BALLOT, vec![1, 2]);
    let accepted = AcceptedProposal {
        ballot,
        items: items(),
    };
    let incarnation = Incarnation(ballot);
    let mut latest_incarnations = LatestIncarnations::default();
    latest_incarnations.record(MACHINE, incarnation);
    let unchosen = vec![ItemVersion {
        key: items()[0].key.clone(),
        version: Version(7),
    }];
    vec![
        Message::Prepare(Prepare {
            ballot,
            roster: roster(),
            digests: vec![1, 1 << 40],
            recovers: true,
        }),
        Message::Promise(Promise {
            ballot,
            incarnation,
            latest_incarnations,
            accepted,
            buckets: buckets.clone(),
            chosen: items(),
        }),
        Message::Accept(Accept {
            ballot,
            roster: roster(),
            chosen: items(),
            items: items(),
        }),
        Message::Accepted(Accepted { ballot }),
        Message::Rejected(Rejected {
            ballot,
            promised: ballot,
        }),
        Message::NotVoting(NotVoting { ballot }),
        Message::StaleRoster(StaleRoster {
            ballot,
            roster: roster(),
        }),
        Message::Chosen(Chosen { items: items() }),
        Message::CompareDigest(CompareDigest {
            comparison_id: ComparisonId(1),
            digest: 2,
        }),
        Message::DigestMatches(DigestMatches {
            comparison_id: ComparisonId(1),
            voting: true,
            unchosen: unchosen.clone(),
        }),
        Message::DigestDiffers(DigestDiffers {
            comparison_id: ComparisonId(1),
            digests: vec![3],
            unchosen,
        }),
        Message::FetchBuckets(FetchBuckets {
            comparison_id: ComparisonId(1),
            buckets,
        }),
        Message::BucketItems(BucketItems {
            comparison_id: ComparisonId(1),
            items: items(),
            voting: false,
        }),
        Message::DiskUnavailable(DiskUnavailable { ballot }),
        Message::BootstrapQuery(BootstrapQuery {
            query_nonce: BootstrapNonce(21),
        }),
        Message::BootstrapReply(BootstrapReply {
            query_nonce: BootstrapNonce(21),
            candidate_nonce: Some(BootstrapNonce(22)),
        }),
        Message::FirstRoster(FirstRoster {
            query_nonce: BootstrapNonce(21),
            roster: roster(),
        }),
    ]
}

/// Every message to a store in version 2 of the protocol.
pub fn to_store() -> Vec<ToStore> {
    let requests = [
        StoreRequest::Patch {
            id: RequestId(1),
            body: b"{}".to_vec(),
        },
        StoreRequest::Get { id: RequestId(2) },
        StoreRequest::Evacuate {
            id: RequestId(3),
            zone: "z".into(),
            begin: true,
        },
        StoreRequest::Subscribe,
        StoreRequest::ConfirmFreshness {
            nonce: FreshnessNonce(14),
        },
    ];
    let requests = requests.into_iter().map(ToStore::Request);
    let messages = consensus_messages()
        .into_iter()
        .map(|message| ToStore::Consensus {
            from: MACHINE,
            message,
        });
    requests.chain(messages).collect()
}

/// The messages to a store that version 3 of the protocol added.
pub fn to_store_new_in_version_3() -> Vec<ToStore> {
    let changes = [EvacuationChange::Begin, EvacuationChange::End];
    let request = |change| {
        ToStore::Request(StoreRequest::ChangeEvacuation {
            id: RequestId(3),
            zone: "z".into(),
            change,
            precondition: Version(7),
        })
    };
    let requests = changes.into_iter().map(request);
    let query_nonce = BootstrapNonce(21);
    let messages = [
        Message::CandidacyQuery(CandidacyQuery {
            query_nonce,
            seeds: vec![MACHINE],
        }),
        Message::CandidacyReply(CandidacyReply {
            query_nonce,
            is_candidate: true,
        }),
    ];
    let messages = messages.map(|message| ToStore::Consensus {
        from: MACHINE,
        message,
    });
    requests.chain(messages).collect()
}

/// The messages to a store that version 4 of the protocol added: each operation, and the messages between stores for
/// registers.
pub fn to_store_new_in_version_4() -> Vec<ToStore> {
    let request = |operation| {
        ToStore::Request(StoreRequest::Coordinate {
            id: RequestId(4),
            operation,
            when_led: WhenLed::TakeOver,
        })
    };
    let (lock, owner) = (String::from("l"), String::from("o"));
    let (fence, lease) = (FencingToken(41), Duration::from_millis(3_000));
    let operations = vec![
        Operation::AcquireLock {
            lock: lock.clone(),
            owner: owner.clone(),
            lease,
        },
        Operation::RenewLock {
            lock: lock.clone(),
            owner: owner.clone(),
            fence,
            lease,
        },
        Operation::ReleaseLock { lock, owner, fence },
        Operation::NextNumber {
            counter: "n".into(),
        },
        Operation::PutCell {
            cell: "g.c".into(),
            value: "v".into(),
            expected: Some(Revision(907)),
        },
        Operation::GetCell { cell: "g.c".into() },
        Operation::WatchGroup {
            group: "g.".into(),
            after: Revision(930),
            wait: Duration::from_secs(2),
        },
        Operation::ListLocks { after: "l".into() },
    ];
    let key = ItemKey {
        kind: ItemKind::Register,
        name: "lock/l".into(),
    };
    let messages = [
        Message::AcceptLed(AcceptLed {
            ballot: BALLOT,
            next_ballot: BALLOT,
            roster: roster(),
            chosen: vec![item(ItemKind::Register, "lock/l", Some("{}"))],
            items: vec![item(ItemKind::Register, "counter/n", Some("{}"))],
        }),
        Message::AcceptedLed(AcceptedLed {
            ballot: BALLOT,
            next_ballot: BALLOT,
            incarnation: Incarnation(BALLOT),
            latest_incarnations: LatestIncarnations::default(),
        }),
        Message::FetchNewer(FetchNewer {
            comparison_id: ComparisonId(8),
            buckets: vec![3],
            known: vec![ItemVersion {
                key,
                version: Version(7),
            }],
        }),
    ];
    let messages = messages.map(|message| ToStore::RegisterConsensus {
        from: MACHINE,
        message,
    });
    operations
        .into_iter()
        .map(request)
        .chain(messages)
        .collect()
}

/// The messages from a store that version 4 of the protocol added: each outcome of an operation, and the replies
/// without an outcome.
pub fn from_store_new_in_version_4() -> Vec<StoreReply> {
    let fence = FencingToken(41);
    let revision = Revision(931);
    let event = CellEvent {
        name: "g.c".into(),
        value: "v".into(),
        revision,
    };
    let lock = HeldLock {
        name: "l".into(),
        owner: "o".into(),
        fence,
        lease: Duration::from_secs(3),
        known_for: Duration::from_millis(20),
    };
    let outcomes = [
        Outcome::LockGranted { fence },
        Outcome::LockRenewed,
        Outcome::LockReleased,
        Outcome::LockDenied,
        Outcome::Number { value: 5120 },
        Outcome::CellWritten { revision },
        Outcome::CellChanged { revision },
        Outcome::Cell {
            value: "v".into(),
            revision,
        },
        Outcome::NoCell,
        Outcome::Events {
            events: vec![event],
            revision,
        },
        Outcome::EventsDropped,
        Outcome::OutOfSpace,
        Outcome::Locks {
            locks: vec![lock],
            next_after: Some("l".into()),
        },
    ];
    let without_outcome = [
        CoordinationReply::NotLeader {
            leader: MACHINE,
            effect: PossibleEffect::None,
        },
        CoordinationReply::Undecided {
            effect: PossibleEffect::Unknown,
        },
    ];
    let replies = outcomes.into_iter().map(CoordinationReply::Done);
    let replies = replies.chain(without_outcome);
    let id = RequestId(4);
    replies
        .map(|reply| StoreReply::Coordinated { id, reply })
        .collect()
}

/// Every message from a store in version 2 of the protocol.
pub fn from_store() -> Vec<StoreReply> {
    let disk = DiskStatus {
        state: DiskState::Full,
        used_bytes: 90,
        limit_bytes: 100,
    };
    vec![
        StoreReply::Response {
            id: RequestId(1),
            status: 503,
            body: "why".into(),
        },
        StoreReply::Items { items: items() },
        StoreReply::Status {
            up_to_date: true,
            voters: vec![MACHINE],
            disk,
            rejected_peers: 3,
        },
        StoreReply::FreshnessConfirmed {
            nonce: FreshnessNonce(14),
            age_ms: None,
        },
    ]
}

/// Every first message of a connection to a registry.
pub fn connection_roles() -> Vec<ConnectionRole> {
    vec![ConnectionRole::Proxy, ConnectionRole::Registry(MACHINE)]
}

/// Every message from a proxy to a registry.
pub fn from_proxy() -> Vec<FromProxy> {
    let instances = vec![
        instance(Status::Up),
        instance(Status::Draining),
        instance(Status::Removed),
    ];
    let hello = FromProxy::Hello {
        incarnation: ids::Incarnation(1),
        name: "edge".into(),
        zone: "z".into(),
        resume_from: Some(SESSION_REVISION),
        instances,
    };
    let after = SnapshotCursor::Item(items()[0].key.clone());
    vec![
        hello,
        FromProxy::KeepAlive {
            applied: Some(SESSION_REVISION),
            nonce: Nonce(11),
        },
        FromProxy::FetchSnapshotPart { after },
    ]
}

/// Every message from one registry to another.
pub fn between_registries() -> Vec<RegistryMessage> {
    vec![
        RegistryMessage::Hello {
            zone: "z".into(),
            confirmed: true,
            instances: records(),
            proxies: proxies(),
        },
        RegistryMessage::Changed {
            ack_id: Some(AckId(1)),
            instances: records(),
        },
        RegistryMessage::Heartbeat {
            confirmed: false,
            nonce: Nonce(12),
            digest: Digest(4),
        },
        RegistryMessage::HeartbeatAck { nonce: Nonce(12) },
        RegistryMessage::FetchOwned,
        RegistryMessage::OwnedInstances {
            instances: records(),
        },
        RegistryMessage::ProxySessions { proxies: proxies() },
    ]
}

/// Every message from a registry to a proxy.
pub fn to_proxy() -> Vec<ToProxy> {
    let instances = vec![instance(Status::Up)];
    vec![
        ToProxy::Snapshot {
            revision: SESSION_REVISION,
            items: items(),
            instances: instances.clone(),
            complete: true,
            next_part: None,
        },
        ToProxy::Changes {
            revision: SESSION_REVISION,
            items: items(),
            instances: instances.clone(),
        },
        ToProxy::SnapshotPart {
            items: items(),
            instances,
            next_part: Some(SnapshotCursor::Instance("i-1".into())),
        },
        ToProxy::Confirmation {
            nonce: Nonce(11),
            age: Some(Duration::from_millis(13)),
            proxies: 2,
            registries: vec![MACHINE],
        },
    ]
}

/// The acknowledgement of a registry to another one.
pub fn acks() -> Vec<Ack> {
    vec![Ack { ack_id: AckId(1) }]
}

fn frames_of<T: Serialize>(messages: &[T]) -> Vec<Vec<u8>> {
    messages.iter().map(frame).collect()
}

/// The frames of all samples as text, one on each line.
pub fn text() -> String {
    let to_registry = [
        frames_of(&connection_roles()),
        frames_of(&from_proxy()),
        frames_of(&between_registries()),
    ]
    .concat();
    let from_registry = [frames_of(&to_proxy()), frames_of(&acks())].concat();
    let groups = [
        (
            "to-store",
            [
                frames_of(&to_store()),
                frames_of(&to_store_new_in_version_3()),
                frames_of(&to_store_new_in_version_4()),
            ]
            .concat(),
        ),
        (
            "from-store",
            [
                frames_of(&from_store()),
                frames_of(&from_store_new_in_version_4()),
            ]
            .concat(),
        ),
        ("to-registry", to_registry),
        ("from-registry", from_registry),
    ];
    groups
        .iter()
        .map(|(name, frames)| lines(name, frames))
        .collect()
}

/// Frames as text: each on a line, as the name of its group and its bytes in hexadecimal digits.
pub fn lines(group: &str, frames: &[Vec<u8>]) -> String {
    let line = |frame: &Vec<u8>| {
        let bytes: String = frame.iter().map(|byte| format!("{byte:02x}")).collect();
        format!("{group} {bytes}\n")
    };
    frames.iter().map(line).collect()
}
