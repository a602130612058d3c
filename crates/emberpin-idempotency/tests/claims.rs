//! Claims of several limiters over a simulated network that delays, loses and cuts, with kills, restarts and logs,
//! drawn from seeds. No key may be forwarded twice within its retention period, every request must get exactly one
//! reply, and once all faults are healed new keys must be served.
#![allow(missing_docs, reason = "a test has no public interface")]

use emberpin_idempotency::claims::*;
use emberpin_idempotency::{
    Customer, Fingerprint, Form, Key, Limits, Millis, Record, Secret, SizeInBytes, TableReply,
    Ticket,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

#[derive(Clone, Debug, PartialEq)]
enum Answer {
    Served(u64),
    Rejected,
    Failed,
}

impl SizeInBytes for Answer {
    fn size_bytes(&self) -> usize {
        8
    }
}

const RETENTION: Millis = 20_000.0;
const CLIENT_TIMEOUT: Millis = 500.0;
const KEYS: u64 = 3;

/// xorshift64*: a seed gives the same run on every machine.
struct Random(u64);

impl Random {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 ^= self.0 >> 12;
        self.0 ^= self.0 << 25;
        self.0 ^= self.0 >> 27;
        self.0.wrapping_mul(0x2545_f491_4f6c_dd1d) % bound.max(1)
    }
}

fn limits(recorded: bool, quiet: Millis) -> Limits {
    Limits {
        entries: 1000,
        answer_bytes: 8000,
        waiters_per_key: 50,
        waiters_per_customer: 80,
        customer_share: 1.0,
        retention: RETENTION,
        quiet,
        wait: true,
        recorded,
    }
}

fn claim_config(me: u32, limiters: u32, copies: usize) -> ClaimConfig {
    ClaimConfig {
        me: Member(me),
        members: (0..limiters).map(Member).collect(),
        copies,
        ask_within: 200.0,
        slack: 300.0,
        waiters_per_key: 50,
        max_queued_outcomes: 100,
        takeover_enabled: false,
        first_claim: 0,
    }
}

fn key(n: u64) -> Key {
    Key::parse(&format!("k{n}"), Form::QuotedOrBare).expect("a key")
}

struct Node {
    claims: Option<Claims<Answer>>,
    /// Durable records.
    log: Vec<Record<Answer>>,
    /// Records that are being written.
    writing: VecDeque<(Record<Answer>, Option<Ticket>)>,
    /// Requests that were forwarded here and have no outcome yet, with the number of their key.
    in_flight: Vec<(Ticket, u64)>,
}

struct Cluster {
    copies: usize,
    logs: bool,
    now: Millis,
    random: Random,
    nodes: Vec<Node>,
    connections: BTreeMap<(usize, usize), VecDeque<Message<Answer>>>,
    cut: BTreeSet<(usize, usize)>,
    next_ticket: u64,
    /// Requests without a reply, by limiter and ticket: the number of the key, and when the client times out.
    unanswered: BTreeMap<(usize, Ticket), (u64, Millis)>,
    /// The same for all requests since the start.
    all_requests: BTreeMap<(usize, Ticket), (u64, Millis)>,
    /// When the request of a key may last have run.
    last_ran_at: BTreeMap<u64, Millis>,
    forwarded_twice: Option<u64>,
    served: u64,
    replies: BTreeMap<&'static str, u64>,
    messages: u64,
}

impl Cluster {
    fn new(seed: u64, limiters: u32, copies: usize, logs: bool) -> Cluster {
        let mut cluster = Cluster {
            copies,
            logs,
            now: 0.0,
            random: Random(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1),
            nodes: Vec::new(),
            connections: BTreeMap::new(),
            cut: BTreeSet::new(),
            next_ticket: 0,
            unanswered: BTreeMap::new(),
            all_requests: BTreeMap::new(),
            last_ran_at: BTreeMap::new(),
            forwarded_twice: None,
            served: 0,
            replies: BTreeMap::new(),
            messages: 0,
        };
        for n in 0..limiters {
            let claims = Claims::new(claim_config(n, limiters, copies), limits(logs, 0.0), 0.0);
            cluster.nodes.push(Node {
                claims: Some(claims),
                log: Vec::new(),
                writing: VecDeque::new(),
                in_flight: Vec::new(),
            });
        }
        cluster.report_reachability();
        cluster
    }

