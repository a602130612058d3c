//! The endpoint table: the instances of servers that this proxy knows, and which of them may get requests now.
//!
//! Of two reports about an instance, the one with the later status wins; if the statuses are equal, the one with the
//! higher sequence number. The order of arrival does not matter, so an `Up` that arrives late, after `Draining`, has no
//! effect. An instance that a report does not contain is kept, unless the report is a complete snapshot.

mod changes;
mod endpoint;
mod tombstones;

pub use changes::{Availability, EndpointChange};

use crate::guards::Guards;
use crate::warmup::WarmupProfile;
use changes::ChangeTracker;
use emberpin_membership::instance::{Instance, Status};
use endpoint::{Endpoint, ReportOrder};
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;
use tombstones::Tombstones;

/// The assumed warm-up duration of a server whose service has no warm-up profile.
const DEFAULT_WARMUP: Duration = Duration::from_secs(10);

/// Whether a snapshot contains every instance that its registry knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SnapshotScope {
    /// The snapshot contains all instances: those that it does not contain are removed.
    Complete,
    /// The snapshot may lack instances: those that it does not contain are kept.
    Partial,
}

/// All instances that this proxy knows. All times are on the proxy's monotonic clock.
#[derive(Debug, Default)]
pub struct EndpointTable {
    heartbeat_interval: Duration,
    endpoints: HashMap<String, Endpoint>,
    tombstones: Tombstones,
    evacuated_zones: BTreeSet<String>,
    warmup_profiles: HashMap<String, WarmupProfile>,
    changes: ChangeTracker,
    generation: u64,
    pub(crate) guards: Guards,
}

impl EndpointTable {
    /// An empty table. `heartbeat_interval` is the interval at which servers send heartbeats to their registries.
    pub fn new(heartbeat_interval: Duration) -> EndpointTable {
        EndpointTable {
            heartbeat_interval,
            ..EndpointTable::default()
        }
    }

    /// Replaces the warm-up profiles of all services, by service name.
    pub fn set_warmup_profiles(&mut self, profiles: HashMap<String, WarmupProfile>) {
        self.warmup_profiles = profiles;
    }

    /// The warm-up profile of a service; `None` if the service is not configured.
    pub fn warmup_profile(&self, service: &str) -> Option<WarmupProfile> {
        self.warmup_profiles.get(service).copied()
    }

    /// Merges reports that arrived at `now`, from which their remaining warm-up times count.
    pub fn update(&mut self, now: Duration, reports: &[Instance]) {
        for report in reports {
            self.merge(now, report);
        }
    }

    /// Merges a snapshot of the instances that a registry knows.
    pub fn apply_snapshot(&mut self, now: Duration, reports: &[Instance], scope: SnapshotScope) {
        self.update(now, reports);
        if scope == SnapshotScope::Complete {
            self.remove_all_except(reports);
        }
    }

    fn remove_all_except(&mut self, reports: &[Instance]) {
        let named: BTreeSet<&str> = reports.iter().map(|report| report.id.as_str()).collect();
        let missing: Vec<String> = self
            .endpoints
            .keys()
            .filter(|id| !named.contains(id.as_str()))
            .cloned()
            .collect();
        for id in missing {
            self.remove(&id);
        }
    }

    fn merge(&mut self, now: Duration, report: &Instance) {
        let reported = ReportOrder::from_report(report);
        let monotonic = self.guards.monotonic_status;
        let is_outdated = |last: ReportOrder| reported <= last;
        if monotonic && self.tombstones.get(&report.id).is_some_and(is_outdated) {
            return;
        }
        let Some(endpoint) = self.endpoints.get_mut(&report.id) else {
            self.insert(now, report);
            return;
        };
        let known = ReportOrder::from_report(&endpoint.instance);
        if monotonic && reported < known {
            return;
        }
        let replaces = reported > known || !monotonic;
        // Must come before the instance is replaced, since it compares the old and new sequence numbers.
        if endpoint.merge_warmup(now, report) {
            self.generation += 1;
        }
        if replaces {
            endpoint.replace_instance(report);
        }
        if report.status == Status::Removed {
            self.remove(&report.id);
        } else if replaces {
            self.mark_changed(&report.id);
        }
    }

    fn insert(&mut self, now: Duration, report: &Instance) {
        if report.status == Status::Removed {
            self.tombstones
                .insert(&report.id, ReportOrder::from_report(report));
            return;
        }
        // `merge` has checked that the report is newer than the tombstone.
        self.tombstones.remove(&report.id);
        self.endpoints
            .insert(report.id.clone(), Endpoint::new(now, report));
        self.mark_changed(&report.id);
    }

