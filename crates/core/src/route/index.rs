//! Lookups in the routes in force.

use std::sync::Arc;

use super::plan::Plan;
use super::plan::Route;
use super::plan::ServiceSpec;
use super::plan::Share;
use crate::id::Service;
use crate::map::Map;

/// A plan with indexes over it.
#[derive(Clone, Debug)]
pub struct Index {
    plan: Arc<Plan>,
    routes: Vec<Arc<Route>>,
    /// Routes of each host, the longest prefix first.
    hosts: Map<Arc<str>, Vec<usize>>,
    services: Map<Service, usize>,
}

impl Index {
    /// Indexes a plan.
    pub fn new(plan: Arc<Plan>) -> Self {
        let mut hosts: Map<Arc<str>, Vec<usize>> = Map::default();
        for (number, route) in plan.routes.iter().enumerate() {
            hosts.entry(route.host.clone()).or_default().push(number);
        }
        for numbers in hosts.values_mut() {
            numbers.sort_by_key(|number| std::cmp::Reverse(plan.routes[*number].prefix.len()));
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

    /// The plan.
    pub fn plan(&self) -> &Arc<Plan> {
        &self.plan
    }

    /// The route of a host with the longest prefix that begins the path. A port after the host's
    /// name is ignored.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.split_once(':').map_or(host, |(name, _)| name);
        let numbers = match self.hosts.get(name) {
            Some(numbers) => numbers,
            None => self.hosts.get(name.to_ascii_lowercase().as_str())?,
        };
        let mut routes = numbers.iter().map(|number| &self.routes[*number]);
        routes.find(|route| path.starts_with(&*route.prefix))
    }

    /// A service.
    pub fn service(&self, name: &Service) -> Option<&ServiceSpec> {
        let number = *self.services.get(name)?;
        self.plan.services.get(number)
    }
}

impl Route {
    /// The service for a draw between 0 and 1, by weight.
    pub fn draw(&self, draw: f64) -> Option<&Service> {
        let total: u64 = self.split.iter().map(|share| u64::from(share.weight)).sum();
        let mut left = (draw * total as f64) as u64;
        for Share { service, weight } in &self.split {
            let weight = u64::from(*weight);
            if left < weight {
                return Some(service);
            }
            left -= weight;
        }
        None
    }
}
