//! Service that a control replica offers to routers and operators.

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
use super::node;
use super::views;
use crate::controllers::replica::ReplicaError;
use crate::controllers::replica::ReplicaHandle;
use crate::controllers::spool::SpoolMessage;
use crate::edges::disk::spool::SpoolError;
use crate::timer::Timer;

/// Time between two signs of life on a watch; each is confirmed by a quorum.
const CONFIRM_PERIOD: Duration = Duration::from_secs(1);
const SPOOL_MILLIS: u64 = 2_000;
/// Updates that a slow follower may lag behind; it then reconnects.
const WATCH_QUEUE: usize = 4;
/// Most hosts whose reports are kept.
const REPORTS: usize = 10_000;

/// What hosts last reported of their revisions. Soft state of the leader.
#[derive(Clone, Debug, Default)]
pub struct Reports {
    rows: Arc<Mutex<Map<String, (Millis, proto::ReportRequest)>>>,
}

impl Reports {
    fn take(&self, now: Millis, report: proto::ReportRequest) {
        let mut rows = self.rows.lock().unwrap_or_else(PoisonError::into_inner);
        if rows.len() < REPORTS || rows.contains_key(&report.host) {
            rows.insert(report.host.clone(), (now, report));
        }
    }

    fn list(&self, now: Millis) -> Vec<proto::HostStatus> {
        let rows = self.rows.lock().unwrap_or_else(PoisonError::into_inner);
        let mut hosts: Vec<_> = rows
            .values()
            .map(|(at, report)| proto::HostStatus {
                age: now.saturating_sub(*at).0,
                report: Some(report.clone()),
            })
            .collect();
        hosts.sort_by(|a, b| name(a).cmp(name(b)));
        hosts
    }
}

fn name(host: &proto::HostStatus) -> &str {
    host.report.as_ref().map_or("", |report| &report.host)
}

/// The service.
#[derive(Debug)]
pub struct ControlServer {
    replica: ReplicaHandle,
    spool: ActorRef<SpoolMessage>,
    reports: Reports,
    timer: Timer,
}

impl ControlServer {
    /// A service around the replica and the spool of this process.
    pub fn new(replica: ReplicaHandle, spool: ActorRef<SpoolMessage>, timer: Timer) -> Self {
        Self {
            replica,
            spool,
            reports: Reports::default(),
            timer,
        }
    }

    /// Fails unless this replica leads with a quorum.
    async fn lead(&self) -> Result<(), Status> {
        self.replica.read(|_| ()).await.map_err(refused)
    }
}

type Updates = Pin<Box<dyn Stream<Item = Result<proto::Accepted, Status>> + Send>>;

#[tonic::async_trait]
impl Control for ControlServer {
    type WatchStream = Updates;

