//! Property test of the integrity of responses: generated clients and servers communicate through a proxy process, and
//! a checker knows which bytes belong to which request. Servers split, delay, duplicate, corrupt, truncate and reset
//! their responses as generated.
//!
//! The cases are the same in every run; `EMBERPIN_ANSWER_CASES` sets how many there are.
#![allow(missing_docs, reason = "a test has no public interface")]

mod cases;
mod clients;
#[path = "../common/mod.rs"]
mod common;
mod history;
mod servers;

use cases::{case, Case};
use clients::run_client;
use common::{
    instance, item, service, Proxy, RegistrySession, RouteSpec, DEFAULT_BOUNDS, MUTATING_ROUTE,
    READONLY_ROUTE,
};
use emberpin_config::{Item, ItemKind};
use emberpin_membership::instance::{Instance, Status};
use history::SharedHistory;
use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestRng, TestRunner};
use servers::serve;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::Ipv4Addr;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::{JoinHandle, LocalSet};

/// Number of cases without `EMBERPIN_ANSWER_CASES`.
const CASES: u32 = 60;
/// Servers of each service.
const SERVERS: usize = 2;
/// Services that are sent in one message, since each message takes a round trip in the session.
const SERVICES_PER_MESSAGE: usize = 40;
const MAX_ATTEMPTS: u32 = 2;
/// Time limit of a request at a silent server.
const TIMEOUT: Duration = Duration::from_millis(600);
const LATENCY_TARGET: Duration = Duration::from_millis(200);

/// A service that no case has used yet.
struct UnusedService {
    number: usize,
    listeners: Vec<TcpListener>,
}

/// The proxy, its registry session, and the services that it is configured with.
struct Harness {
    proxy: Proxy,
    session: RegistrySession,
    /// Number of the last service that was prepared.
    number: usize,
    unused_services: VecDeque<UnusedService>,
    /// The removal of the services sent last, which is sent together with the next ones.
    removals: (Vec<Item>, Vec<Instance>),
    /// The statuses of all responses so far.
    statuses: Vec<u16>,
}

impl Harness {
    /// The tombstones of a service's routes.
    fn route_tombstones(number: usize) -> Vec<Item> {
        [format!("r{number}"), format!("w{number}")]
            .iter()
            .map(|name| item(ItemKind::Route, name, 2, None))
            .collect()
    }

    /// A service and its routes. Each case has a service of its own, whose decision module has learned nothing.
    fn service_items(number: usize) -> Vec<Item> {
        let (read, write) = (format!("r{number}"), format!("w{number}"));
        let times = RouteSpec {
            timeout: TIMEOUT,
            latency_target: LATENCY_TARGET,
            max_attempts: MAX_ATTEMPTS,
            ..READONLY_ROUTE
        };
        let (service_name, read_prefix, write_prefix) = (
            format!("s{number}"),
            format!("/{read}/"),
            format!("/{write}/"),
        );
        let reading = RouteSpec {
            name: &read,
            prefix: &read_prefix,
            service: &service_name,
            ..times
        };
        let writing = RouteSpec {
            name: &write,
            prefix: &write_prefix,
            kind: MUTATING_ROUTE.kind,
            ..reading
        };
        vec![
            service(&service_name, 1, 10.0),
            reading.item(),
            writing.item(),
        ]
    }

    /// Sends the next services, and the removal of those before.
    async fn prepare(&mut self) {
        let (mut items, mut instances) = std::mem::take(&mut self.removals);
        for _ in 0..SERVICES_PER_MESSAGE {
            self.number += 1;
            let number = self.number;
            let mut listeners = Vec::new();
            for index in 0..SERVERS {
                let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
                    .await
                    .expect("bound");
                let address = listener.local_addr().expect("bound");
                let known = instance(&format!("i{number}-{index}"), address);
                let known = Instance {
                    service: format!("s{number}"),
                    ..known
                };
                self.removals.1.push(Instance {
                    status: Status::Removed,
                    seq: 2,
                    ..known.clone()
                });
                instances.push(known);
                listeners.push(listener);
            }
            items.extend(Harness::service_items(number));
            self.removals.0.extend(Harness::route_tombstones(number));
            self.unused_services
                .push_back(UnusedService { number, listeners });
        }
        self.session.send_changes(items, instances).await;
    }

    async fn run_case(&mut self, case: Case) -> Result<(), String> {
        if self.unused_services.is_empty() {
            self.prepare().await;
        }
        let UnusedService { number, listeners } =
            self.unused_services.pop_front().expect("prepared");
        let history = SharedHistory::default();
        history.borrow_mut().actions = case.actions.into();
        let serving: Vec<JoinHandle<()>> = listeners
            .into_iter()
            .map(|listener| tokio::task::spawn_local(serve(listener, history.clone())))
            .collect();
        let to = self.proxy.http;
        let numbered = case.clients.into_iter().enumerate();
        let clients: Vec<_> = numbered
            .map(|(client, requests)| {
                tokio::task::spawn_local(run_client(to, requests, number, client, history.clone()))
            })
            .collect();
        let mut failed = None;
        for client in clients {
            match client
                .await
                .map_err(|error| error.to_string())
                .and_then(|done| done)
            {
                Ok(statuses) => self.statuses.extend(statuses),
                Err(violation) => failed = Some(violation),
            }
        }
        serving.iter().for_each(JoinHandle::abort);
        failed.map_or(Ok(()), Err)
    }
}

/// Guards each step of forwarding a response: `response_belongs`, the checks of idle connections, `outcome`, framing
/// and buffering, `BodyInterrupted`, and the decisions whether a request may have run and may be retried.
#[test]
fn no_client_receives_a_byte_of_another_response() {
    let cases = std::env::var("EMBERPIN_ANSWER_CASES")
        .ok()
        .and_then(|cases| cases.parse().ok())
        .unwrap_or(CASES);
    let config = Config {
        cases,
        failure_persistence: None,
        max_shrink_iters: 8,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let local = LocalSet::new();
    let harness = local.block_on(&runtime, async {
        // The proxy is not ready without a server; no case uses this one.
        let unused = instance("i0", (Ipv4Addr::LOCALHOST, 1).into());
        let (proxy, session) =
            Proxy::start_ready(DEFAULT_BOUNDS, Harness::service_items(0), vec![unused]).await;
        Harness {
            proxy,
            session,
            number: 0,
            unused_services: VecDeque::new(),
            removals: (vec![], vec![]),
            statuses: vec![],
        }
    });
    let harness = RefCell::new(harness);
    let result = TestRunner::new_with_rng(config, rng).run(&case(), |case| {
        let mut harness = harness.borrow_mut();
        local
            .block_on(&runtime, harness.run_case(case))
            .map_err(TestCaseError::fail)
    });
    if let Err(failed) = result {
        panic!("{failed}");
    }
    let statuses = &harness.borrow().statuses;
    let served = statuses.iter().filter(|status| **status == 200).count();
    println!("{} requests, {served} served", statuses.len());
    // More than a quarter of the responses must be successes, or the checks would prove little.
    assert!(
        served * 4 > statuses.len(),
        "{served} of {}",
        statuses.len()
    );
}
