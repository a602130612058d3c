//! Draws dense scenarios: several kinds of faults at once and repeated, over hundreds of changes.
//!
//! Never more machines are lost at once than `tolerance` says. A machine is lost while it is down, frozen, slowed or
//! partitioned, and for [`SYNC_TIME_MS`] after that; one that is replaced, until its successor has had that time. All
//! machines may be killed or lose power at one moment, and come back within a second.

use super::{names_of, ROSTER_COMPLETE_MS, ROSTER_MS_PER_MACHINE, ROUTES, SERVICES, ZONES};
use oorandom::Rand64;
use std::collections::BTreeMap;
use std::fmt::Write;

/// Makes the draws of a seed differ from those of its wide scenario.
const SEED_MASK: u128 = 0xde_0000;
/// `sync_time`: for how long a machine still counts as lost after its return.
const SYNC_TIME_MS: u64 = 4_000;
/// Machines that were all killed come back within this.
const RETURN_OF_ALL_MS: u64 = 1_000;
/// How long a zone's servers are left without requests after an evacuation: they may begin to warm up meanwhile.
const EVACUATION_PAUSE_MS: u64 = 200;
/// The most servers of a run.
const MAX_SERVERS: u64 = 14;
/// The first server's port.
const FIRST_PORT: u64 = 2_000;
/// No machine gets a higher number than one above this by a replacement.
const MAX_CORE: u8 = 60;
/// How many of a hundred moments of a faulty time change a server.
const SERVER_PERCENT: u64 = 8;
/// From how many of the latest versions one is drawn that is used again.
const REUSED_VERSIONS: usize = 30;

/// A version of a route that a patch set or dropped.
#[derive(Clone, Copy, Debug)]
struct RouteVersion {
    route: u64,
    version: u64,
}

/// A patch or evacuation that can be repeated.
#[derive(Clone, Debug)]
struct SentCall {
    operator: String,
    /// The version that it gave a route, if it is about one.
    route: Option<RouteVersion>,
}

/// A dense scenario as it is drawn.
struct DenseScenario {
    random: Rand64,
    /// By their time, in the order in which they were drawn.
    steps: BTreeMap<u64, Vec<String>>,
    now_ms: u64,
    cores: Vec<u8>,
    next_core: u8,
    /// Until when a machine counts as lost.
    lost_until: BTreeMap<u8, u64>,
    proxies: u8,
    tolerance: usize,
    last_version: u64,
    calls: u64,
    sent_calls: Vec<SentCall>,
    servers: u64,
    /// Messages between stores may be late and disks slow, so that the run asserts nothing with a time limit.
    may_be_slow: bool,
}

impl DenseScenario {
    // ---- draws and steps

    fn draw_below(&mut self, bound: u64) -> u64 {
        self.random.rand_range(0..bound.max(1))
    }

    fn draw_between(&mut self, low: u64, high: u64) -> u64 {
        low + self.draw_below(high - low)
    }

    fn chance(&mut self, percent: u64) -> bool {
        self.draw_below(100) < percent
    }

    fn add_step_at(&mut self, at_ms: u64, step: String) {
        self.steps.entry(at_ms).or_default().push(step);
    }

    fn add_step(&mut self, step: String) {
        self.add_step_at(self.now_ms, step);
    }

    fn choose_core(&mut self) -> u8 {
        let index = self.draw_below(self.cores.len() as u64) as usize;
        self.cores[index]
    }

    fn cores_except(&self, core: u8) -> Vec<u8> {
        self.cores
            .iter()
            .copied()
            .filter(|other| *other != core)
            .collect()
    }

    // ---- which machines may be lost

    fn count_lost(&self) -> usize {
        self.lost_until
            .values()
            .filter(|until| **until > self.now_ms)
            .count()
    }

    /// Chooses a machine that may be lost now, until some time after its return; `None` if no more may be lost.
    fn lose_core(&mut self, return_at: u64) -> Option<u8> {
        if self.count_lost() >= self.tolerance {
            return None;
        }
        let lost = |core: &u8| {
            self.lost_until
                .get(core)
                .is_some_and(|until| *until > self.now_ms)
        };
        let whole: Vec<u8> = self
            .cores
            .iter()
            .copied()
            .filter(|core| !lost(core))
            .collect();
        let core = whole[self.draw_below(whole.len() as u64) as usize];
        self.lost_until.insert(core, return_at + SYNC_TIME_MS);
        Some(core)
    }

    // ---- operators

