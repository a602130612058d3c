//! Targeted faults in the middle of rounds: messages of one kind between some stores are lost around an operator's
//! call, and meanwhile a fault is injected. Faults at random times rarely hit the few milliseconds in which a round can
//! be lost.
//!
//! Consecutive scenario numbers cycle through all pairs of a message kind and a fault, so that each pair is covered.

use super::super::{names_of, ROSTER_COMPLETE_MS, ROSTER_MS_PER_MACHINE};
use super::{DenseScenario, CATCH_UP_MS};
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
/// The scenario word for accepts that change the roster.
const ROSTER_CHANGE: &str = "seats";
/// The approximate time from a replacement to the change of the roster, in milliseconds: the new machine listens first.
const ROSTER_CHANGE_DELAY_MS: Range<u64> = 2_200..2_700;
/// Messages are lost for at most this time, in which several rounds begin.
const MAX_LOSS_MS: u64 = 700;
/// Like [`MAX_LOSS_MS`], for losses during a roster change: time for several attempts to change the roster.
const MAX_ROSTER_CHANGE_LOSS_MS: u64 = 2_000;
/// The faults that are injected during a round.
const FAULTS: [TargetedFault; 9] = [
    TargetedFault::Kill,
    TargetedFault::PowerCut,
    TargetedFault::WipedDisk,
    TargetedFault::Replacement,
    TargetedFault::Freeze,
    TargetedFault::StalledDisk,
    TargetedFault::Halves,
    TargetedFault::PowerCutOfAll,
    TargetedFault::WipedDiskAndPowerCutOfAll,
];
/// The number of rounds with a fault in a scenario.
const ROUND_COUNT: u64 = 5;
/// A fault is injected within this time after the round has begun: a round takes about 20 ms.
const INJECTION_WINDOW_MS: u64 = 45;

/// A fault that is injected while a round is in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TargetedFault {
    Kill,
    PowerCut,
    WipedDisk,
    Replacement,
    Freeze,
    StalledDisk,
    /// Half of the machines are partitioned from the others, regardless of the tolerance, since no disk is lost.
    Halves,
    /// All machines lose power.
    PowerCutOfAll,
    /// The disk of one machine is lost, and all others lose power.
    WipedDiskAndPowerCutOfAll,
}

impl DenseScenario {
    /// Adds rounds with the pair of message kind and fault that `pair` selects.
    pub(super) fn add_targeted_rounds(&mut self, pair: u64) {
        let kind = MESSAGE_KINDS[(pair % MESSAGE_KINDS.len() as u64) as usize];
        let fault = FAULTS[(pair / MESSAGE_KINDS.len() as u64 % FAULTS.len() as u64) as usize];
        // Late messages switch off the checks of time limits, because lost messages delay changes even at machines
        // without a fault.
        self.add_step("network delay 1ms..5ms late 1% twice 1%".into());
        for _ in 0..ROUND_COUNT {
            self.add_round_with_fault(kind, fault);
            let pause = self.draw_between(300, CATCH_UP_MS + 1_500);
            self.add_fault_free_period(pause);
        }
    }

