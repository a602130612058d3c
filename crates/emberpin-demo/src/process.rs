//! One process of the gateway: this executable again, in a role.

use crate::deployment::{Bounds, Deployment, Machine};
use crate::error::DemoError;
use crate::node_settings::{settings_file, StartMode};
use crate::role::Role;
use std::fs::{self, File};
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// A process of the gateway. Dropping it kills the process and waits for its end, on every way out of a run.
pub struct Process {
    name: String,
    log: PathBuf,
    child: Child,
}

impl Process {
    /// Starts this executable again in a role; its settings, log and disk are in `folder`.
    ///
    /// # Errors
    ///
    /// [`DemoError::File`] if the files cannot be written, [`DemoError::ProcessStart`] if the process does not start.
    pub fn start(
        deployment: &Deployment,
        role: Role,
        machine: Machine,
        folder: &Path,
        start_mode: StartMode,
        bounds: Bounds,
    ) -> Result<Process, DemoError> {
        let ip = machine.ip;
        let settings = folder.join(format!("{}-{ip}.toml", role.name()));
        let log = folder.join(format!("{}-{ip}.log", role.name()));
        let disk = folder.join(format!("disk-{ip}"));
        if role == Role::Store {
            fs::create_dir_all(&disk).map_err(file_error(&disk))?;
        }
        let text = settings_file(deployment, role, machine, &disk, start_mode, bounds);
        fs::write(&settings, text).map_err(file_error(&settings))?;
        let log_file = File::options().create(true).append(true).open(&log);
        let log_file = log_file.map_err(file_error(&log))?;
        let name = format!("{} on {ip}", role.name());
        match spawn(role, &settings, log_file) {
            Ok(child) => Ok(Process { name, log, child }),
            Err(source) => Err(DemoError::ProcessStart {
                process: name,
                source,
            }),
        }
    }

    /// If the process has ended by itself: its name, exit status and last log line, as a sentence.
    pub fn exit_description(&mut self) -> Option<String> {
        let status = self.child.try_wait().ok().flatten()?;
        let log = fs::read_to_string(&self.log).unwrap_or_default();
        let last_line = log.lines().last().unwrap_or("nothing");
        Some(format!(
            "{} ended by itself ({status}); it said: {last_line}",
            self.name
        ))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        _ = self.child.kill();
        _ = self.child.wait();
    }
}

fn spawn(role: Role, settings: &Path, log: File) -> io::Result<Child> {
    Command::new(std::env::current_exe()?)
        .arg(role.name())
        .arg(std::process::id().to_string())
        .env("EMBERPIN_NODE_FILE", settings)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(log)
        .spawn()
}

fn file_error(path: &Path) -> impl Fn(io::Error) -> DemoError + '_ {
    move |source| DemoError::File {
        path: path.to_owned(),
        source,
    }
}
