//! What is read from the settings file.

use emberpin_runtime::settings::Settings;
use googletest::prelude::*;

fn text(limits: &str) -> String {
    format!(
        "[self]\nnodename = \"core\"\nip = \"10.0.0.1\"\naz = \"z\"\nrgn = \"r\"\n[self.limits]\nmem_mb = 256\n\
         nofile = 1024\n{limits}\n[network]\nport_range = [7000,7001]\nseeds = []\n[infra]\nhb = \"1s\"\n\
         [defs.tolerance]\nnodes = 1\n[defs.bounds]\ndrain = \"2s\"\ngrace = \"6s\"\napply = \"2s\"\n\
         evac = \"2s\"\nack = \"5s\"\ncontact = \"3s\"\nretry_ratio = 0.2\nretry_win = \"10s\"\n\
         retry_extra = 60\nwarm_excess = 1.5\nwarm_extra = 5\n"
    )
}

#[gtest]
fn the_size_of_the_disk_is_read_where_it_is_told() {
    let read = |limits| Settings::parse(&text(limits), "f").map(|settings| settings.disk_mib);
    expect_that!(read("disk_mb = 64"), ok(eq(&64)));
    expect_that!(read("disk_mb = 0"), ok(eq(&0)));
    expect_that!(read(""), ok(eq(&0)));
    for wrong in ["disk_mb = -1", "disk_mb = \"64\"", "disk_mb = 1.5"] {
        let found = read(wrong).map_err(|wrong| wrong.field);
        expect_that!(found, err(eq("self.limits.disk_mb")), "{wrong}");
    }
}
