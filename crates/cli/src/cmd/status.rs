//! `status`: the control replicas, and how far the configuration is on each host.

use chestnutnotch_wire::proto::HostStatus;
use chestnutnotch_wire::proto::StatusReply;
use clap::Args;
use serde::Serialize;

use crate::CliError;
use crate::text;

use super::Context;

/// Shows the control replicas and the routers that report to them
///
/// For each host: the revision it has received, validated and in force, and the age of its report.
#[derive(Args, Debug)]
#[command(after_help = "Example:\n  chestnutnotch status --json")]
pub struct Status;

#[derive(Debug, Serialize)]
struct View {
    replicas: Vec<Replica>,
    hosts: Vec<Host>,
}

#[derive(Debug, Serialize)]
struct Replica {
    address: String,
    id: String,
    answers: bool,
    leads: bool,
    term: u64,
    applied: u64,
    revision: u64,
    voters: Vec<String>,
    learners: Vec<String>,
}

#[derive(Debug, Serialize)]
struct Host {
    host: String,
    centre: String,
    incarnation: u64,
    received: u64,
    validated: u64,
    in_force: u64,
    age: u64,
}

impl Status {
    /// Runs the command.
    pub async fn run(&self, context: &Context) -> Result<(), CliError> {
        let addresses = context.control()?;
        let answers = context.reader()?.status(context.within()).await;
        if answers.is_empty() {
            return Err(CliError::Silent(addresses));
        }
        let mut replicas = Vec::new();
        for address in &addresses {
            let answer = answers.iter().find(|(from, _)| from == address);
            replicas.push(Replica::new(
                address.to_string(),
                answer.map(|(_, reply)| reply),
            ));
        }
        let hosts = freshest(answers.into_iter().flat_map(|(_, reply)| reply.hosts));
        context.show(&View { replicas, hosts }, View::text)
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

impl View {
    fn text(&self) -> String {
        let head = ["control", "replica", "role", "term", "applied", "revision"];
        let mut rows = vec![head.map(str::to_owned)];
        rows.extend(self.replicas.iter().map(|one| {
            [
                one.address.clone(),
                one.id.clone(),
                one.role().to_owned(),
                one.term.to_string(),
                one.applied.to_string(),
                one.revision.to_string(),
            ]
        }));
        let head = [
            "host",
            "centre",
            "received",
            "validated",
            "in force",
            "age ms",
        ];
        let mut hosts = vec![head.map(str::to_owned)];
        hosts.extend(self.hosts.iter().map(|one| {
            [
                format!("{}.{}", one.host, one.incarnation),
                one.centre.clone(),
                one.received.to_string(),
                one.validated.to_string(),
                one.in_force.to_string(),
                one.age.to_string(),
            ]
        }));
        format!("{}\n{}", text::table(&rows), text::table(&hosts))
    }
}

/// The freshest report of each host; replicas that do not lead may hold old ones.
fn freshest(reports: impl Iterator<Item = HostStatus>) -> Vec<Host> {
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
    hosts.dedup_by(|later, first| later.host == first.host);
    hosts
}
