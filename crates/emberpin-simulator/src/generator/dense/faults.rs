//! The faults of a dense scenario.

use super::super::names_of;
use super::{DenseScenario, CATCH_UP_MS};

/// Replacements stop when the next machine's number would be above this.
const MAX_CORE: u8 = 60;
/// When all machines were stopped, they are started again within this time.
const MAX_RESTART_OF_ALL_MS: u64 = 1_000;

impl DenseScenario {
    pub(super) fn add_fault(&mut self) {
        match self.draw_below(100) {
            0..14 => self.kill(),
            14..26 => self.cut_power(),
            26..40 => self.wipe(),
            40..46 => self.replace(),
            46..56 => self.freeze(),
            56..68 => self.partition(),
            68..76 => self.slow_down(),
            76..80 => self.stall_disk(),
            80..84 => self.stop_all(),
            84..94 => self.disturb_proxy(),
            94..96 => self.change_seeds(),
            _ => self.disturb_network(),
        }
    }

    /// Draws the duration of a fault in milliseconds; three of four faults are shorter than 2.5 s.
    fn draw_fault_duration(&mut self) -> u64 {
        match self.draw_below(4) {
            0 => self.draw_between(20, 300),
            1 | 2 => self.draw_between(300, 2_500),
            _ => self.draw_between(2_500, 9_000),
        }
    }

    fn kill(&mut self) {
        let return_at = self.now_ms + self.draw_fault_duration();
        let Some(core) = self.choose_core_for_fault(return_at) else {
            return;
        };
        self.add_step(format!("kill core-{core}"));
        self.add_step_at(return_at, format!("start core-{core}"));
        if self.chance(25) {
            // Kills it again before it has caught up with the other machines.
            let again = return_at + self.draw_between(20, 600);
            self.add_step_at(again, format!("kill core-{core}"));
            self.add_step_at(again + 200, format!("start core-{core}"));
            self.unavailable_until
                .insert(core, again + 200 + CATCH_UP_MS);
        }
    }

    fn cut_power(&mut self) {
        let return_at = self.now_ms + self.draw_fault_duration();
        let Some(core) = self.choose_core_for_fault(return_at) else {
            return;
        };
        let hard = if self.chance(50) { "hard " } else { "" };
        self.add_step(format!("power {hard}core-{core}"));
        self.add_step_at(return_at, format!("start core-{core}"));
    }

    fn wipe(&mut self) {
        let return_at = self.now_ms + self.draw_fault_duration();
        let Some(core) = self.choose_core_for_fault(return_at) else {
            return;
        };
        self.add_step(format!("wipe core-{core}"));
        // Some operators do not change the settings after the first start.
        let start = if self.has_first_seeds && self.chance(25) {
            "bootstrap"
        } else {
            "start"
        };
        self.add_step_at(return_at, format!("{start} core-{core}"));
    }

    pub(super) fn replace(&mut self) {
        if self.next_core > MAX_CORE {
            return;
        }
        let Some(core) = self.choose_core_for_fault(self.now_ms) else {
            return;
        };
        let new = self.next_core;
        self.next_core += 1;
        self.cores.retain(|other| *other != core);
        self.has_first_seeds = false;
        // A process whose seeds are all permanently removed could not reach any machine.
        self.add_step(format!("seeds{}", names_of(&self.cores)));
        self.cores.push(new);
        let until = self.unavailable_until.remove(&core).unwrap_or(self.now_ms);
        self.unavailable_until.insert(new, until);
        self.add_step(format!("replace core-{core} core-{new}"));
    }

    fn freeze(&mut self) {
        let return_at = self.now_ms + self.draw_fault_duration();
        let Some(core) = self.choose_core_for_fault(return_at) else {
            return;
        };
        self.add_step(format!("freeze core-{core}"));
        self.add_step_at(return_at, format!("thaw core-{core}"));
    }

    fn partition(&mut self) {
        let return_at = self.now_ms + self.draw_fault_duration();
        let Some(core) = self.choose_core_for_fault(return_at) else {
            return;
        };
        let others = names_of(&self.cores_except(core));
        match self.draw_below(3) {
            0 => self.add_step(format!("cut{others} > core-{core}")),
            1 => self.add_step(format!("cut core-{core} >{others}")),
            _ => self.add_step(format!("cut core-{core} |{others}")),
        }
        self.add_step_at(return_at, format!("heal core-{core}"));
    }

