//! The HTTP server of a stand-in, and the state that its connections share.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::SystemTime;

use bytes::Bytes;
use chestnutnotch_core::unit::Incarnation;
use chestnutnotch_core::upstream::Announcement;
use chestnutnotch_core::upstream::Load;
use chestnutnotch_core::upstream::Offer;
use chestnutnotch_core::upstream::Phase;
use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::announce;
use crate::earlier::EarlierAnswers;
use crate::earlier::Purpose;
use crate::engine::Engine;
use crate::error::Cut;
use crate::error::StandinError;
use crate::faults::Faults;
use crate::http::Body;
use crate::http::collect;
use crate::http::error;
use crate::http::json;
use crate::http::overloaded;
use crate::service::PlainService;
use crate::settings::Settings;
use crate::stats::Stats;

/// Interval at which a stopping stand-in checks whether its requests have ended. Also the pause
/// after a failed `accept`.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Header with the id of a request.
const REQUEST_ID_HEADER: &str = "x-request-id";

/// How a stand-in ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExitReason {
    /// A planned stop: all requests were answered.
    Stopped,
    /// A fault that simulates a crash.
    Crashed,
}

/// A stand-in that is bound to its address.
#[derive(Debug)]
pub struct Standin {
    listener: TcpListener,
    shared: Arc<Shared>,
}

/// State that the connections of a stand-in and its announcements share.
#[derive(Debug)]
pub(crate) struct Shared {
    /// Settings of the stand-in.
    pub settings: Settings,
    /// Phase to announce: ready, or leaving once a planned stop has begun.
    pub phase: watch::Sender<Phase>,
    /// Whether a router has accepted an announcement.
    pub announced: watch::Sender<bool>,
    /// Faults that are on.
    faults: Arc<Mutex<Faults>>,
    /// The engine or plain service that answers requests.
    role: Role,
    /// Address that it serves on.
    address: SocketAddr,
    /// Distinguishes this start from earlier ones of the same name.
    incarnation: Incarnation,
    /// Sequence number of the latest announcement.
    seq: AtomicU64,
    /// Number of requests that arrived after the planned stop had begun.
    overdue: AtomicU64,
    /// Ends [`Standin::run`] with a simulated crash.
    crash_notify: Notify,
    /// Whether it has crashed, so that no request is answered any more.
    crashed: AtomicBool,
}

/// What a stand-in stands in for.
#[derive(Debug)]
enum Role {
    /// A model engine.
    Engine(Engine),
    /// A plain service.
    PlainService(PlainService),
}

impl Standin {
    /// Binds the address in the settings. Connections are accepted once [`Standin::run`] is called.
    ///
    /// # Errors
    ///
    /// See [`StandinError`].
    pub async fn bind(settings: Settings) -> Result<Self, StandinError> {
        let role = match (&settings.service, settings.models.is_empty()) {
            (None, false) => Role::Engine(Engine::new(&settings)),
            (Some(name), true) => Role::PlainService(PlainService::new(name.clone(), &settings)),
            _ => return Err(StandinError::InvalidRole(settings.name)),
        };
        let address = settings.listen;
        let listen = |source| StandinError::Listen { address, source };
        let listener = TcpListener::bind(address).await.map_err(listen)?;
        let address = listener.local_addr().map_err(listen)?;
        let shared = Arc::new(Shared {
            incarnation: Incarnation(settings.incarnation.unwrap_or_else(unix_millis)),
            faults: Arc::new(Mutex::new(settings.faults.clone())),
            phase: watch::Sender::new(Phase::Ready),
            announced: watch::Sender::new(false),
            seq: AtomicU64::new(0),
            overdue: AtomicU64::new(0),
            crash_notify: Notify::new(),
            crashed: AtomicBool::new(false),
            role,
            address,
            settings,
        });
        Ok(Self { listener, shared })
    }

    /// Returns the address that it serves on.
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// Returns a receiver whose value becomes `true` once a router has accepted an announcement.
    pub fn announced(&self) -> watch::Receiver<bool> {
        self.shared.announced.subscribe()
    }