    fn remove(&mut self, id: &str) {
        if let Some(endpoint) = self.endpoints.remove(id) {
            self.tombstones
                .insert(id, ReportOrder::from_report(&endpoint.instance));
            self.mark_changed(id);
        }
    }

    /// Replaces the set of evacuated zones. The servers of a zone that is no longer in the set count as warming up.
    pub fn set_evacuated_zones(&mut self, now: Duration, zones: BTreeSet<String>) {
        if zones == self.evacuated_zones {
            return;
        }
        let before = std::mem::replace(&mut self.evacuated_zones, zones);
        let ids: Vec<String> = self.endpoints.keys().cloned().collect();
        for id in ids {
            let Some(endpoint) = self.endpoints.get_mut(&id) else {
                continue;
            };
            let zone = &endpoint.instance.zone;
            let was_evacuated = before.contains(zone);
            let is_evacuated = self.evacuated_zones.contains(zone);
            if was_evacuated && !is_evacuated && self.guards.warmup_after_evacuation {
                let profile = self.warmup_profiles.get(&endpoint.instance.service);
                let warmup = profile.map_or(DEFAULT_WARMUP, |profile| profile.duration);
                endpoint.begin_warmup_after_evacuation(now, warmup, self.heartbeat_interval);
            }
            if was_evacuated != is_evacuated {
                self.mark_changed(&id);
            }
        }
    }

    /// Records that a server responded with 421: another instance is at the address of this one. This instance counts
    /// as removed until a report with a higher sequence number arrives.
    pub fn mark_misdirected(&mut self, id: &str) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.mark_misdirected();
            self.mark_changed(id);
        }
    }

    /// Whether an instance may get requests.
    pub fn availability(&self, id: &str) -> Availability {
        let Some(endpoint) = self.endpoints.get(id) else {
            return Availability::Removed;
        };
        if endpoint.is_misdirected() {
            Availability::Removed
        } else if endpoint.instance.status != Status::Up
            || self.evacuated_zones.contains(&endpoint.instance.zone)
        {
            Availability::Draining
        } else {
            Availability::Available
        }
    }

    /// The latest report about an instance.
    pub fn instance(&self, id: &str) -> Option<&Instance> {
        self.endpoints.get(id).map(|endpoint| &endpoint.instance)
    }

    /// All instances except misdirected ones, in no particular order, each with its remaining warm-up, for reports to a
    /// registry that may know fewer instances.
    pub fn known_instances(&self, now: Duration) -> Vec<Instance> {
        self.endpoints
            .values()
            .filter(|endpoint| !endpoint.is_misdirected())
            .map(|endpoint| endpoint.to_report(now))
            .collect()
    }

    /// Whether an instance is warming up now.
    pub fn is_warming_up(&self, now: Duration, id: &str) -> bool {
        self.endpoints
            .get(id)
            .is_some_and(|endpoint| now < endpoint.warmup_until())
    }

    /// Extends the warm-up of an instance to the remaining time that its server sent in a response (`Cold-Ms`). An end
    /// earlier than the known one has no effect.
    pub fn extend_warmup(&mut self, now: Duration, id: &str, remaining: Duration) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            if endpoint.extend_warmup(now + remaining) {
                self.generation += 1;
            }
        }
    }

    /// Whether a service has an instance that may get requests. Slow start is not considered; it may still reject a
    /// request to each of the instances when the request is sent.
    pub fn has_available(&self, service: &str) -> bool {
        self.endpoints.iter().any(|(id, endpoint)| {
            endpoint.instance.service == service && self.availability(id) == Availability::Available
        })
    }

    /// The changes since the last call, in the order of the instances' ids. A caller that applies all changes knows the
    /// availability of all instances.
    pub fn take_changes(&mut self) -> Vec<EndpointChange> {
        let mut changes = Vec::new();
        for id in self.changes.take_marked() {
            let availability = self.availability(&id);
            let instance = self.endpoints.get(&id).map(|endpoint| &endpoint.instance);
            changes.extend(self.changes.report(&id, instance, availability));
        }
        changes
    }

    /// A number that increases with each change that could forbid a request to a server.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// The number of tombstones (removed instances that are remembered), at most 4096.
    pub fn tombstones(&self) -> usize {
        self.tombstones.len()
    }

    fn mark_changed(&mut self, id: &str) {
        self.changes.mark(id);
        self.generation += 1;
    }
}
