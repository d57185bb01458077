//! Measures a fleet on sockets in steady operation at one size: the traffic of the real balancers and
//! the resources that they use.

use std::sync::atomic::Ordering::Relaxed;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;

use super::error::MeasurementError;
use super::fleet::{Fleet, FleetPlan, Replacement};
use super::measurement::Figures;
use super::scenario::SocketPart;
use crate::balancer_process::ProcessUsage;

/// How long after the measurement a new server may receive its first health check or attempt: the
/// longest wait for a first health check.
const SEEN_TIMEOUT: Duration = Duration::from_millis(2500);
/// Interval between checks for due changes and for servers that have not been seen yet.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Longest time that the histogram resolves, in milliseconds.
const CHANGE_SEEN_MAX_MS: u64 = 60_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// Counters and resource usage read at one time.
struct CounterSnapshot {
    at: Instant,
    probes: u64,
    probe_bytes: u64,
    list_calls: u64,
    list_bytes: u64,
    simulated_calls: u64,
    attempts: u64,
    usage: ProcessUsage,
}

impl CounterSnapshot {
    fn read(fleet: &Fleet) -> Self {
        let (servers, discovery) = (&fleet.servers, &fleet.discovery);
        CounterSnapshot {
            at: Instant::now(),
            probes: servers.from_real.probes.load(Relaxed),
            probe_bytes: servers.from_real.probe_bytes.load(Relaxed),
            list_calls: discovery.real_calls.calls.load(Relaxed),
            list_bytes: discovery.real_calls.bytes.load(Relaxed),
            simulated_calls: discovery.simulated_calls.calls.load(Relaxed),
            attempts: servers.from_real.attempts.load(Relaxed),
            usage: fleet.usage(),
        }
    }
}

/// Runs a fleet at one size and measures it.
///
/// # Errors
/// The fleet could not be started, or a balancer exited unexpectedly.
pub async fn measure(plan: &FleetPlan, part: &SocketPart) -> Result<Figures, MeasurementError> {
    let mut fleet = Fleet::start(plan).await?;
    tokio::time::sleep(Duration::from_secs_f64(part.settle_seconds)).await;
    let established = fleet.clients.established();
    let before = CounterSnapshot::read(&fleet);
    let replaced = replace_steadily(
        &mut fleet,
        plan.counts.changes_per_second,
        part.measure_seconds,
    )
    .await;
    let after = CounterSnapshot::read(&fleet);
    wait_until_seen(&fleet, &replaced).await;
    fleet.check_all_alive()?;
    let mut figures = rates(&before, &after, plan.real as f64);
    figures.list_bytes = Some(fleet.discovery.complete_list_bytes() as f64);
    figures.connections_up = Some(established as f64);
    record_changes_seen(&mut figures, &fleet, &replaced);
    Ok(figures)
}

/// Replaces servers one at a time at this rate, for this many seconds.
async fn replace_steadily(fleet: &mut Fleet, per_second: f64, seconds: f64) -> Vec<Replacement> {
    let (began, mut replaced) = (Instant::now(), Vec::new());
    let end = began + Duration::from_secs_f64(seconds);
    while Instant::now() < end {
        let due = (began.elapsed().as_secs_f64() * per_second) as usize;
        while replaced.len() < due {
            let new = fleet.replace(1);
            if new.is_empty() {
                break;
            }
            replaced.extend(new);
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    replaced
}

/// Waits until each new server has been seen, or until the time-out.
async fn wait_until_seen(fleet: &Fleet, replaced: &[Replacement]) {
    let until = Instant::now() + SEEN_TIMEOUT;
    let unseen = || {
        replaced
            .iter()
            .any(|new| fleet.servers.first_seen(new.server).is_none())
    };
    while unseen() && Instant::now() < until {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn rates(before: &CounterSnapshot, after: &CounterSnapshot, real: f64) -> Figures {
    let seconds = (after.at - before.at).as_secs_f64();
    let rate_per_balancer =
        |before: u64, after: u64| Some((after - before) as f64 / seconds / real);
    let probe_bytes = rate_per_balancer(before.probe_bytes, after.probe_bytes);
    let list_bytes = rate_per_balancer(before.list_bytes, after.list_bytes);
    let calls =
        |snapshot: &CounterSnapshot| (snapshot.list_calls + snapshot.simulated_calls) as f64;
    let cpu_seconds = after.usage.cpu_seconds - before.usage.cpu_seconds;
    Figures {
        probes_per_second: rate_per_balancer(before.probes, after.probes),
        probe_bytes_per_second: probe_bytes,
        list_bytes_per_second: list_bytes,
        control_bytes_per_second: probe_bytes
            .zip(list_bytes)
            .map(|(probes, list)| probes + list),
        list_calls_per_second: rate_per_balancer(before.list_calls, after.list_calls),
        discovery_calls_per_second: Some((calls(after) - calls(before)) / seconds),
        connects_per_second: rate_per_balancer(before.attempts, after.attempts),
        cpu_percent_of_core: Some(100.0 * cpu_seconds / seconds),
        memory_mb: Some(after.usage.memory_mb),
        memory_peak_mb: Some(after.usage.memory_peak_mb),
        descriptors: Some(after.usage.descriptors),
        ..Figures::default()
    }
}

fn record_changes_seen(figures: &mut Figures, fleet: &Fleet, replaced: &[Replacement]) {
    if replaced.is_empty() {
        return;
    }
    let mut times = Histogram::<u64>::new_with_max(CHANGE_SEEN_MAX_MS, SIGNIFICANT_DIGITS)
        .expect("histogram bounds are valid");
    for Replacement { server, listed_at } in replaced {
        if let Some(seen) = fleet.servers.first_seen(*server) {
            times.saturating_record(seen.saturating_duration_since(*listed_at).as_millis() as u64);
        }
    }
    if !times.is_empty() {
        figures.change_seen_ms_p50 = Some(times.value_at_quantile(0.5) as f64);
        figures.change_seen_ms_p99 = Some(times.value_at_quantile(0.99) as f64);
    }
    figures.changes_seen = Some(times.len() as f64);
    figures.changes_unseen = Some(replaced.len() as f64 - times.len() as f64);
}
