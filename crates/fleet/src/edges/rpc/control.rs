//! gRPC service of a control replica for routers and operators.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use chestnutnotch_core::command::Bill;
use chestnutnotch_core::command::Command;
use chestnutnotch_core::config::Accepted;
use chestnutnotch_core::config::Document;
use chestnutnotch_core::id::RequestId;
use chestnutnotch_core::map::Map;
use chestnutnotch_core::unit::Millis;
use chestnutnotch_core::unit::Revision;
use chestnutnotch_wire::WireError;
use chestnutnotch_wire::proto;
use chestnutnotch_wire::proto::control_server::Control;
use chestnutnotch_wire::proto::submit_reply::Result as Submitted;
use futures_util::Stream;
use ractor::ActorRef;
use ractor::call_t;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tonic::Request;
use tonic::Response;
use tonic::Status;

use super::LEADER_KEY;
use super::document::DocumentCache;
use super::views;
use crate::controllers::replica::ReplicaError;
use crate::controllers::replica::ReplicaHandle;
use crate::controllers::spool::SpoolMessage;
use crate::edges::disk::spool::SpoolError;
use crate::timer::Timer;

/// Interval between heartbeats on a watch. A quorum confirms each of them.
const CONFIRM_PERIOD: Duration = Duration::from_secs(1);
/// Bound on the time to store bills in the spool, in milliseconds.
const SPOOL_TIMEOUT_MS: u64 = 2_000;
/// Bound on the updates queued for a slow watcher. Sending waits while the queue is full.
const WATCH_QUEUE_UPDATES: usize = 4;
/// Bound on the hosts whose reports are kept.
const MAX_REPORTS: usize = 10_000;

/// Latest report of each host on its configuration revisions. Soft state of the leader.
#[derive(Clone, Debug, Default)]
pub struct HostReports {
    /// Time and content of the latest report by host name.
    rows: Arc<Mutex<Map<String, (Millis, proto::ReportRequest)>>>,
}

impl HostReports {
    /// Stores the report of a host. Drops it if the host is new and the bound is reached.
    fn record(&self, now: Millis, report: proto::ReportRequest) {
        let mut rows = self.rows.lock().unwrap_or_else(PoisonError::into_inner);
        if rows.len() < MAX_REPORTS || rows.contains_key(&report.host) {
            rows.insert(report.host.clone(), (now, report));
        }
    }

    /// Returns the reports with their ages, sorted by host name.
    fn list(&self, now: Millis) -> Vec<proto::HostStatus> {
        let rows = self.rows.lock().unwrap_or_else(PoisonError::into_inner);
        let mut hosts: Vec<_> = rows
            .values()
            .map(|(at, report)| proto::HostStatus {
                age: now.saturating_sub(*at).0,
                report: Some(report.clone()),
            })
            .collect();
        hosts.sort_by(|a, b| host_name(a).cmp(host_name(b)));
        hosts
    }
}

fn host_name(host: &proto::HostStatus) -> &str {
    host.report.as_ref().map_or("", |report| &report.host)
}

/// Implementation of the `Control` service.
#[derive(Debug)]
pub struct ControlServer {
    replica: ReplicaHandle,
    spool: ActorRef<SpoolMessage>,
    reports: HostReports,
    documents: DocumentCache,
    timer: Timer,
}

impl ControlServer {
    /// Creates a service on the replica and the spool of this process.
    pub fn new(replica: ReplicaHandle, spool: ActorRef<SpoolMessage>, timer: Timer) -> Self {
        Self {
            replica,
            spool,
            reports: HostReports::default(),
            documents: DocumentCache::default(),
            timer,
        }
    }

    /// Fails unless this replica leads with a quorum.
    async fn check_leads(&self) -> Result<(), Status> {
        self.replica.read(|_| ()).await.map_err(to_status)
    }
}

type UpdateStream = Pin<Box<dyn Stream<Item = Result<proto::Accepted, Status>> + Send>>;

#[tonic::async_trait]
impl Control for ControlServer {
    type WatchStream = UpdateStream;

