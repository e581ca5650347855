//! One function for each command.

use std::sync::Arc;

use crate::command::Claim;
use crate::command::Command;
use crate::command::Conclude;
use crate::command::Draw;
use crate::command::Join;
use crate::command::Lead;
use crate::command::Publish;
use crate::command::Refusal;
use crate::command::Reply;
use crate::command::Resolve;
use crate::command::Retire;
use crate::command::Seal;
use crate::command::Stamped;
use crate::command::TopUp;
use crate::id::Fingerprint;
use crate::id::Holder;
use crate::id::Operator;
use crate::id::RouterId;
use crate::id::SubmissionId;
use crate::machine::Action;
use crate::machine::AuditRow;
use crate::machine::Fault;
use crate::machine::Machine;
use crate::machine::hosts::Joined;
use crate::machine::submissions;
use crate::route::Adopt;
use crate::unit::Incarnation;
use crate::unit::Tokens;

/// Subject of configuration changes in the audit trail.
const CONFIGURATION: &str = "configuration";

/// Subject of changes of the pass-through routes in the audit trail.
const ROUTES: &str = "routes";

impl Machine {
    /// Applies one agreed command. The same log gives the same state and replies everywhere.
    pub fn apply(&mut self, stamped: &Stamped) -> Reply {
        self.now = self.now.max(stamped.at);
        let operator = &stamped.operator;
        match &stamped.command {
            Command::Join(join) => self.join(operator, join),
            Command::Draw(draw) => self.ledger.draw(draw),
            Command::Leave(draw) => self.leave(operator, draw),
            Command::Bill(bills) => self.ledger.bill(self.now, bills),
            Command::Claim(claim) => self.claim(claim),
            Command::Conclude(conclude) => self.conclude(conclude),
            Command::Publish(publish) => self.publish(operator, publish),
            Command::TopUp(top_up) => self.top_up(operator, top_up),
            Command::Retire(retire) => self.retire(operator, retire),
            Command::Seal(seal) => self.seal(operator, seal),
            Command::Resolve(resolve) => self.resolve(operator, resolve),
            Command::Lead(lead) => self.lead(operator, lead),
            Command::Adopt(adopt) => self.adopt(operator, adopt),
        }
    }

    fn join(&mut self, operator: &Operator, join: &Join) -> Reply {
        let (incarnation, replaced) = match self.hosts.join(join) {
            Joined::New(incarnation, replaced) => (incarnation, replaced),
            Joined::Known(incarnation) => return Reply::Joined(incarnation),
            Joined::Closed(incarnation) => {
                let holder = router(join, incarnation);
                return Reply::Refused(Refusal::Closed(holder));
            }
            Joined::Full => {
                let subject = join.host.as_str();
                self.record(operator, Action::Join, subject, "", "", Some(Refusal::Full));
                return Reply::Refused(Refusal::Full);
            }
        };
        if let Some(replaced) = replaced {
            self.close(operator, Action::Replace, &replaced);
        }
        let holder = router(join, incarnation);
        let centre = join.centre.as_str();
        self.record(
            operator,
            Action::Join,
            &holder.to_string(),
            "",
            centre,
            None,
        );
        self.ledger.open(holder);
        Reply::Joined(incarnation)
    }

    fn leave(&mut self, operator: &Operator, draw: &Draw) -> Reply {
        let was_open = self.ledger.is_open(&draw.holder);
        let reply = self.ledger.leave(draw);
        if !was_open {
            return reply;
        }
        if let Holder::Router(router) = &draw.holder {
            self.hosts.leave(router);
            self.claims.close(self.now, router);
        }
        let subject = draw.holder.to_string();
        self.record(operator, Action::Leave, &subject, "open", "closed", None);
        reply
    }

    fn retire(&mut self, operator: &Operator, retire: &Retire) -> Reply {
        let Some(router) = self.hosts.retire(retire) else {
            return Reply::Retired(None);
        };
        self.close(operator, Action::Retire, &router);
        Reply::Retired(Some(router.incarnation))
    }

    fn close(&mut self, operator: &Operator, action: Action, router: &RouterId) {
        self.ledger.close(&Holder::Router(router.clone()), false);
        self.claims.close(self.now, router);
        let subject = router.to_string();
        self.record(operator, action, &subject, "open", "closed", None);
    }

    fn claim(&mut self, claim: &Claim) -> Reply {
        match self.require_open(&claim.router) {
            Ok(()) => self.claims.claim(self.now, claim),
            Err(refusal) => Reply::Refused(refusal),
        }
    }

    fn conclude(&mut self, conclude: &Conclude) -> Reply {
        match self.require_open(&conclude.router) {
            Ok(()) => self.claims.conclude(self.now, conclude),
            Err(refusal) => Reply::Refused(refusal),
        }
    }

    fn require_open(&self, router: &RouterId) -> Result<(), Refusal> {
        let holder = Holder::Router(router.clone());
        match self.ledger.is_open(&holder) {
            true => Ok(()),
            false => Err(Refusal::Closed(holder)),
        }
    }

    fn publish(&mut self, operator: &Operator, publish: &Publish) -> Reply {
        let content = submissions::of_publish(publish);
        if let Some(reply) = self.resent(&publish.id, content) {
            return self.repeat(operator, Action::Publish, CONFIGURATION, reply);
        }
        let before = self.accepted().revision.to_string();
        let config = &mut self.config;
        let outcome = config.publish(self.now, operator, publish, &mut self.ledger);
        let after = self.accepted().revision.to_string();
        let refused = outcome.as_ref().err().cloned();
        let action = Action::Publish;
        self.record(operator, action, CONFIGURATION, &before, &after, refused);
        self.answer(&publish.id, content, outcome.map(Reply::Accepted))
    }

