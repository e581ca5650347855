//! Takes bills onto this replica's disk while no quorum answers, and hands them in afterwards.
//!
//! The actor owns the file. It submits what is spooled through the client of the control replicas,
//! in order, until the quorum has it. It also seals closed holders: once every voter has sealed a
//! holder, no bill of it can appear any more, and the ledger may free what it left unspent.

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

const PERIOD: Duration = Duration::from_millis(250);
const SUBMIT_TIME: Duration = Duration::from_secs(2);
/// Bills in one command.
const BATCH: usize = 500;

/// Messages of the spool.
#[derive(Debug)]
pub enum SpoolMessage {
    /// Keep these bills, and say when they are synced.
    Keep(Vec<Bill>, RpcReplyPort<Result<(), SpoolError>>),
    /// Hand in what is there, and seal what is closed.
    Tick,
    /// A round of handing in has ended; so many of the oldest bills are agreed on.
    Agreed(usize),
    /// These holders are closed and not yet sealed here.
    Closed(ReplicaStatus, Vec<Holder>),
}

/// What the spool is made with.
pub struct SpoolArgs {
    /// The replica's data folder.
    pub folder: PathBuf,
    /// The replica of this process.
    pub replica: ReplicaHandle,
    /// Client of all replicas, this one included.
    pub client: ControlClient,
    /// Source of ticks.
    pub timer: Timer,
}

/// State of the running actor.
pub struct SpoolState {
    /// Locked by one disk operation at a time, on a thread that may wait.
    spool: Arc<Mutex<Spool>>,
    args: SpoolArgs,
    /// A round of handing in is under way. Rounds run beside the actor, so that bills are kept
    /// while a round waits for a quorum.
    busy: bool,
}

/// The actor.
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
        let mut ticks = args.timer.every(PERIOD);
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
            busy: false,
        })
    }

    async fn handle(
        &self,
        myself: ActorRef<SpoolMessage>,
        message: SpoolMessage,
        state: &mut SpoolState,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            SpoolMessage::Keep(bills, reply) => {
                let kept = state.on_disk(|spool| spool.add(bills)).await?;
                let failed = matches!(kept, Err(SpoolError::Io { .. }));
                // A caller that no longer waits resends; the bill is kept all the same.
                let _ = reply.send(kept);
                if failed {
                    log::error!("the bill spool's disk failed; it stops taking bills");
                    return Err(ActorProcessingErr::from("disk failed"));
                }
            }
            SpoolMessage::Tick => state.round(myself),
            SpoolMessage::Agreed(count) => {
                state.busy = false;
                if count > 0 {
                    state
                        .on_disk(move |spool| spool.remove_committed(count))
                        .await??;
                }
            }
            SpoolMessage::Closed(status, holders) => {
                for holder in holders {
                    state.seal(&status, holder).await?;
                }
            }
        }
        Ok(())
    }
}

impl SpoolState {
    /// Does what waits for the disk on a thread of its own.
    async fn on_disk<T: Send + 'static>(
        &self,
        work: impl FnOnce(&mut Spool) -> T + Send + 'static,
    ) -> Result<T, ActorProcessingErr> {
        let spool = Arc::clone(&self.spool);
        let done = tokio::task::spawn_blocking(move || work(&mut lock(&spool)));
        Ok(done.await?)
    }

    /// Starts a round of handing in, unless one is under way.
    fn round(&mut self, myself: ActorRef<SpoolMessage>) {
        if self.busy {
            return;
        }
        self.busy = true;
        let batch: Vec<Bill> = lock(&self.spool)
            .bills()
            .iter()
            .take(BATCH)
            .cloned()
            .collect();
        let client = self.args.client.clone();
        let replica = self.args.replica.clone();
        tokio::spawn(async move {
            let agreed = hand_in(&client, batch).await;
            // A send fails only when the actor has stopped; then the file keeps the bills.
            let _ = myself.send_message(SpoolMessage::Agreed(agreed));
            if let Some((status, holders)) = unsealed(&replica).await {
                let _ = myself.send_message(SpoolMessage::Closed(status, holders));
            }
        });
    }

    /// Seals a holder on this disk, and tells the quorum when no bill of it is left here.
    async fn seal(&self, status: &ReplicaStatus, holder: Holder) -> Result<(), ActorProcessingErr> {
        let sealed = holder.clone();
        let empty = self.on_disk(move |spool| spool.seal(&sealed)).await??;
        if !empty {
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
            let _ = client.submit(Command::Seal(seal), SUBMIT_TIME).await;
        });
        Ok(())
    }
}

fn lock(spool: &Mutex<Spool>) -> MutexGuard<'_, Spool> {
    spool.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Submits bills. Returns how many the quorum has: all or none.
async fn hand_in(client: &ControlClient, bills: Vec<Bill>) -> usize {
    let count = bills.len();
    if count == 0 {
        return 0;
    }
    match client.submit(Command::Bill(bills), SUBMIT_TIME).await {
        Ok(Reply::Billed(billed)) => {
            let refused = billed.iter().filter(|one| **one == Billed::Closed).count();
            if refused > 0 {
                log::error!("{refused} spooled bills came after their holders were sealed");
            }
            count
        }
        Ok(_) | Err(_) => 0,
    }
}

/// Holders that wait for a seal of this replica, as its own state shows: closed and not sealed by it, or
/// sealed by all voters of today while a voter that is gone since was waited for.
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
