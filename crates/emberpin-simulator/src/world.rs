//! The one clock, the queue of what is due, and the machines.

use crate::builds::Build;
use crate::callers::{Operators, Server};
use crate::cores::Core;
use crate::ledger::Ledger;
use crate::limiters::Limiter;
use crate::net::{Frame, Net};
use crate::text::{Machine, Scenario};
use emberpin_config::Item;
use emberpin_consensus::{Message, WriteToken};
use emberpin_membership::registry::ServerReply;
use oorandom::Rand64;
use std::collections::{BTreeMap, BTreeSet};

/// What will happen. Where an incarnation is named and is over, nothing does.
#[derive(Clone, Debug)]
pub(crate) enum Due {
    /// A store's answer to its registry's question.
    Confirmed {
        core: u8,
        incarnation: u64,
        question: u64,
        age: Option<u64>,
    },
    /// A message between stores arrives.
    Consensus { from: u8, to: u8, message: Message },
    /// A disk has synced its first writes.
    Synced {
        core: u8,
        incarnation: u64,
        token: WriteToken,
        writes: usize,
    },
    /// A store wakes.
    Store { core: u8, incarnation: u64 },
    /// A registry wakes.
    Registry { core: u8, incarnation: u64 },
    /// A registry hears what is chosen from the store beside it.
    News {
        core: u8,
        incarnation: u64,
        items: Vec<Item>,
    },
    /// And how that store stands.
    Stand { core: u8, incarnation: u64 },
    /// A registry calls another one.
    Dial {
        core: u8,
        incarnation: u64,
        peer: u8,
    },
    /// Something arrives on a connection; `forth`: from its caller.
    Frame {
        conn: u64,
        forth: bool,
        frame: Box<Frame>,
    },
    /// A connection that was cut ends, if it still is.
    Untaken { conn: u64 },
    /// One side learns that a connection has ended.
    Broken {
        conn: u64,
        machine: Machine,
        incarnation: u64,
        other: Machine,
    },
    /// A limiter looks after its sessions.
    Look { limiter: u8, incarnation: u64 },
    /// A call arrives at a core machine.
    Called { call: usize, attempt: u32, core: u8 },
    /// Its answer arrives.
    OperatorAnswer {
        call: usize,
        attempt: u32,
        status: u16,
        body: String,
    },
    /// It was silent for too long, or failed.
    Again { call: usize, attempt: u32 },
    /// A server beats.
    Beat { server: String, incarnation: u32 },
    /// What a server says arrives.
    ServerCall {
        server: String,
        incarnation: u32,
        attempt: u64,
        core: u8,
        leave: bool,
        drains: bool,
        seq: u64,
    },
    /// A server is answered.
    Answered {
        server: String,
        incarnation: u32,
        attempt: u64,
        answer: ServerReply,
        drains: bool,
    },
    /// A server was not answered in time.
    Unanswered {
        server: String,
        incarnation: u32,
        attempt: u64,
    },
    /// Limiters ask cold servers for as much as they may.
    Load,
    /// What was acknowledged must be in force on machines in touch.
    Applied { what: Applied, sent: u64 },
}

/// What must be in force.
#[derive(Clone, Debug)]
pub(crate) enum Applied {
    /// Versions of items, or newer ones.
    Items(Vec<Item>),
    /// A server gets nothing new.
    Drained(String),
    /// A zone's servers get nothing.
    Evacuated(String),
}

/// A process's steady clock, and whether it stands still.
#[derive(Clone, Debug)]
pub(crate) struct Process {
    pub zone: String,
    /// Rises with each start and end.
    pub incarnation: u64,
    pub since: u64,
    base: u64,
    rate: u64,
    pub frozen: bool,
    /// What came while it stood still.
    pub waiting: Vec<Due>,
    /// When something was last done to it.
    pub trouble: u64,
    pub removed: bool,
}

impl Process {
    pub fn new(zone: &str) -> Process {
        Process {
            zone: zone.into(),
            incarnation: 0,
            since: 0,
            base: 0,
            rate: 100,
            frozen: false,
            waiting: Vec::new(),
            trouble: 0,
            removed: false,
        }
    }

    pub fn begins(&mut self, now: u64) {
        self.incarnation += 1;
        (self.since, self.base, self.frozen) = (now, 0, false);
        self.waiting.clear();
    }

    pub fn ends(&mut self) {
        self.incarnation += 1;
        self.frozen = false;
        self.waiting.clear();
    }

    pub fn local(&self, now: u64) -> u64 {
        self.base + (now - self.since) * self.rate / 100
    }

