//! Client of the control replicas. It finds the leader and resends calls with backoff and jitter.

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
use super::document;
use super::document::DocumentError;
use super::document::Held;

/// Time after which a replica that does not answer is skipped.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(600);
/// Bound on the time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Bound on the first backoff delay.
const MIN_BACKOFF: Duration = Duration::from_millis(20);
/// Bound on every backoff delay.
const MAX_BACKOFF: Duration = Duration::from_millis(200);
/// Bound on an encoded message in either direction, in bytes.
pub(crate) const MAX_MESSAGE_BYTES: usize = 64 << 20;

/// Error of a call to the control replicas.
#[derive(Debug, Error)]
pub enum ControlError {
    /// No leader with a quorum answered within this time. The command may still take effect;
    /// resending it is safe.
    #[error("no control quorum answered within {0:?}")]
    NoQuorum(Duration),
    /// No control replica spooled the bills or answered the query.
    #[error("no control replica is reachable")]
    Unreachable,
    /// A replica refused the bills, as their holder is closed.
    #[error("the holder is closed")]
    Closed,
    /// A reply could not be decoded.
    #[error("malformed reply from {from}: {source}")]
    Malformed {
        /// Replica that replied.
        from: SocketAddr,
        /// Decoding error.
        source: WireError,
    },
    /// The document in a reply could not be read.
    #[error("unreadable reply from {from}: {source}")]
    Unreadable {
        /// Replica that replied.
        from: SocketAddr,
        /// What is wrong with it.
        source: DocumentError,
    },
}

/// Client of the control replicas. Cheap to clone; clones share the connections and the known
/// leader.
#[derive(Clone, Debug)]
pub struct ControlClient {
    replicas: Arc<Mutex<Replicas>>,
    /// Name of the operator or host that submits the commands.
    operator: Operator,
}

/// Which leaders a client follows that another replica names.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Referral {
    /// Only those in its list. The addresses that the replicas use among themselves may not be the
    /// ones that this client has to use.
    #[default]
    Listed,
    /// Any. For nodes that find each other: the list may lack a replica that has just joined, and
    /// a control host's own list lacks the host itself.
    Any,
}

/// Known replicas, and which of them led last.
#[derive(Debug, Default)]
struct Replicas {
    all: Vec<Arc<Replica>>,
    /// Index in `all` of the replica that led last.
    leader: usize,
    referral: Referral,
}

/// A control replica and the connection to it.
#[derive(Debug)]
pub(super) struct Replica {
    /// Address that the replica serves on.
    pub(super) address: SocketAddr,
    /// Current connection; see [`Replica::reconnect`].
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
        // A URI of a scheme and a socket address is always valid, so this does not fail.
        let uri = http::Uri::builder()
            .scheme("http")
            .authority(address.to_string())
            .path_and_query("/")
            .build()
            .unwrap_or_default();
        Endpoint::from(uri)
            .connect_timeout(CONNECT_TIMEOUT)
            .tcp_nodelay(true)
            .connect_lazy()
    }

    /// Replaces the connection. The old one may never answer again.
    pub(super) fn reconnect(&self) {
        *self.channel() = Self::connect(self.address);
    }

    fn channel(&self) -> MutexGuard<'_, Channel> {
        self.channel.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns a gRPC client that uses the current connection.
    pub(super) fn rpc(&self) -> Rpc<Channel> {
        Rpc::new(self.channel().clone())
            .max_decoding_message_size(MAX_MESSAGE_BYTES)
            .max_encoding_message_size(MAX_MESSAGE_BYTES)
    }
}

/// Outcome of a call to one replica.
enum CallOutcome<T> {
    /// The replica answered.
    Answered(T),
    /// The replica does not lead. Carries the address of the leader, if the replica knows it.
    NotLeader(Option<SocketAddr>),
    /// The replica was not reached, did not answer in time or had no quorum.
    Failed,
}

