//! The query of an operator's call, which only redirects of a registry write.

use emberpin_config::Version;
use hyper::Uri;
use std::fmt;

/// Another registry has redirected the call. It goes no further, so that calls never circle.
const REDIRECTED: &str = "sent-on";
/// The version of the zone's evacuation that the caller was told.
const EVACUATION_VERSION: &str = "evac-version";

/// What a redirect told the caller to repeat.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct CallQuery {
    is_redirected: bool,
    /// The version of the evacuation that the call changes; `None` before it was redirected with one.
    pub evacuation_version: Option<Version>,
}

impl CallQuery {
    /// The query of a call. What cannot be read counts as absent.
    pub fn of(uri: &Uri) -> CallQuery {
        let mut query = CallQuery::default();
        for field in uri.query().unwrap_or_default().split('&') {
            match field.split_once('=') {
                None if field == REDIRECTED => query.is_redirected = true,
                Some((EVACUATION_VERSION, version)) => {
                    query.evacuation_version = version.parse().ok();
                }
                _ => {}
            }
        }
        query
    }

    /// The query of a call that is redirected because this registry is out of contact.
    pub fn redirected_to_peer() -> CallQuery {
        CallQuery {
            is_redirected: true,
            evacuation_version: None,
        }
    }

    /// Whether a call with this query is answered here, whatever this registry is in contact with.
    pub fn is_redirected(self) -> bool {
        self.is_redirected || self.evacuation_version.is_some()
    }

    /// The same query with the version of the evacuation that the call changes.
    pub fn with_evacuation_version(self, version: Version) -> CallQuery {
        CallQuery {
            evacuation_version: Some(version),
            ..self
        }
    }
}

impl fmt::Display for CallQuery {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.is_redirected {
            formatter.write_str(REDIRECTED)?;
        }
        if let Some(version) = self.evacuation_version {
            let separator = if self.is_redirected { "&" } else { "" };
            write!(formatter, "{separator}{EVACUATION_VERSION}={version}")?;
        }
        Ok(())
    }
}
