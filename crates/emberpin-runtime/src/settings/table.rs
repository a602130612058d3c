//! Typed access to the fields of a settings file by their paths.

use super::{parse_duration, FieldProblem, SettingsError};
use std::str::FromStr;
use std::time::Duration;
use toml::{Table, Value};

/// The contents of a settings file. A path consists of the names of the tables and of the field, with dots between
/// them. A method fails with [`SettingsError::Field`] if the field does not have the type that the method reads.
pub(super) struct SettingsTable<'a> {
    /// The path of the file, for errors.
    pub(super) file: &'a str,
    pub(super) table: &'a Table,
}

impl SettingsTable<'_> {
    /// An error that names a field.
    pub(super) fn error(&self, path: &str, problem: FieldProblem) -> SettingsError {
        SettingsError::Field {
            file: self.file.into(),
            field: path.into(),
            problem,
        }
    }

    /// A field of any type; `None` if it is missing.
    pub(super) fn get(&self, path: &str) -> Option<&Value> {
        let mut names = path.split('.');
        let first = self.table.get(names.next()?)?;
        names.try_fold(first, |value, name| value.as_table()?.get(name))
    }

    /// A required field of any type.
    fn required(&self, path: &str) -> Result<&Value, SettingsError> {
        self.get(path)
            .ok_or_else(|| self.error(path, FieldProblem::Missing))
    }

    /// A required string.
    pub(super) fn string(&self, path: &str) -> Result<String, SettingsError> {
        let string = self
            .required(path)?
            .as_str()
            .ok_or_else(|| self.error(path, FieldProblem::NotAString))?;
        Ok(string.to_string())
    }

    /// An optional address, written as a string; `None` if the field is missing.
    pub(super) fn address<T: FromStr>(&self, path: &str) -> Result<Option<T>, SettingsError> {
        if self.get(path).is_none() {
            return Ok(None);
        }
        let string = self.string(path)?;
        match string.parse() {
            Ok(address) => Ok(Some(address)),
            Err(_) => Err(self.error(path, FieldProblem::NotAnAddress { found: string })),
        }
    }

    /// An optional boolean; `false` if the field is missing.
    pub(super) fn boolean(&self, path: &str) -> Result<bool, SettingsError> {
        match self.get(path) {
            None => Ok(false),
            Some(value) => value
                .as_bool()
                .ok_or_else(|| self.error(path, FieldProblem::NotABoolean)),
        }
    }

    /// The elements of a required array.
    pub(super) fn list(&self, path: &str) -> Result<Vec<Value>, SettingsError> {
        Ok(self
            .required(path)?
            .as_array()
            .ok_or_else(|| self.error(path, FieldProblem::NotAList))?
            .clone())
    }

    /// A required integer that is not negative.
    pub(super) fn integer(&self, path: &str) -> Result<usize, SettingsError> {
        let integer = self
            .required(path)?
            .as_integer()
            .and_then(|integer| usize::try_from(integer).ok());
        integer.ok_or_else(|| self.error(path, FieldProblem::NotAnInteger))
    }

    /// A required number that is finite and not negative.
    pub(super) fn number(&self, path: &str) -> Result<f64, SettingsError> {
        let value = self.required(path)?;
        let number = value
            .as_float()
            .or_else(|| value.as_integer().map(|integer| integer as f64));
        number
            .filter(|number| number.is_finite() && *number >= 0.0)
            .ok_or_else(|| self.error(path, FieldProblem::NotANumber))
    }

    /// A required duration.
    pub(super) fn duration(&self, path: &str) -> Result<Duration, SettingsError> {
        let string = self.string(path)?;
        parse_duration(&string)
            .ok_or_else(|| self.error(path, FieldProblem::NotADuration { found: string }))
    }
}
