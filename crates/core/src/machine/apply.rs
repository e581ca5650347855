//! Application of commands: one method for each.

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
use crate::evacuation::Evacuate;
use crate::id::Fingerprint;
use crate::id::Holder;
use crate::id::Operator;
use crate::id::RouterId;
use crate::id::SubmissionId;
use crate::machine::Action;
use crate::machine::AuditRow;
use crate::machine::Fault;
use crate::machine::Machine;
use crate::machine::hosts::JoinOutcome;
use crate::machine::submissions;
use crate::route::Adopt;
use crate::unit::Incarnation;
use crate::unit::Tokens;

/// Subject of audit rows on changes of the configuration.
const CONFIG_SUBJECT: &str = "configuration";

/// Subject of audit rows on changes of the pass-through routes.
const ROUTES_SUBJECT: &str = "routes";

/// States of a data centre in audit rows.
const IN_USE: &str = "in use";
const EVACUATED: &str = "evacuated";

impl Machine {
    /// Applies one command of the agreed log. The outcome depends on the state and the command
    /// alone, so all replicas that apply the same log reach the same state and replies.
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
            Command::Evacuate(order) => self.evacuate(operator, order),
        }
    }

    fn join(&mut self, operator: &Operator, join: &Join) -> Reply {
        let (incarnation, replaced) = match self.hosts.join(join) {
            JoinOutcome::New(incarnation, replaced) => (incarnation, replaced),
            JoinOutcome::Resent(incarnation) => return Reply::Joined(incarnation),
            JoinOutcome::Closed(incarnation) => {
                let holder = router_holder(join, incarnation);
                return Reply::Refused(Refusal::Closed(holder));
            }
            JoinOutcome::Full => {
                let subject = join.host.as_str();
                self.record_audit(operator, Action::Join, subject, "", "", Some(Refusal::Full));
                return Reply::Refused(Refusal::Full);
            }
        };
        if let Some(replaced) = replaced {
            self.close(operator, Action::Replace, &replaced);
        }
        let holder = router_holder(join, incarnation);
        let centre = join.centre.as_str();
        self.record_audit(
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
        self.record_audit(operator, Action::Leave, &subject, "open", "closed", None);
        reply
    }

    fn retire(&mut self, operator: &Operator, retire: &Retire) -> Reply {
        let Some(router) = self.hosts.retire(retire) else {
            return Reply::Retired(None);
        };
        self.close(operator, Action::Retire, &router);
        Reply::Retired(Some(router.incarnation))
    }

    /// Closes a router that was replaced or retired.
    fn close(&mut self, operator: &Operator, action: Action, router: &RouterId) {
        self.ledger.close(&Holder::Router(router.clone()), false);
        self.claims.close(self.now, router);
        let subject = router.to_string();
        self.record_audit(operator, action, &subject, "open", "closed", None);
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
        let content = submissions::publish_digest(publish);
        if let Some(reply) = self.earlier_reply(&publish.id, content) {
            return self.reply_to_resend(operator, Action::Publish, CONFIG_SUBJECT, reply);
        }
        let before = self.accepted().revision.to_string();
        let config = &mut self.config;
        let outcome = config.publish(self.now, operator, publish, &mut self.ledger);
        let after = self.accepted().revision.to_string();
        let refused = outcome.as_ref().err().cloned();
        let action = Action::Publish;
        self.record_audit(operator, action, CONFIG_SUBJECT, &before, &after, refused);
        self.remember_reply(&publish.id, content, outcome.map(Reply::Accepted))
    }

    fn top_up(&mut self, operator: &Operator, top_up: &TopUp) -> Reply {
        let content = submissions::top_up_digest(top_up);
        let subject = top_up.budget.as_str();
        let earlier_reply = self.earlier_reply(&top_up.id, content);
        if let Some(reply) = earlier_reply.filter(|_| self.fault != Some(Fault::TopUpTwice)) {
            return self.reply_to_resend(operator, Action::TopUp, subject, reply);
        }
        let before = self.prepaid_total(top_up);
        let outcome = self.ledger.top_up(&top_up.budget, top_up.amount);
        let after = self.prepaid_total(top_up);
        let refused = outcome.as_ref().err().cloned();
        self.record_audit(operator, Action::TopUp, subject, &before, &after, refused);
        self.remember_reply(&top_up.id, content, outcome.map(Reply::ToppedUp))
    }

    fn prepaid_total(&self, top_up: &TopUp) -> String {
        let prepaid = self.ledger.prepaid(&top_up.budget);
        prepaid.unwrap_or(Tokens::ZERO).to_string()
    }

    fn seal(&mut self, operator: &Operator, seal: &Seal) -> Reply {
        let is_unsealed = self.ledger.unsealed(seal.replica).contains(&seal.holder);
        let reply = self.ledger.seal(seal);
        if is_unsealed {
            let subject = seal.holder.to_string();
            let after = format!("sealed by {}", seal.replica);
            self.record_audit(operator, Action::Seal, &subject, "closed", &after, None);
        }
        reply
    }

    fn resolve(&mut self, operator: &Operator, resolve: &Resolve) -> Reply {
        let content = submissions::resolve_digest(resolve);
        let subject = format!("{} {}", resolve.holder, resolve.budget);
        if let Some(reply) = self.earlier_reply(&resolve.id, content) {
            return self.reply_to_resend(operator, Action::Resolve, &subject, reply);
        }
        let before = self.unknown_tokens(resolve);
        let outcome = self.ledger.resolve(resolve);
        let after = self.unknown_tokens(resolve);
        let refused = outcome.as_ref().err().cloned();
        self.record_audit(
            operator,
            Action::Resolve,
            &subject,
            &before,
            &after,
            refused,
        );
        self.remember_reply(&resolve.id, content, outcome.map(|()| Reply::Done))
    }

    fn unknown_tokens(&self, resolve: &Resolve) -> String {
        let balance = self.ledger.balance(&resolve.budget);
        let unknown = balance.map_or(Tokens::ZERO, |balance| balance.unknown);
        format!("{unknown} unknown")
    }

    /// Grants or renews the lease to give orders. Only a new lease leaves an audit row: a renewal
    /// and a refusal change nothing.
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
            self.record_audit(operator, Action::Lead, subject, &before, &after, None);
        }
        Reply::Leads(fence)
    }

    /// Puts a set of pass-through routes in force. Publishers resend, so a version that is not
    /// higher changes nothing and leaves no audit row.
    fn adopt(&mut self, operator: &Operator, adopt: &Adopt) -> Reply {
        let before = self.plan.version.to_string();
        if self.plan.adopt(adopt) {
            for row in &adopt.prepaid {
                self.ledger.set_prepaid(&row.budget, row.total);
            }
            let after = self.plan.version.to_string();
            self.record_audit(
                operator,
                Action::Adopt,
                ROUTES_SUBJECT,
                &before,
                &after,
                None,
            );
        }
        Reply::Adopted(self.plan.version)
    }

    /// Orders or withdraws the evacuation of a data centre. A resent order changes nothing and leaves
    /// no audit row.
    fn evacuate(&mut self, operator: &Operator, order: &Evacuate) -> Reply {
        let subject = order.centre.as_str();
        let is_known = self.hosts.has_centre(&order.centre);
        let (before, after) = match order.active {
            true => (IN_USE, EVACUATED),
            false => (EVACUATED, IN_USE),
        };
        let action = Action::Evacuate;
        match self.evacuations.apply(order, is_known) {
            Ok(true) => self.record_audit(operator, action, subject, before, after, None),
            Ok(false) => {}
            Err(refusal) => {
                let refused = Some(refusal.clone());
                self.record_audit(operator, action, subject, "", "", refused);
                return Reply::Refused(refusal);
            }
        }
        Reply::Evacuations(self.evacuations.clone())
    }

    /// Returns the reply to an earlier submission with this id, if there was one.
    fn earlier_reply(&self, id: &SubmissionId, content: Fingerprint) -> Option<Reply> {
        if self.fault == Some(Fault::ForgetSubmission) {
            return None;
        }
        self.submissions.find(id, content)
    }

    /// Returns the earlier reply to a resend. Only a reused id leaves an audit row, as a refused
    /// change.
    fn reply_to_resend(
        &mut self,
        operator: &Operator,
        action: Action,
        subject: &str,
        reply: Reply,
    ) -> Reply {
        if let Reply::Refused(refusal @ Refusal::Reused(_)) = &reply {
            self.record_audit(operator, action, subject, "", "", Some(refusal.clone()));
        }
        reply
    }

    /// Stores the outcome of a submission as the reply to its resends.
    fn remember_reply(
        &mut self,
        id: &SubmissionId,
        content: Fingerprint,
        outcome: Result<Reply, Refusal>,
    ) -> Reply {
        let reply = outcome.unwrap_or_else(Reply::Refused);
        self.submissions.insert(id, content, &reply);
        reply
    }

    fn record_audit(
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

fn router_holder(join: &Join, incarnation: Incarnation) -> Holder {
    Holder::Router(RouterId {
        host: join.host.clone(),
        incarnation,
    })
}
