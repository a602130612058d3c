//! Troubles drawn from seeds, one machine at a time, as `tolerance` allows: nothing that was acknowledged is lost, and
//! afterwards all registries agree on the servers that there are.
#![allow(missing_docs, reason = "a test has no public interface")]

mod common;

use common::{World, EXPIRY};
use emberpin_membership::instance::Status;
use emberpin_membership::registry::{Event, ServerReply};
use googletest::prelude::*;
use std::collections::BTreeMap;

const SIZE: u8 = 5;
/// From an acknowledgement on, or from the end of a trouble, until a machine must know.
const KNOWS: u64 = 2_500;

#[derive(Clone, Copy, PartialEq)]
enum Trouble {
    Killed,
    Frozen,
    Cut([u8; 2], usize),
}

struct Explorer {
    world: World,
    random: oorandom::Rand32,
    /// Which machine, how, and until when.
    trouble: Option<(u8, Trouble, u64)>,
    calm_since: u64,
    names: u32,
    /// By call, at which machine, for which server, and what would be acknowledged.
    asked: BTreeMap<u64, (u8, String, Status)>,
    /// By server, what was acknowledged, and when.
    promised: BTreeMap<String, (Status, u64)>,
}

impl Explorer {
    fn new(seed: u64) -> Explorer {
        let mut world = World::new(SIZE);
        world.run(EXPIRY + 1_000);
        Explorer {
            calm_since: world.now,
            world,
            random: oorandom::Rand32::new(seed),
            trouble: None,
            names: 0,
            asked: BTreeMap::new(),
            promised: BTreeMap::new(),
        }
    }

    fn draw(&mut self, below: u32) -> u32 {
        self.random.rand_range(0..below)
    }

    fn is_well(&self, at: u8) -> bool {
        self.trouble.is_none_or(|(number, _, _)| number != at)
    }

    /// Any machine without trouble.
    fn well(&mut self) -> u8 {
        loop {
            let at = 1 + self.draw(SIZE.into()) as u8;
            if self.is_well(at) {
                return at;
            }
        }
    }

    fn begin_trouble(&mut self) {
        let at = 1 + self.draw(SIZE.into()) as u8;
        let others = [1 + at % SIZE, 1 + (at + 1) % SIZE];
        let (trouble, lasts) = match self.draw(3) {
            0 => (Trouble::Killed, 300 + u64::from(self.draw(3_000))),
            1 => (Trouble::Frozen, 300 + u64::from(self.draw(9_000))),
            _ => (
                Trouble::Cut(others, 1 + self.draw(2) as usize),
                300 + u64::from(self.draw(9_000)),
            ),
        };
        match trouble {
            Trouble::Killed => self.world.kill(at),
            Trouble::Frozen => self.world.nodes.get_mut(&at).expect("up").frozen = true,
            Trouble::Cut(others, count) => self.world.cut(at, &others[..count], true),
        }
        self.trouble = Some((at, trouble, self.world.now + lasts));
        // Servers go on where they are heard.
        let well = self.well();
        if !matches!(trouble, Trouble::Cut(..)) {
            for server in self
                .world
                .servers
                .iter_mut()
                .filter(|server| server.at == at)
            {
                server.at = well;
            }
        }
    }

    fn end_trouble(&mut self) {
        let Some((at, trouble, _)) = self.trouble.take() else {
            return;
        };
        match trouble {
            Trouble::Killed => self.world.start(at),
            Trouble::Frozen => self.world.nodes.get_mut(&at).expect("up").frozen = false,
            Trouble::Cut(others, count) => self.world.cut(at, &others[..count], false),
        }
        self.calm_since = self.world.now;
    }

