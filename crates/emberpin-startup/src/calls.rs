//! When to call the list service: the first call of a life in a slot of its own, later ones by exponential back-off
//! with full jitter over a window that grows with the group.
//!
//! Guards against a crowd that keeps itself out. Discovery is one service for all limiters; a call that waits there
//! for too long fails and has cost it as much as one that was answered. When hundreds start in one instant, or many
//! watches break in one, they must not all call in that instant, nor again together after the same pauses: a service
//! once overrun would answer nobody for as long as all go on at their pace.

use std::collections::BTreeMap;
use std::time::Duration;

/// Calls a second that the service is taken to answer where nobody has said: the platform's ten at least, or a call of
/// each limiter in the second time if that is more.
const USUAL_POWER: f64 = 10.0;
const FIRST_ROUND: Duration = Duration::from_secs(4);
/// The longest first round, whatever power is said.
const LONGEST_ROUND: Duration = Duration::from_secs(60);
/// The part of the first window of the back-off that each limiter of the group adds: 100 limiters come back within
/// 5 s, 3 at once.
const EACH: Duration = Duration::from_millis(50);
/// How often the window doubles at most, and what it may be at least then.
const DOUBLINGS: u32 = 2;
const LONG: Duration = Duration::from_millis(1_000);
/// After a call that failed slowly the window may be so many times as long as the call took: a few limiters overrun a
/// service whose every call takes longer than their usual pauses.
const SLOW: u32 = 4;
/// A call that failed sooner met no service at all, and cost it nothing.
const QUICK: Duration = Duration::from_millis(100);
/// The part of its slot in which a call comes by chance: over all of it, neighbours would meet.
const IN_SLOT: f64 = 0.25;
/// Slots are dealt out by steps of about this part of all (the golden ratio): any run of numbers is spread evenly.
const STEP: f64 = 0.618_034;
/// No service keeps a limiter away for longer.
const LONGEST_WAIT: Duration = Duration::from_secs(60);

/// Which of how many limiters this is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    /// Its number, counted from 0.
    pub number: u32,
    /// How many there are, as the settings say; may be wrong.
    pub size: u32,
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// It told something before it broke.
    Told,
    /// It told nothing.
    Failed {
        /// How long it took.
        after: Duration,
    },
    /// The service said when to come again (503 with `Retry-After`, RFC 9110, 10.2.3).
    Busy {
        /// So long from now.
        wait: Duration,
    },
}

/// Where what would be told binds 6 s after a watch fell silent, and its silence shows after 4.5 s, the next call comes so
/// soon.
const SOON: Duration = Duration::from_millis(1_200);
/// A call that nobody answered for so long hung before a service that is silent, and cost it nothing: so often it is made
/// again at once, so that one is there when the service speaks again.
const HUNG: Duration = Duration::from_millis(4_000);
const HELD: u32 = 2;
const AT_ONCE: Duration = Duration::from_millis(200);

/// The calls of one limiter's life.
#[derive(Clone, Debug)]
pub struct Calls {
    place: Place,
    /// In which a call of each can be answered.
    round: Duration,
    /// When the first call is due, since the start, if all of the group start together.
    slot: Duration,
    /// Peers heard before the first call: whether each started together with this one.
    heard: BTreeMap<u32, bool>,
    window: Duration,
    /// What it would be told binds: it may not wait long.
    bound: bool,
    /// Calls that hung, one after the other.
    hung: u32,
}

impl Calls {
    /// For a life whose first call does not wait: what it knows may be out of date, and what it would be told binds.
    pub fn at_once(place: Place) -> Calls {
        Calls {
            slot: Duration::ZERO,
            bound: true,
            ..Calls::new(place, None, 0.0)
        }
    }

