//! What the control replicas agree on, and the views of it.

use serde::Deserialize;
use serde::Serialize;

use crate::claim::Claims;
use crate::command::Bill;
use crate::config::Accepted;
use crate::config::ConfigStore;
use crate::id::DataCentre;
use crate::id::Holder;
use crate::id::ReplicaId;
use crate::id::RequestId;
use crate::id::RouterId;
use crate::ledger::Ledger;
use crate::machine::Fault;
use crate::machine::audit::AuditFilter;
use crate::machine::audit::AuditRow;
use crate::machine::audit::Trail;
use crate::machine::hosts::Hosts;
use crate::machine::submissions::Submissions;
use crate::order::lease::Leases;
use crate::route::PublishedPlan;
use crate::unit::Millis;

/// All state that the control replicas agree on. A snapshot is its serialised form.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Machine {
    /// Highest stamp so far: leaders' clocks may disagree, this one never goes back.
    pub(super) now: Millis,
    pub(super) ledger: Ledger,
    pub(super) claims: Claims,
    pub(super) config: ConfigStore,
    pub(super) plan: PublishedPlan,
    pub(super) leases: Leases,
    pub(super) hosts: Hosts,
    pub(super) submissions: Submissions,
    pub(super) trail: Trail,
    #[serde(skip)]
    pub(super) fault: Option<Fault>,
}

impl Machine {
    /// A machine that breaks a rule, for checks that have to fail.
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

    /// The configuration in force.
    pub fn accepted(&self) -> &Accepted {
        self.config.accepted()
    }

    /// The configurations accepted so far.
    pub fn config(&self) -> &ConfigStore {
        &self.config
    }

    /// The pass-through routes in force.
    pub fn plan(&self) -> &PublishedPlan {
        &self.plan
    }

    /// The budgets.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// The non-idempotent calls.
    pub fn claims(&self) -> &Claims {
        &self.claims
    }

    /// Who gives the orders in each data centre.
    pub fn leases(&self) -> &Leases {
        &self.leases
    }

    /// The bill of a request, within the horizon.
    pub fn bill(&self, id: &RequestId) -> Option<&Bill> {
        self.ledger.find(id)
    }

    /// Closed holders that a replica has not sealed yet.
    ///
    /// The replica refuses to spool bills of these, submits those it has, then seals.
    pub fn unsealed(&self, replica: ReplicaId) -> Vec<Holder> {
        self.ledger.unsealed(replica)
    }

    /// Closed holders that wait for no seal of these voters, as the group was another one when they
    /// were sealed.
    pub fn sealed_by(&self, voters: &[ReplicaId]) -> Vec<Holder> {
        self.ledger.sealed_by(voters)
    }

    /// Routers that have joined and neither left nor been retired or replaced.
    pub fn routers(&self) -> Vec<(RouterId, DataCentre)> {
        self.hosts.open()
    }

    /// Rows of the audit trail, oldest first.
    pub fn audit(&self, filter: &AuditFilter) -> Vec<AuditRow> {
        self.trail.select(filter)
    }
}