    /// Delays messages from a machine, to it, or both, by up to some seconds.
    fn slow_down(&mut self) {
        let return_at = self.now_ms + self.draw_fault_duration();
        let (low, spread) = (self.draw_between(50, 2_000), self.draw_between(200, 3_000));
        let Some(core) = self.choose_core_for_fault(return_at + low + spread) else {
            return;
        };
        let (others, delay) = (
            names_of(&self.cores_except(core)),
            format!("{low}ms..{}ms", low + spread),
        );
        match self.draw_below(3) {
            0 => self.add_step(format!("slow {delay}{others} > core-{core}")),
            1 => self.add_step(format!("slow {delay} core-{core} >{others}")),
            _ => self.add_step(format!("slow {delay} core-{core} |{others}")),
        }
        self.add_step_at(return_at, format!("heal core-{core}"));
    }

    pub(super) fn stall_disk(&mut self) {
        let span = self.draw_fault_duration();
        let Some(core) = self.choose_core_for_fault(self.now_ms + span) else {
            return;
        };
        self.add_step(format!("stall {span}ms core-{core}"));
    }

    /// Kills all machines or cuts their power, in some cases with lost disks up to the tolerance.
    fn stop_all(&mut self) {
        let all = self.cores.clone();
        let step = ["kill", "power", "power hard"][self.draw_below(3) as usize];
        self.add_step(format!("{step}{}", names_of(&all)));
        let return_at = self.now_ms + self.draw_between(50, MAX_RESTART_OF_ALL_MS);
        if self.chance(60) {
            while self.chance(70) {
                let Some(core) = self.choose_core_for_fault(return_at) else {
                    break;
                };
                self.add_step(format!("wipe core-{core}"));
            }
        }
        self.add_step_at(return_at, format!("start{}", names_of(&all)));
        // All machines were down, so all count as unavailable.
        for core in all {
            let until = self.unavailable_until.entry(core).or_default();
            *until = (return_at + CATCH_UP_MS).max(*until);
        }
        self.now_ms += MAX_RESTART_OF_ALL_MS;
    }

    pub(super) fn disturb_proxy(&mut self) {
        let proxy = 1 + self.draw_below(self.proxies.into());
        let (core, return_at) = (self.choose_core(), self.now_ms + self.draw_fault_duration());
        let proxy = format!("limiter-{proxy}");
        let (begin, end) = match self.draw_below(6) {
            0 => (format!("kill {proxy}"), "start"),
            1 => (format!("freeze {proxy}"), "thaw"),
            2 => (format!("cut core-{core} > {proxy}"), "heal"),
            3 => (format!("cut {proxy} > core-{core}"), "heal"),
            4 => (format!("cut core-{core} | {proxy}"), "heal"),
            _ => (format!("slow 100ms..3s core-{core} | {proxy}"), "heal"),
        };
        self.add_step(begin);
        self.add_step_at(return_at, format!("{end} {proxy}"));
    }

    /// Changes the configured seeds; at least one of the new ones is available.
    fn change_seeds(&mut self) {
        let available = self.available_cores();
        if available.is_empty() {
            return;
        }
        let mut seeds = vec![
            available[self.draw_below(available.len() as u64) as usize],
            self.choose_core(),
            self.choose_core(),
        ];
        seeds.sort_unstable();
        seeds.dedup();
        self.has_first_seeds = false;
        self.add_step(format!("seeds{}", names_of(&seeds)));
    }

    fn disturb_network(&mut self) {
        let end = self.now_ms + self.draw_between(500, 3_000);
        if self.chance(50) {
            self.add_step("answers lost 70%".into());
            self.add_step_at(end, "answers lost 0%".into());
        }
        if !self.may_be_slow {
            return;
        }
        if self.chance(50) {
            let (late, twice, delay) = (
                self.draw_below(20),
                self.draw_below(20),
                3 + self.draw_below(60),
            );
            self.add_step(format!(
                "network delay 1ms..{delay}ms late {late}% twice {twice}%"
            ));
            self.add_step_at(end, "network delay 1ms..5ms late 0% twice 0%".into());
        } else {
            let slow = 3 + self.draw_below(120);
            self.add_step(format!("disk 1ms..{slow}ms"));
            self.add_step_at(end, "disk 2ms..6ms".into());
        }
    }
}
