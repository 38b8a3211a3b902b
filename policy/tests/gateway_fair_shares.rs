//! Shares of tenants under overload.

use std::time::Duration;

use ragwortgrade_policy::Instant;
use ragwortgrade_policy::gateway::FairShares;
use ragwortgrade_schema::Name;
use ragwortgrade_testutil::named_cases;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

const STEP: Duration = Duration::from_millis(5);
const WARM_UP: Duration = Duration::from_secs(5);
const DURATION: Duration = Duration::from_mins(1);
/// Longest wait of a request that is not refused, in seconds.
const WAIT_MAX_S: f64 = 0.3;
/// Requests that a service without a queue runs at the same time.
const SLOTS: f64 = 8.0;
/// Least served fraction of a tenant, in relation to that of all.
const SERVED_FRACTION_MIN: f64 = 0.25;

/// Service that admits as many requests as it has capacity for.
#[derive(Clone, Copy)]
enum Service {
    /// Requests wait in a queue; those that would wait too long are refused.
    Queue,
    /// Requests are refused while all slots are taken.
    NoQueue,
    /// The same, and requests of tenants with a higher number wait behind those of others.
    PriorityQueue,
}

#[derive(Clone, Copy, Default)]
struct Count {
    offered: f64,
    served: f64,
}

impl Count {
    fn fraction(self) -> f64 {
        self.served / self.offered
    }
}

/// Lets tenants send requests at these rates per second to a service with this capacity; returns
/// the requests after the warm-up, by tenant.
fn simulate(service: Service, rates: &[f64], capacity: f64) -> Vec<Count> {
    let name: Name = "service".into();
    let tenants: Vec<Name> = (0..rates.len())
        .map(|it| format!("t-{it}").into())
        .collect();
    let mut random = ChaCha8Rng::seed_from_u64(11);
    let mut shares = FairShares::default();
    let mut counts = vec![Count::default(); rates.len()];
    // Work in the queue by tenant, in requests; without a queue, capacity that is used.
    let mut queued = vec![0.0_f64; rates.len()];
    let mut now = Instant::from_millis(1_000);
    let end = now + DURATION;
    let measured_from = now + WARM_UP;
    while now < end {
        let mut capacity_left = capacity * STEP.as_secs_f64();
        for work in &mut queued {
            let done = work.min(capacity_left);
            *work -= done;
            capacity_left -= done;
        }
        // Tenants send in random order.
        let first = random.random_range(0..rates.len());
        for number in (first..rates.len()).chain(0..first) {
            let mut arrivals = rates[number] * STEP.as_secs_f64();
            while random.random::<f64>() < arrivals {
                arrivals -= 1.0;
                let tenant = Some(&tenants[number]);
                let ahead: f64 = match service {
                    Service::PriorityQueue => queued[..=number].iter().sum(),
                    Service::Queue | Service::NoQueue => queued.iter().sum(),
                };
                let wait_max = match service {
                    Service::NoQueue => SLOTS / capacity,
                    Service::Queue | Service::PriorityQueue => WAIT_MAX_S,
                };
                let is_admitted = shares.admit(&name, tenant, now) && ahead / capacity <= wait_max;
                shares.record(&name, tenant, is_admitted, now);
                if is_admitted {
                    queued[number] += 1.0;
                }
                if now >= measured_from {
                    counts[number].offered += 1.0;
                    counts[number].served += f64::from(u8::from(is_admitted));
                }
            }
        }
        now = now + STEP;
    }
    counts
}

fn total(counts: &[Count]) -> Count {
    counts.iter().fold(Count::default(), |sum, count| Count {
        offered: sum.offered + count.offered,
        served: sum.served + count.served,
    })
}

/// Guards against tenants that get less than a quarter of what all get, and against capacity that is
/// not used.
fn check_shares(service: Service, rates: &[f64], capacity: f64) {
    let counts = simulate(service, rates, capacity);
    let all = total(&counts);
    for (number, count) in counts.iter().enumerate() {
        let fraction = count.fraction();
        let least = all.fraction() * SERVED_FRACTION_MIN;
        assert!(
            fraction >= least,
            "tenant {number}: {fraction}, at least {least}"
        );
    }
    let seconds = DURATION.as_secs_f64() - WARM_UP.as_secs_f64();
    let demand: f64 = rates.iter().sum();
    let used = all.served / seconds / capacity.min(demand);
    assert!(used > 0.9, "used {used}");
}

/// Returns the rates of small tenants and a large one.
fn with_large(small: usize, rate: f64, large_rate: f64) -> Vec<f64> {
    let mut rates = vec![rate; small];
    rates.push(large_rate);
    rates
}

named_cases! { check_shares:
    flood_of_a_queue(Service::Queue, &with_large(20, 2.0, 400.0), 80.0);
    flood_without_a_queue(Service::NoQueue, &with_large(20, 2.0, 400.0), 80.0);
    flood_with_many_small_tenants(Service::Queue, &with_large(83, 1.0, 83.0), 60.0);
    flood_of_an_urgent_tenant(Service::PriorityQueue, &[300.0, 10.0, 10.0], 60.0);
    flood_of_a_less_urgent_tenant(Service::PriorityQueue, &[10.0, 10.0, 300.0], 60.0);
    equal_tenants(Service::Queue, &[30.0; 10], 100.0);
    one_tenant(Service::NoQueue, &[300.0], 100.0);
}

/// Guards against small tenants that suffer from a flood of another one.
fn check_small_tenants_are_served(service: Service) {
    let counts = simulate(service, &with_large(20, 2.0, 400.0), 80.0);
    let small = total(&counts[..20]).fraction();
    assert!(small > 0.8, "served {small}");
}

named_cases! { check_small_tenants_are_served:
    behind_a_queue(Service::Queue);
    without_a_queue(Service::NoQueue);
}

/// Guards against refusals while there is capacity for all.
#[test]
fn shares_have_no_effect_without_overload() {
    let counts = simulate(Service::Queue, &with_large(20, 1.0, 200.0), 400.0);
    assert!(total(&counts).fraction() > 0.999);
}

/// Guards against shares that outlast the overload.
#[test]
fn shares_end_with_the_overload() {
    let service: Name = "service".into();
    let (large, small): (Name, Name) = ("large".into(), "small".into());
    let mut shares = FairShares::default();
    let mut now = Instant::from_millis(1_000);
    for number in 0..200 {
        shares.record(&service, Some(&large), true, now);
        shares.record(&service, Some(&small), number % 4 == 0, now);
        now = now + Duration::from_millis(20);
    }
    let refused = |shares: &mut FairShares, now| {
        let admitted = (0..10).map(|_| shares.admit(&service, Some(&large), now));
        admitted.filter(|is_admitted| !is_admitted).count()
    };
    assert!(refused(&mut shares, now) > 0);
    assert_eq!(refused(&mut shares, now + Duration::from_secs(3)), 0);
}
