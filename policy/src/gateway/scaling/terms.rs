use std::collections::BTreeMap;
use std::time::Duration;

use ragwortgrade_schema::Name;

/// Terms on which the workers of a service are ordered.
#[derive(Clone, Debug, PartialEq)]
pub struct Terms {
    /// Minimum number of workers in each data centre, of both kinds together.
    pub workers_min: u32,
    /// Maximum number of workers in each data centre, of both kinds together.
    pub workers_max: u32,
    /// Time from an order until a new worker serves.
    pub boot_time: Duration,
    /// Price of a spot worker as a fraction of that of an ordinary one; `None` if there are none.
    pub spot_price: Option<f64>,
    /// Price of a second of an ordinary worker by data centre. Workers are ordered only in these.
    pub prices: BTreeMap<Name, f64>,
}

impl Terms {
    /// Returns the data centres, the cheapest first.
    pub(super) fn data_centres(&self) -> Vec<Name> {
        let mut data_centres: Vec<(&Name, &f64)> = self.prices.iter().collect();
        data_centres.sort_by(|left, right| left.1.total_cmp(right.1).then(left.0.cmp(right.0)));
        data_centres
            .into_iter()
            .map(|(data_centre, _)| data_centre.clone())
            .collect()
    }
}
