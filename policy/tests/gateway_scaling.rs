//! Orders of workers: the capacity left must serve the demand at a price far below that of keeping
//! all workers.

mod worker_site;

use ragwortgrade_policy::gateway::Scaling;
use ragwortgrade_policy::gateway::scaling::{Need, Reason};
use ragwortgrade_testutil::named_cases;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use worker_site::Site;

/// Price per second of the 140 ordinary workers at the start.
const PRICE_AT_START: f64 = 35.0 * (0.85 + 1.0 + 1.1 + 1.2);
const DATA_CENTRES: [&str; 4] = ["akl", "chc", "hlz", "wlg"];

fn need(factor: f64) -> Need {
    Need {
        prefill: 14.0 * factor,
        decode: 50.0 * factor,
    }
}

fn no_demand(_second: u64) -> Need {
    Need::default()
}

fn steady(_second: u64) -> Need {
    need(1.0)
}

/// Waves of 11 s; bursts of 1.7 times of one stage for 3 to 14 s.
fn waves_and_bursts(second: u64) -> Need {
    let phase = second as f64 / 11.0 * std::f64::consts::TAU;
    let wave = need(1.0 + 0.2 * phase.sin());
    match second % 50 {
        10..=23 => Need {
            decode: wave.decode * 1.7,
            ..wave
        },
        40..=43 => Need {
            prefill: wave.prefill * 1.7,
            ..wave
        },
        _ => wave,
    }
}

/// A rise by a half in the second minute, and back in the sixth.
fn step(second: u64) -> Need {
    need(if (90..300).contains(&second) {
        1.5
    } else {
        1.0
    })
}

/// Demand for more than the workers at the start, with a rise over 20 s.
fn rise(second: u64) -> Need {
    need(1.5 + second.saturating_sub(100).min(20) as f64 / 20.0)
}

/// Guards against late growth, early removal, and orders that cost more than they save.
fn check_demand_is_served(demand: fn(u64) -> Need, seconds: u64, orders_max: usize) {
    let mut site = Site::new(35);
    site.run(14, no_demand);
    site.run(seconds, demand);
    let keeping = PRICE_AT_START * site.now_s as f64;
    assert!(site.cost <= keeping / 2.0, "{} of {keeping}", site.cost);
    assert!(
        site.orders.len() <= orders_max,
        "{} orders",
        site.orders.len()
    );
}

named_cases! { check_demand_is_served:
    steady_demand(steady, 300, 90);
    waves_and_bursts_of_demand(waves_and_bursts, 300, 90);
    step_of_demand(step, 500, 150);
    rise_of_demand(rise, 300, 120);
}

/// Guards against a loss of capacity before traffic, when the demand is not known.
#[test]
fn capacity_is_kept_before_traffic() {
    let mut site = Site::new(35);
    let at_start = site.capacity();
    for _ in 0..120 {
        site.step(Need::default());
        site.check_serves(at_start);
    }
    let spot: u32 = DATA_CENTRES.iter().map(|name| site.count(name, true)).sum();
    assert!(spot > 0);
}

/// Guards against reclaims that leave too few workers, and against workers that are not ordered
/// again.
fn check_reclaim(data_centres: &[&str], demand: fn(u64) -> Need) {
    let mut site = Site::new(35);
    site.run(14, no_demand);
    site.run(200, demand);
    let before = site.total();
    for data_centre in data_centres {
        site.reclaim(data_centre);
    }
    let orders_before = site.orders.len();
    site.run(60, demand);
    assert!(
        site.total() * 10 >= before * 9,
        "{} of {before}",
        site.total()
    );
    assert_eq!(site.unavailable, 0);
    let orders = &site.orders[orders_before..];
    let is_reclaimed = |name: &str| {
        let mut orders = orders.iter().map(|(_, order)| order);
        orders.any(|it| it.data_centre.as_str() == name && it.reason == Reason::Reclaimed)
    };
    assert!(
        data_centres.iter().all(|name| is_reclaimed(name)),
        "{orders:#?}"
    );
}

named_cases! { check_reclaim:
    reclaim_of_the_cheapest(&["akl"], steady);
    reclaim_of_the_most_expensive(&["wlg"], waves_and_bursts);
    reclaim_of_two(&["akl", "chc"], steady);
    reclaim_of_two_in_waves(&["hlz", "wlg"], waves_and_bursts);
}

/// Guards against a reclaim of one data centre in the middle of the replacement of ordinary workers.
#[test]
fn reclaim_while_ordinary_workers_are_replaced() {
    for second in 8..60 {
        let mut site = Site::new(35);
        site.run(second, steady);
        site.reclaim(DATA_CENTRES[second as usize % 4]);
        site.run(60, steady);
    }
}

