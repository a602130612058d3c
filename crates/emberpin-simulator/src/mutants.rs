//! Mutants: variants of the system with a safety check (a guard) switched off. A scenario or a search has to detect
//! them.

use emberpin_consensus::Guards as ConsensusGuards;
use emberpin_membership::guards::Guards as MembershipGuards;
use emberpin_routing::guards::Guards as RoutingGuards;

/// The safety checks of all simulated components. All are on by default.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Guards {
    pub(crate) consensus: ConsensusGuards,
    pub(crate) membership: MembershipGuards,
    pub(crate) routing: RoutingGuards,
    pub(crate) proxy: ProxyGuards,
}

/// The safety checks of the proxy model; a real proxy has them in the program that hosts its cores.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ProxyGuards {
    /// Only routes to known services take effect, and one route per host and prefix.
    pub valid_routes_only: bool,
    /// A proxy is ready only after a registry in contact with a majority has confirmed its state.
    pub confirmed_readiness: bool,
    /// A session whose lease has expired is ended.
    pub expired_sessions_end: bool,
    /// A session that resumes from an earlier revision counts as synced, like one that received a snapshot.
    pub resumed_sessions_are_synced: bool,
    /// The registries that an unconfirmed registry names become candidates for sessions.
    pub candidates_from_unconfirmed: bool,
    /// A snapshot that is sent in parts counts as received only once its last part has arrived.
    pub complete_snapshots_only: bool,
}

impl Default for ProxyGuards {
    fn default() -> ProxyGuards {
        ProxyGuards {
            valid_routes_only: true,
            confirmed_readiness: true,
            expired_sessions_end: true,
            resumed_sessions_are_synced: true,
            candidates_from_unconfirmed: true,
            complete_snapshots_only: true,
        }
    }
}

/// The names of all mutants, as used in scenario files and by `--wrong`. [`Guards::disable`] maps them to guards.
pub const MUTANTS: &[&str] = &[
    "no-amnesia",
    "no-promise",
    "no-carry",
    "no-joint",
    "no-sync",
    "no-lacking",
    "no-ballot",
    "no-newest",
    "no-whole",
    "no-precondition",
    "no-spread",
    "no-heard",
    "no-founding",
    "no-turn",
    "no-place-taken",
    "no-superseded",
    "no-history",
    "no-told-version",
    "no-majority",
    "no-durable",
    "no-rises",
    "no-silence",
    "no-repair",
    "no-displace",
    "no-place",
    "no-fleet-rises",
    "no-returned",
    "no-quiet",
    "no-greatest",
    "no-admission",
    "no-in-force",
    "no-settled",
    "no-leaves",
    "no-resumes",
    "no-hints",
    "no-open",
    "no-parts",
    "no-lease",
];

impl Guards {
    /// Switches off the safety checks that the named mutant lacks. Returns whether a mutant has that name.
    pub fn disable(&mut self, mutant: &str) -> bool {
        self.disable_redundant(mutant);
        let Some(guard) = consensus_guard(&mut self.consensus, mutant)
            .or_else(|| membership_guard(&mut self.membership, mutant))
            .or_else(|| routing_guard(&mut self.routing, mutant))
            .or_else(|| proxy_guard(&mut self.proxy, mutant))
        else {
            return false;
        };
        *guard = false;
        true
    }

    /// Switches off the second check of mutants for which either of two checks is sufficient.
    fn disable_redundant(&mut self, mutant: &str) {
        match mutant {
            // Otherwise a call at a partitioned machine fails before it can take effect late.
            "no-precondition" => self.consensus.contact_check = false,
            // Otherwise a request without a version would use the version that its registry knows. After a freeze, that
            // one is as old as the request.
            "no-told-version" => self.consensus.evacuation_precondition = false,
            "no-returned" => self.membership.warmup_after_evacuation = false,
            // Either check prevents a roster from staying at four members of which one is permanently gone.
            "no-heard" => self.consensus.evict_early_without_margin = false,
            _ => {}
        }
    }
}

fn consensus_guard<'a>(guards: &'a mut ConsensusGuards, mutant: &str) -> Option<&'a mut bool> {
    Some(match mutant {
        "no-amnesia" => &mut guards.catch_up_before_voting,
        "no-promise" => &mut guards.keep_promises,
        "no-carry" => &mut guards.repropose_accepted,
        "no-joint" => &mut guards.joint_quorums,
        "no-sync" => &mut guards.sync_before_reply,
        "no-lacking" => &mut guards.transfer_missing_items,
        "no-ballot" => &mut guards.keep_accepted_ballot,
        "no-newest" => &mut guards.evaluate_on_quorum_state,
        "no-whole" => &mut guards.atomic_calls,
        "no-precondition" => &mut guards.evacuation_precondition,
        "no-open" => &mut guards.compare_accepted,
        "no-spread" => &mut guards.tolerance_quorum,
        "no-heard" => &mut guards.listen_before_joining,
        "no-founding" => &mut guards.bootstrap_agreement,
        "no-turn" => &mut guards.restart_outdated_rounds,
        "no-place-taken" => &mut guards.replace_without_delay,
        "no-superseded" => &mut guards.propose_superseded,
        "no-history" => &mut guards.propose_history,
        _ => return None,
    })
}

fn membership_guard<'a>(guards: &'a mut MembershipGuards, mutant: &str) -> Option<&'a mut bool> {
    Some(match mutant {
        "no-majority" => &mut guards.majority_acknowledgement,
        "no-durable" => &mut guards.durable_shutdowns,
        "no-rises" => &mut guards.monotonic_status,
        "no-silence" => &mut guards.confirmed_eviction,
        "no-repair" => &mut guards.repair_from_proxies,
        "no-displace" => &mut guards.displacement,
        "no-place" => &mut guards.revision_check,
        "no-lease" => &mut guards.lease_from_query,
        "no-told-version" => &mut guards.evacuation_redirect,
        _ => return None,
    })
}

fn routing_guard<'a>(guards: &'a mut RoutingGuards, mutant: &str) -> Option<&'a mut bool> {
    Some(match mutant {
        "no-fleet-rises" => &mut guards.monotonic_status,
        "no-returned" => &mut guards.warmup_after_evacuation,
        "no-quiet" => &mut guards.quiet_period,
        "no-greatest" => &mut guards.highest_proxy_count,
        "no-admission" => &mut guards.hashed_admission,
        _ => return None,
    })
}

fn proxy_guard<'a>(guards: &'a mut ProxyGuards, mutant: &str) -> Option<&'a mut bool> {
    Some(match mutant {
        "no-in-force" => &mut guards.valid_routes_only,
        "no-settled" => &mut guards.confirmed_readiness,
        "no-leaves" => &mut guards.expired_sessions_end,
        "no-resumes" => &mut guards.resumed_sessions_are_synced,
        "no-hints" => &mut guards.candidates_from_unconfirmed,
        "no-parts" => &mut guards.complete_snapshots_only,
        _ => return None,
    })
}
