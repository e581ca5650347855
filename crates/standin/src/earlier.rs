//! Earlier answers of a connection, which faults write once more.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use bytes::Bytes;
use http::Response;
use http::StatusCode;
use http::response;
use http_body_util::BodyExt;

use crate::error::Cut;
use crate::faults::Faults;
use crate::http::Body;
use crate::http::full;

/// What a request asks for, as far as faults tell requests apart.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Purpose {
    /// A chat, or a call to a plain service.
    Work,
    /// The rest of an interrupted stream.
    Resume,
    /// A cancel.
    Cancel,
    /// Anything else.
    Other,
}

/// Answers of one connection so far.
#[derive(Debug, Default)]
pub(crate) struct EarlierAnswers {
    saved: Mutex<Saved>,
}

#[derive(Debug, Default)]
struct Saved {
    /// Latest refusal of a chat or call.
    refusal: Option<Whole>,
    /// Latest answer with status 200, saved if it may be repeated.
    answered: Option<Whole>,
    /// Latest acknowledgement of a cancel.
    cancelled: Option<Whole>,
    /// Whether a stream began.
    streamed: bool,
}

/// An answer with its whole body.
#[derive(Clone, Debug)]
struct Whole {
    head: response::Parts,
    body: Bytes,
}

impl Whole {
    fn response(self) -> Response<Body> {
        Response::from_parts(self.head, full(self.body))
    }
}

impl EarlierAnswers {
    /// Returns whether a resumed stream begins at its first token, as an earlier stream of the
    /// connection did.
    pub fn restarts_stream(&self, faults: &Faults) -> bool {
        faults.repeat_stream && self.lock().streamed
    }

    /// Returns the answer to write: an earlier one if a fault asks for that, or else `answer`, which
    /// is saved.
    ///
    /// # Errors
    ///
    /// [`Cut`] if the body of a refusal or an acknowledgement ends with it.
    pub async fn write(
        &self,
        purpose: Purpose,
        answer: Response<Body>,
        faults: &Faults,
    ) -> Result<Response<Body>, Cut> {
        if let Some(earlier) = self.repeated(purpose, &answer, faults) {
            return Ok(earlier.response());
        }
        let is_ok = answer.status() == StatusCode::OK;
        match purpose {
            Purpose::Work if is_ok && faults.repeat_answer => {
                let whole = collect(answer).await?;
                self.lock().answered = Some(whole.clone());
                Ok(whole.response())
            }
            Purpose::Work if is_ok => {
                self.lock().streamed = true;
                Ok(answer)
            }
            Purpose::Work => {
                let whole = collect(answer).await?;
                self.lock().refusal = Some(whole.clone());
                Ok(whole.response())
            }
            Purpose::Cancel if is_ok => {
                let whole = collect(answer).await?;
                self.lock().cancelled = Some(whole.clone());
                Ok(whole.response())
            }
            Purpose::Resume | Purpose::Cancel | Purpose::Other => Ok(answer),
        }
    }

    /// Returns the earlier answer to write in place of one with status 200.
    fn repeated(
        &self,
        purpose: Purpose,
        answer: &Response<Body>,
        faults: &Faults,
    ) -> Option<Whole> {
        let saved = self.lock();
        if answer.status() != StatusCode::OK {
            return None;
        }
        match purpose {
            Purpose::Work if faults.repeat_refusal => saved.refusal.clone(),
            Purpose::Work if faults.repeat_answer => saved.answered.clone(),
            Purpose::Cancel if faults.repeat_cancel => saved.cancelled.clone(),
            _ => None,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Saved> {
        self.saved.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn collect(answer: Response<Body>) -> Result<Whole, Cut> {
    let (head, body) = answer.into_parts();
    let body = body.collect().await?.to_bytes();
    Ok(Whole { head, body })
}
