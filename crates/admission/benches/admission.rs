//! What a flow costs at the door: one comes, one has its turn, one is over, with so many keys that have someone waiting.

use criterion::{BatchSize, BenchmarkId, Criterion, criterion_group, criterion_main};
use nettlemux_admission::{AdmissionConfig, AdmissionController, AdmissionRequest};
use nettlemux_policy::SEC;

fn ticket(flow: u64, key: u64) -> AdmissionRequest {
    AdmissionRequest {
        flow,
        key,
        client: key,
        retry: false,
        target: 3600 * SEC,
    }
}

fn admission(keys: u64) -> AdmissionController {
    let mut admission = AdmissionController::new(
        AdmissionConfig {
            waiting: 1 << 20,
            ..AdmissionConfig::default()
        },
        1,
    );
    // A pace at which none of them is late.
    (0..2_000_000).for_each(|k| admission.flow_connected(k * SEC / 1_000_000));
    let mut out = Vec::new();
    (0..keys).for_each(|key| {
        admission.arrives(
            2 * SEC,
            ticket(key, nettlemux_admission::key(1, &key.to_le_bytes())),
            &mut out,
        )
    });
    admission
}

fn decide(c: &mut Criterion) {
    let mut group = c.benchmark_group("a flow comes, one has its turn, one is over");
    for keys in [10u64, 1_000, 100_000] {
        let mut one = admission(keys);
        let mut flow = keys;
        group.bench_function(BenchmarkId::from_parameter(keys), |b| {
            b.iter_batched(
                Vec::new,
                |mut out| {
                    flow += 1;
                    let key = nettlemux_admission::key(1, &(flow % keys).to_le_bytes());
                    one.arrives(2 * SEC, ticket(flow, key), &mut out);
                    one.turns(2 * SEC, &mut out);
                    if let Some(nettlemux_admission::AdmissionDecision::Admit(entered)) = out.last()
                    {
                        one.over(*entered);
                    }
                    out
                },
                BatchSize::SmallInput,
            );
        });
    }
    group.finish();
}

criterion_group!(benches, decide);
criterion_main!(benches);
