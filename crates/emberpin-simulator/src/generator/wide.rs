//! Generates wide scenarios: five, seven or eleven core machines and up to forty proxies. Periods with faults alternate
//! with fault-free ones. Faults that keep the disk hit any number of machines; disks are lost one after the other.

use super::{
    names_of, ROSTER_COMPLETE_MS, ROSTER_MS_PER_MACHINE, ROUTE_COUNT, SERVICE_COUNT, ZONES,
};
use oorandom::Rand64;
use std::fmt::Write;

/// Makes the random numbers of a wide scenario differ from those of the seed's dense scenario.
const SEED_MASK: u128 = 0x5eed_0000;
/// The fault-free time after lost disks, within which their machines catch up before the next disk is lost.
const CATCH_UP_MS: u64 = 9_000;
/// The fault-free time after a replacement, within which the new machine takes the old one's place on the roster.
const REPLACEMENT_MS: u64 = 20_000;
/// The pause after the begin of an evacuation. The zone's servers get no requests and may begin to warm up meanwhile.
const EVACUATION_PAUSE_MS: u64 = 200;
/// Maximum number of servers in a scenario.
const MAX_SERVERS: u32 = 12;
/// The first server's port.
const FIRST_PORT: u32 = 2_000;
/// Replacements stop when the next machine's number would be this.
const MAX_CORE: u8 = 40;

/// A wide scenario while it is generated.
struct WideScenario {
    /// The source of all random choices.
    random: Rand64,
    /// The text generated so far.
    text: String,
    /// The time of the next step, in milliseconds since the start of the run.
    now_ms: u64,
    /// The numbers of the core machines in use.
    cores: Vec<u8>,
    /// The number of the machine that the next replacement starts.
    next_core: u8,
    /// The number of proxies.
    proxies: u8,
    /// The highest version that a call used.
    last_version: u64,
    /// The number of calls.
    calls: u32,
    /// The number of servers that were started.
    servers: u32,
    /// Whether the last generated call about each zone begins its evacuation.
    is_evacuated: [bool; ZONES.len()],
}

/// Generates the text of a seed's wide scenario.
pub(super) fn generate(seed: u64) -> String {
    let mut scenario = WideScenario {
        random: Rand64::new(u128::from(seed) ^ SEED_MASK),
        text: String::new(),
        now_ms: ROSTER_COMPLETE_MS,
        cores: Vec::new(),
        next_core: 0,
        proxies: 0,
        last_version: 1,
        calls: 0,
        servers: 0,
        is_evacuated: [false; ZONES.len()],
    };
    let count = scenario.choose(&[5u8, 5, 7, 11]);
    let tolerance = 1 + scenario.draw_below(u64::from(count - 1) / 2);
    let max_proxies = scenario.choose(&[3u64, 8, 40]);
    scenario.proxies = 1 + scenario.draw_below(max_proxies) as u8;
    scenario.cores = (1..=count).collect();
    scenario.next_core = count + 1;
    scenario.text = format!(
        "cores {count}\nlimiters {}\nzones {}\ntolerance {tolerance}\nseed {seed}\n",
        scenario.proxies,
        ZONES.join(" ")
    );
    scenario.now_ms = 3_000;
    scenario.add_step("operator first patch svc=a0 svc=a1 svc=a2 route=r0:h0/p/:a0 ver=1");
    scenario.now_ms = ROSTER_COMPLETE_MS + ROSTER_MS_PER_MACHINE * u64::from(count);
    let now_ms = scenario.now_ms;
    let _ = writeln!(scenario.text, "expect at {now_ms}ms voters {count}");
    for _ in 0..1 + scenario.draw_below(2) {
        scenario.add_fault_period(tolerance);
    }
    scenario.text
}

impl WideScenario {
    // ---- draws

    /// A number below `bound`; 0 if `bound` is 0.
    fn draw_below(&mut self, bound: u64) -> u64 {
        self.random.rand_range(0..bound.max(1))
    }

    /// True with a probability of 1 in `count`.
    fn one_in(&mut self, count: u64) -> bool {
        self.draw_below(count) == 0
    }

    fn choose<T: Copy>(&mut self, choices: &[T]) -> T {
        choices[self.draw_below(choices.len() as u64) as usize]
    }

    /// Chooses one to `max` different core machines.
    fn choose_cores(&mut self, max: u64) -> Vec<u8> {
        let (count, mut rest) = (1 + self.draw_below(max), self.cores.clone());
        let mut chosen = Vec::new();
        for _ in 0..count {
            if rest.is_empty() {
                break;
            }
            let index = self.draw_below(rest.len() as u64) as usize;
            chosen.push(rest.swap_remove(index));
        }
        chosen
    }

