//! What ails a fleet, found in what its registries say. Nothing here asks anybody.

use crate::status::{Instance, Status};
use std::collections::{BTreeMap, BTreeSet};

/// Clocks further apart than this, in ms, are found.
const MOST_APART_MS: i64 = 1000;
/// The state of a disk that takes everything.
const WRITABLE: &str = "writable";
/// A disk fuller than this share, in per cent, is found.
const MOST_FULL: u64 = 80;
/// The fewest voters that can lose one.
const FEWEST_VOTERS: usize = 3;

/// What one registry said.
#[derive(Clone, Debug)]
pub struct Reading {
    /// Its address.
    pub address: String,
    /// Its status, or what came instead.
    pub status: Result<Status, String>,
    /// Our own clock when it answered, in ms of Unix time.
    pub at_ms: i64,
}

/// All that was gathered.
#[derive(Clone, Debug)]
pub struct Gathered {
    /// One for each registry.
    pub readings: Vec<Reading>,
    /// The services of the configuration, or why they aren't known.
    pub services: Result<Vec<String>, String>,
}

/// Something that ails, and a way out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// What it is.
    pub what: String,
    /// What to do about it.
    pub way_out: String,
}

fn finding(what: String, way_out: &str) -> Finding {
    Finding {
        what,
        way_out: way_out.into(),
    }
}

impl Gathered {
    fn heard(&self) -> impl Iterator<Item = (&Reading, &Status)> {
        self.readings
            .iter()
            .filter_map(|reading| Some((reading, reading.status.as_ref().ok()?)))
    }

    fn instances(&self) -> impl Iterator<Item = &Instance> {
        self.heard().flat_map(|(_, status)| &status.instances)
    }
}

/// Everything that ails, the gravest kinds first.
pub fn all(gathered: &Gathered) -> Vec<Finding> {
    let kinds = [
        silent,
        unsettled,
        disagreement,
        voters,
        zones,
        services,
        lone_lives,
        clocks,
        disks,
        disk_states,
    ];
    kinds.iter().flat_map(|kind| kind(gathered)).collect()
}

/// Registries that don't answer.
pub fn silent(gathered: &Gathered) -> Vec<Finding> {
    let way_out =
        "see whether its process runs and its link is up, and start it again; if the machine is \
                   gone for good, start another one in its place";
    let silent = |reading: &Reading| {
        let why = reading.status.as_ref().err()?;
        Some(finding(
            format!("registry {} gives no status: {why}", reading.address),
            way_out,
        ))
    };
    gathered.readings.iter().filter_map(silent).collect()
}

/// Registries that aren't in step with a majority.
pub fn unsettled(gathered: &Gathered) -> Vec<Finding> {
    let way_out =
        "see whether more than half of the voters run and reach each other; it settles by itself \
                   once they do";
    let what = |reading: &Reading, name: &str| {
        format!("registry {} ({name}) is not settled", reading.address)
    };
    let unsettled = gathered.heard().filter(|(_, status)| !status.settled);
    unsettled
        .map(|(reading, status)| finding(what(reading, &status.name), way_out))
        .collect()
}

/// Registries that don't name the same voters.
pub fn disagreement(gathered: &Gathered) -> Vec<Finding> {
    let mut rosters = BTreeMap::<&[String], Vec<&str>>::new();
    for (reading, status) in gathered.heard() {
        rosters
            .entry(&status.voters)
            .or_default()
            .push(&reading.address);
    }
    if rosters.len() < 2 {
        return Vec::new();
    }
    let told: Vec<String> = rosters
        .iter()
        .map(|(voters, by)| format!("{} by {}", voters.join(" "), by.join(" ")))
        .collect();
    let way_out =
        "ask again in some seconds; if it stays, find what keeps the ones with the older roster \
                   from the others, and don't stop a voter of either roster until they agree";
    vec![finding(
        format!("the registries disagree on who votes: {}", told.join("; ")),
        way_out,
    )]
}

/// Rosters of voters that are too few, or even in number.
pub fn voters(gathered: &Gathered) -> Vec<Finding> {
    let rosters: BTreeSet<&[String]> = gathered
        .heard()
        .map(|(_, status)| status.voters.as_slice())
        .collect();
    let wrong = |roster: &&[String]| match roster.len() {
        few if few < FEWEST_VOTERS => Some(finding(
            format!("{few} voters: none of them can be lost"),
            "add machines that may vote, up to three at least",
        )),
        even if even % 2 == 0 => Some(finding(
            format!("{even} voters bear no more losses than {} would", even - 1),
            "add one that may vote, or take one away",
        )),
        _ => None,
    };
    rosters.iter().filter_map(wrong).collect()
}

