//! The schedule of requests. It is drawn completely from the scenario and its seed before the run starts, so that the
//! same seed gives the same schedule. Only retries depend on the responses.

use crate::figures::{Class, CLASSES, PLANS};
use crate::scenario::{Fault, Scenario};
use crate::trace::{Micros, RequestId, SECOND};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, LogNormal};

/// Maximum number of requests (the first and its retries) of one arrival; [`RequestId`] numbers them consecutively.
pub const MAX_REQUESTS: u32 = 16;
/// Maximum work of a request, as a multiple of the mean of its class.
const MAX_WORK_FACTOR: f64 = 10.0;

/// A customer.
#[derive(Clone, Debug, PartialEq)]
pub struct Customer {
    /// The customer's account number, below 2^33.
    pub account: u64,
    /// Index of the customer's plan.
    pub plan: usize,
    /// The first limiter of the set that the customer uses; the set consists of limiters with consecutive numbers.
    pub first: usize,
    /// Number of limiters in the set.
    pub spread: usize,
    /// Weight of the customer in the total demand.
    weight: f64,
    /// Phase of the customer's periodic shifts between its limiters, in shift intervals.
    phase: f64,
    /// Times at which a fault moves the customer to the next limiter of its set.
    moves: Vec<Micros>,
}

impl Customer {
    /// The position in the customer's set of the limiter that gets most of its requests at this time, not yet reduced
    /// modulo [`spread`](Customer::spread). `shift` is the interval of the periodic shifts.
    pub fn busiest_limiter(&self, at: Micros, shift: Micros) -> usize {
        let shift_count = (at as f64 / shift.max(1) as f64 + self.phase) as usize;
        let moves = self
            .moves
            .iter()
            .filter(|moved_at| **moved_at <= at)
            .count();
        shift_count + moves
    }
}

/// One piece of work that a client wants done, with up to [`MAX_REQUESTS`] requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// When its first request is sent.
    pub at: Micros,
    /// Index of the customer.
    pub customer: u32,
    /// Index of the class.
    pub class: usize,
    /// Work in core milliseconds at reference speed.
    pub work: f64,
    /// The number of the idempotency key; an arrival that repeats another has the key of the other.
    pub key: u32,
    /// Time limit of each request.
    pub time_limit: Micros,
    /// The limiter for its first request, counted from [`Customer::first`].
    pub limiter_index: usize,
    /// The client cancels its first request after this time, if set.
    pub cancels_after: Option<Micros>,
    /// Whether the client honours `Retry-After`.
    pub honors_retry_after: bool,
    /// Factor on the mean backoff between its requests.
    pub backoff_factor: f64,
}

impl Arrival {
    /// The class of the request.
    pub fn class(&self) -> &'static Class {
        &CLASSES[self.class]
    }
}

/// All customers and arrivals of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct Schedule {
    /// The customers, by index.
    pub customers: Vec<Customer>,
    /// The arrivals, in order of time.
    pub arrivals: Vec<Arrival>,
    /// The core speed of each server.
    pub speeds: Vec<f64>,
    /// A random prefix that distinguishes the ids of this run on the wire from those of other runs.
    pub run_tag: u32,
}

impl Schedule {
    /// Draws the schedule of a scenario.
    pub fn draw(scenario: &Scenario) -> Schedule {
        let mut rng = ChaCha8Rng::seed_from_u64(scenario.seed);
        let run_tag = rng.random();
        let [slow, fast] = scenario.site.speed;
        let speeds = (0..scenario.site.servers)
            .map(|_| slow + (fast - slow) * rng.random::<f64>())
            .collect();
        let customers = customers(scenario, &mut rng);
        let mut arrivals = arrivals(scenario, &customers, &mut rng);
        repeat_keys(scenario, &customers, &mut arrivals, &mut rng);
        Schedule {
            customers,
            arrivals,
            speeds,
            run_tag,
        }
    }

    /// The arrival of a request.
    pub fn arrival(&self, request_id: RequestId) -> Option<&Arrival> {
        self.arrivals.get((request_id.0 / MAX_REQUESTS) as usize)
    }

