//! Evacuation of data centres: operators order that no new work goes to the upstreams there.

use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::command::Refusal;
use crate::id::DataCentre;

/// Most data centres evacuated at once. All of them fit in one gossip packet.
pub const MAX_EVACUATIONS: usize = 64;

/// Longest name of a data centre in an order, in bytes.
pub const MAX_CENTRE_BYTES: usize = 128;

/// Order to evacuate a data centre, or its withdrawal.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Evacuate {
    /// The data centre.
    pub centre: DataCentre,
    /// Whether the data centre is to be evacuated; otherwise an earlier order is withdrawn.
    pub active: bool,
    /// Whether the submitter knows the data centre from its settings, or from a node or an upstream
    /// there. Otherwise a router must have joined from it.
    pub listed: bool,
}

/// The evacuated data centres.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Evacuations {
    /// Number of changes so far. Of two states, that with the higher version is newer.
    pub version: u64,
    /// The data centres whose upstreams get no new work.
    pub centres: BTreeSet<DataCentre>,
}

impl Evacuations {
    /// Returns whether a data centre is evacuated.
    pub fn contains(&self, centre: &DataCentre) -> bool {
        self.centres.contains(centre)
    }

    /// Takes over a newer state. Returns whether `other` was newer.
    pub fn merge(&mut self, other: &Self) -> bool {
        let is_newer = other.version > self.version;
        if is_newer {
            *self = other.clone();
        }
        is_newer
    }

    /// Applies an order. `is_known` tells whether a router joined from the data centre. Returns
    /// whether the order changed anything; a resent one does not.
    ///
    /// # Errors
    ///
    /// [`Refusal::BadCentre`], [`Refusal::NoCentre`] and [`Refusal::Full`]; nothing is changed.
    pub(crate) fn apply(&mut self, order: &Evacuate, is_known: bool) -> Result<bool, Refusal> {
        let centre = &order.centre;
        if !is_name(centre.as_str()) {
            return Err(Refusal::BadCentre);
        }
        let is_evacuated = self.contains(centre);
        if !order.listed && !is_known && !is_evacuated {
            return Err(Refusal::NoCentre(centre.clone()));
        }
        if order.active && !is_evacuated && self.centres.len() >= MAX_EVACUATIONS {
            return Err(Refusal::Full);
        }
        let changed = match order.active {
            true => self.centres.insert(centre.clone()),
            false => self.centres.remove(centre),
        };
        self.version += u64::from(changed);
        Ok(changed)
    }
}

/// Returns whether a text can be the name of a data centre.
fn is_name(text: &str) -> bool {
    let is_odd = |letter: char| letter.is_whitespace() || letter.is_control();
    !text.is_empty() && text.len() <= MAX_CENTRE_BYTES && !text.contains(is_odd)
}