    async fn submit(
        &self,
        request: Request<proto::SubmitRequest>,
    ) -> Result<Response<proto::SubmitReply>, Status> {
        let request = request.into_inner();
        let command = request.command.ok_or(WireError::Missing {
            message: "SubmitRequest",
            field: "command",
        });
        let command = command
            .and_then(Command::try_from)
            .map_err(invalid_argument)?;
        let submitted = self.replica.submit(request.operator.into(), command).await;
        let result = match submitted {
            Ok(reply) => Submitted::Reply(reply.into()),
            Err(ReplicaError::NotLeader { leader }) => Submitted::Leader(address_text(leader)),
            Err(_) => Submitted::NoQuorum(proto::NoQuorum {}),
        };
        Ok(Response::new(proto::SubmitReply {
            result: Some(result),
        }))
    }

    async fn spool(
        &self,
        request: Request<proto::SpoolRequest>,
    ) -> Result<Response<proto::SpoolReply>, Status> {
        let bills = request.into_inner().bills.into_iter();
        let bills: Result<Vec<Bill>, _> = bills.map(Bill::try_from).collect();
        let bills = bills.map_err(invalid_argument)?;
        // Only voters seal closed holders, so only voters may spool bills of open ones.
        let status = self.replica.status().await.map_err(to_status)?;
        if !status.voters.contains(&status.id) {
            return Err(Status::unavailable("this replica does not vote"));
        }
        match call_t!(self.spool, SpoolMessage::Store, SPOOL_TIMEOUT_MS, bills) {
            Ok(Ok(())) => Ok(Response::new(proto::SpoolReply {})),
            Ok(Err(error @ SpoolError::Sealed(_))) => {
                Err(Status::failed_precondition(error.to_string()))
            }
            Ok(Err(error)) => Err(Status::unavailable(error.to_string())),
            Err(error) => Err(Status::unavailable(error.to_string())),
        }
    }

    async fn find_bill(
        &self,
        request: Request<proto::RequestId>,
    ) -> Result<Response<proto::FindBillReply>, Status> {
        let id = RequestId::try_from(request.into_inner()).map_err(invalid_argument)?;
        let bill = self.replica.peek(move |machine| machine.bill(&id).cloned());
        let bill = bill.await.map_err(to_status)?.map(Into::into);
        Ok(Response::new(proto::FindBillReply { bill }))
    }

    async fn watch(
        &self,
        request: Request<proto::WatchRequest>,
    ) -> Result<Response<UpdateStream>, Status> {
        let request = request.into_inner();
        self.check_leads().await?;
        let (tx, rx) = mpsc::channel(WATCH_QUEUE_UPDATES);
        let watcher = Watcher {
            replica: self.replica.clone(),
            sent: Revision(request.revision),
            forced: request.confirmed,
            tx,
        };
        tokio::spawn(watcher.run());
        Ok(Response::new(Box::pin(ReceiverStream::new(rx))))
    }

    async fn report(
        &self,
        request: Request<proto::ReportRequest>,
    ) -> Result<Response<proto::ReportReply>, Status> {
        let status = self.replica.status().await.map_err(to_status)?;
        if !status.leads {
            return Err(not_leader(status.leader));
        }
        self.reports.record(self.timer.now(), request.into_inner());
        Ok(Response::new(proto::ReportReply {}))
    }

    async fn plan(
        &self,
        request: Request<proto::PlanRequest>,
    ) -> Result<Response<proto::PlanReply>, Status> {
        let view = self
            .replica
            .read(|machine| (machine.plan().clone(), machine.evacuations().clone()));
        let (plan, evacuations) = view.await.map_err(to_status)?;
        let reply = self.documents.reply(&plan, &evacuations, request.get_ref());
        Ok(Response::new(reply))
    }

    async fn budgets(
        &self,
        request: Request<proto::BudgetsRequest>,
    ) -> Result<Response<proto::BudgetsReply>, Status> {
        let budget = request.into_inner().budget;
        let view = self
            .replica
            .read(move |machine| views::budgets(machine, &budget));
        let budgets = view.await.map_err(to_status)?;
        Ok(Response::new(proto::BudgetsReply { budgets }))
    }

