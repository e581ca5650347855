//! Claims of non-idempotent calls.
#![allow(clippy::panic, clippy::unwrap_used)]

mod state;

use chestnutnotch_core::command::CallEnd;
use chestnutnotch_core::command::Claim;
use chestnutnotch_core::command::ClaimReply;
use chestnutnotch_core::command::Command;
use chestnutnotch_core::command::Conclude;
use chestnutnotch_core::command::Recorded;
use chestnutnotch_core::command::Refusal;
use chestnutnotch_core::command::Reply;
use chestnutnotch_core::id::Fingerprint;
use chestnutnotch_core::machine::Machine;

use state::*;

fn claim(machine: &mut Machine, host: &str, nonce: u64) -> Reply {
    claim_with_body(machine, host, nonce, "one pair of skis")
}

fn claim_with_body(machine: &mut Machine, host: &str, nonce: u64, body: &str) -> Reply {
    let command = Command::Claim(Claim {
        id: request("k"),
        body: Fingerprint::of(body),
        service: "desk".into(),
        router: router(host, 1),
        nonce,
    });
    apply(machine, command)
}

fn conclude(machine: &mut Machine, host: &str, nonce: u64, end: CallEnd) -> Reply {
    let command = Command::Conclude(Conclude {
        id: request("k"),
        router: router(host, 1),
        nonce,
        end,
    });
    apply(machine, command)
}

fn two_routers() -> Machine {
    let mut machine = Machine::default();
    apply(&mut machine, join("desk-1", 1));
    apply(&mut machine, join("desk-2", 1));
    machine
}

fn answer() -> Recorded {
    Recorded {
        status: 201,
        kind: "application/json".into(),
        body: b"{}".as_slice().into(),
    }
}

const GRANTED: Reply = Reply::Claim(ClaimReply::Granted);
const RUNNING: Reply = Reply::Claim(ClaimReply::Running);
const UNKNOWN: Reply = Reply::Claim(ClaimReply::Unknown);
const NO_CLAIM: Reply = Reply::Refused(Refusal::NoClaim);

fn one_attempt_holds_claim() {
    let mut machine = two_routers();
    assert_eq!(claim(&mut machine, "desk-1", 1), GRANTED);
    assert_eq!(claim(&mut machine, "desk-1", 1), GRANTED);
    assert_eq!(claim(&mut machine, "desk-1", 2), RUNNING);
    assert_eq!(claim(&mut machine, "desk-2", 1), RUNNING);
    let other = claim_with_body(&mut machine, "desk-2", 1, "two pairs");
    assert_eq!(other, Reply::Claim(ClaimReply::Mismatch));
}

fn answer_is_recorded() {
    let mut machine = two_routers();
    claim(&mut machine, "desk-1", 1);
    let end = CallEnd::Answered(answer());
    assert_eq!(
        conclude(&mut machine, "desk-1", 1, end.clone()),
        Reply::Concluded
    );
    assert_eq!(conclude(&mut machine, "desk-1", 1, end), Reply::Concluded);
    let recorded = Reply::Claim(ClaimReply::Answered(answer()));
    assert_eq!(claim(&mut machine, "desk-1", 1), recorded);
    assert_eq!(claim(&mut machine, "desk-2", 9), recorded);
    assert_eq!(
        conclude(&mut machine, "desk-1", 1, CallEnd::NotRun),
        Reply::Concluded
    );
    assert_eq!(claim(&mut machine, "desk-2", 9), recorded);
}

fn not_run_releases() {
    let mut machine = two_routers();
    claim(&mut machine, "desk-1", 1);
    assert_eq!(
        conclude(&mut machine, "desk-1", 1, CallEnd::NotRun),
        Reply::Concluded
    );
    assert_eq!(claim(&mut machine, "desk-1", 1), NO_CLAIM);
    assert_eq!(claim(&mut machine, "desk-1", 2), GRANTED);
    assert_eq!(
        conclude(&mut machine, "desk-1", 1, CallEnd::NotRun),
        Reply::Concluded
    );
    assert_eq!(claim(&mut machine, "desk-2", 1), RUNNING);
}

fn late_claim_of_ended_attempt() {
    let mut machine = two_routers();
    assert_eq!(
        conclude(&mut machine, "desk-1", 1, CallEnd::NotRun),
        Reply::Concluded
    );
    assert_eq!(claim(&mut machine, "desk-1", 1), NO_CLAIM);
    assert_eq!(claim(&mut machine, "desk-2", 1), GRANTED);
}

fn closing_leaves_calls_unknown() {
    let mut machine = two_routers();
    claim(&mut machine, "desk-1", 1);
    apply(&mut machine, join("desk-1", 2));
    assert_eq!(claim(&mut machine, "desk-2", 1), UNKNOWN);
    let late = conclude(&mut machine, "desk-1", 1, CallEnd::NotRun);
    assert!(matches!(late, Reply::Refused(Refusal::Closed(_))));
    assert_eq!(claim(&mut machine, "desk-2", 1), UNKNOWN);
}

fn unknown_is_kept() {
    let mut machine = two_routers();
    claim(&mut machine, "desk-1", 1);
    conclude(&mut machine, "desk-1", 1, CallEnd::Unknown);
    assert_eq!(claim(&mut machine, "desk-2", 1), UNKNOWN);
    let late = conclude(&mut machine, "desk-1", 1, CallEnd::Answered(answer()));
    assert_eq!(late, NO_CLAIM);
}

cases! {
    a_call_has_one_claim: one_attempt_holds_claim();
    a_resend_gets_the_recorded_answer: answer_is_recorded();
    a_call_not_run_is_released: not_run_releases();
    a_claim_after_its_conclusion_is_refused: late_claim_of_ended_attempt();
    a_closed_router_leaves_its_calls_unknown: closing_leaves_calls_unknown();
    an_unknown_call_stays_unknown: unknown_is_kept();
}
