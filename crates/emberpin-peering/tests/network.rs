//! Links over a network in memory that cuts one way or both, holds processes still, and is spoken to by strangers.
#![allow(missing_docs, reason = "a test has no public interface")]

use emberpin_peering::*;
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

const DELAY: Millis = 1.0;
const STEP: Millis = 10.0;

fn name(n: usize) -> String {
    format!("n{n}")
}

fn settings(me: usize, of: usize, life: Incarnation) -> Settings {
    Settings {
        cluster: "norr".into(),
        me: name(me),
        life,
        epoch: 1,
        members: (0..of).filter(|n| *n != me).map(name).collect(),
        beat: 100.0,
        suspect_after: 350.0,
        dead_after: 1500.0,
        hello_within: 500.0,
        redial: (50.0, 400.0),
        window: 4000,
        longest: 1000,
        strangers: 8,
    }
}

/// Half of a connection: what is on its way, and whether the writer has ended it.
#[derive(Clone, Default)]
struct Way {
    bytes: VecDeque<(Millis, Vec<u8>)>,
    ended: bool,
}

/// Two ends, each with its host's own number.
struct Wire {
    ends: [(usize, ConnectionId); 2],
    /// `ways[0]` leads from the first end to the second.
    ways: [Way; 2],
    open: [bool; 2],
}

struct Host {
    link: Option<Link>,
    paused: bool,
    life: Incarnation,
    /// From whom, in which life, what, and the receiver's own life then.
    delivered: Vec<(String, Incarnation, Vec<u8>, u64)>,
    refused: Vec<Refused>,
    superseded: bool,
    closed: Vec<Closing>,
    /// The clock of this host is so far from the true one.
    skew: Millis,
}

struct Net {
    now: Millis,
    hosts: Vec<Host>,
    wires: Vec<Wire>,
    next: u64,
    /// Nothing gets from the first to the second.
    cut: BTreeSet<(usize, usize)>,
}

impl Net {
    fn new(hosts: usize) -> Net {
        let mut net = Net {
            now: 1000.0,
            hosts: Vec::new(),
            wires: Vec::new(),
            next: 0,
            cut: BTreeSet::new(),
        };
        for n in 0..hosts {
            let life = Incarnation {
                number: 100,
                nonce: 1000 + n as u64,
            };
            net.hosts.push(Host {
                link: Some(Link::new(settings(n, hosts, life), net.now)),
                paused: false,
                life,
                delivered: Vec::new(),
                refused: Vec::new(),
                superseded: false,
                closed: Vec::new(),
                skew: 0.0,
            });
        }
        net
    }

    fn id(&mut self) -> ConnectionId {
        self.next += 1;
        ConnectionId(self.next)
    }

    fn feed(&mut self, host: usize, event: Event) {
        let mut actions = Vec::new();
        let now = self.now + self.hosts[host].skew;
        let Some(link) = self.hosts[host].link.as_mut() else {
            return;
        };
        link.handle(now, event, &mut actions);
        for action in actions {
            match action {
                Action::Dial { to } => {
                    let other: usize = to[1..].parse().expect("a number");
                    let refused = self.hosts[other].link.is_none()
                        || self.cut.contains(&(host, other))
                        || self.cut.contains(&(other, host));
                    if refused {
                        self.feed(host, Event::NotDialed { to });
                        continue;
                    }
                    let (here, there) = (self.id(), self.id());
                    self.wires.push(Wire {
                        ends: [(host, here), (other, there)],
                        ways: [Way::default(), Way::default()],
                        open: [true, true],
                    });
                    self.feed(
                        other,
                        Event::Accepted {
                            connection: there,
                            certified: Some(vec![name(host)]),
                        },
                    );
                    self.feed(
                        host,
                        Event::Dialed {
                            connection: here,
                            to,
                        },
                    );
                }
                Action::Write { connection, bytes } => {
                    let at = self.now + DELAY;
                    if let Some((wire, end)) = self.wire(connection) {
                        wire.ways[end].bytes.push_back((at, bytes));
                    }
                }
                Action::Close { connection, why } => {
                    self.hosts[host].closed.push(why);
                    if let Some((wire, end)) = self.wire(connection) {
                        (wire.ways[end].ended, wire.open[end]) = (true, false);
                    }
                }
                Action::Deliver {
                    from, life, body, ..
                } => {
                    let me = self.hosts[host].life.nonce;
                    self.hosts[host].delivered.push((from, life, body, me));
                }
                Action::NotSent { why, .. } => self.hosts[host].refused.push(why),
                Action::Superseded { .. } => self.hosts[host].superseded = true,
                Action::Changed { .. } => {}
            }
        }
    }

