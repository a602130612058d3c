//! In-memory logging: the latest log lines are buffered, and are written to standard error only when an error is
//! logged.

use log::LevelFilter;
use simplelog::{ConfigBuilder, WriteLogger};
use std::collections::VecDeque;
use std::io::{self, Write};

/// The maximum total size of the buffered log lines, in bytes. Beyond this the oldest lines are dropped.
const MAX_BUFFERED_BYTES: usize = 32 << 10;
/// The text by which `simplelog` marks the lines of errors.
const ERROR_MARK: &[u8] = b"[ERROR]";

/// Starts logging at this level and above. Lines are buffered in memory until an error is logged, which writes all of
/// them to standard error. A second call has no effect.
pub fn init(level: LevelFilter) {
    let config = ConfigBuilder::new()
        .set_time_level(LevelFilter::Off)
        .set_target_level(LevelFilter::Error)
        .build();
    let buffer = RingBuffer::new(io::stderr());
    // Fails if a logger is already set, which is then kept.
    _ = WriteLogger::init(level, config, buffer);
}

/// A writer that buffers the latest lines, and writes all of them to its output when one of them is an error.
struct RingBuffer<W: Write> {
    lines: VecDeque<Vec<u8>>,
    /// The total length of `lines`.
    buffered_bytes: usize,
    /// The bytes since the last line break.
    current_line: Vec<u8>,
    output: W,
}

impl<W: Write> RingBuffer<W> {
    fn new(output: W) -> RingBuffer<W> {
        RingBuffer {
            lines: VecDeque::new(),
            buffered_bytes: 0,
            current_line: Vec::new(),
            output,
        }
    }

    fn end_line(&mut self) -> io::Result<()> {
        let line = std::mem::take(&mut self.current_line);
        let is_error = line
            .windows(ERROR_MARK.len())
            .any(|part| part == ERROR_MARK);
        self.buffered_bytes += line.len();
        self.lines.push_back(line);
        self.drop_oldest();
        if is_error {
            self.write_out()?;
        }
        Ok(())
    }

    fn drop_oldest(&mut self) {
        while self.buffered_bytes > MAX_BUFFERED_BYTES {
            let oldest = self.lines.pop_front();
            self.buffered_bytes -= oldest.map_or(self.buffered_bytes, |line| line.len());
        }
    }

    fn write_out(&mut self) -> io::Result<()> {
        for line in self.lines.drain(..) {
            self.output.write_all(&line)?;
        }
        self.buffered_bytes = 0;
        self.output.flush()
    }
}

impl<W: Write> Write for RingBuffer<W> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        for byte in bytes {
            self.current_line.push(*byte);
            if *byte == b'\n' {
                self.end_line()?;
            }
        }
        Ok(bytes.len())
    }

    /// Does nothing: only an error writes out the lines.
    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
