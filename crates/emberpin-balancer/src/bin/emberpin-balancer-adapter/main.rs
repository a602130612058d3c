//! Hosts gateways for a simulator: it reads events from standard input as lines of JSON, and writes the gateways'
//! actions to standard output. It takes no decision.
#![forbid(unsafe_code)]

mod adapter;
mod translate;
mod wire;

use adapter::{Adapter, LineError, Progress};
use std::io::{BufRead, Write};

/// Why the conversation with the simulator ended early.
#[derive(Debug, thiserror::Error)]
#[error("line {number}: {error}")]
struct ConversationError {
    /// The line of input, counted from 1.
    number: u64,
    #[source]
    error: LineError,
}

fn main() {
    // A gateway that panics is reported to the simulator as a line; standard error stays for the adapter's own end.
    std::panic::set_hook(Box::new(|_| {}));
    if let Err(error) = converse(std::io::stdin().lock(), std::io::stdout().lock()) {
        eprintln!("emberpin-balancer-adapter: {error}");
        std::process::exit(2);
    }
}

/// Answers batch after batch until the input ends.
fn converse(mut input: impl BufRead, mut output: impl Write) -> Result<(), ConversationError> {
    let mut adapter = Adapter::default();
    let mut text = Vec::new();
    for number in 1u64.. {
        text.clear();
        let progress = read_line(&mut input, &mut text)
            .and_then(|more| adapter.handle_text(more.then_some(text.as_slice())))
            .and_then(|progress| {
                if progress == Progress::BatchComplete {
                    adapter.flush_output(&mut output)?;
                }
                Ok(progress)
            })
            .map_err(|error| ConversationError { number, error })?;
        if progress == Progress::InputEnded {
            break;
        }
    }
    Ok(())
}

/// Reads one line; `false` at the end of the input.
fn read_line(input: &mut impl BufRead, text: &mut Vec<u8>) -> Result<bool, LineError> {
    Ok(input.read_until(b'\n', text)? > 0)
}
