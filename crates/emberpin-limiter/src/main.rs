//! The limiter's executable; the whole implementation is in the library.
#![forbid(unsafe_code)]

use std::process::ExitCode;

fn main() -> ExitCode {
    emberpin_limiter::operate::command::main(std::env::args_os())
}
