//! What a watch of the list service tells, cut out of its bytes: one listing a line or indented over several lines, and empty
//! lines while there is nothing new. No I/O.

use crate::upstream::listing::Listing;

/// Longest listing; a watch that sends more is broken.
const LONGEST: usize = 1 << 20;

/// One thing that a watch told.
#[derive(Debug)]
pub enum Told {
    /// The service lives, and has nothing newer.
    Nothing,
    /// A list, or changes to it.
    Listing(Listing),
}

/// A listing cannot be read, and may have held a drain: what it said is to be asked for again.
#[derive(Debug, PartialEq)]
pub struct Garbled;

/// The bytes of one watch.
#[derive(Debug, Default)]
pub struct Watch {
    held: Vec<u8>,
    /// So many of them were looked at.
    seen: usize,
    /// The line that is looked at began here.
    line: usize,
    /// Objects and arrays that are open.
    depth: usize,
    in_text: bool,
    escaped: bool,
}

impl Watch {
    /// Takes bytes in, and says what they told. After [`Garbled`] the watch is to be begun anew.
    pub fn take(&mut self, bytes: &[u8]) -> Result<Vec<Told>, Garbled> {
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
            return Err(Garbled);
        }
        Ok(told)
    }

    /// A line has ended: a listing with it, if nothing is open any more.
    fn ends_line(&mut self) -> Result<Option<Told>, Garbled> {
        let line = self.held[self.line..self.seen].trim_ascii();
        let first = self.line == 0;
        if first && line.is_empty() {
            self.begin();
            return Ok(Some(Told::Nothing));
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
                Err(Garbled)
            };
        }
        let listing = serde_json::from_slice(&self.held[..self.seen]).map_err(|_| Garbled)?;
        self.begin();
        Ok(Some(Told::Listing(listing)))
    }

    /// The next thing begins.
    fn begin(&mut self) {
        self.held.drain(..self.seen);
        *self = Watch {
            held: std::mem::take(&mut self.held),
            ..Watch::default()
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
    fn told(text: &str, piece: usize) -> Result<Vec<String>, Garbled> {
        let mut watch = Watch::default();
        let mut all = Vec::new();
        for bytes in text.as_bytes().chunks(piece) {
            all.extend(watch.take(bytes)?.into_iter().map(|told| match told {
                Told::Nothing => "nothing".to_string(),
                Told::Listing(listing) => format!("{} of {}", listing.targets.len(), listing.rev),
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
                Garbled,
                "{text:.80}"
            );
        }
    }

    proptest::proptest! {
        #[test]
        fn no_bytes_panic_or_are_held_without_bound(bytes in proptest::collection::vec(proptest::prelude::any::<u8>(), 0..400)) {
            let mut watch = Watch::default();
            _ = watch.take(&bytes);
            proptest::prop_assert!(watch.held.len() <= 400);
        }
    }
}
