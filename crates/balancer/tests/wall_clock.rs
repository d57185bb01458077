//! A machine's wall clock may be stepped, forward or back, by seconds or by an hour, before the
//! program starts or while it runs; the monotonic clock runs on. Servers in slow start, deadlines
//! and waits go by the latter.

mod common;

use std::thread;
use std::time::{Duration, Instant, SystemTime};

use common::faults::Faults;
use common::toy::{ServerBehavior, ToyServer};
use common::{TestBalancer, wait_for, with_settings};
use serde_json::json;

/// Servers that are warm from the start.
const WARM: usize = 4;
/// Clients a second.
const RATE: u32 = 40;
/// How far a wall clock may be off, in seconds.
const STEPS: [i64; 5] = [0, 5, -5, 3600, -3600];

fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64
}

/// A balancer on a machine whose wall clock is so far off, among servers that are warm after so
/// long.
fn balancer(step: i64, start_capacity: f64, warm_up: Duration) -> TestBalancer {
    let faults = Faults::none();
    faults.set(&format!("clock_gettime step {step}"));
    let config = |config: String| {
        with_settings(
            &config,
            &[
                ("contract/start-capacity", json!(start_capacity)),
                ("contract/warm-up", json!(warm_up.as_micros() as u64)),
                ("contract/fall-multiple", json!(1.0)),
                ("contract/fall", json!(2_000_000)),
                ("limits/probes", json!(false)),
            ],
        )
    };
    let balancer = TestBalancer::start(WARM, config, Some(faults));
    balancer.wait_until_serving();
    balancer
}

/// Clients come for so long, each served and gone; how many of them this server had.
fn clients_for(balancer: &TestBalancer, time: Duration, counted: &ToyServer) -> usize {
    let before = counted.first_lines().len();
    let since = Instant::now();
    for number in 0.. {
        let at = Duration::from_secs(1) * number / RATE;
        if at >= time {
            break;
        }
        thread::sleep(at.saturating_sub(since.elapsed()));
        balancer.client("c=chat,d=900").read_line();
    }
    counted.first_lines().len() - before
}

/// A server that starts during the watch is in slow start, by all settings, whatever the wall clock
/// makes of its start.
#[test]
fn a_server_that_starts_during_the_watch_is_in_slow_start() {
    thread::scope(|scope| {
        for step in STEPS {
            scope.spawn(move || {
                let (start_capacity, window) = (0.05, Duration::from_secs(2));
                let balancer = balancer(step, start_capacity, Duration::from_secs(60));
                let fresh = ToyServer::start("127.0.0.1:0").unwrap();
                clients_for(&balancer, Duration::from_secs(3), &fresh);
                balancer
                    .agent
                    .publish_started("s-fresh", fresh.address, "Ready", unix_ms());
                let sent = clients_for(&balancer, window, &fresh);
                // What the settings allow it, by what a warm one gets, and the chance that the
                // operators put down to few.
                let allowed = start_capacity * f64::from(RATE) / WARM as f64 * window.as_secs_f64();
                let most = allowed + 3.0 * allowed.sqrt() + 3.0;
                assert!(
                    sent as f64 <= most,
                    "clock {step} s off: {sent} sent, {most:.1} at the most"
                );
            });
        }
    });
}

/// And it is warm once its warm-up has passed, also where it was on the first list, with a start in
/// the balancer's future.
#[test]
fn a_server_is_warm_after_its_warm_up() {
    thread::scope(|scope| {
        for (step, first_list) in STEPS
            .into_iter()
            .flat_map(|step| [(step, false), (step, true)])
        {
            scope.spawn(move || {
                let warm_up = Duration::from_secs(2);
                let mut balancer = balancer(step, 0.01, warm_up);
                let fresh = ToyServer::start("127.0.0.1:0").unwrap();
                balancer
                    .agent
                    .publish_started("s-fresh", fresh.address, "Ready", unix_ms());
                if first_list {
                    balancer.restart_with_arguments(&[]);
                    balancer.wait_until_serving();
                }
                clients_for(&balancer, warm_up + Duration::from_millis(1500), &fresh);
                let span = Duration::from_secs(2);
                let sent = clients_for(&balancer, span, &fresh);
                let share = f64::from(RATE) * span.as_secs_f64() / (WARM + 1) as f64;
                assert!(
                    sent as f64 >= share / 2.0,
                    "clock {step} s off, {first_list}: {sent} of {share}"
                );
            });
        }
    });
}

/// Deadlines are spans of real time, whatever becomes of the wall clock meanwhile.
#[test]
fn a_flow_is_answered_by_its_deadline_while_the_clock_is_stepped() {
    let balancer = balancer(0, 0.35, Duration::from_secs(8));
    balancer
        .servers
        .iter()
        .for_each(|server| server.set_behavior(ServerBehavior::Silent));
    for step in STEPS {
        let since = Instant::now();
        let mut client = balancer.client("c=order,d=600");
        thread::sleep(Duration::from_millis(200));
        balancer.faults().set(&format!("clock_gettime step {step}"));
        let answer = client.read_line();
        let took = since.elapsed().as_millis();
        // A flow that was forwarded has all its time; one that waits, since the others were not
        // answered, may be answered before.
        let in_time = if answer == "ERR" {
            (500..700).contains(&took)
        } else {
            took < 700
        };
        assert!(
            in_time && (answer == "ERR" || answer.starts_with("BUSY")),
            "{step}: {answer} {took} ms"
        );
        assert_eq!(client.read_line(), "end", "{step}");
    }
    balancer
        .servers
        .iter()
        .for_each(|server| server.set_behavior(ServerBehavior::Serving));
    wait_for("a client served", || {
        balancer.client("c=chat,d=900").receives("UP 1")
    });
}
