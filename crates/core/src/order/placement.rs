//! Which models and adapters stand on which engines, by demand.

use std::sync::Arc;

use crate::id::Model;
use crate::id::Upstream;
use crate::unit::Millis;
use crate::upstream::Kind;
use crate::upstream::announce::Loaded;

/// Settings of a [`Placement`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PlacementRules {
    /// Least time between two changes of one engine, in milliseconds.
    pub dwell: Millis,
    /// Part of demand over capacity, in thousandths, from which a model is placed once more.
    pub high: u32,
    /// Part of demand over capacity, in thousandths, below which a placement is given up.
    pub low: u32,
}

impl Default for PlacementRules {
    fn default() -> Self {
        Self {
            dwell: Millis(300_000),
            high: 800,
            low: 300,
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

/// An engine as the placement sees it.
#[derive(Clone, Debug)]
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
#[derive(Clone, Debug)]
pub struct Demand {
    /// Which model.
    pub model: Model,
    /// Its adapter, if any.
    pub adapter: Option<Arc<str>>,
    /// Its version.
    pub version: u32,
    /// Requests that run or wait, on average.
    pub busy: u32,
}

impl Demand {
    /// The kind of upstream that it asks for.
    pub fn kind(&self) -> Kind {
        Kind::Model(self.model.clone(), self.adapter.clone())
    }
}

/// Decides on placements with hysteresis.
#[derive(Debug, Default)]
pub struct Placement {
    _rules: PlacementRules,
}

impl Placement {
    /// A placement without history.
    pub fn new(rules: PlacementRules) -> Self {
        Self { _rules: rules }
    }

    /// The next order that brings the engines closer to the demand, if any.
    pub fn plan(&mut self, _now: Millis, _engines: &[Engine], _demand: &[Demand]) -> Option<Order> {
        None
    }
}
