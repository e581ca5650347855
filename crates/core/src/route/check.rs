//! Contradictions in a set of routes.

use std::sync::Arc;

use thiserror::Error;

use super::plan::Plan;
use super::plan::Route;
use crate::id::Service;
use crate::id::Workspace;
use crate::map::Map;
use crate::map::Set;
use crate::unit::Millis;

/// Why a set of routes is refused.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum PlanError {
    /// A route leads to a service that is not there.
    #[error("route {route} leads to service {service}, which is not defined")]
    UnknownService {
        /// The route.
        route: Arc<str>,
        /// The service.
        service: Service,
    },
    /// Two routes have one place.
    #[error("routes {first} and {second} share a host and a path prefix")]
    SamePlace {
        /// One of them.
        first: Arc<str>,
        /// The other.
        second: Arc<str>,
    },
    /// A route has nowhere to go.
    #[error("route {0}: its weights add up to 0")]
    NoWeight(Arc<str>),
    /// A route gives no time.
    #[error("route {0}: the timeout is 0")]
    NoTimeout(Arc<str>),
    /// A prefix is malformed.
    #[error("route {0}: the path prefix has to begin and end with a slash")]
    BadPrefix(Arc<str>),
    /// A service is defined twice.
    #[error("service {0} is defined twice")]
    SameService(Service),
    /// Two workspaces share a key.
    #[error("workspaces {first} and {second} share a key")]
    SharedKey {
        /// One of them.
        first: Workspace,
        /// The other.
        second: Workspace,
    },
}

impl Plan {
    /// Looks for contradictions.
    ///
    /// # Errors
    ///
    /// The first one found.
    pub fn check(&self) -> Result<(), PlanError> {
        let mut services = Set::default();
        for spec in &self.services {
            if !services.insert(&spec.name) {
                return Err(PlanError::SameService(spec.name.clone()));
            }
        }
        let mut places: Map<(&str, &str), &Route> = Map::default();
        for route in &self.routes {
            route.check(&services)?;
            if let Some(other) = places.insert((&route.host, &route.prefix), route) {
                return Err(PlanError::SamePlace {
                    first: other.name.clone(),
                    second: route.name.clone(),
                });
            }
        }
        self.check_keys()
    }

    fn check_keys(&self) -> Result<(), PlanError> {
        let mut holders: Map<&str, &Workspace> = Map::default();
        for spec in self.workspaces.iter().flatten() {
            for key in &spec.keys {
                let other = holders.insert(key, &spec.name);
                if let Some(other) = other.filter(|other| **other != spec.name) {
                    return Err(PlanError::SharedKey {
                        first: other.clone(),
                        second: spec.name.clone(),
                    });
                }
            }
        }
        Ok(())
    }
}

impl Route {
    fn check(&self, services: &Set<&Service>) -> Result<(), PlanError> {
        let name = || self.name.clone();
        if !self.prefix.starts_with('/') || !self.prefix.ends_with('/') {
            return Err(PlanError::BadPrefix(name()));
        }
        if self.timeout == Millis::ZERO {
            return Err(PlanError::NoTimeout(name()));
        }
        if self.split.iter().all(|share| share.weight == 0) {
            return Err(PlanError::NoWeight(name()));
        }
        let unknown = self
            .split
            .iter()
            .find(|share| !services.contains(&share.service));
        match unknown {
            Some(share) => Err(PlanError::UnknownService {
                route: name(),
                service: share.service.clone(),
            }),
            None => Ok(()),
        }
    }
}
