//! Which call a path and a method are: a tree of matchers over the path's segments.

use std::borrow::Cow;

/// A segment that takes any text is no longer than this.
const LONGEST: usize = 128;

/// The calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// A server's beat.
    Heartbeat,
    /// A server's end.
    Leave,
    /// A change of the configuration.
    Patch,
    /// The whole configuration.
    Get,
    /// The beginning of an evacuation.
    Begin,
    /// The end of one.
    Finish,
    /// How this registry stands.
    Status,
}

/// A path and method that are no call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unmatched {
    /// No call has the path.
    Path,
    /// The path's call has this method.
    Method(&'static str),
}

/// Matches one segment and hands the rest to those below.
struct Matcher {
    /// `None`: any segment, which is the call's subject.
    text: Option<&'static str>,
    below: &'static [Matcher],
    /// The path may end here.
    end: Option<(&'static str, Call)>,
}

const fn at(text: &'static str, below: &'static [Matcher]) -> Matcher {
    Matcher {
        text: Some(text),
        below,
        end: None,
    }
}

const fn any(below: &'static [Matcher]) -> Matcher {
    Matcher {
        text: None,
        below,
        end: None,
    }
}

const fn end(text: &'static str, method: &'static str, call: Call) -> Matcher {
    Matcher {
        text: Some(text),
        below: &[],
        end: Some((method, call)),
    }
}

const ROOT: &[Matcher] = &[
    at(
        "instances",
        &[any(&[
            end("heartbeat", "POST", Call::Heartbeat),
            end("leave", "POST", Call::Leave),
        ])],
    ),
    at(
        "config",
        &[
            end("patch", "POST", Call::Patch),
            end("get", "GET", Call::Get),
        ],
    ),
    at(
        "evac",
        &[any(&[
            end("begin", "POST", Call::Begin),
            end("finish", "POST", Call::Finish),
        ])],
    ),
    end("status", "GET", Call::Status),
];

/// The call, and its subject, if it has one: the segment that may be any.
///
/// # Errors
///
/// [`Unmatched`].
pub fn route<'a>(method: &str, path: &'a str) -> Result<(Call, Cow<'a, str>), Unmatched> {
    let segments = path.strip_prefix('/').ok_or(Unmatched::Path)?;
    let mut subject = Cow::Borrowed("");
    let (mut level, mut found) = (ROOT, None);
    for segment in segments.split('/') {
        let matcher = level.iter().find(|matcher| match matcher.text {
            Some(text) => text == segment,
            None => !segment.is_empty() && segment.len() <= LONGEST,
        });
        let matcher = matcher.ok_or(Unmatched::Path)?;
        if matcher.text.is_none() {
            subject = decoded(segment).ok_or(Unmatched::Path)?;
        }
        (level, found) = (matcher.below, matcher.end);
    }
    match found {
        Some((expected, call)) if expected == method => Ok((call, subject)),
        Some((expected, _)) => Err(Unmatched::Method(expected)),
        None => Err(Unmatched::Path),
    }
}

/// A segment without its `%` escapes (RFC 3986, 2.1).
fn decoded(segment: &str) -> Option<Cow<'_, str>> {
    if !segment.contains('%') {
        return Some(Cow::Borrowed(segment));
    }
    let mut bytes = Vec::with_capacity(segment.len());
    let mut rest = segment.bytes();
    while let Some(byte) = rest.next() {
        bytes.push(match byte {
            b'%' => {
                let digit = |byte: Option<u8>| byte.and_then(|byte| char::from(byte).to_digit(16));
                let (high, low) = (digit(rest.next())?, digit(rest.next())?);
                u8::try_from(high * 16 + low).ok()?
            }
            other => other,
        });
    }
    String::from_utf8(bytes).ok().map(Cow::Owned)
}
