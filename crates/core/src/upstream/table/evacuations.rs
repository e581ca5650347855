//! Evacuated data centres, whose upstreams get no new attempts.

use crate::evacuation::Evacuations;
use crate::id::DataCentre;
use crate::upstream::Table;

impl Table {
    /// Takes over a newer state of the evacuations. Returns whether `evacuations` was newer.
    pub fn observe_evacuations(&mut self, evacuations: &Evacuations) -> bool {
        if !self.evacuations.merge(evacuations) {
            return false;
        }
        for row in self.rows.values_mut() {
            row.evacuated = self.evacuations.contains(&row.announcement.centre);
        }
        true
    }

    /// Returns the evacuations as this router knows them.
    pub fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    /// Returns whether a known upstream is in a data centre.
    pub fn has_centre(&self, centre: &DataCentre) -> bool {
        let mut rows = self.rows.values();
        rows.any(|row| row.announcement.centre == *centre)
    }
}
