//! The store's executable, a wrapper around the library.
#![forbid(unsafe_code)]

use std::process::ExitCode;

fn main() -> ExitCode {
    emberpin_store::program::main(std::env::args_os().skip(1))
}
