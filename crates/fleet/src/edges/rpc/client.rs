//! Client of the control replicas: finds the leader, resends, backs off with jitter.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use chestnutnotch_core::command::Bill;
use chestnutnotch_core::command::Command;
use chestnutnotch_core::command::Reply;
use chestnutnotch_core::config::Accepted;
use chestnutnotch_core::id::Operator;
use chestnutnotch_core::id::RequestId;
use chestnutnotch_core::route::PublishedPlan;
use chestnutnotch_wire::WireError;
use chestnutnotch_wire::proto;
use chestnutnotch_wire::proto::control_client::ControlClient as Rpc;
use chestnutnotch_wire::proto::submit_reply::Result as Submitted;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use thiserror::Error;
use tokio::sync::watch;
use tokio::time::Instant;
use tonic::transport::Channel;
use tonic::transport::Endpoint;

use super::LEADER_KEY;
use super::backoff::Backoff;

/// Time after which a silent replica is passed over.
const TRY_TIME: Duration = Duration::from_millis(600);
const CONNECT_TIME: Duration = Duration::from_millis(250);
const FIRST_PAUSE: Duration = Duration::from_millis(20);
const LONGEST_PAUSE: Duration = Duration::from_millis(200);
/// Largest message in either direction.
pub(crate) const MESSAGE_BYTES: usize = 64 << 20;

/// Why the control replicas gave no answer.
#[derive(Debug, Error)]
pub enum ControlError {
    /// No leader with a quorum answered in time. The command may still take effect; a resend is safe.
    #[error("no control quorum answered within {0:?}")]
    NoQuorum(Duration),
    /// No control replica could keep the bill on its disk, or answered the question.
    #[error("no control replica is reachable")]
    Unreachable,
    /// A replica refuses bills of this holder, as it is closed.
    #[error("the holder is closed")]
    Closed,
    /// A reply could not be read.
    #[error("malformed reply from {from}: {source}")]
    Malformed {
        /// The replica.
        from: SocketAddr,
        /// What is wrong.
        source: WireError,
    },
}

/// Client of the control replicas. Cheap to clone; clones share connections.
#[derive(Clone, Debug)]
pub struct ControlClient {
    replicas: Arc<Mutex<Replicas>>,
    operator: Operator,
}

/// The replicas that are known.
#[derive(Debug, Default)]
struct Replicas {
    all: Vec<Arc<Replica>>,
    /// Index of the one that led last.
    leader: usize,
}

#[derive(Debug)]
pub(super) struct Replica {
    pub(super) address: SocketAddr,
    channel: Mutex<Channel>,
}

impl Replica {
    fn new(address: SocketAddr) -> Self {
        Self {
            address,
            channel: Mutex::new(Self::connect(address)),
        }
    }

    fn connect(address: SocketAddr) -> Channel {
        // An address with a scheme in front is always a valid URI, so no error can come of it.
        let uri = http::Uri::builder()
            .scheme("http")
            .authority(address.to_string())
            .path_and_query("/")
            .build()
            .unwrap_or_default();
        Endpoint::from(uri)
            .connect_timeout(CONNECT_TIME)
            .tcp_nodelay(true)
            .connect_lazy()
    }

    /// Gives the connection up: it may have gone silent for good.
    pub(super) fn renew(&self) {
        *self.channel() = Self::connect(self.address);
    }

    fn channel(&self) -> MutexGuard<'_, Channel> {
        self.channel.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn rpc(&self) -> Rpc<Channel> {
        Rpc::new(self.channel().clone())
            .max_decoding_message_size(MESSAGE_BYTES)
            .max_encoding_message_size(MESSAGE_BYTES)
    }
}

/// Outcome of one call to one replica.
enum Tried<T> {
    Answered(T),
    NotLeader(Option<SocketAddr>),
    Failed,
}

