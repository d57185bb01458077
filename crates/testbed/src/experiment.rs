//! Experiments in virtual time: comparisons of two policies on the same seeds, and a hunt for the
//! faults under which the policy does worst. Runs are divided among threads. Each run is
//! independent, so the results don't depend on the number of threads.

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

/// Runs all simulations without a record on up to this many threads. The outcomes are in the order
/// of `runs`.
pub fn run_all(runs: &[(Scenario, u64, PolicyChoice)], threads: usize) -> Vec<Outcome> {
    let next = AtomicUsize::new(0);
    let done: Mutex<Vec<Option<Outcome>>> = Mutex::new(runs.iter().map(|_| None).collect());
    std::thread::scope(|scope| {
        for _ in 0..threads.clamp(1, 64).min(runs.len().max(1)) {
            scope.spawn(|| {
                loop {
                    let index = next.fetch_add(1, Ordering::Relaxed);
                    let Some((scenario, seed, policy)) = runs.get(index) else {
                        break;
                    };
                    let outcome = simulate(scenario, *seed, *policy, None)
                        .expect("a run without a record has no write errors");
                    done.lock().unwrap_or_else(PoisonError::into_inner)[index] = Some(outcome);
                }
            });
        }
    });
    let done = done.into_inner().unwrap_or_else(PoisonError::into_inner);
    done.into_iter()
        .map(|outcome| outcome.expect("every run has an outcome"))
        .collect()
}

/// A mean and the half-width of its 95 % confidence interval (Student's t).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// The mean over the seeds.
    pub mean: f64,
    /// Half the width of the 95 % confidence interval; `None` for fewer than two seeds.
    pub confidence_half_width: Option<f64>,
}

/// Estimates the mean of the values and its confidence interval.
pub fn estimate(values: &[f64]) -> Estimate {
    let count = values.len() as f64;
    let mean = values.iter().sum::<f64>() / count;
    if values.len() < 2 {
        return Estimate {
            mean,
            confidence_half_width: None,
        };
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
        confidence_half_width: Some(t * (variance / count).sqrt()),
    }
}

/// One figure under both policies, and the paired difference.
#[derive(Clone, Debug)]
pub struct Row {
    /// The figure's name.
    pub name: &'static str,
    /// The figure under the first policy.
    pub a: Estimate,
    /// The figure under the second policy.
    pub b: Estimate,
    /// The mean over the seeds of the first policy's figure minus the second's.
    pub difference: Estimate,
}

/// Runs the same seeds under two policies and compares the figures.
pub fn compare(
    scenario: &Scenario,
    a: PolicyChoice,
    b: PolicyChoice,
    seeds: u64,
    threads: usize,
) -> Vec<Row> {
    let each = |policy| (0..seeds).map(move |k| (scenario.clone(), scenario.seed + k, policy));
    let runs: Vec<_> = each(a).chain(each(b)).collect();
    let outcomes = run_all(&runs, threads);
    let (first, second) = outcomes.split_at(seeds as usize);
    rows(&figures(first), &figures(second))
}

fn figures(outcomes: &[Outcome]) -> Vec<Figures> {
    outcomes
        .iter()
        .map(|outcome| outcome.figures.clone())
        .collect()
}

/// Compares figures pairwise; both slices hold the runs of the same seeds in the same order.
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

/// The result of a hunt.
pub struct HuntResult {
    /// The worst scenario found, after its faults were reduced.
    pub scenario: Scenario,
    /// The share of the worth that the best baseline serves beyond the policy's share, plus 1 for
    /// each rule that the policy violated.
    pub badness: f64,
    /// The rule checker's verdict on the policy in this scenario.
    pub verdict: Verdict,
    /// The number of scenarios that were tried.
    pub scenarios_tried: usize,
}

/// Rates a scenario: the share of the worth that the best baseline serves beyond the policy's share,
/// plus 1 for each rule that the policy violates.
fn badness(policy: &Outcome, baselines: &[Outcome]) -> f64 {
    let best = baselines
        .iter()
        .map(|b| b.figures.get("worth"))
        .fold(0.0, f64::max);
    policy.verdict.violations.len() as f64 + best - policy.figures.get("worth")
}

fn evaluate(scenarios: &[Scenario], threads: usize) -> Vec<(f64, Verdict)> {
    let baselines = [PolicyKind::LeastConnections, PolicyKind::RoundRobin];
    let each = |s: &Scenario| {
        let policies = std::iter::once(PolicyKind::Nettlemux).chain(baselines);
        policies
            .map(|kind| (s.clone(), s.seed, PolicyChoice::Policy(kind)))
            .collect::<Vec<_>>()
    };
    let runs: Vec<_> = scenarios.iter().flat_map(each).collect();
    let mut outcomes = run_all(&runs, threads).into_iter();
    let runs_per_scenario = 1 + baselines.len();
    let mut out = Vec::new();
    for _ in scenarios {
        let mut scenario_outcomes: Vec<Outcome> =
            outcomes.by_ref().take(runs_per_scenario).collect();
        let rest = scenario_outcomes.split_off(1);
        let policy = scenario_outcomes
            .pop()
            .expect("the first run is the policy's");
        out.push((badness(&policy, &rest), policy.verdict));
    }
    out
}

