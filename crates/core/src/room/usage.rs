//! Recent use of a link by workspaces.
//!
//! Answers the load in which one workspace sends many times its usual: the others keep their part
//! of a router's link.

use crate::id::Workspace;
use crate::map::Map;
use crate::unit::Millis;

/// Time after which bytes count half.
const HALF_LIFE: Millis = Millis(1_000);

/// Use below which a workspace is left out, in bytes.
const MIN_BYTES: u64 = 512;

/// Bytes of admitted bodies by workspace, of which half are forgotten each [`HALF_LIFE`].
#[derive(Debug, Default)]
pub struct Usage {
    bytes: Map<Workspace, u64>,
    total: u64,
    halved: Millis,
}

impl Usage {
    /// Records an admitted body.
    pub fn record(&mut self, now: Millis, workspace: &Workspace, bytes: u64) {
        self.forget(now);
        // Requests without a body use the link for their heads.
        let bytes = bytes.max(MIN_BYTES);
        match self.bytes.get_mut(workspace) {
            Some(used) => *used = used.saturating_add(bytes),
            None => {
                self.bytes.insert(workspace.clone(), bytes);
            }
        }
        self.total = self.total.saturating_add(bytes);
    }

    /// Returns whether a workspace has used more than its equal part, and others have used the
    /// link as well.
    pub fn is_hot(&mut self, now: Millis, workspace: &Workspace) -> bool {
        self.forget(now);
        let part = self.total / self.bytes.len().max(1) as u64;
        let used = self.bytes.get(workspace).copied().unwrap_or(0);
        self.bytes.len() > 1 && used > part
    }

    fn forget(&mut self, now: Millis) {
        let halvings = now.saturating_sub(self.halved).0 / HALF_LIFE.0;
        if halvings == 0 {
            return;
        }
        self.halved += Millis(halvings.saturating_mul(HALF_LIFE.0));
        let shift = halvings.min(63);
        self.bytes.retain(|_, used| {
            *used >>= shift;
            *used >= MIN_BYTES
        });
        self.total = self.bytes.values().sum();
    }
}