    async fn history(
        &self,
        request: Request<proto::HistoryRequest>,
    ) -> Result<Response<proto::HistoryReply>, Status> {
        let revision = Revision(request.into_inner().revision);
        let view = self
            .replica
            .read(move |machine| views::history(machine, revision));
        view.await.map(Response::new).map_err(to_status)
    }

    async fn audit(
        &self,
        request: Request<proto::AuditRequest>,
    ) -> Result<Response<proto::AuditReply>, Status> {
        let request = request.into_inner();
        let view = self
            .replica
            .read(move |machine| views::audit(machine, &request));
        let rows = view.await.map_err(to_status)?;
        Ok(Response::new(proto::AuditReply { rows }))
    }

    async fn status(
        &self,
        _request: Request<proto::StatusRequest>,
    ) -> Result<Response<proto::StatusReply>, Status> {
        let status = self.replica.status().await.map_err(to_status)?;
        let revision = self.replica.accepted().borrow().revision;
        Ok(Response::new(proto::StatusReply {
            replica: status.id.0,
            term: status.term.0,
            leads: status.leads,
            leader: address_text(status.leader),
            applied: status.applied.0,
            voters: status.voters.iter().map(|voter| voter.0).collect(),
            learners: status.learners.iter().map(|learner| learner.0).collect(),
            hosts: self.reports.list(self.timer.now()),
            revision: revision.0,
        }))
    }
}

/// Streams the configuration without its budgets to one watcher, as long as this replica leads.
struct Watcher {
    replica: ReplicaHandle,
    /// Highest revision that the watcher has.
    sent: Revision,
    /// Whether the next update carries the document even if the watcher has that revision.
    forced: bool,
    tx: mpsc::Sender<Result<proto::Accepted, Status>>,
}

impl Watcher {
    async fn run(mut self) {
        let mut changes = self.replica.accepted();
        loop {
            // An applied configuration is committed. The read confirms that none is newer.
            let confirmed = self
                .replica
                .read(|machine| machine.accepted().clone())
                .await;
            let update = match confirmed {
                Ok(accepted) => self.update(accepted),
                Err(error) => {
                    // The watcher sees the stream end and calls another replica.
                    let _ = self.tx.send(Err(to_status(error))).await;
                    return;
                }
            };
            if self.tx.send(Ok(update)).await.is_err() {
                return;
            }
            tokio::select! {
                () = self.tx.closed() => return,
                _ = changes.changed() => {}
                () = tokio::time::sleep(CONFIRM_PERIOD) => {}
            }
        }
    }

    /// Returns the configuration if the watcher lacks it, or else a heartbeat.
    fn update(&mut self, accepted: Accepted) -> proto::Accepted {
        if accepted.revision <= self.sent && !self.forced {
            return proto::Accepted {
                revision: self.sent.0,
                document: None,
            };
        }
        self.forced = false;
        self.sent = self.sent.max(accepted.revision);
        without_budgets(accepted)
    }
}

/// Converts a configuration for routers. They don't need the budgets, which the ledger manages and
/// which are by far the most rows.
fn without_budgets(accepted: Accepted) -> proto::Accepted {
    let document = Document {
        budgets: Vec::new(),
        ..(*accepted.document).clone()
    };
    proto::Accepted {
        revision: accepted.revision.0,
        document: Some(document.into()),
    }
}

fn invalid_argument(error: WireError) -> Status {
    Status::invalid_argument(error.to_string())
}

/// Converts an error of the replica to a gRPC status.
fn to_status(error: ReplicaError) -> Status {
    match error {
        ReplicaError::NotLeader { leader } => not_leader(leader),
        other => Status::unavailable(other.to_string()),
    }
}

/// Builds the status of a replica that does not lead, with the address of the leader if it is
/// known.
fn not_leader(leader: Option<SocketAddr>) -> Status {
    let mut status = Status::failed_precondition("this replica does not lead");
    if let Some(value) = leader.and_then(|leader| leader.to_string().parse().ok()) {
        status.metadata_mut().insert(LEADER_KEY, value);
    }
    status
}

/// Returns the address of the leader as the wire format has it: empty if it is unknown.
fn address_text(leader: Option<SocketAddr>) -> String {
    leader.map(|leader| leader.to_string()).unwrap_or_default()
}