    /// Reports to each limiter which others it can reach. Messages on broken connections are lost.
    fn report_reachability(&mut self) {
        for a in 0..self.nodes.len() {
            for b in 0..self.nodes.len() {
                if a != b {
                    let reachable = self.nodes[b].claims.is_some()
                        && !self.cut.contains(&(a, b))
                        && !self.cut.contains(&(b, a));
                    if !reachable {
                        self.connections.remove(&(a, b));
                    }
                    self.handle_at(
                        a,
                        Event::Reachable {
                            member: Member(b as u32),
                            reachable,
                        },
                    );
                }
            }
        }
    }

    fn handle_at(&mut self, at: usize, event: Event<Answer>) {
        let Some(claims) = self.nodes[at].claims.as_mut() else {
            return;
        };
        let mut actions = Vec::new();
        claims.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Forward(ticket) => self.forward(at, ticket),
                Action::Hold(_) | Action::Drop(_) => {}
                Action::Reply(ticket, reply) => {
                    assert!(
                        self.unanswered.remove(&(at, ticket)).is_some(),
                        "a second reply to {ticket:?} at {at}"
                    );
                    let kind = match reply {
                        Reply::NoMajority => "no majority",
                        Reply::Standard(TableReply::Own(_)) => "own",
                        Reply::Standard(TableReply::Replay(_)) => "replay",
                        Reply::Standard(TableReply::Unknown) => "unknown",
                        Reply::Standard(_) => "other",
                    };
                    *self.replies.entry(kind).or_default() += 1;
                }
                Action::Record(record, ticket) => {
                    self.nodes[at].writing.push_back((record, ticket));
                }
                Action::Send(to, message) => {
                    self.messages += 1;
                    self.connections
                        .entry((at, to.0 as usize))
                        .or_default()
                        .push_back(message);
                }
            }
        }
    }

    fn forward(&mut self, at: usize, ticket: Ticket) {
        // The client may have disconnected, if a repeat waits for the request.
        let (key, until) = self.all_requests[&(at, ticket)];
        self.start_attempt(at, ticket, key, until);
    }

    fn start_attempt(&mut self, at: usize, ticket: Ticket, key: u64, until: Millis) {
        if self.now >= until {
            // As in the host, no attempt starts for a client that has timed out.
            return self.handle_at(
                at,
                Event::Rejected {
                    ticket,
                    answer: Answer::Rejected,
                },
            );
        }
        if self
            .last_ran_at
            .get(&key)
            .is_some_and(|last_ran_at| self.now < last_ran_at + RETENTION)
        {
            self.forwarded_twice = Some(key);
        }
        self.last_ran_at.insert(key, self.now);
        self.nodes[at].in_flight.push((ticket, key));
    }

    fn arrive(&mut self, at: usize, number: u64) {
        if self.nodes[at].claims.is_none() {
            return;
        }
        self.next_ticket += 1;
        let ticket = Ticket(self.next_ticket);
        let until = self.now + CLIENT_TIMEOUT;
        self.unanswered.insert((at, ticket), (number, until));
        self.all_requests.insert((at, ticket), (number, until));
        let fingerprint =
            Fingerprint::compute(&Secret::new([1; 32]), "POST", "/", 1, &number.to_le_bytes());
        let (customer, key) = (Customer(number % 2), key(number));
        self.handle_at(
            at,
            Event::Arrived {
                ticket,
                customer,
                key,
                fingerprint,
                within: CLIENT_TIMEOUT,
            },
        );
    }

    /// Delivers the oldest message of a random connection.
    fn deliver(&mut self) {
        let nonempty: Vec<(usize, usize)> = self
            .connections
            .iter()
            .filter(|(connection, message)| !message.is_empty() && !self.cut.contains(connection))
            .map(|(connection, _)| *connection)
            .collect();
        if nonempty.is_empty() {
            return;
        }
        let (from, to) = nonempty[self.random.below(nonempty.len() as u64) as usize];
        let message = self
            .connections
            .get_mut(&(from, to))
            .and_then(VecDeque::pop_front)
            .expect("one");
        self.handle_at(
            to,
            Event::Received {
                from: Member(from as u32),
                message,
            },
        );
    }

    fn complete_write(&mut self, at: usize) {
        if let Some((record, ticket)) = self.nodes[at].writing.pop_front() {
            self.nodes[at].log.push(record);
            if let Some(ticket) = ticket {
                self.handle_at(at, Event::Written { ticket });
            }
        }
    }

    fn finish(&mut self, at: usize) {
        if self.nodes[at].in_flight.is_empty() {
            return;
        }
        let which = self.random.below(self.nodes[at].in_flight.len() as u64) as usize;
        let (ticket, key) = self.nodes[at].in_flight.remove(which);
        let event = match self.random.below(6) {
            0 => {
                // Known never to have run.
                self.last_ran_at.remove(&key);
                Event::Rejected {
                    ticket,
                    answer: Answer::Rejected,
                }
            }
            1 => {
                self.last_ran_at.insert(key, self.now);
                Event::Failed {
                    ticket,
                    answer: Answer::Failed,
                }
            }
            _ => {
                self.served += 1;
                self.last_ran_at.insert(key, self.now);
                Event::Served {
                    ticket,
                    answer: Answer::Served(key),
                }
            }
        };
        self.handle_at(at, event);
    }

    fn kill(&mut self, at: usize) {
        if self.nodes[at].claims.take().is_none() {
            return;
        }
        // Any number of the pending records has become durable, in order.
        let kept = self.random.below(self.nodes[at].writing.len() as u64 + 1);
        for _ in 0..kept {
            if let Some((record, _)) = self.nodes[at].writing.pop_front() {
                self.nodes[at].log.push(record);
            }
        }
        self.nodes[at].writing.clear();
        // Requests in flight may have run until now.
        for (_, key) in std::mem::take(&mut self.nodes[at].in_flight) {
            self.last_ran_at.insert(key, self.now);
        }
        self.unanswered.retain(|(node, _), _| *node != at);
        self.connections.retain(|(a, b), _| *a != at && *b != at);
        self.report_reachability();
    }

    fn start(&mut self, at: usize) {
        if self.nodes[at].claims.is_some() {
            return;
        }
        let limiters = self.nodes.len() as u32;
        let quiet = if self.logs { 0.0 } else { RETENTION };
        let mut claims = Claims::new(
            claim_config(at as u32, limiters, self.copies),
            limits(self.logs, quiet),
            self.now,
        );
        if self.logs {
            for record in &self.nodes[at].log {
                claims.table_mut().restore(record.clone(), true);
            }
        }
        claims.table_mut().finish_restore();
        self.nodes[at].claims = Some(claims);
        for other in (0..self.nodes.len()).filter(|other| *other != at) {
            self.handle_at(
                other,
                Event::NewIncarnation {
                    member: Member(at as u32),
                },
            );
        }
        self.report_reachability();
    }

    fn pass_time(&mut self, time: Millis) {
        self.now += time;
        let late: Vec<(usize, Ticket)> = self
            .unanswered
            .iter()
            .filter(|(_, (_, until))| *until <= self.now)
            .map(|(name, _)| *name)
            .collect();
        for (at, ticket) in late {
            self.unanswered.remove(&(at, ticket));
            self.handle_at(at, Event::ClientLeft { ticket });
        }
        for at in 0..self.nodes.len() {
            self.handle_at(at, Event::Tick);
        }
    }

    fn step(&mut self) {
        let nodes = self.nodes.len() as u64;
        let (a, b) = (
            self.random.below(nodes) as usize,
            self.random.below(nodes) as usize,
        );
        match self.random.below(100) {
            0..=14 => {
                let number = self.random.below(KEYS);
                self.arrive(a, number);
            }
            15..=54 => self.deliver(),
            55..=69 => self.complete_write(a),
            70..=79 => self.finish(a),
            80..=89 => {
                let time = self.random.below(120) as f64;
                self.pass_time(time);
            }
            90..=92 => self.kill(a),
            93..=95 => self.start(a),
            96 | 97 if a != b => {
                self.cut.insert((a, b));
                self.report_reachability();
            }
            _ => {
                self.cut.clear();
                self.report_reachability();
            }
        }
    }

    /// Heals all faults, restarts all limiters, and delivers all messages.
    fn heal_and_drain(&mut self) {
        self.cut.clear();
        for at in 0..self.nodes.len() {
            self.start(at);
        }
        self.report_reachability();
        // Longer than a holder keeps a claim without an outcome.
        for _ in 0..90 {
            for _ in 0..100 {
                self.deliver();
            }
            for at in 0..self.nodes.len() {
                while !self.nodes[at].writing.is_empty() {
                    self.complete_write(at);
                }
                while let Some((ticket, key)) = self.nodes[at].in_flight.pop() {
                    self.served += 1;
                    self.last_ran_at.insert(key, self.now);
                    self.handle_at(
                        at,
                        Event::Served {
                            ticket,
                            answer: Answer::Served(key),
                        },
                    );
                }
            }
            self.pass_time(10.0);
        }
    }
}

