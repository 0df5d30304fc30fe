//! Processes that the lab starts, signals and ends, by their pid.

use std::ffi::OsString;
use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use tokio::process::{Child, Command};

use crate::error::LabError;

/// A process that is started again with the same program and arguments.
#[derive(Debug)]
pub struct NodeProcess {
    name: String,
    program: PathBuf,
    arguments: Vec<OsString>,
    log: PathBuf,
    child: Option<Child>,
}

impl NodeProcess {
    /// Starts the lab's program with `arguments`; its output goes to a log in
    /// `directory`.
    ///
    /// # Errors
    /// [`LabError::Spawn`].
    pub fn start(name: &str, directory: &Path, arguments: Vec<OsString>) -> Result<Self, LabError> {
        let program = std::env::current_exe().map_err(|source| LabError::Spawn {
            name: name.to_owned(),
            source,
        })?;
        Self::start_program(name, &program, directory, arguments)
    }

    /// Starts `program` with `arguments`; its output goes to a log in `directory`.
    ///
    /// # Errors
    /// [`LabError::Spawn`].
    pub fn start_program(
        name: &str,
        program: &Path,
        directory: &Path,
        arguments: Vec<OsString>,
    ) -> Result<Self, LabError> {
        let mut process = Self {
            name: name.to_owned(),
            program: program.to_owned(),
            arguments,
            log: directory.join(format!("{name}.log")),
            child: None,
        };
        process.restart()?;
        Ok(process)
    }

    /// Name of the node.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Starts the process anew; the old one must have ended.
    ///
    /// # Errors
    /// [`LabError::Spawn`].
    pub fn restart(&mut self) -> Result<(), LabError> {
        let spawn_error = |source| LabError::Spawn {
            name: self.name.clone(),
            source,
        };
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .map_err(spawn_error)?;
        let output = log.try_clone().map_err(spawn_error)?;
        let child = Command::new(&self.program)
            .args(&self.arguments)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(log)
            .kill_on_drop(true)
            .spawn()
            .map_err(spawn_error)?;
        self.child = Some(child);
        Ok(())
    }

    /// Process identifier, while it runs.
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().and_then(Child::id)
    }

    /// Kills the process without warning and waits until it is gone.
    ///
    /// # Errors
    /// [`LabError::Signal`].
    pub async fn kill(&mut self) -> Result<(), LabError> {
        self.signal(Signal::SIGKILL)?;
        if let Some(mut child) = self.child.take() {
            let _ = child.wait().await;
        }
        Ok(())
    }

    /// Stops the process's execution.
    ///
    /// # Errors
    /// [`LabError::Signal`].
    pub fn freeze(&self) -> Result<(), LabError> {
        self.signal(Signal::SIGSTOP)
    }

    /// Lets a frozen process go on.
    ///
    /// # Errors
    /// [`LabError::Signal`].
    pub fn thaw(&self) -> Result<(), LabError> {
        self.signal(Signal::SIGCONT)
    }

    /// Asks for a planned stop.
    ///
    /// # Errors
    /// [`LabError::Signal`].
    pub fn terminate(&self) -> Result<(), LabError> {
        self.signal(Signal::SIGTERM)
    }

    /// Asks the process to read its settings again.
    ///
    /// # Errors
    /// [`LabError::Signal`].
    pub fn hang_up(&self) -> Result<(), LabError> {
        self.signal(Signal::SIGHUP)
    }

    /// Waits until the process has ended; false if it has not in time.
    pub async fn wait(&mut self, patience: Duration) -> bool {
        let Some(child) = &mut self.child else {
            return true;
        };
        tokio::time::timeout(patience, child.wait()).await.is_ok()
    }

    fn signal(&self, signal: Signal) -> Result<(), LabError> {
        let Some(pid) = self.pid().and_then(|pid| i32::try_from(pid).ok()) else {
            return Ok(());
        };
        kill(Pid::from_raw(pid), signal).map_err(|source| LabError::Signal {
            name: self.name.clone(),
            source,
        })
    }
}