    /// When this clock shows so much, a millisecond from now at the earliest.
    pub fn when(&self, now: u64, local: u64) -> u64 {
        let at = self.since + (local.saturating_sub(self.base) * 100).div_ceil(self.rate);
        at.max(now + 1)
    }

    pub fn runs_at(&mut self, now: u64, rate: u64) {
        (self.base, self.since, self.rate) = (self.local(now), now, rate);
    }
}

pub(crate) struct World {
    pub now: u64,
    pub rand: Rand64,
    pub build: Build,
    pub tolerance: usize,
    pub cores: BTreeMap<u8, Core>,
    pub limiters: BTreeMap<u8, Limiter>,
    pub servers: BTreeMap<String, Server>,
    pub operators: Operators,
    pub ledger: Ledger,
    pub net: Net,
    /// How long a sync takes, from and below.
    pub disk: (u64, u64),
    pub loaded: bool,
    /// Of a hundred answers to operators, so many are lost.
    pub answers_lost: u64,
    /// The seeds that processes are told at their start, if others than the first machines.
    pub seeds: Option<Vec<u8>>,
    due: BTreeMap<(u64, u64), Due>,
    number: u64,
    /// What went wrong first.
    pub wrong: Option<String>,
    /// Events that were played.
    pub events: u64,
}

impl World {
    pub fn new(scenario: &Scenario, build: Build) -> World {
        let mut world = World {
            now: 1,
            rand: Rand64::new(u128::from(scenario.seed) + 1),
            build,
            tolerance: scenario.tolerance,
            cores: BTreeMap::new(),
            limiters: BTreeMap::new(),
            servers: BTreeMap::new(),
            operators: Operators::default(),
            ledger: Ledger::default(),
            net: Net::default(),
            disk: (2, 6),
            loaded: false,
            answers_lost: 0,
            seeds: None,
            due: BTreeMap::new(),
            number: 0,
            wrong: None,
            events: 0,
        };
        let zone =
            |number: u8| scenario.zones[usize::from(number - 1) % scenario.zones.len()].as_str();
        for number in 1..=scenario.cores {
            world
                .cores
                .insert(number, Core::new(Process::new(zone(number))));
        }
        for number in 1..=scenario.limiters {
            world
                .limiters
                .insert(number, Limiter::new(Process::new(zone(number))));
        }
        for number in 1..=scenario.cores {
            world.start_core(number, true);
        }
        for number in 1..=scenario.limiters {
            world.start_limiter(number);
        }
        world
    }

