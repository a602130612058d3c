//! Parses the stream of a watch of the discovery service: endpoint lists, each on one line or indented over several,
//! and empty lines as keep-alives. No I/O.

use crate::upstream::endpoint_list::EndpointList;

/// Maximum size of one list; a watch that sends more is broken.
const MAX_LIST_BYTES: usize = 1 << 20;

/// One event of a watch.
#[derive(Debug)]
pub enum WatchEvent {
    /// A keep-alive: the service has nothing newer.
    KeepAlive,
    /// An endpoint list, or changes to it.
    List(EndpointList),
}

/// A list cannot be parsed. It may contain a server that drains, so it must be fetched again.
#[derive(Debug, PartialEq)]
pub struct InvalidList;

/// The state of parsing one watch.
#[derive(Debug, Default)]
pub struct WatchParser {
    /// Bytes of events that are not complete.
    buffer: Vec<u8>,
    /// How many of these bytes were parsed.
    parsed_length: usize,
    /// Where the current line starts.
    line_start: usize,
    /// How many objects and arrays are open.
    depth: usize,
    /// Whether the next byte is inside a JSON string.
    in_string: bool,
    /// Whether the next byte of the string is escaped.
    escaped: bool,
}

impl WatchParser {
    /// Parses more bytes of the stream, and returns the events that they complete.
    ///
    /// # Errors
    ///
    /// [`InvalidList`] if the bytes are not a list, or it is too long; the watch must be started again.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<WatchEvent>, InvalidList> {
        self.buffer.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(byte) = self.buffer.get(self.parsed_length).copied() {
            self.parsed_length += 1;
            match byte {
                b'\n' => {
                    if let Some(event) = self.on_line_end()? {
                        events.push(event);
                    }
                }
                _ if self.escaped => self.escaped = false,
                b'\\' if self.in_string => self.escaped = true,
                b'"' => self.in_string = !self.in_string,
                b'{' | b'[' if !self.in_string => self.depth += 1,
                b'}' | b']' if !self.in_string => self.depth = self.depth.saturating_sub(1),
                _ => {}
            }
        }
        if self.buffer.len() > MAX_LIST_BYTES {
            return Err(InvalidList);
        }
        Ok(events)
    }

    /// Handles the end of a line. A list ends with it if no object or array is open.
    fn on_line_end(&mut self) -> Result<Option<WatchEvent>, InvalidList> {
        let line = self.buffer[self.line_start..self.parsed_length].trim_ascii();
        let is_first = self.line_start == 0;
        if is_first && line.is_empty() {
            self.reset();
            return Ok(Some(WatchEvent::KeepAlive));
        }
        if self.depth > 0 {
            // An indented list begins with `{` on a line of its own, and contains no empty line and no line that begins
            // with `{`. Anything else that is open at the end of its line was truncated.
            let continues = if is_first {
                line == b"{"
            } else {
                !line.is_empty() && self.buffer[self.line_start] != b'{'
            };
            self.line_start = self.parsed_length;
            return if continues && !self.in_string {
                Ok(None)
            } else {
                Err(InvalidList)
            };
        }
        let list =
            serde_json::from_slice(&self.buffer[..self.parsed_length]).map_err(|_| InvalidList)?;
        self.reset();
        Ok(Some(WatchEvent::List(list)))
    }

    /// Discards the parsed bytes, and starts over for the next event.
    fn reset(&mut self) {
        self.buffer.drain(..self.parsed_length);
        *self = WatchParser {
            buffer: std::mem::take(&mut self.buffer),
            ..WatchParser::default()
        };
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const COMPACT: &str = r#"{"rev":7,"all":true,"targets":[{"uid":"a\"}{[","endpoint":"127.0.0.1:1","az":"x","state":"ready"}]}"#;

    fn indented() -> String {
        let value: serde_json::Value = serde_json::from_str(COMPACT).expect("valid JSON");
        serde_json::to_string_pretty(&value).expect("serializable")
    }

    /// The events of a text that arrives in pieces of this many bytes, as text.
    fn parsed(text: &str, piece: usize) -> Result<Vec<String>, InvalidList> {
        let mut watch = WatchParser::default();
        let mut all = Vec::new();
        for bytes in text.as_bytes().chunks(piece) {
            all.extend(watch.push(bytes)?.into_iter().map(|event| match event {
                WatchEvent::KeepAlive => "nothing".to_string(),
                WatchEvent::List(list) => {
                    format!("{} of {}", list.targets.len(), list.revision)
                }
            }));
        }
        Ok(all)
    }

    #[test]
    fn lists_are_parsed_on_one_line_or_indented_over_several() {
        let text = format!("\n{COMPACT}\n\r\n{}\n\n{COMPACT}\r\n", indented());
        for piece in [1, 3, 64, 4096] {
            let words = parsed(&text, piece).expect("valid lists");
            assert_eq!(
                words,
                ["nothing", "1 of 7", "nothing", "1 of 7", "nothing", "1 of 7"],
                "{piece}"
            );
        }
    }

    #[test]
    fn a_truncated_list_is_invalid_at_the_end_of_its_line() {
        let cut = &COMPACT[..COMPACT.len() / 2];
        let cut_indented = &indented()[..indented().len() / 2];
        let garbled = [
            format!("{cut}\n"),
            format!("{cut_indented}\n\n"),
            format!(
                "{}\n{COMPACT}\n",
                cut_indented.trim_end_matches(|c| c != '\n').trim_end()
            ),
            "nonsense\n".into(),
            "{}}\n".into(),
            format!("{}\n", "x".repeat(MAX_LIST_BYTES + 1)),
        ];
        for text in garbled {
            assert_eq!(
                parsed(&text, 512).expect_err("garbled"),
                InvalidList,
                "{text:.80}"
            );
        }
    }

    proptest::proptest! {
        #[test]
        fn no_bytes_panic_or_are_buffered_without_bound(bytes in proptest::collection::vec(proptest::prelude::any::<u8>(), 0..400)) {
            let mut watch = WatchParser::default();
            _ = watch.push(&bytes);
            proptest::prop_assert!(watch.buffer.len() <= 400);
        }
    }
}
