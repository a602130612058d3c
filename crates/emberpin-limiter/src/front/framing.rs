//! Detects requests with contradicting framings, which allow request smuggling. No I/O.
//!
//! If a head has both a `Content-Length` and a `Transfer-Encoding`, the HTTP library follows one of them (RFC 9112,
//! 6.3) and hides the other from its users. A proxy in front of this limiter or a server behind it may follow the other
//! one, and read a request that is hidden in a body. So this module also parses the received bytes, just enough to find
//! the end of each request and to detect such heads.

/// Number of bytes of a line that are examined: the header names and numbers that matter are shorter.
const EXAMINED_BYTES: usize = 64;

/// The parser's position in the byte stream of a connection.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Position {
    /// In a head, in its first line or a later one.
    Head { first: bool },
    /// In the line with the size of a chunk.
    ChunkSize,
    /// In the lines after the last chunk.
    Trailers,
    /// Unknown: the framing was contradictory or malformed, and further bytes are ignored.
    Lost,
}

/// The parser's state for one connection.
#[derive(Debug)]
pub struct Framing {
    position: Position,
    /// Bytes of a body, or of a chunk and its line end, that are still to be skipped.
    skip: u64,
    /// The first [`EXAMINED_BYTES`] bytes of the current line.
    line: Vec<u8>,
    /// The `Content-Length` of the current head.
    length: Option<u64>,
    /// Whether the current head has a `Transfer-Encoding`.
    chunked: bool,
    /// Whether any head so far was ambiguous; see [`Framing::is_ambiguous`].
    ambiguous: bool,
}

impl Default for Framing {
    fn default() -> Framing {
        Framing {
            position: Position::Head { first: true },
            skip: 0,
            line: Vec::with_capacity(EXAMINED_BYTES),
            length: None,
            chunked: false,
            ambiguous: false,
        }
    }
}

impl Framing {
    /// Whether a head on this connection stated its body's length in two ways, or in an invalid one.
    pub fn is_ambiguous(&self) -> bool {
        self.ambiguous
    }

    /// Whether the current message must have more lines: of its head, or of a chunked body's framing. False in a body
    /// with a `Content-Length`, and true once the position in the stream is unknown.
    pub fn expects_more_lines(&self) -> bool {
        match self.position {
            Position::Head { first: true } => self.line.iter().any(|byte| *byte != b'\r'),
            Position::Head { first: false }
            | Position::ChunkSize
            | Position::Trailers
            | Position::Lost => true,
        }
    }

    /// Whether the end of the body of the latest message is still to come.
    pub fn is_in_body(&self) -> bool {
        match self.position {
            Position::Head { first: true } => self.skip > 0,
            Position::ChunkSize | Position::Trailers => true,
            Position::Head { first: false } | Position::Lost => false,
        }
    }

    /// Processes the next received bytes.
    pub fn feed(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() && self.position != Position::Lost {
            if self.skip > 0 {
                let skipped = (self.skip.min(bytes.len() as u64)) as usize;
                self.skip -= skipped as u64;
                bytes = &bytes[skipped..];
                continue;
            }
            let end = bytes.iter().position(|byte| *byte == b'\n');
            let part = &bytes[..end.unwrap_or(bytes.len())];
            let free = EXAMINED_BYTES - self.line.len();
            self.line.extend_from_slice(&part[..part.len().min(free)]);
            let Some(end) = end else { return };
            bytes = &bytes[end + 1..];
            if self.line.last() == Some(&b'\r') {
                self.line.pop();
            }
            self.end_line();
            self.line.clear();
        }
    }

    fn end_line(&mut self) {
        match self.position {
            // Empty lines before a request are ignored (RFC 9112, 2.2).
            Position::Head { first: true } if self.line.is_empty() => {}
            Position::Head { first: true } => {
                (self.length, self.chunked) = (None, false);
                self.position = Position::Head { first: false };
            }
            Position::Head { first: false } if self.line.is_empty() => self.end_head(),
            Position::Head { first: false } => self.parse_header(),
            Position::ChunkSize => {
                let size = self
                    .line
                    .split(|byte| *byte == b';')
                    .next()
                    .unwrap_or_default();
                let size = std::str::from_utf8(size)
                    .ok()
                    .and_then(|size| u64::from_str_radix(size.trim(), 16).ok());
                match size {
                    Some(0) => self.position = Position::Trailers,
                    // The two bytes are the line end after the chunk.
                    Some(size) => self.skip = size.saturating_add(2),
                    // The HTTP library rejects the request.
                    None => self.position = Position::Lost,
                }
            }
            Position::Trailers if self.line.is_empty() => {
                self.position = Position::Head { first: true }
            }
            Position::Trailers | Position::Lost => {}
        }
    }