    /// The `Req-Id` header of a request.
    pub fn id(&self, request_id: RequestId) -> String {
        format!("{:08x}{:08x}", self.run_tag, request_id.0)
    }

    /// Parses a `Req-Id` header; `None` if it belongs to no arrival of this run.
    pub fn parse_id(&self, id: &str) -> Option<RequestId> {
        let (run_tag, number) = id.split_at_checked(8)?;
        let is_own = number.len() == 8 && u32::from_str_radix(run_tag, 16).ok()? == self.run_tag;
        let request_id = RequestId(u32::from_str_radix(number, 16).ok()?);
        (is_own && self.arrival(request_id).is_some()).then_some(request_id)
    }

    /// The request that a server's response was made for; the body begins with the request's id.
    pub fn request_of_body(&self, body: &[u8]) -> Option<RequestId> {
        self.parse_id(std::str::from_utf8(body.get(..16)?).ok()?)
    }

    /// The `Idempotency-Key` header of the key with this number.
    pub fn key(&self, key: u32) -> String {
        format!("{:08x}{key:024x}", self.run_tag)
    }
}

/// The mean number of quota units that a request takes.
fn mean_units(scenario: &Scenario) -> f64 {
    let load = &scenario.load;
    let status = 1.0 - load.submit - load.release;
    status * CLASSES[0].units + load.submit * CLASSES[1].units + load.release * CLASSES[2].units
}

fn customers(scenario: &Scenario, rng: &mut ChaCha8Rng) -> Vec<Customer> {
    let units = scenario.load.rate * mean_units(scenario);
    let mut customers = Vec::new();
    for (index, plan) in PLANS.iter().enumerate() {
        let count = (units * plan.share / (plan.rate * scenario.load.usage))
            .round()
            .clamp(1.0, 100_000.0);
        for _ in 0..count as usize {
            let limiters = scenario.site.limiters;
            let spread = rng.random_range(limiters.min(2)..=limiters.min(4));
            customers.push(Customer {
                account: rng.random_range(0..1 << 33),
                plan: index,
                first: rng.random_range(0..limiters),
                spread,
                weight: plan.rate * rng.random_range(0.5..1.5),
                phase: rng.random_range(0.0..16.0),
                moves: Vec::new(),
            });
        }
    }
    for timed in &scenario.faults {
        if let Fault::CustomersMove { share } = timed.fault {
            customers
                .iter_mut()
                .filter(|_| rng.random_bool(share))
                .for_each(|c| c.moves.push(timed.at));
        }
    }
    customers
}

fn arrivals(scenario: &Scenario, customers: &[Customer], rng: &mut ChaCha8Rng) -> Vec<Arrival> {
    let total: f64 = customers.iter().map(|customer| customer.weight).sum();
    let mut cumulative_weights = Vec::with_capacity(customers.len());
    let mut sum = 0.0;
    for customer in customers {
        sum += customer.weight / total;
        cumulative_weights.push(sum);
    }
    let load_factor = |at: Micros| -> f64 {
        let active_factors = scenario
            .faults
            .iter()
            .filter_map(|timed| match timed.fault {
                Fault::LoadSpike { times, length }
                    if (timed.at..timed.at + length).contains(&at) =>
                {
                    Some(times)
                }
                _ => None,
            });
        active_factors.product()
    };
    let mut arrivals = Vec::new();
    // Arrival times by thinning: drawn at the maximum rate, and kept with the probability (current rate / maximum
    // rate). The maximum is that of the rates at time 0 and at the start of each fault.
    let change_times = scenario.faults.iter().map(|timed| timed.at).chain([0]);
    let max_factor = change_times.map(load_factor).fold(1.0, f64::max);
    let mut at = 0.0;
    loop {
        at += exponential(1.0 / (scenario.load.rate * max_factor), rng);
        let now = (at * SECOND as f64) as Micros;
        if now >= scenario.length {
            break;
        }
        if rng.random::<f64>() * max_factor >= load_factor(now) {
            continue;
        }
        let roll: f64 = rng.random();
        let customer = cumulative_weights
            .partition_point(|weight| *weight < roll)
            .min(customers.len() - 1);
        arrivals.push(arrival(scenario, customers, customer, now, rng));
    }
    for timed in &scenario.faults {
        let Fault::CustomerFloods {
            plan,
            times,
            length,
        } = timed.fault
        else {
            continue;
        };
        let customer = customers.iter().position(|customer| customer.plan == plan);
        let Some(customer) = customer.filter(|_| times > 0.0) else {
            continue;
        };
        let gap = mean_units(scenario) / (PLANS[plan].rate * times);
        let mut at = timed.at as f64 / SECOND as f64;
        let end = ((timed.at + length).min(scenario.length)) as f64 / SECOND as f64;
        loop {
            at += exponential(gap, rng);
            if at >= end {
                break;
            }
            let drawn = arrival(
                scenario,
                customers,
                customer,
                (at * SECOND as f64) as Micros,
                rng,
            );
            arrivals.push(Arrival {
                honors_retry_after: false,
                ..drawn
            });
        }
    }
    arrivals.sort_by_key(|arrival| arrival.at);
    for (index, arrival) in arrivals.iter_mut().enumerate() {
        arrival.key = index as u32;
    }
    arrivals
}

