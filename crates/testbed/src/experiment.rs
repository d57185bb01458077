//! Experiments in virtual time: the same seeds under two policies, one key over several values, and
//! a hunt for the worst day. It owns how runs are shared out among threads; each run is its own, so
//! what comes out doesn't depend on their number.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};

use nettlemux_fleet_model::fault::{DrainBehavior, Fault, FaultKind};
use nettlemux_fleet_model::rng::Rng;
use nettlemux_fleet_model::scenario::Scenario;
use statrs::distribution::{ContinuousCDF, StudentsT};

use crate::baselines::PolicyKind;
use crate::figures::Figures;
use crate::rules::Verdict;
use crate::simulate::{Outcome, PolicyChoice, simulate};

/// Runs without a record, in order of the endpoint list, on so many threads.
pub fn all(runs: &[(Scenario, u64, PolicyChoice)], threads: usize) -> Vec<Outcome> {
    let next = AtomicUsize::new(0);
    let done: Mutex<Vec<Option<Outcome>>> = Mutex::new(runs.iter().map(|_| None).collect());
    std::thread::scope(|scope| {
        for _ in 0..threads.clamp(1, 64).min(runs.len().max(1)) {
            scope.spawn(|| {
                loop {
                    let index = next.fetch_add(1, Ordering::Relaxed);
                    let Some((scenario, seed, who)) = runs.get(index) else {
                        break;
                    };
                    let outcome =
                        simulate(scenario, *seed, *who, None).expect("nothing is written");
                    done.lock().unwrap_or_else(PoisonError::into_inner)[index] = Some(outcome);
                }
            });
        }
    });
    let done = done.into_inner().unwrap_or_else(PoisonError::into_inner);
    done.into_iter()
        .map(|outcome| outcome.expect("each was run"))
        .collect()
}

/// A mean and the half-width of its 95 % interval (Student's t); no interval for one value.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// The mean over the seeds.
    pub mean: f64,
    /// Half the width of the 95 % interval, where there are two seeds or more.
    pub within: Option<f64>,
}

/// Estimates the mean of these values.
pub fn estimate(values: &[f64]) -> Estimate {
    let count = values.len() as f64;
    let mean = values.iter().sum::<f64>() / count;
    if values.len() < 2 {
        return Estimate { mean, within: None };
    }
    let variance = values
        .iter()
        .map(|value| (value - mean).powi(2))
        .sum::<f64>()
        / (count - 1.0);
    let t = StudentsT::new(0.0, 1.0, count - 1.0)
        .expect("more than one value")
        .inverse_cdf(0.975);
    Estimate {
        mean,
        within: Some(t * (variance / count).sqrt()),
    }
}

/// One figure under both, and the paired difference.
#[derive(Clone, Debug)]
pub struct Row {
    /// The figure's name.
    pub name: &'static str,
    /// The figure of the first side.
    pub a: Estimate,
    /// The figure of the second side.
    pub b: Estimate,
    /// The paired difference, the second side's figure less the first's.
    pub difference: Estimate,
}

/// The same seeds under two policies.
pub fn compare(
    scenario: &Scenario,
    a: PolicyChoice,
    b: PolicyChoice,
    seeds: u64,
    threads: usize,
) -> Vec<Row> {
    let each = |who| (0..seeds).map(move |k| (scenario.clone(), scenario.seed + k, who));
    let runs: Vec<_> = each(a).chain(each(b)).collect();
    let outcomes = all(&runs, threads);
    let (first, second) = outcomes.split_at(seeds as usize);
    rows(&figures(first), &figures(second))
}

fn figures(outcomes: &[Outcome]) -> Vec<Figures> {
    outcomes
        .iter()
        .map(|outcome| outcome.figures.clone())
        .collect()
}

/// Pairs of figures from the same seeds.
pub fn rows(a: &[Figures], b: &[Figures]) -> Vec<Row> {
    let names = crate::figures::NAMES.iter().map(|(name, _)| *name);
    names
        .map(|name| {
            let of = |all: &[Figures]| {
                all.iter()
                    .map(|figures| figures.get(name))
                    .collect::<Vec<_>>()
            };
            let (a, b) = (of(a), of(b));
            let difference: Vec<f64> = a.iter().zip(&b).map(|(a, b)| a - b).collect();
            Row {
                name,
                a: estimate(&a),
                b: estimate(&b),
                difference: estimate(&difference),
            }
        })
        .collect()
}

/// What a hunt has found.
pub struct Found {
    /// The scenario with the faults that were found.
    pub scenario: Scenario,
    /// How much more of the worth the best baseline serves than the policy, and one more for
    /// each rule that was broken.
    pub badness: f64,
    /// What the rule checker said of it.
    pub verdict: Verdict,
    /// How many scenarios were tried.
    pub tried: usize,
}

/// How bad a day is: what the best baseline serves beyond the policy, and 1 for each rule that the
/// policy breaks.
fn badness(policy: &Outcome, baselines: &[Outcome]) -> f64 {
    let best = baselines
        .iter()
        .map(|b| b.figures.get("worth"))
        .fold(0.0, f64::max);
    policy.verdict.violations.len() as f64 + best - policy.figures.get("worth")
}

