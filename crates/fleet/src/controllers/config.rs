//! The active configuration of this router: the highest revision received, indexed for lookups.

use std::sync::Arc;
use std::time::Duration;

use chestnutnotch_core::config::Accepted;
use chestnutnotch_core::config::ModelSpec;
use chestnutnotch_core::config::ServiceSpec;
use chestnutnotch_core::config::WorkspaceSpec;
use chestnutnotch_core::id::Model;
use chestnutnotch_core::id::Service;
use chestnutnotch_core::id::Workspace;
use chestnutnotch_core::map::Map;
use chestnutnotch_core::unit::Incarnation;
use chestnutnotch_core::unit::Revision;
use chestnutnotch_wire::proto;
use ractor::Actor;
use ractor::ActorProcessingErr;
use ractor::ActorRef;
use ractor::SpawnErr;
use tokio::sync::watch;

use crate::controllers::ticks;
use crate::edges::rpc::ControlClient;
use crate::keys;
use crate::keys::KeyIndex;
use crate::metrics::Metrics;
use crate::settings::HostSettings;
use crate::timer::Timer;

/// Time between two reports to the control replicas.
const REPORT_PERIOD: Duration = Duration::from_secs(1);
/// Timeout of one report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(800);

/// A configuration with indexes by key and by name.
#[derive(Debug)]
pub struct ActiveConfig {
    accepted: Arc<Accepted>,
    keys: KeyIndex,
    // Positions in the lists of the document.
    workspaces: Map<Workspace, usize>,
    models: Map<Model, usize>,
    services: Map<Service, usize>,
}

impl ActiveConfig {
    /// Indexes a configuration. Key hashes that are not 64 hexadecimal digits are ignored: no key
    /// matches them.
    pub fn new(accepted: Arc<Accepted>) -> Self {
        let document = &accepted.document;
        let mut index = KeyIndex::default();
        for (workspace, spec) in document.workspaces.iter().enumerate() {
            for hash in spec.keys.iter().filter_map(|key| keys::decode(key)) {
                index.insert(hash, workspace);
            }
        }
        let workspaces = document.workspaces.iter().enumerate();
        let workspaces = workspaces.map(|(i, spec)| (spec.name.clone(), i)).collect();
        let models = document.models.iter().enumerate();
        let models = models.map(|(i, spec)| (spec.name.clone(), i)).collect();
        let services = document.services.iter().enumerate();
        let services = services.map(|(i, spec)| (spec.name.clone(), i)).collect();
        Self {
            accepted,
            keys: index,
            workspaces,
            models,
            services,
        }
    }

    /// Returns the revision of the configuration.
    pub fn revision(&self) -> Revision {
        self.accepted.revision
    }

    /// Returns the workspace that a bearer key belongs to.
    pub fn workspace(&self, key: &str) -> Option<&WorkspaceSpec> {
        let workspace = self.keys.find(key)?;
        self.accepted.document.workspaces.get(workspace)
    }

    /// Returns a model, if the workspace may use it.
    pub fn model(&self, workspace: &Workspace, model: &Model) -> Option<&ModelSpec> {
        let allowed = &self.workspace_spec(workspace)?.models;
        if !allowed.is_empty() && !allowed.contains(model) {
            return None;
        }
        let index = *self.models.get(model)?;
        self.accepted.document.models.get(index)
    }

    /// Returns a plain service, if the workspace may call it.
    pub fn service(&self, workspace: &Workspace, service: &str) -> Option<&ServiceSpec> {
        let allowed = &self.workspace_spec(workspace)?.services;
        if !allowed.is_empty() && !allowed.iter().any(|name| name.as_str() == service) {
            return None;
        }
        let index = *self.services.get(service)?;
        self.accepted.document.services.get(index)
    }

    fn workspace_spec(&self, workspace: &Workspace) -> Option<&WorkspaceSpec> {
        let index = *self.workspaces.get(workspace)?;
        self.accepted.document.workspaces.get(index)
    }
}

/// A handle on the active configuration. Cheap to clone.
#[derive(Clone, Debug)]
pub struct Config {
    current: watch::Receiver<Option<Arc<ActiveConfig>>>,
    actor: ActorRef<Message>,
}

