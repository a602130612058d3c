//! Reads the tokens of a line in order.

use super::error::{Found, ParseErrorKind};
use crate::machine::{CoreId, Machine, ProxyId};
use emberpin_config::schema::parse_duration;
use std::borrow::Cow;
use std::iter::Peekable;
use std::ops::Range;
use std::str::{FromStr, SplitWhitespace};
use std::time::Duration;

/// The tokens that separate two lists of machines.
const LINK_SIGNS: [&str; 2] = ["|", ">"];
// Descriptions of expected tokens for error messages.
const TIME: &str = "a time such as 2s or 1500ms";
const PERCENT: &str = "a part such as 5%";

/// The tokens of a line that have not been read yet.
pub(super) struct Tokens<'a> {
    tokens: Peekable<SplitWhitespace<'a>>,
    /// The number of core machines that the word `cores` stands for.
    cores: u8,
    /// The number of proxies that the word `limiters` stands for.
    proxies: u8,
}

impl<'a> Tokens<'a> {
    pub(super) fn new(line: &'a str, cores: u8, proxies: u8) -> Tokens<'a> {
        Tokens {
            tokens: line.split_whitespace().peekable(),
            cores,
            proxies,
        }
    }

    /// Reads the next token; at the end of the line, the error names what was `expected`.
    pub(super) fn next(
        &mut self,
        expected: impl Into<Cow<'static, str>>,
    ) -> Result<&'a str, ParseErrorKind> {
        self.tokens.next().ok_or_else(|| ParseErrorKind::Expected {
            expected: expected.into(),
            found: Found::EndOfLine,
        })
    }

    /// Reads all remaining tokens.
    pub(super) fn rest(&mut self) -> impl Iterator<Item = &'a str> + use<'_, 'a> {
        self.tokens.by_ref()
    }

    /// Reads the next token if it is this one. Returns whether it is.
    pub(super) fn next_if_is(&mut self, token: &str) -> bool {
        self.tokens.next_if(|next| *next == token).is_some()
    }

    pub(super) fn is_at_end(&mut self) -> bool {
        self.tokens.peek().is_none()
    }

    pub(super) fn expect_end(&mut self) -> Result<(), ParseErrorKind> {
        match self.tokens.next() {
            Some(token) => Err(ParseErrorKind::unexpected(token, "the end of the line")),
            None => Ok(()),
        }
    }

    pub(super) fn expect_keyword(&mut self, keyword: &str) -> Result<(), ParseErrorKind> {
        let expected = format!("{keyword:?}");
        match self.next(expected.clone())? {
            found if found == keyword => Ok(()),
            found => Err(ParseErrorKind::unexpected(found, expected)),
        }
    }

    /// Reads one of several tokens, and returns the value that it stands for.
    pub(super) fn one_of<T: Copy>(
        &mut self,
        expected: &'static str,
        choices: &[(&str, T)],
    ) -> Result<T, ParseErrorKind> {
        let token = self.next(expected)?;
        choices
            .iter()
            .find(|(choice, _)| *choice == token)
            .map(|(_, meaning)| *meaning)
            .ok_or_else(|| ParseErrorKind::unexpected(token, expected))
    }

    pub(super) fn number<T: FromStr>(
        &mut self,
        expected: &'static str,
    ) -> Result<T, ParseErrorKind> {
        parse_token(self.next(expected)?, expected)
    }

    pub(super) fn duration(&mut self) -> Result<Duration, ParseErrorKind> {
        parse_time(self.next(TIME)?)
    }

    /// Reads a non-empty range such as `1ms..8ms`.
    pub(super) fn duration_range(&mut self) -> Result<Range<Duration>, ParseErrorKind> {
        let token = self.next("two times such as 1ms..8ms")?;
        let (low, high) = token
            .split_once("..")
            .ok_or_else(|| ParseErrorKind::unexpected(token, "1ms..8ms"))?;
        let range = parse_time(low)?..parse_time(high)?;
        if range.is_empty() {
            return Err(ParseErrorKind::unexpected(token, "a span that isn't empty"));
        }
        Ok(range)
    }

    pub(super) fn percent(&mut self) -> Result<u64, ParseErrorKind> {
        let token = self.next(PERCENT)?;
        let number = token.strip_suffix('%').unwrap_or("-");
        parse_token(number, PERCENT)
    }

    pub(super) fn machine(&mut self) -> Result<Machine, ParseErrorKind> {
        parse_machine(self.next("a machine")?)
    }

    pub(super) fn core(&mut self) -> Result<CoreId, ParseErrorKind> {
        match parse_machine(self.next("a machine such as core-1")?)? {
            Machine::Core(core) => Ok(core),
            Machine::Proxy(_) => Err(ParseErrorKind::Expected {
                expected: "a core machine".into(),
                found: Found::Proxy,
            }),
        }
    }

    /// Reads one or more machines, up to the end of the line or a link sign.
    pub(super) fn machines(&mut self) -> Result<Vec<Machine>, ParseErrorKind> {
        let mut machines = Vec::new();
        while let Some(token) = self.tokens.next_if(|token| !LINK_SIGNS.contains(token)) {
            match token {
                "cores" => machines.extend(self.all_cores()),
                "limiters" => machines.extend(self.all_proxies()),
                name => machines.push(parse_machine(name)?),
            }
        }
        if machines.is_empty() {
            return Err(ParseErrorKind::Missing("machines such as core-1 limiter-2"));
        }
        Ok(machines)
    }

    fn all_cores(&self) -> impl Iterator<Item = Machine> + use<> {
        (1..=self.cores).map(|number| Machine::Core(CoreId(number)))
    }

    fn all_proxies(&self) -> impl Iterator<Item = Machine> + use<> {
        (1..=self.proxies).map(|number| Machine::Proxy(ProxyId(number)))
    }
}

/// Parses a token, or a part of one.
pub(super) fn parse_token<T: FromStr>(
    token: &str,
    expected: &'static str,
) -> Result<T, ParseErrorKind> {
    token
        .parse()
        .map_err(|_| ParseErrorKind::unexpected(token, expected))
}

/// Parses a time; fractions of a millisecond are cut off.
pub(super) fn parse_time(token: &str) -> Result<Duration, ParseErrorKind> {
    let time = parse_duration(token).ok_or_else(|| ParseErrorKind::unexpected(token, TIME))?;
    Ok(Duration::from_millis(time.as_millis() as u64))
}

/// Parses the name of a machine.
pub(super) fn parse_machine(token: &str) -> Result<Machine, ParseErrorKind> {
    let unexpected = || ParseErrorKind::unexpected(token, "a machine such as core-1 or limiter-1");
    let (kind, number) = token.split_once('-').ok_or_else(unexpected)?;
    let number = number.parse().map_err(|_| unexpected())?;
    match kind {
        "core" => Ok(Machine::Core(CoreId(number))),
        "limiter" => Ok(Machine::Proxy(ProxyId(number))),
        _ => Err(unexpected()),
    }
}
