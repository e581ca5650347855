//! Reads the stream of one attempt and passes it on to the caller.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use chestnutnotch_core::limit::Progress;
use chestnutnotch_core::upstream::AttemptOutcome;

use crate::filters::attempt::Finish;
use crate::filters::attempt::ReadFault;
use crate::filters::attempt::Reader;
use crate::filters::attempt::Source;
use crate::filters::forward::Miss;
use crate::filters::forward::Open;
use crate::filters::forward::Run;
use crate::filters::forward::Stop;
use crate::filters::output::Form;
use crate::filters::output::Gone;
use crate::filters::refusal::Ran;
use crate::filters::refusal::Refusal;
use crate::timer::jitter;

const RESUMES: u32 = 2;
const RESUME_PAUSE: Duration = Duration::from_millis(40);

/// How the reading of a stream ended.
enum Relayed {
    Whole(Finish),
    Gone,
    Late,
    Fault(ReadFault),
}

impl Run {
    /// Reads the answer of an open attempt, resuming it if it breaks off.
    pub(super) async fn read(
        &mut self,
        mut source: Source,
        open: Open,
        mut progress: Progress,
    ) -> Result<(Finish, Open), Miss> {
        let mut reader = Reader::new(Arc::clone(&open.id));
        let mut resumes = 0;
        loop {
            let relayed = self.relay(&mut source, &mut reader, &mut progress).await;
            match relayed {
                Relayed::Whole(finish) => {
                    source.drain();
                    self.chain
                        .upstreams
                        .end(open.pick.attempt, AttemptOutcome::Completed);
                    return Ok((finish, open));
                }
                Relayed::Gone => {
                    self.abandon(open, AttemptOutcome::Neutral);
                    return Err(Miss::Stop(Stop::Gone));
                }
                Relayed::Late => return Err(self.lost(open, AttemptOutcome::TimedOut)),
                Relayed::Fault(ReadFault::Cut) if resumes < RESUMES => {
                    resumes += 1;
                    match self.resume(&open, &mut reader).await {
                        Some(resumed) => source = resumed,
                        None => return Err(self.lost(open, AttemptOutcome::Broken)),
                    }
                }
                Relayed::Fault(ReadFault::Diverged) => {
                    self.chain.metrics.retries.add("diverged");
                    self.ran = Ran::Ran;
                    self.abandon(open, AttemptOutcome::Neutral);
                    return Err(Miss::Stop(Refusal::Failed(Ran::Ran).into()));
                }
                Relayed::Fault(_) => return Err(self.lost(open, AttemptOutcome::Broken)),
            }
        }
    }

    /// Opens the rest of a broken stream on the same upstream.
    async fn resume(&self, open: &Open, reader: &mut Reader) -> Option<Source> {
        tokio::time::sleep(jitter(RESUME_PAUSE)).await;
        reader.rewind();
        let within = self.left().min(Duration::from_millis(self.spec.between.0));
        let client = &self.chain.client;
        let address = open.pick.address;
        let resumed = Source::resume(client, address, &open.id, reader.got(), within).await;
        let result = if resumed.is_ok() {
            "resumed"
        } else {
            "refused"
        };
        self.chain.metrics.resumes.add(result);
        resumed.ok()
    }

    async fn relay(
        &mut self,
        source: &mut Source,
        reader: &mut Reader,
        progress: &mut Progress,
    ) -> Relayed {
        loop {
            let due = progress.next_timeout().min(self.deadline);
            let due = due.saturating_sub(self.chain.timer.now());
            let next = tokio::select! {
                biased;
                next = source.next() => next,
                () = self.output.gone() => {
                    if self.lease.joined() {
                        self.output.detach();
                        continue;
                    }
                    return Relayed::Gone;
                }
                () = tokio::time::sleep(Duration::from_millis(due.0)) => return Relayed::Late,
            };
            let part = next.and_then(|whole| self.absorb(whole, reader, progress));
            let part = match part {
                Ok(part) => part,
                Err(fault) => return Relayed::Fault(fault),
            };
            if let Some(stopped) = self.pass(part).await {
                return stopped;
            }
            if let Some(mut finish) = reader.finish() {
                finish.last = reader.renamed(finish.last, &self.passed);
                return Relayed::Whole(finish);
            }
        }
    }

    fn absorb(
        &mut self,
        whole: Bytes,
        reader: &mut Reader,
        progress: &mut Progress,
    ) -> Result<Bytes, ReadFault> {
        let before = reader.got();
        let part = reader.absorb(whole, &mut self.passed)?;
        if reader.got() > before {
            progress.token(self.chain.timer.now());
        }
        Ok(part)
    }

    async fn pass(&mut self, part: Bytes) -> Option<Relayed> {
        if part.is_empty() || self.output.form() == Form::Json {
            return None;
        }
        let left = self.left();
        match tokio::time::timeout(left, self.output.pass(part)).await {
            Ok(Ok(())) => None,
            Ok(Err(Gone)) if self.lease.joined() => {
                self.output.detach();
                None
            }
            Ok(Err(Gone)) => Some(Relayed::Gone),
            Err(_) => Some(Relayed::Late),
        }
    }
}