impl Config {
    /// Starts the actor, which watches the configuration of the control replicas.
    ///
    /// # Errors
    ///
    /// If the actor does not start.
    pub async fn start(
        host: &HostSettings,
        control: ControlClient,
        timer: &Timer,
        metrics: Arc<Metrics>,
    ) -> Result<Self, SpawnErr> {
        let (tx, current) = watch::channel(None);
        let updates = control.watch();
        let report = proto::ReportRequest {
            host: host.name.to_string(),
            centre: host.centre.to_string(),
            ..proto::ReportRequest::default()
        };
        let state = State {
            tx,
            metrics,
            control,
            report,
        };
        let (actor, _) = Actor::spawn(None, ConfigActor, state).await?;
        tokio::spawn(forward_updates(updates, actor.clone()));
        ticks::forward(timer, REPORT_PERIOD, actor.clone(), || Message::Report);
        Ok(Self { current, actor })
    }

    /// Sets the incarnation that this router reports under. Nothing is reported before.
    pub fn set_incarnation(&self, incarnation: Incarnation) {
        // Without the actor the process is ending.
        let _ = self.actor.cast(Message::SetIncarnation(incarnation));
    }

    /// Returns the active configuration, or none until a quorum has confirmed one.
    pub fn current(&self) -> Option<Arc<ActiveConfig>> {
        self.current.borrow().clone()
    }

    /// Waits for the first configuration.
    pub async fn ready(&self) {
        let mut current = self.current.clone();
        // This fails only if the actor has ended; then there is nothing to wait for.
        let _ = current.wait_for(Option::is_some).await;
    }
}

/// Passes each configuration that the control replicas send to the actor.
async fn forward_updates(
    mut updates: watch::Receiver<Option<Arc<Accepted>>>,
    actor: ActorRef<Message>,
) {
    loop {
        let update = updates.borrow_and_update().clone();
        if let Some(accepted) = update
            && actor.cast(Message::Received(accepted)).is_err()
        {
            return;
        }
        if updates.changed().await.is_err() {
            return;
        }
    }
}

struct ConfigActor;

enum Message {
    /// The control replicas sent a configuration.
    Received(Arc<Accepted>),
    /// This router has joined the ledger.
    SetIncarnation(Incarnation),
    /// The next report is due.
    Report,
}

struct State {
    tx: watch::Sender<Option<Arc<ActiveConfig>>>,
    metrics: Arc<Metrics>,
    control: ControlClient,
    /// The next report: the newest revisions received, validated and in force.
    report: proto::ReportRequest,
}

impl Actor for ConfigActor {
    type Msg = Message;
    type State = State;
    type Arguments = State;

    async fn pre_start(
        &self,
        _myself: ActorRef<Message>,
        state: State,
    ) -> Result<State, ActorProcessingErr> {
        Ok(state)
    }

    async fn handle(
        &self,
        _myself: ActorRef<Message>,
        message: Message,
        state: &mut State,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            Message::Received(accepted) => state.activate(accepted),
            Message::SetIncarnation(incarnation) => state.report.incarnation = incarnation.0,
            Message::Report => state.send_report(),
        }
        Ok(())
    }
}

impl State {
    /// Activates a configuration if it is newer. A lower revision never replaces a higher one.
    fn activate(&mut self, accepted: Arc<Accepted>) {
        let revision = accepted.revision;
        self.report.received = self.report.received.max(revision.0);
        let newer = match self.tx.borrow().as_ref() {
            Some(current) => revision > current.revision(),
            None => true,
        };
        if !newer {
            return;
        }
        let indexed = Arc::new(ActiveConfig::new(accepted));
        self.report.validated = revision.0;
        self.tx.send_replace(Some(indexed));
        self.report.in_force = revision.0;
        self.metrics.revision.set(revision.0 as i64);
        log::info!("revision {revision} is in force");
        self.send_report();
    }

    /// Reports to the control replicas, which show it in `status`.
    fn send_report(&self) {
        if self.report.incarnation == 0 {
            return;
        }
        let control = self.control.clone();
        let report = self.report.clone();
        tokio::spawn(async move {
            // A lost report is replaced by the next one, a second later.
            let _ = control.report(report, REPORT_TIMEOUT).await;
        });
    }
}
