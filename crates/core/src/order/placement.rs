//! Placement of models and adapters on engines, by demand.
//!
//! A model or adapter is loaded on one more engine when its load reaches the upper threshold, and
//! unloaded from one only if the load on its remaining engines stays below the lower threshold.
//! This hysteresis and a cooldown for each changed engine keep models from being loaded and
//! unloaded in turn. The last copy of a model is never unloaded.

use std::sync::Arc;

use crate::id::Model;
use crate::id::Upstream;
use crate::map::Map;
use crate::unit::Millis;
use crate::upstream::announce::Loaded;

/// Settings of a [`PlacementPlanner`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PlacementRules {
    /// Least time between two changes of one engine, in milliseconds.
    pub cooldown: Millis,
    /// Load from which a model is loaded on one more engine: demand over capacity, in thousandths.
    pub high_load: u32,
    /// Load below which a model may be unloaded from an engine: demand over the capacity that would
    /// remain, in thousandths.
    pub low_load: u32,
}

impl Default for PlacementRules {
    fn default() -> Self {
        Self {
            cooldown: Millis(300_000),
            high_load: 800,
            low_load: 400,
        }
    }
}

/// An order to an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Order {
    /// Load a model or adapter.
    Load(Upstream, Loaded),
    /// Unload a model or adapter.
    Unload(Upstream, Loaded),
}

impl Order {
    /// Returns the engine that the order is sent to.
    pub fn upstream(&self) -> &Upstream {
        match self {
            Self::Load(upstream, _) | Self::Unload(upstream, _) => upstream,
        }
    }
}

/// State of an engine, as input of the planner.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Engine {
    /// Name of the engine.
    pub upstream: Upstream,
    /// Models and adapters that are loaded.
    pub loaded: Vec<Loaded>,
    /// Most models and adapters that fit into its memory.
    pub max_loaded: u32,
    /// Requests that it runs at once.
    pub slots: u32,
}

/// Demand for one model or adapter.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Demand {
    /// Name of the model.
    pub model: Model,
    /// Name of its adapter, if any.
    pub adapter: Option<Arc<str>>,
    /// Version of the model or adapter.
    pub version: u32,
    /// Average number of running and waiting requests, in thousandths.
    pub concurrency: u64,
}

impl Demand {
    /// Returns the entry that an engine lists while it serves this demand.
    fn to_loaded(&self) -> Loaded {
        Loaded {
            model: self.model.clone(),
            adapter: self.adapter.clone(),
            version: self.version,
        }
    }
}

/// Plans the loading and unloading of models.
#[derive(Clone, Debug, Default)]
pub struct PlacementPlanner {
    rules: PlacementRules,
    /// When each engine in its cooldown was last sent an order.
    last_change: Map<Upstream, Millis>,
}

impl PlacementPlanner {
    /// Creates a planner with no engine in its cooldown.
    pub fn new(rules: PlacementRules) -> Self {
        Self {
            rules,
            last_change: Map::default(),
        }
    }

    /// Returns the next order that adapts the engines to the demand, if any. The cooldown of its
    /// engine starts at `now`.
    pub fn plan(&mut self, now: Millis, engines: &[Engine], demand: &[Demand]) -> Option<Order> {
        let cooldown = self.rules.cooldown;
        self.last_change
            .retain(|_, changed| now < *changed + cooldown);
        let order = self
            .place_missing(engines, demand)
            .or_else(|| self.place_overloaded(engines, demand))
            .or_else(|| self.remove_surplus(engines, demand))?;
        self.last_change.insert(order.upstream().clone(), now);
        Some(order)
    }

    /// Places the model with the highest demand among those that no engine has loaded.
    fn place_missing(&self, engines: &[Engine], demand: &[Demand]) -> Option<Order> {
        let one = demand
            .iter()
            .filter(|one| one.concurrency > 0 && capacity(engines, &one.to_loaded()) == 0)
            .max_by_key(|one| one.concurrency)?;
        self.place(engines, demand, one)
    }

