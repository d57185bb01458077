//! The cost of a flow in admission control: one is submitted, one admitted and one closed, by the
//! number of keys with flows that wait.

use criterion::{BatchSize, BenchmarkId, Criterion, criterion_group, criterion_main};
use nettlemux_admission::{
    AdmissionConfig, AdmissionController, AdmissionDecision, AdmissionRequest, hash_key,
};
use nettlemux_policy::SEC;

fn request(flow: u64, key: u64) -> AdmissionRequest {
    AdmissionRequest {
        flow,
        key,
        client: key,
        is_retry: false,
        latency_deadline: 3600 * SEC,
    }
}

fn admission(keys: u64) -> AdmissionController {
    let mut admission = AdmissionController::new(
        AdmissionConfig {
            queue_limit: 1 << 20,
            ..AdmissionConfig::default()
        },
        1,
    );
    // A service rate at which none of them is late.
    (0..2_000_000).for_each(|k| admission.flow_connected(k * SEC / 1_000_000));
    let mut decisions = Vec::new();
    (0..keys).for_each(|key| {
        admission.submit(
            2 * SEC,
            request(key, hash_key(1, &key.to_le_bytes())),
            &mut decisions,
        )
    });
    admission
}

fn admit(c: &mut Criterion) {
    let mut group = c.benchmark_group("a flow is submitted, one admitted, one closed");
    for keys in [10u64, 1_000, 100_000] {
        let mut admission = admission(keys);
        let mut flow = keys;
        group.bench_function(BenchmarkId::from_parameter(keys), |b| {
            b.iter_batched(
                Vec::new,
                |mut decisions| {
                    flow += 1;
                    let key = hash_key(1, &(flow % keys).to_le_bytes());
                    admission.submit(2 * SEC, request(flow, key), &mut decisions);
                    admission.next_decisions(2 * SEC, &mut decisions);
                    if let Some(AdmissionDecision::Admit(admitted)) = decisions.last() {
                        admission.flow_closed(*admitted);
                    }
                    decisions
                },
                BatchSize::SmallInput,
            );
        });
    }
    group.finish();
}

criterion_group!(benches, admit);
criterion_main!(benches);
