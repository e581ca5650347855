//! The replicated state and read access to it.

use serde::Deserialize;
use serde::Serialize;

use crate::claim::Claims;
use crate::command::Bill;
use crate::config::Accepted;
use crate::config::ConfigStore;
use crate::evacuation::Evacuations;
use crate::id::DataCentre;
use crate::id::Holder;
use crate::id::ReplicaId;
use crate::id::RequestId;
use crate::id::RouterId;
use crate::ledger::Ledger;
use crate::machine::Fault;
use crate::machine::audit::AuditFilter;
use crate::machine::audit::AuditRow;
use crate::machine::audit::AuditTrail;
use crate::machine::hosts::Hosts;
use crate::machine::submissions::Submissions;
use crate::order::lease::Leases;
use crate::route::PublishedPlan;
use crate::unit::Millis;

/// All state that the control replicas agree on. A snapshot is this state in postcard form, so
/// fields are never reordered.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Machine {
    /// Highest timestamp of an applied command. Leaders' clocks may disagree; this one never goes
    /// back.
    pub(super) now: Millis,
    pub(super) ledger: Ledger,
    pub(super) claims: Claims,
    pub(super) config: ConfigStore,
    /// The pass-through routes in force.
    pub(super) plan: PublishedPlan,
    /// Who gives orders in each data centre.
    pub(super) leases: Leases,
    pub(super) hosts: Hosts,
    pub(super) submissions: Submissions,
    pub(super) trail: AuditTrail,
    /// Evacuated data centres. They follow the rest of a snapshot if there was an order.
    #[serde(skip)]
    pub(super) evacuations: Evacuations,
    /// Fault injected by a test.
    #[serde(skip)]
    pub(super) fault: Option<Fault>,
}

impl Machine {
    /// Creates a machine with an injected fault, for tests that have to detect it.
    pub fn with_fault(fault: Fault) -> Self {
        let mut machine = Self {
            fault: Some(fault),
            ..Self::default()
        };
        machine.ledger.set_fault(fault);
        machine.claims.set_fault(fault);
        machine.config.set_fault(fault);
        machine
    }

    /// Returns the configuration in force.
    pub fn accepted(&self) -> &Accepted {
        self.config.accepted()
    }

    /// Returns the accepted configurations.
    pub fn config(&self) -> &ConfigStore {
        &self.config
    }

    /// Returns the pass-through routes in force.
    pub fn plan(&self) -> &PublishedPlan {
        &self.plan
    }

    /// Returns the evacuated data centres.
    pub fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    /// Encodes what follows the machine in a snapshot: the evacuations, if there was an order. Until
    /// then nodes of earlier versions read snapshots.
    ///
    /// # Errors
    ///
    /// If it can't be encoded.
    pub fn encode_appendix(&self) -> postcard::Result<Vec<u8>> {
        match self.evacuations.version {
            0 => Ok(Vec::new()),
            _ => postcard::to_allocvec(&self.evacuations),
        }
    }

    /// Decodes what follows the machine in a snapshot; nothing does in those of earlier versions.
    ///
    /// # Errors
    ///
    /// If it can't be decoded, or bytes are left.
    pub fn restore_appendix(&mut self, bytes: &[u8]) -> postcard::Result<()> {
        if bytes.is_empty() {
            return Ok(());
        }
        let (evacuations, rest) = postcard::take_from_bytes(bytes)?;
        if !rest.is_empty() {
            return Err(postcard::Error::DeserializeBadEncoding);
        }
        self.evacuations = evacuations;
        Ok(())
    }

    /// Returns the ledger of all budgets.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Returns the claims of non-idempotent calls.
    pub fn claims(&self) -> &Claims {
        &self.claims
    }

    /// Returns the leases to give orders, by data centre.
    pub fn leases(&self) -> &Leases {
        &self.leases
    }

    /// Returns the bill of a request, unless it is older than the retention of bills.
    pub fn bill(&self, id: &RequestId) -> Option<&Bill> {
        self.ledger.find_bill(id)
    }

    /// Returns the closed holders that a replica has not sealed yet.
    ///
    /// The replica has to refuse new bills of each, submit those it has spooled, then seal it.
    pub fn unsealed(&self, replica: ReplicaId) -> Vec<Holder> {
        self.ledger.unsealed(replica)
    }

    /// Returns the closed holders that all these voters have sealed but whose sealing is not
    /// complete, because the group had other voters then. One more seal completes each.
    pub fn sealed_by(&self, voters: &[ReplicaId]) -> Vec<Holder> {
        self.ledger.sealed_by(voters)
    }

    /// Returns the routers that have joined and neither left nor been retired or replaced.
    pub fn routers(&self) -> Vec<(RouterId, DataCentre)> {
        self.hosts.open_routers()
    }

    /// Returns rows of the audit trail, oldest first.
    pub fn audit(&self, filter: &AuditFilter) -> Vec<AuditRow> {
        self.trail.select(filter)
    }
}
