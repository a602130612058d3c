//! Generates dense scenarios: several kinds of faults at once and repeated, over hundreds of changes.
//!
//! At most `tolerance` machines are unavailable at once. A machine is unavailable while it is down, frozen, slowed or
//! partitioned, and for [`CATCH_UP_MS`] after that; a replaced machine is unavailable until its successor has had that
//! time. As an exception, all machines may be killed or lose power at the same time, and are started again within a
//! second.

mod faults;
mod operators;
mod servers;
mod targeted;

use super::{names_of, ZONES};
use oorandom::Rand64;
use std::collections::BTreeMap;
use std::fmt::Write;
use targeted::roster_complete_ms;

/// Makes the random numbers of a dense scenario differ from those of the seed's wide scenario.
const SEED_MASK: u128 = 0xde_0000;
/// For how long a machine counts as unavailable after its return, while it catches up (`sync_time`).
const CATCH_UP_MS: u64 = 4_000;
/// Percentage of the draws in a fault period that add a step of a server.
const SERVER_PERCENT: u64 = 8;

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
    /// The route and version in a call about a single route.
    route: Option<RouteVersion>,
}

/// A dense scenario while it is generated.
struct DenseScenario {
    /// The source of all random choices.
    random: Rand64,
    /// The steps by time, and in the order of generation.
    steps: BTreeMap<u64, Vec<String>>,
    /// The time of the next step, in milliseconds since the start of the run.
    now_ms: u64,
    /// The number of core machines at the start.
    initial_cores: u8,
    /// The numbers of the core machines in use.
    cores: Vec<u8>,
    /// The number of the machine that the next replacement starts.
    next_core: u8,
    /// Whether the settings of processes still contain the seeds of the first start.
    has_first_seeds: bool,
    /// The time until which each machine counts as unavailable.
    unavailable_until: BTreeMap<u8, u64>,
    /// The number of proxies.
    proxies: u8,
    /// The maximum number of machines that are unavailable at once.
    tolerance: usize,
    /// The highest version that a call used.
    last_version: u64,
    /// The number of calls.
    calls: u64,
    /// The calls that can be repeated.
    sent_calls: Vec<SentCall>,
    /// The number of servers that were started.
    servers: u64,
    /// Whether messages between stores may be late and disks slow. The run does not check time limits then.
    may_be_slow: bool,
}

impl DenseScenario {
    // ---- draws and steps

    /// A number below `bound`; 0 if `bound` is 0.
    fn draw_below(&mut self, bound: u64) -> u64 {
        self.random.rand_range(0..bound.max(1))
    }

    /// A number from `low` to below `high`.
    fn draw_between(&mut self, low: u64, high: u64) -> u64 {
        low + self.draw_below(high - low)
    }

