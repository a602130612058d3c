//! Records the disks that are missing in `fixtures/`. Each disk was recorded once, by the build of 2 December 2026, and
//! is never replaced: a build that cannot open it is faulty.

use super::packed_folder::pack;
use super::{disk_file, fixture, item_lines, OWNER, PEERS};
use emberpin_config::{
    Item, ItemKey, ItemKind, Retention, Version, MAX_CONFIGURATION_BYTES, MAX_HISTORY_BYTES,
};
use emberpin_consensus::{
    AcceptedProposal, Action, Ballot, BootstrapCandidate, BootstrapNonce, Call, CallId,
    EvacuationChange, Event, Guards, Incarnation, LatestIncarnations, Replica, ReplicaOptions,
    Rounds, Timestamp, WriteBatch,
};
use emberpin_store::disk::Disk;
use std::collections::{BTreeMap, VecDeque};
use std::fs;
use std::path::Path;
use std::time::Duration;

/// Limits low enough for a hundred calls to cause checkpoints and discard old versions.
const RETENTION: Retention = Retention {
    max_versions: 3,
    max_tombstones: 2,
    max_history_bytes: MAX_HISTORY_BYTES,
    max_configuration_bytes: MAX_CONFIGURATION_BYTES,
};
/// Length of a body in bytes, and the number of its versions. Together they exceed a memtable of `fjall`.
const LARGE_BODY_BYTES: usize = 512 << 10;
const LARGE_BODY_VERSIONS: u64 = 18;

/// A replica that is the only voter, and its disk.
struct Store {
    replica: Replica,
    disk: Disk,
    now_ms: u64,
    /// Events that the replica has not handled yet.
    events: VecDeque<Event>,
    /// Status of the reply to the current call; `None` before the reply.
    reply_status: Option<u16>,
    /// The last write.
    last: Option<WriteBatch>,
    /// The items after all writes so far, by kind and name, as an independent check of the disk.
    items: BTreeMap<(u8, String), Item>,
}

impl Store {
    /// Opens an empty disk, and founds a system with this replica as the only voter.
    fn bootstrap(folder: &Path) -> Store {
        let options = ReplicaOptions {
            address: OWNER,
            seeds: vec![OWNER],
            bootstrap: true,
            tolerated_failures: 1,
            rounds: Rounds::Leaderless,
            random_seed: 21,
        };
        let (disk, state) = Disk::open(folder, OWNER).expect("a disk");
        let mut actions = Vec::new();
        let guards = Guards {
            retention: RETENTION,
            ..Guards::default()
        };
        let replica = Replica::with_guards(
            Timestamp::from_millis(1_000),
            options,
            state,
            guards,
            &mut actions,
        );
        let (events, items) = (VecDeque::new(), BTreeMap::new());
        let mut store = Store {
            replica,
            disk,
            now_ms: 1_000,
            events,
            reply_status: None,
            last: None,
            items,
        };
        store.apply(actions);
        store
    }

    /// Makes a call, and handles events until the replica replies, which must be with 200.
    fn call(&mut self, call: Call) {
        self.reply_status = None;
        self.events.push_back(Event::Call {
            call_id: CallId(1),
            call,
        });
        while self.reply_status.is_none() {
            let event = self.events.pop_front().unwrap_or_else(|| {
                self.now_ms = self.replica.next_tick_at().as_millis().max(self.now_ms + 1);
                Event::Tick
            });
            let mut actions = Vec::new();
            self.replica
                .handle(Timestamp::from_millis(self.now_ms), event, &mut actions);
            self.apply(actions);
        }
        assert_eq!(self.reply_status, Some(200));
    }

    fn patch(&mut self, body: String) {
        self.call(Call::Patch(body.into_bytes()));
    }

