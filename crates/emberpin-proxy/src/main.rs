//! The `emberpin-proxy` program, whose implementation is in the library.
#![forbid(unsafe_code)]

use std::process::ExitCode;

fn main() -> ExitCode {
    emberpin_proxy::program::main(std::env::args_os().skip(1))
}
