//! Reads the stream of one attempt and passes it on to the caller.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use chestnutnotch_core::limit::Progress;
use chestnutnotch_core::upstream::AttemptOutcome;

use crate::filters::attempt::AttemptReader;
use crate::filters::attempt::EventStream;
use crate::filters::attempt::FinishedAnswer;
use crate::filters::attempt::ReadFault;
use crate::filters::forward::Abort;
use crate::filters::forward::AttemptError;
use crate::filters::forward::ChatRun;
use crate::filters::forward::OpenAttempt;
use crate::filters::output::AnswerFormat;
use crate::filters::output::CallerGone;
use crate::filters::refusal::Execution;
use crate::filters::refusal::Refusal;
use crate::timer::jitter;

const MAX_RESUMES: u32 = 2;
const RESUME_DELAY: Duration = Duration::from_millis(40);

/// How the reading of a stream ended.
enum RelayOutcome {
    Whole(FinishedAnswer),
    CallerGone,
    TimedOut,
    Fault(ReadFault),
}

impl ChatRun {
    /// Reads the answer of an open attempt, resuming it if it breaks off.
    pub(super) async fn read_answer(
        &mut self,
        mut source: EventStream,
        open: OpenAttempt,
        mut progress: Progress,
    ) -> Result<(FinishedAnswer, OpenAttempt), AttemptError> {
        let mut reader = AttemptReader::new(Arc::clone(&open.request_id));
        let mut resumes = 0;
        loop {
            let outcome = self.relay(&mut source, &mut reader, &mut progress).await;
            match outcome {
                RelayOutcome::Whole(finish) => {
                    source.drain();
                    self.chain
                        .upstreams
                        .end(open.pick.attempt, AttemptOutcome::Completed);
                    return Ok((finish, open));
                }
                RelayOutcome::CallerGone => {
                    self.abandon(open, AttemptOutcome::Neutral);
                    return Err(AttemptError::Abort(Abort::CallerGone));
                }
                RelayOutcome::TimedOut => {
                    return Err(self.end_unknown(open, AttemptOutcome::TimedOut));
                }
                RelayOutcome::Fault(ReadFault::Interrupted) if resumes < MAX_RESUMES => {
                    resumes += 1;
                    match self.resume(&open, &mut reader).await {
                        Some(resumed) => source = resumed,
                        None => return Err(self.end_unknown(open, AttemptOutcome::Broken)),
                    }
                }
                RelayOutcome::Fault(ReadFault::Diverged) => {
                    self.chain.metrics.retries.add("diverged");
                    self.execution = Execution::Ran;
                    self.abandon(open, AttemptOutcome::Neutral);
                    return Err(AttemptError::Abort(Refusal::Failed(Execution::Ran).into()));
                }
                RelayOutcome::Fault(_) => {
                    return Err(self.end_unknown(open, AttemptOutcome::Broken));
                }
            }
        }
    }

    /// Opens the rest of a broken stream on the same upstream.
    async fn resume(&self, open: &OpenAttempt, reader: &mut AttemptReader) -> Option<EventStream> {
        tokio::time::sleep(jitter(RESUME_DELAY)).await;
        reader.discard_end();
        let within = self
            .time_left()
            .min(Duration::from_millis(self.spec.between.0));
        let client = &self.chain.client;
        let address = open.pick.address;
        let resumed =
            EventStream::resume(client, address, &open.request_id, reader.tokens(), within).await;
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
        source: &mut EventStream,
        reader: &mut AttemptReader,
        progress: &mut Progress,
    ) -> RelayOutcome {
        loop {
            let wait = progress.next_timeout().min(self.deadline);
            let wait = wait.saturating_sub(self.chain.timer.now());
            let next = tokio::select! {
                biased;
                next = source.next_events() => next,
                () = self.output.caller_gone() => {
                    if self.guard.joined() {
                        self.output.detach();
                        continue;
                    }
                    return RelayOutcome::CallerGone;
                }
                () = tokio::time::sleep(Duration::from_millis(wait.0)) => return RelayOutcome::TimedOut,
            };
            let part = next.and_then(|events| self.read_events(events, reader, progress));
            let part = match part {
                Ok(part) => part,
                Err(fault) => return RelayOutcome::Fault(fault),
            };
            if let Some(outcome) = self.deliver(part).await {
                return outcome;
            }
            if let Some(mut finish) = reader.take_answer() {
                finish.held_events = reader.with_first_id(finish.held_events, &self.delivered);
                return RelayOutcome::Whole(finish);
            }
        }
    }

    fn read_events(
        &mut self,
        events: Bytes,
        reader: &mut AttemptReader,
        progress: &mut Progress,
    ) -> Result<Bytes, ReadFault> {
        let before = reader.tokens();
        let part = reader.read_events(events, &mut self.delivered)?;
        if reader.tokens() > before {
            progress.token(self.chain.timer.now());
        }
        Ok(part)
    }

    async fn deliver(&mut self, part: Bytes) -> Option<RelayOutcome> {
        if part.is_empty() || self.output.format() == AnswerFormat::Json {
            return None;
        }
        let left = self.time_left();
        match tokio::time::timeout(left, self.output.send(part)).await {
            Ok(Ok(())) => None,
            Ok(Err(CallerGone)) if self.guard.joined() => {
                self.output.detach();
                None
            }
            Ok(Err(CallerGone)) => Some(RelayOutcome::CallerGone),
            Err(_) => Some(RelayOutcome::TimedOut),
        }
    }
}