impl ControlClient {
    /// A client of the replicas at these addresses. Connects when first used.
    pub fn new(replicas: impl Into<Arc<[SocketAddr]>>, operator: Operator) -> Self {
        let replicas: Arc<[SocketAddr]> = replicas.into();
        let client = Self {
            replicas: Arc::default(),
            operator,
        };
        client.meet(&replicas);
        client
    }

    /// Names the replicas there are now. Connections to those that were known stay.
    pub fn meet(&self, addresses: &[SocketAddr]) {
        let mut known = self.lock();
        let led = known.all.get(known.leader).map(|replica| replica.address);
        let find = |address: &SocketAddr| {
            let mut all = known.all.iter();
            let known = all.find(|replica| replica.address == *address);
            known.map_or_else(|| Arc::new(Replica::new(*address)), Arc::clone)
        };
        let all: Vec<Arc<Replica>> = addresses.iter().map(find).collect();
        let leader = all.iter().position(|replica| Some(replica.address) == led);
        known.leader = leader.unwrap_or(0);
        known.all = all;
    }

    fn lock(&self) -> MutexGuard<'_, Replicas> {
        self.replicas.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The replicas known now.
    pub(super) fn replicas(&self) -> Vec<Arc<Replica>> {
        self.lock().all.clone()
    }

    /// The replica with a number that is counted round; none if no replica is known.
    pub(super) fn replica(&self, number: usize) -> Option<Arc<Replica>> {
        let known = self.lock();
        let count = known.all.len().max(1);
        known.all.get(number % count).map(Arc::clone)
    }

    /// Has a command agreed on, resending to whoever leads until `within` is over.
    ///
    /// # Errors
    ///
    /// [`ControlError::NoQuorum`] when time is up.
    pub async fn submit(&self, command: Command, within: Duration) -> Result<Reply, ControlError> {
        let request = proto::SubmitRequest {
            operator: self.operator.to_string(),
            command: Some(command.into()),
        };
        let (from, reply) = self
            .on_leader(within, |mut rpc| {
                let request = request.clone();
                async move { Ok(submitted(rpc.submit(request).await?.into_inner())) }
            })
            .await?;
        Reply::try_from(reply).map_err(|source| ControlError::Malformed { from, source })
    }

    /// Makes bills safe on the disk of any one replica, for when no quorum answers.
    ///
    /// # Errors
    ///
    /// [`ControlError::Unreachable`] when no replica synced them within the time,
    /// [`ControlError::Closed`] when one refused as the holder is closed.
    pub async fn spool(&self, bills: Vec<Bill>, within: Duration) -> Result<(), ControlError> {
        let request = proto::SpoolRequest {
            bills: bills.into_iter().map(Into::into).collect(),
        };
        let mut closed = false;
        let replicas = self.replicas();
        let calls: FuturesUnordered<_> = replicas
            .iter()
            .map(|replica| {
                let mut rpc = replica.rpc();
                let request = request.clone();
                async move { rpc.spool(request).await }
            })
            .collect();
        let deadline = Instant::now() + within;
        let mut calls = calls;
        while let Ok(Some(result)) = tokio::time::timeout_at(deadline, calls.next()).await {
            match result {
                Ok(_) => return Ok(()),
                Err(status) if status.code() == tonic::Code::FailedPrecondition => closed = true,
                Err(_) => {}
            }
        }
        Err(if closed {
            ControlError::Closed
        } else {
            ControlError::Unreachable
        })
    }

    /// The bill of a request as the first replica to answer knows it; may miss a recent one.
    ///
    /// # Errors
    ///
    /// [`ControlError::Unreachable`] when no replica answered within the time.
    pub async fn bill(
        &self,
        id: &RequestId,
        within: Duration,
    ) -> Result<Option<Bill>, ControlError> {
        let request = proto::RequestId::from(id.clone());
        let answers = self
            .each_replica(within, |mut rpc| {
                let request = request.clone();
                async move { rpc.find_bill(request).await }
            })
            .await;
        let mut answered = false;
        for (from, reply) in answers {
            answered = true;
            if let Some(bill) = reply.bill {
                let bill = Bill::try_from(bill);
                return bill
                    .map(Some)
                    .map_err(|source| ControlError::Malformed { from, source });
            }
        }
        if answered {
            Ok(None)
        } else {
            Err(ControlError::Unreachable)
        }
    }

