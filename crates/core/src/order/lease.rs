//! Who gives the orders in a data centre: a quorum lease with a rising fencing number.

use serde::Deserialize;
use serde::Serialize;

use crate::command::Lead;
use crate::command::Refusal;
use crate::id::DataCentre;
use crate::id::RouterId;
use crate::map::Map;
use crate::unit::Fence;
use crate::unit::Millis;

/// Longest lease.
pub const MAX_LEASE_MILLIS: Millis = Millis(60_000);

/// Most data centres.
const MAX_CENTRES: usize = 1_000;

/// Leases by data centre. Times are the leaders' stamps.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Leases {
    leases: Map<DataCentre, Lease>,
}

/// The lease of one data centre.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Lease {
    /// Who gives the orders.
    pub router: RouterId,
    /// Number to put on each order; upstreams refuse lower ones.
    pub fence: Fence,
    /// When the lease ends.
    pub until: Millis,
}

impl Leases {
    /// The lease of a data centre, ended or not.
    pub fn get(&self, centre: &DataCentre) -> Option<&Lease> {
        self.leases.get(centre)
    }

    /// Grants or extends a lease. The holder keeps its number; anyone else gets a higher one, and
    /// only once the lease has ended. A number is never given to two routers.
    ///
    /// # Errors
    ///
    /// [`Refusal::Led`], [`Refusal::Full`].
    pub(crate) fn lead(&mut self, at: Millis, lead: &Lead) -> Result<Fence, Refusal> {
        let until = at + lead.span.min(MAX_LEASE_MILLIS);
        let Some(lease) = self.leases.get_mut(&lead.centre) else {
            return self.first(lead, until);
        };
        if lease.router == lead.router {
            lease.until = lease.until.max(until);
            return Ok(lease.fence);
        }
        if at < lease.until {
            return Err(Refusal::Led {
                router: lease.router.clone(),
                until: lease.until,
            });
        }
        lease.router = lead.router.clone();
        lease.fence = lease.fence.next();
        lease.until = until;
        Ok(lease.fence)
    }

    fn first(&mut self, lead: &Lead, until: Millis) -> Result<Fence, Refusal> {
        if self.leases.len() >= MAX_CENTRES {
            return Err(Refusal::Full);
        }
        let lease = Lease {
            router: lead.router.clone(),
            fence: Fence::ZERO.next(),
            until,
        };
        let fence = lease.fence;
        self.leases.insert(lead.centre.clone(), lease);
        Ok(fence)
    }

    /// All leases, ended or not.
    pub fn iter(&self) -> impl Iterator<Item = (&DataCentre, &Lease)> {
        self.leases.iter()
    }
}
