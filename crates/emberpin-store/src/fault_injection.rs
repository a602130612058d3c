//! Disk faults that tests inject into the process through environment variables. Only builds with debug assertions read
//! them:
//!
//! - `EMBERPIN_STORE_STALL` names a file: no sync returns while it exists.
//! - `EMBERPIN_STORE_SYNC_MS` is a delay in milliseconds that is added to each sync.

/// Delays a sync as the environment variables demand.
#[cfg(debug_assertions)]
pub fn delay_sync() {
    use std::time::Duration;

    let delay_ms = std::env::var("EMBERPIN_STORE_SYNC_MS")
        .ok()
        .and_then(|text| text.parse().ok());
    if let Some(delay_ms) = delay_ms {
        std::thread::sleep(Duration::from_millis(delay_ms));
    }
    let Some(stall_file) = std::env::var_os("EMBERPIN_STORE_STALL") else {
        return;
    };
    while std::path::Path::new(&stall_file).exists() {
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Does nothing: builds without debug assertions inject no faults.
#[cfg(not(debug_assertions))]
pub fn delay_sync() {}
