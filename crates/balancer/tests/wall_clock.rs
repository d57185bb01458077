//! The wall clock of a machine may be stepped forward or back, by seconds or by an hour, before the
//! program starts or while it runs. The monotonic clock is not stepped. Slow start, deadlines and
//! waits have to follow the monotonic clock.

mod common;

use std::thread;
use std::time::{Duration, Instant, SystemTime};

use common::faults::FaultPlan;
use common::toy::{ServerBehavior, ToyServer};
use common::{TestBalancer, wait_for, with_settings};
use serde_json::json;

/// Number of servers that are warm from the start.
const WARM_SERVERS: usize = 4;
const CLIENTS_PER_SECOND: u32 = 40;
/// Steps of the wall clock in seconds.
const CLOCK_STEPS_S: [i64; 5] = [0, 5, -5, 3600, -3600];

fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64
}

/// Starts a balancer whose wall clock is `step` seconds ahead, with servers whose warm-up takes
/// `warm_up`.
fn balancer(step: i64, start_capacity: f64, warm_up: Duration) -> TestBalancer {
    let faults = FaultPlan::empty();
    faults.replace(&format!("clock_gettime step {step}"));
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
    let balancer = TestBalancer::start(WARM_SERVERS, config, Some(faults));
    balancer.wait_until_serving();
    balancer
}

/// Opens clients one after another for this time; each is served and disconnects. Returns how many
/// of them `server` got.
fn count_clients(balancer: &TestBalancer, time: Duration, server: &ToyServer) -> usize {
    let before = server.first_lines().len();
    let since = Instant::now();
    for number in 0.. {
        let at = Duration::from_secs(1) * number / CLIENTS_PER_SECOND;
        if at >= time {
            break;
        }
        thread::sleep(at.saturating_sub(since.elapsed()));
        balancer.client("c=chat,d=900").read_line();
    }
    server.first_lines().len() - before
}

/// Guards against a new server that gets full traffic because a stepped wall clock makes its start
/// look long past. A server that starts while the balancer watches the endpoint list is in slow
/// start, with every step of the clock.
#[test]
fn server_that_starts_while_the_balancer_runs_is_in_slow_start() {
    thread::scope(|scope| {
        for step in CLOCK_STEPS_S {
            scope.spawn(move || {
                let (start_capacity, window) = (0.05, Duration::from_secs(2));
                let balancer = balancer(step, start_capacity, Duration::from_secs(60));
                let fresh = ToyServer::start("127.0.0.1:0").unwrap();
                count_clients(&balancer, Duration::from_secs(3), &fresh);
                balancer
                    .agent
                    .publish_started("s-fresh", fresh.address, "Ready", unix_ms());
                let sent = count_clients(&balancer, window, &fresh);
                // The start capacity allows this fraction of a warm server's clients. The rest of
                // the limit is for chance, which is large with few clients.
                let allowed = start_capacity * f64::from(CLIENTS_PER_SECOND) / WARM_SERVERS as f64
                    * window.as_secs_f64();
                let sent_max = allowed + 3.0 * allowed.sqrt() + 3.0;
                assert!(
                    sent as f64 <= sent_max,
                    "wall clock {step} s ahead: expected at most {sent_max:.1} clients, sent {sent}"
                );
            });
        }
    });
}

/// Guards against a server that stays in slow start because a stepped wall clock makes its start
/// look too late. The server has to be warm after its warm-up, even if it is on the first list with
/// a start in the balancer's future.
#[test]
fn server_is_warm_after_its_warm_up() {
    thread::scope(|scope| {
        for (step, on_first_list) in CLOCK_STEPS_S
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
                if on_first_list {
                    balancer.restart_with_arguments(&[]);
                    balancer.wait_until_serving();
                }
                count_clients(&balancer, warm_up + Duration::from_millis(1500), &fresh);
                let span = Duration::from_secs(2);
                let sent = count_clients(&balancer, span, &fresh);
                let share =
                    f64::from(CLIENTS_PER_SECOND) * span.as_secs_f64() / (WARM_SERVERS + 1) as f64;
                assert!(
                    sent as f64 >= share / 2.0,
                    "wall clock {step} s ahead, on first list {on_first_list}: expected at least \
                     half of {share} clients, sent {sent}"
                );
            });
        }
    });
}

/// Guards against deadlines that end early or late because the wall clock is stepped while a flow
/// is open. Deadlines are spans of monotonic time.
#[test]
fn flow_is_answered_by_its_deadline_when_the_wall_clock_is_stepped() {
    let balancer = balancer(0, 0.35, Duration::from_secs(8));
    balancer
        .servers
        .iter()
        .for_each(|server| server.set_behavior(ServerBehavior::Silent));
    for step in CLOCK_STEPS_S {
        let since = Instant::now();
        let mut client = balancer.client("c=order,d=600");
        thread::sleep(Duration::from_millis(200));
        balancer
            .faults()
            .replace(&format!("clock_gettime step {step}"));
        let answer = client.read_line();
        let took = since.elapsed().as_millis();
        // A flow that was forwarded uses its whole deadline. A flow that waits, because earlier
        // flows were not answered, may be rejected before its deadline.
        let in_time = if answer == "ERR" {
            (500..700).contains(&took)
        } else {
            took < 700
        };
        assert!(
            in_time && (answer == "ERR" || answer.starts_with("BUSY")),
            "wall clock {step} s ahead: expected ERR after 500 to 700 ms or BUSY before 700 ms, \
             found {answer} after {took} ms"
        );
        assert_eq!(
            client.read_line(),
            "end",
            "wall clock {step} s ahead: expected one answer only"
        );
    }
    balancer
        .servers
        .iter()
        .for_each(|server| server.set_behavior(ServerBehavior::Serving));
    wait_for("served client", || {
        balancer.client("c=chat,d=900").next_line_is("UP 1")
    });
}
