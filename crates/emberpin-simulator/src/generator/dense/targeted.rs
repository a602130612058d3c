//! Faults in the middle of rounds: messages of one kind between some stores are lost around a call, and a fault strikes
//! one of them meanwhile. Faults at random moments rarely meet the few milliseconds in which a round can be lost.
//!
//! The seeds go through all pairs of a message kind and a fault in turn, so that each pair is covered.

use super::super::{names_of, ROSTER_COMPLETE_MS, ROSTER_MS_PER_MACHINE};
use super::{DenseScenario, SYNC_TIME_MS};
use std::ops::Range;

/// The kinds of messages between stores that a scenario can lose.
const MESSAGE_KINDS: [&str; 6] = [
    "prepare",
    "promise",
    "accept",
    "chosen",
    "exchange",
    ROSTER_CHANGE,
];
/// Accepts that change the roster.
const ROSTER_CHANGE: &str = "seats";
/// How long after a replacement the roster changes, about: the new machine listens first.
const ROSTER_CHANGE_DELAY_MS: Range<u64> = 2_200..2_700;
/// How long messages are lost, at most: some rounds, or some attempts to change the roster.
const MAX_LOSS_MS: u64 = 700;
const MAX_ROSTER_CHANGE_LOSS_MS: u64 = 2_000;
/// The faults that strike during a round.
const FAULTS: [TargetedFault; 9] = [
    TargetedFault::Kill,
    TargetedFault::PowerCut,
    TargetedFault::WipedDisk,
    TargetedFault::Replacement,
    TargetedFault::Freeze,
    TargetedFault::StalledDisk,
    TargetedFault::Halves,
    TargetedFault::EndOfAll,
    TargetedFault::WipeAndEndOfAll,
];
/// How many rounds of a scenario are struck.
const ROUNDS: u64 = 5;
/// How long after a round has begun a fault strikes, at most: a round takes some 20 ms.
const STRIKE_WINDOW_MS: u64 = 45;

/// What strikes a machine while a round is in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TargetedFault {
    Kill,
    PowerCut,
    WipedDisk,
    Replacement,
    Freeze,
    StalledDisk,
    /// Half of the machines are partitioned from the others, whatever the tolerance is: no disk is lost by it.
    Halves,
    /// All machines lose power.
    EndOfAll,
    /// The disk of one machine is lost, and all others lose power.
    WipeAndEndOfAll,
}

impl DenseScenario {
    /// Adds rounds that are struck by the pair of this number.
    pub(super) fn add_targeted_rounds(&mut self, pair: u64) {
        let kind = MESSAGE_KINDS[(pair % MESSAGE_KINDS.len() as u64) as usize];
        let fault = FAULTS[(pair / MESSAGE_KINDS.len() as u64 % FAULTS.len() as u64) as usize];
        // Late messages end time limits: lost ones delay changes at machines without a fault.
        self.add_step("network delay 1ms..5ms late 1% twice 1%".into());
        for _ in 0..ROUNDS {
            self.add_struck_round(kind, fault);
            let pause = self.draw_between(300, SYNC_TIME_MS + 1_500);
            self.add_quiet_time(pause);
        }
    }

    fn add_struck_round(&mut self, kind: &str, fault: TargetedFault) {
        let joining = if kind == ROSTER_CHANGE {
            self.begin_roster_change()
        } else {
            None
        };
        let max_loss_ms = joining.map_or(MAX_LOSS_MS, |_| MAX_ROSTER_CHANGE_LOSS_MS);
        let proposer = self.choose_core();
        let mut receivers = self.cores.clone();
        let kept = self.draw_below(receivers.len() as u64) as usize;
        if self.chance(70) {
            receivers.remove(kept);
        }
        let (senders, receivers) = if self.chance(70) {
            (names_of(&[proposer]), names_of(&receivers))
        } else {
            (names_of(&self.cores), names_of(&receivers))
        };
        self.add_step(format!("lose {kind}{senders} >{receivers}"));
        let begun_at = self.now_ms;
        for _ in 0..self.draw_between(1, 4) {
            self.add_operator_call();
        }
        let route_version = self.next_version();
        let operator = self.next_operator(None);
        self.add_step(format!(
            "operator {operator} patch via core-{proposer} route=r0:h0/p/:a0 ver={route_version}"
        ));
        self.now_ms = self.now_ms.max(begun_at) + self.draw_below(STRIKE_WINDOW_MS);
        self.strike(fault, proposer);
        self.now_ms += 1 + self.draw_below(max_loss_ms);
        self.add_step("lose-nothing".into());
        if let Some(joining) = joining {
            // While it was kept from joining, it was as good as cut off.
            let until = self.lost_until.entry(joining).or_default();
            *until = (self.now_ms + SYNC_TIME_MS).max(*until);
        }
        if self.chance(60) {
            // Another machine gets a call before the first one is back.
            self.add_operator_call();
        }
    }