    fn server_does_something(&mut self) {
        let count = self.world.servers.len() as u32;
        if count < 4 || self.draw(4) == 0 {
            self.names += 1;
            let (name, at) = (format!("s-{}", self.names), self.well());
            self.world.beats(at, &name);
            return;
        }
        let which = self.draw(count) as usize;
        let (kind, elsewhere) = (self.draw(4), self.well());
        let server = &mut self.world.servers[which];
        match kind {
            // Dies without a word.
            0 => _ = self.world.servers.swap_remove(which),
            1 => server.at = elsewhere,
            2 => {
                server.instance.seq += 1;
                server.instance.status = Status::Draining;
                let (at, instance) = (server.at, server.instance.clone());
                let id = instance.id.clone();
                let call = self.world.heartbeat(at, instance);
                self.asked.insert(call, (at, id, Status::Draining));
            }
            _ => {
                let server = self.world.servers.swap_remove(which);
                let call = self.world.leave(server.at, &server.instance.id);
                self.asked
                    .insert(call, (server.at, server.instance.id, Status::Removed));
            }
        }
    }

    /// Takes in what was acknowledged, and looks whether it is known where it must be.
    fn check(&mut self, seed: u64) -> googletest::Result<()> {
        let now = self.world.now;
        let mut answered = Vec::new();
        for (call, (at, id, status)) in &self.asked {
            let Some((when, answer)) = self
                .world
                .nodes
                .get(at)
                .and_then(|node| node.answers.get(call))
            else {
                continue;
            };
            answered.push(*call);
            if matches!(answer, ServerReply::Acknowledged { .. }) {
                let promise = self.promised.entry(id.clone()).or_insert((*status, *when));
                *promise = (*promise).max((*status, *when));
            }
        }
        answered.iter().for_each(|call| _ = self.asked.remove(call));
        for (id, (status, since)) in &self.promised {
            for at in (1..=SIZE).filter(|at| self.is_well(*at)) {
                if now >= since + 100 && now >= self.calm_since + KNOWS {
                    let known = self.world.status(at, id);
                    verify_that!(
                        (seed, at, id, known >= Some(*status)),
                        eq((seed, at, id, true))
                    )?;
                }
            }
        }
        Ok(())
    }
}

#[gtest]
fn what_was_acknowledged_outlives_any_one_machine() -> googletest::Result<()> {
    let mut promises = 0;
    for seed in 0..60 {
        let mut explorer = Explorer::new(seed);
        for _ in 0..200 {
            let begins = explorer.draw(4) == 0;
            match explorer.trouble {
                Some((_, _, until)) if explorer.world.now >= until => explorer.end_trouble(),
                None if explorer.world.now >= explorer.calm_since + KNOWS && begins => {
                    explorer.begin_trouble();
                }
                _ => {}
            }
            if explorer.draw(2) == 0 {
                explorer.server_does_something();
            }
            let pause = 20 + u64::from(explorer.draw(400));
            explorer.world.run(pause);
            explorer.check(seed)?;
        }
        promises += explorer.promised.len();
        explorer.end_trouble();
        explorer.world.run(3 * EXPIRY);
        explorer.check(seed)?;
        let there: BTreeMap<String, Status> = explorer
            .world
            .servers
            .iter()
            .map(|server| (server.instance.id.clone(), server.instance.status))
            .collect();
        for at in 1..=SIZE {
            let held = common::Held::of(&explorer.world.nodes[&at].registry);
            verify_that!((seed, at, &held), eq((seed, at, &there)))?;
        }
    }
    // It did ask for something.
    verify_that!(promises, gt(500))
}

#[gtest]
fn without_trouble_every_end_is_acknowledged() -> googletest::Result<()> {
    let mut explorer = Explorer::new(7);
    for _ in 0..300 {
        explorer.server_does_something();
        explorer.world.run(100);
        explorer.check(7)?;
    }
    explorer.world.event(1, Event::Tick);
    verify_that!(explorer.asked.len(), le(3))?;
    let lost = explorer
        .world
        .nodes
        .values()
        .flat_map(|node| node.answers.values());
    verify_that!(
        lost.filter(|(_, answer)| *answer == ServerReply::NotAcknowledged)
            .count(),
        eq(0)
    )?;
    Ok(())
}
