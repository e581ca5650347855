//! Groups of control processes on the loopback interface, called through their client.
#![allow(clippy::panic, clippy::unwrap_used)]

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use chestnutnotch::control;
use chestnutnotch::edges::rpc::ControlClient;
use chestnutnotch::edges::rpc::ControlError;
use chestnutnotch::edges::rpc::Referral;
use chestnutnotch::settings::Settings;
use chestnutnotch::timer::Timer;
use chestnutnotch_core::command::Bill;
use chestnutnotch_core::command::Billed;
use chestnutnotch_core::command::Command;
use chestnutnotch_core::command::Draw;
use chestnutnotch_core::command::DrawRow;
use chestnutnotch_core::command::Join;
use chestnutnotch_core::command::Publish;
use chestnutnotch_core::command::Refusal;
use chestnutnotch_core::command::Reply;
use chestnutnotch_core::command::Retire;
use chestnutnotch_core::command::TopUp;
use chestnutnotch_core::config::BudgetSpec;
use chestnutnotch_core::config::Document;
use chestnutnotch_core::id::Fingerprint;
use chestnutnotch_core::id::Holder;
use chestnutnotch_core::id::Operator;
use chestnutnotch_core::id::RequestId;
use chestnutnotch_core::id::RouterId;
use chestnutnotch_core::unit::Incarnation;
use chestnutnotch_core::unit::Revision;
use chestnutnotch_core::unit::Tokens;
use chestnutnotch_wire::proto;
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

/// Bound on a call that has to succeed.
const TIMEOUT: Duration = Duration::from_secs(20);
/// Bound on a call that may fail.
const SHORT_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval at which a test polls a state that is about to change.
const POLL_PERIOD: Duration = Duration::from_millis(50);

/// Defines a test that runs on a new group.
macro_rules! case {
    ($name:ident, |$group:ident| $body:expr) => {
        #[tokio::test(flavor = "multi_thread", worker_threads = 4)]
        async fn $name() {
            #[allow(unused_mut)]
            let mut $group = Group::start().await;
            $body.await;
        }
    };
}

/// A running control process. Dropping `stop` stops it.
struct Process {
    stop: oneshot::Sender<()>,
    task: JoinHandle<()>,
}

/// A group of three control processes with their data directories.
struct Group {
    _folder: tempfile::TempDir,
    /// Data directory of each process.
    data: Vec<PathBuf>,
    /// Address of each process; stays the same across restarts.
    addresses: Vec<SocketAddr>,
    /// Running processes; `None` for one that is stopped.
    processes: Vec<Option<Process>>,
}

impl Group {
    async fn start() -> Self {
        let folder = tempfile::tempdir().unwrap();
        let mut listeners = Vec::new();
        for _ in 0..3 {
            listeners.push(TcpListener::bind("127.0.0.1:0").await.unwrap());
        }
        let addresses = listeners
            .iter()
            .map(|listener| listener.local_addr().unwrap())
            .collect();
        let data = (0..3).map(|n| folder.path().join(n.to_string())).collect();
        let mut group = Self {
            _folder: folder,
            data,
            addresses,
            processes: Vec::new(),
        };
        for (n, listener) in listeners.into_iter().enumerate() {
            let process = group.spawn(n, listener);
            group.processes.push(Some(process));
        }
        group
    }

    /// Starts process `n` on a listener.
    fn spawn(&self, n: usize, listener: TcpListener) -> Process {
        let settings = serde_json::json!({
            "host": { "name": format!("control-{n}"), "centre": "centre" },
            "control": self.addresses,
            "replica": { "listen": self.addresses[n], "data": self.data[n] },
        });
        let settings: Settings = serde_json::from_value(settings).unwrap();
        let (stop, stopped) = oneshot::channel::<()>();
        let task = tokio::spawn(async move {
            let stopped = async {
                let _ = stopped.await;
            };
            control::serve(settings, listener, Timer::new(), stopped)
                .await
                .unwrap();
        });
        Process { stop, task }
    }

    async fn stop(&mut self, n: usize) {
        let process = self.processes[n].take().unwrap();
        drop(process.stop);
        process.task.await.unwrap();
    }

    async fn restart(&mut self, n: usize) {
        let listener = TcpListener::bind(self.addresses[n]).await.unwrap();
        self.processes[n] = Some(self.spawn(n, listener));
    }

    fn client(&self) -> ControlClient {
        ControlClient::new(self.addresses.clone(), Operator::from("operator"))
    }
}

/// A configuration with one budget, based on a revision.
fn publish(id: &str, base: u64, prepaid: u64) -> Command {
    Command::Publish(Publish {
        id: id.into(),
        base: Revision(base),
        document: Arc::new(Document {
            budgets: vec![BudgetSpec {
                name: "season".into(),
                prepaid: Tokens(prepaid),
            }],
            ..Document::default()
        }),
    })
}

