//! The query of an operator's call. Only registries write it, into the locations of their redirects.

use emberpin_config::Version;
use hyper::Uri;
use std::fmt;

/// The query field which says that another registry has redirected the call. The call is then not redirected to a third
/// one, so that there is no redirect loop.
const REDIRECTED: &str = "sent-on";
/// The query field with the version of the zone's evacuation that an earlier redirect named.
const EVACUATION_VERSION: &str = "evac-version";

/// The fields that a redirect has added to the query of a call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct CallQuery {
    is_redirected: bool,
    /// The version of the evacuation that the call changes; `None` until a redirect has added it.
    pub evacuation_version: Option<Version>,
}

impl CallQuery {
    /// Reads the query of a call. A field that cannot be parsed counts as absent.
    pub fn from_uri(uri: &Uri) -> CallQuery {
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

    /// The query for a redirect to another registry, because this one is not confirmed by a majority.
    pub fn redirected_to_peer() -> CallQuery {
        CallQuery {
            is_redirected: true,
            evacuation_version: None,
        }
    }

    /// Whether a registry has redirected the call before, so that this registry must not redirect it to a peer.
    pub fn is_redirected(self) -> bool {
        self.is_redirected || self.evacuation_version.is_some()
    }

    /// This query, with the version of the evacuation that the call changes.
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