    /// True with a probability of `percent` in a hundred.
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
        let others = self.cores.iter().copied();
        others.filter(|other| *other != core).collect()
    }

    // ---- availability of machines

    fn unavailable_count(&self) -> usize {
        self.unavailable_until
            .values()
            .filter(|until| **until > self.now_ms)
            .count()
    }

    fn available_cores(&self) -> Vec<u8> {
        let is_unavailable = |core: &u8| {
            let unavailable_until = self.unavailable_until.get(core);
            unavailable_until.is_some_and(|until| *until > self.now_ms)
        };
        let cores = self.cores.iter().copied();
        cores.filter(|core| !is_unavailable(core)).collect()
    }

    /// Chooses a machine for a fault that ends at `return_at`, and marks it unavailable; `None` if the tolerance is
    /// used up.
    fn choose_core_for_fault(&mut self, return_at: u64) -> Option<u8> {
        if self.unavailable_count() >= self.tolerance {
            return None;
        }
        let available = self.available_cores();
        let core = available[self.draw_below(available.len() as u64) as usize];
        self.unavailable_until.insert(core, return_at + CATCH_UP_MS);
        Some(core)
    }

    // ---- the run

    /// The text of the scenario.
    fn text(&self, seed: u64) -> String {
        let count = self.initial_cores;
        let mut text = format!(
            "cores {count}\nlimiters {}\nzones {}\ntolerance {}\nseed {seed}\n",
            self.proxies,
            ZONES.join(" "),
            self.tolerance
        );
        for (at, steps) in &self.steps {
            for step in steps {
                let _ = writeln!(text, "at {at}ms {step}");
            }
        }
        text
    }

    /// Adds a period of `span` milliseconds with faults, operator calls and server steps.
    fn add_fault_period(&mut self, span: u64) {
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

    /// Adds a long partition of some machines from the others, during which the core machines have no other fault.
    fn add_isolation(&mut self) {
        let last_return = self.unavailable_until.values().copied().max();
        self.now_ms = self.now_ms.max(last_return.unwrap_or_default()) + 1;
        let (until, mut isolated) = (self.now_ms + self.draw_between(8_000, 20_000), Vec::new());
        for _ in 0..self.draw_between(1, self.tolerance as u64 + 1) {
            isolated.extend(self.choose_core_for_fault(until));
        }
        if isolated.is_empty() {
            return;
        }
        let rest = self.cores.iter().copied();
        let rest: Vec<u8> = rest.filter(|core| !isolated.contains(core)).collect();
        self.add_step(format!("cut{} |{}", names_of(&isolated), names_of(&rest)));
        self.add_step_at(until, format!("heal{}", names_of(&isolated)));
        self.add_fault_free_period(until - self.now_ms);
    }

    /// Adds a period of `span` milliseconds in which the core machines have no faults.
    fn add_fault_free_period(&mut self, span: u64) {
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

/// Generates a dense scenario with faults at random times.
pub(super) fn generate(seed: u64) -> String {
    let mut dense = first_configuration(seed, &[1, 2, 3]);
    for _ in 0..dense.draw_between(1, 4) {
        let span = dense.draw_between(3_000, 12_000);
        dense.add_fault_period(span);
        match dense.draw_below(3) {
            0 => dense.add_isolation(),
            1 => {
                let span = dense.draw_between(4_000, 9_000);
                dense.add_fault_free_period(span);
            }
            _ => {}
        }
    }
    dense.text(seed)
}

/// Generates a scenario with faults in the middle of rounds; `number` selects the pair of message kind and fault.
pub(super) fn generate_mid_round_faults(seed: u64, number: u64) -> String {
    let mut dense = first_configuration(seed, &[1, 2, 2]);
    dense.add_targeted_rounds(number);
    dense.text(seed)
}

/// Generates a scenario whose machines are replaced one after the other.
pub(super) fn generate_replacements(seed: u64) -> String {
    let mut dense = first_configuration(seed, &[1, 1, 2]);
    dense.add_replacements();
    dense.text(seed)
}

/// Starts a scenario, up to its first configuration and complete roster.
fn first_configuration(seed: u64, tolerances: &[u8]) -> DenseScenario {
    let mut random = Rand64::new(u128::from(seed) ^ SEED_MASK);
    let mut choose = |choices: &[u8]| choices[random.rand_range(0..choices.len() as u64) as usize];
    let count = choose(&[3, 5, 5, 5, 7]);
    let tolerance = choose(tolerances).min((count - 1) / 2);
    let proxies = choose(&[1, 2, 4, 8]);
    let may_be_slow = choose(&[0, 0, 1]) == 1;
    let mut dense = DenseScenario {
        random,
        steps: BTreeMap::new(),
        now_ms: 3_000,
        initial_cores: count,
        cores: (1..=count).collect(),
        next_core: count + 1,
        has_first_seeds: true,
        unavailable_until: BTreeMap::new(),
        proxies,
        tolerance: tolerance.into(),
        last_version: 1,
        calls: 0,
        sent_calls: Vec::new(),
        servers: 0,
        may_be_slow,
    };
    dense.add_step("operator first patch svc=a0 svc=a1 svc=a2 route=r0:h0/p/:a0 ver=1".into());
    dense.now_ms = roster_complete_ms(count);
    dense
}
