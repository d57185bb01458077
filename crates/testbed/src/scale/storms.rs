//! Storms in a fleet on sockets: most balancers are killed at once, or many servers are replaced at
//! once. From then on the endpoint list calls, the connections of each server and the attempts by
//! cause are counted, summed over the fleet.

use std::collections::HashSet;
use std::sync::atomic::Ordering::Relaxed;
use std::time::{Duration, Instant};

use super::error::MeasurementError;
use super::fleet::{Fleet, FleetPlan};
use super::measurement::Figures;
use super::scenario::StormPart;
use super::servers::Cause;

/// Time after which killed balancers are started again.
const RESTART_DELAY: Duration = Duration::from_secs(1);

/// The kind of storm.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Storm {
    BalancersKilled,
    ServersReplaced,
}

/// Counters read at one time, summed over the fleet.
struct CounterSnapshot {
    list_calls: u64,
    list_bytes: u64,
    /// Attempts by cause, in the order of [`CAUSES`].
    attempts: [u64; 3],
    connections_lost: u64,
}

const CAUSES: [Cause; 3] = [Cause::First, Cause::Returning, Cause::Retry];

impl CounterSnapshot {
    fn read(fleet: &Fleet) -> Self {
        let (real, simulated) = (
            &fleet.discovery.real_calls,
            &fleet.discovery.simulated_calls,
        );
        CounterSnapshot {
            list_calls: real.calls.load(Relaxed) + simulated.calls.load(Relaxed),
            list_bytes: real.bytes.load(Relaxed) + simulated.bytes.load(Relaxed),
            attempts: CAUSES.map(|cause| fleet.servers.attempts_by_cause(cause)),
            connections_lost: fleet.clients.lost(),
        }
    }
}

/// Runs a fleet through a storm and measures it.
///
/// # Errors
/// The fleet could not be started, or a balancer exited unexpectedly.
pub async fn measure(
    plan: &FleetPlan,
    part: &StormPart,
    storm: Storm,
) -> Result<Figures, MeasurementError> {
    let mut fleet = Fleet::start(plan).await?;
    tokio::time::sleep(Duration::from_secs_f64(part.settle_seconds)).await;
    let established = fleet.clients.established();
    let (_, max_before) = fleet.server_connections();
    let (before, began) = (CounterSnapshot::read(&fleet), Instant::now());
    let mut new_servers = HashSet::new();
    match storm {
        Storm::BalancersKilled => kill_and_restart(&fleet, part).await?,
        Storm::ServersReplaced => {
            new_servers.extend(
                fleet
                    .replace(part.replaced as usize)
                    .iter()
                    .map(|new| new.server),
            );
        }
    }
    let end = began + Duration::from_secs_f64(part.measure_seconds);
    tokio::time::sleep_until(end.into()).await;
    let after = CounterSnapshot::read(&fleet);
    fleet.check_all_alive()?;
    let (mean, max) = fleet.server_connections();
    let (placed_again, p50, p99) = fleet.clients.placed_again();
    let lost = after.connections_lost - before.connections_lost;
    let [first, returning, retried] =
        [0, 1, 2].map(|cause: usize| Some((after.attempts[cause] - before.attempts[cause]) as f64));
    let max_attempts = |includes: &dyn Fn(usize) -> bool| {
        Some(fleet.servers.attempts_in_a_second_max(began, includes) as f64)
    };
    let is_new = |server: usize| new_servers.contains(&server);
    Ok(Figures {
        connections_up: Some(established as f64),
        list_calls: Some((after.list_calls - before.list_calls) as f64),
        list_bytes: Some((after.list_bytes - before.list_bytes) as f64),
        connections_lost: Some(lost as f64),
        connects_first: first,
        connects_returning: returning,
        connects_retried: retried,
        server_connections_mean: Some(mean),
        server_connections_max_before: Some(max_before),
        server_connections_max: Some(max),
        server_connects_in_a_second_max: max_attempts(&|_| true),
        new_server_connects_in_a_second_max: max_attempts(&is_new)
            .filter(|_| !new_servers.is_empty()),
        placed_again_ms_p50: Some(p50),
        placed_again_ms_p99: Some(p99),
        placed_again_share: (lost > 0).then(|| placed_again as f64 / lost as f64),
        ..Figures::default()
    })
}

/// Kills the same share of the real and of the simulated balancers at once, and starts them again
/// after a delay.
async fn kill_and_restart(fleet: &Fleet, part: &StormPart) -> Result<(), MeasurementError> {
    let share = part.killed as f64 / part.fixed.balancers as f64;
    let real_killed = (share * fleet.real.len() as f64).round() as usize;
    let simulated_killed = (part.killed as usize)
        .saturating_sub(real_killed)
        .min(fleet.simulated.len());
    let (real, simulated) = (
        &fleet.real[..real_killed],
        &fleet.simulated[..simulated_killed],
    );
    real.iter().for_each(|balancer| balancer.kill());
    simulated.iter().for_each(|balancer| balancer.kill());
    tokio::time::sleep(RESTART_DELAY).await;
    real.iter().try_for_each(|balancer| balancer.spawn())?;
    simulated.iter().for_each(|balancer| balancer.spawn_tasks());
    for balancer in real {
        balancer.wait_until_ready().await?;
    }
    Ok(())
}
