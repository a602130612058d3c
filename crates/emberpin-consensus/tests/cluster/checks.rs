//! Invariant checks of the replies to clients and of the items that followers receive.

use super::{ClientCall, Cluster, HistoryEvent, Reply, Start, MAX_REPLY_TIME};
use emberpin_config::{Checkpoint, Configuration, Item, ItemKey, ItemKind, Version};
use emberpin_consensus::{Call, Timestamp};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;

/// The replies to a call over all times that it was sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Statuses {
    acknowledged: bool,
    conflicted: bool,
}

/// The observations so far, against which further ones are checked.
#[derive(Debug, Default)]
pub struct Observations {
    /// The only content of each version of which followers were notified.
    contents: BTreeMap<(ItemKey, Version), Option<String>>,
    /// The highest acknowledged version of each item.
    acknowledged: BTreeMap<ItemKey, Version>,
    /// The only content of each acknowledged version, superseded ones included.
    acknowledged_contents: BTreeMap<(ItemKey, Version), Option<String>>,
    /// The replies to patches, by the body of the call.
    statuses: BTreeMap<Vec<u8>, Statuses>,
    /// All items of which followers were notified, merged.
    merged: Configuration,
}

/// A chosen roster.
struct ObservedRoster {
    version: Version,
    voters: Vec<Ipv4Addr>,
}

impl Cluster {
    /// Records a violation, unless there was one before.
    pub fn fail(&mut self, violation: String) {
        let now = self.now;
        self.violation
            .get_or_insert_with(|| format!("at {now} ms: {violation}"));
    }

    /// The rosters of which followers were notified, sorted by version.
    fn observed_rosters(&self) -> Vec<ObservedRoster> {
        let contents = self.observed.contents.iter();
        let rosters = contents.filter(|((key, _), _)| key.kind == ItemKind::Roster);
        let mut rosters: Vec<ObservedRoster> = rosters
            .map(|((_, version), body)| ObservedRoster {
                version: *version,
                voters: parse_voters(body.as_deref().unwrap_or_default()),
            })
            .collect();
        rosters.sort_unstable_by_key(|roster| roster.version);
        rosters
    }

    /// The voters of the newest roster of which any follower was notified.
    pub fn newest_roster(&self) -> Vec<Ipv4Addr> {
        let newest = self.observed_rosters().pop();
        newest.map(|roster| roster.voters).unwrap_or_default()
    }

    /// The voters of the newest roster that is on the disks of a majority of its voters.
    ///
    /// An operator counts a decommissioned machine as lost until the deployment's `sync_time` has passed since its
    /// replacement was started, and only then may another disk be lost. These tests lose the next disk earlier, as soon
    /// as the replicas can tolerate it: while only one replica knows a chosen roster, its disk must not be the next one
    /// lost.
    fn roster_on_majority(&self) -> Vec<Ipv4Addr> {
        let version_on_disk = |ip: &Ipv4Addr| {
            let node = self.nodes.get(ip);
            let synced = node.map_or(&[][..], |node| &node.disk[..node.synced]);
            let items = synced.iter().flat_map(|write| &write.chosen);
            items
                .filter(|item| item.key.kind == ItemKind::Roster)
                .map(|item| item.version)
                .max()
                .unwrap_or_default()
        };
        let is_on_majority = |roster: &&ObservedRoster| {
            let on_disk = |ip: &&Ipv4Addr| version_on_disk(ip) >= roster.version;
            roster.voters.iter().filter(on_disk).count() > roster.voters.len() / 2
        };
        let rosters = self.observed_rosters();
        let newest = rosters.iter().rev().find(is_on_majority);
        newest
            .or(rosters.first())
            .map(|roster| roster.voters.clone())
            .unwrap_or_default()
    }

    /// How many machines have lost their disks and have not caught up since. All machines count, whether or not they
    /// are on the roster, as `tolerance` counts machines; a decommissioned one counts as long as it is on the roster.
    pub fn lost_machines(&self) -> usize {
        let roster = self.roster_on_majority();
        let nodes = self.nodes.iter();
        nodes
            .filter(|(ip, node)| {
                if node.decommissioned {
                    roster.contains(ip)
                } else {
                    node.unrecovered_disk_loss
                }
            })
            .count()
    }

    /// Checks that a version has one content.
    fn check_content(&mut self, item: &Item) {
        let key = (item.key.clone(), item.version);
        let contents = &mut self.observed.contents;
        let known = contents.entry(key).or_insert_with(|| item.body.clone());
        if *known != item.body {
            let violation = format!(
                "{:?} {} has two contents: {known:?} and {:?}",
                item.key, item.version, item.body
            );
            self.fail(violation);
        }
    }

    /// A replica notifies its followers of chosen items. Checks that versions only rise at each replica, and that the
    /// merged configuration is valid after each new set of items. A set is merged when the first replica reports it, so
    /// everything that was chosen before it is merged by then.
    pub(super) fn on_learned(&mut self, ip: Ipv4Addr, items: &[Item]) {
        let merged = &mut self.observed.merged;
        let mut has_new = false;
        for item in items {
            has_new |= merged.merge(item.clone());
        }
        if has_new {
            if let Err(error) = merged.check() {
                self.fail(format!(
                    "the set of chosen items is not valid as a whole: {error}"
                ));
            }
        }
        for item in items {
            self.check_content(item);
            let learned_versions = &mut self.node(ip).learned_versions;
            let previous = learned_versions.insert(item.key.clone(), item.version);
            if previous.is_some_and(|previous| previous >= item.version) {
                self.fail(format!(
                    "followers of {ip} were notified of {:?} {} again",
                    item.key, item.version
                ));
            }
        }
    }

