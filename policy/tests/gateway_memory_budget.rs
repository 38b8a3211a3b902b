//! The budget for what is held for callers: abusive ones must not use up the memory, and lose theirs
//! before ordinary ones.

use std::net::{IpAddr, Ipv4Addr};

use ragwortgrade_policy::Instant;
use ragwortgrade_policy::gateway::{
    AccountId, ConnectionChoice, Grant, Holding, MemoryBudget, MemoryPlan,
};
use ragwortgrade_testutil::named_cases;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

const MIB: usize = 1 << 20;
const BYTES_MAX: usize = 16 * MIB;
/// What is left when the reserve for small requests is not used.
const LARGE_MAX: usize = 12 * MIB;

fn client(number: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(10, 0, 0, number))
}

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

fn hold(budget: &mut MemoryBudget, number: u8, bytes: usize, ms: u64) -> AccountId {
    let id = budget.open(client(number), at(ms));
    assert_eq!(budget.grow(id, bytes, at(ms)), Grant::Granted);
    id
}

/// Guards against large requests that leave nothing to ordinary callers.
#[test]
fn reserve_is_open_to_small_requests_only() {
    let mut budget = MemoryBudget::new(BYTES_MAX);
    for _ in 0..LARGE_MAX / MIB {
        let id = hold(&mut budget, 1, MIB, 0);
        budget.set_holding(id, Holding::Complete, at(0));
    }
    let large = budget.open(client(2), at(0));
    assert_eq!(budget.grow(large, MIB, at(0)), Grant::Refused);
    hold(&mut budget, 2, 72 << 10, 0);
}

/// Each case has accounts (client, bytes, time of the last progress, holding), of which the first must
/// be closed for a new request.
fn first_is_evicted(accounts: [(u8, usize, u64, Holding); 2]) {
    let mut budget = MemoryBudget::new(BYTES_MAX);
    let ids = accounts.map(|(number, bytes, ms, holding)| {
        let id = hold(&mut budget, number, bytes, ms);
        budget.set_holding(id, holding, at(ms));
        id
    });
    let new = budget.open(client(9), at(2_000));
    assert_eq!(budget.grow(new, MIB, at(2_000)), Grant::Evict(vec![ids[0]]));
    // What is being closed is waited for; nothing else is closed for it.
    assert_eq!(budget.grow(new, MIB, at(2_000)), Grant::Wait);
    assert_eq!(budget.grow(ids[0], 1, at(2_000)), Grant::Refused);
    budget.close(ids[0]);
    assert_eq!(budget.grow(new, MIB, at(2_000)), Grant::Granted);
}

named_cases! { first_is_evicted:
    unfinished_before_complete([(1, 2 * MIB, 2_000, Holding::Unfinished), (2, 10 * MIB, 0, Holding::Complete)]);
    unread_before_complete([(1, 2 * MIB, 0, Holding::Unread), (2, 10 * MIB, 0, Holding::Complete)]);
    unread_and_stalled_before_read([(1, 2 * MIB, 0, Holding::Unread), (2, 10 * MIB, 1_900, Holding::Unread)]);
    stalled_before_active([(1, 2 * MIB, 0, Holding::Unfinished), (2, 10 * MIB, 1_900, Holding::Unfinished)]);
    larger_before_smaller([(1, 7 * MIB, 1_900, Holding::Unfinished), (2, 5 * MIB, 1_900, Holding::Unfinished)]);
}

/// Guards against a client that spreads over many connections.
#[test]
fn address_that_holds_most_comes_first() {
    let mut budget = MemoryBudget::new(BYTES_MAX);
    let spread: Vec<AccountId> = (0..8).map(|_| hold(&mut budget, 1, MIB, 0)).collect();
    hold(&mut budget, 2, 4 * MIB, 0);
    let new = budget.open(client(3), at(0));
    let Grant::Evict(evicted) = budget.grow(new, MIB, at(0)) else {
        panic!("nothing is evicted");
    };
    assert!(evicted.iter().all(|id| spread.contains(id)));
}

/// Guards against a large holder that takes the memory of smaller ones.
#[test]
fn largest_holder_is_refused_itself() {
    let mut budget = MemoryBudget::new(BYTES_MAX);
    hold(&mut budget, 1, 4 * MIB, 0);
    let largest = hold(&mut budget, 2, 8 * MIB, 0);
    assert_eq!(budget.grow(largest, MIB, at(0)), Grant::Refused);
}

/// Guards against sums that drift, in any order of events.
#[test]
fn accounts_stay_within_the_budget() {
    for seed in 0..50 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut budget = MemoryBudget::new(BYTES_MAX);
        let mut held: Vec<(AccountId, usize)> = Vec::new();
        for step in 0..400 {
            let now = at(step * 20);
            match random.random_range(0..5_u32) {
                0 => held.push((budget.open(client(random.random_range(0..4)), now), 0)),
                1 if !held.is_empty() => {
                    let (id, _) = held.swap_remove(random.random_range(0..held.len()));
                    budget.close(id);
                }
                2 if !held.is_empty() => {
                    let index = random.random_range(0..held.len());
                    let bytes = random.random_range(0..=held[index].1);
                    budget.shrink(held[index].0, bytes, now);
                    held[index].1 -= bytes;
                }
                _ if !held.is_empty() => {
                    let index = random.random_range(0..held.len());
                    let bytes = random.random_range(0..2 * MIB);
                    match budget.grow(held[index].0, bytes, now) {
                        Grant::Granted => held[index].1 += bytes,
                        Grant::Evict(evicted) => {
                            held.retain(|(id, _)| !evicted.contains(id));
                            for id in evicted {
                                budget.close(id);
                            }
                        }
                        Grant::Wait => panic!("seed {seed}: nothing is being closed"),
                        Grant::Refused => {}
                    }
                }
                _ => {}
            }
            let sum: usize = held.iter().map(|(_, bytes)| bytes).sum();
            assert_eq!(budget.used(), sum, "seed {seed}");
            assert!(sum <= BYTES_MAX, "seed {seed}");
        }
    }
}

/// Guards against connections without requests that keep new callers out.
#[test]
fn oldest_of_the_client_with_most_connections_is_closed() {
    let connection = |number: u8, has_sent_request: bool, ms: u64| ConnectionChoice {
        client: client(number),
        has_sent_request,
        opened_at: at(ms),
    };
    let connections = [
        connection(1, false, 0),
        connection(2, true, 0),
        connection(2, false, 900),
        connection(2, false, 500),
    ];
    assert_eq!(ConnectionChoice::choose(&connections), Some(3));
    assert_eq!(ConnectionChoice::choose(&connections[..2]), Some(0));
    assert_eq!(ConnectionChoice::choose(&[]), None);
}

/// Guards against more connections than the smallest machine can hold beside its requests.
#[test]
fn memory_bounds_the_connections() {
    assert_eq!(MemoryPlan::new(120).connections_max(4_100), 768);
    assert_eq!(MemoryPlan::new(512).connections_max(4_100), 2_050);
    assert_eq!(MemoryPlan::new(120).requests_bytes(), 30 * MIB);
}
