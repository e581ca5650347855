//! Structured logs: one JSON object a line on standard output, bounded and never waited for.
//!
//! Lines go through a queue to a thread that writes them. When the queue is full, a line is dropped
//! and counted; the count goes out with the next line that is written. Above a rate, lines about
//! requests that were served at the first attempt are left out and counted, so that a flood leaves
//! room for those that explain failures.

use std::io;
use std::io::Write;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::TrySendError;
use std::time::Instant;
use std::time::SystemTime;

use env_logger::Builder;
use env_logger::Target;
use log::LevelFilter;
use log::Record;
use log::kv;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Map;
use serde_json::Value;

/// Target of the lines about requests.
pub const REQUEST_TARGET: &str = "request";

/// Settings of the log.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Lowest level that is written.
    pub level: LevelFilter,
    /// Lines a second about requests, above which those of served requests are left out.
    pub rate: u32,
    /// Lines that wait for the writer.
    pub queue: usize,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            level: LevelFilter::Info,
            rate: REQUEST_LINES,
            queue: QUEUE_LINES,
        }
    }
}

/// About the requests of one router on a busy day; at some 300 bytes a line, 60 kB a second.
const REQUEST_LINES: u32 = 200;

/// A second of lines at several times the rate above, some hundred kilobytes.
const QUEUE_LINES: usize = 1_024;

static DROPPED: AtomicU64 = AtomicU64::new(0);
static SKIPPED: AtomicU64 = AtomicU64::new(0);

/// Lines dropped because the writer was behind.
pub fn dropped() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Lines left out because of the rate.
pub fn skipped() -> u64 {
    SKIPPED.load(Ordering::Relaxed)
}

/// Starts logging to standard output. A second call, as in tests, changes nothing.
pub fn start(settings: &LogSettings) {
    start_to(settings, io::stdout());
}

/// Starts logging to a writer.
pub fn start_to(settings: &LogSettings, out: impl Write + Send + 'static) {
    let (tx, rx) = mpsc::sync_channel(settings.queue.max(1));
    let pace = std::sync::Mutex::new(Pace::new(settings.rate));
    let logger = Builder::new()
        .filter_level(settings.level)
        .parse_default_env()
        .target(Target::Pipe(Box::new(Queue { tx })))
        .format(move |out, record| {
            let mut pace = pace
                .lock()
                .unwrap_or_else(std::sync::PoisonError::into_inner);
            if record.target() == REQUEST_TARGET && !pace.admits(record) {
                SKIPPED.fetch_add(1, Ordering::Relaxed);
                return Ok(());
            }
            drop(pace);
            writeln!(out, "{}", line(record))
        })
        .try_init();
    if logger.is_ok() {
        std::thread::spawn(move || write_all(&rx, out));
    }
}

/// The writer that the logger sees: it hands whole lines to the queue.
struct Queue {
    tx: SyncSender<Vec<u8>>,
}

impl Write for Queue {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        match self.tx.try_send(line.to_vec()) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                DROPPED.fetch_add(1, Ordering::Relaxed);
            }
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes what waits in one piece, and says how many lines were lost since the last one.
fn write_all(rx: &Receiver<Vec<u8>>, mut out: impl Write) {
    let mut told = 0;
    while let Ok(first) = rx.recv() {
        let mut piece = first;
        while let Ok(next) = rx.try_recv() {
            piece.extend_from_slice(&next);
            if piece.len() > PIECE_BYTES {
                break;
            }
        }
        let lost = dropped() + skipped();
        if lost > told {
            let note = serde_json::json!({
                "ts": unix(), "level": "WARN", "target": "logging", "msg": "lines left out",
                "dropped": dropped(), "skipped": skipped(),
            });
            piece.extend_from_slice(format!("{note}\n").as_bytes());
            told = lost;
        }
        if out.write_all(&piece).and_then(|()| out.flush()).is_err() {
            // Nobody reads: there is nowhere to say so but in the counter.
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
    }
}

const PIECE_BYTES: usize = 32 << 10;

/// Counts lines about requests by the second.
struct Pace {
    most: u32,
    since: Instant,
    count: u32,
}

impl Pace {
    fn new(most: u32) -> Self {
        Self {
            most,
            since: Instant::now(),
            count: 0,
        }
    }

    /// Whether a line is written. One that explains a failure always is.
    fn admits(&mut self, record: &Record<'_>) -> bool {
        if self.since.elapsed().as_secs() >= 1 {
            self.since = Instant::now();
            self.count = 0;
        }
        self.count += 1;
        self.count <= self.most || !is_plain(record)
    }
}

/// Whether a line tells of a request that was served at the first attempt.
fn is_plain(record: &Record<'_>) -> bool {
    let values = record.key_values();
    let served = values.get(kv::Key::from("outcome"));
    let sends = values.get(kv::Key::from("sends"));
    let served = served.is_some_and(|value| value.to_string() == "served");
    served && sends.and_then(|value| value.to_u64()) == Some(1)
}

fn line(record: &Record<'_>) -> Value {
    let mut fields = Fields(Map::new());
    fields.put("ts", Value::from(unix()));
    fields.put("level", Value::from(record.level().as_str()));
    fields.put("target", Value::from(record.target()));
    fields.put("msg", Value::from(record.args().to_string()));
    // The visitor below never fails.
    let _ = record.key_values().visit(&mut fields);
    Value::Object(fields.0)
}

struct Fields(Map<String, Value>);

impl Fields {
    fn put(&mut self, key: &str, value: Value) {
        self.0.insert(key.to_owned(), value);
    }
}

impl<'kvs> kv::VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: kv::Key<'kvs>, value: kv::Value<'kvs>) -> Result<(), kv::Error> {
        let json = match (value.to_u64(), value.to_bool()) {
            (Some(number), _) => Value::from(number),
            (_, Some(flag)) => Value::from(flag),
            _ => Value::from(value.to_string()),
        };
        self.put(key.as_str(), json);
        Ok(())
    }
}

/// Unix time in seconds; it may jump.
fn unix() -> f64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    (since.unwrap_or_default().as_millis() as f64) / 1_000.0
}
