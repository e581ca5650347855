//! Reads the stream of one attempt and sends it on to the caller.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use chestnutnotch_core::limit::Progress;
use chestnutnotch_core::upstream::AttemptOutcome;

use crate::filters::attempt::AttemptReader;
use crate::filters::attempt::EventStream;
use crate::filters::attempt::FinishedAnswer;
use crate::filters::attempt::OpenError;
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

/// Most times that the stream of one attempt is resumed.
const MAX_RESUMES: u32 = 2;
/// Upper bound of the random delay before a stream is resumed.
const RESUME_DELAY: Duration = Duration::from_millis(40);

/// How relaying a stream ended.
enum RelayEnd {
    /// The answer is complete.
    Whole(FinishedAnswer),
    /// The caller has gone, and no resend waits.
    CallerGone,
    /// A timeout or the deadline passed.
    TimedOut,
    /// The stream broke off or is invalid.
    Fault(ReadFault),
}

impl ChatRun {
    /// Reads the answer of an open attempt, and resumes the stream if it is interrupted.
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
                RelayEnd::Whole(answer) => {
                    source.drain();
                    self.chain
                        .upstreams
                        .end(open.pick.attempt, AttemptOutcome::Completed);
                    return Ok((answer, open));
                }
                RelayEnd::CallerGone => {
                    self.abandon(open, AttemptOutcome::Neutral);
                    return Err(AttemptError::Abort(Abort::CallerGone));
                }
                RelayEnd::TimedOut => return Err(self.end_unknown(open, AttemptOutcome::TimedOut)),
                RelayEnd::Fault(ReadFault::Interrupted) if resumes < MAX_RESUMES => {
                    resumes += 1;
                    match self.resume(&open, &mut reader).await {
                        Some(resumed) => source = resumed,
                        None => return Err(self.end_unknown(open, AttemptOutcome::Broken)),
                    }
                }
                RelayEnd::Fault(ReadFault::Diverged) => {
                    self.chain.metrics.retries.add("diverged");
                    self.execution = Execution::Ran;
                    self.abandon(open, AttemptOutcome::Neutral);
                    return Err(AttemptError::Abort(Refusal::Failed(Execution::Ran).into()));
                }
                RelayEnd::Fault(_) => return Err(self.end_unknown(open, AttemptOutcome::Broken)),
            }
        }
    }

    /// Opens the rest of an interrupted stream on the same upstream.
    async fn resume(&self, open: &OpenAttempt, reader: &mut AttemptReader) -> Option<EventStream> {
        tokio::time::sleep(jitter(RESUME_DELAY)).await;
        if self.chain.upstreams.is_paused(&open.pick.upstream) {
            return None;
        }
        reader.discard_end();
        let timeout = self
            .time_left()
            .min(Duration::from_millis(self.spec.between.0));
        let client = &self.chain.client;
        let address = open.pick.address;
        let resumed =
            EventStream::resume(client, address, &open.request_id, reader.tokens(), timeout).await;
        let resumes = &self.chain.metrics.resumes;
        match resumed {
            Ok(resumed) => {
                resumes.add("resumed");
                Some(resumed)
            }
            Err(error) => {
                if let OpenError::Refused(_, _, pause) = error {
                    let upstreams = &self.chain.upstreams;
                    upstreams.observe_pause(&open.pick, &open.request_id, pause);
                }
                log::info!(target: "upstream", id = &*open.request_id, upstream:% = open.pick.upstream, error:% = error; "chat not resumed");
                resumes.add("refused");
                None
            }
        }
    }

    /// Relays events until the answer is complete or reading fails.
    async fn relay(
        &mut self,
        source: &mut EventStream,
        reader: &mut AttemptReader,
        progress: &mut Progress,
    ) -> RelayEnd {
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
                    return RelayEnd::CallerGone;
                }
                () = tokio::time::sleep(Duration::from_millis(wait.0)) => return RelayEnd::TimedOut,
            };
            let part = next.and_then(|events| self.read_events(events, reader, progress));
            let part = match part {
                Ok(part) => part,
                Err(fault) => return RelayEnd::Fault(fault),
            };
            if let Some(outcome) = self.deliver(part).await {
                return outcome;
            }
            if let Some(mut answer) = reader.take_answer() {
                answer.held_events = reader.with_first_id(answer.held_events, &self.delivered);
                return RelayEnd::Whole(answer);
            }
        }
    }

    /// Reads events, and restarts the timeout of the next token if one arrived.
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

    /// Sends a part to a caller that streams. Returns how relaying ends if that fails.
    async fn deliver(&mut self, part: Bytes) -> Option<RelayEnd> {
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
            Ok(Err(CallerGone)) => Some(RelayEnd::CallerGone),
            Err(_) => Some(RelayEnd::TimedOut),
        }
    }
}
