//! The checks of `doctor`: each finds one kind of problem in the reports of the registries. Nothing here does I/O.

use crate::fleet::FleetReport;
use crate::locks::HeldLock;
use crate::status::{Instance, Status};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The maximum difference between two clocks that is not reported.
const MAX_CLOCK_SKEW: Duration = Duration::from_secs(1);
/// The state that a store reports for a disk that accepts writes.
const WRITABLE: &str = "writable";
/// Disk usage above this percentage is reported.
const MAX_DISK_USAGE_PERCENT: u64 = 80;
/// A lock counts as stuck once its last renewal is older than twice its lease plus this margin, in which other callers
/// have had time to acquire it.
const STUCK_LOCK_MARGIN: Duration = Duration::from_secs(30);
/// The minimum number of voters that tolerates the loss of one.
const MIN_VOTERS: usize = 3;

/// A problem and its remedy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// What is wrong, and where.
    pub problem: String,
    /// What the operator can do.
    pub remedy: String,
}

impl Finding {
    fn new(problem: String, remedy: &str) -> Finding {
        Finding {
            problem,
            remedy: remedy.into(),
        }
    }
}

/// Runs all checks, the most severe ones first, and returns their findings in that order.
pub fn check_all(fleet: &FleetReport) -> Vec<Finding> {
    let checks = [
        unreachable_registries,
        unsettled_registries,
        voter_disagreement,
        voter_count,
        zones_without_proxy,
        services_without_server,
        instances_known_to_one_registry,
        clock_skew,
        disk_usage,
        disks_without_writes,
        unreadable_locks,
        stuck_locks,
    ];
    checks.iter().flat_map(|check| check(fleet)).collect()
}

fn instances(fleet: &FleetReport) -> impl Iterator<Item = &Instance> {
    fleet.reachable().flat_map(|(_, status)| &status.instances)
}

/// Reports registries that did not report their status.
pub fn unreachable_registries(fleet: &FleetReport) -> Vec<Finding> {
    let remedy =
        "see whether its process runs and its link is up, and start it again; if the machine is \
         gone for good, start another one in its place";
    let mut findings = Vec::new();
    for report in &fleet.registries {
        if let Err(error) = &report.status {
            let problem = format!("registry {} gives no status: {error}", report.address);
            findings.push(Finding::new(problem, remedy));
        }
    }
    findings
}

/// Reports registries without contact to their store or to a majority of the registries.
pub fn unsettled_registries(fleet: &FleetReport) -> Vec<Finding> {
    let remedy =
        "see whether more than half of the voters run and reach each other; it settles by itself \
         once they do";
    let unsettled = fleet.reachable().filter(|(_, status)| !status.settled);
    unsettled
        .map(|(report, status)| {
            let problem = format!(
                "registry {} ({}) is not settled",
                report.address, status.name
            );
            Finding::new(problem, remedy)
        })
        .collect()
}

/// Reports a disagreement of the registries on the set of voters.
pub fn voter_disagreement(fleet: &FleetReport) -> Vec<Finding> {
    let mut rosters = BTreeMap::<&[String], Vec<&str>>::new();
    for (report, status) in fleet.reachable() {
        rosters
            .entry(&status.voters)
            .or_default()
            .push(&report.address);
    }
    if rosters.len() < 2 {
        return Vec::new();
    }
    let rosters: Vec<String> = rosters
        .iter()
        .map(|(voters, registries)| format!("{} by {}", voters.join(" "), registries.join(" ")))
        .collect();
    let remedy =
        "ask again in some seconds; if it stays, find what keeps the ones with the older roster \
         from the others, and don't stop a voter of either roster until they agree";
    let problem = format!(
        "the registries disagree on who votes: {}",
        rosters.join("; ")
    );
    vec![Finding::new(problem, remedy)]
}

/// Reports rosters (sets of voters) with fewer than `MIN_VOTERS` voters or an even number of them.
pub fn voter_count(fleet: &FleetReport) -> Vec<Finding> {
    let rosters: BTreeSet<&[String]> = fleet
        .reachable()
        .map(|(_, status)| status.voters.as_slice())
        .collect();
    rosters
        .iter()
        .filter_map(|roster| match roster.len() {
            too_few if too_few < MIN_VOTERS => Some(Finding::new(
                format!("{too_few} voters: none of them can be lost"),
                "add machines that may vote, up to three at least",
            )),
            even if even % 2 == 0 => Some(Finding::new(
                format!("{even} voters bear no more losses than {} would", even - 1),
                "add one that may vote, or take one away",
            )),
            _ => None,
        })
        .collect()
}

/// Reports zones that have servers but no proxy with a session at a registry.
pub fn zones_without_proxy(fleet: &FleetReport) -> Vec<Finding> {
    let proxies = fleet
        .reachable()
        .flat_map(|(_, status)| &status.proxy_sessions);
    let with_proxy: BTreeSet<&str> = proxies.map(|proxy| proxy.zone.as_str()).collect();
    let with_server: BTreeSet<&str> = instances(fleet)
        .map(|instance| instance.zone.as_str())
        .collect();
    let remedy =
        "see whether its limiters run and reach a registry; clients there are served by other zones \
         meanwhile";
    with_server
        .difference(&with_proxy)
        .map(|zone| Finding::new(format!("no limiter of zone {zone} is in session"), remedy))
        .collect()
}

