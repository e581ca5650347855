//! Evacuations of data centres, as this node announces and hears them.

use chestnutnotch_core::evacuation::Evacuations;
use chestnutnotch_core::id::DataCentre;
use chestnutnotch_core::roster::Fact;
use chestnutnotch_core::roster::Urgency;

use super::Nodes;
use super::Source;

impl Nodes {
    /// Announces the evacuations that this node answers for: it has acknowledged them, or is the
    /// first control host that has applied them. It delivers them to all others.
    pub fn announce_evacuations(&self, evacuations: &Evacuations) {
        self.inner
            .upstreams
            .observe_evacuations(evacuations, "control");
        let newest = self.inner.upstreams.evacuations().borrow().clone();
        if newest.version > 0 && self.roster().announce(Fact::Evacuations(newest)) {
            self.inner.wake.notify_one();
        }
    }

    /// Applies evacuations that this replica has applied, and announces them if no other node has yet.
    pub fn apply_evacuations(&self, evacuations: &Evacuations) {
        let held = self.inner.upstreams.evacuations().borrow().version;
        if evacuations.version > held {
            self.announce_evacuations(evacuations);
        }
    }

    /// Applies evacuations of another node, and queues them for gossip if they are news.
    pub fn observe_evacuations(&self, evacuations: Evacuations) {
        let upstreams = &self.inner.upstreams;
        if upstreams.observe_evacuations(&evacuations, Source::Gossip.name()) {
            let fact = Fact::Evacuations(evacuations);
            self.roster().enqueue(fact, Urgency::Deadline);
            self.inner.wake.notify_one();
        }
    }

    /// Returns whether this node knows a node or an upstream in a data centre.
    pub fn has_centre(&self, centre: &DataCentre) -> bool {
        let nodes = self.live().into_iter().map(|node| node.centre);
        let is_known = nodes.chain([self.centre()]).any(|known| known == *centre);
        is_known || self.inner.upstreams.has_centre(centre)
    }
}