fn top_up(id: &str, amount: u64) -> Command {
    Command::TopUp(TopUp {
        id: id.into(),
        budget: "season".into(),
        amount: Tokens(amount),
    })
}

/// Joins a router to the ledger.
async fn join(client: &ControlClient, nonce: u64) -> RouterId {
    let join = Join {
        host: "host-1".into(),
        centre: "centre".into(),
        nonce,
    };
    let Reply::Joined(incarnation) = client.submit(Command::Join(join), TIMEOUT).await.unwrap()
    else {
        panic!("not joined");
    };
    RouterId {
        host: "host-1".into(),
        incarnation,
    }
}

/// A report of a router that asks for tokens and an exposure.
fn draw(router: &RouterId, seq: u64, need: u64, exposure: u64) -> Command {
    Command::Draw(Draw {
        holder: Holder::Router(router.clone()),
        seq,
        rows: vec![DrawRow {
            budget: "season".into(),
            want: Tokens(need),
            need: Tokens(need),
            returned: Tokens::ZERO,
            wasted: Tokens::ZERO,
            exposure: Tokens(exposure),
            rate: Tokens::ZERO,
        }],
    })
}

/// A bill of a router for a request with this key.
fn bill(router: &RouterId, key: &str, generated: u64) -> Bill {
    Bill {
        id: RequestId {
            workspace: "desk".into(),
            key: key.into(),
        },
        body: Fingerprint::of(key),
        budget: "season".into(),
        holder: Holder::Router(router.clone()),
        attempt: 1,
        prompt: Tokens::ZERO,
        generated: Tokens(generated),
    }
}

async fn budget(client: &ControlClient) -> proto::BudgetRow {
    client.budgets("season", TIMEOUT).await.unwrap().remove(0)
}

/// Polls the budget until it fulfils the condition. Fails the test after 400 polls.
async fn budget_until(
    client: &ControlClient,
    condition: impl Fn(&proto::BudgetRow) -> bool,
) -> proto::BudgetRow {
    for _ in 0..400 {
        let row = budget(client).await;
        if condition(&row) {
            return row;
        }
        tokio::time::sleep(POLL_PERIOD).await;
    }
    panic!(
        "the budget did not reach the expected state in time: {:?}",
        budget(client).await
    );
}

case!(a_resent_change_takes_effect_once, |group| async {
    let client = group.client();
    let first = client.submit(publish("a", 0, 100), TIMEOUT).await.unwrap();
    assert_eq!(first, Reply::Accepted(Revision(1)));
    let again = group
        .client()
        .submit(publish("a", 0, 100), TIMEOUT)
        .await
        .unwrap();
    assert_eq!(again, Reply::Accepted(Revision(1)));
    let other = client.submit(publish("b", 0, 100), TIMEOUT).await.unwrap();
    let conflict = Refusal::Conflict {
        current: Revision(1),
        operator: "operator".into(),
    };
    assert_eq!(other, Reply::Refused(conflict));
    for _ in 0..2 {
        let reply = client.submit(top_up("c", 50), TIMEOUT).await.unwrap();
        assert_eq!(reply, Reply::ToppedUp(Tokens(150)));
    }
    assert_eq!(client.history(0, TIMEOUT).await.unwrap().revisions.len(), 1);
});

case!(a_follower_sees_rising_revisions, |group| async {
    let client = group.client();
    let mut held = client.watch();
    held.wait_for(|held| held.is_some()).await.unwrap();
    for revision in 0..5 {
        let name = revision.to_string();
        let reply = client
            .submit(publish(&name, revision, 100), TIMEOUT)
            .await
            .unwrap();
        assert_eq!(reply, Reply::Accepted(Revision(revision + 1)));
    }
    let is_latest = |held: &Option<Arc<_>>| {
        let held: Option<&Arc<chestnutnotch_core::config::Accepted>> = held.as_ref();
        held.is_some_and(|held| held.revision == Revision(5))
    };
    held.wait_for(is_latest).await.unwrap();
    let held = held.borrow().clone().unwrap();
    assert!(held.document.budgets.is_empty());
    let whole = client.history(0, TIMEOUT).await.unwrap().accepted.unwrap();
    assert_eq!(whole.document.unwrap().budgets.len(), 1);
});

case!(a_follower_outlives_the_loss_of_a_replica, |group| async {
    let client = group.client();
    let mut held = client.watch();
    client.submit(publish("a", 0, 100), TIMEOUT).await.unwrap();
    held.wait_for(|held| {
        held.as_ref()
            .is_some_and(|held| held.revision == Revision(1))
    })
    .await
    .unwrap();
    for n in 0..3 {
        group.stop(n).await;
        let base = n as u64 + 1;
        let reply = client
            .submit(publish(&base.to_string(), base, 100), TIMEOUT)
            .await;
        assert_eq!(reply.unwrap(), Reply::Accepted(Revision(base + 1)));
        held.wait_for(|held| {
            held.as_ref()
                .is_some_and(|held| held.revision.0 == base + 1)
        })
        .await
        .unwrap();
        group.restart(n).await;
    }
});