    /// Carries out the replica's actions: writes, syncs, and records the reply.
    fn apply(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Persist { token, write } => {
                    let sync = write.sync;
                    self.write(write);
                    if sync {
                        self.disk.sync().expect("a sync");
                        self.events.push_back(Event::Persisted { token });
                    }
                }
                Action::Reply { status, .. } => self.reply_status = Some(status),
                Action::Send { .. }
                | Action::Learned { .. }
                | Action::ReplyToApplication { .. } => {}
            }
        }
    }

    fn write(&mut self, write: WriteBatch) {
        self.disk.write(&write).expect("a write");
        for item in &write.chosen {
            self.items
                .insert((item.key.kind as u8, item.key.name.clone()), item.clone());
        }
        for key in &write.removed {
            self.items.remove(&(key.kind as u8, key.name.clone()));
        }
        self.last = Some(write);
    }

    /// Writes until `fjall` flushes a table and begins another journal.
    fn write_until_table_flush(&mut self, folder: &Path) {
        for version in 1..=LARGE_BODY_VERSIONS {
            let key = ItemKey {
                kind: ItemKind::Service,
                name: "long".into(),
            };
            let body = (version < LARGE_BODY_VERSIONS).then(|| "x".repeat(LARGE_BODY_BYTES));
            let chosen = vec![Item {
                key,
                version: Version(version),
                body,
            }];
            let last = self.last.clone().expect("a write before");
            self.write(WriteBatch {
                chosen,
                removed: Vec::new(),
                accepted: None,
                ..last
            });
        }
        self.disk.sync().expect("a sync");
        let tables = folder.join("store/partitions/items/segments");
        while fs::read_dir(&tables).expect("a folder").count() == 0 {
            std::thread::sleep(Duration::from_millis(50));
        }
    }
}

fn service(name: &str, version: u64) -> String {
    format!(
        "{{\"name\":\"{name}\",\"hcheck\":\"/h\",\"maxconn\":{},\"proto\":\"h1\",\"tls\":false,\
         \"warmup\":\"3s\",\"warmup_per_s\":10.0,\"ver\":{version}}}",
        9 + version
    )
}

fn set_service(name: &str, version: u64) -> String {
    format!("{{\"upsert\":{{\"svcs\":[{}]}}}}", service(name, version))
}

fn set_route(nth: u64, version: u64) -> String {
    format!(
        "{{\"upsert\":{{\"vhosts\":[{{\"hostname\":\"h{nth}.example\",\"locs\":[{{\"name\":\"r-{nth}\",\
         \"pfx\":\"/p{nth}/\",\"type\":\"readonly\",\"timeout\":\"1500ms\",\"target_time\":\"250ms\",\
         \"prio\":{},\"svc\":\"s-0\",\"tries\":2,\"ver\":{version}}}]}}]}}}}",
        version % 7
    )
}

fn remove_item(list: &str, name: &str, version: u64) -> String {
    format!("{{\"remove\":{{\"{list}\":[{{\"name\":\"{name}\",\"ver\":{version}}}]}}}}")
}

fn evacuate(zone: &str, change: EvacuationChange, precondition: u64) -> Call {
    Call::Evacuate {
        zone: zone.into(),
        change,
        precondition: Version(precondition),
    }
}

/// Applies fifty changes of services and routes, with ascending versions. Every fifth change removes an item.
fn apply_changes(store: &mut Store, from: u64) {
    for version in from..from + 50 {
        let nth = version % 13;
        match (version % 5, version % 2) {
            (0, 0) => store.patch(remove_item("svcs", &format!("s-{}", nth + 1), version)),
            (0, _) => store.patch(remove_item("rtab", &format!("r-{nth}"), version)),
            (_, 0) => store.patch(set_route(nth, version)),
            _ => store.patch(set_service(&format!("s-{}", nth + 1), version)),
        }
    }
}

/// Writes a state that only other proposers can cause: the ballot of one is promised, an earlier proposal of another is
/// accepted and not known to be chosen, and incarnations record that two voters have lost their disks.
fn write_state_of_other_proposers(store: &mut Store) {
    let [second, third] = PEERS;
    let ballot = |counter, node: std::net::Ipv4Addr| Ballot {
        counter,
        proposer: node.to_bits(),
        start_nonce: 77,
    };
    let key = ItemKey {
        kind: ItemKind::Service,
        name: "open".into(),
    };
    let open = Item {
        key,
        version: Version(700),
        body: Some(service("open", 700)),
    };
    let mut latest_incarnations = LatestIncarnations::default();
    latest_incarnations.record(second, Incarnation(ballot(500, second)));
    latest_incarnations.record(third, Incarnation(ballot(70_000, third)));
    store.write(WriteBatch {
        chosen: Vec::new(),
        removed: Vec::new(),
        promised: ballot(900_001, third),
        accepted: Some(AcceptedProposal {
            ballot: ballot(900_000, second),
            items: vec![open],
        }),
        voting: true,
        incarnation: Incarnation(ballot(400, OWNER)),
        latest_incarnations,
        bootstrap_candidate: Some(BootstrapCandidate {
            nonce: BootstrapNonce(0x0123_4567_89ab_cdef),
            seeds: vec![OWNER, second, third],
        }),
        sync: true,
    });
    store.disk.sync().expect("a sync");
}

