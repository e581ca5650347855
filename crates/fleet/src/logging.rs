//! Structured logs: one JSON object a line on standard output, written without blocking the
//! callers.
//!
//! Lines go through a bounded queue to a thread that writes them. A line counts towards the bound
//! until it is written. When the queue is full, a line is dropped and counted; the count is logged
//! with the next line that is written. Above a rate, lines
//! about requests that were served at the first attempt are skipped and counted, so that a flood of
//! them leaves room for the lines that explain failures.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
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

/// Target of log lines about requests.
pub const REQUEST_TARGET: &str = "request";

/// Settings of the log.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Lowest level that is written.
    pub level: LevelFilter,
    /// Lines a second about requests, above which those of requests served at the first attempt are
    /// skipped.
    pub rate: u32,
    /// Capacity of the queue to the writer, in lines.
    pub queue: usize,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            level: LevelFilter::Info,
            rate: DEFAULT_REQUEST_RATE,
            queue: DEFAULT_QUEUE_LINES,
        }
    }
}

/// Request lines a second: about the load of one router on a busy day. At some 300 bytes a line,
/// that is 60 kB a second.
const DEFAULT_REQUEST_RATE: u32 = 200;

/// One second of lines at several times that rate: some hundred kilobytes.
const DEFAULT_QUEUE_LINES: usize = 1_024;

/// Lines dropped so far, because the queue was full or the output failed.
static DROPPED: AtomicU64 = AtomicU64::new(0);
/// Lines skipped so far, because of the rate.
static SKIPPED: AtomicU64 = AtomicU64::new(0);

/// Returns the number of lines dropped because the queue was full or the output failed.
pub fn dropped() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Returns the number of lines skipped because of the rate.
pub fn skipped() -> u64 {
    SKIPPED.load(Ordering::Relaxed)
}

/// Starts logging to standard output. A second call in a process, as in tests, has no effect.
pub fn start(settings: &LogSettings) {
    start_to(settings, io::stdout());
}

/// Starts logging to a writer. A second call in a process has no effect.
pub fn start_to(settings: &LogSettings, out: impl Write + Send + 'static) {
    let capacity = settings.queue.max(1);
    let (tx, rx) = mpsc::sync_channel(capacity);
    let held = Arc::new(AtomicUsize::new(0));
    let queue = Queue {
        tx,
        held: Arc::clone(&held),
        capacity,
    };
    let limiter = std::sync::Mutex::new(RateLimiter::new(settings.rate));
    let logger = Builder::new()
        .filter_level(settings.level)
        .parse_default_env()
        .target(Target::Pipe(Box::new(queue)))
        .format(move |out, record| {
            let mut limiter = limiter
                .lock()
                .unwrap_or_else(std::sync::PoisonError::into_inner);
            if record.target() == REQUEST_TARGET && !limiter.admits(record) {
                SKIPPED.fetch_add(1, Ordering::Relaxed);
                return Ok(());
            }
            drop(limiter);
            writeln!(out, "{}", line(record))
        })
        .try_init();
    if logger.is_ok() {
        std::thread::spawn(move || write_all(&rx, &held, out));
    }
}

/// The writer that the logger writes to: it sends whole lines to the queue without blocking.
struct Queue {
    tx: SyncSender<Vec<u8>>,
    /// Lines that are not written yet: those in the channel, and those that the writer has taken
    /// from it.
    held: Arc<AtomicUsize>,
    /// Bound on `held`.
    capacity: usize,
}

impl Write for Queue {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        // Counted before it is sent, as the writer may take it at once.
        let has_room = self.held.fetch_add(1, Ordering::AcqRel) < self.capacity;
        if !has_room || self.tx.try_send(line.to_vec()).is_err() {
            self.held.fetch_sub(1, Ordering::AcqRel);
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes the queued lines in chunks and takes them out of `held`. Adds a line with the counts if more lines were dropped or
/// skipped since the last chunk.
fn write_all(rx: &Receiver<Vec<u8>>, held: &AtomicUsize, mut out: impl Write) {
    let mut reported = 0;
    while let Ok(first) = rx.recv() {
        let mut chunk = first;
        let mut lines = 1;
        while let Ok(next) = rx.try_recv() {
            chunk.extend_from_slice(&next);
            lines += 1;
            if chunk.len() > MAX_WRITE_BYTES {
                break;
            }
        }
        let left_out = dropped() + skipped();
        if left_out > reported {
            let notice = serde_json::json!({
                "ts": unix(), "level": "WARN", "target": "logging", "msg": "lines left out",
                "dropped": dropped(), "skipped": skipped(),
            });
            chunk.extend_from_slice(format!("{notice}\n").as_bytes());
            reported = left_out;
        }
        if out.write_all(&chunk).and_then(|()| out.flush()).is_err() {
            // The output is gone, so the failure can only be counted.
            DROPPED.fetch_add(lines as u64, Ordering::Relaxed);
        }
        held.fetch_sub(lines, Ordering::AcqRel);
    }
}

/// Size from which no more lines are added to a chunk.
const MAX_WRITE_BYTES: usize = 32 << 10;

/// Limits the lines about requests in windows of one second.
struct RateLimiter {
    /// Lines a window, above which routine lines are skipped.
    limit: u32,
    window_start: Instant,
    count: u32,
}

impl RateLimiter {
    fn new(limit: u32) -> Self {
        Self {
            limit,
            window_start: Instant::now(),
            count: 0,
        }
    }

    /// Counts a line and returns whether it is written. A line that is not routine always is.
    fn admits(&mut self, record: &Record<'_>) -> bool {
        if self.window_start.elapsed().as_secs() >= 1 {
            self.window_start = Instant::now();
            self.count = 0;
        }
        self.count += 1;
        self.count <= self.limit || !is_routine(record)
    }
}

/// Returns whether a line is about a request that was served at the first attempt.
fn is_routine(record: &Record<'_>) -> bool {
    let values = record.key_values();
    let served = values.get(kv::Key::from("outcome"));
    let sends = values.get(kv::Key::from("sends"));
    let served = served.is_some_and(|value| value.to_string() == "served");
    served && sends.and_then(|value| value.to_u64()) == Some(1)
}

/// Returns the JSON object of a record.
fn line(record: &Record<'_>) -> Value {
    let mut fields = Fields(Map::new());
    fields.insert("ts", Value::from(unix()));
    fields.insert("level", Value::from(record.level().as_str()));
    fields.insert("target", Value::from(record.target()));
    fields.insert("msg", Value::from(record.args().to_string()));
    // The visitor below never fails.
    let _ = record.key_values().visit(&mut fields);
    Value::Object(fields.0)
}

/// Collects the key-values of a record: numbers and booleans as such, all else as text.
struct Fields(Map<String, Value>);

impl Fields {
    fn insert(&mut self, key: &str, value: Value) {
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
        self.insert(key.as_str(), json);
        Ok(())
    }
}

/// Returns the Unix time in seconds. It may jump.
fn unix() -> f64 {
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    (since_epoch.unwrap_or_default().as_millis() as f64) / 1_000.0
}
