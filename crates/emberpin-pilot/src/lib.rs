//! The proxy: carries the traffic, decided by dillpass.
#![forbid(unsafe_code)]
