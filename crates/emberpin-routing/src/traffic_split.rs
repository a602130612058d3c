//! Which of a route's services a request goes to.

/// The target for a draw in [0, 1), by weight among those that `usable` says have a server for it. Where none
/// has, among all: the request may wait there. A weight of 0 gets nothing; `None` if no target has any.
pub fn choose_service(
    targets: &[(String, u32)],
    draw: f64,
    mut usable: impl FnMut(&str) -> bool,
) -> Option<&str> {
    if let [(only, weight)] = targets {
        return (*weight > 0).then_some(only.as_str());
    }
    let weighted = || targets.iter().filter(|(_, weight)| *weight > 0);
    let can: Vec<&(String, u32)> = weighted().filter(|(service, _)| usable(service)).collect();
    if can.is_empty() {
        return by_weight(&weighted().collect::<Vec<_>>(), draw);
    }
    by_weight(&can, draw)
}

fn by_weight<'a>(targets: &[&'a (String, u32)], draw: f64) -> Option<&'a str> {
    let sum: f64 = targets.iter().map(|(_, weight)| f64::from(*weight)).sum();
    let mut left = draw.clamp(0.0, 1.0) * sum;
    for (service, weight) in targets {
        left -= f64::from(*weight);
        if left < 0.0 {
            return Some(service);
        }
    }
    targets.last().map(|(service, _)| service.as_str())
}
