//! How documents with pass-through routes cross the network: compressed for callers that can read it.
//!
//! Such a document has hundreds of bytes for each route, most of them alike. A change with
//! thousands of routes goes to all routers at once, and many of them share narrow links.

use std::io;
use std::io::Read;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use chestnutnotch_core::evacuation::Evacuations;
use chestnutnotch_core::route::PublishedPlan;
use chestnutnotch_wire::proto;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use thiserror::Error;

use super::MAX_MESSAGE_BYTES;

/// What a node answers to a request for its routes.
#[derive(Clone, Debug, Default)]
pub struct Held {
    /// The routes; the document is empty unless it is newer than the caller's.
    pub plan: PublishedPlan,
    /// The evacuated data centres.
    pub evacuations: Evacuations,
}

/// Why a document in a reply can't be read.
#[derive(Debug, Error)]
pub enum DocumentError {
    /// The compressed document is damaged.
    #[error("a compressed document is damaged: {0}")]
    Damaged(io::Error),
    /// The document is larger than this limit, in bytes.
    #[error("a compressed document has more than {0} bytes")]
    TooLarge(usize),
}

/// Writes replies with documents. Keeps the last document that it compressed, as many nodes ask for
/// the same one at the same time.
#[derive(Debug, Default)]
pub struct DocumentCache {
    /// Version and compressed document.
    last: Mutex<Option<(u64, Arc<[u8]>)>>,
}

impl DocumentCache {
    /// Builds the reply to a request. The document is left out unless it is newer than the
    /// caller's.
    pub fn reply(
        &self,
        plan: &PublishedPlan,
        evacuations: &Evacuations,
        request: &proto::PlanRequest,
    ) -> proto::PlanReply {
        let is_known = evacuations.version > 0;
        let mut reply = proto::PlanReply {
            version: plan.version,
            evacuations: is_known.then(|| evacuations.clone().into()),
            ..proto::PlanReply::default()
        };
        if plan.version <= request.version {
            return reply;
        }
        let deflated = match request.deflate {
            true => self.deflated(plan),
            false => None,
        };
        reply.deflated = deflated.is_some();
        reply.source = deflated.as_ref().unwrap_or(&plan.source).to_vec();
        reply
    }

    /// Returns the compressed document, or `None` if it can't be compressed.
    fn deflated(&self, plan: &PublishedPlan) -> Option<Arc<[u8]>> {
        let mut last = self.last.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some((version, deflated)) = &*last
            && *version == plan.version
        {
            return Some(Arc::clone(deflated));
        }
        match deflate(&plan.source) {
            Ok(deflated) => {
                let deflated = Arc::from(deflated);
                *last = Some((plan.version, Arc::clone(&deflated)));
                Some(deflated)
            }
            Err(error) => {
                log::error!(error:% = error, version = plan.version; "routes are sent uncompressed");
                None
            }
        }
    }
}

/// Reads the routes and evacuations of a reply.
///
/// # Errors
///
/// See [`DocumentError`].
pub fn read_reply(reply: proto::PlanReply) -> Result<Held, DocumentError> {
    let source = match reply.deflated {
        true => inflate(&reply.source, MAX_MESSAGE_BYTES)?,
        false => reply.source,
    };
    Ok(Held {
        plan: PublishedPlan {
            version: reply.version,
            source: source.into(),
        },
        evacuations: reply
            .evacuations
            .map_or_else(Evacuations::default, Into::into),
    })
}

fn deflate(source: &[u8]) -> io::Result<Vec<u8>> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(source)?;
    encoder.finish()
}

/// Decompresses a document of at most `limit` bytes.
fn inflate(deflated: &[u8], limit: usize) -> Result<Vec<u8>, DocumentError> {
    let mut source = Vec::new();
    let mut decoder = DeflateDecoder::new(deflated).take(limit as u64 + 1);
    let read = decoder.read_to_end(&mut source);
    read.map_err(DocumentError::Damaged)?;
    if source.len() > limit {
        return Err(DocumentError::TooLarge(limit));
    }
    Ok(source)
}
