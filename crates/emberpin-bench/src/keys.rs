//! Compares the table of idempotency keys with a plain cache of the same entries (`moka`), in alternating rounds: each
//! key arrives, is served, and is requested again. The cache stores a response by key and does nothing else: it has no
//! fingerprints, does not track requests in flight, does not limit a customer's share, and does not guarantee that a
//! request that ran is remembered.

use bytes::Bytes;
use emberpin_idempotency::{
    Action, Customer, Event, Fingerprint, Form, Key, Limits, Secret, SizeInBytes, Table,
    TableReply, Ticket,
};
use emberpin_testbed::report::percentile;
use moka::sync::Cache;
use std::time::{Duration, Instant};

/// The number of customers that the keys are distributed over.
const CUSTOMERS: u32 = 100;
/// The size of a request's and a response's body in bytes.
const BODY_BYTES: usize = 256;
/// How long the table and the cache keep an entry.
const RETENTION: Duration = Duration::from_secs(60);

/// A customer's number and one of its idempotency keys.
type CustomerKey = (u64, String);
/// Runs all operations on these keys with this body, and returns the number of operations.
type Workload = fn(&[CustomerKey], &[u8]) -> u64;

#[derive(Clone)]
struct Response(Bytes);

impl SizeInBytes for Response {
    fn size_bytes(&self) -> usize {
        self.0.len()
    }
}

/// Measures the table and the cache, and prints operations a second of both.
pub fn run(keys: u32, rounds: u32) {
    let body = vec![b'b'; BODY_BYTES];
    let customer_keys: Vec<CustomerKey> = (0..keys)
        .map(|number| (u64::from(number % CUSTOMERS), format!("{number:032x}")))
        .collect();
    let (mut table, mut cache) = (Vec::new(), Vec::new());
    for round in 0..rounds {
        let mut workloads: [(&mut Vec<f64>, Workload); 2] =
            [(&mut table, run_table), (&mut cache, run_cache)];
        if round % 2 == 1 {
            workloads.reverse();
        }
        for (figures, workload) in workloads {
            let started_at = Instant::now();
            let operations = workload(&customer_keys, &body);
            figures.push(operations as f64 / started_at.elapsed().as_secs_f64());
        }
    }
    println!("{rounds} rounds of {keys} keys, each arriving, served and asked again; operations a second");
    for (name, figures) in [("table", &mut table), ("moka cache", &mut cache)] {
        figures.sort_by(f64::total_cmp);
        let quantile = |share| percentile(figures, share);
        println!(
            "{name:<12}{:>12.0}   ({:.0} to {:.0})",
            quantile(0.5),
            quantile(0.0),
            quantile(1.0)
        );
    }
}

/// Runs the keys through the table. Returns the number of operations: arrivals, outcomes and repeats.
fn run_table(customer_keys: &[CustomerKey], body: &[u8]) -> u64 {
    let limits = Limits {
        entries: customer_keys.len(),
        answer_bytes: customer_keys.len() * BODY_BYTES,
        waiters_per_key: 64,
        waiters_per_customer: 256,
        customer_share: 1.0,
        retention: RETENTION.as_secs_f64() * 1000.0,
        quiet: 0.0,
        wait: true,
        recorded: false,
    };
    let (mut table, secret) = (Table::new(limits, 0.0), Secret::new([7; 32]));
    let answer = Response(Bytes::copy_from_slice(body));
    let mut actions = Vec::new();
    let mut replayed = 0;
    let mut arrive = |table: &mut Table<Response>, ticket, (customer, name): &CustomerKey| {
        let Ok(key) = Key::parse(name, Form::QuotedOrBare) else {
            return;
        };
        let fingerprint = Fingerprint::compute(&secret, "POST", "/api", 1, body);
        let customer = Customer(*customer);
        actions.clear();
        table.handle(
            0.0,
            Event::Arrived {
                ticket,
                customer,
                key,
                fingerprint,
            },
            &mut actions,
        );
        replayed += u64::from(matches!(
            actions[..],
            [Action::Reply(_, TableReply::Replay(_))]
        ));
    };
    let mut served_actions = Vec::new();
    for (number, customer_key) in customer_keys.iter().enumerate() {
        let ticket = Ticket(number as u64);
        arrive(&mut table, ticket, customer_key);
        served_actions.clear();
        table.handle(
            0.0,
            Event::Served {
                ticket,
                answer: answer.clone(),
            },
            &mut served_actions,
        );
    }
    for (number, customer_key) in customer_keys.iter().enumerate() {
        arrive(
            &mut table,
            Ticket((customer_keys.len() + number) as u64),
            customer_key,
        );
    }
    // Every repeat must have been a replay: otherwise other operations would have been measured.
    assert_eq!(replayed, customer_keys.len() as u64, "replays");
    3 * customer_keys.len() as u64
}

/// Runs the keys through the cache. Returns the number of operations: look-ups, insertions and repeated look-ups.
fn run_cache(customer_keys: &[CustomerKey], body: &[u8]) -> u64 {
    let cache: Cache<CustomerKey, Bytes> = Cache::builder()
        .max_capacity(customer_keys.len() as u64)
        .time_to_live(RETENTION)
        .build();
    let answer = Bytes::copy_from_slice(body);
    let mut found = 0;
    for customer_key in customer_keys {
        found += u64::from(cache.get(customer_key).is_some());
        cache.insert(customer_key.clone(), answer.clone());
    }
    for customer_key in customer_keys {
        found += u64::from(cache.get(customer_key).is_some());
    }
    assert!(found <= customer_keys.len() as u64);
    3 * customer_keys.len() as u64
}
