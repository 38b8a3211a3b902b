//! Time of the placement of a generation with 100 and 1,000 engines.

use std::hint::black_box;
use std::time::Duration;

use criterion::{BenchmarkId, Criterion};
use ragwortgrade_policy::Instant;
use ragwortgrade_policy::gateway::{
    DeliverySemantics, Endpoint, EndpointState, EngineLimits, EngineWork, Engines, Part, Prompt,
    Route, Speed, SpeedKind, SpeedSample, Stage, WaitLimit,
};
use ragwortgrade_schema::Name;

/// Numbers of engines: a deployment and the target scale.
const ENGINES: [usize; 2] = [100, 1_000];
/// Daemons that report work.
const PEERS: usize = 8;
const NOW: Instant = Instant::from_millis(1_000);

fn endpoints(count: usize) -> Vec<Endpoint> {
    let endpoint = |number: usize| Endpoint {
        id: format!("engine-{number}").into(),
        service: "models".into(),
        address: ([127, 0, 0, 1], 80).into(),
        data_centre: format!("dc{}", number % 4).into(),
        slots: 32,
        state: EndpointState::Ready,
        cold_remaining: Duration::ZERO,
        stage: Some(if number.is_multiple_of(3) {
            Stage::Prefill
        } else {
            Stage::Decode
        }),
        started_ms: None,
        is_spot: false,
        leaves_in: None,
    };
    (0..count).map(endpoint).collect()
}

fn route(rank: u8, target_ms: u64) -> Route {
    Route {
        name: format!("kind-{rank}").into(),
        host: "shop.example".into(),
        prefix: "/a/".into(),
        delivery: DeliverySemantics::Stream,
        time_limit: Duration::from_secs(10),
        target: Duration::from_millis(target_ms),
        pause_target: Some(Duration::from_millis(200)),
        rank,
        attempts_max: 1,
        is_public: false,
        traffic_split: vec![("models".into(), 1)],
    }
}

/// Creates engines of three speeds with sequences and prefills of several daemons.
fn engines(endpoints: &[Endpoint], routes: &[Route]) -> Engines {
    let mut engines = Engines::open(Speed::default());
    engines.apply_routes(routes);
    for peer in 0..PEERS {
        let work = endpoints.iter().enumerate().map(|(number, endpoint)| {
            let mut work = EngineWork {
                sequences: (number % 4) as u32,
                ..EngineWork::default()
            };
            work.prefill_ms[2] = (number % 7) as f64;
            work.longest_ms[2] = work.prefill_ms[2];
            (endpoint.id.clone(), work)
        });
        let peer = Name::from(format!("peer-{peer}"));
        engines.update_peer(&peer, work.collect(), NOW);
    }
    for (number, endpoint) in endpoints.iter().enumerate() {
        for kind in [SpeedKind::Prefill, SpeedKind::Decode] {
            let sample = SpeedSample {
                engine: endpoint.id.clone(),
                kind,
                ratio: [1.4, 1.4, 0.6][number / 3 % 3],
            };
            engines.record_peer_speeds(&vec![sample; 5], NOW);
        }
    }
    engines
}

fn prompt() -> Prompt {
    let part = |id, tokens| Part { id, tokens };
    Prompt {
        tokens: 12_000,
        output_tokens_max: 1_000,
        output_tokens_hint: Some(290),
        parts: vec![part(7, 5_382), part(u64::MAX, 6_618)],
        ..Prompt::default()
    }
}

fn main() {
    let routes = [route(0, 1_000), route(1, 500), route(2, 500)];
    let limits = EngineLimits {
        sequences_max: 32,
        kv_tokens: 800_000,
        kv_token_bytes: 35_136.0,
        link_mbps: 550_000.0,
        event_tokens: 10,
        handle_ttl: Duration::from_secs(5),
    };
    let (prompt, data_centre) = (prompt(), Name::from("dc1"));
    let mut criterion = Criterion::default().configure_from_args();
    let mut group = criterion.benchmark_group("place");
    for count in ENGINES {
        let endpoints = endpoints(count);
        let candidates: Vec<&Endpoint> = endpoints.iter().collect();
        let engines = engines(&endpoints, &routes);
        group.bench_function(BenchmarkId::from_parameter(count), |bencher| {
            bencher.iter(|| {
                black_box(engines.place(
                    &candidates,
                    &prompt,
                    &routes[2],
                    &limits,
                    Duration::from_secs(10),
                    WaitLimit::default(),
                    &[],
                    &data_centre,
                    NOW,
                ))
            });
        });
    }
    group.finish();
    criterion.final_summary();
}