fn seeds() -> u64 {
    std::env::var("CLAIMS_SEEDS")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(120)
}

fn explore(limiters: u32, copies: usize, logs: bool) -> BTreeMap<&'static str, u64> {
    let mut all = BTreeMap::new();
    for seed in 0..seeds() {
        let mut cluster = Cluster::new(seed, limiters, copies, logs);
        for _ in 0..300 {
            cluster.step();
            assert_eq!(
                cluster.forwarded_twice, None,
                "seed {seed}: a key was forwarded twice"
            );
        }
        cluster.heal_and_drain();
        assert_eq!(
            cluster.forwarded_twice, None,
            "seed {seed}: a key was forwarded twice"
        );
        assert!(
            cluster.unanswered.is_empty(),
            "seed {seed}: {:?} without a reply",
            cluster.unanswered
        );
        if logs {
            // After any faults a new key is served at each limiter, and its request runs once.
            for at in 0..limiters as usize {
                let (number, served) = (100 + at as u64, cluster.served);
                cluster.arrive(at, number);
                cluster.arrive(at, number);
                cluster.arrive((at + 1) % limiters as usize, number);
                cluster.heal_and_drain();
                assert_eq!(cluster.served, served + 1, "seed {seed}: a new key at {at}");
                assert!(cluster.unanswered.is_empty(), "seed {seed}");
            }
        }
        for (kind, count) in cluster.replies {
            *all.entry(kind).or_default() += count;
        }
    }
    all
}