    fn choose_target(&mut self) -> String {
        match self.draw_below(6) {
            0 | 1 => String::new(),
            2 => format!("only core-{} ", self.choose_core()),
            _ => format!("via core-{} ", self.choose_core()),
        }
    }

    /// The name of an operator for a new call.
    fn next_operator(&mut self, route: Option<RouteVersion>) -> String {
        self.calls += 1;
        let operator = format!("c{}", self.calls);
        self.sent_calls.push(SentCall {
            operator: operator.clone(),
            route,
        });
        operator
    }

    fn next_version(&mut self) -> u64 {
        self.last_version += 1 + self.draw_below(3);
        self.last_version
    }

    fn add_operator_call(&mut self) {
        match self.draw_below(100) {
            0..35 => self.change_route(),
            35..50 => self.race(),
            50..68 => self.repeat_call(),
            68..76 => self.drop_item(),
            76..82 => self.reuse_version(),
            82..86 => self.send_invalid_patch(),
            86..93 => self.evacuate(),
            _ => self.read(),
        }
    }

    fn set_route(&mut self, route: u64, version: u64) {
        let (operator, target, service) = (
            self.next_operator(Some(RouteVersion { route, version })),
            self.choose_target(),
            self.draw_below(SERVICES),
        );
        let timeout = 1_000 + self.draw_below(1_000);
        self.add_step(format!(
            "operator {operator} patch {target}svc=a{service} route=r{route}:h{route}/p/:a{service} ver={version} \
             timeout={timeout}ms"
        ));
    }

    fn change_route(&mut self) {
        let (route, version) = (self.draw_below(ROUTES), self.next_version());
        self.set_route(route, version);
    }

    /// Two to eight operators send different contents under one version of a route, to several machines.
    fn race(&mut self) {
        let (route, version) = (self.draw_below(ROUTES), self.next_version());
        let now = self.now_ms;
        for racer in 0..self.draw_between(2, 9) {
            let operator = self.next_operator(Some(RouteVersion { route, version }));
            let (via, at) = (self.choose_core(), now + self.draw_below(25));
            self.add_step_at(
                at,
                format!(
                    "operator {operator} patch via core-{via} route=r{route}:h{route}/p/:a0 ver={version} \
                     timeout={}ms",
                    2_001 + racer
                ),
            );
        }
        self.now_ms += 25;
    }

    /// A call is repeated, often one of the latest.
    fn repeat_call(&mut self) {
        let count = self.sent_calls.len() as u64;
        if count == 0 {
            return;
        }
        let among = if self.chance(50) { count.min(8) } else { count };
        let index = count - 1 - self.draw_below(among);
        let operator = self.sent_calls[index as usize].operator.clone();
        let target = self.choose_target();
        self.add_step(format!("operator {operator} again {target}"));
    }

    fn drop_item(&mut self) {
        let version = self.next_version();
        let target = self.choose_target();
        if self.chance(25) {
            let (operator, service) = (self.next_operator(None), self.draw_below(SERVICES));
            return self.add_step(format!(
                "operator {operator} patch {target}dropsvc=a{service} ver={version}"
            ));
        }
        let route = self.draw_below(ROUTES);
        let operator = self.next_operator(Some(RouteVersion { route, version }));
        self.add_step(format!(
            "operator {operator} patch {target}drop=r{route} ver={version}"
        ));
        if self.chance(50) {
            self.now_ms += self.draw_between(5, 300);
            let version = self.next_version();
            self.set_route(route, version);
        }
    }

    /// Another content under an older version: alone, or in a call with something new.
    fn reuse_version(&mut self) {
        let numbered: Vec<RouteVersion> = self
            .sent_calls
            .iter()
            .rev()
            .filter_map(|call| call.route)
            .collect();
        if numbered.is_empty() {
            return;
        }
        let RouteVersion { route, version } =
            numbered[self.draw_below(numbered.len().min(REUSED_VERSIONS) as u64) as usize];
        let (operator, target) = (self.next_operator(None), self.choose_target());
        let timeout = self.draw_between(3_000, 4_000);
        let beside = if self.chance(60) {
            format!(" svc=n{}@1", self.calls)
        } else {
            String::new()
        };
        self.add_step(format!(
            "operator {operator} patch {target}route=r{route}:h{route}/p/:a0@{version}{beside} timeout={timeout}ms"
        ));
    }

    fn send_invalid_patch(&mut self) {
        let (version, target) = (self.next_version(), self.choose_target());
        let operator = self.next_operator(None);
        let what = match self.draw_below(3) {
            0 => format!("svc=b{0} route=bad{0}:h9/p/:none ver={version}", self.calls),
            // Valid alone, but another route has the same host and prefix.
            1 => format!(
                "route=x{0}:h{1}/p/:a0 ver={version}",
                self.calls,
                self.calls % ROUTES
            ),
            _ => format!("svc=a0 route=r9:h9/q/:a0 ver={version} torn"),
        };
        self.add_step(format!("operator {operator} patch {target}{what}"));
    }

