//! Parses the stream of a watch of the list service: listings, each on one line or indented over several, and empty lines
//! as keep-alives. No I/O.

use crate::upstream::endpoint_list::Listing;

/// Longest listing; a watch that sends more is broken.
const LONGEST: usize = 1 << 20;

/// One event of a watch.
#[derive(Debug)]
pub enum WatchEvent {
    /// A keep-alive: the service has nothing newer.
    Nothing,
    /// A list, or changes to it.
    Listing(Listing),
}

/// A listing cannot be parsed. It may have said that a server drains, so the list must be fetched again.
#[derive(Debug, PartialEq)]
pub struct InvalidListing;

/// The state of parsing one watch.
#[derive(Debug, Default)]
pub struct WatchParser {
    held: Vec<u8>,
    /// How many of these bytes were parsed.
    seen: usize,
    /// Where the present line began.
    line: usize,
    /// How many objects and arrays are open.
    depth: usize,
    in_text: bool,
    escaped: bool,
}

impl WatchParser {
    /// Takes bytes of the stream, and returns the events that they complete.
    ///
    /// # Errors
    ///
    /// [`InvalidListing`] for what is no listing or too long; the watch must be started anew.
    pub fn take(&mut self, bytes: &[u8]) -> Result<Vec<WatchEvent>, InvalidListing> {
        self.held.extend_from_slice(bytes);
        let mut told = Vec::new();
        while let Some(byte) = self.held.get(self.seen).copied() {
            self.seen += 1;
            match byte {
                b'\n' => {
                    if let Some(line) = self.ends_line()? {
                        told.push(line);
                    }
                }
                _ if self.escaped => self.escaped = false,
                b'\\' if self.in_text => self.escaped = true,
                b'"' => self.in_text = !self.in_text,
                b'{' | b'[' if !self.in_text => self.depth += 1,
                b'}' | b']' if !self.in_text => self.depth = self.depth.saturating_sub(1),
                _ => {}
            }
        }
        if self.held.len() > LONGEST {
            return Err(InvalidListing);
        }
        Ok(told)
    }

    /// A line has ended: a listing with it, if nothing is open any more.
    fn ends_line(&mut self) -> Result<Option<WatchEvent>, InvalidListing> {
        let line = self.held[self.line..self.seen].trim_ascii();
        let first = self.line == 0;
        if first && line.is_empty() {
            self.begin();
            return Ok(Some(WatchEvent::Nothing));
        }
        if self.depth > 0 {
            // An indented listing opens on a line of its own, and holds no empty line and no other's beginning. What else
            // is open at the end of its line was cut off.
            let goes_on = if first {
                line == b"{"
            } else {
                !line.is_empty() && self.held[self.line] != b'{'
            };
            self.line = self.seen;
            return if goes_on && !self.in_text {
                Ok(None)
            } else {
                Err(InvalidListing)
            };
        }
        let listing =
            serde_json::from_slice(&self.held[..self.seen]).map_err(|_| InvalidListing)?;
        self.begin();
        Ok(Some(WatchEvent::Listing(listing)))
    }

    /// The next thing begins.
    fn begin(&mut self) {
        self.held.drain(..self.seen);
        *self = WatchParser {
            held: std::mem::take(&mut self.held),
            ..WatchParser::default()
        };
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const COMPACT: &str = r#"{"rev":7,"all":true,"targets":[{"uid":"a\"}{[","endpoint":"127.0.0.1:1","az":"x","state":"ready"}]}"#;

    fn indented() -> String {
        let value: serde_json::Value = serde_json::from_str(COMPACT).expect("sound");
        serde_json::to_string_pretty(&value).expect("written")
    }

    /// What all of this told, in words, byte by byte or at once.
    fn told(text: &str, piece: usize) -> Result<Vec<String>, InvalidListing> {
        let mut watch = WatchParser::default();
        let mut all = Vec::new();
        for bytes in text.as_bytes().chunks(piece) {
            all.extend(watch.take(bytes)?.into_iter().map(|told| match told {
                WatchEvent::Nothing => "nothing".to_string(),
                WatchEvent::Listing(listing) => {
                    format!("{} of {}", listing.targets.len(), listing.rev)
                }
            }));
        }
        Ok(all)
    }

    #[test]
    fn listings_come_on_one_line_or_indented_over_several() {
        let text = format!("\n{COMPACT}\n\r\n{}\n\n{COMPACT}\r\n", indented());
        for piece in [1, 3, 64, 4096] {
            let words = told(&text, piece).expect("sound");
            assert_eq!(
                words,
                ["nothing", "1 of 7", "nothing", "1 of 7", "nothing", "1 of 7"],
                "{piece}"
            );
        }
    }

    #[test]
    fn what_is_cut_off_is_garbled_at_the_end_of_its_line() {
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
            format!("{}\n", "x".repeat(LONGEST + 1)),
        ];
        for text in garbled {
            assert_eq!(
                told(&text, 512).expect_err("garbled"),
                InvalidListing,
                "{text:.80}"
            );
        }
    }

    proptest::proptest! {
        #[test]
        fn no_bytes_panic_or_are_held_without_bound(bytes in proptest::collection::vec(proptest::prelude::any::<u8>(), 0..400)) {
            let mut watch = WatchParser::default();
            _ = watch.take(&bytes);
            proptest::prop_assert!(watch.held.len() <= 400);
        }
    }
}
