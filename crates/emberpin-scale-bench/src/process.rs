//! Real processes, and what the kernel says of them.

use std::collections::BTreeMap;
use std::io;
use std::path::Path;
use std::process::{Child, Command, Stdio};

/// One that was started here; it ends with this value, also on a panic.
pub struct Process(Child);

impl Process {
    /// Starts a program with a settings file.
    ///
    /// # Errors
    ///
    /// The system's.
    pub fn start(program: &Path, settings: &Path) -> io::Result<Process> {
        let mut command = Command::new(program);
        command
            .env(emberpin_runtime::settings::SETTINGS_FILE_VARIABLE, settings)
            .stdin(Stdio::null());
        command
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .map(Process)
    }

    /// Its number.
    pub fn id(&self) -> u32 {
        self.0.id()
    }

    /// How long it has had a processor, user and system time together, in seconds.
    ///
    /// # Errors
    ///
    /// The system's, also if it has ended.
    pub fn cpu(&self) -> io::Result<f64> {
        // By thread, and in nanoseconds; `stat` counts in hundredths of a second.
        let mut nanoseconds = 0;
        for task in std::fs::read_dir(format!("/proc/{}/task", self.id()))? {
            let text = std::fs::read_to_string(task?.path().join("schedstat"))?;
            nanoseconds += text
                .split(' ')
                .next()
                .and_then(|time| time.parse::<u64>().ok())
                .unwrap_or(0);
        }
        Ok(nanoseconds as f64 / 1e9)
    }

    /// Its memory now, and the most that it was, in KiB.
    ///
    /// # Errors
    ///
    /// The system's, also if it has ended.
    pub fn memory(&self) -> io::Result<(f64, f64)> {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.id()))?;
        Ok((kib(&text, "VmRSS:"), kib(&text, "VmHWM:")))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        _ = self.0.kill();
        _ = self.0.wait();
    }
}

/// A line of `/proc/ID/status`; 0 where there is none.
pub fn kib(status: &str, name: &str) -> f64 {
    let line = status.lines().find_map(|line| line.strip_prefix(name));
    line.and_then(|rest| rest.split_whitespace().next()?.parse().ok())
        .unwrap_or(0.0)
}

/// The bytes that processes have sent over connections that they opened, by process and port called; `None`
/// without `ss`.
pub fn sent() -> Option<BTreeMap<(u32, u16), u64>> {
    let out = Command::new("ss")
        .args(["-tinpH", "state", "established"])
        .output()
        .ok()?;
    Some(read_sent(&String::from_utf8_lossy(&out.stdout)))
}

/// What `ss -tinpH` prints: a line for each connection, and one of figures below it.
pub fn read_sent(text: &str) -> BTreeMap<(u32, u16), u64> {
    let mut sent = BTreeMap::new();
    let mut called = None;
    for line in text.lines() {
        if line.starts_with(char::is_whitespace) {
            let bytes: Option<u64> = line
                .split_whitespace()
                .find_map(|word| word.strip_prefix("bytes_sent:")?.parse().ok());
            if let (Some(called), Some(bytes)) = (called.take(), bytes) {
                *sent.entry(called).or_insert(0) += bytes;
            }
            continue;
        }
        let id = line
            .split_once("pid=")
            .and_then(|(_, rest)| rest.split(',').next()?.parse().ok());
        let peer = line
            .split_whitespace()
            .filter_map(|word| word.rsplit_once(':')?.1.parse::<u16>().ok())
            .nth(1);
        called = id.zip(peer);
    }
    sent
}