    fn top_up(&mut self, operator: &Operator, top_up: &TopUp) -> Reply {
        let content = submissions::of_top_up(top_up);
        let subject = top_up.budget.as_str();
        let resent = self.resent(&top_up.id, content);
        if let Some(reply) = resent.filter(|_| self.fault != Some(Fault::TopUpTwice)) {
            return self.repeat(operator, Action::TopUp, subject, reply);
        }
        let before = self.prepaid(top_up);
        let outcome = self.ledger.top_up(&top_up.budget, top_up.amount);
        let after = self.prepaid(top_up);
        let refused = outcome.as_ref().err().cloned();
        self.record(operator, Action::TopUp, subject, &before, &after, refused);
        self.answer(&top_up.id, content, outcome.map(Reply::ToppedUp))
    }

    fn prepaid(&self, top_up: &TopUp) -> String {
        let prepaid = self.ledger.prepaid(&top_up.budget);
        prepaid.unwrap_or(Tokens::ZERO).to_string()
    }

    fn seal(&mut self, operator: &Operator, seal: &Seal) -> Reply {
        let waits = self.ledger.unsealed(seal.replica).contains(&seal.holder);
        let reply = self.ledger.seal(seal);
        if waits {
            let subject = seal.holder.to_string();
            let after = format!("sealed by {}", seal.replica);
            self.record(operator, Action::Seal, &subject, "closed", &after, None);
        }
        reply
    }

    fn resolve(&mut self, operator: &Operator, resolve: &Resolve) -> Reply {
        let content = submissions::of_resolve(resolve);
        let subject = format!("{} {}", resolve.holder, resolve.budget);
        if let Some(reply) = self.resent(&resolve.id, content) {
            return self.repeat(operator, Action::Resolve, &subject, reply);
        }
        let before = self.unknown(resolve);
        let outcome = self.ledger.resolve(resolve);
        let after = self.unknown(resolve);
        let refused = outcome.as_ref().err().cloned();
        self.record(
            operator,
            Action::Resolve,
            &subject,
            &before,
            &after,
            refused,
        );
        self.answer(&resolve.id, content, outcome.map(|()| Reply::Done))
    }

    fn unknown(&self, resolve: &Resolve) -> String {
        let balance = self.ledger.balance(&resolve.budget);
        let unknown = balance.map_or(Tokens::ZERO, |balance| balance.unknown);
        format!("{unknown} unknown")
    }

    /// A renewal and a refusal while another leads are no changes and leave no row.
    fn lead(&mut self, operator: &Operator, lead: &Lead) -> Reply {
        if let Err(refusal) = self.require_open(&lead.router) {
            return Reply::Refused(refusal);
        }
        let lease = self.leases.get(&lead.centre);
        let before = lease.map(|lease| (lease.router.to_string(), lease.fence));
        let fence = match self.leases.grant(self.now, lead) {
            Ok(fence) => fence,
            Err(refusal) => return Reply::Refused(refusal),
        };
        let is_renewal = before.as_ref().is_some_and(|(_, last)| *last == fence);
        if !is_renewal {
            let before =
                before.map_or(String::new(), |(router, fence)| format!("{router} {fence}"));
            let after = format!("{} {fence}", lead.router);
            let subject = lead.centre.as_str();
            self.record(operator, Action::Lead, subject, &before, &after, None);
        }
        Reply::Leads(fence)
    }

    /// A version that is not higher changes nothing and leaves no row: publishers resend.
    fn adopt(&mut self, operator: &Operator, adopt: &Adopt) -> Reply {
        let before = self.plan.version.to_string();
        if self.plan.adopt(adopt) {
            for row in &adopt.prepaid {
                self.ledger.set_prepaid(&row.budget, row.total);
            }
            let after = self.plan.version.to_string();
            self.record(operator, Action::Adopt, ROUTES, &before, &after, None);
        }
        Reply::Adopted(self.plan.version)
    }

    fn resent(&self, id: &SubmissionId, content: Fingerprint) -> Option<Reply> {
        if self.fault == Some(Fault::ForgetSubmission) {
            return None;
        }
        self.submissions.find(id, content)
    }

    /// Passes on the answer to a resend. A resend changes nothing; a reused id is a refused change.
    fn repeat(
        &mut self,
        operator: &Operator,
        action: Action,
        subject: &str,
        reply: Reply,
    ) -> Reply {
        if let Reply::Refused(refusal @ Refusal::Reused(_)) = &reply {
            self.record(operator, action, subject, "", "", Some(refusal.clone()));
        }
        reply
    }

    fn answer(
        &mut self,
        id: &SubmissionId,
        content: Fingerprint,
        outcome: Result<Reply, Refusal>,
    ) -> Reply {
        let reply = outcome.unwrap_or_else(Reply::Refused);
        self.submissions.insert(id, content, &reply);
        reply
    }

    fn record(
        &mut self,
        operator: &Operator,
        action: Action,
        subject: &str,
        before: &str,
        after: &str,
        refused: Option<Refusal>,
    ) {
        self.trail.push(AuditRow {
            index: 0,
            at: self.now,
            operator: operator.clone(),
            action,
            subject: subject.into(),
            before: before.into(),
            after: Arc::from(after),
            refused,
        });
    }
}

fn router(join: &Join, incarnation: Incarnation) -> Holder {
    Holder::Router(RouterId {
        host: join.host.clone(),
        incarnation,
    })
}
