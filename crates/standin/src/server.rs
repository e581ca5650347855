//! The HTTP server of a stand-in.

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
use crate::engine::Engine;
use crate::error::Cut;
use crate::error::StandinError;
use crate::faults::Faults;
use crate::http::Body;
use crate::http::collect;
use crate::http::error;
use crate::http::json;
use crate::service::Desk;
use crate::settings::Settings;
use crate::stats::Stats;

const IDLE_POLL: Duration = Duration::from_millis(20);

/// How a stand-in ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// By a planned stop: nothing was cut off.
    Stopped,
    /// By a fault that ends the process.
    Crashed,
}

/// A stand-in that listens.
#[derive(Debug)]
pub struct Standin {
    listener: TcpListener,
    shared: Arc<Shared>,
}

/// What the connections of a stand-in share.
#[derive(Debug)]
pub(crate) struct Shared {
    /// Its settings.
    pub settings: Settings,
    /// Whether it takes new work.
    pub phase: watch::Sender<Phase>,
    /// Whether a router has taken an announcement.
    pub heard: watch::Sender<bool>,
    faults: Arc<Mutex<Faults>>,
    role: Role,
    address: SocketAddr,
    incarnation: Incarnation,
    seq: AtomicU64,
    overdue: AtomicU64,
    crash: Notify,
    dead: AtomicBool,
}

#[derive(Debug)]
enum Role {
    Engine(Engine),
    Desk(Desk),
}

impl Standin {
    /// Listens; serves once it runs.
    ///
    /// # Errors
    ///
    /// See [`StandinError`].
    pub async fn bind(settings: Settings) -> Result<Self, StandinError> {
        let role = match (&settings.service, settings.models.is_empty()) {
            (None, false) => Role::Engine(Engine::new(&settings)),
            (Some(name), true) => Role::Desk(Desk::new(name.clone(), &settings)),
            _ => return Err(StandinError::Offer(settings.name)),
        };
        let address = settings.listen;
        let listen = |source| StandinError::Listen { address, source };
        let listener = TcpListener::bind(address).await.map_err(listen)?;
        let address = listener.local_addr().map_err(listen)?;
        let shared = Arc::new(Shared {
            incarnation: Incarnation(settings.incarnation.unwrap_or_else(unix)),
            faults: Arc::new(Mutex::new(settings.faults.clone())),
            phase: watch::Sender::new(Phase::Ready),
            heard: watch::Sender::new(false),
            seq: AtomicU64::new(0),
            overdue: AtomicU64::new(0),
            crash: Notify::new(),
            dead: AtomicBool::new(false),
            role,
            address,
            settings,
        });
        Ok(Self { listener, shared })
    }

    /// Address that it serves on.
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// Turns true once a router has taken an announcement.
    pub fn heard(&self) -> watch::Receiver<bool> {
        self.shared.heard.subscribe()
    }

    /// Serves until `stop`; then announces that it leaves, finishes what it has, and ends.
    pub async fn run(self, stop: impl Future<Output = ()> + Send) -> End {
        let mut tasks = JoinSet::new();
        tasks.spawn(announce::run(self.shared.clone()));
        let graceful = GracefulShutdown::new();
        let serve = async {
            loop {
                let Ok((stream, _)) = self.listener.accept().await else {
                    tokio::time::sleep(IDLE_POLL).await;
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
                tokio::time::sleep(IDLE_POLL).await;
            }
        };
        tokio::select! {
            () = serve => return End::Stopped,
            () = finish => {}
            () = self.shared.crash.notified() => return End::Crashed,
        }
        drop(self.listener);
        graceful.shutdown().await;
        End::Stopped
    }
}

async fn connection(
    stream: TcpStream,
    shared: Arc<Shared>,
    watcher: hyper_util::server::graceful::Watcher,
) {
    // Only a loss of latency, where it fails.
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| handle(shared.clone(), request));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), service);
    // A broken connection is the other side's business.
    let _ = watcher.watch(connection).await;
}

async fn handle(shared: Arc<Shared>, request: Request<Incoming>) -> Result<Response<Body>, Cut> {
    if shared.dead.load(Ordering::Relaxed) {
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
        (&Method::POST, "/faults") => Ok(shared.switch(&body)),
        (method, path) => match &shared.role {
            Role::Engine(engine) => {
                at_engine(&shared, engine, (method, path), &head.headers, &body).await
            }
            Role::Desk(desk) => at_desk(&shared, desk, (method, path), &head.headers, &body).await,
        },
    }
}