    fn parse_header(&mut self) {
        let Some(colon) = self.line.iter().position(|byte| *byte == b':') else {
            return;
        };
        let (name, value) = self.line.split_at(colon);
        if name.eq_ignore_ascii_case(b"transfer-encoding") {
            self.ambiguous |= std::mem::replace(&mut self.chunked, true);
        } else if name.eq_ignore_ascii_case(b"content-length") {
            let value = std::str::from_utf8(&value[1..])
                .ok()
                .and_then(|value| value.trim().parse().ok());
            self.ambiguous |=
                value.is_none() || self.length.is_some_and(|known| Some(known) != value);
            self.length = value;
        }
    }

    fn end_head(&mut self) {
        self.ambiguous |= self.chunked && self.length.is_some();
        self.position = match (self.ambiguous, self.chunked) {
            (true, _) => Position::Lost,
            (false, true) => Position::ChunkSize,
            (false, false) => {
                self.skip = self.length.unwrap_or(0);
                Position::Head { first: true }
            }
        };
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn ambiguous(text: &str) -> bool {
        let mut framing = Framing::default();
        framing.feed(text.as_bytes());
        framing.is_ambiguous()
    }

    const CONTRADICTING: &str =
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n";
    const CHUNKED: &str = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n\
         5;a=b\r\nab\r\nc\r\n3\r\ndef\r\n0\r\nTrailer: x\r\n\r\n";
    const SIZED: &str = "POST / HTTP/1.1\r\ncontent-length: 20\r\n\r\nTransfer-Encoding: a";

    #[test]
    fn contradicting_framings_are_detected_after_any_preceding_request() {
        assert!(ambiguous(CONTRADICTING) && ambiguous(&CONTRADICTING.replace("\r\n", "\n")));
        assert!(ambiguous(
            "POST / HTTP/1.1\nCONTENT-LENGTH: 3\nTRANSFER-ENCODING: chunked\n\n"
        ));
        for before in [
            CHUNKED,
            SIZED,
            "GET / HTTP/1.1\r\n\r\n",
            "\r\nGET / HTTP/1.1\r\n\r\n",
        ] {
            assert!(!ambiguous(before), "{before}");
            assert!(ambiguous(&format!("{before}{CONTRADICTING}")), "{before}");
        }
        assert!(ambiguous(
            "POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n"
        ));
        assert!(ambiguous("POST / HTTP/1.1\r\nContent-Length: +3x\r\n\r\n"));
    }

    #[test]
    fn empty_lines_do_not_begin_a_request() {
        let mut framing = Framing::default();
        framing.feed(SIZED.as_bytes());
        framing.feed(b"\r\n\r");
        assert!(!framing.expects_more_lines());
        framing.feed(b"\nG");
        assert!(framing.expects_more_lines());
    }

    proptest! {
        #[test]
        fn detection_does_not_depend_on_how_the_bytes_are_split(
            order in proptest::collection::vec(0usize..4, 1..5),
            split_sizes in proptest::collection::vec(1usize..9, 1..400),
        ) {
            let requests = [CHUNKED, SIZED, "GET / HTTP/1.1\r\n\r\n", CONTRADICTING];
            let text: String = order.iter().map(|index| requests[*index]).collect();
            let mut framing = Framing::default();
            let (mut rest, mut split_sizes) = (text.as_bytes(), split_sizes.iter().cycle());
            while !rest.is_empty() {
                let (part, after) = rest.split_at(rest.len().min(*split_sizes.next().expect("endless")));
                framing.feed(part);
                rest = after;
            }
            prop_assert_eq!(framing.is_ambiguous(), order.contains(&3));
        }
    }
}