    /// Drawn, below this.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.rand.rand_range(0..bound.max(1))
    }

    pub fn between(&mut self, span: (u64, u64)) -> u64 {
        span.0 + self.below(span.1.saturating_sub(span.0))
    }

    pub fn at(&mut self, at: u64, due: Due) {
        self.number += 1;
        self.due.insert((at.max(self.now), self.number), due);
    }

    pub fn fail(&mut self, what: impl Into<String>) {
        let now = self.now as f64 / 1000.0;
        self.wrong
            .get_or_insert_with(|| format!("at {now}s: {}", what.into()));
    }

    pub fn process(&mut self, machine: Machine) -> Option<&mut Process> {
        match machine {
            Machine::Core(number) => self.cores.get_mut(&number).map(|core| &mut core.process),
            Machine::Limiter(number) => self
                .limiters
                .get_mut(&number)
                .map(|limiter| &mut limiter.process),
        }
    }

    pub fn runs(&self, machine: Machine) -> bool {
        match machine {
            Machine::Core(number) => self
                .cores
                .get(&number)
                .is_some_and(|core| core.up.is_some()),
            Machine::Limiter(number) => self
                .limiters
                .get(&number)
                .is_some_and(|limiter| limiter.up.is_some()),
        }
    }

    pub fn incarnation(&self, machine: Machine) -> u64 {
        match machine {
            Machine::Core(number) => self
                .cores
                .get(&number)
                .map_or(0, |core| core.process.incarnation),
            Machine::Limiter(number) => self
                .limiters
                .get(&number)
                .map_or(0, |limiter| limiter.process.incarnation),
        }
    }

    /// The core machines that are in use, as the operator's list and the settings have it.
    pub fn listed(&self) -> Vec<u8> {
        self.cores
            .iter()
            .filter(|(_, core)| !core.process.removed)
            .map(|(number, _)| *number)
            .collect()
    }

    /// The seeds that a process is told when it starts.
    pub fn told_seeds(&self) -> Vec<u8> {
        match &self.seeds {
            Some(seeds) => seeds.clone(),
            None => self.listed().into_iter().take(3).collect(),
        }
    }

    /// Lets time pass up to there, unless something goes wrong.
    pub fn run(&mut self, until: u64) {
        while self.wrong.is_none() {
            let Some(entry) = self
                .due
                .first_entry()
                .filter(|entry| entry.key().0 <= until)
            else {
                break;
            };
            self.now = self.now.max(entry.key().0);
            let due = entry.remove();
            self.events += 1;
            self.happen(due);
        }
        if self.wrong.is_none() {
            self.now = self.now.max(until);
        }
    }

    /// Whose process has to run for it.
    fn owner(&self, due: &Due) -> Option<Machine> {
        match due {
            Due::Consensus { to: core, .. }
            | Due::Synced { core, .. }
            | Due::Store { core, .. }
            | Due::Registry { core, .. }
            | Due::News { core, .. }
            | Due::Confirmed { core, .. }
            | Due::Stand { core, .. }
            | Due::Dial { core, .. }
            | Due::Called { core, .. }
            | Due::ServerCall { core, .. } => Some(Machine::Core(*core)),
            Due::Look { limiter, .. } => Some(Machine::Limiter(*limiter)),
            Due::Broken { machine, .. } => Some(*machine),
            Due::Frame { conn, forth, .. } => self.net.receiver(*conn, *forth),
            _ => None,
        }
    }

    pub fn happen(&mut self, due: Due) {
        if let Some(process) = self.owner(&due).and_then(|machine| self.process(machine)) {
            if process.frozen {
                process.waiting.push(due);
                return;
            }
        }
        match due {
            Due::Consensus { from, to, message } => self.hear_store(from, to, message),
            Due::Synced {
                core,
                incarnation,
                token,
                writes,
            } => self.synced(core, incarnation, token, writes),
            Due::Store { core, incarnation } => self.wake_store(core, incarnation),
            Due::Registry { core, incarnation } => self.wake_registry(core, incarnation),
            Due::News {
                core,
                incarnation,
                items,
            } => self.news(core, incarnation, items),
            Due::Confirmed {
                core,
                incarnation,
                question,
                age,
            } => self.confirmed(core, incarnation, question, age),
            Due::Stand { core, incarnation } => self.stand(core, incarnation),
            Due::Dial {
                core,
                incarnation,
                peer,
            } => self.dial(core, incarnation, peer),
            Due::Frame { conn, forth, frame } => self.arrive(conn, forth, *frame),
            Due::Untaken { conn } => self.untaken(conn),
            Due::Broken {
                conn,
                machine,
                incarnation,
                other,
            } => self.broken(conn, machine, incarnation, other),
            Due::Look {
                limiter,
                incarnation,
            } => self.look(limiter, incarnation),
            Due::Called {
                call,
                attempt,
                core,
            } => self.called(call, attempt, core),
            Due::OperatorAnswer {
                call,
                attempt,
                status,
                body,
            } => self.told(call, attempt, status, &body),
            Due::Again { call, attempt } => self.again(call, attempt),
            Due::Beat {
                server,
                incarnation,
            } => self.beat(&server, incarnation),
            Due::ServerCall {
                server,
                incarnation,
                attempt,
                core,
                leave,
                drains,
                seq,
            } => {
                self.server_said(&server, incarnation, attempt, core, leave, drains, seq);
            }
            Due::Answered {
                server,
                incarnation,
                attempt,
                answer,
                drains,
            } => {
                self.server_answered(&server, incarnation, attempt, answer, drains);
            }
            Due::Unanswered {
                server,
                incarnation,
                attempt,
            } => self.server_unanswered(&server, incarnation, attempt),
            Due::Load => self.load(),
            Due::Applied { what, sent } => self.applied(&what, sent),
        }
    }

    // ---- faults

    /// Something was done to these.
    pub fn troubled(&mut self, machines: &[Machine]) {
        let now = self.now;
        for machine in machines {
            if let Some(process) = self.process(*machine) {
                process.trouble = process.trouble.max(now);
            }
        }
    }

    pub fn start(&mut self, machine: Machine) {
        match machine {
            Machine::Core(number) => self.start_core(number, false),
            Machine::Limiter(number) => self.start_limiter(number),
        }
    }

    /// Starts with settings that say that the system starts for the first time.
    pub fn bootstrap(&mut self, machine: Machine) {
        if let Machine::Core(number) = machine {
            self.start_core(number, true);
        }
    }

    /// The machine's disk answers nothing before that time.
    pub fn stall(&mut self, machine: Machine, until: u64) {
        if let Machine::Core(number) = machine {
            if let Some(core) = self.cores.get_mut(&number) {
                core.stalled_until = until;
                core.process.trouble = until;
            }
        }
    }

    /// The process ends. `silent`: nobody is told, as the machine has no power.
    pub fn stop(&mut self, machine: Machine, silent: bool) {
        match machine {
            Machine::Core(number) => {
                let Some(core) = self.cores.get_mut(&number) else {
                    return;
                };
                core.up = None;
                core.process.ends();
            }
            Machine::Limiter(number) => {
                let Some(limiter) = self.limiters.get_mut(&number) else {
                    return;
                };
                limiter.up = None;
                limiter.process.ends();
            }
        }
        self.break_all(machine, silent);
    }

    pub fn power(&mut self, machine: Machine, hard: bool) {
        let kept = self.rand.rand_u64();
        if let Some(core) = match machine {
            Machine::Core(number) => self.cores.get_mut(&number),
            Machine::Limiter(_) => None,
        } {
            core.lose_power(if hard { None } else { Some(kept) });
        }
        self.stop(machine, true);
    }

    pub fn wipe(&mut self, machine: Machine) {
        if let Machine::Core(number) = machine {
            if let Some(core) = self.cores.get_mut(&number) {
                core.wipe();
            }
        }
        self.stop(machine, true);
    }

    pub fn replace(&mut self, old: u8, new: u8) {
        let Some(core) = self.cores.get(&old) else {
            return;
        };
        let process = Process::new(&core.process.zone);
        self.wipe(Machine::Core(old));
        if let Some(core) = self.cores.get_mut(&old) {
            core.process.removed = true;
        }
        self.cores.insert(new, Core::new(process));
        self.start_core(new, false);
        self.troubled(&[Machine::Core(old), Machine::Core(new)]);
    }

    pub fn freeze(&mut self, machine: Machine) {
        if self.runs(machine) {
            self.process(machine)
                .into_iter()
                .for_each(|process| process.frozen = true);
        }
    }

    pub fn thaw(&mut self, machine: Machine) {
        let Some(process) = self.process(machine).filter(|process| process.frozen) else {
            return;
        };
        process.frozen = false;
        let waiting = std::mem::take(&mut process.waiting);
        let now = self.now;
        waiting.into_iter().for_each(|due| self.at(now, due));
    }

    /// All trouble ends.
    pub fn calm(&mut self) {
        self.heal(&[]);
        self.net.lose_nothing();
        self.net.calm();
        self.disk = (2, 6);
        self.answers_lost = 0;
        let machines = self.cores.keys().map(|number| Machine::Core(*number));
        let machines: Vec<Machine> = machines
            .chain(self.limiters.keys().map(|number| Machine::Limiter(*number)))
            .collect();
        for machine in machines {
            self.thaw(machine);
            self.start(machine);
        }
        self.ledger.slow = false;
    }

    // ---- in touch

    /// Whether a limiter was in touch for `contact`, as the rules have it.
    pub fn in_touch(&self, limiter: u8) -> bool {
        const CONTACT: u64 = 3_000;
        let Some(one) = self.limiters.get(&limiter).filter(|one| one.up.is_some()) else {
            return false;
        };
        let recent =
            |process: &Process| process.trouble > 0 && self.now < process.trouble + CONTACT;
        let calm = |process: &Process| !process.frozen && !recent(process);
        let late = self.net.slow_until > 0 && self.now < self.net.slow_until + CONTACT;
        let settled =
            self.cores.values().all(|core| !recent(&core.process)) && !self.ledger.slow && !late;
        if !calm(&one.process) || !settled || self.now < one.process.since + CONTACT {
            return false;
        }
        let listed = self.listed();
        let up: BTreeSet<u8> = listed
            .iter()
            .copied()
            .filter(|core| self.runs(Machine::Core(*core)) && !self.cores[core].process.frozen)
            .collect();
        let joined = |one: Machine, other: Machine| {
            !self.net.is_cut(one, other)
                && !self.net.is_cut(other, one)
                && !self.net.is_slow(one, other)
        };
        let reaches = |core: &&u8| {
            let near = up
                .iter()
                .filter(|other| joined(Machine::Core(**core), Machine::Core(**other)));
            near.count() > listed.len() / 2
        };
        let majority: Vec<&u8> = up.iter().filter(reaches).collect();
        let path = |core: &&u8| joined(Machine::Limiter(limiter), Machine::Core(**core));
        !majority.is_empty() && majority.iter().all(path)
    }
}
