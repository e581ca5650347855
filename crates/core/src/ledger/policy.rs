//! How much to grant, and what to ask back.

use crate::command::DrawRow;
use crate::id::Holder;
use crate::ledger::account::Account;
use crate::unit::Tokens;

/// Part of the unallotted tokens that the open holders may draw ahead together: one in this many.
const AHEAD_PART: u64 = 2;

/// Tokens to add to a holder's grant.
///
/// The need is granted whole or not at all; what is asked beyond it, up to the holder's part of
/// what is unallotted, by its share of the recent spending.
pub(super) fn allot(account: &Account, holder: &Holder, granted: Tokens, row: &DrawRow) -> Tokens {
    let need = row.need.saturating_sub(granted);
    if need > account.unallotted {
        return Tokens::ZERO;
    }
    let ahead = part(account, holder, row);
    let asked = row.want.saturating_sub(granted);
    asked.min(ahead).max(need).min(account.unallotted)
}

fn part(account: &Account, holder: &Holder, row: &DrawRow) -> Tokens {
    if account.unmet(holder) > Tokens::ZERO {
        return Tokens::ZERO;
    }
    let open = account.shares.values().filter(|share| !share.closed);
    let rates = open.fold(0_u64, |sum, share| {
        sum.saturating_add(share.rate.0).saturating_add(1)
    });
    let own = row.rate.0.saturating_add(1);
    let ahead = u128::from(account.unallotted.0 / AHEAD_PART);
    let share = ahead * u128::from(own) / u128::from(rates.max(own));
    Tokens(u64::try_from(share).unwrap_or(u64::MAX))
}

/// Tokens to ask back from a holder, for others run short.
pub(super) fn recall(account: &Account, holder: &Holder) -> Tokens {
    let rest = account
        .shares
        .get(holder)
        .map_or(Tokens::ZERO, |share| share.rest);
    account
        .unmet(holder)
        .saturating_sub(account.unallotted)
        .min(rest)
}