    /// Begins or ends an evacuation, with several calls to different machines.
    fn evacuate(&mut self) {
        let zone = ZONES[self.draw_below(ZONES.len() as u64) as usize];
        let begin = if self.chance(50) { "begin" } else { "finish" };
        for _ in 0..self.draw_between(1, 4) {
            let (operator, target) = (self.next_operator(None), self.choose_target());
            self.add_step(format!("operator {operator} evac {zone} {begin} {target}"));
            self.now_ms += self.draw_below(30);
        }
        self.now_ms += EVACUATION_PAUSE_MS;
    }

    fn read(&mut self) {
        let target = self.choose_target();
        self.calls += 1;
        self.add_step(format!("operator g{} get {target}", self.calls));
    }

    // ---- servers

    fn add_server_step(&mut self) {
        let known = self.servers;
        let any = if known > 0 { self.draw_below(known) } else { 0 };
        match self.draw_below(7) {
            0 if known > 0 => self.add_step(format!("server s{any} drain")),
            1 if known > 0 => self.add_step(format!("server s{any} leave")),
            2 if known > 0 => {
                self.add_step(format!("server s{any} crash"));
                if known < MAX_SERVERS && self.chance(50) {
                    // Another server gets its address.
                    let at = self.now_ms + self.draw_between(2_000, 3_000);
                    self.start_server(at, FIRST_PORT + any);
                }
            }
            3 if known > 0 => {
                let (seq, to) = (1 + self.draw_below(3), self.choose_core());
                self.add_step(format!("server s{any} says up seq {seq} to core-{to}"));
            }
            _ if known < MAX_SERVERS => self.start_server(self.now_ms, FIRST_PORT + known),
            _ => {}
        }
    }

    fn start_server(&mut self, at: u64, address: u64) {
        let (number, service) = (self.servers, self.draw_below(SERVICES));
        self.servers += 1;
        let zone = ZONES[self.draw_below(ZONES.len() as u64) as usize];
        let cold = if self.chance(40) { " cold=3s" } else { "" };
        self.add_step_at(
            at,
            format!("server s{number} up svc=a{service} zone={zone} addr={address}{cold}"),
        );
    }

    // ---- faults

    fn add_fault(&mut self) {
        match self.draw_below(100) {
            0..14 => self.kill(),
            14..26 => self.cut_power(),
            26..40 => self.wipe(),
            40..46 => self.replace(),
            46..56 => self.freeze(),
            56..68 => self.partition(),
            68..76 => self.slow_down(),
            76..80 => self.stall_disk(),
            80..84 => self.end_all(),
            84..94 => self.disturb_proxy(),
            94..96 => self.change_seeds(),
            _ => self.disturb_network(),
        }
    }

    /// How long a fault lasts: mostly briefly.
    fn draw_fault_length(&mut self) -> u64 {
        match self.draw_below(4) {
            0 => self.draw_between(20, 300),
            1 | 2 => self.draw_between(300, 2_500),
            _ => self.draw_between(2_500, 9_000),
        }
    }

    fn kill(&mut self) {
        let back = self.now_ms + self.draw_fault_length();
        let Some(core) = self.lose_core(back) else {
            return;
        };
        self.add_step(format!("kill core-{core}"));
        self.add_step_at(back, format!("start core-{core}"));
        if self.chance(25) {
            // Again, before it has caught up with the others.
            let again = back + self.draw_between(20, 600);
            self.add_step_at(again, format!("kill core-{core}"));
            self.add_step_at(again + 200, format!("start core-{core}"));
            self.lost_until.insert(core, again + 200 + SYNC_TIME_MS);
        }
    }

    fn cut_power(&mut self) {
        let back = self.now_ms + self.draw_fault_length();
        let Some(core) = self.lose_core(back) else {
            return;
        };
        let hard = if self.chance(50) { "hard " } else { "" };
        self.add_step(format!("power {hard}core-{core}"));
        self.add_step_at(back, format!("start core-{core}"));
    }

    fn wipe(&mut self) {
        let back = self.now_ms + self.draw_fault_length();
        let Some(core) = self.lose_core(back) else {
            return;
        };
        self.add_step(format!("wipe core-{core}"));
        self.add_step_at(back, format!("start core-{core}"));
    }