    async fn submit(
        &self,
        request: Request<proto::SubmitRequest>,
    ) -> Result<Response<proto::SubmitReply>, Status> {
        let request = request.into_inner();
        let command = request.command.ok_or(WireError::Missing {
            message: "SubmitRequest",
            field: "command",
        });
        let command = command.and_then(Command::try_from).map_err(malformed)?;
        let submitted = self.replica.submit(request.operator.into(), command).await;
        let result = match submitted {
            Ok(reply) => Submitted::Reply(reply.into()),
            Err(ReplicaError::NotLeader { leader }) => Submitted::Leader(text(leader)),
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
        let bills = bills.map_err(malformed)?;
        // Only voters seal closed holders, so only voters may keep bills of open ones.
        let status = self.replica.status().await.map_err(refused)?;
        if !status.voters.contains(&status.id) {
            return Err(Status::unavailable("this replica does not vote"));
        }
        match call_t!(self.spool, SpoolMessage::Store, SPOOL_MILLIS, bills) {
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
        let id = RequestId::try_from(request.into_inner()).map_err(malformed)?;
        let bill = self.replica.peek(move |machine| machine.bill(&id).cloned());
        let bill = bill.await.map_err(refused)?.map(Into::into);
        Ok(Response::new(proto::FindBillReply { bill }))
    }

    async fn watch(
        &self,
        request: Request<proto::WatchRequest>,
    ) -> Result<Response<Updates>, Status> {
        let request = request.into_inner();
        self.lead().await?;
        let (tx, rx) = mpsc::channel(WATCH_QUEUE);
        let follower = Follower {
            replica: self.replica.clone(),
            sent: Revision(request.revision),
            first: request.confirmed,
            tx,
        };
        tokio::spawn(follower.run());
        Ok(Response::new(Box::pin(ReceiverStream::new(rx))))
    }

    async fn report(
        &self,
        request: Request<proto::ReportRequest>,
    ) -> Result<Response<proto::ReportReply>, Status> {
        let leads = self.replica.status().await.map_err(refused)?;
        if !leads.leads {
            return Err(elsewhere(leads.leader));
        }
        self.reports.take(self.timer.now(), request.into_inner());
        Ok(Response::new(proto::ReportReply {}))
    }

    async fn plan(
        &self,
        request: Request<proto::PlanRequest>,
    ) -> Result<Response<proto::PlanReply>, Status> {
        let held = request.into_inner().version;
        let view = self.replica.read(|machine| machine.plan().clone());
        let plan = view.await.map_err(refused)?;
        Ok(Response::new(node::reply(&plan, held)))
    }

    async fn budgets(
        &self,
        request: Request<proto::BudgetsRequest>,
    ) -> Result<Response<proto::BudgetsReply>, Status> {
        let budget = request.into_inner().budget;
        let view = self
            .replica
            .read(move |machine| views::budgets(machine, &budget));
        let budgets = view.await.map_err(refused)?;
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
        view.await.map(Response::new).map_err(refused)
    }

    async fn audit(
        &self,
        request: Request<proto::AuditRequest>,
    ) -> Result<Response<proto::AuditReply>, Status> {
        let request = request.into_inner();
        let view = self
            .replica
            .read(move |machine| views::audit(machine, &request));
        let rows = view.await.map_err(refused)?;
        Ok(Response::new(proto::AuditReply { rows }))
    }

    async fn status(
        &self,
        _request: Request<proto::StatusRequest>,
    ) -> Result<Response<proto::StatusReply>, Status> {
        let status = self.replica.status().await.map_err(refused)?;
        let revision = self.replica.accepted().borrow().revision;
        Ok(Response::new(proto::StatusReply {
            replica: status.id.0,
            term: status.term.0,
            leads: status.leads,
            leader: text(status.leader),
            applied: status.applied.0,
            voters: status.voters.iter().map(|voter| voter.0).collect(),
            learners: status.learners.iter().map(|learner| learner.0).collect(),
            hosts: self.reports.list(self.timer.now()),
            revision: revision.0,
        }))
    }
}

/// Sends one follower the configuration, without its budgets, as long as this replica leads.
struct Follower {
    replica: ReplicaHandle,
    sent: Revision,
    /// Whether the first update goes out even if it is no news.
    first: bool,
    tx: mpsc::Sender<Result<proto::Accepted, Status>>,
}

impl Follower {
    async fn run(mut self) {
        let mut changes = self.replica.accepted();
        loop {
            // An applied configuration is agreed on; the read shows that none is newer.
            let confirmed = self
                .replica
                .read(|machine| machine.accepted().clone())
                .await;
            let update = match confirmed {
                Ok(accepted) => self.update(accepted),
                Err(error) => {
                    // The follower sees the end of the stream and asks another replica.
                    let _ = self.tx.send(Err(refused(error))).await;
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

    /// The configuration if it is news, else a sign of life.
    fn update(&mut self, accepted: Accepted) -> proto::Accepted {
        if accepted.revision <= self.sent && !self.first {
            return proto::Accepted {
                revision: self.sent.0,
                document: None,
            };
        }
        self.first = false;
        self.sent = self.sent.max(accepted.revision);
        without_budgets(accepted)
    }
}

/// A configuration as routers need it: the budgets themselves are the ledger's matter, and they are
/// by far the most rows.
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

fn malformed(error: WireError) -> Status {
    Status::invalid_argument(error.to_string())
}

fn refused(error: ReplicaError) -> Status {
    match error {
        ReplicaError::NotLeader { leader } => elsewhere(leader),
        other => Status::unavailable(other.to_string()),
    }
}

/// Says that another replica leads, and which.
fn elsewhere(leader: Option<SocketAddr>) -> Status {
    let mut status = Status::failed_precondition("this replica does not lead");
    if let Some(value) = leader.and_then(|leader| leader.to_string().parse().ok()) {
        status.metadata_mut().insert(LEADER_KEY, value);
    }
    status
}

fn text(leader: Option<SocketAddr>) -> String {
    leader.map(|leader| leader.to_string()).unwrap_or_default()
}
