//! The parts of the embedded fleet: one control replica, one router, two stand-ins.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use chestnutnotch::control;
use chestnutnotch::edges::rpc::ControlClient;
use chestnutnotch::publish::Collected;
use chestnutnotch::router::Router;
use chestnutnotch::settings::HostSettings;
use chestnutnotch::settings::ReplicaSettings;
use chestnutnotch::settings::RouterSettings;
use chestnutnotch::settings::Settings;
use chestnutnotch::timer::Timer;
use chestnutnotch_core::command::Command;
use chestnutnotch_core::command::Publish;
use chestnutnotch_core::command::Refusal;
use chestnutnotch_core::command::Reply;
use chestnutnotch_core::id::Operator;
use chestnutnotch_core::id::SubmissionId;
use chestnutnotch_core::unit::Revision;
use chestnutnotch_standin::Settings as StandinSettings;
use chestnutnotch_standin::Standin;
use tempfile::TempDir;
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::CliError;
use crate::daemon::ServeError;

const DOCUMENT: &str = include_str!("../dev.toml");
const KEY: &str = "cn_dev";
const CENTRE: &str = "local";
const READY_TIME: Duration = Duration::from_secs(30);
const TOKEN_MILLIS: u64 = 10;

/// The embedded fleet.
#[derive(Debug)]
pub struct Fleet {
    router: Router,
    standins: Vec<Part>,
    control: Part,
    // Removed when dropped, if it is a temporary one.
    _folder: Option<TempDir>,
}

/// A part that runs until it is told to stop.
#[derive(Debug)]
struct Part {
    stop: Option<oneshot::Sender<()>>,
    task: JoinHandle<Result<(), CliError>>,
}

impl Fleet {
    /// Starts all parts and waits until they serve.
    ///
    /// # Errors
    ///
    /// What failed to start.
    pub async fn start(port: u16, data: Option<PathBuf>) -> Result<Self, CliError> {
        let (folder, data) = folder(data)?;
        let timer = Timer::new();
        let (address, mut control) = start_control(data, &timer).await?;
        let router = Router::start(router_settings(address, port), timer).await?;
        let mut standins = Vec::new();
        let mut heard = Vec::new();
        for settings in standins_of(router.http()) {
            let standin = Standin::bind(settings).await?;
            heard.push(standin.announced());
            standins.push(Part::spawn(async move |stop| {
                standin.run(ended(stop)).await;
                Ok(())
            }));
        }
        let ready = async {
            publish(address).await?;
            serving(&router, heard).await;
            Ok(())
        };
        tokio::select! {
            ready = within(ready) => ready?,
            error = control.failed() => return Err(error),
        }
        announce(router.http(), address);
        Ok(Self {
            router,
            standins,
            control,
            _folder: folder,
        })
    }

    /// Waits until a part can serve no more.
    pub async fn failed(&mut self) -> CliError {
        tokio::select! {
            error = self.router.failed() => error.into(),
            error = self.control.failed() => error,
        }
    }

    /// Stops the router first, so that requests in flight are finished and billed.
    pub async fn stop(self) {
        self.router.stop().await;
        for standin in self.standins {
            standin.stop().await;
        }
        self.control.stop().await;
    }
}

impl Part {
    fn spawn<F>(run: impl FnOnce(Stopped) -> F) -> Self
    where
        F: Future<Output = Result<(), CliError>> + Send + 'static,
    {
        let (stop, stopped) = oneshot::channel();
        Self {
            stop: Some(stop),
            task: tokio::spawn(run(stopped)),
        }
    }

    async fn failed(&mut self) -> CliError {
        match (&mut self.task).await {
            Ok(Err(error)) => error,
            _ => CliError::Ended,
        }
    }

    async fn stop(mut self) {
        if let Some(stop) = self.stop.take() {
            // A part that has ended needs no word.
            let _ = stop.send(());
        }
        if !self.task.is_finished() {
            let _ = self.task.await;
        }
    }
}

