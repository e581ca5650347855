//! Stores bills on this replica's disk while no quorum answers, and submits them later.
//!
//! The actor owns the file. It submits the spooled bills in order through the client of the control
//! replicas until the quorum has committed them. It also seals closed holders: once every voter has
//! sealed a holder, no bill of it can appear any more, and the ledger may free its unspent tokens.

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use chestnutnotch_core::command::Bill;
use chestnutnotch_core::command::Billed;
use chestnutnotch_core::command::Command;
use chestnutnotch_core::command::Reply;
use chestnutnotch_core::command::Seal;
use chestnutnotch_core::id::Holder;
use ractor::Actor;
use ractor::ActorProcessingErr;
use ractor::ActorRef;
use ractor::RpcReplyPort;
use ractor::SpawnErr;

use super::replica::ReplicaHandle;
use super::replica::ReplicaStatus;
use crate::edges::disk::spool::Spool;
use crate::edges::disk::spool::SpoolError;
use crate::edges::rpc::ControlClient;
use crate::timer::Timer;

/// Time between two rounds of submissions and seals.
const ROUND_PERIOD: Duration = Duration::from_millis(250);
/// Timeout of one command to the quorum.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(2);
/// Most bills in one command.
const MAX_BATCH_BILLS: usize = 500;

/// Messages of the spool actor.
#[derive(Debug)]
pub enum SpoolMessage {
    /// Stores bills and replies when they are synced to disk.
    Store(Vec<Bill>, RpcReplyPort<Result<(), SpoolError>>),
    /// Starts a round: submits spooled bills and seals closed holders.
    Tick,
    /// A round of submissions has ended: the quorum has committed this many of the oldest bills.
    Committed(usize),
    /// These holders need a seal of this replica, whose status is given.
    Unsealed(ReplicaStatus, Vec<Holder>),
}

/// Parameters of [`SpoolActor::start`].
pub struct SpoolArgs {
    /// Data folder of the replica, which holds the spool file.
    pub folder: PathBuf,
    /// Replica of this process, whose state names the closed holders.
    pub replica: ReplicaHandle,
    /// Client of all control replicas, this one included.
    pub client: ControlClient,
    /// Source of ticks.
    pub timer: Timer,
}

/// State of the running actor.
pub struct SpoolState {
    /// Locked by one disk operation at a time, on a thread that may block.
    spool: Arc<Mutex<Spool>>,
    args: SpoolArgs,
    /// Whether a round is in progress. Rounds run in tasks of their own, so that the actor can
    /// store bills while a round waits for a quorum.
    round_active: bool,
}

/// The actor that owns the spool file.
pub struct SpoolActor;

impl SpoolActor {
    /// Opens the file and starts the actor.
    ///
    /// # Errors
    ///
    /// If the file can't be opened or is corrupt.
    pub async fn start(args: SpoolArgs) -> Result<ActorRef<SpoolMessage>, SpawnErr> {
        let (actor, _) = Actor::spawn(None, SpoolActor, args).await?;
        Ok(actor)
    }
}

impl Actor for SpoolActor {
    type Msg = SpoolMessage;
    type State = SpoolState;
    type Arguments = SpoolArgs;

    async fn pre_start(
        &self,
        myself: ActorRef<SpoolMessage>,
        args: SpoolArgs,
    ) -> Result<SpoolState, ActorProcessingErr> {
        let spool = Spool::open(&args.folder)?;
        let mut ticks = args.timer.every(ROUND_PERIOD);
        tokio::spawn(async move {
            while ticks.recv().await.is_some() {
                if myself.send_message(SpoolMessage::Tick).is_err() {
                    return;
                }
            }
        });
        Ok(SpoolState {
            spool: Arc::new(Mutex::new(spool)),
            args,
            round_active: false,
        })
    }

    async fn handle(
        &self,
        myself: ActorRef<SpoolMessage>,
        message: SpoolMessage,
        state: &mut SpoolState,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            SpoolMessage::Store(bills, reply) => {
                let stored = state.run_blocking(|spool| spool.add(bills)).await?;
                let failed = matches!(stored, Err(SpoolError::Io { .. }));
                // A caller that stopped waiting resends; the bill is stored all the same.
                let _ = reply.send(stored);
                if failed {
                    log::error!("the disk of the bill spool failed; the spool stops");
                    return Err(ActorProcessingErr::from("disk failed"));
                }
            }
            SpoolMessage::Tick => state.start_round(myself),
            SpoolMessage::Committed(count) => {
                state.round_active = false;
                if count > 0 {
                    let removed = state
                        .run_blocking(move |spool| spool.remove_committed(count))
                        .await?;
                    // The file keeps the bills until the next time. They may be submitted again.
                    unless_full(removed)?;
                }
            }
            SpoolMessage::Unsealed(status, holders) => {
                for holder in holders {
                    state.seal(&status, holder).await?;
                }
            }
        }
        Ok(())
    }
}