    fn wire(&mut self, connection: ConnectionId) -> Option<(&mut Wire, usize)> {
        let wire = self
            .wires
            .iter_mut()
            .find(|wire| wire.ends.iter().any(|end| end.1 == connection))?;
        let end = wire.ends.iter().position(|end| end.1 == connection)?;
        Some((wire, end))
    }

    /// Lets time pass; what is on the way arrives unless a cut or a paused host holds it.
    fn run(&mut self, time: Millis) {
        let until = self.now + time;
        while self.now < until {
            self.now += STEP;
            for n in 0..self.hosts.len() {
                if !self.hosts[n].paused {
                    self.feed(n, Event::Tick);
                }
            }
            while let Some((host, event)) = self.arrival() {
                self.feed(host, event);
            }
            self.wires.retain(|wire| wire.open.iter().any(|open| *open));
        }
    }

    fn arrival(&mut self) -> Option<(usize, Event)> {
        let (now, cut) = (self.now, &self.cut);
        let paused: Vec<bool> = self.hosts.iter().map(|host| host.paused).collect();
        for wire in &mut self.wires {
            for way in 0..2 {
                let ((from, _), (to, connection)) = (wire.ends[way], wire.ends[1 - way]);
                if cut.contains(&(from, to)) || paused[to] || !wire.open[1 - way] {
                    continue;
                }
                let half = &mut wire.ways[way];
                if half.bytes.front().is_some_and(|(at, _)| *at <= now) {
                    let bytes = half.bytes.pop_front()?.1;
                    return Some((to, Event::Bytes { connection, bytes }));
                }
                if half.ended && half.bytes.is_empty() {
                    wire.open[1 - way] = false;
                    return Some((to, Event::Closed { connection }));
                }
            }
        }
        None
    }

    fn kill(&mut self, host: usize) {
        self.hosts[host].link = None;
        for wire in &mut self.wires {
            for end in 0..2 {
                if wire.ends[end].0 == host {
                    (wire.ways[end].ended, wire.open[end]) = (true, false);
                }
            }
        }
    }

    fn start(&mut self, host: usize, life: Incarnation) {
        let of = self.hosts.len();
        let now = self.now + self.hosts[host].skew;
        self.hosts[host].life = life;
        self.hosts[host].link = Some(Link::new(settings(host, of, life), now));
    }

    fn send(&mut self, from: usize, to: usize, text: &str) {
        self.feed(
            from,
            Event::Send {
                to: name(to),
                kind: 1,
                body: text.into(),
            },
        );
    }

    fn belief(&self, at: usize, of: usize) -> Belief {
        let view = self.hosts[at].link.as_ref().expect("alive").view();
        view.into_iter()
            .find(|member| member.name == name(of))
            .expect("a member")
            .belief
    }

    fn sees(&self, at: usize, of: usize) -> (Standing, bool) {
        let belief = self.belief(at, of);
        (belief.standing, belief.reachable)
    }

    #[track_caller]
    fn all_see_all(&self) {
        let alive: Vec<usize> = (0..self.hosts.len())
            .filter(|n| self.hosts[*n].link.is_some())
            .collect();
        for at in &alive {
            for of in alive.iter().filter(|of| *of != at) {
                assert_eq!(self.sees(*at, *of), (Standing::Alive, true), "{at} of {of}");
                assert_eq!(
                    self.belief(*at, *of).life.map(|life| life.nonce),
                    Some(self.hosts[*of].life.nonce)
                );
            }
        }
    }
}

fn bodies(net: &Net, host: usize) -> Vec<String> {
    net.hosts[host]
        .delivered
        .iter()
        .map(|(_, _, body, _)| String::from_utf8_lossy(body).into_owned())
        .collect()
}