    /// Adds operator calls during which messages of a kind are lost, and injects a fault meanwhile.
    fn add_round_with_fault(&mut self, kind: &str, fault: TargetedFault) {
        let joining = if kind == ROSTER_CHANGE {
            self.begin_roster_change()
        } else {
            None
        };
        let max_loss_ms = joining.map_or(MAX_LOSS_MS, |_| MAX_ROSTER_CHANGE_LOSS_MS);
        let proposer = self.choose_core();
        let mut receivers = self.cores.clone();
        let spared = self.draw_below(receivers.len() as u64) as usize;
        if self.chance(70) {
            receivers.remove(spared);
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
        self.now_ms = self.now_ms.max(begun_at) + self.draw_below(INJECTION_WINDOW_MS);
        self.inject_fault(fault, proposer);
        self.now_ms += 1 + self.draw_below(max_loss_ms);
        self.add_step("lose-nothing".into());
        if let Some(joining) = joining {
            // A machine that could not join because of lost messages counts as unavailable, like a partitioned one.
            let until = self.unavailable_until.entry(joining).or_default();
            *until = (self.now_ms + CATCH_UP_MS).max(*until);
        }
        if self.chance(60) {
            // A call at any machine, which may come before the fault ends.
            self.add_operator_call();
        }
    }

    /// Replaces a machine, and advances the time until the new one is about to join. Returns the new machine; `None` if
    /// no machine could be replaced.
    fn begin_roster_change(&mut self) -> Option<u8> {
        let joining = self.next_core;
        self.replace();
        let Range { start, end } = ROSTER_CHANGE_DELAY_MS;
        self.now_ms += self.draw_between(start, end);
        self.cores.contains(&joining).then_some(joining)
    }

    fn inject_fault(&mut self, fault: TargetedFault, proposer: u8) {
        let at_proposer = self.chance(60);
        match fault {
            TargetedFault::Kill => self.inject_at_core(proposer, at_proposer, "kill", "start"),
            TargetedFault::PowerCut => {
                self.inject_at_core(proposer, at_proposer, "power hard", "start");
            }
            TargetedFault::WipedDisk => self.inject_at_core(proposer, at_proposer, "wipe", "start"),
            TargetedFault::Freeze => self.inject_at_core(proposer, at_proposer, "freeze", "thaw"),
            TargetedFault::StalledDisk => self.stall_disk(),
            TargetedFault::Replacement => self.replace(),
            TargetedFault::Halves => self.partition_into_halves(),
            TargetedFault::PowerCutOfAll => self.cut_power_of_all(None),
            TargetedFault::WipedDiskAndPowerCutOfAll => {
                let wiped = self.choose_core_for_fault(self.now_ms);
                self.cut_power_of_all(wiped);
            }
        }
    }

    /// Injects a fault into one machine: the proposer, if that is drawn and the tolerance allows it, or another one.
    fn inject_at_core(&mut self, proposer: u8, at_proposer: bool, begin: &str, end: &str) {
        let return_at = self.now_ms + self.draw_between(20, 2_500);
        let is_free = self.available_cores().contains(&proposer);
        let core = if at_proposer && is_free && self.unavailable_count() < self.tolerance {
            self.unavailable_until
                .insert(proposer, return_at + CATCH_UP_MS);
            Some(proposer)
        } else {
            self.choose_core_for_fault(return_at)
        };
        let Some(core) = core else { return };
        self.add_step(format!("{begin} core-{core}"));
        self.add_step_at(return_at, format!("{end} core-{core}"));
    }

    fn partition_into_halves(&mut self) {
        let middle = self.cores.len() / 2;
        let (first_half, second_half) = self.cores.split_at(middle);
        let (first_half, second_half) = (names_of(first_half), names_of(second_half));
        let until = self.now_ms + self.draw_between(100, 4_000);
        self.add_step(format!("cut{first_half} |{second_half}"));
        self.add_step_at(until, format!("heal{first_half}{second_half}"));
        // A machine that lost its disk before the partition may be able to catch up only after it. Until then, no other
        // disk may be lost.
        self.mark_all_unavailable(until + CATCH_UP_MS);
    }

    /// Marks all machines unavailable until this time, so that no other fault is injected before.
    fn mark_all_unavailable(&mut self, until: u64) {
        for core in self.cores.clone() {
            let unavailable_until = self.unavailable_until.entry(core).or_default();
            *unavailable_until = until.max(*unavailable_until);
        }
    }

    /// Cuts the power of all machines and starts them again within a second; `wiped` also loses its disk.
    fn cut_power_of_all(&mut self, wiped: Option<u8>) {
        let all = self.cores.clone();
        self.add_step(format!("power hard{}", names_of(&all)));
        if let Some(core) = wiped {
            self.add_step(format!("wipe core-{core}"));
        }
        let return_at = self.now_ms + self.draw_between(50, 1_000);
        self.add_step_at(return_at, format!("start{}", names_of(&all)));
        self.mark_all_unavailable(return_at + CATCH_UP_MS);
        self.now_ms = return_at;
    }

    /// Replaces machines one after the other. The next replacement follows as soon as the tolerance allows it or up to
    /// half a minute later; in between, all machines may lose power.
    pub(super) fn add_replacements(&mut self) {
        for _ in 0..self.draw_between(2, 5) {
            self.replace();
            let pause = CATCH_UP_MS + self.draw_below(26_000);
            let end = self.now_ms + pause;
            if self.chance(30) {
                self.now_ms += self.draw_below(pause);
                self.cut_power_of_all(None);
            }
            let left = end.saturating_sub(self.now_ms).max(1);
            self.add_fault_free_period(left);
        }
    }
}

/// When the roster is complete with this many initial machines, in milliseconds.
pub(super) fn roster_complete_ms(count: u8) -> u64 {
    ROSTER_COMPLETE_MS + ROSTER_MS_PER_MACHINE * u64::from(count)
}
