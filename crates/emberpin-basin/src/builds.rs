//! Wrong builds: each lacks one guard.

use emberpin_fairway::guards::Guards as Fairway;
use emberpin_muster::Guards as Muster;
use emberpin_watch::guards::Guards as Watch;

/// The guards of all cores that a run goes by.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Build {
    pub(crate) muster: Muster,
    pub(crate) watch: Watch,
    pub(crate) fairway: Fairway,
    pub(crate) pilot: Pilot,
}

/// What keeps the model of a limiter right, as it keeps the limiter.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Pilot {
    /// Only routes to known services are followed, and one for each place.
    pub in_force: bool,
    /// Ready only after the word of a registry that hears a majority.
    pub settled: bool,
    /// A session with a registry that hears no majority ends.
    pub leaves: bool,
    /// Changes that go on from a place tell all that there is, as a snapshot does.
    pub resumes: bool,
}

impl Default for Pilot {
    fn default() -> Pilot {
        Pilot { in_force: true, settled: true, leaves: true, resumes: true }
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
];

impl Build {
    /// Takes out the guard that a wrong build of this name lacks; whether there is one.
    pub fn without(&mut self, name: &str) -> bool {
        if name == "no-returned" {
            // Each of these two is enough.
            self.watch.returned = false;
        }
        let guard = match name {
            "no-amnesia" => &mut self.muster.amnesia,
            "no-promise" => &mut self.muster.promise,
            "no-carry" => &mut self.muster.carry,
            "no-joint" => &mut self.muster.joint,
            "no-sync" => &mut self.muster.sync,
            "no-lacking" => &mut self.muster.lacking,
            "no-ballot" => &mut self.muster.ballot,
            "no-newest" => &mut self.muster.newest,
            "no-whole" => &mut self.muster.whole,
            "no-late" => &mut self.muster.late,
            "no-spread" => &mut self.muster.spread,
            "no-majority" => &mut self.watch.majority,
            "no-rises" => &mut self.watch.rises,
            "no-silence" => &mut self.watch.silence,
            "no-repair" => &mut self.watch.repair,
            "no-displace" => &mut self.watch.displace,
            "no-place" => &mut self.watch.place,
            "no-fleet-rises" => &mut self.fairway.rises,
            "no-returned" => &mut self.fairway.returned,
            "no-quiet" => &mut self.fairway.quiet,
            "no-greatest" => &mut self.fairway.greatest,
            "no-admission" => &mut self.fairway.admission,
            "no-in-force" => &mut self.pilot.in_force,
            "no-settled" => &mut self.pilot.settled,
            "no-leaves" => &mut self.pilot.leaves,
            "no-resumes" => &mut self.pilot.resumes,
            _ => return false,
        };
        *guard = false;
        true
    }
}
