//! Chooses among the services that share a route's requests by weight.

use emberpin_config::Target;

/// The fractional part of the golden ratio: its multiples, modulo 1, spread more evenly over [0, 1) than those of any
/// other number, however many there are.
const GOLDEN_RATIO: f64 = 0.618_033_988_749_895;

/// The draws of one route at one proxy: a sequence of low discrepancy. Of `n` requests each service gets its share within a
/// few requests, where independent draws miss it by about the square root of `n`. So the shares hold at each proxy
/// and over all of them, also in a short time.
#[derive(Clone, Debug)]
pub struct DrawSequence {
    next: f64,
}

impl DrawSequence {
    /// A sequence that begins at this number in [0, 1). Proxies begin at random ones, so that few requests at each of many
    /// proxies do not all go to the same service.
    pub fn starting_at(start: f64) -> DrawSequence {
        DrawSequence {
            next: start.rem_euclid(1.0),
        }
    }

    /// The next draw, in [0, 1).
    pub fn draw(&mut self) -> f64 {
        let draw = self.next;
        self.next = (draw + GOLDEN_RATIO).fract();
        draw
    }
}

/// The service for a request, chosen by weight among those for which `is_usable` says that they have a server. If none
/// has, the choice is among all, and the request may wait there.
///
/// `draw` is a uniform random number in [0, 1). A weight of 0 gets nothing; `None` if no service has a weight.
pub fn choose_service(
    targets: &[Target],
    draw: f64,
    mut is_usable: impl FnMut(&str) -> bool,
) -> Option<&str> {
    if let [only] = targets {
        return (only.weight > 0).then_some(only.service.as_str());
    }
    let weighted = || targets.iter().filter(|target| target.weight > 0);
    let usable: Vec<&Target> = weighted()
        .filter(|target| is_usable(&target.service))
        .collect();
    if usable.is_empty() {
        return choose_by_weight(&weighted().collect::<Vec<_>>(), draw);
    }
    choose_by_weight(&usable, draw)
}

fn choose_by_weight<'a>(targets: &[&'a Target], draw: f64) -> Option<&'a str> {
    let total: f64 = targets.iter().map(|target| f64::from(target.weight)).sum();
    let mut remaining = draw.clamp(0.0, 1.0) * total;
    for target in targets {
        remaining -= f64::from(target.weight);
        if remaining < 0.0 {
            return Some(&target.service);
        }
    }
    targets.last().map(|target| target.service.as_str())
}
