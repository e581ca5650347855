//! The upstreams that this router knows: announcements, choices for requests, and probes.
//!
//! A briefly held mutex guards the table instead of an actor: each attempt takes it a few times for
//! microseconds, and one mailbox would serialize all requests.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use chestnutnotch_core::evacuation::Evacuations;
use chestnutnotch_core::id::DataCentre;
use chestnutnotch_core::id::Fingerprint;
use chestnutnotch_core::id::PromptPart;
use chestnutnotch_core::id::Release;
use chestnutnotch_core::id::Service;
use chestnutnotch_core::id::Upstream;
use chestnutnotch_core::unit::Incarnation;
use chestnutnotch_core::unit::Millis;
use chestnutnotch_core::unit::RequestRate;
use chestnutnotch_core::upstream::Announcement;
use chestnutnotch_core::upstream::AttemptId;
use chestnutnotch_core::upstream::AttemptOutcome;
use chestnutnotch_core::upstream::Attribution;
use chestnutnotch_core::upstream::ChoiceError;
use chestnutnotch_core::upstream::Crash;
use chestnutnotch_core::upstream::Criteria;
use chestnutnotch_core::upstream::Evidence;
use chestnutnotch_core::upstream::Finding;
use chestnutnotch_core::upstream::Headroom;
use chestnutnotch_core::upstream::Kind;
use chestnutnotch_core::upstream::LeaveNotice;
use chestnutnotch_core::upstream::LimitedUpstream;
use chestnutnotch_core::upstream::LoadReport;
use chestnutnotch_core::upstream::Phase;
use chestnutnotch_core::upstream::Pick;
use chestnutnotch_core::upstream::Pool;
use chestnutnotch_core::upstream::Probe;
use chestnutnotch_core::upstream::Proof;
use chestnutnotch_core::upstream::ReleaseNotice;
use chestnutnotch_core::upstream::SessionPlace;
use chestnutnotch_core::upstream::Table;
use chestnutnotch_core::upstream::TableConfig;
use chestnutnotch_core::upstream::UpstreamStatus;
use chestnutnotch_core::upstream::rate::RateNotice;
use chestnutnotch_core::upstream::rate::Reach;
use chestnutnotch_core::upstream::rate::ShareGrant;
use chestnutnotch_core::upstream::rate::ShareRequest;
use http::HeaderMap;
use http::Method;
use http::StatusCode;
use tokio::sync::Notify;
use tokio::sync::watch;

use crate::edges::http::HttpClient;
use crate::edges::http::RequestedPause;
use crate::edges::http::client::Call;
use crate::edges::http::read_answer;
use crate::metrics::Metrics;
use crate::timer::Timer;

/// Timeout of a probe, applied to the response head and to its body.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest wait until the other routers have this router's crash evidence.
const SHARE_TIMEOUT: Duration = Duration::from_millis(200);
/// Wait for crash evidence of the other routers.
const EVIDENCE_DELAY: Duration = Duration::from_millis(100);

/// Largest announcement, encoded as JSON.
pub const MAX_ANNOUNCEMENT_BYTES: usize = 64 << 10;

/// What an announcement changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnnouncementChange {
    /// Nothing: it is no newer than the known one, or no upstream can have sent it.
    Stale,
    /// Only load or cache contents.
    Load,
    /// Whether the upstream takes requests: it is new, has restarted or is leaving.
    Availability,
}

/// A handle on the table of upstreams. Cheap to clone.
#[derive(Clone, Debug)]
pub struct Upstreams {
    table: Arc<Mutex<Table>>,
    client: HttpClient,
    /// Number of routers that share the upstreams.
    routers: u32,
    /// Notified when an attempt breaks off.
    broken: Arc<Notify>,
    /// Number of attempts that broke off.
    broken_attempts: Arc<AtomicU64>,
    /// Number of broken attempts whose crash evidence the other routers have.
    shared: watch::Sender<u64>,
    /// Evacuated data centres, as this node knows them.
    evacuations: watch::Sender<Evacuations>,
    timer: Timer,
    metrics: Arc<Metrics>,
}

impl Upstreams {
    /// Returns an empty table with the default configuration. `routers` is the number of routers
    /// that share the upstreams.
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

