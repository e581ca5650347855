//! The upstreams that this router knows.
//!
//! The table stands behind a short lock, not in an actor: each request chooses once and ends once,
//! both are pure and take microseconds, and one mailbox would put all requests in a row.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use chestnutnotch_core::id::DataCentre;
use chestnutnotch_core::id::Upstream;
use chestnutnotch_core::unit::Incarnation;
use chestnutnotch_core::upstream::Announcement;
use chestnutnotch_core::upstream::AttemptId;
use chestnutnotch_core::upstream::AttemptOutcome;
use chestnutnotch_core::upstream::ChoiceError;
use chestnutnotch_core::upstream::Crash;
use chestnutnotch_core::upstream::Criteria;
use chestnutnotch_core::upstream::Load;
use chestnutnotch_core::upstream::Phase;
use chestnutnotch_core::upstream::Pick;
use chestnutnotch_core::upstream::Pool;
use chestnutnotch_core::upstream::Probe;
use chestnutnotch_core::upstream::Table;
use chestnutnotch_core::upstream::TableConfig;
use chestnutnotch_core::upstream::UpstreamStatus;
use http::HeaderMap;
use http::Method;
use http::StatusCode;
use tokio::sync::Notify;
use tokio::sync::watch;

use crate::edges::http::HttpClient;
use crate::edges::http::client::Call;
use crate::edges::http::read_bounded;
use crate::metrics::Metrics;
use crate::timer::Timer;

const ASK_WITHIN: Duration = Duration::from_millis(500);
const TELL_WITHIN: Duration = Duration::from_millis(200);
const EVIDENCE_PAUSE: Duration = Duration::from_millis(100);

/// Largest announcement, in bytes.
pub const MAX_ANNOUNCEMENT_BYTES: usize = 64 << 10;

/// What an announcement changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnnouncementChange {
    /// Nothing.
    Stale,
    /// Load or cache contents.
    Load,
    /// Whether the upstream takes work: a new start, a leave, or the first word of it.
    Availability,
}

/// A handle on the table of upstreams. Cheap to clone.
#[derive(Clone, Debug)]
pub struct Upstreams {
    table: Arc<Mutex<Table>>,
    client: HttpClient,
    routers: u32,
    broken: Arc<Notify>,
    broken_attempts: Arc<AtomicU64>,
    told: watch::Sender<u64>,
    timer: Timer,
    metrics: Arc<Metrics>,
}

impl Upstreams {
    /// An empty table. `routers` is the number of routers that share the upstreams.
    pub fn new(
        centre: DataCentre,
        routers: u32,
        client: HttpClient,
        timer: Timer,
        metrics: Arc<Metrics>,
    ) -> Self {
        Self::with_config(
            centre,
            TableConfig::default(),
            routers,
            client,
            timer,
            metrics,
        )
    }

    /// Like [`Upstreams::new`], with settings of the table.
    pub fn with_config(
        centre: DataCentre,
        config: TableConfig,
        routers: u32,
        client: HttpClient,
        timer: Timer,
        metrics: Arc<Metrics>,
    ) -> Self {
        let table = Table::with_config(centre, config, rand::random());
        Self {
            table: Arc::new(Mutex::new(table)),
            client,
            routers,
            broken: Arc::new(Notify::new()),
            broken_attempts: Arc::new(AtomicU64::new(0)),
            told: watch::Sender::new(0),
            timer,
            metrics,
        }
    }

    /// Takes in an announcement.
    pub fn observe(&self, said: Announcement) -> AnnouncementChange {
        let mut table = self.table();
        let known = table
            .announcements()
            .find(|known| known.upstream == said.upstream)
            .map(|known| (known.incarnation, known.phase));
        let standing = Some((said.incarnation, said.phase));
        let heard = table.observe(self.timer.now(), said);
        drop(table);
        let (news, word) = match heard {
            false => (AnnouncementChange::Stale, "old"),
            true if standing == known => (AnnouncementChange::Load, "load"),
            true => (AnnouncementChange::Availability, "standing"),
        };
        self.metrics.announcements.add(word);
        news
    }

    /// Takes in the load that an upstream gave with an answer.
    pub fn update_load(&self, pick: &Pick, load: Load) {
        let now = self.timer.now();
        self.table()
            .update_load(now, &pick.upstream, pick.incarnation, load);
    }

    /// The answer to an attempt has record_answer_start.
    pub fn record_answer_start(&self, attempt: AttemptId) {
        self.table().record_answer_start(attempt);
    }

    /// Chooses an upstream and counts the attempt.
    ///
    /// # Errors
    ///
    /// See [`ChoiceError`].
    pub fn choose(&self, wanted: &Criteria) -> Result<Pick, ChoiceError> {
        self.table().choose(self.timer.now(), wanted)
    }