impl ControlClient {
    /// Creates a client of the replicas at these addresses. It connects on first use, and follows
    /// leaders as [`Referral::Listed`] says.
    pub fn new(replicas: impl Into<Arc<[SocketAddr]>>, operator: Operator) -> Self {
        let replicas: Arc<[SocketAddr]> = replicas.into();
        let client = Self {
            replicas: Arc::default(),
            operator,
        };
        client.set_replicas(&replicas);
        client
    }

    /// Makes this client and its clones follow leaders as `referral` says.
    pub fn set_referral(&self, referral: Referral) {
        self.lock().referral = referral;
    }

    /// Replaces the list of replicas. Connections to replicas that stay in it are kept.
    pub fn set_replicas(&self, addresses: &[SocketAddr]) {
        let mut known = self.lock();
        let last_leader = known.all.get(known.leader).map(|replica| replica.address);
        let find = |address: &SocketAddr| {
            let mut all = known.all.iter();
            let known = all.find(|replica| replica.address == *address);
            known.map_or_else(|| Arc::new(Replica::new(*address)), Arc::clone)
        };
        let all: Vec<Arc<Replica>> = addresses.iter().map(find).collect();
        let leader = all
            .iter()
            .position(|replica| Some(replica.address) == last_leader);
        known.leader = leader.unwrap_or(0);
        known.all = all;
    }

    fn lock(&self) -> MutexGuard<'_, Replicas> {
        self.replicas.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the known replicas.
    pub(super) fn replicas(&self) -> Vec<Arc<Replica>> {
        self.lock().all.clone()
    }

    /// Returns the replica at an index modulo the number of replicas, or `None` if no replica is
    /// known.
    pub(super) fn replica(&self, index: usize) -> Option<Arc<Replica>> {
        let known = self.lock();
        let count = known.all.len().max(1);
        known.all.get(index % count).map(Arc::clone)
    }

    /// Submits a command, resending it to the current leader until `timeout` has passed.
    ///
    /// # Errors
    ///
    /// [`ControlError::NoQuorum`] if no leader with a quorum answered in time,
    /// [`ControlError::Malformed`] if its reply cannot be read.
    pub async fn submit(&self, command: Command, timeout: Duration) -> Result<Reply, ControlError> {
        let request = proto::SubmitRequest {
            operator: self.operator.to_string(),
            command: Some(command.into()),
        };
        let (from, reply) = self
            .call_leader(timeout, |mut rpc| {
                let request = request.clone();
                async move { Ok(read_submit_reply(rpc.submit(request).await?.into_inner())) }
            })
            .await?;
        Reply::try_from(reply).map_err(|source| ControlError::Malformed { from, source })
    }

