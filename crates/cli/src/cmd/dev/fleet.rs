//! The embedded fleet: one control replica, one router and two stand-in upstreams.

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

/// Configuration that is published at the first start.
const CONFIG_TOML: &str = include_str!("../dev.toml");
/// Bearer key of the workspace `dev`; [`CONFIG_TOML`] holds its hash.
const BEARER_KEY: &str = "cn_dev";
const DATA_CENTRE: &str = "local";
/// Maximum time for a start, and for the submission of the configuration.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Time that the engine takes for each token; it makes streaming visible.
const TOKEN_DELAY_MILLIS: u64 = 10;

/// A running embedded fleet.
#[derive(Debug)]
pub struct Fleet {
    router: Router,
    standins: Vec<Component>,
    control: Component,
    // Temporary data folder, which is removed on drop.
    _folder: Option<TempDir>,
}

/// Task of a control replica or a stand-in, which runs until it is told to stop.
#[derive(Debug)]
struct Component {
    stop: Option<oneshot::Sender<()>>,
    task: JoinHandle<Result<(), CliError>>,
}

impl Fleet {
    /// Starts all components and waits until they serve requests. Without a data folder, the state
    /// of the control replica is lost at the end.
    ///
    /// # Errors
    ///
    /// The error of the component that failed to start, or [`CliError::NotReady`].
    pub async fn start(port: u16, data: Option<PathBuf>) -> Result<Self, CliError> {
        let (folder, data) = data_folder(data)?;
        let timer = Timer::new();
        let (address, mut control) = start_control(data, &timer).await?;
        let router = Router::start(router_settings(address, port), timer).await?;
        let mut standins = Vec::new();
        let mut announcements = Vec::new();
        for settings in standin_settings(router.http()) {
            let standin = Standin::bind(settings).await?;
            announcements.push(standin.announced());
            standins.push(Component::spawn(async move |stop| {
                standin.run(stop_requested(stop)).await;
                Ok(())
            }));
        }
        let ready = async {
            publish(address).await?;
            wait_until_serving(&router, announcements).await;
            Ok(())
        };
        tokio::select! {
            ready = with_timeout(ready) => ready?,
            error = control.failed() => return Err(error),
        }
        print_ready(router.http(), address);
        Ok(Self {
            router,
            standins,
            control,
            _folder: folder,
        })
    }

    /// Waits until a component fails, and returns its error.
    pub async fn failed(&mut self) -> CliError {
        tokio::select! {
            error = self.router.failed() => error.into(),
            error = self.control.failed() => error,
        }
    }

    /// Stops all components. The router stops first, so that requests in flight are finished and
    /// billed.
    pub async fn stop(self) {
        self.router.stop().await;
        for standin in self.standins {
            standin.stop().await;
        }
        self.control.stop().await;
    }
}

impl Component {
    fn spawn<F>(run: impl FnOnce(StopReceiver) -> F) -> Self
    where
        F: Future<Output = Result<(), CliError>> + Send + 'static,
    {
        let (stop, receiver) = oneshot::channel();
        Self {
            stop: Some(stop),
            task: tokio::spawn(run(receiver)),
        }
    }

    async fn failed(&mut self) -> CliError {
        match (&mut self.task).await {
            Ok(Err(error)) => error,
            _ => CliError::ComponentEnded,
        }
    }

    async fn stop(mut self) {
        if let Some(stop) = self.stop.take() {
            // Fails only if the task has already ended.
            let _ = stop.send(());
        }
        if !self.task.is_finished() {
            let _ = self.task.await;
        }
    }
}

/// Resolves when a component has to stop.
type StopReceiver = oneshot::Receiver<()>;

async fn stop_requested(stop: StopReceiver) {
    // An error means that the sender was dropped, which is also a request to stop.
    let _ = stop.await;
}

/// Returns the data folder, and the guard of a temporary one that is created if none is given.
fn data_folder(data: Option<PathBuf>) -> Result<(Option<TempDir>, PathBuf), CliError> {
    if let Some(data) = data {
        return Ok((None, data));
    }
    let io_error = |source| CliError::Io {
        what: "a temporary folder",
        source,
    };
    let folder = tempfile::tempdir().map_err(io_error)?;
    let path = folder.path().to_owned();
    Ok((Some(folder), path))
}

/// Starts the control replica and returns its address.
async fn start_control(data: PathBuf, timer: &Timer) -> Result<(SocketAddr, Component), CliError> {
    let listener = TcpListener::bind(loopback(0)).await;
    let listener = listener.map_err(ServeError::Start)?;
    let address = listener.local_addr().map_err(ServeError::Start)?;
    let settings = Settings {
        host: host_settings(),
        control: vec![address],
        replica: Some(ReplicaSettings::new(address, data)),
        router: None,
    };
    let timer = timer.clone();
    let component = Component::spawn(async move |stop| {
        control::serve(settings, listener, timer, stop_requested(stop)).await?;
        Ok(())
    });
    Ok((address, component))
}

fn router_settings(control: SocketAddr, port: u16) -> Settings {
    Settings {
        host: host_settings(),
        control: vec![control],
        replica: None,
        router: Some(RouterSettings::new(loopback(port), loopback(0))),
    }
}

/// Returns the settings of the engine and of the plain service.
fn standin_settings(router: SocketAddr) -> [StandinSettings; 2] {
    let base = StandinSettings {
        routers: vec![router],
        linger: 0,
        ..StandinSettings::new("engine-1", loopback(0), DATA_CENTRE)
    };
    let engine = StandinSettings {
        models: vec!["renter-chat".into()],
        delay: TOKEN_DELAY_MILLIS,
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
    collected.add(&Arc::from(Path::new("dev.toml")), CONFIG_TOML)?;
    let client = ControlClient::new([control], Operator::new("dev"));
    let command = Command::Publish(Publish {
        id: SubmissionId::new("dev"),
        base: Revision::ZERO,
        document: Arc::new(collected.document),
    });
    match client.submit(command, READY_TIMEOUT).await? {
        Reply::Refused(Refusal::Conflict { .. } | Refusal::Reused(_)) => Ok(()),
        Reply::Refused(refusal) => Err(CliError::Refused(refusal)),
        _ => Ok(()),
    }
}

/// Bounds the time until the fleet is ready.
async fn with_timeout(ready: impl Future<Output = Result<(), CliError>>) -> Result<(), CliError> {
    let ready = tokio::time::timeout(READY_TIMEOUT, ready).await;
    ready.unwrap_or(Err(CliError::NotReady))
}

/// Waits until the router is ready and each stand-in has announced itself to it.
async fn wait_until_serving(router: &Router, announcements: Vec<watch::Receiver<bool>>) {
    router.ready().await;
    for mut announced in announcements {
        // A stand-in that has ended is found by the first request that needs it.
        let _ = announced.wait_for(|announced| *announced).await;
    }
}

/// Prints the line that starts with `ready`, and a `curl` command for a chat request.
fn print_ready(http: SocketAddr, control: SocketAddr) {
    println!("ready http://{http} (control {control})");
    println!(
        "curl -sS http://{http}/v1/chat/completions -H 'Authorization: Bearer {BEARER_KEY}' \
         -H 'Content-Type: application/json' -d '{{\"model\": \"renter-chat\", \"messages\": \
         [{{\"role\": \"user\", \"content\": \"Which size fits a child of 122 cm?\"}}]}}'"
    );
}

fn host_settings() -> HostSettings {
    HostSettings {
        name: "dev".into(),
        centre: DATA_CENTRE.into(),
    }
}

fn loopback(port: u16) -> SocketAddr {
    (Ipv4Addr::LOCALHOST, port).into()
}