/// Guards against waiting for spot workers where none are to be had.
#[test]
fn ordinary_workers_replace_spot_workers_of_all_data_centres() {
    let mut site = Site::new(35);
    site.run(200, steady);
    for data_centre in DATA_CENTRES {
        site.reclaim(data_centre);
    }
    for _ in 0..12 {
        site.step(need(1.0));
    }
    site.check_serves(need(1.0));
    let mut orders = site.orders.iter();
    assert!(orders.any(|(_, order)| order.reason == Reason::NoSpot));
    site.run(120, steady);
    let ordinary: u32 = DATA_CENTRES
        .iter()
        .map(|name| site.count(name, false))
        .sum();
    assert!(ordinary < 30, "{ordinary} ordinary workers remain");
}

/// Guards against orders on stale information.
fn check_no_orders(disturb: fn(&mut Site), demand: fn(u64) -> Need) {
    let mut site = Site::new(35);
    site.run(200, steady);
    disturb(&mut site);
    let before = site.orders.len();
    site.run(60, demand);
    assert_eq!(site.orders[before..], []);
}

named_cases! { check_no_orders:
    store_unavailable(|site| site.is_current = false, steady);
    demand_of_some_daemons(|site| site.is_demand_known = false, no_demand);
    same_demand(|_| {}, steady);
    new_holder(|site| site.scaling = Scaling::default(), steady);
    one_registration_missing(|site| site.hidden = 1, steady);
}

/// Guards against removal, or repeated orders, when reports and registrations come and go.
#[test]
fn flapping_reports_change_nothing() {
    let mut site = Site::new(35);
    site.run(200, steady);
    let before = site.orders.len();
    for second in 0..120 {
        site.is_demand_known = second % 3 > 0;
        site.hidden = if second % 7 < 3 { 4 } else { 0 };
        site.is_current = second % 11 > 0;
        site.run(1, steady);
    }
    let orders = &site.orders[before..];
    assert!(orders.len() <= 2, "{orders:#?}");
}

/// Guards against a new holder that loses capacity or orders what its predecessor has ordered.
#[test]
fn holder_changes_halfway() {
    for second in (5..60).step_by(5) {
        let mut site = Site::new(35);
        site.run(second, steady);
        site.scaling = Scaling::default();
        let before = site.orders.len();
        site.run(300, steady);
        let orders = &site.orders[before..];
        let mut repeated = orders.iter().filter(|(_, it)| it.count == it.count_before);
        assert!(repeated.next().is_none(), "{orders:#?}");
        let cost_before = site.cost;
        site.run(10, steady);
        let cost = (site.cost - cost_before) / 10.0;
        assert!(cost <= PRICE_AT_START / 2.0, "{cost} per second");
    }
}

/// Guards against an order that is lost, or repeated at each decision, without a response.
#[test]
fn orders_without_response_are_repeated_with_pauses() {
    let mut site = Site::new(35);
    site.lost_responses = true;
    site.run(20, steady);
    let counts = |site: &Site| {
        DATA_CENTRES.map(|name| {
            site.orders
                .iter()
                .filter(|(_, it)| it.data_centre.as_str() == name)
                .count()
        })
    };
    assert!(
        counts(&site).iter().all(|count| *count <= 9),
        "{:?}",
        counts(&site)
    );
    site.lost_responses = false;
    site.run(200, steady);
    let before = site.orders.len();
    site.run(60, steady);
    assert_eq!(site.orders[before..], []);
}

/// Guards against callers who are refused although workers could be ordered.
#[test]
fn refusals_call_for_more_workers() {
    let mut site = Site::new(35);
    site.run(200, steady);
    let before = site.total();
    site.refused_share = 0.1;
    site.run(40, steady);
    assert!(site.total() > before);
}

/// Guards against rare sequences of reclaims that leave too few workers, or orders above the
/// maximum.
#[test]
fn reclaims_at_random_times() {
    for seed in 0..40 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut site = Site::new(35);
        site.run(10, no_demand);
        let mut dry_until = [0; 4];
        for second in 0..400_u64 {
            let dry = dry_until.iter().filter(|until| **until > second).count();
            if dry < 2 && random.random_bool(0.05) {
                let index = random.random_range(0..4);
                // A data centre without spot workers for 9 s has new ones after their boot.
                dry_until[index] = second + 25;
                site.reclaim(DATA_CENTRES[index]);
            }
            site.run(1, waves_and_bursts);
        }
        let keeping = PRICE_AT_START * site.now_s as f64;
        assert!(
            site.cost <= keeping / 2.0,
            "seed {seed}: {} of {keeping}",
            site.cost
        );
    }
}

/// Guards against orders of spot workers where the terms have none, and against keeping what the
/// demand does not need.
#[test]
fn ordinary_workers_follow_the_demand_without_spot_workers() {
    let mut site = Site::new(35);
    site.terms.spot_price = None;
    site.run(60, no_demand);
    assert_eq!(site.orders, []);
    site.run(300, waves_and_bursts);
    assert!(site.orders.iter().all(|(_, order)| !order.is_spot));
    site.run(200, |_| need(0.5));
    assert!(site.total() < 100, "{} workers", site.total());
}
