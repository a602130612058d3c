//! Hosts gateways for the simulator: reads its events from standard input as lines of JSON, and writes the
//! gateways' actions to standard output. It takes no decisions.
#![forbid(unsafe_code)]

mod adapter;
mod translate;
mod wire;

use adapter::{Adapter, LineError, Progress};
use std::io::{BufRead, Write};

/// An error that ended the run, with the line of input that it occurred at.
#[derive(Debug, thiserror::Error)]
#[error("line {number}: {error}")]
struct RunError {
    /// The line of input, counted from 1.
    number: u64,
    #[source]
    error: LineError,
}

fn main() {
    // Suppress panic messages: a gateway's panic is reported to the simulator as a line of output, and standard
    // error is reserved for the error that ends the adapter.
    std::panic::set_hook(Box::new(|_| {}));
    if let Err(error) = run(std::io::stdin().lock(), std::io::stdout().lock()) {
        eprintln!("emberpin-balancer-adapter: {error}");
        std::process::exit(2);
    }
}

/// Handles lines and answers each batch until the input ends.
fn run(mut input: impl BufRead, mut output: impl Write) -> Result<(), RunError> {
    let mut adapter = Adapter::default();
    let mut text = Vec::new();
    for number in 1u64.. {
        text.clear();
        let progress = read_line(&mut input, &mut text)
            .and_then(|has_line| adapter.handle_text(has_line.then_some(text.as_slice())))
            .and_then(|progress| {
                if progress == Progress::BatchComplete {
                    adapter.flush_output(&mut output)?;
                }
                Ok(progress)
            })
            .map_err(|error| RunError { number, error })?;
        if progress == Progress::InputEnded {
            break;
        }
    }
    Ok(())
}

/// Reads one line; returns `false` at the end of the input.
fn read_line(input: &mut impl BufRead, text: &mut Vec<u8>) -> Result<bool, LineError> {
    Ok(input.read_until(b'\n', text)? > 0)
}
