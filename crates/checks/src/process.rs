//! A process under test, with signals, restarts and captured output.

use std::{
    fs::{self, File, OpenOptions},
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
};

use eyre::{WrapErr, eyre};
use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};

use crate::{Result, binary, eventually_value};

/// A child process of the test; it is killed on drop.
#[derive(Debug)]
pub struct Process {
    name: String,
    program: PathBuf,
    args: Vec<String>,
    folder: PathBuf,
    child: Child,
}

impl Process {
    /// Starts a program of the workspace. Its output is appended to `FOLDER/NAME.out` and
    /// `FOLDER/NAME.err`.
    ///
    /// # Errors
    /// The program can't be built or started.
    pub fn start(name: &str, program: &str, args: Vec<String>, folder: &Path) -> Result<Self> {
        let program = binary(program)?;
        let child = spawn(name, &program, &args, folder)?;
        Ok(Self {
            name: name.to_owned(),
            program,
            args,
            folder: folder.to_owned(),
            child,
        })
    }

    /// The name given at the start, which names the output files.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// The id of the process started last.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process with SIGKILL, as the loss of its vm would, and reaps it.
    ///
    /// # Errors
    /// The signal can't be sent.
    pub fn kill(&mut self) -> Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// Sends SIGTERM, which asks for a graceful shutdown.
    ///
    /// # Errors
    /// The signal can't be sent.
    pub fn terminate(&self) -> Result<()> {
        self.signal(Signal::SIGTERM)
    }

    /// Suspends the process with SIGSTOP.
    ///
    /// # Errors
    /// The signal can't be sent.
    pub fn freeze(&self) -> Result<()> {
        self.signal(Signal::SIGSTOP)
    }

    /// Resumes the process with SIGCONT.
    ///
    /// # Errors
    /// The signal can't be sent.
    pub fn thaw(&self) -> Result<()> {
        self.signal(Signal::SIGCONT)
    }

    /// Returns the exit status, or `None` while the process runs.
    ///
    /// # Errors
    /// The process can't be waited for.
    pub fn exited(&mut self) -> Result<Option<ExitStatus>> {
        Ok(self.child.try_wait()?)
    }

    /// Waits until the process exits.
    ///
    /// # Errors
    /// The process doesn't exit within [`BOUND`](crate::BOUND).
    pub async fn wait(&mut self) -> Result<ExitStatus> {
        let what = format!("{} to exit", self.name);
        eventually_value(&what, async || self.child.try_wait().ok().flatten()).await
    }

    /// Restarts the process with the same arguments, after killing it if it still runs.
    ///
    /// # Errors
    /// The process can't be killed or started.
    pub fn restart(&mut self) -> Result<()> {
        if self.exited()?.is_none() {
            self.kill()?;
        }
        self.child = spawn(&self.name, &self.program, &self.args, &self.folder)?;
        Ok(())
    }

    /// Restarts the process with other arguments.
    ///
    /// # Errors
    /// The process can't be killed or started.
    pub fn restart_with(&mut self, args: Vec<String>) -> Result<()> {
        self.args = args;
        self.restart()
    }

    /// The command line arguments, which [`Process::restart`] uses again.
    pub fn args(&self) -> &[String] {
        &self.args
    }

    /// Returns the standard output of all starts so far.
    ///
    /// # Errors
    /// The file can't be read.
    pub fn output(&self) -> Result<String> {
        Ok(fs::read_to_string(
            self.folder.join(format!("{}.out", self.name)),
        )?)
    }

    /// Returns the standard error, which holds the log, of all starts so far.
    ///
    /// # Errors
    /// The file can't be read.
    pub fn log(&self) -> Result<String> {
        Ok(fs::read_to_string(
            self.folder.join(format!("{}.err", self.name)),
        )?)
    }

    fn signal(&self, signal: Signal) -> Result<()> {
        let pid = i32::try_from(self.pid()).map_err(|_| eyre!("pid out of range"))?;
        kill(Pid::from_raw(pid), signal)?;
        Ok(())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Errors are ignored: the process may have exited by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
        if std::thread::panicking() {
            let log = self.log().unwrap_or_default();
            let lines: Vec<_> = log.lines().rev().take(10).collect();
            eprintln!("--- last log lines of {}, newest first:", self.name);
            for line in lines {
                eprintln!("{line}");
            }
        }
    }
}

fn spawn(name: &str, program: &Path, args: &[String], folder: &Path) -> Result<Child> {
    Command::new(program)
        .args(args)
        .stdin(Stdio::null())
        .stdout(append(&folder.join(format!("{name}.out")))?)
        .stderr(append(&folder.join(format!("{name}.err")))?)
        .spawn()
        .wrap_err_with(|| format!("can't start {name}"))
}

fn append(path: &Path) -> Result<File> {
    Ok(OpenOptions::new().create(true).append(true).open(path)?)
}
