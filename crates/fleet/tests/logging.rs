//! Logging never blocks a caller, and reports the lines that it left out.
#![allow(clippy::unwrap_used)]

use std::io;
use std::io::Write;
use std::sync::mpsc;

use chestnutnotch::logging;
use chestnutnotch::logging::LogSettings;

/// Blocks the first write until it is released, like a full pipe that nobody reads.
struct BlockedWriter {
    release: mpsc::Receiver<()>,
    out: mpsc::Sender<Vec<u8>>,
    released: bool,
}

impl Write for BlockedWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if !self.released {
            self.release.recv().unwrap();
            self.released = true;
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
    let (release, release_rx) = mpsc::channel();
    let (out, lines) = mpsc::channel();
    let settings = LogSettings {
        queue: 64,
        ..LogSettings::default()
    };
    let writer = BlockedWriter {
        release: release_rx,
        out,
        released: false,
    };
    logging::start_to(&settings, writer);
    // Every call has to return although nothing is read. If one blocks, the test hangs.
    for number in 0..10_000 {
        log::warn!(number; "flood");
    }
    assert!(logging::dropped() >= 10_000 - 64 - 64);
    for number in 0..1_000 {
        log::info!(target: logging::REQUEST_TARGET, outcome = "served", sends = 1, number; "answered");
    }
    assert!(
        logging::skipped() > 0,
        "lines about served requests are skipped above the rate"
    );
    release.send(()).unwrap();
    let mut text = String::new();
    while !text.contains("lines left out") {
        text += &String::from_utf8(lines.recv().unwrap()).unwrap();
    }
    let first: serde_json::Value = serde_json::from_str(text.lines().next().unwrap()).unwrap();
    assert_eq!(first["msg"], "flood");
    assert_eq!(first["level"], "WARN");
}