    /// Follows the accepted configuration. The first value is confirmed by a quorum; revisions only
    /// rise. Empty until then. The tables of budgets are left out. Ends when every receiver is dropped.
    pub fn watch(&self) -> watch::Receiver<Option<Arc<Accepted>>> {
        super::watch::follow(self.clone())
    }

    /// Says which revisions this host received, validated and has in force.
    ///
    /// # Errors
    ///
    /// [`ControlError::NoQuorum`] when no leader took it.
    pub async fn report(
        &self,
        report: proto::ReportRequest,
        within: Duration,
    ) -> Result<(), ControlError> {
        self.on_leader(within, |mut rpc| {
            let request = report.clone();
            async move { leading(rpc.report(request).await) }
        })
        .await
        .map(|_| ())
    }

    /// Budgets as the leader knows them, confirmed by a quorum; one, or all if the name is empty.
    ///
    /// # Errors
    ///
    /// [`ControlError::NoQuorum`].
    pub async fn budgets(
        &self,
        budget: &str,
        within: Duration,
    ) -> Result<Vec<proto::BudgetRow>, ControlError> {
        let request = proto::BudgetsRequest {
            budget: budget.to_owned(),
        };
        self.on_leader(within, |mut rpc| {
            let request = request.clone();
            async move { leading(rpc.budgets(request).await) }
        })
        .await
        .map(|(_, reply)| reply.budgets)
    }

    /// Accepted revisions, and the configuration of one of them; of the one in force if zero.
    ///
    /// # Errors
    ///
    /// [`ControlError::NoQuorum`].
    pub async fn history(
        &self,
        revision: u64,
        within: Duration,
    ) -> Result<proto::HistoryReply, ControlError> {
        let request = proto::HistoryRequest { revision };
        self.on_leader(within, |mut rpc| async move {
            leading(rpc.history(request).await)
        })
        .await
        .map(|(_, reply)| reply)
    }

    /// Rows of the audit trail that match.
    ///
    /// # Errors
    ///
    /// [`ControlError::NoQuorum`].
    pub async fn audit(
        &self,
        request: proto::AuditRequest,
        within: Duration,
    ) -> Result<Vec<proto::AuditRow>, ControlError> {
        self.on_leader(within, |mut rpc| {
            let request = request.clone();
            async move { leading(rpc.audit(request).await) }
        })
        .await
        .map(|(_, reply)| reply.rows)
    }

    /// The pass-through routes that a quorum confirms; without the document unless their version is
    /// higher than `held`.
    ///
    /// # Errors
    ///
    /// [`ControlError::NoQuorum`].
    pub async fn plan(&self, held: u64, within: Duration) -> Result<PublishedPlan, ControlError> {
        self.on_leader(within, |mut rpc| async move {
            leading(rpc.plan(proto::PlanRequest { version: held }).await)
        })
        .await
        .map(|(_, reply)| PublishedPlan {
            version: reply.version,
            source: reply.source.into(),
        })
    }

    /// What each replica that answers in time says of itself.
    pub async fn status(&self, within: Duration) -> Vec<(SocketAddr, proto::StatusReply)> {
        self.each_replica(within, |mut rpc| async move {
            rpc.status(proto::StatusRequest {}).await
        })
        .await
    }

    /// Index of the replica to ask first.
    pub(super) fn first(&self) -> usize {
        self.lock().leader
    }

    /// Has the next call begin with another replica than a silent one: this call may have no time left
    /// to try it.
    fn pass_over(&self, silent: &Replica) {
        let mut known = self.lock();
        let led = known.all.get(known.leader).map(|replica| replica.address);
        if led == Some(silent.address) {
            known.leader = (known.leader + 1) % known.all.len().max(1);
        }
    }

