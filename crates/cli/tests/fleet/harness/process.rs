//! One process of a fleet. It is stopped by its id only, and killed when dropped.

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

use super::until;

const LOG_LINES: usize = 25;

/// A process that can be started again with the same settings.
#[derive(Debug)]
pub struct Process {
    program: &'static str,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Process {
    /// Not started yet.
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

    /// SIGKILL, and waits until it is gone.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().unwrap();
            child.wait().unwrap();
        }
    }

    pub fn freeze(&self) {
        self.signal(Signal::STOP);
    }

    pub fn thaw(&self) {
        self.signal(Signal::CONT);
    }

    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Waits for its own end.
    pub async fn ended(&mut self) -> ExitStatus {
        let child = std::sync::Mutex::new(self.child.take().unwrap());
        let over = || async { child.lock().unwrap().try_wait().unwrap().is_some() };
        until("a process to end", over).await;
        child.lock().unwrap().wait().unwrap()
    }

    /// Whether it ended by itself.
    pub fn is_over(&mut self) -> bool {
        match &mut self.child {
            Some(child) => child.try_wait().unwrap().is_some(),
            None => true,
        }
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
            let tail = lines.len().saturating_sub(LOG_LINES);
            eprintln!("--- {}\n{}", self.log.display(), lines[tail..].join("\n"));
        }
    }
}
