//! The `emberpin-registry` binary; all code is in the library.
#![forbid(unsafe_code)]

use std::process::ExitCode;

fn main() -> ExitCode {
    emberpin_registry::program::main(std::env::args_os().skip(1))
}
