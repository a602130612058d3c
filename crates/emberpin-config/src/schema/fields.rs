//! Access to the fields of a JSON object by name.

use super::parse_duration;
use crate::json::{decode_string, elements, members};
use crate::{Problem, ValidationError, Version};
use std::str::FromStr;
use std::time::Duration;

/// The maximum length of the name of a service or route, in bytes; a patch with a longer one is rejected. The store
/// uses names as keys on disk, where the length of a key is limited.
pub const MAX_NAME_BYTES: usize = 4 << 10;

/// The fields of a JSON object, and the object's path for error messages. The methods that read a required field fail
/// with [`Problem::Missing`] if it is absent, and with a problem such as [`Problem::NotAString`] if its value has the
/// wrong type.
pub(crate) struct Fields<'a> {
    path: String,
    members: Vec<(String, &'a str)>,
}

impl<'a> Fields<'a> {
    /// Parses a compact object. `path` is its path in error messages; empty for the patch itself.
    pub(crate) fn parse(path: &str, raw: &'a str) -> Result<Fields<'a>, ValidationError> {
        let members =
            members(raw).ok_or_else(|| ValidationError::new(path, Problem::NotAnObject))?;
        Ok(Fields {
            path: path.to_owned(),
            members,
        })
    }

    /// The names and raw values of all fields, in the order of the text.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&str, &'a str)> + '_ {
        self.members.iter().map(|(name, raw)| (name.as_str(), *raw))
    }

    /// The path of a field.
    pub(crate) fn path_of(&self, field: &str) -> String {
        match self.path.as_str() {
            "" => field.to_owned(),
            path => format!("{path}.{field}"),
        }
    }

    /// An error at a field.
    pub(crate) fn error(&self, field: &str, problem: Problem) -> ValidationError {
        ValidationError::new(self.path_of(field), problem)
    }

    /// The raw value of a field; `None` if it is absent.
    pub(crate) fn get(&self, field: &str) -> Option<&'a str> {
        self.members
            .iter()
            .find(|(name, _)| name == field)
            .map(|(_, raw)| *raw)
    }

    /// The raw value of a required field.
    pub(crate) fn required(&self, field: &str) -> Result<&'a str, ValidationError> {
        self.get(field)
            .ok_or_else(|| self.error(field, Problem::Missing))
    }

    /// The raw elements of an array.
    pub(crate) fn list(&self, field: &str) -> Result<Vec<&'a str>, ValidationError> {
        elements(self.required(field)?).ok_or_else(|| self.error(field, Problem::NotAList))
    }

    /// The content of a string.
    pub(super) fn string(&self, field: &str) -> Result<String, ValidationError> {
        decode_string(self.required(field)?).ok_or_else(|| self.error(field, Problem::NotAString))
    }

    /// The name of an item, which must not be empty or exceed [`MAX_NAME_BYTES`].
    pub(crate) fn name(&self) -> Result<String, ValidationError> {
        match self.string("name")? {
            name if name.is_empty() => Err(self.error("name", Problem::Empty)),
            name if name.len() > MAX_NAME_BYTES => Err(self.error("name", Problem::NameTooLong)),
            name => Ok(name),
        }
    }

    /// The version of an item. It is parsed as an integer, since a rounded version would be a different version.
    pub(crate) fn version(&self) -> Result<Version, ValidationError> {
        self.u64("ver").map(Version)
    }

    /// An integer without sign, fraction or exponent, up to `u64::MAX`.
    pub(super) fn u64(&self, field: &str) -> Result<u64, ValidationError> {
        self.parse_field(field, Problem::NotAU64)
    }

    /// An integer without sign, fraction or exponent, up to `u32::MAX`.
    pub(super) fn u32(&self, field: &str) -> Result<u32, ValidationError> {
        self.parse_field(field, Problem::NotAU32)
    }

    /// A finite number of at least 0.
    pub(super) fn rate(&self, field: &str) -> Result<f64, ValidationError> {
        let rate: f64 = self.parse_field(field, Problem::NotARate)?;
        if rate.is_finite() && rate >= 0.0 {
            Ok(rate)
        } else {
            Err(self.error(field, Problem::NotARate))
        }
    }

    /// A duration with its unit.
    pub(super) fn duration(&self, field: &str) -> Result<Duration, ValidationError> {
        parse_duration(&self.string(field)?).ok_or_else(|| self.error(field, Problem::NotADuration))
    }

    fn parse_field<T: FromStr>(&self, field: &str, problem: Problem) -> Result<T, ValidationError> {
        self.required(field)?
            .parse()
            .map_err(|_| self.error(field, problem))
    }
}