    fn replace(&mut self) {
        if self.next_core > MAX_CORE {
            return;
        }
        let Some(core) = self.lose_core(self.now_ms) else {
            return;
        };
        let new = self.next_core;
        self.next_core += 1;
        self.cores.retain(|one| *one != core);
        // A process whose seeds are all removed for good would reach nobody.
        self.add_step(format!("seeds{}", names_of(&self.cores)));
        self.cores.push(new);
        let until = self.lost_until.remove(&core).unwrap_or(self.now_ms);
        self.lost_until.insert(new, until);
        self.add_step(format!("replace core-{core} core-{new}"));
    }

    fn freeze(&mut self) {
        let back = self.now_ms + self.draw_fault_length();
        let Some(core) = self.lose_core(back) else {
            return;
        };
        self.add_step(format!("freeze core-{core}"));
        self.add_step_at(back, format!("thaw core-{core}"));
    }

    fn partition(&mut self) {
        let back = self.now_ms + self.draw_fault_length();
        let Some(core) = self.lose_core(back) else {
            return;
        };
        let others = names_of(&self.cores_except(core));
        match self.draw_below(3) {
            0 => self.add_step(format!("cut{others} > core-{core}")),
            1 => self.add_step(format!("cut core-{core} >{others}")),
            _ => self.add_step(format!("cut core-{core} |{others}")),
        }
        self.add_step_at(back, format!("heal core-{core}"));
    }

    /// Messages from a machine, or to it, arrive seconds later.
    fn slow_down(&mut self) {
        let back = self.now_ms + self.draw_fault_length();
        let (low, more) = (self.draw_between(50, 2_000), self.draw_between(200, 3_000));
        let Some(core) = self.lose_core(back + low + more) else {
            return;
        };
        let (others, by) = (
            names_of(&self.cores_except(core)),
            format!("{low}ms..{}ms", low + more),
        );
        match self.draw_below(3) {
            0 => self.add_step(format!("slow {by}{others} > core-{core}")),
            1 => self.add_step(format!("slow {by} core-{core} >{others}")),
            _ => self.add_step(format!("slow {by} core-{core} |{others}")),
        }
        self.add_step_at(back, format!("heal core-{core}"));
    }

    fn stall_disk(&mut self) {
        let span = self.draw_fault_length();
        let Some(core) = self.lose_core(self.now_ms + span) else {
            return;
        };
        self.add_step(format!("stall {span}ms core-{core}"));
    }

    /// All machines are killed or lose power, and as many disks are lost as may be.
    fn end_all(&mut self) {
        let all = self.cores.clone();
        let word = ["kill", "power", "power hard"][self.draw_below(3) as usize];
        self.add_step(format!("{word}{}", names_of(&all)));
        let back = self.now_ms + self.draw_between(50, RETURN_OF_ALL_MS);
        if self.chance(60) {
            while self.chance(70) {
                let Some(core) = self.lose_core(back) else {
                    break;
                };
                self.add_step(format!("wipe core-{core}"));
            }
        }
        self.add_step_at(back, format!("start{}", names_of(&all)));
        // All of them were down.
        for core in all {
            let until = self.lost_until.entry(core).or_default();
            *until = (back + SYNC_TIME_MS).max(*until);
        }
        self.now_ms += RETURN_OF_ALL_MS;
    }

    fn disturb_proxy(&mut self) {
        let proxy = 1 + self.draw_below(self.proxies.into());
        let (core, back) = (self.choose_core(), self.now_ms + self.draw_fault_length());
        let (begin, end) = match self.draw_below(6) {
            0 => (
                format!("kill limiter-{proxy}"),
                format!("start limiter-{proxy}"),
            ),
            1 => (
                format!("freeze limiter-{proxy}"),
                format!("thaw limiter-{proxy}"),
            ),
            2 => (
                format!("cut core-{core} > limiter-{proxy}"),
                format!("heal limiter-{proxy}"),
            ),
            3 => (
                format!("cut core-{core} < limiter-{proxy}"),
                format!("heal limiter-{proxy}"),
            ),
            4 => (
                format!("cut core-{core} | limiter-{proxy}"),
                format!("heal limiter-{proxy}"),
            ),
            _ => (
                format!("slow 100ms..3s core-{core} | limiter-{proxy}"),
                format!("heal limiter-{proxy}"),
            ),
        };
        let begin = match begin.split_once(" < ") {
            Some((_, proxy)) => format!("cut {proxy} > core-{core}"),
            None => begin,
        };
        self.add_step(begin);
        self.add_step_at(back, end);
    }

