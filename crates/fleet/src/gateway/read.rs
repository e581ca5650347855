//! Reads of the published routes by operators, who may be many at once and may read slowly.

use std::time::Duration;

use bytes::Bytes;
use tokio::sync::Mutex;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::edges::rpc::ControlClient;
use crate::edges::rpc::ControlError;

/// Asks for the version of the routes alone: no document is newer than this one.
const VERSION_ONLY: u64 = u64::MAX;

/// The last document that was read. All answers with it share it.
#[derive(Debug, Default)]
pub(super) struct RoutesReader {
    last: Mutex<Document>,
}

#[derive(Clone, Debug, Default)]
struct Document {
    version: u64,
    source: Bytes,
}

impl RoutesReader {
    /// Returns the newest published routes, or `None` if there are none. A quorum confirms their
    /// version for each read; the document is fetched once for each version.
    ///
    /// # Errors
    ///
    /// [`ControlError`] if no quorum answers within `timeout`.
    pub async fn read(
        &self,
        control: &ControlClient,
        timeout: Duration,
    ) -> Result<Option<Bytes>, ControlError> {
        let end = Instant::now() + timeout;
        let newest = control.plan(VERSION_ONLY, timeout).await?.plan.version;
        if newest == 0 {
            return Ok(None);
        }
        let locked = timeout_at(end, self.last.lock()).await;
        let mut last = locked.map_err(|_| ControlError::NoQuorum(timeout))?;
        if last.version < newest {
            let left = end.saturating_duration_since(Instant::now());
            let fetched = control.plan(last.version, left).await?.plan;
            if fetched.version < newest {
                return Err(ControlError::NoQuorum(timeout));
            }
            *last = Document {
                version: fetched.version,
                source: Bytes::from_owner(fetched.source),
            };
        }
        Ok(Some(last.source.clone()))
    }
}