    /// Replaces a machine, and waits until the new one is about to join. Returns the new one, if a machine may be lost.
    fn begin_roster_change(&mut self) -> Option<u8> {
        let joining = self.next_core;
        self.replace();
        let Range { start, end } = ROSTER_CHANGE_DELAY_MS;
        self.now_ms += self.draw_between(start, end);
        self.cores.contains(&joining).then_some(joining)
    }

    fn strike(&mut self, fault: TargetedFault, proposer: u8) {
        let at_proposer = self.chance(60);
        match fault {
            TargetedFault::Kill => self.strike_one(proposer, at_proposer, "kill", "start"),
            TargetedFault::PowerCut => {
                self.strike_one(proposer, at_proposer, "power hard", "start");
            }
            TargetedFault::WipedDisk => self.strike_one(proposer, at_proposer, "wipe", "start"),
            TargetedFault::Freeze => self.strike_one(proposer, at_proposer, "freeze", "thaw"),
            TargetedFault::StalledDisk => self.stall_disk(),
            TargetedFault::Replacement => self.replace(),
            TargetedFault::Halves => self.halve(),
            TargetedFault::EndOfAll => self.end_all_but(None),
            TargetedFault::WipeAndEndOfAll => {
                let wiped = self.lose_core(self.now_ms);
                self.end_all_but(wiped);
            }
        }
    }

    /// A fault of one machine: the proposer, if it may be lost, or another one.
    fn strike_one(&mut self, proposer: u8, at_proposer: bool, begin: &str, end: &str) {
        let return_at = self.now_ms + self.draw_between(20, 2_500);
        let is_free = self.cores_not_lost().contains(&proposer);
        let core = if at_proposer && is_free && self.count_lost() < self.tolerance {
            self.lost_until.insert(proposer, return_at + SYNC_TIME_MS);
            Some(proposer)
        } else {
            self.lose_core(return_at)
        };
        let Some(core) = core else { return };
        self.add_step(format!("{begin} core-{core}"));
        self.add_step_at(return_at, format!("{end} core-{core}"));
    }

    fn halve(&mut self) {
        let middle = self.cores.len() / 2;
        let (one, other) = self.cores.split_at(middle);
        let (one, other) = (names_of(one), names_of(other));
        let until = self.now_ms + self.draw_between(100, 4_000);
        self.add_step(format!("cut{one} |{other}"));
        self.add_step_at(until, format!("heal{one}{other}"));
        // No disk may be lost until what was lost before the cut is repaired.
        self.count_all_as_lost(until + SYNC_TIME_MS);
    }

    /// No machine may be lost before this time.
    fn count_all_as_lost(&mut self, until: u64) {
        for core in self.cores.clone() {
            let lost_until = self.lost_until.entry(core).or_default();
            *lost_until = until.max(*lost_until);
        }
    }

    /// All machines lose power and come back within a second; the disk of `wiped` is lost.
    fn end_all_but(&mut self, wiped: Option<u8>) {
        let all = self.cores.clone();
        self.add_step(format!("power hard{}", names_of(&all)));
        if let Some(core) = wiped {
            self.add_step(format!("wipe core-{core}"));
        }
        let return_at = self.now_ms + self.draw_between(50, 1_000);
        self.add_step_at(return_at, format!("start{}", names_of(&all)));
        self.count_all_as_lost(return_at + SYNC_TIME_MS);
        self.now_ms = return_at;
    }

    /// Machines are replaced one after the other, the next one as soon as the tolerance allows it or up to half a minute
    /// later, with kills of all between them.
    pub(super) fn add_replacements(&mut self) {
        for _ in 0..self.draw_between(2, 5) {
            self.replace();
            let pause = SYNC_TIME_MS + self.draw_below(26_000);
            let end = self.now_ms + pause;
            if self.chance(30) {
                self.now_ms += self.draw_below(pause);
                self.end_all_but(None);
            }
            let left = end.saturating_sub(self.now_ms).max(1);
            self.add_quiet_time(left);
        }
    }
}

/// When the roster is complete, with this many machines.
pub(super) fn roster_complete_ms(count: u8) -> u64 {
    ROSTER_COMPLETE_MS + ROSTER_MS_PER_MACHINE * u64::from(count)
}
