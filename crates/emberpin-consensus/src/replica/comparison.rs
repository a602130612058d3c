//! Comparison of states between replicas. It shows a replica up to which moment it knows everything that was
//! acknowledged.
//!
//! A proposer may fail after it replied to its caller and before it notified any replica that the items are chosen. A
//! majority then holds the items as accepted, and no replica knows them to be chosen. So a replica answers a comparison
//! with the versions that it has accepted and does not know to be chosen, and the comparison counts only once the
//! replica that began it knows those versions, or newer ones, to be chosen.

use super::{Action, Replica};
use crate::event::Rounds;
use crate::message::{
    BucketItems, Chosen, CompareDigest, ComparisonId, DigestDiffers, DigestMatches, FetchBuckets,
    FetchNewer, ItemVersion, Message,
};
use crate::time::Timestamp;
use emberpin_config::{Item, ItemKey, Version};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::time::Duration;

/// The interval at which replicas compare the items that they know to be chosen.
pub const COMPARISON_INTERVAL: Duration = Duration::from_millis(500);
/// How long after its beginning a comparison shows that this replica is up to date.
pub(super) const COMPARISON_VALIDITY: Duration = Duration::from_millis(1_200);
/// Entry limit for comparisons with one replica that wait for versions to become known; beyond it the oldest is
/// dropped.
const MAX_PENDING_COMPARISONS: usize = 4;

/// An answered comparison that is confirmed once all of `unchosen` are known to be chosen.
#[derive(Clone, Debug)]
struct PendingComparison {
    begun_at: Timestamp,
    unchosen: Vec<ItemVersion>,
}

/// The comparisons with one replica.
#[derive(Clone, Debug, Default)]
pub(super) struct Comparisons {
    /// When the newest confirmed comparison was begun: this replica knows everything that the other one held then.
    /// `None` if none is confirmed.
    pub confirmed_at: Option<Timestamp>,
    /// Answered comparisons that are not confirmed yet, the oldest first.
    pending: Vec<PendingComparison>,
}

impl Comparisons {
    fn push(&mut self, begun_at: Timestamp, unchosen: Vec<ItemVersion>) {
        if self.pending.len() == MAX_PENDING_COMPARISONS {
            self.pending.remove(0);
        }
        self.pending.push(PendingComparison { begun_at, unchosen });
    }

    /// Confirms the newest pending comparison of which all versions are known, and drops the older ones.
    fn confirm(&mut self, is_known: impl Fn(&ItemVersion) -> bool) {
        let Some(newest) = self
            .pending
            .iter()
            .rposition(|comparison| comparison.unchosen.iter().all(&is_known))
        else {
            return;
        };
        let begun_at = self.pending[newest].begun_at;
        self.pending.drain(..=newest);
        self.confirmed_at = self.confirmed_at.max(Some(begun_at));
    }
}

impl Replica {
    /// The versions that this replica has accepted and does not know to be chosen.
    pub(super) fn unchosen_versions(&self) -> Vec<ItemVersion> {
        if !self.acceptor.guards.compare_accepted {
            return Vec::new();
        }
        let accepted = self.acceptor.accepted.items.iter();
        accepted
            .filter(|item| !self.state().covers(item))
            .map(|item| ItemVersion {
                key: item.key.clone(),
                version: item.version,
            })
            .collect()
    }

    /// Begins a comparison with each peer. The message is also the heartbeat.
    pub(super) fn compare_with_peers(&mut self, actions: &mut Vec<Action>) {
        let peers = self.comparison_peers();
        self.peers.retain(|peer, _| peers.contains(peer));
        self.compare_with_self();
        self.last_comparison = ComparisonId(self.last_comparison.0 + 1);
        self.comparison_begun_at = self.now;
        let (comparison_id, digest) = (self.last_comparison, self.state().digest());
        for to in peers {
            let peer = self.peers.entry(to).or_default();
            peer.comparison_id = comparison_id;
            peer.comparison_begun_at = self.now;
            peer.unchosen = Vec::new();
            let compare = CompareDigest {
                comparison_id,
                digest,
            };
            self.send(to, Message::CompareDigest(compare), actions);
        }
    }

    /// Begins a comparison of this replica with itself, which covers the items that it has accepted.
    fn compare_with_self(&mut self) {
        let unchosen = self.unchosen_versions();
        self.own_comparisons.push(self.now, unchosen);
        self.confirm_comparisons();
    }

    pub(super) fn on_compare_digest(
        &mut self,
        from: Ipv4Addr,
        compare: CompareDigest,
        actions: &mut Vec<Action>,
    ) {
        let comparison_id = compare.comparison_id;
        let unchosen = self.unchosen_versions();
        let answer = if compare.digest == self.state().digest() {
            Message::DigestMatches(DigestMatches {
                comparison_id,
                voting: self.acceptor.voting,
                unchosen,
            })
        } else {
            Message::DigestDiffers(DigestDiffers {
                comparison_id,
                digests: self.state().digests().to_vec(),
                unchosen,
            })
        };
        self.send(from, answer, actions);
    }

    /// Records that a peer has answered a comparison, and thus is in contact in both directions.
    fn record_answer(&mut self, from: Ipv4Addr, comparison_id: ComparisonId) {
        if let Some(peer) = self.peers.get_mut(&from) {
            peer.answered_comparison = peer.answered_comparison.max(comparison_id);
        }
    }

