//! Constructors of commands and other helpers for the tests of the replicated state.
#![allow(dead_code, clippy::panic, clippy::unwrap_used)]

pub mod escrow;
pub mod search;

use std::sync::Arc;

use chestnutnotch_core::command::Bill;
use chestnutnotch_core::command::Command;
use chestnutnotch_core::command::Draw;
use chestnutnotch_core::command::Join;
use chestnutnotch_core::command::Publish;
use chestnutnotch_core::command::Reply;
use chestnutnotch_core::command::Retire;
use chestnutnotch_core::command::Seal;
use chestnutnotch_core::command::Stamped;
use chestnutnotch_core::command::TopUp;
use chestnutnotch_core::config::BudgetSpec;
use chestnutnotch_core::config::Document;
use chestnutnotch_core::config::WorkspaceSpec;
use chestnutnotch_core::id::Budget;
use chestnutnotch_core::id::Fingerprint;
use chestnutnotch_core::id::Holder;
use chestnutnotch_core::id::ReplicaId;
use chestnutnotch_core::id::RequestId;
use chestnutnotch_core::id::RouterId;
use chestnutnotch_core::ledger::Balance;
use chestnutnotch_core::ledger::HolderLedger;
use chestnutnotch_core::machine::Machine;
use chestnutnotch_core::unit::Incarnation;
use chestnutnotch_core::unit::Millis;
use chestnutnotch_core::unit::Revision;
use chestnutnotch_core::unit::Tokens;

/// The voting control replicas.
pub const REPLICAS: [ReplicaId; 3] = [ReplicaId(1), ReplicaId(2), ReplicaId(3)];

/// Declares a test for each name, which runs its expression.
#[macro_export]
macro_rules! cases {
    ($($(#[$meta:meta])* $name:ident: $body:expr;)*) => {
        $($(#[$meta])* #[test] fn $name() { $body })*
    };
}

pub fn budget() -> Budget {
    "season".into()
}

pub fn stamped(command: Command) -> Stamped {
    stamped_at(0, "ayla", command)
}

pub fn stamped_at(at: u64, operator: &str, command: Command) -> Stamped {
    Stamped {
        at: Millis(at),
        operator: operator.into(),
        command,
    }
}

pub fn apply(machine: &mut Machine, command: Command) -> Reply {
    machine.apply(&stamped(command))
}

pub fn document(prepaid: u64) -> Document {
    Document {
        workspaces: vec![workspace("desk", 'a')],
        budgets: vec![BudgetSpec {
            name: budget(),
            prepaid: Tokens(prepaid),
        }],
        ..Document::default()
    }
}

pub fn workspace(name: &str, key: char) -> WorkspaceSpec {
    WorkspaceSpec {
        name: name.into(),
        budget: budget(),
        keys: vec![key.to_string().repeat(64).into()],
        models: vec![],
        services: vec![],
        share: 1,
    }
}

pub fn publish(id: &str, base: u64, document: Document) -> Command {
    Command::Publish(Publish {
        id: id.into(),
        base: Revision(base),
        document: Arc::new(document),
    })
}

pub fn top_up(id: &str, amount: u64) -> Command {
    Command::TopUp(TopUp {
        id: id.into(),
        budget: budget(),
        amount: Tokens(amount),
    })
}

pub fn join(host: &str, nonce: u64) -> Command {
    Command::Join(Join {
        host: host.into(),
        centre: "marmara-1".into(),
        nonce,
    })
}

pub fn retire(host: &str) -> Command {
    Command::Retire(Retire {
        host: host.into(),
        last: None,
    })
}

pub fn seal(replica: ReplicaId, holder: &Holder) -> Command {
    Command::Seal(Seal {
        replica,
        holder: holder.clone(),
        voters: REPLICAS.to_vec(),
    })
}

pub fn router(host: &str, incarnation: u64) -> RouterId {
    RouterId {
        host: host.into(),
        incarnation: Incarnation(incarnation),
    }
}

pub fn request(key: &str) -> RequestId {
    RequestId {
        workspace: "desk".into(),
        key: key.into(),
    }
}

pub fn bill(holder: &Holder, key: &str, attempt: u64, tokens: u64) -> Bill {
    Bill {
        id: request(key),
        body: Fingerprint::of(key),
        budget: budget(),
        holder: holder.clone(),
        attempt,
        prompt: Tokens(0),
        generated: Tokens(tokens),
    }
}

/// Returns a machine with one budget.
pub fn machine(prepaid: u64) -> Machine {
    let mut machine = Machine::default();
    publish_first(&mut machine, prepaid);
    machine
}

/// Publishes the first configuration.
pub fn publish_first(machine: &mut Machine, prepaid: u64) {
    let reply = apply(machine, publish("first", 0, document(prepaid)));
    assert_eq!(reply, Reply::Accepted(Revision(1)));
}

/// Joins a router and returns its side of the ledger, which is still empty.
pub fn join_holder(machine: &mut Machine, host: &str, nonce: u64) -> HolderLedger {
    let Reply::Joined(incarnation) = apply(machine, join(host, nonce)) else {
        panic!("not joined");
    };
    HolderLedger::new(Holder::Router(RouterId {
        host: host.into(),
        incarnation,
    }))
}

/// Sends the report that is due, if any, and applies its answer.
pub fn exchange(machine: &mut Machine, holder_ledger: &mut HolderLedger, now: u64) -> Option<Draw> {
    let draw = holder_ledger.draw(Millis(now))?;
    let Reply::Grants(grants) = apply(machine, Command::Draw(draw.clone())) else {
        panic!("no grants");
    };
    holder_ledger.apply_grants(Millis(now), grants);
    Some(draw)
}

/// Returns the balance of the budget and checks that no token is missing.
pub fn balance(machine: &Machine) -> Balance {
    assert!(machine.ledger().is_conserved());
    machine.ledger().balance(&budget()).unwrap()
}
