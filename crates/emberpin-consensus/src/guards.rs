//! Safeguards of the protocol, which a test can turn off.

use emberpin_config::{History, Item, ItemKey, ItemKind, Retention};

/// The safeguards that are on. Outside of tests all are; a test turns one off to show that it detects the fault that
/// the safeguard prevents.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Guards {
    /// A replica that lost its disk does not vote before it has caught up.
    pub catch_up_before_voting: bool,
    /// A replica that is not on the roster waits for a while after its start before it asks to join.
    pub listen_before_joining: bool,
    /// A voter rejects ballots below the one that it promised.
    pub keep_promises: bool,
    /// A proposer proposes again the items that voters accepted earlier and that may be chosen.
    pub repropose_accepted: bool,
    /// A change of the roster needs majorities of both the old and the new roster.
    pub joint_quorums: bool,
    /// No message that depends on a write is sent before the write is synced.
    pub sync_before_reply: bool,
    /// A voter keeps the ballot of its accepted proposal when it clears the items.
    pub keep_accepted_ballot: bool,
    /// Chosen items that a voter lacks are sent along with a proposal.
    pub transfer_missing_items: bool,
    /// A call is evaluated on the state that a majority knows, not on the state that this replica knew before its
    /// round.
    pub evaluate_on_quorum_state: bool,
    /// No item of a rejected call is chosen.
    pub atomic_calls: bool,
    /// A change of an evacuation is rejected if the evacuation has another version than its caller was given.
    pub evacuation_precondition: bool,
    /// A replica that is not a voter restarts its round at once if the ballot was outdated.
    pub restart_outdated_rounds: bool,
    /// A replica replaces an unresponsive voter without waiting to see whether other unresponsive voters return.
    pub replace_without_delay: bool,
    /// A call is rejected early if no majority of the voters answers comparisons.
    pub contact_check: bool,
    /// Comparisons include the items that a voter has accepted and does not know to be chosen.
    pub compare_accepted: bool,
    /// An acknowledged item is on the disks of a majority, and on more disks than may be lost.
    pub tolerance_quorum: bool,
    /// Digests of the versions below the newest one of an item are kept.
    pub propose_history: bool,
    /// Digests of versions that were already superseded when their call was acknowledged are kept, too.
    pub propose_superseded: bool,
    /// Histories are restored from the disk at a start.
    pub restore_history: bool,
    /// Checkpoints, which summarize the removed tombstones, are restored from the disk at a start.
    pub restore_checkpoint: bool,
    /// How many versions and tombstones are kept. Not a safeguard; tests need lower limits to reach them.
    pub retention: Retention,
    /// Timeouts follow the measured delays, and unanswered messages are sent again.
    pub adaptive_timeouts: bool,
    /// A promise does not count if its voter has since lost its disk.
    pub void_stale_promises: bool,
    /// After a disk failure, messages that waited for a sync are dropped, and the whole state in memory is synced
    /// before the next vote.
    pub restore_after_disk_failure: bool,
    /// A seed that starts for the first time asks the other seeds before it writes a first roster.
    pub bootstrap_agreement: bool,
    /// An unresponsive voter is evicted early when the others could not tolerate a further loss.
    pub evict_early_without_margin: bool,
    /// A leader sends the items of its last round with its next proposal.
    pub send_last_items: bool,
    /// The leases of the locks that a replica reads from its disk count from the start of the replica.
    pub count_leases_from_start: bool,
    /// A renewal of a lock restarts its lease.
    pub renewals_restart_leases: bool,
}

impl Guards {
    /// Removes the items that disabled safeguards would have kept in a proposal.
    pub(crate) fn filter_proposal(&self, mut items: Vec<Item>) -> Vec<Item> {
        if !self.propose_history {
            items.retain(|item| item.key.kind != ItemKind::History);
        }
        if !self.propose_superseded {
            let histories: Vec<ItemKey> =
                items.iter().map(|item| History::key(&item.key)).collect();
            items
                .retain(|item| item.key.kind != ItemKind::History || histories.contains(&item.key));
        }
        items
    }
}

impl Default for Guards {
    fn default() -> Guards {
        Guards {
            catch_up_before_voting: true,
            listen_before_joining: true,
            keep_promises: true,
            repropose_accepted: true,
            joint_quorums: true,
            sync_before_reply: true,
            keep_accepted_ballot: true,
            transfer_missing_items: true,
            evaluate_on_quorum_state: true,
            atomic_calls: true,
            evacuation_precondition: true,
            restart_outdated_rounds: true,
            replace_without_delay: true,
            contact_check: true,
            compare_accepted: true,
            tolerance_quorum: true,
            propose_history: true,
            propose_superseded: true,
            restore_history: true,
            restore_checkpoint: true,
            retention: Retention::default(),
            adaptive_timeouts: true,
            void_stale_promises: true,
            restore_after_disk_failure: true,
            bootstrap_agreement: true,
            evict_early_without_margin: true,
            send_last_items: true,
            count_leases_from_start: true,
            renewals_restart_leases: true,
        }
    }
}