async fn at_engine(
    shared: &Shared,
    engine: &Engine,
    target: (&Method, &str),
    headers: &HeaderMap,
    body: &Bytes,
) -> Result<Response<Body>, Cut> {
    match target {
        (&Method::POST, "/v1/chat/completions") => {
            shared.admit(body).await;
            let id = header(headers, "x-request-id").map(Arc::from);
            Ok(engine.chat(id, body, &shared.faults).await)
        }
        (&Method::POST, "/v1/resume") => Ok(engine.resume(body)),
        (&Method::POST, "/v1/cancel") => Ok(engine.cancel(body)),
        (&Method::POST, "/v1/order") => Ok(engine.order(body, shared.faults().unfenced)),
        (&Method::GET, "/v1/loaded") => Ok(engine.loaded()),
        _ => Ok(error(StatusCode::NOT_FOUND, "unknown_path")),
    }
}

async fn at_desk(
    shared: &Shared,
    desk: &Desk,
    target: (&Method, &str),
    headers: &HeaderMap,
    body: &Bytes,
) -> Result<Response<Body>, Cut> {
    if target == (&Method::GET, "/stock") {
        return Ok(desk.stock());
    }
    shared.admit(body).await;
    let faults = shared.faults();
    if faults.refuse {
        return Ok(error(StatusCode::SERVICE_UNAVAILABLE, "overloaded"));
    }
    tokio::time::sleep(Duration::from_millis(faults.slow)).await;
    let key = header(headers, "idempotency-key");
    let answer = match target {
        (&Method::POST, "/reserve" | "/confirm") => desk.reserve(key, body),
        (&Method::POST, "/release") => desk.release(key, body),
        _ => error(StatusCode::NOT_FOUND, "unknown_path"),
    };
    if faults.die {
        shared.die().await;
    }
    if faults.cut.is_some() {
        return Err(Cut);
    }
    tokio::time::sleep(Duration::from_millis(faults.late)).await;
    Ok(answer)
}

impl Shared {
    /// The faults in force.
    pub fn faults(&self) -> Faults {
        self.faults
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Its account of itself now.
    pub fn announcement(&self) -> Announcement {
        let (offer, load) = match &self.role {
            Role::Engine(engine) => (Offer::Models(engine.models()), engine.load()),
            Role::Desk(desk) => (Offer::Service(desk.name.clone()), Load::default()),
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

    /// Counts work that comes after the leaving notice, and crashes on the marked word.
    async fn admit(&self, body: &[u8]) {
        if *self.phase.borrow() == Phase::Leaving {
            self.overdue.fetch_add(1, Ordering::Relaxed);
        }
        if let Some(word) = self.faults().crash
            && holds(body, word.as_bytes())
        {
            self.die().await;
        }
    }

    /// Ends the stand-in. Nothing is answered any more: the connections go when the process does.
    async fn die(&self) {
        self.dead.store(true, Ordering::Relaxed);
        self.crash.notify_one();
        std::future::pending::<()>().await;
    }

    fn switch(&self, body: &[u8]) -> Response<Body> {
        let Ok(faults) = serde_json::from_slice::<Faults>(body) else {
            return error(StatusCode::BAD_REQUEST, "malformed");
        };
        *self.faults.lock().unwrap_or_else(PoisonError::into_inner) = faults.clone();
        json(StatusCode::OK, &faults)
    }

    fn stats(&self) -> Stats {
        let mut stats = Stats {
            overdue: self.overdue.load(Ordering::Relaxed),
            ..Stats::default()
        };
        match &self.role {
            Role::Engine(engine) => engine.count(&mut stats),
            Role::Desk(desk) => desk.count(&mut stats),
        }
        stats
    }

    fn is_idle(&self) -> bool {
        match &self.role {
            Role::Engine(engine) => engine.load() == Load::default(),
            Role::Desk(_) => true,
        }
    }
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

fn holds(body: &[u8], word: &[u8]) -> bool {
    !word.is_empty() && body.windows(word.len()).any(|part| part == word)
}

fn unix() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.unwrap_or_default().as_millis() as u64
}
