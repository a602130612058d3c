//! Chooses among the services that share a route's requests by weight.

use emberpin_config::Target;

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