    /// Lets crash evidence of a marked request arrive before the request is run once more: the
    /// other routers learn what this one knows, and what they found has time to come in.
    pub async fn await_evidence(&self, wanted: &Criteria) {
        if !self.table().is_suspected(&wanted.body) {
            return;
        }
        self.told().await;
        tokio::time::sleep(EVIDENCE_PAUSE).await;
    }

    /// Counts the end of an attempt.
    pub fn end(&self, attempt: AttemptId, ended: AttemptOutcome) {
        self.metrics.attempts.add(match ended {
            AttemptOutcome::Completed => "whole",
            AttemptOutcome::Overload => "overload",
            AttemptOutcome::Unreachable => "unreachable",
            AttemptOutcome::Broken => "broken",
            AttemptOutcome::TimedOut => "late",
            AttemptOutcome::Neutral => "neutral",
        });
        self.table().end(self.timer.now(), attempt, ended);
        if ended == AttemptOutcome::Broken {
            self.broken_attempts.fetch_add(1, Ordering::AcqRel);
            self.broken.notify_one();
        }
    }

    /// Waits until an attempt has broken off since the last call.
    pub async fn attempt_broken(&self) {
        self.broken.notified().await;
    }

    /// Number of attempts that broke off so far.
    pub fn broken_attempts(&self) -> u64 {
        self.broken_attempts.load(Ordering::Acquire)
    }

    /// The other routers know what the first `broken_attempts` attempts that broke off gave in evidence.
    pub fn set_shared(&self, broken_attempts: u64) {
        self.told.send_if_modified(|told| {
            let later = broken_attempts > *told;
            *told = broken_attempts.max(*told);
            later
        });
    }

    /// Waits until the other routers know the evidence that this one has now, but not for long on
    /// a router that does not answer.
    async fn told(&self) {
        let broken_attempts = self.broken_attempts();
        let mut told = self.told.subscribe();
        let known = told.wait_for(|told| *told >= broken_attempts);
        // A router that does not answer can't hold the request back for good.
        let _ = tokio::time::timeout(TELL_WITHIN, known).await;
    }

    /// The counters.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Asks an upstream for its state directly. Whether it takes work as the start that is known.
    pub async fn probe(&self, probe: &Probe) -> bool {
        let said = self.request(probe).await;
        let usable = said.as_ref().is_some_and(|said| {
            said.upstream == probe.upstream
                && said.incarnation == probe.incarnation
                && said.phase == Phase::Ready
        });
        self.metrics.announcements.add(match said {
            Some(_) => "asked",
            None => "silent",
        });
        let now = self.timer.now();
        self.table()
            .record_probe(now, &probe.upstream, probe.incarnation, said);
        usable
    }

    async fn request(&self, probe: &Probe) -> Option<Announcement> {
        let call = Call {
            address: probe.address,
            method: Method::GET,
            path: "/v1/phase".to_owned(),
            headers: HeaderMap::new(),
            body: Default::default(),
        };
        let response = self.client.send(call, ASK_WITHIN).await.ok()?;
        if response.status() != StatusCode::OK {
            return None;
        }
        let body = read_bounded(response.into_body(), MAX_ANNOUNCEMENT_BYTES, ASK_WITHIN).await;
        serde_json::from_slice(&body.ok()?).ok()
    }

    /// Lets time pass. Returns the upstreams to ask now.
    pub fn tick(&self) -> Vec<Probe> {
        let now = self.timer.now();
        let mut table = self.table();
        table.tick(now);
        table.due_probes(now)
    }

    /// Takes in another router's crash evidence. Returns whether it was news.
    pub fn observe_crash(&self, crash: &Crash) -> bool {
        let now = self.timer.now();
        let mut table = self.table();
        table.observe_crash(now, crash.body, &crash.upstream, crash.incarnation)
    }

    /// Crash evidence that this router found since the last call.
    pub fn drain_crashes(&self) -> Vec<Crash> {
        let mut out = Vec::new();
        self.table().drain_crashes(&mut out);
        out
    }

    /// How many requests this router may run at once.
    pub fn pools(&self) -> Vec<Pool> {
        self.table().pools(self.timer.now(), self.routers)
    }

    /// State of each upstream.
    pub fn statuses(&self) -> Vec<UpstreamStatus> {
        self.table().statuses(self.timer.now()).collect()
    }

    /// The newest announcement of each upstream.
    pub fn announcements(&self) -> Vec<Announcement> {
        self.table().announcements().cloned().collect()
    }

    /// The newest start heard of an upstream.
    pub fn incarnation(&self, upstream: &Upstream) -> Option<Incarnation> {
        let table = self.table();
        let mut all = table.announcements();
        all.find(|said| said.upstream == *upstream)
            .map(|said| said.incarnation)
    }

    fn table(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