    /// Remembers who leads. A leader that was not known is one from now on: a control host asks the
    /// others, and they may name the host itself.
    pub(super) fn led_by(&self, leader: Option<SocketAddr>) -> Option<usize> {
        let leader = leader?;
        let mut known = self.lock();
        let found = known.all.iter().position(|one| one.address == leader);
        let index = found.unwrap_or(known.all.len());
        if found.is_none() {
            known.all.push(Arc::new(Replica::new(leader)));
        }
        known.leader = index;
        Some(index)
    }

    async fn on_leader<T, F>(
        &self,
        within: Duration,
        call: impl Fn(Rpc<Channel>) -> F,
    ) -> Result<(SocketAddr, T), ControlError>
    where
        F: Future<Output = Result<Tried<T>, tonic::Status>>,
    {
        let deadline = Instant::now() + within;
        let mut backoff = Backoff::new(FIRST_PAUSE, LONGEST_PAUSE);
        let mut index = self.first();
        while let Some(replica) = self.replica(index) {
            let until = deadline.min(Instant::now() + TRY_TIME);
            let tried = match tokio::time::timeout_at(until, call(replica.rpc())).await {
                Ok(Ok(tried)) => tried,
                Ok(Err(_)) => Tried::Failed,
                Err(_) => {
                    replica.renew();
                    self.pass_over(&replica);
                    Tried::Failed
                }
            };
            let known = match tried {
                Tried::Answered(answer) => {
                    self.led_by(Some(replica.address));
                    return Ok((replica.address, answer));
                }
                Tried::NotLeader(leader) => self.led_by(leader).filter(|known| *known != index),
                Tried::Failed => None,
            };
            index = known.unwrap_or(index + 1);
            let pause = Instant::now() + backoff.pause();
            if pause >= deadline {
                break;
            }
            tokio::time::sleep_until(pause).await;
        }
        Err(ControlError::NoQuorum(within))
    }

    async fn each_replica<T, F>(
        &self,
        within: Duration,
        call: impl Fn(Rpc<Channel>) -> F,
    ) -> Vec<(SocketAddr, T)>
    where
        F: Future<Output = Result<tonic::Response<T>, tonic::Status>>,
    {
        let deadline = Instant::now() + within;
        let replicas = self.replicas();
        let calls = replicas.iter().map(|replica| {
            let call = call(replica.rpc());
            async move {
                let reply = tokio::time::timeout_at(deadline, call).await.ok()?.ok()?;
                Some((replica.address, reply.into_inner()))
            }
        });
        let replies = futures_util::future::join_all(calls).await;
        replies.into_iter().flatten().collect()
    }
}

/// Reads the outcome of a submitted command.
fn submitted(reply: proto::SubmitReply) -> Tried<proto::Reply> {
    match reply.result {
        Some(Submitted::Reply(reply)) => Tried::Answered(reply),
        Some(Submitted::Leader(leader)) => Tried::NotLeader(leader.parse().ok()),
        Some(Submitted::NoQuorum(_)) | None => Tried::Failed,
    }
}

/// Reads from a reply whether the replica leads.
fn leading<T>(
    result: Result<tonic::Response<T>, tonic::Status>,
) -> Result<Tried<T>, tonic::Status> {
    match result {
        Ok(reply) => Ok(Tried::Answered(reply.into_inner())),
        Err(status) if status.code() == tonic::Code::FailedPrecondition => {
            Ok(Tried::NotLeader(named_leader(&status)))
        }
        Err(status) => Err(status),
    }
}

/// The leader that a refusing replica names.
pub(super) fn named_leader(status: &tonic::Status) -> Option<SocketAddr> {
    let value = status.metadata().get(LEADER_KEY)?;
    value.to_str().ok()?.parse().ok()
}
