//! Parsing of the status of a registry.
#![allow(missing_docs, reason = "a test has no public interface")]

use emberpin_ctl::status::{Disk, Status};
use googletest::prelude::*;

#[gtest]
fn a_status_that_lacks_a_field_is_rejected() {
    let whole = r#"{"name":"n","settled":true,"voters":["b","a"],"registries":[],"limiters":[],"instances":[],"items":1,"disk":{"used":1,"of":2},"clock_ms":3}"#;
    let status = Status::parse(whole).expect("a status");
    let disk = Disk {
        used_bytes: 1,
        limit_bytes: 2,
        state: None,
    };
    expect_that!(
        (status.voters, status.disk),
        eq(&(vec!["a".to_owned(), "b".to_owned()], Some(disk)))
    );
    for (from, to, error) in [
        ("\"name\"", "\"nome\"", "not a status: name"),
        ("true", "1", "not a status: settled"),
        ("[\"b\",\"a\"]", "3", "not a status: voters"),
        ("\"b\"", "4", "not a status: 4 is not a text"),
        ("\"instances\":[]", "\"instances\":[{}]", "not a status: id"),
        ("\"limiters\":[]", "\"limiters\":[7]", "not a status: name"),
        ("\"of\":2", "\"of\":-2", "not a status: of"),
        (
            "\"clock_ms\":3",
            "\"clock_ms\":null",
            "not a status: clock_ms",
        ),
    ] {
        let rejected =
            Status::parse(&whole.replacen(from, to, 1)).map_err(|error| error.to_string());
        expect_that!(rejected, err(eq(error)), "{from} -> {to}");
    }
}
