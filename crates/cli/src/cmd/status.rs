//! `status`: shows the control replicas and the configuration revisions of each host.

use chestnutnotch_wire::proto::HostStatus;
use chestnutnotch_wire::proto::StatusReply;
use clap::Args;
use serde::Serialize;

use crate::CliError;
use crate::text;

use super::Context;

/// Shows the control replicas and the routers that report to them
///
/// For each host, it shows the revisions received, validated and in force, and the age of its
/// report.
#[derive(Args, Debug)]
#[command(after_help = "Example:\n  chestnutnotch status --json")]
pub struct Status;

/// State of the fleet, as printed.
#[derive(Debug, Serialize)]
struct StatusOutput {
    replicas: Vec<Replica>,
    hosts: Vec<Host>,
}

/// A control replica, as printed. All fields but the address are empty if it did not answer.
#[derive(Debug, Serialize)]
struct Replica {
    address: String,
    /// Identity of its data folder, in hexadecimal.
    id: String,
    answers: bool,
    leads: bool,
    /// Current term of the replication log.
    term: u64,
    /// Index of the last log entry that it has applied.
    applied: u64,
    /// Revision in force at this replica.
    revision: u64,
    /// Identities of the replicas that vote.
    voters: Vec<String>,
    /// Identities of the replicas that receive the log and do not vote.
    learners: Vec<String>,
}

/// A host with a router, as printed.
#[derive(Debug, Serialize)]
struct Host {
    host: String,
    centre: String,
    /// Incarnation of the router process.
    incarnation: u64,
    /// Latest revision that the router has received.
    received: u64,
    /// Latest revision that the router has found valid.
    validated: u64,
    /// Revision that the router applies to requests.
    in_force: u64,
    /// Age of the report, in milliseconds.
    age: u64,
}

impl Status {
    /// Asks all control replicas and prints their state and that of the hosts.
    pub async fn run(&self, context: &Context) -> Result<(), CliError> {
        let addresses = context.control_addresses()?;
        let answers = context.read_client()?.status(context.timeout()).await;
        if answers.is_empty() {
            return Err(CliError::NoReplicaAnswered(addresses));
        }
        let mut replicas = Vec::new();
        for address in &addresses {
            let answer = answers.iter().find(|(from, _)| from == address);
            replicas.push(Replica::new(
                address.to_string(),
                answer.map(|(_, reply)| reply),
            ));
        }
        let hosts = latest_reports(answers.into_iter().flat_map(|(_, reply)| reply.hosts));
        context.print(&StatusOutput { replicas, hosts }, StatusOutput::text)
    }
}

impl Replica {
    fn new(address: String, reply: Option<&StatusReply>) -> Self {
        let hex = |ids: &[u64]| ids.iter().map(|id| format!("{id:016x}")).collect();
        Self {
            address,
            answers: reply.is_some(),
            id: reply.map_or_else(String::new, |reply| format!("{:016x}", reply.replica)),
            leads: reply.is_some_and(|reply| reply.leads),
            term: reply.map_or(0, |reply| reply.term),
            applied: reply.map_or(0, |reply| reply.applied),
            revision: reply.map_or(0, |reply| reply.revision),
            voters: reply.map_or_else(Vec::new, |reply| hex(&reply.voters)),
            learners: reply.map_or_else(Vec::new, |reply| hex(&reply.learners)),
        }
    }

    fn role(&self) -> &'static str {
        match (self.answers, self.leads) {
            (false, _) => "silent",
            (true, true) => "leader",
            (true, false) if self.learners.contains(&self.id) => "learner",
            (true, false) => "follower",
        }
    }
}

impl StatusOutput {
    fn text(&self) -> String {
        let headings = ["control", "replica", "role", "term", "applied", "revision"];
        let mut rows = vec![headings.map(str::to_owned)];
        rows.extend(self.replicas.iter().map(|replica| {
            [
                replica.address.clone(),
                replica.id.clone(),
                replica.role().to_owned(),
                replica.term.to_string(),
                replica.applied.to_string(),
                replica.revision.to_string(),
            ]
        }));
        let headings = [
            "host",
            "centre",
            "received",
            "validated",
            "in force",
            "age ms",
        ];
        let mut hosts = vec![headings.map(str::to_owned)];
        hosts.extend(self.hosts.iter().map(|host| {
            [
                format!("{}.{}", host.host, host.incarnation),
                host.centre.clone(),
                host.received.to_string(),
                host.validated.to_string(),
                host.in_force.to_string(),
                host.age.to_string(),
            ]
        }));
        format!("{}\n{}", text::table(&rows), text::table(&hosts))
    }
}

/// Returns the latest report of each host. Replicas that do not lead may hold older reports.
fn latest_reports(reports: impl Iterator<Item = HostStatus>) -> Vec<Host> {
    let mut hosts: Vec<Host> = reports
        .filter_map(|status| {
            let report = status.report?;
            Some(Host {
                host: report.host,
                centre: report.centre,
                incarnation: report.incarnation,
                received: report.received,
                validated: report.validated,
                in_force: report.in_force,
                age: status.age,
            })
        })
        .collect();
    hosts.sort_by(|a, b| (&a.host, a.age).cmp(&(&b.host, b.age)));
    hosts.dedup_by(|older, latest| older.host == latest.host);
    hosts
}
