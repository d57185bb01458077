//! Settings and load reports with numbers of any size. Each number is either rejected with an error
//! that names its field, or skipped, or used in decisions without a panic.

#[path = "../../balancer/tests/common/draws.rs"]
mod draws;

use std::panic::catch_unwind;

use draws::SeededRandom;
use nettlemux_policy::{
    AttemptEnd, Endpoint, EndpointState, Flow, MS, Placement, Policy, PolicyEvent, SEC, Time,
    TrafficClass,
};
use nettlemux_settings::{DrainMigration, LoadReportFormat, Settings};
use serde_json::{Value, json};

/// The number of seeds that are run.
const SEEDS: u64 = 300;
/// The number of steps of each run.
const STEPS_PER_RUN: u64 = 80;
const SERVERS: u64 = 6;
/// Numbers as they are written in settings and load reports.
const NUMBERS: [&str; 14] = [
    "0",
    "-1",
    "1e-300",
    "0.3",
    "1",
    "3",
    "17",
    "1e9",
    "1e12",
    "1e15",
    "1e30",
    "-1e30",
    "1e300",
    "18446744073709551615",
];
/// Paths of the settings that are numbers.
const NUMERIC_SETTINGS: [&str; 11] = [
    "/costs/probe",
    "/replicas-of-me",
    "/surplus-value",
    "/contract/start-capacity",
    "/contract/warm-up",
    "/contract/fall-multiple",
    "/contract/fall",
    "/limits/max-retry-after",
    "/service-types/0/hard-limit",
    "/service-types/0/value",
    "/accounts/0/fraction",
];

fn settings(draws: &mut SeededRandom) -> Value {
    let mut settings = json!({
        "costs": {"probe": 0.01}, "replicas-of-me": 2, "surplus-value": 0.5,
        "contract": {"start-capacity": 0.35, "warm-up": 8e6, "fall-multiple": 3.0, "fall": 2e6},
        "limits": {"max-connects": 3, "probes": true, "retry-after": true, "max-retry-after": 2e6,
            "may-cancel": true},
        "report": {"how": "pull"}, "accounts": [{"name": "t", "fraction": 0.5}],
        "service-types": [{"name": "a", "hard-limit": 1e6, "value": 1.0, "repeat": "free"}],
    });
    for _ in 0..1 + draws.below(3) {
        let path = draws.choose(&NUMERIC_SETTINGS);
        *settings.pointer_mut(path).unwrap() = draws.choose(&NUMBERS).parse().unwrap();
    }
    settings
}

fn endpoint_list(draws: &mut SeededRandom) -> Vec<Endpoint> {
    let endpoint = |server_id, weight: &str| Endpoint {
        server_id,
        state: EndpointState::Ready,
        weight: weight.parse().unwrap(),
        started: started_at(server_id),
        ..Endpoint::default()
    };
    (0..SERVERS)
        .map(|id| endpoint(id, draws.choose(&NUMBERS)))
        .collect()
}

/// Half of the servers have started recently.
fn started_at(server_id: u64) -> Time {
    if server_id.is_multiple_of(2) {
        0
    } else {
        100 * SEC
    }
}

/// Runs one seed. Panics if a decision panics.
fn run(seed: u64) {
    let mut draws = SeededRandom::new(seed);
    let settings = settings(&mut draws);
    let parsed = Settings::from_embedded(&settings).unwrap();
    let mut policy = match parsed.policy(seed, 15 * MS, DrainMigration::Enabled) {
        Ok(policy) => policy,
        Err(error) => return assert!(error.to_string().starts_with("field '"), "{error}"),
    };
    let classes = parsed.traffic_classes().unwrap();
    let mut now = 100 * SEC;
    policy.update_endpoints(now, &endpoint_list(&mut draws), true);
    for id in 0..STEPS_PER_RUN {
        now += draws.below(400) * MS;
        let class = classes.first().copied().unwrap_or_default();
        step(&mut policy, &mut draws, now, id, class);
    }
}

/// One load report, one flow with its attempt, and one timer event.
fn step(policy: &mut Policy, draws: &mut SeededRandom, now: Time, id: u64, class: TrafficClass) {
    let report = format!(
        "busy={},rif={}",
        draws.choose(&NUMBERS),
        draws.choose(&NUMBERS)
    );
    let report = LoadReportFormat::default().parse(&report, '=').unwrap();
    let health_checked = PolicyEvent::HealthChecked {
        server_id: draws.below(SERVERS),
        passed: draws.below(8) > 0,
        report,
    };
    policy.on_event(now, health_checked);
    let flow = Flow {
        id,
        class,
        accepted_at: now,
        deadline: now + SEC,
        ..Flow::default()
    };
    if let Placement::Forward { server_id, .. } = policy.place(now, &flow) {
        let took = draws.below(50) * MS;
        let event = match draws.below(3) {
            0 => PolicyEvent::AttemptEnded {
                flow: id,
                server_id,
                end: AttemptEnd::Overloaded,
                unanswered: None,
            },
            _ => PolicyEvent::Connected {
                flow: id,
                connect_duration: took,
            },
        };
        policy.on_event(now + took, event);
        policy.update_connection_load(id, draws.choose(&NUMBERS).parse().unwrap());
    }
    policy.on_event(now, PolicyEvent::TimerExpired);
    policy.time_to_next_timer(now);
}

/// Guards against overflow in decisions that use an unchecked number.
#[test]
fn numbers_of_any_size_cause_no_panic() {
    let panicked: Vec<u64> = (0..SEEDS)
        .filter(|seed| catch_unwind(|| run(*seed)).is_err())
        .collect();
    assert!(panicked.is_empty(), "seeds {panicked:?} panicked");
}