    /// Returns an empty table with a configuration.
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
            shared: watch::Sender::new(0),
            evacuations: watch::Sender::default(),
            timer,
            metrics,
        }
    }

    /// Applies an announcement. Returns what it changed. One that no upstream can have sent, which
    /// nodes of earlier versions pass on, is ignored.
    pub fn observe(&self, announcement: Announcement) -> AnnouncementChange {
        if let Err(error) = announcement.check() {
            self.metrics.announcements.add("odd");
            log::debug!(error:% = error; "odd announcement ignored");
            return AnnouncementChange::Stale;
        }
        let mut table = self.table();
        let known = table
            .announcements()
            .find(|known| known.upstream == announcement.upstream)
            .map(|known| (known.incarnation, known.phase));
        let availability = Some((announcement.incarnation, announcement.phase));
        let applied = table.observe(self.timer.now(), announcement);
        drop(table);
        let (change, label) = match applied {
            false => (AnnouncementChange::Stale, "old"),
            true if availability == known => (AnnouncementChange::Load, "load"),
            true => (AnnouncementChange::Availability, "standing"),
        };
        self.metrics.announcements.add(label);
        change
    }

    /// Returns an announcement with the phase that it has by the known leaves.
    pub fn apply_leave(&self, announcement: Announcement) -> Announcement {
        let now = self.timer.now();
        let phase = announcement.phase;
        let announcement = self.table().apply_leave(now, announcement);
        if announcement.phase != phase {
            self.metrics.announcements.add("after_leave");
            log::debug!(
                upstream:% = announcement.upstream, start = announcement.incarnation.0;
                "heartbeat of a start that has left"
            );
        }
        announcement
    }

    /// Returns the starts that can have given the answer to an attempt: a start that is not known yet
    /// may have been there when the request was sent.
    pub fn attribute_answer(&self, pick: &Pick) -> Attribution {
        let age = self.table().attempt_age(self.timer.now(), pick.attempt);
        let sent = self.timer.unix().saturating_sub(age);
        Attribution::heard_at(sent, Some(pick.incarnation))
    }

    /// Sets the services that the routes in force name.
    pub fn set_services(&self, services: impl IntoIterator<Item = Service>) {
        self.table().set_services(services);
    }

    /// Returns the time since the chosen start of an upstream left, if it did.
    pub fn leave_age(&self, pick: &Pick) -> Option<Millis> {
        let now = self.timer.now();
        self.table()
            .leave_age(now, &pick.upstream, pick.incarnation)
    }

    /// Applies a leave. Returns whether it was news. `source` is for the log.
    pub fn observe_leave(&self, notice: &LeaveNotice, source: &'static str) -> bool {
        let now = self.timer.now();
        let is_new = self.table().observe_leave(now, notice);
        if is_new {
            self.metrics.announcements.add("leave");
            log::info!(
                upstream:% = notice.upstream, start = notice.starts.known.0,
                latest = notice.starts.latest.0, age = notice.age.0, source;
                "upstream has left"
            );
        }
        is_new
    }

    /// Takes over newer evacuations. Returns whether they were news. `source` is for the log.
    pub fn observe_evacuations(&self, evacuations: &Evacuations, source: &'static str) -> bool {
        if !self.table().observe_evacuations(evacuations) {
            return false;
        }
        self.evacuations
            .send_if_modified(|held| held.merge(evacuations));
        self.metrics.evacuated.set(evacuations.centres.len() as i64);
        let names = evacuations.centres.iter().map(DataCentre::as_str);
        let names: Vec<&str> = names.collect();
        log::info!(version = evacuations.version, centres:% = names.join(" "), source; "evacuations in force");
        true
    }

    /// Watches the evacuated data centres.
    pub fn evacuations(&self) -> watch::Receiver<Evacuations> {
        self.evacuations.subscribe()
    }

    /// Returns whether a known upstream is in a data centre.
    pub fn has_centre(&self, centre: &DataCentre) -> bool {
        self.table().has_centre(centre)
    }

    /// Returns the known leave of an upstream.
    pub fn leave_notice(&self, upstream: &Upstream) -> Option<LeaveNotice> {
        let now = self.timer.now();
        self.table().leave_notice(now, upstream)
    }

    /// See [`Table::leave_notices`].
    pub fn leave_notices(&self) -> Vec<LeaveNotice> {
        let now = self.timer.now();
        self.table().leave_notices(now).collect()
    }

    /// Applies the load that an upstream reported with an answer.
    pub fn update_load(&self, pick: &Pick, report: LoadReport) {
        let now = self.timer.now();
        self.table()
            .update_load(now, &pick.upstream, pick.incarnation, report);
    }

    /// Applies the rate that the answer to an attempt stated, none if it stated none. Returns the
    /// change to tell the other routers, if there is one.
    pub fn observe_rate(&self, pick: &Pick, rate: Option<RequestRate>) -> Option<RateNotice> {
        let now = self.timer.now();
        let notice = self.table().observe_rate(now, pick.attempt, rate);
        if let Some(notice) = &notice {
            self.log_rate(notice, "answer");
        }
        notice
    }

    /// Applies what another router stated of a rate. Returns what to pass on, if it was news.
    pub fn observe_rate_notice(&self, notice: &RateNotice) -> Option<RateNotice> {
        let now = self.timer.now();
        let notice = self.table().observe_rate_notice(now, notice);
        if let Some(notice) = &notice {
            self.log_rate(notice, "gossip");
        }
        notice
    }

    /// Returns all known rates, for routers that missed them.
    pub fn rate_notices(&self) -> Vec<RateNotice> {
        self.table().rate_notices().collect()
    }

    /// Returns whether an upstream has named a rate.
    pub fn has_rates(&self) -> bool {
        self.table().has_rates()
    }

    /// See [`Table::find_limited`].
    pub fn find_limited(&self, criteria: &Criteria, routers: usize) -> Option<LimitedUpstream> {
        let now = self.timer.now();
        self.table().find_limited(now, criteria, routers)
    }

    /// Returns the request to send to the owner of an upstream's rate, if one is due.
    pub fn ask_share(&self, upstream: &Upstream) -> Option<ShareRequest> {
        let now = self.timer.now();
        self.table().ask_share(now, upstream)
    }

    /// Returns whether a request to the owner of an upstream's rate is unanswered.
    pub fn is_share_pending(&self, upstream: &Upstream) -> bool {
        self.table().is_share_pending(upstream)
    }

    /// Answers a router's request as the owner of the rate.
    pub fn answer_share(
        &self,
        router: SocketAddr,
        request: &ShareRequest,
        reach: Reach,
    ) -> ShareGrant {
        let now = self.timer.now();
        let grant = self.table().answer_share(now, router, request, reach);
        let label = match grant.tokens {
            0 => "owner_refused",
            _ => "owner_granted",
        };
        self.metrics.rates.add(label);
        grant
    }

    /// Applies the answer of the owner of a rate.
    pub fn observe_grant(&self, grant: &ShareGrant) {
        let now = self.timer.now();
        self.table().observe_grant(now, grant);
    }

    /// Applies the software version of a start of an upstream. Returns whether it was news.
    pub fn observe_release(&self, notice: &ReleaseNotice) -> bool {
        let now = self.timer.now();
        let is_new = self.table().observe_release(now, notice);
        if is_new {
            self.metrics.announcements.add("release");
            let release = notice.release.as_ref().map_or("", Release::as_str);
            log::info!(upstream:% = notice.upstream, start = notice.incarnation.0, release; "upstream runs this version");
        }
        is_new
    }

    /// Returns the software version of the start that was chosen for an attempt, if it is known and
    /// that start is the latest known one.
    pub fn release(&self, pick: &Pick) -> Option<Release> {
        let table = self.table();
        table.release(&pick.upstream, pick.incarnation).cloned()
    }

    /// Records that the address of a start refused a connection.
    pub fn doubt_start(&self, address: SocketAddr, incarnation: Incarnation) {
        let now = self.timer.now();
        let doubted = self.table().doubt_start(now, address, incarnation);
        for upstream in doubted {
            self.metrics.announcements.add("doubted");
            log::info!(upstream:% = upstream, start = incarnation.0; "upstream may have started again");
        }
    }

    /// See [`Table::has_doubted_candidate`].
    pub fn has_doubted_candidate(&self, criteria: &Criteria) -> bool {
        self.table().has_doubted_candidate(criteria)
    }

    /// See [`Table::has_candidate`].
    pub fn has_candidate(&self, criteria: &Criteria) -> bool {
        self.table().has_candidate(criteria)
    }

    /// See [`Table::release_notices`].
    pub fn release_notices(&self) -> Vec<ReleaseNotice> {
        let now = self.timer.now();
        self.table().release_notices(now).collect()
    }

    /// Logs and counts a change of the rate that an upstream names.
    fn log_rate(&self, notice: &RateNotice, source: &'static str) {
        let (action, label) = match notice.rate {
            Some(_) => ("set", "named"),
            None => ("removed", "removed"),
        };
        self.metrics.rates.add(label);
        log::info!(
            upstream:% = notice.upstream, start = notice.incarnation.0, version = notice.version,
            rate = notice.rate.map_or(0, |rate| rate.0), source;
            "rate limit {action}"
        );
    }

    /// Applies the pause that the answer to an attempt asks for, if it does. `id` is that of the
    /// request. The answer has to be tied to the request, and come from the chosen upstream.
    pub fn observe_pause(&self, pick: &Pick, id: &str, pause: RequestedPause) {
        let length = match pause {
            RequestedPause::Absent => return,
            RequestedPause::Invalid => {
                self.metrics.pauses.add("invalid");
                log::warn!(target: "upstream", id, upstream:% = pick.upstream; "invalid pause ignored");
                return;
            }
            RequestedPause::Lasts(length) => length,
        };
        let now = self.timer.now();
        let Some(until) = self.table().observe_pause(now, pick.attempt, length) else {
            return;
        };
        self.metrics.pauses.add("asked");
        log::info!(
            target: "upstream",
            id, upstream:% = pick.upstream, start = pick.incarnation.0, length = length.0,
            left = until.saturating_sub(now).0;
            "upstream asked for a pause"
        );
    }

    /// See [`Table::may_send`].
    pub fn may_send(&self, pick: &Pick) -> bool {
        let now = self.timer.now();
        self.table().may_send(now, pick)
    }

    /// See [`Table::is_paused`].
    pub fn is_paused(&self, upstream: &Upstream) -> bool {
        let now = self.timer.now();
        self.table().is_paused(now, upstream)
    }

    /// See [`Table::find_all_paused`].
    pub fn find_all_paused(&self, kind: &Kind) -> Option<Millis> {
        let now = self.timer.now();
        self.table().find_all_paused(now, kind)
    }

    /// Counts and logs a request for this kind of upstream that is turned away because every one is
    /// paused. Returns the time from now to `until`, when its caller may retry.
    pub fn turn_away_paused(&self, id: &str, kind: &Kind, until: Millis) -> Millis {
        let now = self.timer.now();
        let wait = until.saturating_sub(now);
        self.metrics.pauses.add("turned_away");
        let table = self.table();
        let first = table.first_paused(now, kind);
        let upstream = first.map_or("", |(upstream, _)| upstream.as_str());
        let age = first.map_or(Millis::ZERO, |(_, asked)| now.saturating_sub(asked));
        log::info!(target: "upstream", id, upstream, age = age.0, wait = wait.0; "upstreams are paused");
        wait
    }

    /// Records that the head of a successful answer to an attempt has arrived.
    pub fn record_answer_head(&self, attempt: AttemptId) {
        let now = self.timer.now();
        self.table().record_answer_head(now, attempt);
    }

    /// Records that the first events of the answer to an attempt have arrived.
    pub fn record_answer_start(&self, attempt: AttemptId) {
        let now = self.timer.now();
        self.table().record_answer_start(now, attempt);
    }

    /// Chooses an upstream and starts an attempt at it, which has to be ended by
    /// [`Upstreams::end`].
    ///
    /// # Errors
    ///
    /// See [`ChoiceError`].
    pub fn choose(&self, criteria: &Criteria) -> Result<Pick, ChoiceError> {
        let chosen = self.table().choose(self.timer.now(), criteria);
        if chosen.as_ref().is_ok_and(|pick| pick.paused > 0) {
            self.metrics.pauses.add("passed_over");
        }
        match chosen.as_ref().map(|pick| pick.place) {
            Ok(SessionPlace::Home) => self.metrics.sessions.add("home"),
            Ok(SessionPlace::NextHome) => self.metrics.sessions.add("next_home"),
            Ok(SessionPlace::Elsewhere) => self.metrics.sessions.add("elsewhere"),
            Ok(SessionPlace::None) | Err(_) => {}
        }
        chosen
    }

    /// Waits before a request that is suspected of crashing upstreams is retried: until the other
    /// routers have this router's crash evidence, and a while longer so that theirs can arrive.
    /// Returns at once for other requests.
    pub async fn await_evidence(&self, criteria: &Criteria) {
        if !self.table().is_suspected(&criteria.body) {
            return;
        }
        self.await_shared().await;
        tokio::time::sleep(EVIDENCE_DELAY).await;
    }

    /// Returns whether the request broke off once, so that it may have crashed its upstream.
    pub fn is_suspected(&self, body: &Fingerprint) -> bool {
        self.table().is_suspected(body)
    }

    /// Ends an attempt with its outcome.
    pub fn end(&self, attempt: AttemptId, ended: AttemptOutcome) {
        self.metrics.attempts.add(match ended {
            AttemptOutcome::Completed => "whole",
            AttemptOutcome::Overload => "overload",
            AttemptOutcome::Unreachable => "unreachable",
            AttemptOutcome::Broken => "broken",
            AttemptOutcome::Unmatched => "unmatched",
            AttemptOutcome::TimedOut => "late",
            AttemptOutcome::Neutral => "neutral",
        });
        let mut table = self.table();
        table.end(self.timer.now(), attempt, ended);
        log_part_changes(&mut table);
        drop(table);
        if ended == AttemptOutcome::Broken {
            self.broken_attempts.fetch_add(1, Ordering::AcqRel);
            self.broken.notify_one();
        }
    }

    /// Waits until an attempt breaks off, or returns at once if one did since the last call.
    pub async fn attempt_broken(&self) {
        self.broken.notified().await;
    }

    /// Returns the number of attempts that broke off so far.
    pub fn broken_attempts(&self) -> u64 {
        self.broken_attempts.load(Ordering::Acquire)
    }

    /// Records that the other routers have the crash evidence of the first `broken_attempts`
    /// attempts that broke off.
    pub fn set_shared(&self, broken_attempts: u64) {
        self.shared.send_if_modified(|shared| {
            let later = broken_attempts > *shared;
            *shared = broken_attempts.max(*shared);
            later
        });
    }

    /// Waits until the other routers have the crash evidence that this router has now, or until the
    /// timeout.
    async fn await_shared(&self) {
        let broken_attempts = self.broken_attempts();
        let mut shared = self.shared.subscribe();
        let known = shared.wait_for(|shared| *shared >= broken_attempts);
        // The timeout keeps a router that does not answer from blocking the request.
        let _ = tokio::time::timeout(SHARE_TIMEOUT, known).await;
    }

    /// Returns the metrics that this table counts in.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Asks an upstream for its state. Returns whether it takes requests and is still in the known
    /// incarnation.
    pub async fn send_probe(&self, probe: &Probe) -> bool {
        let announcement = self.fetch_announcement(probe).await;
        let usable = announcement.as_ref().is_some_and(|announcement| {
            announcement.upstream == probe.upstream
                && announcement.incarnation == probe.incarnation
                && announcement.phase == Phase::Ready
        });
        self.metrics.announcements.add(match announcement {
            Some(_) => "asked",
            None => "silent",
        });
        let now = self.timer.now();
        self.table()
            .record_probe(now, &probe.upstream, probe.incarnation, announcement);
        usable
    }

    async fn fetch_announcement(&self, probe: &Probe) -> Option<Announcement> {
        let call = Call {
            address: probe.address,
            method: Method::GET,
            path: "/v1/phase".to_owned(),
            headers: HeaderMap::new(),
            body: Default::default(),
        };
        // Over a kept connection, the answer could be that to an earlier probe.
        let response = self.client.send_once(call, PROBE_TIMEOUT).await.ok()?;
        if response.status() != StatusCode::OK {
            return None;
        }
        let read = read_answer(response, MAX_ANNOUNCEMENT_BYTES, PROBE_TIMEOUT).await;
        let (_, body) = read.ok()?;
        let announcement: Announcement = serde_json::from_slice(&body).ok()?;
        match announcement.check() {
            Ok(()) => Some(announcement),
            Err(error) => {
                log::warn!(upstream:% = probe.upstream, error:% = error; "odd answer to a probe");
                None
            }
        }
    }

    /// Advances the time of the table. Returns the probes that are due.
    pub fn tick(&self) -> Vec<Probe> {
        let now = self.timer.now();
        let mut table = self.table();
        table.tick(now);
        self.metrics
            .crashes
            .add_many("removed", table.take_removed_evidence());
        log_part_changes(&mut table);
        table.due_probes(now)
    }

    /// Applies another router's crash evidence. Returns whether it was new.
    pub fn observe_crash(&self, crash: &Crash) -> bool {
        let now = self.timer.now();
        let mut table = self.table();
        table.observe_crash(now, crash.body, &crash.upstream, crash.incarnation)
    }

    /// Returns the crash evidence that this router has found since the last call.
    pub fn drain_crashes(&self) -> Vec<Crash> {
        let mut out = Vec::new();
        self.table().drain_crashes(&mut out);
        out
    }

    /// Applies another router's evidence. Returns whether it was new.
    pub fn observe_evidence(&self, evidence: &Evidence) -> bool {
        let now = self.timer.now();
        let mut table = self.table();
        let is_new = table.observe_evidence(now, evidence);
        log_part_changes(&mut table);
        is_new
    }

    /// Applies another router's proof that a prompt part is sound. Returns whether it removed
    /// evidence.
    pub fn observe_proof(&self, proof: &Proof) -> bool {
        let now = self.timer.now();
        let mut table = self.table();
        let cleared = table.observe_proof(now, proof);
        log_part_changes(&mut table);
        cleared
    }

    /// See [`Table::known_findings`].
    pub fn known_findings(&self) -> Vec<Finding> {
        let now = self.timer.now();
        self.table().known_findings(now)
    }

    /// Returns the crash evidence that this router has found since the last call, and what it found
    /// out about prompt parts.
    pub fn drain_evidence(&self) -> (Vec<Crash>, Vec<Finding>) {
        let (mut crashes, mut findings) = (Vec::new(), Vec::new());
        let mut table = self.table();
        table.drain_crashes(&mut crashes);
        table.drain_findings(&mut findings);
        (crashes, findings)
    }

    /// Returns how many requests this router may run at once, by pool of upstreams.
    pub fn pools(&self) -> Vec<Pool> {
        self.table().pools(self.timer.now(), self.routers)
    }

    /// See [`Table::headroom`].
    pub fn headroom(&self, kind: &Kind) -> Headroom {
        self.table().headroom(self.timer.now(), kind)
    }

    /// Returns the state of each upstream.
    pub fn statuses(&self) -> Vec<UpstreamStatus> {
        self.table().statuses(self.timer.now()).collect()
    }

    /// See [`Table::resent_announcements`].
    pub fn resent_announcements(&self) -> Vec<Announcement> {
        let now = self.timer.now();
        self.table().resent_announcements(now).cloned().collect()
    }

    /// Returns the newest announcement of each upstream.
    pub fn announcements(&self) -> Vec<Announcement> {
        self.table().announcements().cloned().collect()
    }

    /// Returns the newest announcement of one upstream.
    pub fn announcement(&self, upstream: &Upstream) -> Option<Announcement> {
        let table = self.table();
        let mut all = table.announcements();
        all.find(|announcement| announcement.upstream == *upstream)
            .cloned()
    }

    /// Returns the newest known incarnation of an upstream.
    pub fn incarnation(&self, upstream: &Upstream) -> Option<Incarnation> {
        self.announcement(upstream)
            .map(|announcement| announcement.incarnation)
    }

    fn table(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Logs the prompt parts that were quarantined or released.
fn log_part_changes(table: &mut Table) {
    for change in table.take_part_changes() {
        let action = if change.quarantined {
            "quarantined"
        } else {
            "released"
        };
        let parts = join_parts(&change.parts);
        log::warn!(parts = parts.as_str(); "prompt parts {action}");
    }
}

/// Returns prompt parts as they are logged.
pub fn join_parts(parts: &[PromptPart]) -> String {
    let parts = parts.iter().map(PromptPart::to_string);
    parts.collect::<Vec<_>>().join(",")
}
