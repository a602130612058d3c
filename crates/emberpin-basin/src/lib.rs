//! Scenarios as small text files, played on simulated time.
#![forbid(unsafe_code)]
