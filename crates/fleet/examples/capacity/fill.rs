//! Builds values of the core types in large numbers, for measurements.

use std::net::SocketAddr;
use std::sync::Arc;

use chestnutnotch_core::command::Bill;
use chestnutnotch_core::command::Command;
use chestnutnotch_core::command::Draw;
use chestnutnotch_core::command::DrawRow;
use chestnutnotch_core::command::Join;
use chestnutnotch_core::command::Publish;
use chestnutnotch_core::command::Stamped;
use chestnutnotch_core::config::BudgetSpec;
use chestnutnotch_core::config::Document;
use chestnutnotch_core::config::WorkspaceSpec;
use chestnutnotch_core::id::Budget;
use chestnutnotch_core::id::Fingerprint;
use chestnutnotch_core::id::Holder;
use chestnutnotch_core::id::RequestId;
use chestnutnotch_core::id::RouterId;
use chestnutnotch_core::machine::Machine;
use chestnutnotch_core::unit::Incarnation;
use chestnutnotch_core::unit::Millis;
use chestnutnotch_core::unit::Revision;
use chestnutnotch_core::unit::Tokens;
use chestnutnotch_core::upstream::Announcement;
use chestnutnotch_core::upstream::Load;
use chestnutnotch_core::upstream::Offer;
use chestnutnotch_core::upstream::Phase;
use chestnutnotch_core::upstream::announce::Loaded;

/// Number of models that upstreams serve.
pub const MODELS: usize = 20;
/// Number of data centres.
pub const CENTRES: usize = 17;
/// Prepaid tokens of each budget.
const PREPAID: Tokens = Tokens(1_000_000_000);
/// Unix time of the first command.
const START_TIME: Millis = Millis(1_800_000_000_000);

/// Returns the name of a budget.
pub fn budget(n: usize) -> Budget {
    format!("budget-{n:06}").into()
}

/// Returns the identity of a router in its first incarnation.
pub fn router(n: usize) -> RouterId {
    RouterId {
        host: format!("host-{n:04}").into(),
        incarnation: Incarnation(1),
    }
}

/// Returns a configuration with some workspaces and budgets.
pub fn document(workspaces: usize, budgets: usize) -> Document {
    let workspace = |n: usize| WorkspaceSpec {
        name: format!("workspace-{n:04}").into(),
        budget: budget(n % budgets.max(1)),
        keys: vec![format!("{n:064x}").into()],
        models: Vec::new(),
        services: Vec::new(),
        share: 1,
    };
    let budget_spec = |n: usize| BudgetSpec {
        name: budget(n),
        prepaid: PREPAID,
    };
    Document {
        workspaces: (0..workspaces).map(workspace).collect(),
        budgets: (0..budgets).map(budget_spec).collect(),
        ..Document::default()
    }
}

/// Returns a command stamped with a time `n` milliseconds after the start.
pub fn stamp(n: usize, command: Command) -> Stamped {
    Stamped {
        at: START_TIME + Millis(n as u64),
        operator: "capacity".into(),
        command,
    }
}

/// Returns a ledger machine with some budgets and routers that have joined.
pub fn machine(budgets: usize, routers: usize) -> Machine {
    let mut machine = Machine::default();
    let publish = Publish {
        id: "first".into(),
        base: Revision::ZERO,
        document: Arc::new(document(1, budgets)),
    };
    machine.apply(&stamp(0, Command::Publish(publish)));
    for n in 0..routers {
        let join = Join {
            host: router(n).host,
            centre: "centre-1".into(),
            nonce: n as u64,
        };
        machine.apply(&stamp(0, Command::Join(join)));
    }
    machine
}

/// Returns a report of one router on some budgets.
pub fn draw(holder: usize, seq: u64, budgets: impl IntoIterator<Item = usize>) -> Draw {
    let draw_row = |n| DrawRow {
        budget: budget(n),
        want: Tokens(seq * 10_000),
        need: Tokens(seq * 1_000),
        returned: Tokens::ZERO,
        wasted: Tokens::ZERO,
        exposure: Tokens(5_000),
        rate: Tokens(1_000),
    };
    Draw {
        holder: Holder::Router(router(holder)),
        seq,
        rows: budgets.into_iter().map(draw_row).collect(),
    }
}

/// Returns the identity of a request, with a key as long as a UUID.
pub fn request(n: usize) -> RequestId {
    RequestId {
        workspace: "workspace-0001".into(),
        key: format!("{n:036x}").into(),
    }
}

/// Returns a bill of router 0 on budget 0.
pub fn bill(n: usize) -> Bill {
    Bill {
        id: request(n),
        body: Fingerprint::of(n.to_le_bytes()),
        budget: budget(0),
        holder: Holder::Router(router(0)),
        attempt: n as u64,
        prompt: Tokens(400),
        generated: Tokens(467),
    }
}

/// Returns an announcement of an upstream that serves one model.
pub fn announcement(n: usize, seq: u64) -> Announcement {
    let port = 1_024 + (n % 60_000) as u16;
    Announcement {
        upstream: format!("worker-{n:05}").into(),
        incarnation: Incarnation(1),
        seq,
        address: SocketAddr::from(([10, 0, 0, 1], port)),
        centre: format!("centre-{:02}", n % CENTRES).into(),
        phase: Phase::Ready,
        offer: Offer::Models(vec![Loaded {
            model: format!("model-{:02}", n % MODELS).into(),
            adapter: None,
            version: 1,
        }]),
        slots: 16,
        load: Load {
            running: 8,
            waiting: 1,
            cache: 500,
        },
        fences: true,
        cached: Vec::new(),
        evicted: Vec::new(),
    }
}
