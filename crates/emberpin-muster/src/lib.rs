//! Ballots: which item is chosen, and who votes.
#![forbid(unsafe_code)]
