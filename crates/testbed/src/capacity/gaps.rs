//! The ranking of missing mechanisms: each need with its budget, ordered by the ratio of need to
//! budget, highest first. Continuous needs come before needs that arise on an event, since only the
//! mechanism can reduce a continuous need.

use super::deployment::Deployment;
use super::markdown::{Table, figure, number};
use super::mechanism::{self, Mechanism};
use super::needs::{
    change_bytes_per_second, control_memory_mb, entry_bytes, full_list_bytes, health_check_bytes,
    health_check_cpu_percent, health_checks_at_longest_interval, placement_cpu_percent,
    policy_health_checks_per_second,
};
use super::row::Inputs;

/// How often a need arises.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Frequency {
    Continuous,
    OnEvent,
}

impl Frequency {
    fn describe(self) -> &'static str {
        match self {
            Frequency::Continuous => "every second",
            Frequency::OnEvent => "on an event",
        }
    }
}

/// A mechanism that would keep a need within its budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Remedy {
    CandidatesAndBudget,
    ConfigurationChanges,
    ListPacing,
}

impl Remedy {
    fn name(self) -> &'static str {
        match self {
            Remedy::CandidatesAndBudget => "bounded candidates and a control budget",
            Remedy::ConfigurationChanges => {
                "changes of the configuration, told from the control machines as differences"
            }
            Remedy::ListPacing => {
                "a whole list in parts or from a neighbour, and a pace for changes of it"
            }
        }
    }

    /// Whether the code implements all mechanisms of this remedy in full.
    fn is_implemented(self) -> bool {
        let mechanisms: &[Mechanism] = match self {
            Remedy::CandidatesAndBudget => {
                &[mechanism::BOUNDED_CANDIDATES, mechanism::CONTROL_BUDGET]
            }
            Remedy::ConfigurationChanges => &[mechanism::CONFIGURATION],
            Remedy::ListPacing => &[mechanism::FULL_LIST],
        };
        mechanisms
            .iter()
            .all(|mechanism| matches!(mechanism, Mechanism::Present(_)))
    }
}

/// A need and its budget.
struct Gap {
    remedy: Remedy,
    need_label: &'static str,
    frequency: Frequency,
    need: Option<f64>,
    budget: f64,
    /// Whether the need is calculated as if the remedy did not exist.
    without_remedy: bool,
}

impl Gap {
    fn budget_ratio(&self) -> Option<f64> {
        self.need.map(|need| need / self.budget)
    }

    fn is_open(&self) -> bool {
        !self.remedy.is_implemented() && self.budget_ratio().is_some_and(|ratio| ratio > 1.0)
    }

    /// Whether the need exceeds its budget although the remedy is implemented.
    fn exceeds_budget_although_implemented(&self) -> bool {
        self.remedy.is_implemented()
            && !self.without_remedy
            && self.budget_ratio().is_some_and(|ratio| ratio > 1.0)
    }

    fn describe(&self) -> String {
        let ratio = figure(self.budget_ratio());
        format!(
            "**{}** ({}: {ratio} times its budget)",
            self.remedy.name(),
            self.need_label
        )
    }
}

/// Returns all gaps: continuous needs first, each kind ordered by the ratio of need to budget, highest
/// first. Needs that were not measured come last within their kind.
fn gaps(inputs: &Inputs, fleet: &Deployment) -> Vec<Gap> {
    let mut all = continuous_gaps(inputs, fleet);
    all.extend(event_gaps(inputs, fleet));
    let ratio = |gap: &Gap| gap.budget_ratio().unwrap_or(f64::NEG_INFINITY);
    all.sort_by(|a, b| {
        a.frequency
            .cmp(&b.frequency)
            .then(ratio(b).total_cmp(&ratio(a)))
    });
    all
}

/// Continuous needs: health checks, placement and memory.
fn continuous_gaps(inputs: &Inputs, fleet: &Deployment) -> Vec<Gap> {
    let mut all = health_check_gaps(inputs, fleet);
    all.extend(placement_and_memory_gaps(inputs, fleet));
    all
}

/// Creates the gap of a continuous need.
fn continuous_gap(need_label: &'static str, need: Option<f64>, budget: f64) -> Gap {
    Gap {
        remedy: Remedy::CandidatesAndBudget,
        need_label,
        frequency: Frequency::Continuous,
        need,
        budget,
        without_remedy: false,
    }
}