    /// Places one more copy of the model with the highest load at or above the upper threshold.
    fn place_overloaded(&self, engines: &[Engine], demand: &[Demand]) -> Option<Order> {
        let one = demand
            .iter()
            .filter(|one| load(engines, one) >= u64::from(self.rules.high_load))
            .max_by_key(|one| load(engines, one))?;
        self.place(engines, demand, one)
    }

    /// Unloads a model that is not needed on an engine with several models, which leaves more slots
    /// to the others.
    fn remove_surplus(&self, engines: &[Engine], demand: &[Demand]) -> Option<Order> {
        engines
            .iter()
            .filter(|engine| self.is_ready(engine) && engine.loaded.len() > 1)
            .find_map(|engine| self.unload(engines, demand, engine))
    }

    /// Loads a model on the engine with the least load that has room for it. If none has room,
    /// unloads another model to make some.
    fn place(&self, engines: &[Engine], demand: &[Demand], one: &Demand) -> Option<Order> {
        let wanted = one.to_loaded();
        let candidates: Vec<&Engine> = engines
            .iter()
            .filter(|engine| self.is_ready(engine) && !engine.loaded.contains(&wanted))
            .collect();
        let free = candidates
            .iter()
            .filter(|engine| engine.loaded.len() < engine.max_loaded as usize)
            .min_by_key(|engine| (engine_load(engines, demand, engine), &engine.upstream));
        if let Some(engine) = free {
            return Some(Order::Load(engine.upstream.clone(), wanted));
        }
        candidates
            .iter()
            .find_map(|engine| self.unload(engines, demand, engine))
    }

    /// Returns the order to unload the model with the least demand that this engine can do without.
    fn unload(&self, engines: &[Engine], demand: &[Demand], engine: &Engine) -> Option<Order> {
        engine
            .loaded
            .iter()
            .filter(|loaded| self.can_unload(engines, demand, engine, loaded))
            .min_by_key(|loaded| concurrency(demand, loaded))
            .map(|loaded| Order::Unload(engine.upstream.clone(), loaded.clone()))
    }

    /// Whether the other engines can serve the demand for a model below the lower threshold.
    fn can_unload(
        &self,
        engines: &[Engine],
        demand: &[Demand],
        engine: &Engine,
        loaded: &Loaded,
    ) -> bool {
        let remaining = capacity(engines, loaded).saturating_sub(slots_per_model(engine));
        let concurrency = concurrency(demand, loaded);
        remaining > 0 && concurrency / remaining < u64::from(self.rules.low_load)
    }

    /// Whether the cooldown of an engine is over.
    fn is_ready(&self, engine: &Engine) -> bool {
        !self.last_change.contains_key(&engine.upstream)
    }
}

/// Slots of an engine divided evenly among its models.
fn slots_per_model(engine: &Engine) -> u64 {
    let models = engine.loaded.len().max(1) as u64;
    u64::from(engine.slots) / models
}

/// Slots for a model on all engines that have it loaded.
fn capacity(engines: &[Engine], loaded: &Loaded) -> u64 {
    engines
        .iter()
        .filter(|engine| engine.loaded.contains(loaded))
        .map(slots_per_model)
        .sum()
}

/// Demand for a model, as average concurrency in thousandths.
fn concurrency(demand: &[Demand], loaded: &Loaded) -> u64 {
    demand
        .iter()
        .filter(|one| one.to_loaded() == *loaded)
        .map(|one| one.concurrency)
        .sum()
}

/// Load of a model: demand over capacity, in thousandths; zero if no engine has it loaded.
fn load(engines: &[Engine], one: &Demand) -> u64 {
    match capacity(engines, &one.to_loaded()) {
        0 => 0,
        slots => one.concurrency / slots,
    }
}

/// Highest load among the models of an engine, in thousandths.
fn engine_load(engines: &[Engine], demand: &[Demand], engine: &Engine) -> u64 {
    demand
        .iter()
        .filter(|one| engine.loaded.contains(&one.to_loaded()))
        .map(|one| load(engines, one))
        .max()
        .unwrap_or(0)
}