fn judge(scenarios: &[Scenario], threads: usize) -> Vec<(f64, Verdict)> {
    let baselines = [PolicyKind::LeastConnections, PolicyKind::RoundRobin];
    let each = |s: &Scenario| {
        let whos = std::iter::once(PolicyKind::Nettlemux).chain(baselines);
        whos.map(|kind| (s.clone(), s.seed, PolicyChoice::Policy(kind)))
            .collect::<Vec<_>>()
    };
    let runs: Vec<_> = scenarios.iter().flat_map(each).collect();
    let mut outcomes = all(&runs, threads).into_iter();
    let of = 1 + baselines.len();
    let mut out = Vec::new();
    for _ in scenarios {
        let mut day: Vec<Outcome> = outcomes.by_ref().take(of).collect();
        let rest = day.split_off(1);
        let policy = day.pop().expect("the first run is the policy's");
        out.push((badness(&policy, &rest), policy.verdict));
    }
    out
}

/// Draws days of up to three faults, keeps the worst and cuts it down while it stays nearly as bad.
pub fn hunt(scenario: &Scenario, seed: u64, tries: usize, threads: usize) -> Found {
    let mut rng = Rng::new(seed, 21);
    let days: Vec<Scenario> = (0..tries.max(1))
        .map(|_| {
            let mut day = scenario.clone();
            day.faults = (0..1 + rng.index_below(3))
                .map(|_| draw(&day, &mut rng))
                .collect();
            day.expect.clear();
            day
        })
        .collect();
    let judged = judge(&days, threads);
    let worst = (0..judged.len())
        .max_by(|a, b| judged[*a].0.total_cmp(&judged[*b].0))
        .expect("one at least");
    let (mut found, mut bad) = (days[worst].clone(), judged[worst].clone());
    let mut tried = days.len();
    // Each round offers all days that are smaller by one step and takes the first that is nearly as
    // bad.
    while let Some((smaller, as_bad, looked)) = smaller(&found, bad.0, threads) {
        tried += looked;
        (found, bad) = (smaller, as_bad);
    }
    found.name = format!("{}-hunted", scenario.name);
    Found {
        scenario: found,
        badness: bad.0,
        verdict: bad.1,
        tried,
    }
}

/// So much of its badness a day keeps that is cut down.
const KEPT: f64 = 0.8;

fn smaller(of: &Scenario, bad: f64, threads: usize) -> Option<(Scenario, (f64, Verdict), usize)> {
    let mut days = Vec::new();
    for i in 0..of.faults.len() {
        if of.faults.len() > 1 {
            let mut day = of.clone();
            day.faults.remove(i);
            days.push(day);
        }
        if of.faults[i].lasts > 4.0 {
            let mut day = of.clone();
            day.faults[i].lasts = (day.faults[i].lasts / 2.0).round();
            days.push(day);
        }
    }
    let judged = judge(&days, threads);
    let looked = days.len();
    let first = judged
        .iter()
        .position(|(badness, _)| *badness >= KEPT * bad && *badness > 0.0)?;
    Some((days.swap_remove(first), judged[first].clone(), looked))
}

/// Faults that a hunt draws from.
const HUNTED_KINDS: [FaultKind; 18] = [
    FaultKind::Crash,
    FaultKind::Vanish,
    FaultKind::Slow,
    FaultKind::Decay,
    FaultKind::Neighbour,
    FaultKind::StuckReports,
    FaultKind::AbsurdReports,
    FaultKind::FastErrors,
    FaultKind::ProbesFail,
    FaultKind::ZoneCut,
    FaultKind::StoreSlow,
    FaultKind::ListSilent,
    FaultKind::ListWrong,
    FaultKind::Grow,
    FaultKind::Shrink,
    FaultKind::Roll,
    FaultKind::RestartInTurn,
    FaultKind::Surge,
];

/// Draws a fault. The order and number of draws are part of what a seed means.
fn draw(scenario: &Scenario, rng: &mut Rng) -> Fault {
    let half = |value: f64| (value * 2.0).round() / 2.0;
    let what = HUNTED_KINDS[rng.index_below(HUNTED_KINDS.len())];
    let amount = draw_amount(what, rng);
    let latest = (scenario.seconds - scenario.settle) * 0.6;
    Fault {
        what,
        at: half(scenario.settle + rng.uniform_between(1.0, latest.max(1.0)))
            .min(scenario.seconds - 0.5),
        lasts: half(rng.uniform_between(4.0, 20.0)),
        share: draw_share(what, rng),
        who: Vec::new(),
        zone: rng.index_below(scenario.zones.number),
        amount: (amount * 100.0).round() / 100.0,
        drain_behavior: [
            DrainBehavior::KeepsConnections,
            DrainBehavior::MigratesGradually,
            DrainBehavior::MigratesAtOnce,
        ][rng.index_below(3)],
    }
}

/// Draws how strong a fault of this kind is; kinds without a strength draw nothing.
fn draw_amount(what: FaultKind, rng: &mut Rng) -> f64 {
    match what {
        FaultKind::Slow | FaultKind::Decay => rng.uniform_between(0.2, 0.7),
        FaultKind::Neighbour => rng.uniform_between(0.2, 0.6),
        FaultKind::AbsurdReports => [0.0, 0.05, 5.0][rng.index_below(3)],
        FaultKind::StoreSlow => rng.uniform_between(0.05, 0.4),
        FaultKind::RestartInTurn => 1.0,
        FaultKind::Surge => rng.uniform_between(1.3, 3.0),
        _ => 0.0,
    }
}

/// Draws the share of servers that a fault meets; restarts in turn draw nothing.
fn draw_share(what: FaultKind, rng: &mut Rng) -> f64 {
    match what {
        FaultKind::RestartInTurn => 0.0,
        _ => (rng.uniform_between(0.05, 0.4) * 20.0).round() / 20.0,
    }
}

#[cfg(test)]
mod tests;
