//! Reports the state of a control replica in the log and in the metrics.

use std::sync::Arc;
use std::time::Duration;

use chestnutnotch_core::unit::Millis;

use super::replica::ReplicaHandle;
use super::replica::ReplicaStatus;
use crate::metrics::Metrics;
use crate::timer::Timer;

/// Time between two reports.
const PERIOD: Duration = Duration::from_secs(5);

/// Reports until the replica has stopped.
pub async fn report(replica: ReplicaHandle, metrics: Arc<Metrics>, timer: Timer) {
    let mut ticks = timer.every(PERIOD);
    while ticks.recv().await.is_some() {
        let Ok(status) = replica.status().await else {
            return;
        };
        set_metrics(&status, &metrics);
        log_status(&status);
    }
}

fn set_metrics(status: &ReplicaStatus, metrics: &Metrics) {
    let log = status.log;
    let lacking = status.behind.iter().map(|(_, count)| *count);
    let figures = [
        ("leads", u64::from(status.leads)),
        ("votes", u64::from(status.voters.contains(&status.id))),
        ("voters", status.voters.len() as u64),
        ("learners", status.learners.len() as u64),
        ("leaderless_ms", status.leaderless.0),
        ("log_bytes", log.bytes as u64),
        ("log_entries", log.last.saturating_sub(log.snapshot).0),
        ("snapshot_bytes", log.snapshot_bytes as u64),
        ("disk_full", u64::from(log.disk_full)),
        ("commands_held", u64::from(log.held)),
        ("entries_behind", lacking.max().unwrap_or(0)),
    ];
    for (figure, value) in figures {
        metrics.replica.set(figure, value);
    }
}

/// Logs a line for a replica that leads or that something is wrong with. Others would say the same.
fn log_status(status: &ReplicaStatus) {
    let log = status.log;
    let is_sound = status.leaderless == Millis::ZERO && !log.disk_full;
    if is_sound && !status.leads {
        return;
    }
    let behind = status.behind.iter();
    let behind: Vec<String> = behind.map(|(id, count)| format!("{id}:{count}")).collect();
    log::info!(
        leads = status.leads, voters = status.voters.len(), learners = status.learners.len(), leaderless_ms = status.leaderless.0, last = log.last.0,
        applied = status.applied.0, log_bytes = log.bytes, snapshot = log.snapshot.0,
        snapshot_bytes = log.snapshot_bytes, disk_full = log.disk_full, held = log.held,
        behind:% = behind.join(" ");
        "replica"
    );
}