    /// Serves until `stop` completes, then announces that it is leaving, goes on serving for the
    /// linger time and until its requests have ended, and returns. A simulated crash returns at
    /// once.
    pub async fn run(self, stop: impl Future<Output = ()> + Send) -> ExitReason {
        let mut tasks = JoinSet::new();
        tasks.spawn(announce::run(self.shared.clone()));
        let graceful = GracefulShutdown::new();
        let serve = async {
            loop {
                let Ok((stream, _)) = self.listener.accept().await else {
                    tokio::time::sleep(POLL_INTERVAL).await;
                    continue;
                };
                tasks.spawn(connection(stream, self.shared.clone(), graceful.watcher()));
                while tasks.try_join_next().is_some() {}
            }
        };
        let finish = async {
            stop.await;
            self.shared.phase.send_replace(Phase::Leaving);
            tokio::time::sleep(Duration::from_millis(self.shared.settings.linger)).await;
            while !self.shared.is_idle() {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        tokio::select! {
            () = serve => return ExitReason::Stopped,
            () = finish => {}
            () = self.shared.crash_notify.notified() => return ExitReason::Crashed,
        }
        drop(self.listener);
        graceful.shutdown().await;
        ExitReason::Stopped
    }
}

/// Serves one connection until it is closed.
async fn connection(
    stream: TcpStream,
    shared: Arc<Shared>,
    watcher: hyper_util::server::graceful::Watcher,
) {
    // A failure only adds latency.
    let _ = stream.set_nodelay(true);
    let earlier = Arc::new(EarlierAnswers::default());
    let service = service_fn(move |request| handle(shared.clone(), earlier.clone(), request));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), service);
    // The client notices a broken connection itself.
    let _ = watcher.watch(connection).await;
}

