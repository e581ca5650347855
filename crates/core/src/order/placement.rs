//! Which models and adapters stand on which engines, by demand.
//!
//! A kind is placed once more when its load passes the upper mark, and given up somewhere only if
//! what remains stays below the lower one. This hysteresis and a rest for each changed engine keep
//! models from being loaded and dropped in turn. The last placement of a kind is never given up.

use std::sync::Arc;

use crate::id::Model;
use crate::id::Upstream;
use crate::map::Map;
use crate::unit::Millis;
use crate::upstream::announce::Loaded;

/// Settings of a [`Placement`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PlacementRules {
    /// Least time between two changes of one engine, in milliseconds.
    pub dwell: Millis,
    /// Part of demand over capacity, in thousandths, from which a model is placed once more.
    pub high: u32,
    /// Part of demand over the capacity that would remain, in thousandths, below which a placement
    /// is given up.
    pub low: u32,
}

impl Default for PlacementRules {
    fn default() -> Self {
        Self {
            dwell: Millis(300_000),
            high: 800,
            low: 400,
        }
    }
}

/// An order to an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Order {
    /// Load a model or adapter.
    Load(Upstream, Loaded),
    /// Drop a model or adapter.
    Unload(Upstream, Loaded),
}

impl Order {
    /// Which engine it goes to.
    pub fn upstream(&self) -> &Upstream {
        match self {
            Self::Load(upstream, _) | Self::Unload(upstream, _) => upstream,
        }
    }
}

/// An engine as the placement sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Engine {
    /// Its name.
    pub upstream: Upstream,
    /// What is loaded.
    pub loaded: Vec<Loaded>,
    /// Models that its memory holds.
    pub room: u32,
    /// Requests it runs at once.
    pub slots: u32,
}

/// Demand for one model.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Demand {
    /// Which model.
    pub model: Model,
    /// Its adapter, if any.
    pub adapter: Option<Arc<str>>,
    /// Its version.
    pub version: u32,
    /// Requests that run or wait, on average, in thousandths.
    pub busy: u64,
}

impl Demand {
    fn loaded(&self) -> Loaded {
        Loaded {
            model: self.model.clone(),
            adapter: self.adapter.clone(),
            version: self.version,
        }
    }
}

/// Decides on placements with hysteresis.
#[derive(Clone, Debug, Default)]
pub struct Placement {
    rules: PlacementRules,
    changed: Map<Upstream, Millis>,
}

impl Placement {
    /// A placement without history.
    pub fn new(rules: PlacementRules) -> Self {
        Self {
            rules,
            changed: Map::default(),
        }
    }

    /// The next order that brings the engines closer to the demand, if any. The engine rests after.
    pub fn plan(&mut self, now: Millis, engines: &[Engine], demand: &[Demand]) -> Option<Order> {
        let dwell = self.rules.dwell;
        self.changed.retain(|_, at| now < *at + dwell);
        let order = self
            .missing(engines, demand)
            .or_else(|| self.crowded(engines, demand))
            .or_else(|| self.idle(engines, demand))?;
        self.changed.insert(order.upstream().clone(), now);
        Some(order)
    }

    /// Places a kind that is wanted and stands nowhere.
    fn missing(&self, engines: &[Engine], demand: &[Demand]) -> Option<Order> {
        let one = demand
            .iter()
            .filter(|one| one.busy > 0 && capacity(engines, &one.loaded()) == 0)
            .max_by_key(|one| one.busy)?;
        self.place(engines, demand, one)
    }

    /// Places the most crowded kind once more.
    fn crowded(&self, engines: &[Engine], demand: &[Demand]) -> Option<Order> {
        let one = demand
            .iter()
            .filter(|one| load(engines, one) >= u64::from(self.rules.high))
            .max_by_key(|one| load(engines, one))?;
        self.place(engines, demand, one)
    }

    /// Gives up a placement that is not needed, on an engine whose other models are crowded.
    fn idle(&self, engines: &[Engine], demand: &[Demand]) -> Option<Order> {
        engines
            .iter()
            .filter(|engine| self.rested(engine) && engine.loaded.len() > 1)
            .find_map(|engine| self.spare(engines, demand, engine))
    }

    fn place(&self, engines: &[Engine], demand: &[Demand], one: &Demand) -> Option<Order> {
        let wanted = one.loaded();
        let open: Vec<&Engine> = engines
            .iter()
            .filter(|engine| self.rested(engine) && !engine.loaded.contains(&wanted))
            .collect();
        let free = open
            .iter()
            .filter(|engine| engine.loaded.len() < engine.room as usize)
            .min_by_key(|engine| (engine_load(engines, demand, engine), &engine.upstream));
        if let Some(engine) = free {
            return Some(Order::Load(engine.upstream.clone(), wanted));
        }
        open.iter()
            .find_map(|engine| self.spare(engines, demand, engine))
    }

    /// The order to drop what this engine can best spare, if it can spare anything.
    fn spare(&self, engines: &[Engine], demand: &[Demand], engine: &Engine) -> Option<Order> {
        engine
            .loaded
            .iter()
            .filter(|loaded| self.spared(engines, demand, engine, loaded))
            .min_by_key(|loaded| busy(demand, loaded))
            .map(|loaded| Order::Unload(engine.upstream.clone(), loaded.clone()))
    }

    fn spared(
        &self,
        engines: &[Engine],
        demand: &[Demand],
        engine: &Engine,
        loaded: &Loaded,
    ) -> bool {
        let rest = capacity(engines, loaded).saturating_sub(part(engine));
        let busy = busy(demand, loaded);
        rest > 0 && busy / rest < u64::from(self.rules.low)
    }

    fn rested(&self, engine: &Engine) -> bool {
        !self.changed.contains_key(&engine.upstream)
    }
}

/// Slots of an engine for each of its models, as they share them.
fn part(engine: &Engine) -> u64 {
    let models = engine.loaded.len().max(1) as u64;
    u64::from(engine.slots) / models
}

fn capacity(engines: &[Engine], loaded: &Loaded) -> u64 {
    engines
        .iter()
        .filter(|engine| engine.loaded.contains(loaded))
        .map(part)
        .sum()
}

fn busy(demand: &[Demand], loaded: &Loaded) -> u64 {
    demand
        .iter()
        .filter(|one| one.loaded() == *loaded)
        .map(|one| one.busy)
        .sum()
}

/// Demand over capacity, in thousandths.
fn load(engines: &[Engine], one: &Demand) -> u64 {
    match capacity(engines, &one.loaded()) {
        0 => 0,
        slots => one.busy / slots,
    }
}

/// Highest load among the models of an engine.
fn engine_load(engines: &[Engine], demand: &[Demand], engine: &Engine) -> u64 {
    demand
        .iter()
        .filter(|one| engine.loaded.contains(&one.loaded()))
        .map(|one| load(engines, one))
        .max()
        .unwrap_or(0)
}