#[test]
fn all_find_each_other_and_talk_in_order() {
    let mut net = Net::new(3);
    net.run(300.0);
    net.all_see_all();
    for text in ["a", "b", "c"] {
        net.send(0, 1, text);
    }
    net.send(2, 1, "d");
    net.run(50.0);
    assert_eq!(bodies(&net, 1), ["a", "b", "c", "d"]);
    assert_eq!(net.hosts[1].delivered[0].1, net.hosts[0].life);
}

#[test]
fn a_split_is_believed_by_both_sides_and_forgotten_when_it_ends() {
    let mut net = Net::new(3);
    net.run(300.0);
    net.cut = [(0, 1), (1, 0), (0, 2), (2, 0)].into();
    net.run(600.0);
    assert_eq!(
        [net.sees(0, 1), net.sees(1, 0)],
        [(Standing::Suspected, false); 2]
    );
    assert_eq!(
        net.sees(1, 2),
        (Standing::Alive, true),
        "the others see each other"
    );
    net.run(1500.0);
    assert_eq!(
        [net.sees(0, 2), net.sees(2, 0)],
        [(Standing::Dead, false); 2]
    );
    net.send(0, 1, "lost");
    assert_eq!(net.hosts[0].refused, [Refused::NotConnected]);
    net.cut.clear();
    net.run(1000.0);
    net.all_see_all();
    assert_eq!(bodies(&net, 1), Vec::<String>::new());
}

#[test]
fn a_one_way_link_shows_at_both_ends() {
    let mut net = Net::new(2);
    net.run(300.0);
    // What 0 says does not arrive; what 1 says does.
    net.cut = [(0, 1)].into();
    net.run(600.0);
    // 0 hears 1, and knows that it is not heard; 1 does not hear 0.
    assert_eq!(net.sees(0, 1).0, Standing::Alive);
    assert!(!net.sees(0, 1).1);
    assert_eq!(net.sees(1, 0), (Standing::Suspected, false));
    net.cut.clear();
    net.run(2500.0);
    net.all_see_all();
}

#[test]
fn a_process_that_stood_still_for_10_s_is_dead_meanwhile_and_then_back_in_the_same_life() {
    let mut net = Net::new(3);
    net.run(300.0);
    let life = net.belief(0, 2).life;
    net.hosts[2].paused = true;
    net.run(10_000.0);
    assert_eq!(
        [net.sees(0, 2), net.sees(1, 2)],
        [(Standing::Dead, false); 2]
    );
    net.hosts[2].paused = false;
    // Its first look at the clock tells it that it has heard of nobody for long.
    net.feed(2, Event::Tick);
    assert_eq!(net.sees(2, 0).0, Standing::Dead);
    net.run(1000.0);
    net.all_see_all();
    assert_eq!(net.belief(0, 2).life, life);
    assert!(!net.hosts[2].superseded);
}

#[test]
fn a_paused_life_that_wakes_beside_its_successor_is_told_that_it_is_superseded() {
    let mut net = Net::new(3);
    net.run(300.0);
    let old = net.hosts[2].link.clone();
    net.kill(2);
    net.run(100.0);
    net.start(
        2,
        Incarnation {
            number: 101,
            nonce: 77,
        },
    );
    net.run(500.0);
    net.all_see_all();
    // The old one, woken elsewhere with its name: all that it finds is that its connections are gone.
    let successor = std::mem::replace(&mut net.hosts[2].link, old);
    for peer in [0, 1] {
        net.send(peer, 2, "for the successor");
    }
    net.run(3000.0);
    assert!(net.hosts[2].superseded);
    assert_eq!(
        bodies(&net, 2),
        Vec::<String>::new(),
        "nothing that was meant for the successor"
    );
    assert_eq!(
        net.belief(0, 2).life,
        Some(Incarnation {
            number: 101,
            nonce: 77
        })
    );
    drop(successor);
}

#[test]
fn a_life_that_starts_with_its_clock_5_s_back_goes_on_under_a_later_number() {
    let mut net = Net::new(3);
    net.run(300.0);
    net.kill(1);
    net.run(100.0);
    net.start(
        1,
        Incarnation {
            number: 95,
            nonce: 9,
        },
    );
    net.run(2500.0);
    net.all_see_all();
    assert!(!net.hosts[1].superseded);
    assert!(net
        .belief(0, 1)
        .life
        .is_some_and(|life| life.number > 100 && life.nonce == 9));
}

