//! One process under test.

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

/// A process that this test started; it is killed when the test ends.
#[derive(Debug)]
pub struct Process {
    name: String,
    program: PathBuf,
    args: Vec<String>,
    folder: PathBuf,
    child: Child,
}

impl Process {
    /// Starts one of the workspace's programs; its output goes to `FOLDER/NAME.out` and `.err`.
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

    /// The name that the test gave it.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Its process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Kills it at once, as a lost VM does, and waits until it is gone.
    ///
    /// # Errors
    /// The signal can't be sent.
    pub fn kill(&mut self) -> Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// Asks it to stop in a planned way.
    ///
    /// # Errors
    /// The signal can't be sent.
    pub fn terminate(&self) -> Result<()> {
        self.signal(Signal::SIGTERM)
    }

    /// Freezes it.
    ///
    /// # Errors
    /// The signal can't be sent.
    pub fn freeze(&self) -> Result<()> {
        self.signal(Signal::SIGSTOP)
    }

    /// Lets it go on.
    ///
    /// # Errors
    /// The signal can't be sent.
    pub fn thaw(&self) -> Result<()> {
        self.signal(Signal::SIGCONT)
    }

    /// Whether it has ended, and how.
    ///
    /// # Errors
    /// It can't be waited for.
    pub fn exited(&mut self) -> Result<Option<ExitStatus>> {
        Ok(self.child.try_wait()?)
    }

    /// Waits for its end.
    ///
    /// # Errors
    /// It doesn't end in time.
    pub async fn wait(&mut self) -> Result<ExitStatus> {
        let what = format!("the end of {}", self.name);
        eventually_value(&what, async || self.child.try_wait().ok().flatten()).await
    }

    /// Starts it again with the same settings; it is killed first where it still runs.
    ///
    /// # Errors
    /// It can't be started.
    pub fn restart(&mut self) -> Result<()> {
        if self.exited()?.is_none() {
            self.kill()?;
        }
        self.child = spawn(&self.name, &self.program, &self.args, &self.folder)?;
        Ok(())
    }

    /// Starts it again with other settings.
    ///
    /// # Errors
    /// It can't be started.
    pub fn restart_with(&mut self, args: Vec<String>) -> Result<()> {
        self.args = args;
        self.restart()
    }

    /// Its settings.
    pub fn args(&self) -> &[String] {
        &self.args
    }

    /// What it has printed on standard output.
    ///
    /// # Errors
    /// The file can't be read.
    pub fn output(&self) -> Result<String> {
        Ok(fs::read_to_string(
            self.folder.join(format!("{}.out", self.name)),
        )?)
    }

    /// What it has logged on standard error.
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
        // Fails only when it has ended by itself.
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
        .wrap_err_with(|| format!("{name} can't be started"))
}

fn append(path: &Path) -> Result<File> {
    Ok(OpenOptions::new().create(true).append(true).open(path)?)
}