    /// For a life that starts now and may wait for its first call. `power` is what the service answers, in calls a
    /// second, where the operator has said it; `draw` lies in [0, 1).
    pub fn new(place: Place, power: Option<f64>, draw: f64) -> Calls {
        let size = place.size.max(1);
        let round = match power {
            Some(power) => seconds(f64::from(size) / power.max(f64::EPSILON)).min(LONGEST_ROUND),
            None => seconds(f64::from(size) / USUAL_POWER).min(FIRST_ROUND),
        };
        // A lone limiter has nobody to stand in the way of. Slots go by number, as chance alone would let calls meet;
        // within one by chance, as a size that is wrong gives several limiters the same slot.
        let part = (f64::from(spread(place.number, size)) + IN_SLOT * draw.clamp(0.0, 1.0))
            / f64::from(size);
        let slot = if size == 1 {
            Duration::ZERO
        } else {
            round.mul_f64(part)
        };
        Calls {
            place,
            round,
            slot,
            heard: BTreeMap::new(),
            window: EACH * size,
            bound: false,
            hung: 0,
        }
    }

    /// A message of a peer came before the first call: whether its life began together with this one.
    pub fn heard(&mut self, peer: u32, together: bool) {
        if peer < self.place.size && peer != self.place.number {
            self.heard.insert(peer, together);
        }
    }

    /// When the first call is due, since the start. The fewer of the peers that were heard have started too, the
    /// sooner; those that start keep their order.
    pub fn first(&self) -> Duration {
        let started = self.heard.values().filter(|together| **together).count();
        self.slot
            .mul_f64((started + 1) as f64 / (self.heard.len() + 1) as f64)
    }

    /// The pause after a call that ended so; `draw` lies in [0, 1).
    pub fn pause(&mut self, ended: Ended, draw: f64) -> Duration {
        let first = EACH * self.place.size.max(1);
        let usual = (first * 2u32.pow(DOUBLINGS)).max(LONG);
        let hung = matches!(ended, Ended::Failed { after } if after >= HUNG);
        self.hung = if hung { self.hung.saturating_add(1) } else { 0 };
        if self.bound && (1..=HELD).contains(&self.hung) {
            return AT_ONCE.mul_f64(draw.clamp(0.0, 1.0));
        }
        let (longest, least) = match ended {
            Ended::Told => (first, Duration::ZERO),
            // A dead service that comes back meets no more than it answers: half a window is a pause's mean.
            Ended::Failed { after } if after < QUICK => (LONG.max(self.round * 2), Duration::ZERO),
            Ended::Failed { after } => (usual.max(after.saturating_mul(SLOW)), Duration::ZERO),
            Ended::Busy { wait } => (usual, wait.min(LONGEST_WAIT)),
        };
        self.window = match ended {
            Ended::Told => first,
            // What took long to fail takes long to answer: shorter pauses would meet each other there.
            Ended::Failed { after } => (self.window * 2)
                .max(after.saturating_mul(2))
                .min(longest)
                .min(LONGEST_WAIT),
            Ended::Busy { .. } => (self.window * 2).min(longest).min(LONGEST_WAIT),
        };
        let window = match ended {
            Ended::Told if self.bound => self.window.min(SOON),
            _ => self.window,
        };
        least + window.mul_f64(draw.clamp(0.0, 1.0))
    }

    /// Forgets the failures of another address.
    pub fn moved(&mut self) {
        self.window = EACH * self.place.size.max(1);
    }
}

/// The slot of a number, one of as many as there are; each has its own.
pub(crate) fn spread(number: u32, size: u32) -> u32 {
    let (number, size) = (u64::from(number % size), u64::from(size));
    let coprime = |step: &u64| gcd(*step, size) == 1;
    let step = ((size as f64 * STEP) as u64..size)
        .find(coprime)
        .unwrap_or(1);
    // Below the size, which is a u32.
    (number * step % size) as u32
}

fn gcd(mut a: u64, mut b: u64) -> u64 {
    while b != 0 {
        (a, b) = (b, a % b);
    }
    a
}

/// So many seconds; what is no time at all is a day.
fn seconds(value: f64) -> Duration {
    Duration::try_from_secs_f64(value).unwrap_or(Duration::from_secs(86_400))
}
