//! Upstreams that announce the same address.

use std::net::SocketAddr;

use super::Table;
use crate::id::Service;
use crate::upstream::announce::Offer;
use crate::upstream::leave::HOLD_TIME;
use crate::upstream::row::Row;

impl Table {
    /// Sets the services that the routes in force name.
    pub fn set_services(&mut self, services: impl IntoIterator<Item = Service>) {
        self.services = Some(services.into_iter().collect());
    }

    /// With `heartbeat_only`, keeps all upstreams at an address out of use but the one that started
    /// last: the others have ended, since the address is in use again. One that is heard of for
    /// longer than a heartbeat can be late, after the last heartbeat of the later start, has not
    /// ended. A start that offers a service that no route names ends no other.
    pub(super) fn take_over(&mut self, address: SocketAddr) {
        if !self.config.heartbeat_only {
            return;
        }
        let services = &self.services;
        let is_configured = |row: &&Row| match (&row.announcement.offer, services) {
            (Offer::Service(service), Some(services)) => services.contains(service),
            _ => true,
        };
        let at_address = self.rows.values();
        let at_address = at_address.filter(|row| row.announcement.address == address);
        let latest = at_address
            .filter(is_configured)
            .max_by_key(|row| row.announcement.incarnation)
            .map(|row| (row.announcement.incarnation, row.heard_at));
        let Some((start, heard_at)) = latest else {
            return;
        };
        let is_here = |row: &&mut Row| row.announcement.address == address;
        for row in self.rows.values_mut().filter(is_here) {
            row.displaced =
                row.announcement.incarnation < start && row.heard_at < heard_at + HOLD_TIME;
        }
    }
}