    /// Processes are configured with other seeds, of which at least one is not lost.
    fn change_seeds(&mut self) {
        let lost = |core: &u8| {
            self.lost_until
                .get(core)
                .is_some_and(|until| *until > self.now_ms)
        };
        let whole: Vec<u8> = self
            .cores
            .iter()
            .copied()
            .filter(|core| !lost(core))
            .collect();
        if whole.is_empty() {
            return;
        }
        let mut seeds = vec![
            whole[self.draw_below(whole.len() as u64) as usize],
            self.choose_core(),
            self.choose_core(),
        ];
        seeds.sort_unstable();
        seeds.dedup();
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

    // ---- the run

    /// Faults follow each other, with calls of operators and servers between them.
    fn add_faulty_time(&mut self, span: u64) {
        let end = self.now_ms + span;
        let (fault_percent, call_percent) = (self.draw_between(10, 40), self.draw_between(30, 60));
        while self.now_ms < end {
            self.now_ms += 1 + self.draw_below(120);
            match self.draw_below(100) {
                drawn if drawn < fault_percent => self.add_fault(),
                drawn if drawn < fault_percent + call_percent => self.add_operator_call(),
                drawn if drawn < fault_percent + call_percent + SERVER_PERCENT => {
                    self.add_server_step();
                }
                _ => {}
            }
        }
    }

    /// Some machines are partitioned from the others for long, and the core machines have no other fault.
    fn add_isolation(&mut self) {
        self.now_ms = self
            .lost_until
            .values()
            .copied()
            .max()
            .unwrap_or_default()
            .max(self.now_ms)
            + 1;
        let (until, mut away) = (self.now_ms + self.draw_between(8_000, 20_000), Vec::new());
        for _ in 0..self.draw_between(1, self.tolerance as u64 + 1) {
            away.extend(self.lose_core(until));
        }
        if away.is_empty() {
            return;
        }
        let rest: Vec<u8> = self
            .cores
            .iter()
            .copied()
            .filter(|core| !away.contains(core))
            .collect();
        self.add_step(format!("cut{} |{}", names_of(&away), names_of(&rest)));
        self.add_step_at(until, format!("heal{}", names_of(&away)));
        self.add_quiet_time(until - self.now_ms);
    }

    /// The core machines have no faults.
    fn add_quiet_time(&mut self, span: u64) {
        let end = self.now_ms + span;
        while self.now_ms < end {
            self.now_ms += 1 + self.draw_below(600);
            match self.draw_below(5) {
                0 | 1 => self.add_operator_call(),
                2 => self.add_server_step(),
                3 if self.chance(20) => self.disturb_proxy(),
                _ => {}
            }
        }
    }
}

/// Draws the dense scenario of a seed.
pub(super) fn generate(seed: u64) -> String {
    let mut random = Rand64::new(u128::from(seed) ^ SEED_MASK);
    let mut one = |of: &[u8]| of[random.rand_range(0..of.len() as u64) as usize];
    let count = one(&[3, 5, 5, 5, 7]);
    let tolerance = one(&[1, 2, 3]).min((count - 1) / 2);
    let proxies = one(&[1, 2, 4, 8]);
    let may_be_slow = one(&[0, 0, 1]) == 1;
    let mut dense = DenseScenario {
        random,
        steps: BTreeMap::new(),
        now_ms: 3_000,
        cores: (1..=count).collect(),
        next_core: count + 1,
        lost_until: BTreeMap::new(),
        proxies,
        tolerance: tolerance.into(),
        last_version: 1,
        calls: 0,
        sent_calls: Vec::new(),
        servers: 0,
        may_be_slow,
    };
    dense.add_step("operator first patch svc=a0 svc=a1 svc=a2 route=r0:h0/p/:a0 ver=1".into());
    dense.now_ms = ROSTER_COMPLETE_MS + ROSTER_MS_PER_MACHINE * u64::from(count);
    for _ in 0..dense.draw_between(1, 4) {
        let span = dense.draw_between(3_000, 12_000);
        dense.add_faulty_time(span);
        match dense.draw_below(3) {
            0 => dense.add_isolation(),
            1 => {
                let span = dense.draw_between(4_000, 9_000);
                dense.add_quiet_time(span);
            }
            _ => {}
        }
    }
    let mut text = format!(
        "cores {count}\nlimiters {proxies}\nzones {}\ntolerance {tolerance}\nseed {seed}\n",
        ZONES.join(" ")
    );
    for (at, steps) in &dense.steps {
        for step in steps {
            let _ = writeln!(text, "at {at}ms {step}");
        }
    }
    text
}
