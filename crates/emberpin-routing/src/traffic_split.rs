//! Chooses among the services that share a route's requests by weight.

/// The service for a request, chosen by weight among those for which `is_usable` says that they have a server. If none
/// has, the choice is among all, and the request may wait there.
///
/// `draw` is a uniform random number in [0, 1). A weight of 0 gets nothing; `None` if no service has a weight.
pub fn choose_service(
    targets: &[(String, u32)],
    draw: f64,
    mut is_usable: impl FnMut(&str) -> bool,
) -> Option<&str> {
    if let [(only, weight)] = targets {
        return (*weight > 0).then_some(only.as_str());
    }
    let weighted = || targets.iter().filter(|(_, weight)| *weight > 0);
    let usable: Vec<&(String, u32)> = weighted()
        .filter(|(service, _)| is_usable(service))
        .collect();
    if usable.is_empty() {
        return choose_by_weight(&weighted().collect::<Vec<_>>(), draw);
    }
    choose_by_weight(&usable, draw)
}

fn choose_by_weight<'a>(targets: &[&'a (String, u32)], draw: f64) -> Option<&'a str> {
    let total: f64 = targets.iter().map(|(_, weight)| f64::from(*weight)).sum();
    let mut remaining = draw.clamp(0.0, 1.0) * total;
    for (service, weight) in targets {
        remaining -= f64::from(*weight);
        if remaining < 0.0 {
            return Some(service);
        }
    }
    targets.last().map(|(service, _)| service.as_str())
}