/// Answers one request. Never returns once the stand-in has crashed.
async fn handle(
    shared: Arc<Shared>,
    earlier: Arc<EarlierAnswers>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Cut> {
    if shared.crashed.load(Ordering::Relaxed) {
        std::future::pending::<()>().await;
    }
    let (head, body) = request.into_parts();
    let Some(body) = collect(body).await else {
        return Ok(error(StatusCode::PAYLOAD_TOO_LARGE, "too_large"));
    };
    match (&head.method, head.uri.path()) {
        (&Method::GET, "/stats") => Ok(json(StatusCode::OK, &shared.stats())),
        (&Method::GET, "/healthz") => Ok(json(StatusCode::OK, &"ok")),
        (&Method::GET, "/v1/phase") => Ok(json(StatusCode::OK, &shared.announcement())),
        (&Method::POST, "/faults") => Ok(shared.set_faults(&body)),
        (method, path) => match &shared.role {
            Role::Engine(engine) => {
                let from_start = earlier.restarts_stream(&shared.faults());
                let target = (method, path, from_start);
                let answer = handle_engine(&shared, engine, target, &head.headers, &body).await;
                let answer = repeat_id(answer, &head.headers, &shared.faults());
                let purpose = engine_purpose(path);
                earlier.write(purpose, answer, &shared.faults()).await
            }
            Role::PlainService(service) => {
                let target = (method, path);
                let answer = handle_service(&shared, service, target, &head.headers, &body).await?;
                earlier.write(Purpose::Work, answer, &shared.faults()).await
            }
        },
    }
}

/// Returns what a request to an engine asks for.
fn engine_purpose(path: &str) -> Purpose {
    match path {
        "/v1/chat/completions" => Purpose::Work,
        "/v1/resume" => Purpose::Resume,
        "/v1/cancel" => Purpose::Cancel,
        _ => Purpose::Other,
    }
}

/// Repeats the id of a request in the headers of its answer.
fn repeat_id(
    mut answer: Response<Body>,
    headers: &HeaderMap<HeaderValue>,
    faults: &Faults,
) -> Response<Body> {
    if let Some(id) = headers.get(REQUEST_ID_HEADER)
        && !faults.unnamed
    {
        answer.headers_mut().insert(REQUEST_ID_HEADER, id.clone());
    }
    answer
}

/// Answers a request to an engine. The target is method, path, and whether a resume begins at the
/// first token.
async fn handle_engine(
    shared: &Shared,
    engine: &Engine,
    (method, path, from_start): (&Method, &str, bool),
    headers: &HeaderMap,
    body: &Bytes,
) -> Response<Body> {
    match (method, path) {
        (&Method::POST, "/v1/chat/completions") => {
            shared.check_request(body).await;
            let id = header(headers, REQUEST_ID_HEADER).map(Arc::from);
            engine.chat(id, body, &shared.faults).await
        }
        (&Method::POST, "/v1/resume") => engine.resume(body, from_start),
        (&Method::POST, "/v1/cancel") => engine.cancel(body),
        (&Method::POST, "/v1/order") => engine.order(body, shared.faults().unfenced),
        (&Method::GET, "/v1/loaded") => engine.loaded(),
        _ => error(StatusCode::NOT_FOUND, "unknown_path"),
    }
}

/// Answers a request to a plain service.
async fn handle_service(
    shared: &Shared,
    service: &PlainService,
    target: (&Method, &str),
    headers: &HeaderMap,
    body: &Bytes,
) -> Result<Response<Body>, Cut> {
    if target == (&Method::GET, "/stock") {
        return Ok(service.stock());
    }
    shared.check_request(body).await;
    let faults = shared.faults();
    if faults.refuse {
        return Ok(overloaded(&faults));
    }
    tokio::time::sleep(Duration::from_millis(faults.slow)).await;
    let key = header(headers, "idempotency-key");
    let answer = match target {
        (&Method::POST, "/reserve" | "/confirm") => service.reserve(key, body),
        (&Method::POST, "/release") => service.release(key, body),
        (&Method::POST, "/lookup") => service.lookup(key, body),
        _ => error(StatusCode::NOT_FOUND, "unknown_path"),
    };
    if faults.die {
        shared.simulate_crash().await;
    }
    if faults.cut.is_some() {
        return Err(Cut);
    }
    tokio::time::sleep(Duration::from_millis(faults.late)).await;
    Ok(answer)
}

impl Shared {
    /// Returns the faults that are on.
    pub fn faults(&self) -> Faults {
        self.faults
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Returns an announcement of the current state, with the next sequence number.
    pub fn announcement(&self) -> Announcement {
        let (offer, load) = match &self.role {
            Role::Engine(engine) => (Offer::Models(engine.models()), engine.load()),
            Role::PlainService(service) => (Offer::Service(service.name.clone()), Load::default()),
        };
        Announcement {
            upstream: self.settings.name.clone(),
            incarnation: self.incarnation,
            seq: self.seq.fetch_add(1, Ordering::Relaxed) + 1,
            address: self.address,
            centre: self.settings.centre.clone(),
            phase: *self.phase.borrow(),
            offer,
            slots: self.settings.slots,
            load,
            fences: !self.faults().unfenced,
            cached: Vec::new(),
            evicted: Vec::new(),
        }
    }

    /// Counts a request that arrives after the planned stop has begun, and crashes if the request
    /// contains the word of the crash fault.
    async fn check_request(&self, body: &[u8]) {
        if *self.phase.borrow() == Phase::Leaving {
            self.overdue.fetch_add(1, Ordering::Relaxed);
        }
        if let Some(word) = self.faults().crash
            && contains_word(body, word.as_bytes())
        {
            self.simulate_crash().await;
        }
    }

    /// Simulates a crash and never returns. No request is answered any more; the connections are
    /// closed when [`Standin::run`] has returned.
    async fn simulate_crash(&self) {
        self.crashed.store(true, Ordering::Relaxed);
        self.crash_notify.notify_one();
        std::future::pending::<()>().await;
    }

    /// `POST /faults`: replaces the faults that are on.
    fn set_faults(&self, body: &[u8]) -> Response<Body> {
        let Ok(faults) = serde_json::from_slice::<Faults>(body) else {
            return error(StatusCode::BAD_REQUEST, "malformed");
        };
        *self.faults.lock().unwrap_or_else(PoisonError::into_inner) = faults.clone();
        json(StatusCode::OK, &faults)
    }

    /// `GET /stats`.
    fn stats(&self) -> Stats {
        let mut stats = Stats {
            overdue: self.overdue.load(Ordering::Relaxed),
            ..Stats::default()
        };
        match &self.role {
            Role::Engine(engine) => engine.count(&mut stats),
            Role::PlainService(service) => service.count(&mut stats),
        }
        stats
    }

    /// Whether an engine has no requests. The connections of a plain service are finished by the
    /// graceful shutdown.
    fn is_idle(&self) -> bool {
        match &self.role {
            Role::Engine(engine) => engine.load() == Load::default(),
            Role::PlainService(_) => true,
        }
    }
}

/// Returns the value of a header, or `None` if it is missing or not visible ASCII.
fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Whether a body contains a word; never if the word is empty.
fn contains_word(body: &[u8], word: &[u8]) -> bool {
    !word.is_empty() && body.windows(word.len()).any(|part| part == word)
}

/// Returns the Unix time in milliseconds.
fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.unwrap_or_default().as_millis() as u64
}