/// Draws scenarios with one to three faults, keeps the worst, and reduces its faults while it stays
/// nearly as bad.
pub fn hunt(scenario: &Scenario, seed: u64, tries: usize, threads: usize) -> HuntResult {
    let mut rng = Rng::new(seed, 21);
    let candidates: Vec<Scenario> = (0..tries.max(1))
        .map(|_| {
            let mut candidate = scenario.clone();
            candidate.faults = (0..1 + rng.index_below(3))
                .map(|_| draw_fault(&candidate, &mut rng))
                .collect();
            candidate.expect.clear();
            candidate
        })
        .collect();
    let evaluated = evaluate(&candidates, threads);
    let worst = (0..evaluated.len())
        .max_by(|a, b| evaluated[*a].0.total_cmp(&evaluated[*b].0))
        .expect("at least one scenario is drawn");
    let (mut found, mut rating) = (candidates[worst].clone(), evaluated[worst].clone());
    let mut tried = candidates.len();
    // Each round evaluates all scenarios that are reduced by one step and continues with the first
    // that is nearly as bad.
    while let Some((smaller, smaller_rating, evaluated_count)) = reduce(&found, rating.0, threads) {
        tried += evaluated_count;
        (found, rating) = (smaller, smaller_rating);
    }
    found.name = format!("{}-hunted", scenario.name);
    HuntResult {
        scenario: found,
        badness: rating.0,
        verdict: rating.1,
        scenarios_tried: tried,
    }
}

/// The share of its badness that a scenario must keep when it is reduced.
const KEPT_BADNESS_SHARE: f64 = 0.8;

fn reduce(
    scenario: &Scenario,
    badness_to_keep: f64,
    threads: usize,
) -> Option<(Scenario, (f64, Verdict), usize)> {
    let mut candidates = Vec::new();
    for i in 0..scenario.faults.len() {
        if scenario.faults.len() > 1 {
            let mut candidate = scenario.clone();
            candidate.faults.remove(i);
            candidates.push(candidate);
        }
        if scenario.faults[i].duration > 4.0 {
            let mut candidate = scenario.clone();
            candidate.faults[i].duration = (candidate.faults[i].duration / 2.0).round();
            candidates.push(candidate);
        }
    }
    let evaluated = evaluate(&candidates, threads);
    let evaluated_count = candidates.len();
    let first = evaluated.iter().position(|(badness, _)| {
        *badness >= KEPT_BADNESS_SHARE * badness_to_keep && *badness > 0.0
    })?;
    Some((
        candidates.swap_remove(first),
        evaluated[first].clone(),
        evaluated_count,
    ))
}

/// The kinds of faults that a hunt draws from.
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

/// Draws a fault. The order and number of draws must not change, or a seed would give other faults.
fn draw_fault(scenario: &Scenario, rng: &mut Rng) -> Fault {
    let round_to_half = |value: f64| (value * 2.0).round() / 2.0;
    let what = HUNTED_KINDS[rng.index_below(HUNTED_KINDS.len())];
    let amount = draw_amount(what, rng);
    let latest = (scenario.seconds - scenario.settle) * 0.6;
    Fault {
        kind: what,
        at: round_to_half(scenario.settle + rng.uniform_between(1.0, latest.max(1.0)))
            .min(scenario.seconds - 0.5),
        duration: round_to_half(rng.uniform_between(4.0, 20.0)),
        share: draw_share(what, rng),
        target_indices: Vec::new(),
        zone: rng.index_below(scenario.zones.number),
        amount: (amount * 100.0).round() / 100.0,
        drain_behavior: [
            DrainBehavior::KeepsConnections,
            DrainBehavior::MigratesGradually,
            DrainBehavior::MigratesAtOnce,
        ][rng.index_below(3)],
    }
}

/// Draws the strength of a fault of this kind. Kinds without a strength draw nothing.
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

/// Draws the share of servers that a fault affects. Restarts in turn draw nothing.
fn draw_share(what: FaultKind, rng: &mut Rng) -> f64 {
    match what {
        FaultKind::RestartInTurn => 0.0,
        _ => (rng.uniform_between(0.05, 0.4) * 20.0).round() / 20.0,
    }
}

#[cfg(test)]
mod tests;