    fn choose_proxy(&mut self) -> u64 {
        1 + self.draw_below(self.proxies.into())
    }

    /// Chooses the sign of a link: one way in a third of the cases, otherwise both ways.
    fn choose_link_sign(&mut self) -> &'static str {
        if self.one_in(3) {
            ">"
        } else {
            "|"
        }
    }

    // ---- steps

    fn add_step(&mut self, step: &str) {
        let _ = writeln!(self.text, "at {}ms {step}", self.now_ms);
    }

    /// Advances the time by 1 ms to `below_ms`.
    fn pass_time(&mut self, below_ms: u64) {
        self.now_ms += 1 + self.draw_below(below_ms);
    }

    // ---- clients

    fn add_operator_call(&mut self) {
        self.calls += 1;
        self.last_version += 1 + self.draw_below(3);
        let (call, mut version) = (self.calls, self.last_version);
        if self.one_in(8) {
            // The patch gets an older version, so that it repeats an older patch or conflicts with it.
            version = version.saturating_sub(self.draw_below(6)).max(1);
        }
        let via = if self.one_in(3) {
            format!("via core-{} ", self.choose(&self.cores.clone()))
        } else {
            String::new()
        };
        let (route, service) = (self.draw_below(ROUTE_COUNT), self.draw_below(SERVICE_COUNT));
        let timeout = 1_000 + 100 * self.draw_below(4);
        let patch = match self.draw_below(12) {
            0..6 => format!(
                "svc=a{service} route=r{route}:h{route}/p/:a{service} ver={version} timeout={timeout}ms"
            ),
            6 => format!("drop=r{route} ver={version}"),
            7 => format!("dropsvc=a{service} ver={version}"),
            8 => format!("svc=b{call} route=bad{call}:h9/p/:none ver={version}"),
            9 => format!("svc=a0 route=r9:h9/q/:a0 ver={version} torn"),
            _ => return self.add_evacuation(&via),
        };
        self.add_step(&format!("operator c{call} patch {via}{patch}"));
    }

    fn add_evacuation(&mut self, via: &str) {
        let zone = self.draw_below(ZONES.len() as u64) as usize;
        let begins = !self.is_evacuated[zone];
        self.is_evacuated[zone] = begins;
        let (call, name) = (self.calls, ZONES[zone]);
        let change = if begins { "begin" } else { "finish" };
        self.add_step(&format!("operator c{call} evac {name} {change} {via}"));
        if begins {
            self.now_ms += EVACUATION_PAUSE_MS;
        }
    }

    fn add_server_step(&mut self) {
        let known = self.servers;
        let change = match self.draw_below(6) {
            0 if known > 0 => "drain",
            1 if known > 0 => "leave",
            2 if known > 0 => "crash",
            _ if known < MAX_SERVERS => return self.start_server(),
            _ => return,
        };
        let server = self.draw_below(known.into());
        self.add_step(&format!("server s{server} {change}"));
    }

    fn start_server(&mut self) {
        let number = self.servers;
        self.servers += 1;
        let zone = self.choose(&ZONES);
        let cold = if self.one_in(2) { " cold=3s" } else { "" };
        let service = self.draw_below(SERVICE_COUNT);
        let port = FIRST_PORT + number;
        self.add_step(&format!(
            "server s{number} up svc=a{service} zone={zone} addr={port}{cold}"
        ));
    }

    // ---- faults

    /// Adds a fault that keeps all disks, on any machines.
    fn add_fault(&mut self) {
        match self.draw_below(14) {
            0 => self.stop_some("kill"),
            1 => self.cut_power_of_some(),
            2 => self.stop_all("kill"),
            3 => self.stop_all("power"),
            4 | 5 => self.partition_cores(),
            6 => self.partition_proxy(),
            7 => self.freeze_some(),
            8 => self.disturb_proxy(),
            // Clock rates stay exact: monotonic clocks are assumed to keep time, and each process's clock starts at
            // zero.
            9 | 10 => self.disturb_network(),
            11 => {
                let max_ms = 3 + self.draw_below(60);
                self.add_step(&format!("disk 1ms..{max_ms}ms"));
            }
            _ => self.add_step("heal"),
        }
    }

    /// Stops some core machines, and in half of the cases starts them again soon.
    fn stop_some(&mut self, step: &str) {
        let some = self.choose_cores(self.cores.len() as u64);
        self.stop_and_maybe_start(step, &some);
    }

    fn cut_power_of_some(&mut self) {
        let some = self.choose_cores(self.cores.len() as u64);
        let step = if self.one_in(2) {
            "power hard"
        } else {
            "power"
        };
        self.stop_and_maybe_start(step, &some);
    }

    fn stop_and_maybe_start(&mut self, step: &str, cores: &[u8]) {
        self.add_step(&format!("{step}{}", names_of(cores)));
        if self.one_in(2) {
            self.pass_time(800);
            self.add_step(&format!("start{}", names_of(cores)));
        }
    }

    /// Stops all core machines at the same time, and starts them again within a second.
    fn stop_all(&mut self, step: &str) {
        let all = names_of(&self.cores);
        self.add_step(&format!("{step}{all}"));
        self.pass_time(900);
        self.add_step(&format!("start{all}"));
    }

    fn partition_cores(&mut self) {
        let some = self.choose_cores(self.cores.len() as u64 / 2 + 1);
        let others = self.cores.iter().copied();
        let others: Vec<u8> = others.filter(|core| !some.contains(core)).collect();
        let sign = self.choose_link_sign();
        if !others.is_empty() {
            let (some, others) = (names_of(&some), names_of(&others));
            self.add_step(&format!("cut{some} {sign}{others}"));
        }
    }

    fn partition_proxy(&mut self) {
        let some = self.choose_cores(2);
        let proxy = self.choose_proxy();
        let sign = self.choose_link_sign();
        self.add_step(&format!("cut{} {sign} limiter-{proxy}", names_of(&some)));
    }

    fn freeze_some(&mut self) {
        let some = names_of(&self.choose_cores(2));
        self.add_step(&format!("freeze{some}"));
        self.pass_time(2_500);
        self.add_step(&format!("thaw{some}"));
    }

    fn disturb_proxy(&mut self) {
        let proxy = self.choose_proxy();
        let (begin, end) =
            self.choose(&[("kill", "start"), ("power", "start"), ("freeze", "thaw")]);
        self.add_step(&format!("{begin} limiter-{proxy}"));
        self.pass_time(2_000);
        self.add_step(&format!("{end} limiter-{proxy}"));
    }

    fn disturb_network(&mut self) {
        let late = self.draw_below(15);
        let duplicate = self.draw_below(10);
        let max_delay_ms = 3 + self.draw_below(40);
        self.add_step(&format!(
            "network delay 1ms..{max_delay_ms}ms late {late}% twice {duplicate}%"
        ));
    }

    // ---- the run

    /// Adds faults for some seconds with at most `tolerance` lost disks, and then a fault-free period.
    fn add_fault_period(&mut self, tolerance: u64) {
        let end = self.now_ms + 2_000 + self.draw_below(4_000);
        // The machines whose disks will be lost in this period.
        let lost = if self.one_in(3) {
            Vec::new()
        } else {
            self.choose_cores(tolerance)
        };
        let mut lost = lost.into_iter().peekable();
        let mut has_replaced = false;
        while self.now_ms < end {
            self.pass_time(350);
            match self.draw_below(8) {
                0 | 1 => self.add_operator_call(),
                2 => self.add_server_step(),
                3 if lost.peek().is_some() => {
                    let Some(core) = lost.next() else { continue };
                    // One replacement per period: a new machine takes over a place on the roster only after a long
                    // timeout.
                    if self.one_in(4) && !has_replaced && self.next_core < MAX_CORE {
                        has_replaced = true;
                        self.replace(core);
                    } else {
                        self.wipe(core);
                    }
                }
                4..7 => self.add_fault(),
                _ => {}
            }
        }
        self.end_faults();
        self.add_fault_free_period(if has_replaced {
            REPLACEMENT_MS
        } else {
            CATCH_UP_MS
        });
    }

    fn replace(&mut self, core: u8) {
        let new = self.next_core;
        self.next_core += 1;
        self.cores.retain(|other| *other != core);
        self.cores.push(new);
        self.add_step(&format!("replace core-{core} core-{new}"));
    }

    fn wipe(&mut self, core: u8) {
        self.add_step(&format!("wipe core-{core}"));
        self.pass_time(500);
        self.add_step(&format!("start core-{core}"));
    }

    fn end_faults(&mut self) {
        self.pass_time(50);
        self.add_step("heal");
        self.add_step("network delay 1ms..5ms late 0% twice 0%");
        self.add_step("disk 2ms..6ms");
        let all = names_of(&self.cores);
        self.add_step(&format!("thaw{all} limiters"));
        self.add_step(&format!("start{all} limiters"));
    }

    fn add_fault_free_period(&mut self, length_ms: u64) {
        let until = self.now_ms + length_ms;
        while self.now_ms < until {
            self.pass_time(2_500);
            match self.draw_below(3) {
                0 => self.add_operator_call(),
                1 => self.add_server_step(),
                _ => {}
            }
        }
    }
}
