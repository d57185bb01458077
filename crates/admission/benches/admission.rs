//! The cost of a flow in admission control. Each iteration submits one flow, admits one and closes
//! it. The parameter is the number of keys.

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

fn admission_with_queued_flows(keys: u64) -> AdmissionController {
    let mut admission = AdmissionController::new(
        AdmissionConfig {
            queue_limit: 1 << 20,
            ..AdmissionConfig::default()
        },
        1,
    );
    // Sets the connection rate. The admission rate, which decides whether a flow is expected to be
    // late, keeps its initial value of 10 flows per second. So with 100,000 keys only about 36,000
    // flows are queued and the others are rejected.
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

fn submit_admit_and_close(c: &mut Criterion) {
    let mut group = c.benchmark_group("a flow is submitted, one admitted, one closed");
    for keys in [10u64, 1_000, 100_000] {
        let mut admission = admission_with_queued_flows(keys);
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

criterion_group!(benches, submit_admit_and_close);
criterion_main!(benches);