impl SpoolState {
    /// Runs a blocking disk operation on a thread for blocking work.
    async fn run_blocking<T: Send + 'static>(
        &self,
        work: impl FnOnce(&mut Spool) -> T + Send + 'static,
    ) -> Result<T, ActorProcessingErr> {
        let spool = Arc::clone(&self.spool);
        let done = tokio::task::spawn_blocking(move || work(&mut lock(&spool)));
        Ok(done.await?)
    }

    /// Starts a round of submissions, unless one is in progress.
    fn start_round(&mut self, myself: ActorRef<SpoolMessage>) {
        if self.round_active {
            return;
        }
        self.round_active = true;
        let batch: Vec<Bill> = lock(&self.spool)
            .bills()
            .iter()
            .take(MAX_BATCH_BILLS)
            .cloned()
            .collect();
        let client = self.args.client.clone();
        let replica = self.args.replica.clone();
        tokio::spawn(async move {
            let committed = submit_bills(&client, batch).await;
            // This fails only if the actor has stopped; the bills then remain in the file.
            let _ = myself.send_message(SpoolMessage::Committed(committed));
            if let Some((status, holders)) = unsealed(&replica).await {
                let _ = myself.send_message(SpoolMessage::Unsealed(status, holders));
            }
        });
    }

    /// Seals a holder in the spool, and submits the seal once no bill of the holder is left in it.
    async fn seal(&self, status: &ReplicaStatus, holder: Holder) -> Result<(), ActorProcessingErr> {
        let sealed = holder.clone();
        let empty = self.run_blocking(move |spool| spool.seal(&sealed)).await?;
        // The next round tries again.
        if unless_full(empty)? != Some(true) {
            return Ok(());
        }
        let seal = Seal {
            replica: status.id,
            holder,
            voters: status.voters.clone(),
        };
        let client = self.args.client.clone();
        tokio::spawn(async move {
            // An unanswered seal is submitted again in a later round.
            let _ = client.submit(Command::Seal(seal), SUBMIT_TIMEOUT).await;
        });
        Ok(())
    }
}

/// Returns the result of an operation, or `None` if the disk was full.
fn unless_full<T>(result: Result<T, SpoolError>) -> Result<Option<T>, SpoolError> {
    match result {
        Ok(value) => Ok(Some(value)),
        Err(error @ SpoolError::Full { .. }) => {
            log::warn!(error:% = error; "the bill spool has no room");
            Ok(None)
        }
        Err(error) => Err(error),
    }
}

fn lock(spool: &Mutex<Spool>) -> MutexGuard<'_, Spool> {
    spool.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Submits bills to the quorum. Returns how many it has committed: all or none.
async fn submit_bills(client: &ControlClient, bills: Vec<Bill>) -> usize {
    let count = bills.len();
    if count == 0 {
        return 0;
    }
    match client.submit(Command::Bill(bills), SUBMIT_TIMEOUT).await {
        Ok(Reply::Billed(billed)) => {
            let refused = billed
                .iter()
                .filter(|bill_result| **bill_result == Billed::Closed)
                .count();
            if refused > 0 {
                log::error!(
                    "{refused} spooled bills were refused: their holders were sealed before"
                );
            }
            count
        }
        Ok(_) | Err(_) => 0,
    }
}

/// Returns the holders that need a seal of this replica, according to its own state: those that are
/// closed and not sealed by it, and those that all current voters have sealed but that still wait
/// for a voter that has been removed since.
async fn unsealed(replica: &ReplicaHandle) -> Option<(ReplicaStatus, Vec<Holder>)> {
    let status = replica.status().await.ok()?;
    let id = status.id;
    let voters = status.voters.clone();
    let holders = replica
        .peek(move |machine| {
            let mut holders = machine.unsealed(id);
            holders.extend(machine.sealed_by(&voters));
            holders
        })
        .await
        .ok()?;
    (!holders.is_empty()).then_some((status, holders))
}
