//! Runs a scenario on sockets. The balancers are real processes. The servers, the discovery agents,
//! the front end and the clients are stand-ins in this process, on a few threads. Each run has
//! loopback addresses of its own. The fleet model is the same as in virtual time and advances with
//! the real time that has passed. A run owns its addresses, files and processes and releases them
//! at the end. If the machine can't keep up, the run is void and has no valid result.

mod addresses;
mod client;
mod client_flow;
mod discovery;
mod error;
pub mod faulty;
mod processes;
mod run_state;
mod server;
mod shared_run;

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use nettlemux_fleet_model::observation::{Observation, RECORD_FORMAT_VERSION};
use nettlemux_fleet_model::scenario::Scenario;
use nettlemux_policy::{MS, SEC, Time};
use tokio::time::Instant;

use crate::figures::Figures;
use crate::record::Writer;
use crate::rules::Verdict;
pub use error::SocketRunError;
use processes::Processes;
use shared_run::SharedRun;

/// Interval between two advances of the model.
const TICK_INTERVAL: Time = 100 * MS;
/// Added to each time limit of the rules on sockets.
pub const TIME_LIMIT_TOLERANCE: Time = 50 * MS;
/// How long the run waits until all standing connections are established.
const STANDING_TIMEOUT: Duration = Duration::from_secs(40);
/// A tick with a higher delay counts as late. The machine is too slow if more than a few ticks are
/// late: the delay is a large part of the tolerance of the time limits.
const LATE_TICK_THRESHOLD: Time = 25 * MS;
/// The share of ticks that may be late.
const LATE_TICK_SHARE_MAX: f64 = 0.02;
/// The highest delay that a single tick may have.
const TICK_DELAY_MAX: Time = 400 * MS;
/// Threads of the stand-ins. There are few because the balancers need the cores.
const STAND_IN_THREADS: usize = 3;

/// The program that is run as each balancer.
#[derive(Clone, Debug)]
pub struct Program {
    /// The program's path.
    pub path: PathBuf,
    /// Its arguments.
    pub args: Vec<String>,
}

impl Program {
    /// Returns the program at this path with the argument `serve`.
    pub fn serve_command(path: PathBuf) -> Self {
        Program {
            path,
            args: vec!["serve".into()],
        }
    }
}

/// Returns the version that a program reports, or `unknown` if it reports none.
pub fn version(program: &Program) -> String {
    processes::version(program)
}

/// The outcome of a run on sockets.
pub struct Outcome {
    /// The figures, from the settling time on.
    pub figures: Figures,
    /// The verdict of the rule checker.
    pub verdict: Verdict,
    /// For each balancer, processor seconds per second of the run and peak resident memory in MB.
    pub balancers: Vec<(f64, f64)>,
    /// Why the run has no valid result: the machine was too slow, or not all standing connections
    /// were established.
    pub void: Option<String>,
    /// One report for each balancer that exited unexpectedly, with the end of its log.
    pub unexpected_exits: Vec<String>,
}

/// Runs a scenario in real time.
///
/// # Errors
/// The program can't be started, no loopback addresses are free, or a file can't be used.
pub fn run(
    scenario: &Scenario,
    seed: u64,
    program: &Program,
    record: Option<Writer>,
    logs: Option<&Path>,
) -> Result<Outcome, SocketRunError> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(STAND_IN_THREADS)
        .enable_all()
        .build();
    let runtime = runtime.map_err(SocketRunError::Threads)?;
    let outcome = runtime.block_on(run_scenario(scenario, seed, program, record, logs));
    runtime.shutdown_timeout(Duration::from_millis(500));
    outcome
}

async fn run_scenario(
    scenario: &Scenario,
    seed: u64,
    program: &Program,
    record: Option<Writer>,
    logs: Option<&Path>,
) -> Result<Outcome, SocketRunError> {
    let shared = SharedRun::new(scenario.clone(), seed, record)?;
    let version = version(program);
    let name = scenario.name.clone();
    shared.observe(Observation::Header {
        version: RECORD_FORMAT_VERSION,
        scenario: name,
        seed,
        program: version,
    });
    for server in 0..scenario.fleet.servers {
        shared.register_server(server);
    }
    for balancer in 0..scenario.balancers.number {
        discovery::start(&shared, balancer).await?;
    }
    let mut processes = Processes::new(&shared, program, logs)?;
    processes.start_all().await?;
    let void = open_standing_connections(&shared).await;
    shared.start_clock();
    let arrivals = tokio::spawn(client::spawn_arriving_clients(shared.clone()));
    let mut tick_delays = Vec::new();
    let (begun, end) = (Instant::now(), scenario.end());
    let mut next = TICK_INTERVAL;
    while next <= end {
        tokio::time::sleep_until(begun + Duration::from_nanos(next)).await;
        let now = shared.now();
        tick_delays.push(now.saturating_sub(next));
        for event in shared.tick(now) {
            processes.handle_event(event, now);
        }
        processes.update(now);
        // Missed ticks are skipped because the model advances by the time that has passed.
        next = next.max(now - now % TICK_INTERVAL) + TICK_INTERVAL;
    }
    arrivals.abort();
    let balancers = processes.usage();
    let outcome = shared.finish(end, &balancers);
    let died = processes.take_died();
    let void = void.or_else(|| too_slow(&tick_delays));
    let (figures, verdict) = outcome.map_err(SocketRunError::Record)?;
    Ok(Outcome {
        figures,
        verdict,
        balancers,
        void,
        unexpected_exits: died,
    })
}

/// Returns why the run is void if the delays of its ticks show that the machine did not keep up.
fn too_slow(tick_delays: &[Time]) -> Option<String> {
    let late = tick_delays
        .iter()
        .filter(|delay| **delay > LATE_TICK_THRESHOLD)
        .count();
    let highest = tick_delays.iter().max().copied().unwrap_or(0);
    let slow =
        late as f64 > LATE_TICK_SHARE_MAX * tick_delays.len() as f64 || highest > TICK_DELAY_MAX;
    let all = tick_delays.len();
    slow.then(|| {
        format!(
            "the machine was too slow: {late} of {all} ticks late, by up to {} ms",
            highest / MS
        )
    })
}

/// Opens the standing connections before the run, paced so that no accept queue overflows. Returns
/// why the run is void if some are not established.
async fn open_standing_connections(shared: &Arc<SharedRun>) -> Option<String> {
    let count = shared.scenario.clients.standing;
    for k in 0..count {
        client::start_standing_client(shared);
        if k % 50 == 49 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
    let until = Instant::now() + STANDING_TIMEOUT;
    while shared.established_standing() < count && Instant::now() < until {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let established = shared.established_standing();
    (established < count).then(|| {
        format!(
            "{established} of {count} standing connections were established within {} s",
            STANDING_TIMEOUT.as_secs()
        )
    })
}

/// Converts a time of the run to a duration.
fn to_duration(time: Time) -> Duration {
    Duration::from_nanos(time)
}

/// Longer than any run: for waits that never end within a run.
const LONGER_THAN_ANY_RUN: Time = 3600 * SEC;

#[cfg(test)]
mod tests;
