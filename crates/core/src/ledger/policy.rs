//! How much to grant, and what to ask back.

use crate::command::DrawRow;
use crate::id::Holder;
use crate::ledger::account::Account;
use crate::unit::Tokens;

/// Part of the unspent tokens that open holders may have drawn ahead together, in quarters.
const AHEAD_QUARTERS: u128 = 2;

/// A holder without recent spending counts as one with this part of the mean: one in this many.
const FLOOR_PART: u128 = 4;

/// Tokens to add to a holder's grant.
///
/// The need is granted whole or not at all; beyond it a holder is filled up to its level.
pub(super) fn allot(account: &Account, holder: &Holder, granted: Tokens, row: &DrawRow) -> Tokens {
    let need = row.need.saturating_sub(granted);
    if need > account.unallotted {
        return Tokens::ZERO;
    }
    let asked = row.want.saturating_sub(granted);
    let ahead = asked.min(room(account, holder));
    ahead.max(need).min(account.unallotted)
}

/// What a holder lacks to its level; nothing while others can't have what they need.
fn room(account: &Account, holder: &Holder) -> Tokens {
    if account.unmet(holder) > Tokens::ZERO {
        return Tokens::ZERO;
    }
    level(account, holder).saturating_sub(rest(account, holder))
}

/// Unspent tokens that a holder may have: a part of all that is unspent, by its share of the recent
/// spending. Levels fall as the budget nears its end.
fn level(account: &Account, holder: &Holder) -> Tokens {
    let open = account.shares.values().filter(|share| !share.closed);
    let mut count = 0;
    let mut rates = 0;
    let mut unspent = u128::from(account.unallotted.0);
    for share in open {
        count += 1;
        rates += u128::from(share.rate.0);
        unspent += u128::from(share.rest.0);
    }
    let floor = rates / (FLOOR_PART * count.max(1)) + 1;
    let own = account.shares.get(holder).map_or(0, |share| share.rate.0);
    let weight = u128::from(own) + floor;
    let weights = rates + floor * count.max(1);
    let level = unspent / 4 * AHEAD_QUARTERS * weight / weights;
    Tokens(u64::try_from(level).unwrap_or(u64::MAX))
}

fn rest(account: &Account, holder: &Holder) -> Tokens {
    let share = account.shares.get(holder);
    share.map_or(Tokens::ZERO, |share| share.rest)
}

/// Tokens to ask back from a holder: what others lack.
pub(super) fn recall(account: &Account, holder: &Holder) -> Tokens {
    let lacking = account.unmet(holder).saturating_sub(account.unallotted);
    lacking.min(rest(account, holder))
}
