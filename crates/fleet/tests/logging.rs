//! The log never holds anybody up, and says what it left out.
#![allow(clippy::unwrap_used)]

use std::io;
use std::io::Write;
use std::sync::mpsc;

use chestnutnotch::logging;
use chestnutnotch::logging::LogSettings;

/// Takes nothing until it is told to, as a pipe that nobody reads.
struct Stuck {
    go: mpsc::Receiver<()>,
    out: mpsc::Sender<Vec<u8>>,
    open: bool,
}

impl Write for Stuck {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if !self.open {
            self.go.recv().unwrap();
            self.open = true;
        }
        self.out.send(bytes.to_vec()).unwrap();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn flood_into_a_full_pipe_is_dropped_and_told() {
    let (go, wait) = mpsc::channel();
    let (out, lines) = mpsc::channel();
    let settings = LogSettings {
        queue: 64,
        ..LogSettings::default()
    };
    let stuck = Stuck {
        go: wait,
        out,
        open: false,
    };
    logging::start_to(&settings, stuck);
    // Each call returns though nothing is read: the test ends.
    for number in 0..10_000 {
        log::warn!(number; "flood");
    }
    assert!(logging::dropped() >= 10_000 - 64 - 64);
    for number in 0..1_000 {
        log::info!(target: logging::REQUEST_TARGET, outcome = "served", sends = 1, number; "answered");
    }
    assert!(
        logging::skipped() > 0,
        "served requests are left out above the rate"
    );
    go.send(()).unwrap();
    let mut text = String::new();
    while !text.contains("lines left out") {
        text += &String::from_utf8(lines.recv().unwrap()).unwrap();
    }
    let first: serde_json::Value = serde_json::from_str(text.lines().next().unwrap()).unwrap();
    assert_eq!(first["msg"], "flood");
    assert_eq!(first["level"], "WARN");
}
