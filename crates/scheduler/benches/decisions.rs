//! Measures the time of single decisions: `cargo bench -p foxnotch-scheduler`.

// `criterion_group` generates a public function without documentation.
#![allow(missing_docs)]

use criterion::{criterion_group, criterion_main, Criterion};
use foxnotch_scheduler::cost::ServicePrices;
use foxnotch_scheduler::distance::Proximity;
use foxnotch_scheduler::engine_choice::{self, EngineFacts, ServiceFacts};
use foxnotch_scheduler::engine_health::EngineHealth;
use foxnotch_scheduler::outliers::{FailureRates, Outcomes};
use foxnotch_scheduler::quota::{Admission, Answer, Demand, PriorGrants, ProgramStage, QuotaRules, QuotaShares};
use foxnotch_scheduler::residency::Residency;
use foxnotch_scheduler::tenants::{KeyDigest, PresentedKey, RateLimit, Tenant, TenantDirectory};
use std::hint::black_box;
use std::time::Duration;

/// Tenants in the benchmarks.
const TENANTS: u64 = 10_000;
/// Engines in the benchmarks.
const ENGINES: u32 = 800;

fn demand(tenant: u64, program: u64) -> Demand {
    let limit = RateLimit { per_second: 100.0, burst: 100.0 };
    Demand { tenant, limit, version: 1, share_count: 5, program, stage: ProgramStage::Running }
}

fn bench_quota(bench: &mut Criterion) {
    let rules = QuotaRules { window_s: 5.0, overage: 0.1, slack: 20.0 };
    let mut shares = QuotaShares::new(rules, Admission::WholePrograms, PriorGrants::None, Duration::ZERO);
    let mut iteration = 0u64;
    bench.bench_function("a limit among 10,000 tenants", |bencher| {
        bencher.iter(|| {
            iteration += 1;
            let now = Duration::from_micros(10_000_000 + iteration * 20);
            let answer = shares.try_acquire(&demand(iteration % TENANTS, iteration / 7), now);
            if let Answer::NeedsCap(cap) = answer {
                shares.note_cap_write_ended(cap, true);
            }
            black_box(answer)
        });
    });
}

fn bench_key_lookup(bench: &mut Criterion) {
    let tenant = |number: u64| Tenant {
        name: format!("tenant-{number}"),
        keys: vec![KeyDigest::of(&number.to_le_bytes())],
        priority: None,
        limit: None,
        residency: Residency::default(),
    };
    let tenants: Vec<Tenant> = (0..TENANTS).map(tenant).collect();
    let directory = TenantDirectory::new(&tenants);
    let mut iteration = 0u64;
    bench.bench_function("a key among 10,000 tenants", |bencher| {
        bencher.iter(|| {
            iteration += 1;
            let key = KeyDigest::of(&(iteration % (2 * TENANTS)).to_le_bytes());
            black_box(directory.identify(PresentedKey::One(key), false).is_ok())
        });
    });
}

fn bench_failure_rates(bench: &mut Criterion) {
    let outcomes: Vec<Outcomes> =
        (0..ENGINES).map(|engine| Outcomes { answered: 20, failed: u32::from(engine % 50 == 0) }).collect();
    bench.bench_function("failures of 800 engines", |bencher| {
        bencher.iter(|| {
            let failure_rates = FailureRates::of(outcomes.iter().copied());
            black_box(outcomes.iter().map(|engine| failure_rates.failure_probability(*engine)).sum::<f64>())
        });
    });
}

fn bench_engine_choice(bench: &mut Criterion) {
    let facts = |engine: u32| EngineFacts {
        proximity: Proximity::SameRegion,
        round_trip_ms: 1.0,
        traffic_ms: 2.0,
        in_flight: f64::from(engine % 7),
        slots: 12,
        is_connected: !engine.is_multiple_of(3),
        is_cold: engine.is_multiple_of(50),
        is_of_other_group: false,
        health: EngineHealth::Available,
        has_failed_program: false,
        outcomes: Outcomes { answered: 20, failed: u32::from(engine.is_multiple_of(50)) },
        missing_tokens: 2000.0,
    };
    let engines: Vec<EngineFacts> = (0..ENGINES).map(facts).collect();
    let failure_rates = Some(FailureRates::of(engines.iter().map(|engine| engine.outcomes)));
    let service = ServiceFacts { is_model: true, prices: ServicePrices::PRIOR, failure_rates };
    bench.bench_function("a choice among 800 engines", |bencher| {
        bencher.iter(|| black_box(engine_choice::choose_engine(&engines, &service, rand::random::<f64>)));
    });
}

criterion_group!(benches, bench_quota, bench_key_lookup, bench_failure_rates, bench_engine_choice);
criterion_main!(benches);
