//! Expected load of the machines dedicated to control.

use crate::capacity::deployment::UnknownQuantity;
use crate::capacity::markdown::number;
use crate::capacity::mechanism;
use crate::capacity::needs::{BYTES_PER_MB, SECONDS_PER_DAY, change_bytes_per_second};
use crate::capacity::row::{Inputs, Row};

/// Returns the figures of the machines dedicated to control.
pub fn rows<'a>(inputs: &'a Inputs) -> Vec<Row<'a>> {
    let groups = [
        balancer_rows(),
        change_rows(inputs),
        history_rows(),
        cpu_rows(),
    ];
    groups.into_iter().flatten().collect()
}

/// Number of balancers that a control machine is responsible for.
fn balancer_rows() -> Vec<Row<'static>> {
    vec![
        Row::new(
            "balancers that one watches over",
            "",
            "balancers / control machines",
            |f| Some(f.balancers / f.control_machines),
            mechanism::CONTROL_MACHINES,
        ),
        Row::new(
            "descriptors on one, with one lost",
            "",
            "balancers / (control machines - 1), at least all balancers on one",
            |f| Some(f.balancers / (f.control_machines - 1.0).max(1.0)),
            mechanism::CONTROL_MACHINES,
        ),
    ]
}

/// Messages and bytes while a configuration change is distributed.
fn change_rows<'a>(inputs: &'a Inputs) -> Vec<Row<'a>> {
    let limit_s = inputs.assumptions.requirements.configuration_limit_s.value;
    vec![
        Row::new(
            "messages for changes of the configuration, of all",
            "a day",
            "changes a day x balancers",
            |f| Some(f.configuration_changes_per_day * f.balancers),
            mechanism::CONTROL_MACHINES,
        ),
        Row::new(
            "messages while one change comes into force, of one",
            "a second",
            format!("balancers / control machines / {} s", number(limit_s)),
            move |f| Some(f.balancers / f.control_machines / limit_s),
            mechanism::CONTROL_MACHINES,
        ),
        Row::new(
            "bytes while one change comes into force, of one",
            "MB a second",
            "the same x (change + head) (three sizes)",
            move |f| {
                Some(
                    f.balancers / f.control_machines * change_bytes_per_second(inputs, f)
                        / BYTES_PER_MB,
                )
            },
            mechanism::CONTROL_MACHINES,
        )
        .over(UnknownQuantity::ChangeBytes),
    ]
}

/// Frequency of configuration changes, and the size of the changes of one day.
fn history_rows() -> Vec<Row<'static>> {
    vec![
        Row::new(
            "between two changes",
            "s",
            "a day / changes a day",
            |f| Some(SECONDS_PER_DAY / f.configuration_changes_per_day),
            mechanism::CONTROL_MACHINES,
        ),
        Row::new(
            "changes kept for those that were away for a day",
            "MB",
            "changes a day x change (three sizes)",
            |f| Some(f.configuration_changes_per_day * f.change_bytes / BYTES_PER_MB),
            mechanism::CONTROL_MACHINES,
        )
        .over(UnknownQuantity::ChangeBytes),
    ]
}

/// CPU time of a control machine.
fn cpu_rows() -> Vec<Row<'static>> {
    vec![Row::new(
        "processor",
        "% of a core",
        "*not measured*: there is no such program",
        |_| None,
        mechanism::CONTROL_MACHINES,
    )]
}