fn arrival(
    scenario: &Scenario,
    customers: &[Customer],
    customer: usize,
    at: Micros,
    rng: &mut ChaCha8Rng,
) -> Arrival {
    let load = &scenario.load;
    let roll: f64 = rng.random();
    let class = match roll {
        roll if roll < load.release => 2,
        roll if roll < load.release + load.submit => 1,
        _ => 0,
    };
    let [min, max] = load.time_limit;
    let time_limit = CLASSES[class].deadline as f64 * (min + (max - min) * rng.random::<f64>());
    // Log-normal with mean 1 and a coefficient of variation of 0.8, the value that the users state.
    let variance = (1.0f64 + 0.8 * 0.8).ln();
    let work_factor =
        LogNormal::new(-variance / 2.0, variance.sqrt()).map_or(1.0, |d| d.sample(rng));
    let busiest_limiter =
        customers[customer].busiest_limiter(at, (load.shift_s * SECOND as f64) as Micros);
    let offset = if rng.random_bool(0.7) {
        0
    } else {
        rng.random_range(0..customers[customer].spread)
    };
    Arrival {
        at,
        customer: customer as u32,
        class,
        work: CLASSES[class].work * load.work * work_factor.min(MAX_WORK_FACTOR),
        key: 0,
        time_limit: time_limit as Micros,
        limiter_index: (busiest_limiter + offset) % customers[customer].spread,
        cancels_after: rng
            .random_bool(load.cancel_share)
            .then(|| (time_limit * rng.random_range(0.1..0.9)) as Micros),
        honors_retry_after: rng.random_bool(load.honor_share),
        backoff_factor: rng.random_range(0.5..1.5),
    }
}

/// Adds arrivals that repeat an earlier arrival of the same customer under the same key.
fn repeat_keys(
    scenario: &Scenario,
    customers: &[Customer],
    arrivals: &mut Vec<Arrival>,
    rng: &mut ChaCha8Rng,
) {
    let load = &scenario.load;
    if load.repeat_keys == 0.0 {
        return;
    }
    let [soonest, latest] = load.repeat_after_ms;
    let mut repeats = Vec::new();
    for first in arrivals.iter().filter(|arrival| arrival.class == 1) {
        if rng.random_bool(load.repeat_keys) {
            let after = soonest + (latest - soonest) * rng.random::<f64>();
            let limiter_index = rng.random_range(0..customers[first.customer as usize].spread);
            repeats.push(Arrival {
                at: first.at + (after * 1000.0) as Micros,
                limiter_index,
                ..first.clone()
            });
        }
    }
    // An arrival's key stays its index from before this sort; the new index only determines the ids of its requests.
    arrivals.append(&mut repeats);
    arrivals.sort_by_key(|arrival| arrival.at);
}