case!(
    a_lone_replica_confirms_nothing_but_keeps_bills,
    |group| async {
        let client = group.client();
        client
            .submit(publish("a", 0, 1_000), TIMEOUT)
            .await
            .unwrap();
        let router = join(&client, 1).await;
        client
            .submit(draw(&router, 1, 400, 100), TIMEOUT)
            .await
            .unwrap();
        group.stop(0).await;
        group.stop(1).await;
        let lone = ControlClient::new([group.addresses[2]], Operator::from("operator"));
        let refused = lone.submit(top_up("b", 1), SHORT_TIMEOUT).await;
        assert!(matches!(refused, Err(ControlError::NoQuorum(_))));
        assert!(lone.watch().borrow().is_none());
        lone.spool(vec![bill(&router, "one", 30)], TIMEOUT)
            .await
            .unwrap();
        lone.spool(
            vec![bill(&router, "one", 30), bill(&router, "two", 5)],
            TIMEOUT,
        )
        .await
        .unwrap();
        group.stop(2).await;
        for n in 0..3 {
            group.restart(n).await;
        }
        let row = budget_until(&client, |row| row.bills == 2).await;
        assert_eq!((row.billed, row.wasted), (35, 0));
    }
);

case!(
    money_of_a_lost_router_is_free_once_all_have_sealed,
    |group| async {
        let client = group.client();
        client
            .submit(publish("a", 0, 1_000), TIMEOUT)
            .await
            .unwrap();
        let router = join(&client, 1).await;
        client
            .submit(draw(&router, 1, 400, 100), TIMEOUT)
            .await
            .unwrap();
        let billed = client
            .submit(Command::Bill(vec![bill(&router, "one", 30)]), TIMEOUT)
            .await
            .unwrap();
        assert_eq!(billed, Reply::Billed(vec![Billed::Recorded]));
        group.stop(2).await;
        let retire = Retire {
            host: "host-1".into(),
            last: None,
        };
        let retired = client
            .submit(Command::Retire(retire), TIMEOUT)
            .await
            .unwrap();
        assert_eq!(retired, Reply::Retired(Some(Incarnation(1))));
        let row = budget(&client).await;
        assert_eq!((row.unknown, row.unallotted), (370, 600));
        group.restart(2).await;
        let row = budget_until(&client, |row| row.unallotted > 600).await;
        assert_eq!((row.unknown, row.unallotted), (100, 870));
        let refused = client.spool(vec![bill(&router, "late", 5)], TIMEOUT).await;
        assert!(matches!(refused, Err(ControlError::Closed)));
    }
);

case!(a_resent_join_gets_the_same_incarnation, |group| async {
    let client = group.client();
    assert_eq!(join(&client, 7).await, join(&group.client(), 7).await);
    assert_eq!(join(&client, 8).await.incarnation, Incarnation(2));
});

case!(silent_replica_is_left_by_the_next_call, |group| async {
    // It accepts connections and never answers, as a frozen process does.
    let silent = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut addresses = vec![silent.local_addr().unwrap()];
    addresses.extend(&group.addresses);
    let client = ControlClient::new(addresses, Operator::from("desk"));
    let mut attempts = 0;
    loop {
        let join = Command::Join(Join {
            host: "desk-1".into(),
            centre: "centre".into(),
            nonce: 7,
        });
        // Shorter than the time that the client waits for one replica, as the timeout of a report
        // to the ledger is. A single call can't try a second replica, so the next call has to start
        // there.
        if client.submit(join, SHORT_TIMEOUT).await.is_ok() {
            break;
        }
        attempts += 1;
        assert!(attempts < 40, "no call left the silent replica");
    }
});

case!(leader_that_others_name_is_found, |group| async {
    let first = group.addresses[0];
    // Each client knows one replica. Two of the clients know only a follower.
    for address in group.addresses.clone() {
        let client = ControlClient::new(vec![address], Operator::from("desk"));
        client.set_referral(Referral::Any);
        let joined = client
            .submit(
                Command::Join(Join {
                    host: "desk-1".into(),
                    centre: "centre".into(),
                    nonce: 7,
                }),
                TIMEOUT,
            )
            .await;
        assert!(
            joined.is_ok(),
            "{address} of {first} and others: {joined:?}"
        );
    }
});

case!(leader_outside_the_list_is_not_followed, |group| async {
    let client = group.client();
    client
        .submit(publish("a", 0, 1_000), TIMEOUT)
        .await
        .unwrap();
    // Each client knows one replica, as a router does that reaches only one of the relays between
    // it and the control replicas. Only the client of the leader may find a quorum.
    let mut served = 0;
    for address in group.addresses.clone() {
        let client = ControlClient::new(vec![address], Operator::from("desk"));
        served += usize::from(client.submit(top_up("a", 1), SHORT_TIMEOUT).await.is_ok());
    }
    assert!(served <= 1, "{served} of 3 clients found the leader");
});