type Stopped = oneshot::Receiver<()>;

async fn ended(stopped: Stopped) {
    // A dropped sender means the same.
    let _ = stopped.await;
}

fn folder(data: Option<PathBuf>) -> Result<(Option<TempDir>, PathBuf), CliError> {
    if let Some(data) = data {
        return Ok((None, data));
    }
    let system = |source| CliError::System {
        what: "a temporary folder",
        source,
    };
    let folder = tempfile::tempdir().map_err(system)?;
    let path = folder.path().to_owned();
    Ok((Some(folder), path))
}

async fn start_control(data: PathBuf, timer: &Timer) -> Result<(SocketAddr, Part), CliError> {
    let listener = TcpListener::bind(loopback(0)).await;
    let listener = listener.map_err(ServeError::Start)?;
    let address = listener.local_addr().map_err(ServeError::Start)?;
    let settings = Settings {
        host: host(),
        control: vec![address],
        replica: Some(ReplicaSettings::new(address, data)),
        router: None,
    };
    let timer = timer.clone();
    let part = Part::spawn(async move |stopped| {
        control::serve(settings, listener, timer, ended(stopped)).await?;
        Ok(())
    });
    Ok((address, part))
}

fn router_settings(control: SocketAddr, port: u16) -> Settings {
    Settings {
        host: host(),
        control: vec![control],
        replica: None,
        router: Some(RouterSettings::new(loopback(port), loopback(0))),
    }
}

fn standins_of(router: SocketAddr) -> [StandinSettings; 2] {
    let base = StandinSettings {
        routers: vec![router],
        linger: 0,
        ..StandinSettings::new("engine-1", loopback(0), CENTRE)
    };
    let engine = StandinSettings {
        models: vec!["renter-chat".into()],
        delay: TOKEN_MILLIS,
        ..base.clone()
    };
    let desk = StandinSettings {
        name: "desk-1".into(),
        service: Some("rental-desk".into()),
        ..base
    };
    [engine, desk]
}

/// Publishes the embedded configuration, unless the data folder holds one already.
async fn publish(control: SocketAddr) -> Result<(), CliError> {
    let mut collected = Collected::default();
    collected.add(&Arc::from(Path::new("dev.toml")), DOCUMENT)?;
    let client = ControlClient::new([control], Operator::new("dev"));
    let command = Command::Publish(Publish {
        id: SubmissionId::new("dev"),
        base: Revision::ZERO,
        document: Arc::new(collected.document),
    });
    match client.submit(command, READY_TIME).await? {
        Reply::Refused(Refusal::Conflict { .. } | Refusal::Reused(_)) => Ok(()),
        Reply::Refused(refusal) => Err(CliError::Refused(refusal)),
        _ => Ok(()),
    }
}

async fn within(ready: impl Future<Output = Result<(), CliError>>) -> Result<(), CliError> {
    let ready = tokio::time::timeout(READY_TIME, ready).await;
    ready.unwrap_or(Err(CliError::NotReady))
}

async fn serving(router: &Router, heard: Vec<watch::Receiver<bool>>) {
    router.ready().await;
    for mut one in heard {
        // A stand-in that ended is met by the first request.
        let _ = one.wait_for(|heard| *heard).await;
    }
}

fn announce(http: SocketAddr, control: SocketAddr) {
    println!("ready http://{http} (control {control})");
    println!(
        "curl -sS http://{http}/v1/chat/completions -H 'Authorization: Bearer {KEY}' \
         -H 'Content-Type: application/json' -d '{{\"model\": \"renter-chat\", \"messages\": \
         [{{\"role\": \"user\", \"content\": \"Which size fits a child of 122 cm?\"}}]}}'"
    );
}

fn host() -> HostSettings {
    HostSettings {
        name: "dev".into(),
        centre: CENTRE.into(),
    }
}

fn loopback(port: u16) -> SocketAddr {
    (Ipv4Addr::LOCALHOST, port).into()
}