fn health_check_gaps(inputs: &Inputs, fleet: &Deployment) -> Vec<Gap> {
    let requirements = &inputs.assumptions.requirements;
    let bytes = requirements.control_bytes_per_second.value;
    let percent = requirements.control_percent_of_core.value;
    let policy_checks = policy_health_checks_per_second(inputs, fleet);
    let at_longest_interval = health_checks_at_longest_interval(inputs, fleet);
    let without_remedy = |gap| Gap {
        without_remedy: true,
        ..gap
    };
    vec![
        continuous_gap(
            "bytes a second of the policy's health checks, measured with the operators' own connections",
            policy_checks.map(|checks| checks * health_check_bytes(inputs)),
            bytes,
        ),
        without_remedy(continuous_gap(
            "bytes a second of probes at the longest interval, without a control budget",
            Some(at_longest_interval * health_check_bytes(inputs)),
            bytes,
        )),
        continuous_gap(
            "% of a core for the policy's health checks",
            policy_checks.and_then(|checks| health_check_cpu_percent(inputs, checks)),
            percent,
        ),
        without_remedy(continuous_gap(
            "% of a core for probes at the longest interval, without a control budget",
            health_check_cpu_percent(inputs, at_longest_interval),
            percent,
        )),
    ]
}

fn placement_and_memory_gaps(inputs: &Inputs, fleet: &Deployment) -> Vec<Gap> {
    let requirements = &inputs.assumptions.requirements;
    vec![
        continuous_gap(
            "% of a core for placing",
            placement_cpu_percent(inputs, fleet),
            requirements.control_percent_of_core.value,
        ),
        continuous_gap(
            "MB for control",
            control_memory_mb(inputs, fleet),
            requirements.control_memory_mb.value,
        ),
    ]
}

/// Needs that arise on an event: a configuration change, a full endpoint list, the loss of a zone.
fn event_gaps(inputs: &Inputs, fleet: &Deployment) -> Vec<Gap> {
    let requirements = &inputs.assumptions.requirements;
    let change = change_bytes_per_second(inputs, fleet);
    let list = full_list_bytes(inputs, fleet.servers) / requirements.ready_within_s.value;
    let zone = fleet.servers / fleet.zones * entry_bytes(inputs)
        / requirements.change_known_within_s.value;
    let gap = |remedy, need_label, need| {
        let budget = requirements.control_bytes_per_second.value;
        Gap {
            remedy,
            need_label,
            frequency: Frequency::OnEvent,
            need: Some(need),
            budget,
            without_remedy: false,
        }
    };
    vec![
        gap(
            Remedy::ConfigurationChanges,
            "bytes a second of a change within its time",
            change,
        ),
        gap(
            Remedy::ListPacing,
            "bytes a second of a whole list within the time to be ready",
            list,
        ),
        gap(
            Remedy::ListPacing,
            "bytes a second as a zone's servers go, within the time to be known",
            zone,
        ),
    ]
}

/// Returns the table of the ranking, preceded by a sentence that names the first and the second
/// missing mechanism.
pub fn ranking(inputs: &Inputs, full: &Deployment, tenth: &Deployment) -> String {
    let columns = [
        "mechanism",
        "state",
        "need",
        "when",
        "full size",
        "budget",
        "times the budget",
        "at a tenth",
    ];
    let at_tenth = gaps(inputs, tenth);
    let all = gaps(inputs, full);
    let mut table = Table::new(&columns);
    for gap in &all {
        let gap_at_tenth = at_tenth
            .iter()
            .find(|other| other.need_label == gap.need_label);
        let state = if gap.remedy.is_implemented() {
            "in the code"
        } else {
            "*missing*"
        };
        let names = [
            gap.remedy.name(),
            state,
            gap.need_label,
            gap.frequency.describe(),
        ];
        let values = [
            figure(gap.need),
            number(gap.budget),
            figure(gap.budget_ratio()),
        ];
        let last = [figure(gap_at_tenth.and_then(Gap::budget_ratio))];
        table.row(
            names
                .map(String::from)
                .into_iter()
                .chain(values)
                .chain(last),
        );
    }
    format!("{}\n{}", summary(&all), table.finish())
}

fn summary(all: &[Gap]) -> String {
    let over_budget: Vec<String> = all
        .iter()
        .filter(|gap| gap.exceeds_budget_although_implemented())
        .map(Gap::describe)
        .collect();
    let over_budget = match over_budget.is_empty() {
        true => String::new(),
        false => format!(
            " Over its budget although its mechanism is in the code: {}.",
            over_budget.join("; ")
        ),
    };
    let Some(first) = all.iter().find(|gap| gap.is_open()) else {
        return format!(
            "No mechanism is missing whose need is known to pass its budget.{over_budget}\n"
        );
    };
    let next = all
        .iter()
        .find(|gap| gap.is_open() && gap.remedy != first.remedy);
    let next = next.map_or("No runner-up passes its budget.".to_string(), |next| {
        format!("Runner-up: {}.", next.describe())
    });
    format!("Missing first: {}. {next}{over_budget}\n", first.describe())
}