#[test]
fn clocks_that_are_5_s_apart_change_nothing() {
    let mut net = Net::new(3);
    (net.hosts[0].skew, net.hosts[1].skew) = (5000.0, -900.0);
    net.run(600.0);
    net.all_see_all();
    // And one that steps back stands still.
    net.hosts[0].skew = 0.0;
    net.run(300.0);
    assert_eq!(net.sees(1, 0).0, Standing::Alive);
}

/// A stranger's connection to host 0.
fn stranger(net: &mut Net, certified: Option<Vec<String>>) -> ConnectionId {
    let connection = net.id();
    net.feed(
        0,
        Event::Accepted {
            connection,
            certified,
        },
    );
    connection
}

fn says(net: &mut Net, connection: ConnectionId, message: &Message) {
    let bytes = Frames::encode(&message.encode());
    net.feed(0, Event::Bytes { connection, bytes });
}

fn hello(from: &str) -> Message {
    Message::Hello {
        versions: VERSIONS,
        cluster: "norr".into(),
        from: from.into(),
        to: "n0".into(),
        life: Incarnation {
            number: 100,
            nonce: 1,
        },
        epoch: 1,
    }
}

#[test]
fn whoever_is_not_who_it_says_is_rejected() {
    let certified =
        |names: &[&str]| Some(names.iter().map(std::string::ToString::to_string).collect());
    let change = |change: fn(&mut String, &mut String, &mut String, &mut (u16, u16))| {
        let Message::Hello {
            mut versions,
            mut cluster,
            mut from,
            mut to,
            life,
            epoch,
        } = hello("n1")
        else {
            unreachable!("a hello")
        };
        change(&mut cluster, &mut from, &mut to, &mut versions);
        Message::Hello {
            versions,
            cluster,
            from,
            to,
            life,
            epoch,
        }
    };
    let cases = [
        (certified(&["n2"]), hello("n1"), Rejection::Name),
        (certified(&["n9"]), hello("n9"), Rejection::Name),
        (
            certified(&["n1"]),
            change(|cluster, _, _, _| *cluster = "syd".into()),
            Rejection::Cluster,
        ),
        (
            certified(&["n1"]),
            change(|_, _, to, _| *to = "n2".into()),
            Rejection::NotMe,
        ),
        (
            certified(&["n1"]),
            change(|_, _, _, versions| *versions = (2, 9)),
            Rejection::Version(1),
        ),
    ];
    for (certified, message, why) in cases {
        let mut net = Net::new(2);
        let connection = stranger(&mut net, certified);
        says(&mut net, connection, &message);
        assert_eq!(net.hosts[0].closed, [Closing::Rejected(why)]);
        assert_eq!(net.sees(0, 1).0, Standing::Unheard);
    }
}

#[test]
fn garbage_a_frame_of_4_gb_silence_and_a_thousand_connections_end_and_harm_nobody() {
    let mut net = Net::new(2);
    net.run(300.0);
    let garbage = stranger(&mut net, None);
    net.feed(
        0,
        Event::Bytes {
            connection: garbage,
            bytes: b"\0\0\0\x05GET /".to_vec(),
        },
    );
    assert!(matches!(
        net.hosts[0].closed.pop(),
        Some(Closing::Unreadable(_))
    ));
    let huge = stranger(&mut net, None);
    net.feed(
        0,
        Event::Bytes {
            connection: huge,
            bytes: vec![0xff; 8],
        },
    );
    assert_eq!(net.hosts[0].closed.pop(), Some(Closing::TooLong(u32::MAX)));
    let early = stranger(&mut net, None);
    says(&mut net, early, &Message::Beat { epoch: 1 });
    assert_eq!(net.hosts[0].closed.pop(), Some(Closing::OutOfPlace));
    for _ in 0..1000 {
        stranger(&mut net, None);
    }
    let many = net.hosts[0]
        .closed
        .iter()
        .filter(|why| **why == Closing::TooMany)
        .count();
    assert_eq!(many, 1000 - 8);
    net.hosts[0].closed.clear();
    net.run(600.0);
    assert_eq!(net.hosts[0].closed, vec![Closing::Silent; 8]);
    net.all_see_all();
}

