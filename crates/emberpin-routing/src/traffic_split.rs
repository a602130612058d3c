//! Chooses one of a route's target services by weight.

use emberpin_config::Target;

/// The fractional part of the golden ratio. For any count, its multiples modulo 1 are spread more evenly over [0, 1)
/// than those of any other number.
const GOLDEN_RATIO: f64 = 0.618_033_988_749_895;

/// The draws of one route at one proxy: a low-discrepancy sequence. Of `n` requests, each service gets its share to
/// within a few requests, whereas independent draws deviate by about the square root of `n`. So the shares are accurate
/// even over a short time, both at each proxy and over all proxies.
#[derive(Clone, Debug)]
pub struct DrawSequence {
    next: f64,
}

impl DrawSequence {
    /// A sequence whose first draw is `start`, in [0, 1). Each proxy starts at a random number, so that the first
    /// requests at many proxies do not all go to the same service.
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

/// Chooses the service for a request by weight among the targets for which `is_usable` holds, which means that they
/// have an available server. If there are none, chooses among all targets, and the request may wait for a server there.
///
/// `draw` is a uniform random number in [0, 1). A target of weight 0 is never chosen; `None` if all weights are 0.
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