/// Writes the disk of a voter after a hundred changes, and records the voter's items in a separate fixture.
fn record_voter(folder: &Path) {
    let mut store = Store::bootstrap(folder);
    store.patch(
        "{\"upsert\":{\"limits\":{\"hdr_max_bytes\":16384,\"body_max_bytes\":1048576,\"hdr_read\":\"5s\",\
         \"idle\":\"60s\",\"ver\":3}}}"
            .into(),
    );
    store.patch(set_service("s-0", 1));
    store.call(evacuate("z1", EvacuationChange::Begin, 0));
    apply_changes(&mut store, 100);
    store.call(evacuate("z1", EvacuationChange::End, 1));
    store.write_until_table_flush(folder);
    apply_changes(&mut store, 400);
    store.call(evacuate("z2", EvacuationChange::Begin, 0));
    write_state_of_other_proposers(&mut store);
    drop(store.disk);
    fs::write(folder.join("system"), "0fedcba987654321\n").expect("a file");
    let items: Vec<Item> = store.items.into_values().collect();
    fs::write(fixture("voter.items.txt"), item_lines(&items)).expect("a fixture");
}

/// Writes the disk of a seed at its first start, which knows no roster.
fn record_candidate(folder: &Path) {
    let [second, third] = PEERS;
    let options = ReplicaOptions {
        address: OWNER,
        seeds: vec![third, second, OWNER],
        bootstrap: true,
        tolerated_failures: 1,
        rounds: Rounds::Leaderless,
        random_seed: 21,
    };
    let (mut disk, state) = Disk::open(folder, OWNER).expect("a disk");
    let mut actions = Vec::new();
    Replica::new(Timestamp::from_millis(1_000), options, state, &mut actions);
    for action in actions {
        if let Action::Persist { write, .. } = action {
            disk.write(&write).expect("a write");
            disk.sync().expect("a sync");
        }
    }
}

/// Creates a disk without any write.
fn record_empty(folder: &Path) {
    Disk::open(folder, OWNER).expect("a disk");
}

/// Writes a disk of the previous format, without watermarks, incarnations and a sync record. It was not recorded by a
/// build with that format; its bytes are those that such a build is known to have written.
fn record_previous_format(folder: &Path) {
    let keyspace = fjall::Config::new(folder.join("store"))
        .open()
        .expect("a keyspace");
    let partition = |name| keyspace.open_partition(name, fjall::PartitionCreateOptions::default());
    let (items, meta) = (
        partition("items").expect("a partition"),
        partition("meta").expect("a partition"),
    );
    let mut batch = keyspace.batch();
    batch.insert(&meta, "format", b"emberpin-store 1");
    batch.insert(&meta, "node", OWNER.octets());
    batch.insert(&meta, "promised", b"\xac\x02\x07\x09\x01");
    batch.insert(
        &meta,
        "pending",
        b"\xab\x02\x07\x09\x01\x03\x01c\x05\x01\x02{}",
    );
    batch.insert(
        &items,
        b"\x00",
        b"\x00\x00\x01\x01\x0e[\"127.9.40.1\"]".as_slice(),
    );
    batch.insert(&items, b"\x03a", b"\x03\x01a\x07\x01\x02{}");
    batch.insert(&items, b"\x04b", b"\x04\x01b\x80\x01\x00");
    batch.commit().expect("a batch");
    keyspace
        .persist(fjall::PersistMode::SyncAll)
        .expect("a sync");
}

/// Records the disks that are missing.
pub fn record_missing() {
    record("voter", record_voter);
    record("candidate", record_candidate);
    record("empty", record_empty);
    record("former", record_previous_format);
}

/// Records the configuration that a store on the voter's disk serves, if that recording is missing.
pub fn record_missing_configuration(configuration: impl Fn() -> String) {
    let file = fixture("voter.get.json");
    if !file.exists() {
        fs::write(file, configuration()).expect("a fixture");
    }
}

/// Records the disk that `write_disk` writes into an empty folder, if the recording is missing.
fn record(disk: &str, write_disk: impl Fn(&Path)) {
    let file = fixture(&disk_file(disk));
    if file.exists() {
        return;
    }
    let folder = tempfile::tempdir().expect("a folder");
    write_disk(folder.path());
    fs::write(file, pack(folder.path())).expect("a fixture");
}
