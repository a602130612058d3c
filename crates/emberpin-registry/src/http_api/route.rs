//! Finds the route of a request by its method and path, with a tree of matchers for the segments of paths.

use super::coordination::ApplicationCall;
use std::borrow::Cow;

/// The most bytes of a subject: the path segment that names an instance, a zone, a lock, a counter, a cell or a group.
const MAX_SUBJECT_BYTES: usize = 128;

/// The calls of the HTTP API.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Route {
    /// `POST /instances/ID/heartbeat`: a server's heartbeat.
    Heartbeat,
    /// `POST /instances/ID/leave`: a server removes its instance.
    Leave,
    /// `POST /config/patch`: a change of the configuration.
    PatchConfig,
    /// `GET /config/get`: the whole configuration.
    GetConfig,
    /// `POST /evac/ZONE/begin`: the evacuation of a zone begins.
    BeginEvacuation,
    /// `POST /evac/ZONE/finish`: the evacuation of a zone ends.
    FinishEvacuation,
    /// An application's call for a lock, a counter or a cell, or an operator's call for the list of locks.
    Application(ApplicationCall),
    /// `GET /status`: the status of this registry.
    Status,
}

impl Route {
    /// The call's name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Route::Heartbeat => "heartbeat",
            Route::Leave => "leave",
            Route::PatchConfig => "config_patch",
            Route::GetConfig => "config_get",
            Route::BeginEvacuation => "evac_begin",
            Route::FinishEvacuation => "evac_finish",
            Route::Application(call) => call.name(),
            Route::Status => "status",
        }
    }
}

/// Why a request has no route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RouteError {
    /// No route has the path.
    #[error("no call has this path")]
    NotFound,
    /// The route with this path has another method.
    #[error("the method of this path is {allowed}")]
    MethodNotAllowed {
        /// The method of the route.
        allowed: &'static str,
    },
}

/// Matches one path segment; its children match the next segment.
struct Matcher {
    /// `None` matches any segment, which becomes the call's subject.
    text: Option<&'static str>,
    children: &'static [Matcher],
    /// The method and the route of the path that ends with this segment; `None` if none does.
    call: Option<(&'static str, Route)>,
}

/// Matches one text, with further segments.
const fn literal(text: &'static str, children: &'static [Matcher]) -> Matcher {
    Matcher {
        text: Some(text),
        children,
        call: None,
    }
}

/// Matches any subject, with further segments.
const fn subject(children: &'static [Matcher]) -> Matcher {
    Matcher {
        text: None,
        children,
        call: None,
    }
}

/// Matches one text, as the last segment.
const fn call(text: &'static str, method: &'static str, route: Route) -> Matcher {
    Matcher {
        text: Some(text),
        children: &[],
        call: Some((method, route)),
    }
}

/// Matches any subject, as the last segment.
const fn subject_call(method: &'static str, route: Route) -> Matcher {
    Matcher {
        text: None,
        children: &[],
        call: Some((method, route)),
    }
}

/// Matches one text, as the last segment of an application's call.
const fn application(
    text: &'static str,
    method: &'static str,
    application_call: ApplicationCall,
) -> Matcher {
    call(text, method, Route::Application(application_call))
}

const MATCHERS: &[Matcher] = &[
    literal(
        "instances",
        &[subject(&[
            call("heartbeat", "POST", Route::Heartbeat),
            call("leave", "POST", Route::Leave),
        ])],
    ),
    literal(
        "config",
        &[
            call("patch", "POST", Route::PatchConfig),
            call("get", "GET", Route::GetConfig),
        ],
    ),
    literal(
        "evac",
        &[subject(&[
            call("begin", "POST", Route::BeginEvacuation),
            call("finish", "POST", Route::FinishEvacuation),
        ])],
    ),
    Matcher {
        text: Some("locks"),
        children: &[subject(&[
            application("begin", "POST", ApplicationCall::AcquireLock),
            application("heartbeat", "POST", ApplicationCall::RenewLock),
            application("finish", "POST", ApplicationCall::ReleaseLock),
        ])],
        call: Some(("GET", Route::Application(ApplicationCall::ListLocks))),
    },
    literal(
        "numbers",
        &[subject_call(
            "POST",
            Route::Application(ApplicationCall::NextNumber),
        )],
    ),
    literal(
        "cells",
        &[subject(&[
            application("put", "POST", ApplicationCall::PutCell),
            application("get", "GET", ApplicationCall::GetCell),
        ])],
    ),
    literal(
        "watch",
        &[subject_call(
            "GET",
            Route::Application(ApplicationCall::WatchGroup),
        )],
    ),
    call("status", "GET", Route::Status),
];

/// Finds the route of a request. Returns it with the decoded subject in the path, which is empty for routes without
/// one.
///
/// # Errors
///
/// [`RouteError`] if no route has the path, or the route with the path has another method.
pub fn find<'a>(method: &str, path: &'a str) -> Result<(Route, Cow<'a, str>), RouteError> {
    let segments = path.strip_prefix('/').ok_or(RouteError::NotFound)?;
    let mut subject = Cow::Borrowed("");
    let (mut matchers, mut matched_call) = (MATCHERS, None);
    for segment in segments.split('/') {
        let matcher = matchers.iter().find(|matcher| match matcher.text {
            Some(text) => text == segment,
            None => !segment.is_empty() && segment.len() <= MAX_SUBJECT_BYTES,
        });
        let matcher = matcher.ok_or(RouteError::NotFound)?;
        if matcher.text.is_none() {
            subject = percent_decode(segment).ok_or(RouteError::NotFound)?;
        }
        (matchers, matched_call) = (matcher.children, matcher.call);
    }
    match matched_call {
        Some((allowed, route)) if allowed == method => Ok((route, subject)),
        Some((allowed, _)) => Err(RouteError::MethodNotAllowed { allowed }),
        None => Err(RouteError::NotFound),
    }
}

/// Decodes the `%` escapes of a segment (RFC 3986, section 2.1). `None` if one is incomplete or the result is not
/// UTF-8.
pub(super) fn percent_decode(segment: &str) -> Option<Cow<'_, str>> {
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