/// Zones with servers where no limiter is in session.
pub fn zones(gathered: &Gathered) -> Vec<Finding> {
    let limiters = gathered.heard().flat_map(|(_, status)| &status.limiters);
    let with: BTreeSet<&str> = limiters.map(|limiter| limiter.zone.as_str()).collect();
    let all: BTreeSet<&str> = gathered
        .instances()
        .map(|instance| instance.zone.as_str())
        .collect();
    let way_out =
        "see whether its limiters run and reach a registry; clients there are served by other zones \
                   meanwhile";
    let what = |zone: &&str| finding(format!("no limiter of zone {zone} is in session"), way_out);
    all.difference(&with).map(what).collect()
}

/// Services of the configuration without a server that is up.
pub fn services(gathered: &Gathered) -> Vec<Finding> {
    let services = match &gathered.services {
        Ok(services) => services,
        Err(why) => {
            let what = format!("the configuration cannot be read: {why}");
            return vec![finding(
                what,
                "mend what ails the registries first, then try get",
            )];
        }
    };
    let up = gathered
        .instances()
        .filter(|instance| instance.status == "up");
    let up: BTreeSet<&str> = up.map(|instance| instance.service.as_str()).collect();
    let way_out = "start servers of it, or move its routes to another service and drop it";
    let lonely = services
        .iter()
        .filter(|service| !up.contains(service.as_str()));
    lonely
        .map(|service| finding(format!("service {service} has no living server"), way_out))
        .collect()
}

/// Instances of servers that one registry knows and the others that answer don't.
pub fn lone_lives(gathered: &Gathered) -> Vec<Finding> {
    let mut known = BTreeMap::<&str, Vec<&str>>::new();
    for (reading, status) in gathered.heard() {
        // A registry that names a life twice still is only one.
        for id in status
            .instances
            .iter()
            .map(|instance| instance.id.as_str())
            .collect::<BTreeSet<_>>()
        {
            known.entry(id).or_default().push(&reading.address);
        }
    }
    if gathered.heard().count() < 2 {
        return Vec::new();
    }
    let way_out =
        "ask again in some seconds, it may just have begun or ended; if it stays, that registry \
                   doesn't reach the others";
    let lone = known.into_iter().filter(|(_, by)| by.len() == 1);
    lone.map(|(id, by)| {
        finding(
            format!("only registry {} knows server {id}", by[0]),
            way_out,
        )
    })
    .collect()
}

/// Clocks that are apart.
pub fn clocks(gathered: &Gathered) -> Vec<Finding> {
    // Each against our own, since they weren't read at one moment.
    let clock = |status: &Status| i64::try_from(status.clock_ms).unwrap_or(i64::MAX);
    let ahead = gathered
        .heard()
        .map(|(by, status)| (clock(status).saturating_sub(by.at_ms), &by.address));
    let mut ahead: Vec<(i64, &String)> = ahead.collect();
    ahead.sort();
    let (Some(slowest), Some(fastest)) = (ahead.first(), ahead.last()) else {
        return Vec::new();
    };
    let apart = fastest.0.saturating_sub(slowest.0);
    if apart <= MOST_APART_MS {
        return Vec::new();
    }
    let what = format!(
        "the clock of registry {} is {apart} ms ahead of that of {}",
        fastest.1, slowest.1
    );
    vec![finding(
        what,
        "set the clock of the one that is wrong, and see that it is kept by a time service",
    )]
}

/// Disks that are nearly full.
pub fn disks(gathered: &Gathered) -> Vec<Finding> {
    let full = |(reading, status): (&Reading, &Status)| {
        let (used, of) = status.disk?;
        // In 128 bits, as a hundred times a disk may not fit in 64.
        let over = u128::from(used) * 100 > u128::from(of) * u128::from(MOST_FULL);
        let what = format!(
            "registry {} has used {used} of the {of} bytes of its disk",
            reading.address
        );
        over.then(|| {
            finding(
                what,
                "see what else writes to its data directory, or give it a larger disk",
            )
        })
    };
    gathered.heard().filter_map(full).collect()
}

/// Disks of stores that take no changes.
pub fn disk_states(gathered: &Gathered) -> Vec<Finding> {
    let unusable = |(reading, status): (&Reading, &Status)| {
        let state = status
            .disk_state
            .as_deref()
            .filter(|state| *state != WRITABLE)?;
        let what = format!(
            "the disk of the store beside registry {} is {state}",
            reading.address
        );
        Some(finding(
            what,
            "make room on it, or see why it does not answer; the store then goes on by itself",
        ))
    };
    gathered.heard().filter_map(unusable).collect()
}
