//! Safeguards that a test can turn off.

use emberpin_config::{History, Item, ItemKey, ItemKind, Retention};

/// Which safeguards are on. All are, outside of tests; a test turns one off to show that it detects the fault which
/// the safeguard prevents.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Guards {
    /// A replica that lost its disk does not vote before it caught up.
    pub catch_up_before_voting: bool,
    /// A replica without a place on the roster listens for a while before it asks for one.
    pub listen_before_joining: bool,
    /// A voter rejects ballots below the one that it promised.
    pub keep_promises: bool,
    /// A proposer proposes again what voters accepted earlier and may be chosen.
    pub repropose_accepted: bool,
    /// A change of the roster needs majorities of the old and of the new one.
    pub joint_quorums: bool,
    /// No message that depends on a write is sent before the write is synced.
    pub sync_before_reply: bool,
    /// A voter keeps the ballot of its accepted proposal when it clears the items.
    pub keep_accepted_ballot: bool,
    /// Chosen items that a voter lacks are sent along with a proposal.
    pub transfer_missing_items: bool,
    /// A call is judged on what a majority knows, not on what this replica knew before its round.
    pub evaluate_on_quorum_state: bool,
    /// Of a call that is rejected, no item is chosen.
    pub atomic_calls: bool,
    /// An evacuation changes nothing unless it is as its caller was told.
    pub evacuation_precondition: bool,
    /// A replica that is no voter begins a round again at once if its ballot was outdated.
    pub restart_outdated_rounds: bool,
    /// A replica takes the place of a voter that is gone, whether or not others may be gone too.
    pub replace_without_delay: bool,
    /// A call is rejected early if no majority answers.
    pub contact_check: bool,
    /// Comparisons include what a voter has accepted and does not know to be chosen.
    pub compare_accepted: bool,
    /// An acknowledged item is on the disks of a majority, and on more disks than may be lost.
    pub tolerance_quorum: bool,
    /// Digests of the versions below the newest one of an item are kept.
    pub propose_history: bool,
    /// So are those of versions that were already superseded when their call was acknowledged.
    pub propose_superseded: bool,
    /// Histories are read from the disk at a start.
    pub restore_history: bool,
    /// So are checkpoints, which say what is known of removed tombstones.
    pub restore_checkpoint: bool,
    /// How many versions and tombstones are kept. Not a safeguard, but tests need less retention.
    pub retention: Retention,
    /// Timeouts follow the measured delays, and unanswered messages are sent again.
    pub adaptive_timeouts: bool,
    /// A promise does not count if its voter has lost its disk since.
    pub void_stale_promises: bool,
    /// After a disk failed, replies that waited for it are dropped, and all of memory is synced before the next vote.
    pub restore_after_disk_failure: bool,
    /// A seed that starts for the first time asks the other seeds before it writes a first roster.
    pub bootstrap_agreement: bool,
    /// An unresponsive voter is evicted early when the others could not bear a further loss.
    pub evict_early_without_margin: bool,
    /// A leader sends the items of its last round with its next proposal.
    pub send_last_items: bool,
    /// A replica that starts counts the leases of locks from its start.
    pub count_holds_from_start: bool,
    /// A renewal of a lock begins its hold anew.
    pub renewals_restart_leases: bool,
}

impl Guards {
    /// Removes the items that a disabled safeguard leaves out of a proposal.
    pub(crate) fn filter_proposal(&self, mut items: Vec<Item>) -> Vec<Item> {
        if !self.propose_history {
            items.retain(|item| item.key.kind != ItemKind::History);
        }
        if !self.propose_superseded {
            let newer: Vec<ItemKey> = items.iter().map(|item| History::key(&item.key)).collect();
            items.retain(|item| item.key.kind != ItemKind::History || newer.contains(&item.key));
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
            count_holds_from_start: true,
            renewals_restart_leases: true,
        }
    }
}
