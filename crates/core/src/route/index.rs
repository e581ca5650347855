//! Lookups of routes and services in a plan.

use std::sync::Arc;

use super::plan::Plan;
use super::plan::Route;
use super::plan::ServiceSpec;
use super::plan::WeightedService;
use crate::id::Service;
use crate::map::Map;

/// A plan with indexes by host and service name.
#[derive(Clone, Debug)]
pub struct RouteIndex {
    plan: Arc<Plan>,
    routes: Vec<Arc<Route>>,
    /// Positions in `routes` for each host, the longest prefix first.
    hosts: Map<Arc<str>, Vec<usize>>,
    /// Positions in the plan's services.
    services: Map<Service, usize>,
}

impl RouteIndex {
    /// Builds the indexes of a plan.
    pub fn new(plan: Arc<Plan>) -> Self {
        let mut hosts: Map<Arc<str>, Vec<usize>> = Map::default();
        for (position, route) in plan.routes.iter().enumerate() {
            hosts.entry(route.host.clone()).or_default().push(position);
        }
        for positions in hosts.values_mut() {
            positions
                .sort_by_key(|position| std::cmp::Reverse(plan.routes[*position].prefix.len()));
        }
        let routes = plan.routes.iter().cloned().map(Arc::new).collect();
        let services = plan.services.iter().enumerate();
        let services = services.map(|(i, spec)| (spec.name.clone(), i)).collect();
        Self {
            plan,
            routes,
            hosts,
            services,
        }
    }

    /// Returns the indexed plan.
    pub fn plan(&self) -> &Arc<Plan> {
        &self.plan
    }

    /// Returns the route of `host` with the longest prefix of `path`. A port after the host and the
    /// case of the host are ignored.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.split_once(':').map_or(host, |(name, _)| name);
        let positions = match self.hosts.get(name) {
            Some(positions) => positions,
            None => self.hosts.get(name.to_ascii_lowercase().as_str())?,
        };
        let mut routes = positions.iter().map(|position| &self.routes[*position]);
        routes.find(|route| path.starts_with(&*route.prefix))
    }

    /// Returns the service with this name.
    pub fn service(&self, name: &Service) -> Option<&ServiceSpec> {
        let position = *self.services.get(name)?;
        self.plan.services.get(position)
    }
}

impl Route {
    /// Returns whether requests go to this service.
    pub fn leads_to(&self, service: &Service) -> bool {
        let mut targets = self.split.iter();
        targets.any(|target| target.service == *service && target.weight > 0)
    }

    /// Returns the service for a random number, at least 0 and below 1, in proportion to the
    /// weights.
    pub fn pick_service(&self, random: f64) -> Option<&Service> {
        let total: u64 = self
            .split
            .iter()
            .map(|target| u64::from(target.weight))
            .sum();
        let mut remaining = (random * total as f64) as u64;
        for WeightedService { service, weight } in &self.split {
            let weight = u64::from(*weight);
            if remaining < weight {
                return Some(service);
            }
            remaining -= weight;
        }
        None
    }
}
