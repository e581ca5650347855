//! The policy of grants and recalls.

use crate::command::DrawRow;
use crate::id::Holder;
use crate::ledger::account::Account;
use crate::unit::Tokens;

/// Quarters of the unspent tokens that open holders together may hold beyond their needs.
const ALLOTTED_QUARTERS: u128 = 2;

/// Each holder's rate is raised by the mean rate divided by this, so that a holder without recent
/// spending gets tokens too.
const BASE_RATE_DIVISOR: u128 = 4;

/// Returns the tokens to add to a holder's grant.
///
/// The need is granted whole or not at all. Beyond it, a holder gets tokens up to its fair share.
pub(super) fn allot(account: &Account, holder: &Holder, granted: Tokens, row: &DrawRow) -> Tokens {
    let need = row.need.saturating_sub(granted);
    if need > account.unallotted {
        return Tokens::ZERO;
    }
    let asked = row.want.saturating_sub(granted);
    let ahead = asked.min(headroom(account, holder));
    ahead.max(need).min(account.unallotted)
}

/// Returns what a holder lacks to its fair share, or zero while others can't have what they need.
fn headroom(account: &Account, holder: &Holder) -> Tokens {
    if account.unmet(holder) > Tokens::ZERO {
        return Tokens::ZERO;
    }
    fair_share(account, holder).saturating_sub(unspent_of(account, holder))
}

/// Returns the unspent tokens that a holder may have: a part of all unspent tokens, in proportion
/// to its recent spending. Fair shares shrink as the budget nears its end.
fn fair_share(account: &Account, holder: &Holder) -> Tokens {
    let open = account.shares.values().filter(|share| !share.closed);
    let mut count = 0;
    let mut rates = 0;
    let mut unspent = u128::from(account.unallotted.0);
    for share in open {
        count += 1;
        rates += u128::from(share.rate.0);
        unspent += u128::from(share.rest.0);
    }
    let base_rate = rates / (BASE_RATE_DIVISOR * count.max(1)) + 1;
    let own = account.shares.get(holder).map_or(0, |share| share.rate.0);
    let weight = u128::from(own) + base_rate;
    let total_weight = rates + base_rate * count.max(1);
    let fair_share = unspent / 4 * ALLOTTED_QUARTERS * weight / total_weight;
    Tokens(u64::try_from(fair_share).unwrap_or(u64::MAX))
}

/// Returns the unspent tokens of a holder.
fn unspent_of(account: &Account, holder: &Holder) -> Tokens {
    let share = account.shares.get(holder);
    share.map_or(Tokens::ZERO, |share| share.rest)
}

/// Returns the tokens to recall from a holder: what others need beyond the unallotted tokens.
pub(super) fn recall(account: &Account, holder: &Holder) -> Tokens {
    let missing = account.unmet(holder).saturating_sub(account.unallotted);
    missing.min(unspent_of(account, holder))
}