#[test]
fn three_limiters_with_logs_forward_no_key_twice_and_serve_new_keys_after_faults() {
    let replies = explore(3, 3, true);
    // Rejecting all requests would pass the checks so far, so most must be served or get the first one's outcome.
    let count_of = |kind| replies.get(kind).copied().unwrap_or(0);
    assert!(
        count_of("own") > 2 * seeds() && count_of("replay") > 4 * seeds(),
        "{replies:?}"
    );
}

#[test]
fn five_limiters_with_three_holders_and_a_single_limiter_forward_no_key_twice() {
    explore(5, 3, true);
    explore(1, 1, true);
}

#[test]
fn without_logs_a_restarted_limiter_is_quiet_for_a_retention_and_no_key_is_forwarded_twice() {
    explore(3, 3, false);
}

/// Two of three limiters, with the third one down, have each granted the key to themselves. The lower claim gets it,
/// and the other client gets the replay.
#[test]
fn a_split_vote_is_decided_for_the_lower_claim() {
    let mut cluster = Cluster::new(1, 3, 3, true);
    cluster.kill(2);
    cluster.arrive(0, 1);
    cluster.arrive(1, 1);
    for at in [0, 1] {
        while !cluster.nodes[at].writing.is_empty() {
            cluster.complete_write(at);
        }
    }
    for _ in 0..100 {
        cluster.deliver();
        for at in [0, 1] {
            cluster.complete_write(at);
        }
    }
    assert_eq!(
        cluster
            .nodes
            .iter()
            .map(|node| node.in_flight.len())
            .sum::<usize>(),
        1
    );
    cluster.heal_and_drain();
    assert_eq!(
        (
            cluster.served,
            cluster.replies.get("own"),
            cluster.replies.get("replay")
        ),
        (1, Some(&1), Some(&1))
    );
}

/// A claim that was withdrawn in favour of another must be requested again when the other one ends without an outcome.
#[test]
fn a_withdrawn_claim_is_requested_again_after_the_other_one_ends() {
    let mut cluster = Cluster::new(1, 3, 3, true);
    cluster.kill(2);
    cluster.arrive(0, 1);
    cluster.arrive(1, 1);
    for at in [0, 1] {
        while !cluster.nodes[at].writing.is_empty() {
            cluster.complete_write(at);
        }
    }
    // Each learns that the other one has its own grant. Limiter 1 withdraws its claim, and its release is on its way to
    // 0.
    for connection in [(1, 0), (0, 1), (0, 1)] {
        if let Some(message) = cluster
            .connections
            .get_mut(&connection)
            .and_then(VecDeque::pop_front)
        {
            cluster.handle_at(
                connection.1,
                Event::Received {
                    from: Member(connection.0 as u32),
                    message,
                },
            );
        }
    }
    let lead = *cluster
        .unanswered
        .keys()
        .find(|(at, _)| *at == 0)
        .expect("the lead at 0");
    cluster.unanswered.remove(&lead);
    cluster.handle_at(0, Event::ClientLeft { ticket: lead.1 });
    cluster.heal_and_drain();
    assert_eq!((cluster.served, cluster.replies.get("own")), (1, Some(&1)));
}