fn exponential(mean: f64, rng: &mut ChaCha8Rng) -> f64 {
    Exp::new(1.0 / mean).map_or(mean, |d| d.sample(rng))
}

#[cfg(test)]
mod tests {
    use super::*;

    fn scenario(text: &str) -> Scenario {
        let head = "name = \"t\"\nabout = \"t\"\nseed = 5\nseconds = 20\n";
        Scenario::parse("t", &format!("{head}{text}")).expect("valid scenario")
    }

    #[test]
    fn the_same_seed_gives_the_same_schedule_and_another_seed_another() {
        let mut scenario = scenario("[load]\nrepeat_keys = 0.3\n");
        let drawn = Schedule::draw(&scenario);
        assert_eq!(drawn, Schedule::draw(&scenario));
        scenario.seed += 1;
        assert_ne!(drawn, Schedule::draw(&scenario));
    }

    #[test]
    fn the_demand_matches_the_scenario() {
        let drawn = Schedule::draw(&scenario("[load]\nrate = 200\n"));
        assert!(
            (3600..4400).contains(&drawn.arrivals.len()),
            "{}",
            drawn.arrivals.len()
        );
        let submits = drawn
            .arrivals
            .iter()
            .filter(|arrival| arrival.class == 1)
            .count();
        assert!((0.3..0.42).contains(&(submits as f64 / drawn.arrivals.len() as f64)));
        assert!(drawn.arrivals.is_sorted_by_key(|arrival| arrival.at));
        for arrival in &drawn.arrivals {
            let customer = &drawn.customers[arrival.customer as usize];
            assert!(
                arrival.limiter_index < customer.spread
                    && arrival.time_limit <= arrival.class().deadline
            );
            assert!(arrival.work > 0.0 && arrival.work <= MAX_WORK_FACTOR * arrival.class().work);
        }
    }

    #[test]
    fn a_load_spike_multiplies_the_arrivals_while_it_lasts() {
        let text =
            "[load]\nrate = 100\n[[fault]]\nat_s = 5\nwhat = \"rush\"\ntimes = 3\nfor_s = 10\n";
        let drawn = Schedule::draw(&scenario(text));
        let inside = drawn
            .arrivals
            .iter()
            .filter(|a| (5 * SECOND..15 * SECOND).contains(&a.at))
            .count();
        assert!((2600..3400).contains(&inside), "{inside}");
        assert!((800..1200).contains(&(drawn.arrivals.len() - inside)));
    }

    #[test]
    fn a_flooding_customer_uses_a_multiple_of_its_quota() {
        let text =
            "[load]\nrate = 20\n[[fault]]\nat_s = 0\nwhat = \"firm-hammers\"\nplan = \"mellan\"\ntimes = 20\nfor_s = 20\n";
        let drawn = Schedule::draw(&scenario(text));
        let customer = drawn
            .customers
            .iter()
            .position(|c| c.plan == 1)
            .expect("a customer of plan 1") as u32;
        let own = drawn.arrivals.iter().filter(|a| a.customer == customer);
        let units: f64 = own.map(|a| a.class().units).sum();
        assert!((2400.0..4600.0).contains(&units), "{units}");
    }

    #[test]
    fn repeats_have_the_key_of_the_original() {
        let drawn = Schedule::draw(&scenario("[load]\nrepeat_keys = 0.5\n"));
        let mut keys: Vec<u32> = drawn.arrivals.iter().map(|a| a.key).collect();
        keys.sort_unstable();
        let all = keys.len();
        keys.dedup();
        let repeated = all - keys.len();
        assert!(repeated * 5 > all / 2, "{repeated} of {all}");
        let id = drawn.id(RequestId(17));
        assert_eq!(drawn.parse_id(&id), Some(RequestId(17)));
        assert_eq!(drawn.parse_id("00000000ffffffff"), None);
        assert_eq!(drawn.parse_id("å"), None);
    }
}
