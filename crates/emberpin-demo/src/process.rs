//! A process of the gateway: this executable, started in a role.

use crate::error::DemoError;
use crate::node_settings::NodeSettings;
use crate::role::Role;
use std::fs::{self, File};
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// A running process of the gateway. Dropping it kills the process and waits for its exit, so that no process outlives
/// a run, however the run ends.
pub struct Process {
    name: String,
    log: PathBuf,
    child: Child,
}

impl Process {
    /// Starts this executable in the role of the settings. Its settings file, log and disk are in `folder`.
    ///
    /// # Errors
    ///
    /// [`DemoError::File`] if the files cannot be written, [`DemoError::ProcessStart`] if the process does not start.
    pub fn start(settings: &NodeSettings<'_>, folder: &Path) -> Result<Process, DemoError> {
        let (role, ip) = (settings.role, settings.machine.ip);
        let settings_file = folder.join(format!("{}-{ip}.toml", role.name()));
        let log = folder.join(format!("{}-{ip}.log", role.name()));
        let disk = folder.join(format!("disk-{ip}"));
        if role == Role::Store {
            fs::create_dir_all(&disk).map_err(file_error(&disk))?;
        }
        let text = settings.to_toml(&disk);
        fs::write(&settings_file, text).map_err(file_error(&settings_file))?;
        let log_file = File::options().create(true).append(true).open(&log);
        let log_file = log_file.map_err(file_error(&log))?;
        let name = format!("{} on {ip}", role.name());
        match spawn(role, &settings_file, log_file) {
            Ok(child) => Ok(Process { name, log, child }),
            Err(source) => Err(DemoError::ProcessStart {
                process: name,
                source,
            }),
        }
    }

    /// Describes the exit of a process that was not killed, with its name, exit status and last log line; `None` while
    /// it runs.
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

fn spawn(role: Role, settings_file: &Path, log: File) -> io::Result<Child> {
    Command::new(std::env::current_exe()?)
        .arg(role.name())
        .arg(std::process::id().to_string())
        .env("EMBERPIN_NODE_FILE", settings_file)
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
