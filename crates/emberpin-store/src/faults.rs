//! Disks that stall, for tests: while the file that `EMBERPIN_STORE_STALL` names exists, no sync ends; and each
//! sync takes `EMBERPIN_STORE_SYNC_MS` milliseconds more. Only in builds with debug assertions.

/// Waits as the environment says.
#[cfg(debug_assertions)]
pub fn before_sync() {
    use std::time::Duration;

    let extra = std::env::var("EMBERPIN_STORE_SYNC_MS")
        .ok()
        .and_then(|text| text.parse().ok());
    if let Some(extra) = extra {
        std::thread::sleep(Duration::from_millis(extra));
    }
    let Some(file) = std::env::var_os("EMBERPIN_STORE_STALL") else {
        return;
    };
    while std::path::Path::new(&file).exists() {
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// A disk is what it is.
#[cfg(not(debug_assertions))]
pub fn before_sync() {}
