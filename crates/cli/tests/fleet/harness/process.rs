//! A process of a fleet, which is signalled by its process id only.

use std::fs::File;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;

use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;

use super::wait_until;

/// Last lines of the log to print when a test fails.
const LOG_LINES: usize = 25;

/// A process that can be started again with the same settings. It is killed on drop.
#[derive(Debug)]
pub struct Process {
    program: &'static str,
    settings: PathBuf,
    // Standard output and standard error of all starts.
    log: PathBuf,
    child: Option<Child>,
}

impl Process {
    /// Writes the settings file. The process is not started yet.
    pub fn new(program: &'static str, folder: &Path, name: &str, settings: &str) -> Self {
        let path = folder.join(format!("{name}.toml"));
        std::fs::write(&path, settings).unwrap();
        Self {
            program,
            settings: path,
            log: folder.join(format!("{name}.log")),
            child: None,
        }
    }

    /// Starts the process; its output is appended to the log.
    pub fn start(&mut self) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .unwrap();
        let child = Command::new(self.program)
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn();
        self.child = Some(child.unwrap());
    }

    /// Sends SIGKILL and waits for the exit.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().unwrap();
            child.wait().unwrap();
        }
    }

    /// Sends SIGSTOP.
    pub fn freeze(&self) {
        self.signal(Signal::STOP);
    }

    /// Sends SIGCONT.
    pub fn thaw(&self) {
        self.signal(Signal::CONT);
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Waits for the process to exit by itself, and returns its exit status.
    pub async fn wait_for_exit(&mut self) -> ExitStatus {
        let child = std::sync::Mutex::new(self.child.take().unwrap());
        let exited = || async { child.lock().unwrap().try_wait().unwrap().is_some() };
        wait_until("a process to exit", exited).await;
        child.lock().unwrap().wait().unwrap()
    }

    /// Returns whether the process has exited; also true if it was killed or not started.
    pub fn has_exited(&mut self) -> bool {
        match &mut self.child {
            Some(child) => child.try_wait().unwrap().is_some(),
            None => true,
        }
    }

    /// Returns the peak of the resident memory, in kilobytes.
    #[allow(dead_code, reason = "only the tests with crowds look at the memory")]
    pub fn peak(&self) -> usize {
        let id = self.child.as_ref().unwrap().id();
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap();
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kilobytes = line.unwrap().trim().trim_end_matches(" kB");
        kilobytes.parse().unwrap()
    }

    fn signal(&self, signal: Signal) {
        let child = self.child.as_ref().unwrap();
        kill_process(Pid::from_child(child), signal).unwrap();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
        if std::thread::panicking() {
            let log = std::fs::read_to_string(&self.log).unwrap_or_default();
            let lines: Vec<&str> = log.lines().collect();
            let first = lines.len().saturating_sub(LOG_LINES);
            eprintln!("--- {}\n{}", self.log.display(), lines[first..].join("\n"));
        }
    }
}
