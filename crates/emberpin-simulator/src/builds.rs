//! Wrong builds: each lacks one guard.

use emberpin_consensus::Guards as Consensus;
use emberpin_membership::guards::Guards as Watch;
use emberpin_routing::guards::Guards as Router;

/// The guards of all cores that a run goes by.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Build {
    pub(crate) consensus: Consensus,
    pub(crate) watch: Watch,
    pub(crate) router: Router,
    pub(crate) proxy: Proxy,
}

/// What keeps the model of a limiter right, as it keeps the limiter.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Proxy {
    /// Only routes to known services are followed, and one for each place.
    pub in_force: bool,
    /// Ready only after the word of a registry that hears a majority.
    pub settled: bool,
    /// A session with a registry that hears no majority ends.
    pub leaves: bool,
    /// Changes that go on from a place tell all that there is, as a snapshot does.
    pub resumes: bool,
    /// Registries that can confirm nothing name others.
    pub hints: bool,
    /// A snapshot in parts has told all that there is with its last part only.
    pub parts: bool,
}

impl Default for Proxy {
    fn default() -> Proxy {
        Proxy {
            in_force: true,
            settled: true,
            leaves: true,
            resumes: true,
            hints: true,
            parts: true,
        }
    }
}

/// The names of all wrong builds.
pub const WRONG: &[&str] = &[
    "no-amnesia",
    "no-promise",
    "no-carry",
    "no-joint",
    "no-sync",
    "no-lacking",
    "no-ballot",
    "no-newest",
    "no-whole",
    "no-late",
    "no-spread",
    "no-heard",
    "no-founding",
    "no-superseded",
    "no-history",
    "no-awake",
    "no-majority",
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

impl Build {
    /// Takes out the guard that a wrong build of this name lacks; whether there is one.
    pub fn without(&mut self, name: &str) -> bool {
        if name == "no-returned" {
            // Each of these two is enough.
            self.watch.cold_after_evacuation = false;
        }
        if name == "no-heard" {
            // Either keeps a roster from staying at four of which one is gone for good.
            self.consensus.evict_early_without_margin = false;
        }
        let guard = match name {
            "no-amnesia" => &mut self.consensus.catch_up_before_voting,
            "no-promise" => &mut self.consensus.keep_promises,
            "no-carry" => &mut self.consensus.repropose_accepted,
            "no-joint" => &mut self.consensus.joint_quorums,
            "no-sync" => &mut self.consensus.sync_before_reply,
            "no-lacking" => &mut self.consensus.transfer_missing_items,
            "no-ballot" => &mut self.consensus.keep_accepted_ballot,
            "no-newest" => &mut self.consensus.evaluate_on_quorum_state,
            "no-whole" => &mut self.consensus.atomic_calls,
            "no-late" => &mut self.consensus.evacuation_deadline,
            "no-open" => &mut self.consensus.compare_accepted,
            "no-spread" => &mut self.consensus.tolerance_quorum,
            "no-heard" => &mut self.consensus.listen_before_joining,
            "no-founding" => &mut self.consensus.bootstrap_agreement,
            "no-superseded" => &mut self.consensus.propose_superseded,
            "no-history" => &mut self.consensus.propose_history,
            "no-awake" => &mut self.consensus.reject_evacuation_after_pause,
            "no-majority" => &mut self.watch.majority_acknowledgement,
            "no-rises" => &mut self.watch.monotonic_status,
            "no-silence" => &mut self.watch.confirmed_eviction,
            "no-repair" => &mut self.watch.repair_from_proxies,
            "no-displace" => &mut self.watch.displacement,
            "no-place" => &mut self.watch.revision_check,
            "no-fleet-rises" => &mut self.router.monotonic_status,
            "no-returned" => &mut self.router.warmup_after_evacuation,
            "no-quiet" => &mut self.router.quiet_period,
            "no-greatest" => &mut self.router.highest_limiter_count,
            "no-admission" => &mut self.router.hashed_admission,
            "no-in-force" => &mut self.proxy.in_force,
            "no-settled" => &mut self.proxy.settled,
            "no-leaves" => &mut self.proxy.leaves,
            "no-resumes" => &mut self.proxy.resumes,
            "no-hints" => &mut self.proxy.hints,
            "no-parts" => &mut self.proxy.parts,
            "no-lease" => &mut self.watch.lease_from_query,
            _ => return false,
        };
        *guard = false;
        true
    }
}