/// Reports services of the configuration that have no server with status `up`.
pub fn services_without_server(fleet: &FleetReport) -> Vec<Finding> {
    let services = match &fleet.services {
        Ok(services) => services,
        Err(error) => {
            let problem = format!("the configuration cannot be read: {error}");
            let remedy = "mend what ails the registries first, then try get";
            return vec![Finding::new(problem, remedy)];
        }
    };
    let up: BTreeSet<&str> = instances(fleet)
        .filter(|instance| instance.status == "up")
        .map(|instance| instance.service.as_str())
        .collect();
    let remedy = "start servers of it, or move its routes to another service and drop it";
    services
        .iter()
        .filter(|service| !up.contains(service.as_str()))
        .map(|service| Finding::new(format!("service {service} has no living server"), remedy))
        .collect()
}

/// Reports instances that are known to only one of the reachable registries.
pub fn instances_known_to_one_registry(fleet: &FleetReport) -> Vec<Finding> {
    if fleet.reachable().count() < 2 {
        return Vec::new();
    }
    let mut registries_by_instance = BTreeMap::<&str, BTreeSet<&str>>::new();
    for (report, status) in fleet.reachable() {
        for instance in &status.instances {
            registries_by_instance
                .entry(&instance.id)
                .or_default()
                .insert(&report.address);
        }
    }
    let remedy =
        "ask again in some seconds, it may just have begun or ended; if it stays, that registry \
         doesn't reach the others";
    let mut findings = Vec::new();
    for (id, registries) in registries_by_instance {
        let mut registries = registries.into_iter();
        if let (Some(registry), None) = (registries.next(), registries.next()) {
            let problem = format!("only registry {registry} knows server {id}");
            findings.push(Finding::new(problem, remedy));
        }
    }
    findings
}

/// Reports the two registries whose clocks are furthest apart, if they differ by more than `MAX_CLOCK_SKEW`.
///
/// The registries do not respond at the same moment, so each clock is compared with the clock of this machine at the
/// time of the response.
pub fn clock_skew(fleet: &FleetReport) -> Vec<Finding> {
    let clock_offset = |status: &Status, received_at: Duration| {
        saturating_millis(status.clock).saturating_sub(saturating_millis(received_at))
    };
    let mut clocks: Vec<(i64, &str)> = fleet
        .reachable()
        .map(|(report, status)| {
            (
                clock_offset(status, report.received_at),
                report.address.as_str(),
            )
        })
        .collect();
    clocks.sort_unstable();
    let (Some((slowest, slowest_registry)), Some((fastest, fastest_registry))) =
        (clocks.first(), clocks.last())
    else {
        return Vec::new();
    };
    let skew = fastest.saturating_sub(*slowest);
    if skew <= saturating_millis(MAX_CLOCK_SKEW) {
        return Vec::new();
    }
    let problem = format!(
        "the clock of registry {fastest_registry} is {skew} ms ahead of that of {slowest_registry}"
    );
    let remedy =
        "set the clock of the one that is wrong, and see that it is kept by a time service";
    vec![Finding::new(problem, remedy)]
}

/// Converts a duration to whole milliseconds, saturating at `i64::MAX`.
fn saturating_millis(time: Duration) -> i64 {
    i64::try_from(time.as_millis()).unwrap_or(i64::MAX)
}

/// Reports disks whose usage exceeds `MAX_DISK_USAGE_PERCENT`.
pub fn disk_usage(fleet: &FleetReport) -> Vec<Finding> {
    let remedy = "see what else writes to its data directory, or give it a larger disk";
    let mut findings = Vec::new();
    for (report, status) in fleet.reachable() {
        let Some(disk) = &status.disk else { continue };
        let (used, limit) = (disk.used_bytes, disk.limit_bytes);
        // In 128 bits, because a hundred times the disk size can overflow 64 bits.
        if u128::from(used) * 100 > u128::from(limit) * u128::from(MAX_DISK_USAGE_PERCENT) {
            let problem = format!(
                "registry {} has used {used} of the {limit} bytes of its disk",
                report.address
            );
            findings.push(Finding::new(problem, remedy));
        }
    }
    findings
}

/// Reports stores whose disk does not accept writes.
pub fn disks_without_writes(fleet: &FleetReport) -> Vec<Finding> {
    let remedy = "make room on it, or see why it does not answer; the store then goes on by itself";
    let mut findings = Vec::new();
    for (report, status) in fleet.reachable() {
        let state = status.disk.as_ref().and_then(|disk| disk.state.as_deref());
        if let Some(state) = state.filter(|state| *state != WRITABLE) {
            let problem = format!(
                "the disk of the store beside registry {} is {state}",
                report.address
            );
            findings.push(Finding::new(problem, remedy));
        }
    }
    findings
}

/// Reports that the locks could not be read, which means that no majority of the stores confirms locks, numbers and
/// cells.
pub fn unreadable_locks(fleet: &FleetReport) -> Vec<Finding> {
    let Err(error) = &fleet.locks else {
        return Vec::new();
    };
    let problem = format!("locks, numbers and cells cannot be read: {error}");
    let remedy = "see whether more than half of the stores run, reach each other and can write; \
         applications get 503 and 504 meanwhile, and nothing is given out twice";
    vec![Finding::new(problem, remedy)]
}

/// Reports locks that were neither renewed nor released long after their lease expired.
pub fn stuck_locks(fleet: &FleetReport) -> Vec<Finding> {
    let Ok(Some(locks)) = &fleet.locks else {
        return Vec::new();
    };
    let remedy =
        "its owner died or hangs, and the next caller gets the lock; if callers get 409 all the \
         same, make sure that the owner acts no longer, and use lock release";
    let is_stuck = |lock: &&HeldLock| {
        let stuck_after = lock
            .lease
            .saturating_mul(2)
            .saturating_add(STUCK_LOCK_MARGIN);
        lock.min_renewal_age > stuck_after
    };
    let stuck = locks.iter().filter(is_stuck);
    stuck
        .map(|lock| Finding::new(lock.to_string(), remedy))
        .collect()
}
