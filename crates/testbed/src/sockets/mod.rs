//! A scenario on sockets: real balancer processes between stand-ins for servers, discovery, the
//! front end and clients, all in this process on a few threads, on loopback addresses of the run's
//! own. The model is the same as in virtual time and is asked with the time that has passed. It
//! owns the run's addresses, files and processes and gives them back at the end. A machine that
//! can't keep up makes the run void, never a result.

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

use nettlemux_fleet_model::observation::{Observation, VERSION};
use nettlemux_fleet_model::scenario::Scenario;
use nettlemux_policy::{MS, SEC, Time};
use tokio::time::Instant;

use crate::figures::Figures;
use crate::record::Writer;
use crate::rules::Verdict;
pub use error::SocketRunError;
use processes::Processes;
use shared_run::SharedRun;

/// How often the model is moved on.
const TICK: Time = 100 * MS;
/// Each time limit of the rules is so much longer on sockets.
pub const SLACK: Time = 50 * MS;
/// Standing connections that aren't up by then won't be.
const STANDING: Duration = Duration::from_secs(40);
/// A tick that comes later than this, but for a few, shows a machine that is too slow: a good part
/// of the slack.
const LATE: Time = 25 * MS;
/// The part of ticks that may be so late, and how late none may be.
const LATE_PART: f64 = 0.02;
const LATEST: Time = 400 * MS;
/// Threads of the stand-ins: the balancers need the cores.
const THREADS: usize = 3;

/// What is run as the balancers.
#[derive(Clone, Debug)]
pub struct Program {
    /// The program's path.
    pub path: PathBuf,
    /// Its arguments.
    pub args: Vec<String>,
}

impl Program {
    /// Returns a balancer's program, run to serve.
    pub fn serving(path: PathBuf) -> Self {
        Program {
            path,
            args: vec!["serve".into()],
        }
    }
}

/// What a program says of its version; `unknown` where it says nothing.
pub fn version(program: &Program) -> String {
    processes::version(program)
}

/// What a run on sockets comes to.
pub struct Outcome {
    /// The figures, from the settling time on.
    pub figures: Figures,
    /// What the rule checker said of the run.
    pub verdict: Verdict,
    /// Of each balancer: processor seconds for each second of the run, and its largest resident
    /// memory in MB.
    pub balancers: Vec<(f64, f64)>,
    /// Why it is no result: the machine was too slow, or not all that was to stand did.
    pub void: Option<String>,
    /// Balancers that died by themselves, each with the end of its log.
    pub died: Vec<String>,
}

/// Runs a scenario in real time.
///
/// # Errors
/// The program can't be started, or addresses or files can't be had.
pub fn run(
    scenario: &Scenario,
    seed: u64,
    program: &Program,
    record: Option<Writer>,
    logs: Option<&Path>,
) -> Result<Outcome, SocketRunError> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(THREADS)
        .enable_all()
        .build();
    let runtime = runtime.map_err(SocketRunError::Threads)?;
    let outcome = runtime.block_on(play(scenario, seed, program, record, logs));
    runtime.shutdown_timeout(Duration::from_millis(500));
    outcome
}

async fn play(
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
        version: VERSION,
        scenario: name,
        seed,
        program: version,
    });
    for server in 0..scenario.fleet.servers {
        shared.joins(server);
    }
    for balancer in 0..scenario.balancers.number {
        discovery::start(&shared, balancer).await?;
    }
    let mut processes = Processes::new(&shared, program, logs)?;
    processes.start_all().await?;
    let void = stand(&shared).await;
    shared.begins();
    let arrivals = tokio::spawn(client::arrive(shared.clone()));
    let mut late = Vec::new();
    let (begun, end) = (Instant::now(), scenario.end());
    let mut next = TICK;
    while next <= end {
        tokio::time::sleep_until(begun + Duration::from_nanos(next)).await;
        let now = shared.now();
        late.push(now.saturating_sub(next));
        for events in shared.tick(now) {
            processes.asked(events, now);
        }
        processes.watch(now);
        // A tick that was missed is not made up for: the model goes by the time that has passed.
        next = next.max(now - now % TICK) + TICK;
    }
    arrivals.abort();
    let balancers = processes.usage();
    let outcome = shared.finish(end, &balancers);
    let died = processes.end();
    let void = void.or_else(|| too_slow(&late));
    let (figures, verdict) = outcome.map_err(SocketRunError::Record)?;
    Ok(Outcome {
        figures,
        verdict,
        balancers,
        void,
        died,
    })
}

/// Whether the machine kept up, by how late each tick came: a run on one that didn't is no result.
fn too_slow(late: &[Time]) -> Option<String> {
    let many = late.iter().filter(|late| **late > LATE).count();
    let latest = late.iter().max().copied().unwrap_or(0);
    let slow = many as f64 > LATE_PART * late.len() as f64 || latest > LATEST;
    let all = late.len();
    slow.then(|| {
        format!(
            "the machine was too slow: {many} of {all} ticks late, by {} ms at worst",
            latest / MS
        )
    })
}

/// Sets up the connections that stand at the start, paced so that no queue overflows. Returns
/// why the run is void where some can't be had.
async fn stand(shared: &Arc<SharedRun>) -> Option<String> {
    let count = shared.scenario.clients.standing;
    for k in 0..count {
        client::stand(shared);
        if k % 50 == 49 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
    let until = Instant::now() + STANDING;
    while shared.standing() < count && Instant::now() < until {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let up = shared.standing();
    (up < count).then(|| {
        format!(
            "{up} of {count} standing connections came up within {} s",
            STANDING.as_secs()
        )
    })
}

/// A moment of the run as a span to wait.
fn span(time: Time) -> Duration {
    Duration::from_nanos(time)
}

/// Longest that anything of a run may wait for.
const FOREVER: Time = 3600 * SEC;

#[cfg(test)]
mod tests;
