//! Measures a fleet on sockets that runs steadily at one size: what the real balancers send, take
//! and use.

use std::sync::atomic::Ordering::Relaxed;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;

use super::error::MeasurementError;
use super::fleet::{Fleet, FleetPlan, Replacement};
use super::measurement::Figures;
use super::scenario::SocketPart;
use crate::balancer_process::ProcessUsage;

/// After the measurement new servers have so long to be seen: the longest wait for a first health
/// check.
const SEEN_WITHIN: Duration = Duration::from_millis(2500);
/// Changes are carried out at these steps at the most often.
const STEP: Duration = Duration::from_millis(5);
/// The longest time that is told apart, in milliseconds.
const LONGEST_MS: u64 = 60_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// What was counted up to a moment.
struct Counted {
    at: Instant,
    probes: u64,
    probe_bytes: u64,
    list_calls: u64,
    list_bytes: u64,
    simulated_calls: u64,
    attempts: u64,
    usage: ProcessUsage,
}

impl Counted {
    fn now(fleet: &Fleet) -> Self {
        let (servers, discovery) = (&fleet.servers, &fleet.discovery);
        Counted {
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
/// It can't be started, or a balancer died.
pub async fn measure(plan: &FleetPlan, part: &SocketPart) -> Result<Figures, MeasurementError> {
    let mut fleet = Fleet::start(plan).await?;
    tokio::time::sleep(Duration::from_secs_f64(part.settle_seconds)).await;
    let up = fleet.clients.up();
    let before = Counted::now(&fleet);
    let replaced = change_steadily(
        &mut fleet,
        plan.counts.changes_per_second,
        part.measure_seconds,
    )
    .await;
    let after = Counted::now(&fleet);
    wait_until_seen(&fleet, &replaced).await;
    fleet.all_alive()?;
    let mut figures = rates(&before, &after, plan.real as f64);
    figures.list_bytes = Some(fleet.discovery.whole_bytes() as f64);
    figures.connections_up = Some(up as f64);
    note_changes(&mut figures, &fleet, &replaced);
    Ok(figures)
}

/// Replaces servers one at a time at this rate, for so long.
async fn change_steadily(fleet: &mut Fleet, per_second: f64, seconds: f64) -> Vec<Replacement> {
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
        tokio::time::sleep(STEP).await;
    }
    replaced
}

/// Until each new server has been seen, or for as long as that may take.
async fn wait_until_seen(fleet: &Fleet, replaced: &[Replacement]) {
    let until = Instant::now() + SEEN_WITHIN;
    let unseen = || {
        replaced
            .iter()
            .any(|new| fleet.servers.first_seen(new.server).is_none())
    };
    while unseen() && Instant::now() < until {
        tokio::time::sleep(STEP).await;
    }
}

fn rates(before: &Counted, after: &Counted, real: f64) -> Figures {
    let seconds = (after.at - before.at).as_secs_f64();
    let of_each = |before: u64, after: u64| Some((after - before) as f64 / seconds / real);
    let probe_bytes = of_each(before.probe_bytes, after.probe_bytes);
    let list_bytes = of_each(before.list_bytes, after.list_bytes);
    let calls = |counted: &Counted| (counted.list_calls + counted.simulated_calls) as f64;
    let cpu_seconds = after.usage.cpu_seconds - before.usage.cpu_seconds;
    Figures {
        probes_per_second: of_each(before.probes, after.probes),
        probe_bytes_per_second: probe_bytes,
        list_bytes_per_second: list_bytes,
        control_bytes_per_second: probe_bytes
            .zip(list_bytes)
            .map(|(probes, list)| probes + list),
        list_calls_per_second: of_each(before.list_calls, after.list_calls),
        discovery_calls_per_second: Some((calls(after) - calls(before)) / seconds),
        connects_per_second: of_each(before.attempts, after.attempts),
        cpu_percent_of_core: Some(100.0 * cpu_seconds / seconds),
        memory_mb: Some(after.usage.memory_mb),
        memory_peak_mb: Some(after.usage.memory_peak_mb),
        descriptors: Some(after.usage.descriptors),
        ..Figures::default()
    }
}

fn note_changes(figures: &mut Figures, fleet: &Fleet, replaced: &[Replacement]) {
    if replaced.is_empty() {
        return;
    }
    let mut times =
        Histogram::<u64>::new_with_max(LONGEST_MS, SIGNIFICANT_DIGITS).expect("bounds that hold");
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
