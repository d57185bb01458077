//! Storms on a fleet on sockets: most balancers killed at once, or many servers replaced at once.
//! What the fleet does from then on is summed: list calls, connections at each server, attempts by
//! cause.

use std::collections::HashSet;
use std::sync::atomic::Ordering::Relaxed;
use std::time::{Duration, Instant};

use super::error::MeasurementError;
use super::fleet::{Fleet, FleetPlan};
use super::measurement::Figures;
use super::scenario::StormPart;
use super::servers::Cause;

/// Killed balancers are started again after so long.
const AWAY: Duration = Duration::from_secs(1);

/// What happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Storm {
    BalancersKilled,
    ServersReplaced,
}

/// What was counted up to a moment, summed over the fleet.
struct Counted {
    list_calls: u64,
    list_bytes: u64,
    causes: [u64; 3],
    lost: u64,
}

const CAUSES: [Cause; 3] = [Cause::First, Cause::Returning, Cause::Retry];

impl Counted {
    fn now(fleet: &Fleet) -> Self {
        let (real, simulated) = (
            &fleet.discovery.real_calls,
            &fleet.discovery.simulated_calls,
        );
        Counted {
            list_calls: real.calls.load(Relaxed) + simulated.calls.load(Relaxed),
            list_bytes: real.bytes.load(Relaxed) + simulated.bytes.load(Relaxed),
            causes: CAUSES.map(|cause| fleet.servers.attempts_by(cause)),
            lost: fleet.clients.lost(),
        }
    }
}

/// Runs a fleet through a storm and measures it.
///
/// # Errors
/// It can't be started, or a balancer died by itself.
pub async fn measure(
    plan: &FleetPlan,
    part: &StormPart,
    storm: Storm,
) -> Result<Figures, MeasurementError> {
    let mut fleet = Fleet::start(plan).await?;
    tokio::time::sleep(Duration::from_secs_f64(part.settle_seconds)).await;
    let up = fleet.clients.up();
    let (_, most_before) = fleet.connections();
    let (before, began) = (Counted::now(&fleet), Instant::now());
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
    let after = Counted::now(&fleet);
    fleet.all_alive()?;
    let (mean, most) = fleet.connections();
    let (placed_again, p50, p99) = fleet.clients.placed_again();
    let lost = after.lost - before.lost;
    let [first, returning, retried] =
        [0, 1, 2].map(|at: usize| Some((after.causes[at] - before.causes[at]) as f64));
    let most_attempts = |of: &dyn Fn(usize) -> bool| {
        Some(fleet.servers.most_attempts_in_a_second(began, of) as f64)
    };
    let is_new = |server: usize| new_servers.contains(&server);
    Ok(Figures {
        connections_up: Some(up as f64),
        list_calls: Some((after.list_calls - before.list_calls) as f64),
        list_bytes: Some((after.list_bytes - before.list_bytes) as f64),
        connections_lost: Some(lost as f64),
        connects_first: first,
        connects_returning: returning,
        connects_retried: retried,
        server_connections_mean: Some(mean),
        server_connections_max_before: Some(most_before),
        server_connections_max: Some(most),
        server_connects_in_a_second_max: most_attempts(&|_| true),
        new_server_connects_in_a_second_max: most_attempts(&is_new)
            .filter(|_| !new_servers.is_empty()),
        placed_again_ms_p50: Some(p50),
        placed_again_ms_p99: Some(p99),
        placed_again_share: (lost > 0).then(|| placed_again as f64 / lost as f64),
        ..Figures::default()
    })
}

/// Kills the same part of the real and of the simulated balancers at once, and starts them again a
/// little later.
async fn kill_and_restart(fleet: &Fleet, part: &StormPart) -> Result<(), MeasurementError> {
    let share = part.killed as f64 / part.fixed.balancers as f64;
    let of_real = (share * fleet.real.len() as f64).round() as usize;
    let of_simulated = (part.killed as usize)
        .saturating_sub(of_real)
        .min(fleet.simulated.len());
    let (real, simulated) = (&fleet.real[..of_real], &fleet.simulated[..of_simulated]);
    real.iter().for_each(|balancer| balancer.kill());
    simulated.iter().for_each(|balancer| balancer.kill());
    tokio::time::sleep(AWAY).await;
    real.iter().try_for_each(|balancer| balancer.spawn())?;
    simulated.iter().for_each(|balancer| balancer.run());
    for balancer in real {
        balancer.wait_until_ready().await?;
    }
    Ok(())
}