    /// A client receives a reply. Checks that it is the only one, and in time.
    pub(super) fn on_reply(&mut self, id: usize, reply: Reply) {
        let call = self.calls[id].clone();
        if call.reply.is_some() {
            return self.fail(format!("call {id} was answered twice"));
        }
        // A host that blocks on syncs replies after the current sync and the following one.
        let syncs = if self.host_blocks_on_sync {
            2 * (self.sync_time.end + self.sync_stalls.duration)
        } else {
            0
        };
        if self.now > call.sent_at + MAX_REPLY_TIME + syncs {
            let elapsed = self.now - call.sent_at;
            self.fail(format!("call {id} was answered after {elapsed} ms"));
        }
        self.history.push(HistoryEvent::Replied(id));
        self.check_status(&call, reply.status);
        if reply.status == 200 {
            for item in &call.items {
                // A superseded item of a call may never have been chosen.
                let acknowledged = &mut self.observed.acknowledged;
                let highest = acknowledged.entry(item.key.clone()).or_default();
                *highest = item.version.max(*highest);
            }
        }
        self.calls[id].reply = Some(reply);
    }

    /// Checks that a call is not both acknowledged and rejected as a conflict, however often it is sent, and that an
    /// acknowledged version has one content.
    fn check_status(&mut self, call: &ClientCall, status: u16) {
        let Call::Patch(body) = &call.call else {
            return;
        };
        let statuses = self.observed.statuses.entry(body.clone()).or_default();
        statuses.acknowledged |= status == 200;
        statuses.conflicted |= status == 409;
        if statuses.acknowledged && statuses.conflicted {
            let body = String::from_utf8_lossy(body);
            self.fail(format!(
                "{body:?} was acknowledged and rejected as a conflict"
            ));
        }
        for item in call.items.iter().filter(|_| status == 200) {
            let key = (item.key.clone(), item.version);
            let contents = &mut self.observed.acknowledged_contents;
            let known = contents.entry(key).or_insert_with(|| item.body.clone());
            if *known != item.body {
                self.fail(format!(
                    "{:?} {} was acknowledged with two contents",
                    item.key, item.version
                ));
            }
        }
    }

    /// Ends all faults, and checks that the replicas catch up, and have all acknowledged items and no rejected ones.
    pub fn heal_and_check(&mut self) {
        self.partitions.clear();
        self.hold_back = None;
        (self.late_percent, self.duplicate_percent) = (0, 0);
        for ip in self.nodes.keys().copied().collect::<Vec<_>>() {
            self.free_disk(ip);
            self.start(ip, Start::Normal);
        }
        let is_up_to_date = |cluster: &Cluster| {
            let now = Timestamp::from_millis(cluster.now);
            let mut replicas = cluster
                .nodes
                .values()
                .filter_map(|node| node.replica.as_ref());
            replicas.all(|replica| replica.is_up_to_date(now))
        };
        self.run(1500);
        self.run_while(60_000, |cluster| !is_up_to_date(cluster));
        if !is_up_to_date(self) {
            return self.fail("the replicas do not catch up".into());
        }
        for ip in self.running() {
            if self.violation.is_some() {
                return;
            }
            if self.status_of(ip, &Call::Get) != 200 {
                return self.fail(format!("{ip} does not answer a get"));
            }
            self.check_acknowledged_items(ip);
        }
        for item in self.items_only_rejected() {
            let key = (item.key.clone(), item.version);
            if self.observed.contents.get(&key) == Some(&item.body) {
                self.fail(format!(
                    "{:?} {} was rejected and is chosen",
                    item.key, item.version
                ));
            }
        }
    }

    /// Checks that a replica has everything that was acknowledged, and that its state is valid.
    pub fn check_acknowledged_items(&mut self, ip: Ipv4Addr) {
        let Some(replica) = self.replica(ip) else {
            return;
        };
        let state = replica.state();
        let configuration: Configuration = state.iter().cloned().collect();
        let mut violation = configuration
            .check()
            .err()
            .map(|error| format!("the state as a whole is invalid: {error}"));
        let checkpoint = state
            .get(&Checkpoint::key())
            .map(Checkpoint::from_item)
            .unwrap_or_default();
        let acknowledged = self.observed.acknowledged.iter();
        for (key, version) in
            acknowledged.filter(|(key, version)| checkpoint.admits(key, **version))
        {
            let item = state.get(key);
            if item.is_none_or(|item| item.version < *version) {
                violation = Some(format!(
                    "{key:?} {version} was acknowledged and is lost at {ip}"
                ));
            }
        }
        let calls = self.calls.iter().filter(|call| call.status() == Some(200));
        for item in calls.flat_map(|call| &call.items) {
            let known = state.get(&item.key);
            if known.is_some_and(|known| known.version == item.version && known.body != item.body) {
                violation = Some(format!(
                    "{:?} {} was acknowledged with another content",
                    item.key, item.version
                ));
            }
        }
        if let Some(violation) = violation {
            self.fail(violation);
        }
    }

    /// Items of calls that were rejected, and never answered in any other way.
    fn items_only_rejected(&self) -> Vec<Item> {
        let is_rejected = |call: &ClientCall| matches!(call.status(), Some(400..=499));
        let is_only_rejected = |call: &&ClientCall| {
            let mut same = self.calls.iter().filter(|other| other.call == call.call);
            is_rejected(call) && same.all(is_rejected)
        };
        let calls = self.calls.iter().filter(is_only_rejected);
        calls.flat_map(|call| call.items.clone()).collect()
    }
}

/// Parses the addresses in the body of a roster.
fn parse_voters(body: &str) -> Vec<Ipv4Addr> {
    body.split(['[', ']', '"', ','])
        .filter_map(|part| part.parse().ok())
        .collect()
}
