//! Soundings: what the control part costs at small sizes, measured on real processes, and by straight lines
//! what it would cost at the design's size.
//!
//! Stores, registries and one proxy are processes of their own; limiters and servers are hollow, within this
//! one.
#![forbid(unsafe_code)]

pub mod fit;
pub mod hollow;
pub mod http;
pub mod process;
pub mod report;
pub mod run;
pub mod size;
pub mod texts;
