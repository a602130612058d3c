//! The registry: sessions of limiters and lives of servers, and the outside calls.
#![forbid(unsafe_code)]
