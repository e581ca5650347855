//! Tokens of a pass-through request: set aside at its largest, charged by what was delivered.

use std::sync::Arc;
use std::sync::OnceLock;
use std::time::Duration;

use chestnutnotch_core::id::Budget;
use chestnutnotch_core::ledger::Reservation;
use chestnutnotch_core::roster::Role;
use chestnutnotch_core::unit::Millis;
use chestnutnotch_core::unit::Tokens;

use crate::controllers::allotment::Allotment;
use crate::controllers::nodes::Nodes;
use crate::dialect::Prompt;
use crate::edges::rpc::node;
use crate::edges::rpc::node::Lender;
use crate::filters::refusal::Refusal as Failed;
use crate::gateway::refusal::Refusal;
use crate::timer::Timer;

/// Longest wait for tokens from the ledger: a round trip, an agreement and a sync, with room for a
/// change of leader's first tries.
const GRANT_MILLIS: Millis = Millis(150);

/// Longest wait for another router's tokens: a connection and a round trip within a region.
const LEND_WITHIN: Duration = Duration::from_millis(60);

/// Routers that are asked for tokens before a request is refused.
const LENDERS: usize = 3;

/// The allotments of this router, once it has joined. Cheap to clone.
#[derive(Clone, Debug)]
pub struct Wallet {
    allotment: Arc<OnceLock<Allotment>>,
    nodes: Nodes,
    timer: Timer,
}

impl Wallet {
    /// A wallet without allotments yet.
    pub fn new(nodes: Nodes, timer: Timer) -> Self {
        Self {
            allotment: Arc::default(),
            nodes,
            timer,
        }
    }

    /// Fills the wallet; only the first call counts.
    pub fn fill(&self, allotment: Allotment) {
        if self.allotment.set(allotment).is_err() {
            log::error!("the allotments of this router were set twice");
        }
    }

    /// The allotments, once the router has joined.
    pub fn allotment(&self) -> Option<&Allotment> {
        self.allotment.get()
    }

    /// Sets the most that a request can cost aside.
    ///
    /// # Errors
    ///
    /// [`Refusal::Spent`] if the ledger said a moment ago that the budget can't pay,
    /// [`Refusal::Short`].
    pub async fn charge(&self, budget: &Budget, prompt: &Prompt) -> Result<Charge, Refusal> {
        let allotment = self.allotment.get().ok_or(Refusal::Starting)?;
        let worst = prompt.tokens + prompt.most;
        let until = self.timer.now() + GRANT_MILLIS;
        let held = match allotment.reserve(budget, worst, until).await {
            Ok(held) => Some(held),
            Err(Failed::BudgetSpent) => return Err(Refusal::Spent),
            Err(_) => None,
        };
        let source = match held {
            Some(held) => Source::Own(held),
            None => self.borrow(budget, worst).await?,
        };
        Ok(Charge {
            wallet: self.clone(),
            source: Some(source),
            prompt: prompt.tokens,
            most: prompt.most,
            sent: false,
            delivered: Tokens::ZERO,
        })
    }

    /// Asks other routers for the tokens of one request.
    async fn borrow(&self, budget: &Budget, worst: Tokens) -> Result<Source, Refusal> {
        let mut routers = self.nodes.rpc(Role::Router);
        rand::seq::SliceRandom::shuffle(routers.as_mut_slice(), &mut rand::rng());
        for router in routers.into_iter().take(LENDERS) {
            match node::lend(router, budget, worst, LEND_WITHIN).await {
                Ok(lent) if lent >= worst => {
                    log::info!(budget:% = budget, tokens = worst.0, from:% = router; "tokens borrowed");
                    return Ok(Source::Borrowed);
                }
                Ok(_) => {}
                Err(error) => log::debug!(error:% = error; "no tokens borrowed"),
            }
        }
        Err(Refusal::Short)
    }
}

impl Lender for Wallet {
    fn lend(&self, budget: &Budget, amount: Tokens) -> Tokens {
        let Some(allotment) = self.allotment.get() else {
            return Tokens::ZERO;
        };
        allotment.give(budget, amount)
    }
}

/// Where the tokens of a request come from.
#[derive(Debug)]
enum Source {
    /// Set aside here.
    Own(Reservation),
    /// Charged at the router that lent them; what is not used is lost.
    Borrowed,
}

/// Tokens set aside for one request. Charged when dropped: the prompt once if the request was sent,
/// and what was delivered.
#[derive(Debug)]
pub struct Charge {
    wallet: Wallet,
    source: Option<Source>,
    prompt: Tokens,
    most: Tokens,
    sent: bool,
    delivered: Tokens,
}

impl Charge {
    /// The request is about to be sent and may run.
    pub fn sent(&mut self) {
        self.sent = true;
    }

    /// It did not run after all.
    pub fn unsent(&mut self) {
        self.sent = self.delivered > Tokens::ZERO;
    }

    /// Tokens were delivered to the caller.
    pub fn deliver(&mut self, tokens: Tokens) {
        self.delivered += tokens;
    }

    /// What is to be charged now.
    pub fn due(&self) -> Tokens {
        match self.sent {
            true => self.prompt + self.delivered.min(self.most),
            false => Tokens::ZERO,
        }
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        let due = self.due();
        if let (Some(Source::Own(held)), Some(allotment)) =
            (self.source.take(), self.wallet.allotment.get())
        {
            allotment.spend(held, due);
        }
    }
}
