//! Quorum leases with rising fencing numbers, one per data centre. The holder of a lease sends the
//! orders to the upstreams there.

use serde::Deserialize;
use serde::Serialize;

use crate::command::Lead;
use crate::command::Refusal;
use crate::id::DataCentre;
use crate::id::RouterId;
use crate::map::Map;
use crate::unit::Fence;
use crate::unit::Millis;

/// Longest duration of a lease; longer requests are cut to it.
pub const MAX_LEASE_MILLIS: Millis = Millis(60_000);

/// Most data centres with a lease.
const MAX_DATA_CENTRES: usize = 1_000;

/// The leases of all data centres. Times are those that the leader of the quorum puts on commands.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Leases {
    leases: Map<DataCentre, Lease>,
}

/// The lease of one data centre.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Lease {
    /// Router that holds the lease.
    pub router: RouterId,
    /// Fencing number to send with each order; upstreams refuse lower ones.
    pub fence: Fence,
    /// Time at which the lease ends.
    pub until: Millis,
}

impl Leases {
    /// Returns the lease of a data centre, ended or not.
    pub fn get(&self, centre: &DataCentre) -> Option<&Lease> {
        self.leases.get(centre)
    }

    /// Grants or extends a lease. The holder keeps its fencing number; another router receives a
    /// higher one, and only once the lease has ended. No two routers receive the same number.
    ///
    /// # Errors
    ///
    /// [`Refusal::Led`] if another router holds the lease, [`Refusal::Full`] if there are too many
    /// data centres.
    pub(crate) fn grant(&mut self, now: Millis, lead: &Lead) -> Result<Fence, Refusal> {
        let until = now + lead.span.min(MAX_LEASE_MILLIS);
        let Some(lease) = self.leases.get_mut(&lead.centre) else {
            return self.add(lead, until);
        };
        if lease.router == lead.router {
            lease.until = lease.until.max(until);
            return Ok(lease.fence);
        }
        if now < lease.until {
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

    /// Grants the first lease of a data centre.
    fn add(&mut self, lead: &Lead, until: Millis) -> Result<Fence, Refusal> {
        if self.leases.len() >= MAX_DATA_CENTRES {
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

    /// Returns all leases, ended or not.
    pub fn iter(&self) -> impl Iterator<Item = (&DataCentre, &Lease)> {
        self.leases.iter()
    }
}
