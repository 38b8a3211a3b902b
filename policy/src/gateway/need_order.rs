use std::collections::HashMap;
use std::time::Duration;

use ragwortgrade_schema::Name;

use super::Route;

/// Fraction of the target that the expected time may take at a priority that is less urgent than
/// that of the rank. Requests that arrive later overtake such a request, and estimates are too low
/// while load grows.
const SPARE_USED_FRACTION: f64 = 0.3;

/// Order of the requests of services whose ranks and targets contradict each other: a more urgent
/// rank has the longer target.
///
/// By rank, requests that need a fraction of their long target delay those that are hardly in time.
/// In such a service, priorities follow the spare time instead: the target less the time that the
/// request's own work takes, as in least-slack-time scheduling (M. L. Dertouzos and A. K. Mok,
/// "Multiprocessor On-Line Scheduling of Hard-Real-Time Tasks", 1989). Other services are not
/// affected.
#[derive(Debug, Default)]
pub(crate) struct NeedOrder {
    /// Shortest target of the contradictory service to which a route sends requests.
    shortest_targets: HashMap<Name, Duration>,
}

impl NeedOrder {
    /// Finds the services whose routes contradict each other.
    pub(crate) fn new<'a>(routes: impl IntoIterator<Item = &'a Route>) -> Self {
        let mut services: HashMap<&Name, Vec<&Route>> = HashMap::new();
        for route in routes {
            for (service, _) in &route.traffic_split {
                services.entry(service).or_default().push(route);
            }
        }
        let mut shortest_targets: HashMap<Name, Duration> = HashMap::new();
        for routes in services.values() {
            let Some(shortest) = shortest_of_contradiction(routes) else {
                continue;
            };
            for route in routes {
                let target = shortest_targets
                    .entry(route.name.clone())
                    .or_insert(shortest);
                *target = shortest.min(*target);
            }
        }
        Self { shortest_targets }
    }

    /// Returns whether the requests of a route are ordered by need.
    pub(crate) fn applies_to(&self, route: &Route) -> bool {
        self.shortest_targets.contains_key(&route.name)
    }

    /// Returns the priority at the engine of a request whose own work takes `own_ms` until its first
    /// event; `None` if its service has no contradiction. 0 is the most urgent.
    pub(crate) fn priority(&self, route: &Route, own_ms: f64) -> Option<u8> {
        let shortest_ms = self.shortest_targets.get(&route.name)?.as_secs_f64() * 1e3;
        let spare_ms = route.target.as_secs_f64() * 1e3 - own_ms;
        let level = match spare_ms / shortest_ms {
            ratio if ratio < 0.5 => 0,
            ratio if ratio < 1.0 => 1,
            ratio if ratio < 2.0 => 2,
            _ => 3,
        };
        Some(level * 2)
    }
}

/// Returns whether the expected time to the first event leaves enough spare time for a priority that
/// is less urgent than that of the rank.
pub(crate) fn has_spare_time(expected: Duration, route: &Route) -> bool {
    expected <= route.target.mul_f64(SPARE_USED_FRACTION)
}

/// Returns the shortest target of a service's routes if a more urgent rank has a longer target than
/// another.
fn shortest_of_contradiction(routes: &[&Route]) -> Option<Duration> {
    let contradicts = |route: &&Route| {
        let mut less_urgent = routes.iter().filter(|it| it.rank > route.rank);
        less_urgent.any(|it| it.target < route.target)
    };
    routes.iter().any(contradicts).then_some(())?;
    let targets = routes.iter().map(|route| route.target);
    targets.filter(|target| !target.is_zero()).min()
}
