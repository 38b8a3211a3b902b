use std::collections::BTreeMap;

use ragwortgrade_schema::Name;

use super::Terms;

/// Fraction of the workers that are ordinary, for the time in which several data centres lose
/// their spot workers.
const ORDINARY_FRACTION: f64 = 0.06;
/// Number of data centres from which the loss of the spot workers of two is covered.
const TWO_LOSSES_DATA_CENTRES: usize = 4;

/// Number of workers of each kind in each data centre.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Target {
    data_centres: BTreeMap<Name, Count>,
}

/// Number of workers of each kind in one data centre.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Count {
    pub(super) ordinary: u32,
    pub(super) spot: u32,
}

impl Target {
    /// Returns the cheapest numbers with which `workers` remain after the loss of the spot workers
    /// of the largest data centres.
    ///
    /// `dry` has the data centres without available spot workers and the number that they hold.
    pub(super) fn new(workers: u32, terms: &Terms, dry: &BTreeMap<Name, u32>) -> Self {
        let order = terms.data_centres();
        let losses = covered_losses(order.len());
        let has_spot = terms.spot_price.is_some_and(|price| price < 1.0) && losses > 0;
        let mut ordinary = if has_spot {
            (f64::from(workers) * ORDINARY_FRACTION).ceil() as u32
        } else {
            workers
        };
        let open = order.iter().filter(|it| !dry.contains_key(*it)).count();
        let losses_left = losses.saturating_sub(order.len() - open);
        let mut target = Self::default();
        // Each round adds ordinary workers for what the maximum of the data centres leaves short.
        for _ in 0..8 {
            target.spread_ordinary(ordinary, &order, terms);
            if has_spot {
                target.spread_spot(workers, losses, &order, terms, dry);
            }
            let short = workers.saturating_sub(target.remaining(losses_left.min(1)));
            if short == 0 {
                break;
            }
            ordinary += short;
        }
        target.fill_minimum(has_spot, terms, dry);
        target
    }

    pub(super) fn count(&self, data_centre: &Name) -> Count {
        self.data_centres
            .get(data_centre)
            .copied()
            .unwrap_or_default()
    }

    /// Returns the number of workers of both kinds.
    pub(super) fn total(&self) -> u32 {
        let counts = self.data_centres.values();
        counts.map(|count| count.ordinary + count.spot).sum()
    }

    /// Returns the number that remains when the spot workers of the largest data centres leave.
    fn remaining(&self, losses: usize) -> u32 {
        let mut spot: Vec<u32> = self.data_centres.values().map(|it| it.spot).collect();
        spot.sort_unstable();
        spot.truncate(spot.len().saturating_sub(losses));
        let ordinary = self.data_centres.values().map(|it| it.ordinary);
        ordinary.sum::<u32>() + spot.iter().sum::<u32>()
    }

    /// Spreads the ordinary workers evenly, the rest to the cheapest data centres.
    fn spread_ordinary(&mut self, ordinary: u32, order: &[Name], terms: &Terms) {
        let mut left = ordinary;
        for (index, data_centre) in order.iter().enumerate() {
            let share = left.div_ceil((order.len() - index) as u32);
            let share = share.min(terms.workers_max);
            let count = self.data_centres.entry(data_centre.clone()).or_default();
            count.ordinary = share;
            left -= share;
        }
    }

    fn spread_spot(
        &mut self,
        workers: u32,
        losses: usize,
        order: &[Name],
        terms: &Terms,
        dry: &BTreeMap<Name, u32>,
    ) {
        let counts = self.data_centres.values();
        let ordinary: u32 = counts.map(|count| count.ordinary).sum();
        let open = order.iter().filter(|it| !dry.contains_key(*it)).count();
        let carriers = (order.len() - losses).min(open).max(1) as u32;
        let share = workers.saturating_sub(ordinary).div_ceil(carriers);
        for (data_centre, count) in &mut self.data_centres {
            let room = terms.workers_max.saturating_sub(count.ordinary);
            let held = dry.get(data_centre);
            count.spot = held.map_or(share, |held| *held).min(room);
        }
    }

    fn fill_minimum(&mut self, has_spot: bool, terms: &Terms, dry: &BTreeMap<Name, u32>) {
        for (data_centre, count) in &mut self.data_centres {
            let short = terms
                .workers_min
                .saturating_sub(count.ordinary + count.spot);
            if has_spot && !dry.contains_key(data_centre) {
                count.spot += short;
            } else {
                count.ordinary += short;
            }
        }
    }
}

/// Returns the number of data centres whose spot workers may leave at once while the others serve
/// the demand.
pub(super) const fn covered_losses(data_centres: usize) -> usize {
    match data_centres {
        0 | 1 => 0,
        2..TWO_LOSSES_DATA_CENTRES => 1,
        _ => 2,
    }
}