#[test]
fn data_that_comes_again_leaves_a_gap_or_is_meant_for_another_life_is_not_delivered() {
    let data = |seq, to| Message::Data {
        seq,
        to,
        kind: 1,
        body: vec![7],
    };
    let me = 1000;
    let cases: [(&[Message], Closing); 3] = [
        (
            &[data(1, me), data(1, me)],
            Closing::Replayed {
                seq: 1,
                expected: 2,
            },
        ),
        (
            &[data(1, me), data(3, me)],
            Closing::Replayed {
                seq: 3,
                expected: 2,
            },
        ),
        (&[data(1, me), data(2, me + 5)], Closing::OtherLife),
    ];
    for (messages, why) in cases {
        let mut net = Net::new(2);
        let connection = stranger(&mut net, Some(vec!["n1".into()]));
        says(&mut net, connection, &hello("n1"));
        for message in messages {
            says(&mut net, connection, message);
        }
        assert_eq!(net.hosts[0].closed, [why]);
        assert_eq!(net.hosts[0].delivered.len(), 1);
    }
}

#[test]
fn a_second_connection_ends_the_first_and_a_new_life_ends_all_that_led_to_the_old() {
    let mut net = Net::new(2);
    net.run(300.0);
    let certified = || Some(vec!["n1".to_string()]);
    let life = |number, nonce| match hello("n1") {
        Message::Hello {
            versions,
            cluster,
            from,
            to,
            epoch,
            ..
        } => Message::Hello {
            versions,
            cluster,
            from,
            to,
            epoch,
            life: Incarnation { number, nonce },
        },
        other => other,
    };
    let same = stranger(&mut net, certified());
    says(&mut net, same, &life(100, 1001));
    assert_eq!(
        net.hosts[0].closed,
        [Closing::Replaced],
        "the one that it had opened before"
    );
    let new = stranger(&mut net, certified());
    says(&mut net, new, &life(101, 5));
    // That one, and what this side had opened to the old life.
    assert_eq!(
        net.hosts[0].closed,
        [Closing::Replaced, Closing::Replaced, Closing::Replaced]
    );
    assert!(!net.sees(0, 1).1, "nothing is told to the old life");
}

#[test]
fn a_member_that_does_not_take_what_it_is_told_is_told_no_more_and_the_newest_gives_way() {
    let mut net = Net::new(2);
    net.run(300.0);
    net.hosts[1].paused = true;
    for n in 0..100 {
        net.send(0, 1, &format!("{n:0100}"));
    }
    let refused = net.hosts[0].refused.len();
    assert!(
        refused > 50 && net.hosts[0].refused.iter().all(|why| *why == Refused::Full),
        "{refused}"
    );
    net.hosts[1].paused = false;
    net.run(300.0);
    let told: Vec<String> = (0..100 - refused).map(|n| format!("{n:0100}")).collect();
    assert_eq!(bodies(&net, 1), told, "the oldest, all of them");
    net.send(0, 1, "again");
    net.send(0, 1, &"x".repeat(2000));
    net.run(50.0);
    assert_eq!(bodies(&net, 1).last().map(String::as_str), Some("again"));
    assert_eq!(net.hosts[0].refused.last(), Some(&Refused::TooLong));
}

#[test]
fn a_change_of_members_is_an_epoch_that_all_can_name() {
    let mut net = Net::new(3);
    net.run(300.0);
    // 2 leaves the set: first 0 hears of it, then 1.
    net.feed(
        0,
        Event::Members {
            epoch: 2,
            members: vec![name(1)],
        },
    );
    net.run(300.0);
    assert_eq!(net.belief(1, 0).epoch, 2);
    assert_eq!(net.belief(0, 1).epoch, 1);
    net.feed(
        1,
        Event::Members {
            epoch: 2,
            members: vec![name(0)],
        },
    );
    net.run(300.0);
    assert_eq!(net.belief(0, 1).epoch, 2);
    assert_eq!(net.hosts[0].link.as_ref().expect("alive").view().len(), 1);
    assert!(!net.sees(2, 0).1, "who has left reaches nobody");
    // An older epoch changes nothing.
    net.feed(
        0,
        Event::Members {
            epoch: 2,
            members: vec![],
        },
    );
    assert_eq!(net.hosts[0].link.as_ref().expect("alive").view().len(), 1);
}

