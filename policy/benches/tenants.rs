//! Time to index 1,000 tenants of 10 keys each, with and without the index of the version before.

use std::hint::black_box;

use criterion::Criterion;
use ragwortgrade_policy::gateway::{ApiKey, Tenant, Tenants};

const TENANTS: usize = 1_000;
const KEYS: usize = 10;

fn tenants(changed: usize) -> Vec<Tenant> {
    let tenants = (0..TENANTS).map(|number| {
        let version = usize::from(number < changed);
        let keys = (0..KEYS).map(|key| format!("{number:08}{key:06}{version:06}"));
        Tenant {
            name: format!("t-{number}").into(),
            keys: keys.filter_map(|key| ApiKey::new(key.as_bytes())).collect(),
            rank: None,
        }
    });
    tenants.collect()
}

fn bench_index(criterion: &mut Criterion) {
    let before = Tenants::new(tenants(0), None);
    let mut group = criterion.benchmark_group("tenants");
    group.bench_function("first version", |bencher| {
        let setup = || tenants(0);
        let routine = |tenants| Tenants::new(tenants, None);
        bencher.iter_batched(setup, routine, criterion::BatchSize::LargeInput);
    });
    group.bench_function("one tenant changed", |bencher| {
        let setup = || tenants(1);
        let routine = |tenants| {
            let after = Tenants::new(tenants, Some(&before));
            let changes = after.changes_since(&before);
            (after, changes)
        };
        bencher.iter_batched(setup, routine, criterion::BatchSize::LargeInput);
    });
    let key = ApiKey::new(b"00000500000005000000").expect("the key has bytes");
    group.bench_function("look-up", |bencher| {
        bencher.iter(|| before.find(&black_box(&key).digest()).is_some());
    });
    group.finish();
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    bench_index(&mut criterion);
    criterion.final_summary();
}
