//! A ring of log lines in memory, written out when something goes wrong, and little else.

use log::LevelFilter;
use simplelog::{ConfigBuilder, WriteLogger};
use std::collections::VecDeque;
use std::io::{self, Write};

/// Most bytes that are kept; older lines give way.
const MOST: usize = 32 << 10;

/// Keeps lines, and writes all that it has once one of them is an error.
#[derive(Default)]
struct Ring<W: Write> {
    lines: VecDeque<Vec<u8>>,
    size: usize,
    line: Vec<u8>,
    out: W,
}

impl<W: Write> Ring<W> {
    fn end_line(&mut self) -> io::Result<()> {
        let line = std::mem::take(&mut self.line);
        let wrong = line.windows(7).any(|part| part == b"[ERROR]");
        self.size += line.len();
        self.lines.push_back(line);
        while self.size > MOST {
            self.size -= self.lines.pop_front().map_or(self.size, |line| line.len());
        }
        if wrong {
            for line in self.lines.drain(..) {
                self.out.write_all(&line)?;
            }
            self.size = 0;
            self.out.flush()?;
        }
        Ok(())
    }
}

impl<W: Write> Write for Ring<W> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        for byte in bytes {
            self.line.push(*byte);
            if *byte == b'\n' {
                self.end_line()?;
            }
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Keeps what is logged from now on, at this level and above; `error!` writes out all that is kept, to standard error.
/// A second call changes nothing.
pub fn init(level: LevelFilter) {
    to(level, io::stderr());
}

fn to(level: LevelFilter, out: impl Write + Send + 'static) {
    let config = ConfigBuilder::new()
        .set_time_level(LevelFilter::Off)
        .set_target_level(LevelFilter::Error)
        .build();
    let ring = Ring {
        lines: VecDeque::new(),
        size: 0,
        line: Vec::new(),
        out,
    };
    _ = WriteLogger::init(level, config, ring);
}