#[derive(Clone, Debug)]
enum Step {
    Cut(usize, usize),
    Heal,
    Pause(usize),
    Wake(usize),
    Kill(usize),
    Start(usize),
    Send(usize, usize),
    Run(u16),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let host = || 0..3usize;
    let step = prop_oneof![
        2 => (host(), host()).prop_map(|(a, b)| Step::Cut(a, b)),
        1 => Just(Step::Heal),
        1 => host().prop_map(Step::Pause),
        1 => host().prop_map(Step::Wake),
        1 => host().prop_map(Step::Kill),
        2 => host().prop_map(Step::Start),
        6 => (host(), host()).prop_map(|(a, b)| Step::Send(a, b)),
        4 => (1..1200u16).prop_map(Step::Run),
    ];
    proptest::collection::vec(step, 1..40)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, ..ProptestConfig::default() })]

    /// Whatever happens: nothing is delivered twice, or to a life that it was not meant for, or out of order; and once all
    /// is well again, all see all within 4 s.
    #[test]
    fn what_is_told_arrives_once_at_most_and_all_find_each_other_again(steps in steps()) {
        let mut net = Net::new(3);
        let (mut life, mut number) = (200, 0);
        let mut told: BTreeMap<String, u64> = BTreeMap::new();
        for step in steps {
            match step {
                Step::Cut(a, b) if a != b => _ = net.cut.insert((a, b)),
                Step::Heal => net.cut.clear(),
                Step::Pause(n) => net.hosts[n].paused = net.hosts[n].link.is_some(),
                Step::Wake(n) => net.hosts[n].paused = false,
                Step::Kill(n) => {
                    net.kill(n);
                    net.hosts[n].paused = false;
                }
                Step::Start(n) if net.hosts[n].link.is_none() => {
                    life += 1;
                    net.start(n, Incarnation { number: life, nonce: life });
                }
                Step::Send(a, b) if a != b => {
                    number += 1;
                    if let Some(meant) = net.hosts[a].link.as_ref().and_then(|_| net.belief(a, b).life) {
                        told.insert(number.to_string(), meant.nonce);
                    }
                    net.send(a, b, &number.to_string());
                }
                Step::Run(time) => net.run(f64::from(time)),
                _ => {}
            }
        }
        net.cut.clear();
        for n in 0..3 {
            net.hosts[n].paused = false;
            if net.hosts[n].link.is_none() {
                life += 1;
                net.start(n, Incarnation { number: life, nonce: life });
            }
        }
        net.run(4000.0);
        net.all_see_all();
        for n in 0..3 {
            prop_assert!(!net.hosts[n].superseded);
            let mut last: BTreeMap<String, u64> = BTreeMap::new();
            for (from, _, body, me) in &net.hosts[n].delivered {
                let text = String::from_utf8_lossy(body).into_owned();
                let number: u64 = text.parse().expect("a number");
                prop_assert!(last.insert(from.clone(), number).is_none_or(|before| before < number));
                prop_assert_eq!(told.get(&text), Some(me), "{} was for another life", text);
            }
        }
    }
}

/// A process that ends closes its connections; a cable that is cut and a process that stands still are silent, and what
/// they had out may be out yet.
#[test]
fn an_end_is_told_apart_from_a_cut_and_from_a_standstill() {
    let ends = |trouble: &dyn Fn(&mut Net)| {
        let mut net = Net::new(3);
        net.run(1_000.0);
        trouble(&mut net);
        let mut seen = false;
        for _ in 0..500 {
            net.run(10.0);
            seen |= net.belief(0, 1).ended;
        }
        seen
    };
    assert!(ends(&|net| net.kill(1)));
    assert!(!ends(&|net| net.cut.extend([(0, 1), (1, 0)])));
    assert!(!ends(&|net| net.cut.extend([(0, 1)])));
    assert!(!ends(&|net| net.cut.extend([(1, 0)])));
    assert!(!ends(&|net| net.hosts[1].paused = true));
}
