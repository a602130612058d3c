//! The settings file: optional fields must have their defaults, and errors must name the file, the field and what was
//! expected.

use emberpin_runtime::protocol_version::{ProtocolVersion, VersionRange};
use emberpin_runtime::settings::{Settings, SettingsError};
use googletest::prelude::*;

/// A settings file with all required fields, and with these additional lines in `self.limits`.
fn settings_file(limits: &str) -> String {
    format!(
        "[self]\nnodename = \"core\"\nip = \"10.0.0.1\"\naz = \"z\"\nrgn = \"r\"\n[self.limits]\nmem_mb = 256\n\
         nofile = 1024\n{limits}\n[network]\nport_range = [7000,7001]\nseeds = []\n[infra]\nhb = \"1s\"\n\
         [defs.tolerance]\nnodes = 1\n[defs.bounds]\ndrain = \"2s\"\ngrace = \"6s\"\napply = \"2s\"\n\
         evac = \"2s\"\nack = \"5s\"\ncontact = \"3s\"\nretry_ratio = 0.2\nretry_win = \"10s\"\n\
         retry_extra = 60\nwarm_excess = 1.5\nwarm_extra = 5\n"
    )
}

/// The path of the field that an error names; `None` if it names none.
fn named_field(error: SettingsError) -> Option<String> {
    match error {
        SettingsError::Field { field, .. } => Some(field),
        _ => None,
    }
}

/// The error message for the complete file with `from` replaced by `to`, or `accepted` if there is no error.
fn message_after(from: &str, to: &str) -> String {
    let file = settings_file("");
    assert_that!(file, contains_substring(from));
    Settings::parse(&file.replacen(from, to, 1), "f")
        .map_or_else(|error| error.to_string(), |_| "accepted".into())
}

#[gtest]
fn the_size_of_the_disk_is_zero_unless_it_is_set() {
    let read = |limits| Settings::parse(&settings_file(limits), "f");
    let disk_mib = |limits| read(limits).map(|settings| settings.disk_mib);
    expect_that!(disk_mib("disk_mb = 64"), ok(eq(&64)));
    expect_that!(disk_mib("disk_mb = 0"), ok(eq(&0)));
    expect_that!(disk_mib(""), ok(eq(&0)));
    for limits in ["disk_mb = -1", "disk_mb = \"64\"", "disk_mb = 1.5"] {
        let field = read(limits).map_err(named_field);
        expect_that!(field, err(some(eq("self.limits.disk_mb"))), "{limits}");
    }
}

#[gtest]
fn the_newest_protocol_version_can_be_lowered_to_an_older_supported_one() {
    let read = |line: &str| {
        let file = settings_file("").replace("[network]\n", &format!("[network]\n{line}\n"));
        Settings::parse(&file, "f").map(|settings| settings.protocol_versions.newest)
    };
    let newest = VersionRange::SUPPORTED.newest;
    expect_that!(read(""), ok(eq(&newest)));
    expect_that!(
        read("max_protocol_version = 2"),
        ok(eq(&ProtocolVersion::V2))
    );
    for value in ["1", "65538", "\"2\""] {
        let line = format!("max_protocol_version = {value}");
        let field = read(&line).map_err(named_field);
        expect_that!(
            field,
            err(some(eq("network.max_protocol_version"))),
            "{value}"
        );
    }
}

#[gtest]
fn an_unusable_field_is_named_with_its_file_and_what_was_expected() {
    for (from, to, message) in [
        ("nodename = \"core\"", "", "f: self.nodename: is missing"),
        ("\"core\"", "7", "f: self.nodename: expected a text"),
        (
            "\"10.0.0.1\"",
            "\"host\"",
            "f: self.ip: expected an address, found \"host\"",
        ),
        ("ip = \"10.0.0.1\"", "", "f: self.ip: is missing"),
        (
            "nofile = 1024",
            "nofile = -1",
            "f: self.limits.nofile: expected a whole number",
        ),
        (
            "[7000,7001]",
            "[7001,7000]",
            "f: network.port_range: expected two rising ports",
        ),
        (
            "seeds = []",
            "seeds = [\"10.0.0.1\"]",
            "f: network.seeds: expected addresses with ports",
        ),
        (
            "seeds = []",
            "seeds = {}",
            "f: network.seeds: expected a list",
        ),
        (
            "seeds = []",
            "seeds = []\nzones = []",
            "f: network.zones: expected a table",
        ),
        (
            "seeds = []",
            "seeds = []\nzones = { z = 1 }",
            "f: network.zones.z: expected a region's name",
        ),
        (
            "az = \"z\"",
            "az = \"z\"\nvoting = 1",
            "f: self.voting: expected true or false",
        ),
        (
            "hb = \"1s\"",
            "hb = \"1\"",
            "f: infra.hb: expected a time such as 1500ms or 2.5s, found \"1\"",
        ),
        (
            "retry_ratio = 0.2",
            "retry_ratio = -0.2",
            "f: defs.bounds.retry_ratio: expected a number, not below 0",
        ),
        ("az = \"z\"", "az = \"z\"\nunknown = 1", "accepted"),
    ] {
        expect_that!(message_after(from, to), eq(message), "{from} -> {to}");
    }
}

#[gtest]
fn a_file_that_is_missing_or_not_toml_is_reported_in_one_line() {
    let syntax = message_after("[self]", "[self");
    expect_that!(syntax, starts_with("f: TOML: "));
    expect_that!(syntax, not(contains_substring("\n")));
    let missing = Settings::from_file("/nonexistent/settings.toml".as_ref());
    expect_that!(
        missing.map_err(|error| error.to_string()),
        err(starts_with("/nonexistent/settings.toml: file: "))
    );
}