/// Forwards one request at limiter 0, granted by 0 and 1.
fn forward_one_request(cluster: &mut Cluster) {
    cluster.arrive(0, 1);
    for _ in 0..20 {
        cluster.deliver();
        (0..cluster.nodes.len()).for_each(|at| cluster.complete_write(at));
    }
    assert_eq!(cluster.nodes[0].in_flight.len(), 1);
}

#[test]
fn a_granted_claim_without_an_outcome_becomes_unknown_after_its_deadline() {
    let mut cluster = Cluster::new(1, 3, 3, true);
    forward_one_request(&mut cluster);
    cluster.cut = [(0, 1), (1, 0), (0, 2), (2, 0)].into();
    cluster.report_reachability();
    cluster.pass_time(CLIENT_TIMEOUT + 400.0);
    cluster.arrive(1, 1);
    for _ in 0..20 {
        cluster.deliver();
        (1..3).for_each(|at| cluster.complete_write(at));
    }
    assert_eq!(
        cluster.replies.get("unknown"),
        Some(&1),
        "{:?}",
        cluster.replies
    );
}

#[test]
fn an_outcome_for_an_unreachable_holder_is_sent_once_it_is_reachable() {
    let mut cluster = Cluster::new(1, 3, 3, true);
    cluster.kill(2);
    forward_one_request(&mut cluster);
    cluster.cut = [(0, 1), (1, 0)].into();
    cluster.report_reachability();
    let (ticket, key) = cluster.nodes[0].in_flight.remove(0);
    cluster.handle_at(
        0,
        Event::Served {
            ticket,
            answer: Answer::Served(key),
        },
    );
    cluster.cut.clear();
    cluster.report_reachability();
    for _ in 0..20 {
        cluster.deliver();
    }
    cluster.kill(0);
    cluster.start(2);
    cluster.arrive(1, 1);
    for _ in 0..20 {
        cluster.deliver();
        (1..3).for_each(|at| cluster.complete_write(at));
    }
    assert_eq!(
        (cluster.replies.get("replay"), cluster.forwarded_twice),
        (Some(&1), None),
        "{:?}",
        cluster.replies
    );
}

#[test]
fn with_one_of_three_limiters_down_requests_are_served_and_with_two_down_nothing_is_sent() {
    let mut cluster = Cluster::new(1, 3, 3, true);
    cluster.kill(2);
    cluster.arrive(0, 1);
    for _ in 0..20 {
        cluster.deliver();
        (0..2).for_each(|at| cluster.complete_write(at));
    }
    assert_eq!(
        cluster.nodes[0].in_flight.len(),
        1,
        "two of three are enough"
    );
    cluster.kill(1);
    cluster.arrive(0, 2);
    cluster.pass_time(300.0);
    assert_eq!(
        (
            cluster.replies.get("no majority"),
            cluster.nodes[0].in_flight.len()
        ),
        (Some(&1), 1)
    );
    // The grants of the rejected request are released, so that the key is free once the others are back.
    cluster.start(1);
    cluster.start(2);
    cluster.arrive(1, 2);
    cluster.heal_and_drain();
    assert_eq!(cluster.served, 2);
}

#[test]
fn a_thousand_repeats_at_three_limiters_send_few_messages_and_run_once() {
    let mut cluster = Cluster::new(1, 3, 3, true);
    for n in 0..1000 {
        cluster.arrive(n % 3, 1);
    }
    cluster.heal_and_drain();
    assert_eq!(cluster.served, 1);
    // Each limiter sends its requests once while its first request is in flight. Repeats above the limit of waiters are
    // told that the first request is in flight.
    assert!(cluster.messages < 60, "{}", cluster.messages);
    let served = cluster.replies.get("own").copied().unwrap_or(0)
        + cluster.replies.get("replay").copied().unwrap_or(0);
    assert!(served >= 150, "{:?}", cluster.replies);
}

#[test]
fn every_limiter_computes_the_same_holders_and_they_are_spread_evenly() {
    let claims_of = |me| Claims::<Answer>::new(claim_config(me, 5, 3), limits(true, 0.0), 0.0);
    let mut counts = [0; 5];
    for customer in 0..1000 {
        let holders = claims_of(0).holders(Customer(customer));
        assert_eq!(holders, claims_of(4).holders(Customer(customer)));
        assert_eq!(holders.iter().collect::<BTreeSet<_>>().len(), 3);
        holders
            .iter()
            .for_each(|holder| counts[holder.0 as usize] += 1);
    }
    assert!(
        counts.iter().all(|count| (500..700).contains(count)),
        "{counts:?}"
    );
}