    pub(super) fn on_digest_matches(&mut self, from: Ipv4Addr, matches: DigestMatches) {
        let DigestMatches {
            comparison_id,
            voting,
            unchosen,
        } = matches;
        self.record_answer(from, comparison_id);
        self.complete_comparison(from, comparison_id, voting, unchosen);
    }

    /// Sends the items that this replica has in the differing buckets, and asks for those of the other replica.
    pub(super) fn on_digest_differs(
        &mut self,
        from: Ipv4Addr,
        differs: DigestDiffers,
        actions: &mut Vec<Action>,
    ) {
        let DigestDiffers {
            comparison_id,
            digests,
            unchosen,
        } = differs;
        self.record_answer(from, comparison_id);
        if let Some(peer) = self.peers.get_mut(&from) {
            if peer.comparison_id == comparison_id {
                peer.unchosen = unchosen;
            }
        }
        let buckets = self.state().differing_buckets(&digests);
        if self.options.rounds == Rounds::Led {
            return self.fetch_newer(from, comparison_id, buckets, actions);
        }
        let items = self.state().in_buckets(&buckets);
        if !items.is_empty() {
            self.send(from, Message::Chosen(Chosen { items }), actions);
        }
        let fetch = FetchBuckets {
            comparison_id,
            buckets,
        };
        self.send(from, Message::FetchBuckets(fetch), actions);
    }

    pub(super) fn on_fetch_buckets(
        &mut self,
        from: Ipv4Addr,
        fetch: &FetchBuckets,
        actions: &mut Vec<Action>,
    ) {
        let answer = BucketItems {
            comparison_id: fetch.comparison_id,
            items: self.state().in_buckets(&fetch.buckets),
            voting: self.acceptor.voting,
        };
        self.send(from, Message::BucketItems(answer), actions);
    }

    /// Asks only for those items of the differing buckets that are newer than the known ones: while items change all
    /// the time, most items of these buckets are the same.
    fn fetch_newer(
        &mut self,
        from: Ipv4Addr,
        comparison_id: ComparisonId,
        buckets: Vec<u8>,
        actions: &mut Vec<Action>,
    ) {
        let items = self.state().in_buckets(&buckets).into_iter();
        let known = items.map(|item| ItemVersion {
            key: item.key,
            version: item.version,
        });
        let fetch = FetchNewer {
            comparison_id,
            known: known.collect(),
            buckets,
        };
        self.send(from, Message::FetchNewer(fetch), actions);
    }

    pub(super) fn on_fetch_newer(
        &mut self,
        from: Ipv4Addr,
        fetch: &FetchNewer,
        actions: &mut Vec<Action>,
    ) {
        let known: BTreeMap<&ItemKey, Version> = fetch
            .known
            .iter()
            .map(|version| (&version.key, version.version))
            .collect();
        let is_newer = |item: &Item| {
            known
                .get(&item.key)
                .is_none_or(|version| *version < item.version)
        };
        let mut items = self.state().in_buckets(&fetch.buckets);
        items.retain(is_newer);
        let answer = BucketItems {
            comparison_id: fetch.comparison_id,
            items,
            voting: self.acceptor.voting,
        };
        self.send(from, Message::BucketItems(answer), actions);
    }

    pub(super) fn on_bucket_items(
        &mut self,
        from: Ipv4Addr,
        answer: &BucketItems,
        actions: &mut Vec<Action>,
    ) {
        self.learn(&answer.items, actions);
        // The unchosen versions to wait for are those reported with the digests, as the digests determined the buckets.
        let unchosen = self
            .peers
            .get(&from)
            .map_or_else(Vec::new, |peer| peer.unchosen.clone());
        self.complete_comparison(from, answer.comparison_id, answer.voting, unchosen);
    }

    /// Completes the latest comparison with a peer. The answer of a peer that does not vote is not counted, and voids
    /// the earlier comparisons with it.
    fn complete_comparison(
        &mut self,
        from: Ipv4Addr,
        comparison_id: ComparisonId,
        voting: bool,
        unchosen: Vec<ItemVersion>,
    ) {
        let Some(peer) = self
            .peers
            .get_mut(&from)
            .filter(|peer| peer.comparison_id == comparison_id)
        else {
            return;
        };
        if voting {
            peer.comparisons.push(peer.comparison_begun_at, unchosen);
            self.confirm_comparisons();
        } else {
            peer.comparisons = Comparisons::default();
        }
    }

    /// Confirms the pending comparisons whose versions have become known.
    pub(super) fn confirm_comparisons(&mut self) {
        let state = &self.acceptor.state;
        let is_known = |version: &ItemVersion| state.covers_version(version);
        self.own_comparisons.confirm(is_known);
        for peer in self.peers.values_mut() {
            peer.comparisons.confirm(is_known);
        }
    }

    /// The age of the newest confirmed comparison of this replica with itself: all items that it had accepted by then
    /// are now known to be chosen or superseded. Zero if all items that it has accepted until now are; `None` if no
    /// such comparison is confirmed.
    pub(super) fn own_confirmed_age(&self, now: Timestamp) -> Option<Duration> {
        if self.unchosen_versions().is_empty() {
            return Some(Duration::ZERO);
        }
        let confirmed_at = self.own_comparisons.confirmed_at?;
        Some(now.saturating_since(confirmed_at))
    }
}
