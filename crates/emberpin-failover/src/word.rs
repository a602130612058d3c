//! What limiters tell each other about work in hand.

use emberpin_peering::Life;
use serde::{Deserialize, Serialize};

/// Milliseconds.
pub type Millis = f64;

/// A limiter, by its number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member(pub u32);

/// One piece of work: a claim of one life of the limiter that it came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct WorkId {
    /// To whom it came.
    pub claimant: Member,
    /// In which life.
    pub life: Life,
    /// Its number there, never used again in that life.
    pub claim: u64,
}

/// Who may go on with a work: the highest that a majority has promised. The claimant's own is the lowest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    /// Above all that were heard of.
    pub round: u32,
    /// Whose it is.
    pub of: Member,
}

/// The servers that drop a repeat together, as the settings number them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Hall {
    /// Zone.
    pub zone: u32,
    /// Cell.
    pub cell: u32,
}

/// Where an attempt went, as a keeper has it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Went {
    /// To which hall the first one went, or was about to.
    pub hall: Hall,
    /// So long ago, at the longest.
    pub ago: Millis,
}

/// The work itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Work {
    /// All that another limiter needs to go on with it.
    pub payload: Vec<u8>,
    /// The hall drops a repeat for so long; without it the work is never sent again once it may have run.
    pub window: Option<Millis>,
    /// Nothing is begun for it later than so long from now.
    pub within: Millis,
}

/// What becomes of work whose limiter is gone and that nobody goes on with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// Nothing of it was sent, and nothing will be: its key is as if it had never come.
    NotSent,
    /// It may have run.
    MayHaveRun,
}

/// A message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Said {
    /// An attempt is about to go out.
    Going {
        /// Of which work.
        id: WorkId,
        /// Under which ballot.
        ballot: Ballot,
        /// The life that the asked one had when the work began.
        seen: Life,
        /// Where the first attempt goes, or went.
        went: Went,
        /// The work.
        work: Work,
    },
    /// It is written down.
    Noted {
        /// Which work.
        id: WorkId,
        /// Under which ballot.
        ballot: Ballot,
    },
    /// A higher ballot was promised, or this keeper is not the one that was meant, or has no place.
    Refused {
        /// Which work.
        id: WorkId,
        /// What was asked for.
        ballot: Ballot,
        /// What was promised, if that is why.
        promised: Option<Ballot>,
    },
    /// Who may go on with a work? Promise it.
    Prepare {
        /// Which work.
        id: WorkId,
        /// Under which ballot.
        ballot: Ballot,
        /// The life that the asked one had when the key was granted.
        seen: Life,
    },
    /// No lower ballot gets anything through here.
    Promised {
        /// Which work.
        id: WorkId,
        /// Which ballot.
        ballot: Ballot,
        /// What is known of it, with the ballot that told it last.
        kept: Option<(Ballot, Went, Work)>,
    },
    /// It has its outcome: nobody needs to keep it.
    Over(WorkId),
    /// That is known here.
    Known(WorkId),
    /// Nobody goes on with it.
    Ended(WorkId, Verdict),
}
