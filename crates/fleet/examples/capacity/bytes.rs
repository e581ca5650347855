//! Encoded sizes of messages between processes.

use std::sync::Arc;

use chestnutnotch_core::command::Command;
use chestnutnotch_core::command::Grant;
use chestnutnotch_core::command::Reply;
use chestnutnotch_core::config::Accepted;
use chestnutnotch_core::unit::Revision;
use chestnutnotch_core::unit::Tokens;
use chestnutnotch_wire::proto;
use prost::Message;

use crate::fill;
use crate::meter::print_bytes;

// Sizes that are measured.
const ROWS: [usize; 3] = [1, 10, 100];
const WORKSPACES: [usize; 3] = [10, 100, 290];
const BUDGETS: [usize; 3] = [10, 10_000, 380_000];

/// Prints the sizes of the frequent messages: reports, grants, bills and announcements.
pub fn messages() {
    for rows in ROWS {
        let draw = fill::draw(0, 1_000, 0..rows);
        let grants = (0..rows).map(grant).collect();
        print_bytes("report", rows, command_bytes(Command::Draw(draw)));
        print_bytes(
            "answer to a report",
            rows,
            reply_bytes(Reply::Grants(grants)),
        );
        let bills = (0..rows).map(fill::bill).collect();
        print_bytes("bills", rows, command_bytes(Command::Bill(bills)));
    }
    let announcement = proto::Announcement::from(fill::announcement(1, 100_000));
    print_bytes("announcement", 1, announcement.encoded_len());
}

/// Prints the size of a whole configuration, as a router that watches it gets it.
pub fn configuration() {
    for (workspaces, budgets) in WORKSPACES.into_iter().zip(BUDGETS) {
        for budgets in [0, budgets] {
            let accepted = proto::Accepted::from(Accepted {
                revision: Revision(1_000),
                document: Arc::new(fill::document(workspaces, budgets)),
            });
            let label = format!("configuration of {workspaces} workspaces, by budgets");
            print_bytes(&label, budgets, accepted.encoded_len());
        }
    }
}

/// Returns a grant of tokens of one budget.
fn grant(n: usize) -> Grant {
    Grant {
        budget: fill::budget(n),
        seq: 1_000,
        granted: Tokens(10_000_000),
        exposure: Tokens(5_000),
        recall: Tokens::ZERO,
        unallotted: Tokens(900_000_000),
        spread: Tokens(1_000_000),
        pending: Tokens::ZERO,
    }
}

/// Returns the encoded size of a command.
fn command_bytes(command: Command) -> usize {
    let request = proto::SubmitRequest {
        operator: "host-0001".to_owned(),
        command: Some(command.into()),
    };
    request.encoded_len()
}

/// Returns the encoded size of a reply.
fn reply_bytes(reply: Reply) -> usize {
    proto::Reply::from(reply).encoded_len()
}
