//! Validation of a set of routes.

use std::sync::Arc;

use thiserror::Error;

use super::plan::Plan;
use super::plan::Route;
use crate::id::Service;
use crate::id::Workspace;
use crate::map::Map;
use crate::map::Set;
use crate::unit::Millis;

/// Reason for which a set of routes is refused.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum PlanError {
    /// A route leads to a service that the plan does not define.
    #[error("route {route} leads to service {service}, which is not defined")]
    UnknownService {
        /// Name of the route.
        route: Arc<str>,
        /// Name of the missing service.
        service: Service,
    },
    /// Two routes have the same host and path prefix.
    #[error("routes {first} and {second} share a host and a path prefix")]
    DuplicateRoute {
        /// Name of the earlier route.
        first: Arc<str>,
        /// Name of the later route.
        second: Arc<str>,
    },
    /// The weights of a route's services add up to 0.
    #[error("route {0}: its weights add up to 0")]
    ZeroWeight(Arc<str>),
    /// The timeout of a route is 0.
    #[error("route {0}: the timeout is 0")]
    ZeroTimeout(Arc<str>),
    /// The path prefix of a route does not begin and end with a slash.
    #[error("route {0}: the path prefix has to begin and end with a slash")]
    BadPrefix(Arc<str>),
    /// Two services have the same name.
    #[error("service {0} is defined twice")]
    DuplicateService(Service),
    /// Two workspaces have a bearer key in common.
    #[error("workspaces {first} and {second} share a key")]
    SharedKey {
        /// The earlier workspace.
        first: Workspace,
        /// The later workspace.
        second: Workspace,
    },
}

impl Plan {
    /// Checks names, references, weights, timeouts and keys.
    ///
    /// # Errors
    ///
    /// The first [`PlanError`] found.
    pub fn check(&self) -> Result<(), PlanError> {
        let mut services = Set::default();
        for spec in &self.services {
            if !services.insert(&spec.name) {
                return Err(PlanError::DuplicateService(spec.name.clone()));
            }
        }
        let mut seen: Map<(&str, &str), &Route> = Map::default();
        for route in &self.routes {
            route.check(&services)?;
            if let Some(other) = seen.insert((&route.host, &route.prefix), route) {
                return Err(PlanError::DuplicateRoute {
                    first: other.name.clone(),
                    second: route.name.clone(),
                });
            }
        }
        self.check_keys()
    }

    /// Checks that each bearer key belongs to one workspace.
    fn check_keys(&self) -> Result<(), PlanError> {
        let mut owners: Map<&str, &Workspace> = Map::default();
        for spec in self.workspaces.iter().flatten() {
            for key in &spec.keys {
                let other = owners.insert(key, &spec.name);
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
            return Err(PlanError::ZeroTimeout(name()));
        }
        if self.split.iter().all(|target| target.weight == 0) {
            return Err(PlanError::ZeroWeight(name()));
        }
        let unknown = self
            .split
            .iter()
            .find(|target| !services.contains(&target.service));
        match unknown {
            Some(target) => Err(PlanError::UnknownService {
                route: name(),
                service: target.service.clone(),
            }),
            None => Ok(()),
        }
    }
}