    /// Stores bills on the disk of any one replica, for use while no quorum answers.
    ///
    /// # Errors
    ///
    /// [`ControlError::Unreachable`] if no replica stored them in time, [`ControlError::Closed`] if
    /// none did and one refused because the holder is closed.
    pub async fn spool(&self, bills: Vec<Bill>, timeout: Duration) -> Result<(), ControlError> {
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
        let deadline = Instant::now() + timeout;
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

    /// Returns the bill of a request. Every replica answers from its own state, which may lack a
    /// recent bill.
    ///
    /// # Errors
    ///
    /// [`ControlError::Unreachable`] if no replica answered in time, [`ControlError::Malformed`] if
    /// a bill cannot be read.
    pub async fn bill(
        &self,
        id: &RequestId,
        timeout: Duration,
    ) -> Result<Option<Bill>, ControlError> {
        let request = proto::RequestId::from(id.clone());
        let answers = self
            .call_all(timeout, |mut rpc| {
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

    /// Follows the accepted configuration. The value is `None` until a quorum has confirmed one,
    /// and after that its revision only rises. The budgets are left out of the document. The task
    /// ends when every receiver is dropped.
    pub fn watch(&self) -> watch::Receiver<Option<Arc<Accepted>>> {
        super::watch::follow(self.clone())
    }

    /// Reports which revisions this host has received, validated and put in force.
    ///
    /// # Errors
    ///
    /// [`ControlError::NoQuorum`] if no leader answered in time.
    pub async fn report(
        &self,
        report: proto::ReportRequest,
        timeout: Duration,
    ) -> Result<(), ControlError> {
        self.call_leader(timeout, |mut rpc| {
            let request = report.clone();
            async move { read_leader_reply(rpc.report(request).await) }
        })
        .await
        .map(|_| ())
    }

    /// Returns one budget, or all of them if the name is empty, confirmed by a quorum.
    ///
    /// # Errors
    ///
    /// [`ControlError::NoQuorum`] if no leader answered in time.
    pub async fn budgets(
        &self,
        budget: &str,
        timeout: Duration,
    ) -> Result<Vec<proto::BudgetRow>, ControlError> {
        let request = proto::BudgetsRequest {
            budget: budget.to_owned(),
        };
        self.call_leader(timeout, |mut rpc| {
            let request = request.clone();
            async move { read_leader_reply(rpc.budgets(request).await) }
        })
        .await
        .map(|(_, reply)| reply.budgets)
    }

    /// Returns the accepted revisions and the configuration of one of them. Revision 0 stands for
    /// the one in force.
    ///
    /// # Errors
    ///
    /// [`ControlError::NoQuorum`] if no leader answered in time.
    pub async fn history(
        &self,
        revision: u64,
        timeout: Duration,
    ) -> Result<proto::HistoryReply, ControlError> {
        let request = proto::HistoryRequest { revision };
        self.call_leader(timeout, |mut rpc| async move {
            read_leader_reply(rpc.history(request).await)
        })
        .await
        .map(|(_, reply)| reply)
    }

    /// Returns the rows of the audit trail that match a request.
    ///
    /// # Errors
    ///
    /// [`ControlError::NoQuorum`] if no leader answered in time.
    pub async fn audit(
        &self,
        request: proto::AuditRequest,
        timeout: Duration,
    ) -> Result<Vec<proto::AuditRow>, ControlError> {
        self.call_leader(timeout, |mut rpc| {
            let request = request.clone();
            async move { read_leader_reply(rpc.audit(request).await) }
        })
        .await
        .map(|(_, reply)| reply.rows)
    }

    /// Returns the pass-through routes and the evacuations, confirmed by a quorum. The document is
    /// left out unless its version is higher than `held`.
    ///
    /// # Errors
    ///
    /// [`ControlError::NoQuorum`] if no leader answered in time, [`ControlError::Unreadable`] if the
    /// document in the answer is damaged.
    pub async fn plan(&self, held: u64, timeout: Duration) -> Result<Held, ControlError> {
        self.call_leader(timeout, |mut rpc| async move {
            let request = proto::PlanRequest {
                version: held,
                deflate: true,
            };
            read_leader_reply(rpc.plan(request).await)
        })
        .await
        .and_then(|(from, reply)| {
            document::read_reply(reply).map_err(|source| ControlError::Unreadable { from, source })
        })
    }

    /// Returns the status of each replica that answers in time.
    pub async fn status(&self, timeout: Duration) -> Vec<(SocketAddr, proto::StatusReply)> {
        self.call_all(timeout, |mut rpc| async move {
            rpc.status(proto::StatusRequest {}).await
        })
        .await
    }

    /// Returns the index of the replica to call first.
    pub(super) fn leader_index(&self) -> usize {
        self.lock().leader
    }

    /// Makes the next call start with another replica than this one. The current call may have no
    /// time left to try another.
    fn skip_silent(&self, silent: &Replica) {
        let mut known = self.lock();
        let last_leader = known.all.get(known.leader).map(|replica| replica.address);
        if last_leader == Some(silent.address) {
            known.leader = (known.leader + 1) % known.all.len().max(1);
        }
    }

    /// Stores which replica leads and returns its index, or `None` if that replica is not in the
    /// list and not to be added to it.
    pub(super) fn set_leader(&self, leader: Option<SocketAddr>) -> Option<usize> {
        let leader = leader?;
        let mut known = self.lock();
        let found = known.all.iter().position(|one| one.address == leader);
        let index = match (found, known.referral) {
            (Some(index), _) => index,
            (None, Referral::Listed) => return None,
            (None, Referral::Any) => {
                known.all.push(Arc::new(Replica::new(leader)));
                known.all.len() - 1
            }
        };
        known.leader = index;
        Some(index)
    }

    /// Calls one replica after another, starting with the one that led last, until one answers as
    /// the leader or `timeout` has passed.
    async fn call_leader<T, F>(
        &self,
        timeout: Duration,
        call: impl Fn(Rpc<Channel>) -> F,
    ) -> Result<(SocketAddr, T), ControlError>
    where
        F: Future<Output = Result<CallOutcome<T>, tonic::Status>>,
    {
        let deadline = Instant::now() + timeout;
        let mut backoff = Backoff::new(MIN_BACKOFF, MAX_BACKOFF);
        let mut index = self.leader_index();
        while let Some(replica) = self.replica(index) {
            let attempt_deadline = deadline.min(Instant::now() + ATTEMPT_TIMEOUT);
            let outcome = match tokio::time::timeout_at(attempt_deadline, call(replica.rpc())).await
            {
                Ok(Ok(outcome)) => outcome,
                Ok(Err(_)) => CallOutcome::Failed,
                Err(_) => {
                    replica.reconnect();
                    self.skip_silent(&replica);
                    CallOutcome::Failed
                }
            };
            let known = match outcome {
                CallOutcome::Answered(answer) => {
                    self.set_leader(Some(replica.address));
                    return Ok((replica.address, answer));
                }
                CallOutcome::NotLeader(leader) => {
                    self.set_leader(leader).filter(|known| *known != index)
                }
                CallOutcome::Failed => None,
            };
            index = known.unwrap_or(index + 1);
            let retry_at = Instant::now() + backoff.next_delay();
            if retry_at >= deadline {
                break;
            }
            tokio::time::sleep_until(retry_at).await;
        }
        Err(ControlError::NoQuorum(timeout))
    }

    /// Calls all replicas at once and returns the replies that arrive in time.
    async fn call_all<T, F>(
        &self,
        timeout: Duration,
        call: impl Fn(Rpc<Channel>) -> F,
    ) -> Vec<(SocketAddr, T)>
    where
        F: Future<Output = Result<tonic::Response<T>, tonic::Status>>,
    {
        let deadline = Instant::now() + timeout;
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

/// Converts the reply to a submitted command.
fn read_submit_reply(reply: proto::SubmitReply) -> CallOutcome<proto::Reply> {
    match reply.result {
        Some(Submitted::Reply(reply)) => CallOutcome::Answered(reply),
        Some(Submitted::Leader(leader)) => CallOutcome::NotLeader(leader.parse().ok()),
        Some(Submitted::NoQuorum(_)) | None => CallOutcome::Failed,
    }
}

/// Converts the result of a call that only the leader serves.
fn read_leader_reply<T>(
    result: Result<tonic::Response<T>, tonic::Status>,
) -> Result<CallOutcome<T>, tonic::Status> {
    match result {
        Ok(reply) => Ok(CallOutcome::Answered(reply.into_inner())),
        Err(status) if status.code() == tonic::Code::FailedPrecondition => {
            Ok(CallOutcome::NotLeader(leader_hint(&status)))
        }
        Err(status) => Err(status),
    }
}

/// Returns the address of the leader that a refusing replica names.
pub(super) fn leader_hint(status: &tonic::Status) -> Option<SocketAddr> {
    let value = status.metadata().get(LEADER_KEY)?;
    value.to_str().ok()?.parse().ok()
}
