//! Load of discovery and its agents, summed over all of them.

use crate::capacity::deployment::UnknownQuantity;
use crate::capacity::markdown::number;
use crate::capacity::mechanism;
use crate::capacity::needs::{
    BYTES_PER_MB, empty_watch_bytes, full_list_bytes, list_basis, list_changes_per_day,
};
use crate::capacity::row::{Inputs, Row};
use crate::capacity::stored_run::{Part, Varied};

/// Returns the figures of discovery, summed over all of its agents.
pub fn rows<'a>(inputs: &'a Inputs) -> Vec<Row<'a>> {
    let groups = [
        call_rows(inputs),
        change_rows(inputs),
        full_list_rows(inputs),
        discovery_rows(inputs),
    ];
    groups.into_iter().flatten().collect()
}

/// Calls by balancers for the endpoint list.
fn call_rows<'a>(inputs: &'a Inputs) -> Vec<Row<'a>> {
    let calls = inputs.slope(Part::Sockets, Varied::Servers, "list_calls_per_second");
    let answered = inputs.slope(
        Part::Sockets,
        Varied::Balancers,
        "discovery_calls_per_second",
    );
    vec![
        Row::new(
            "calls, measured of a balancer",
            "a second",
            format!("{} x balancers", calls.describe()),
            move |f| Some(calls.at(f.servers)? * f.balancers),
            mechanism::DISCOVERY_AGENTS,
        )
        .over(UnknownQuantity::Servers),
        Row::new(
            "calls, measured of all",
            "a second",
            answered.describe(),
            move |f| answered.at(f.balancers),
            mechanism::DISCOVERY_AGENTS,
        ),
        Row::new(
            "calls by the hold",
            "a second",
            format!(
                "balancers / {} s (code)",
                number(inputs.assumptions.code.watch_hold_s.value)
            ),
            |f| Some(f.balancers / inputs.assumptions.code.watch_hold_s.value),
            mechanism::DISCOVERY_AGENTS,
        ),
    ]
}

/// Traffic while the endpoint list does not change, and messages when it changes.
fn change_rows<'a>(inputs: &'a Inputs) -> Vec<Row<'a>> {
    vec![
        Row::new(
            "bytes while nothing changes",
            "MB a second",
            format!(
                "balancers x {} bytes (*assumed*)",
                number(empty_watch_bytes(inputs))
            ),
            |f| {
                Some(
                    f.balancers * empty_watch_bytes(inputs)
                        / inputs.assumptions.code.watch_hold_s.value
                        / BYTES_PER_MB,
                )
            },
            mechanism::DISCOVERY_AGENTS,
        ),
        Row::new(
            "changes of the list",
            "a day",
            "failures and restarts of servers x changes each (*assumed*)",
            |f| Some(list_changes_per_day(inputs, f)),
            mechanism::DISCOVERY_AGENTS,
        )
        .over(UnknownQuantity::Servers),
        Row::new(
            "messages for changes",
            "a day",
            "changes x balancers",
            |f| Some(list_changes_per_day(inputs, f) * f.balancers),
            mechanism::DISCOVERY_AGENTS,
        )
        .over(UnknownQuantity::Servers),
    ]
}

/// Transfer of the full endpoint list to all balancers.
fn full_list_rows<'a>(inputs: &'a Inputs) -> Vec<Row<'a>> {
    vec![
        Row::new(
            "whole lists for all balancers",
            "MB",
            format!("{} x balancers", list_basis(inputs)),
            |f| Some(full_list_bytes(inputs, f.servers) * f.balancers / BYTES_PER_MB),
            mechanism::FULL_LISTS_OF_ALL_BALANCERS,
        )
        .over(UnknownQuantity::Servers),
        Row::new(
            "the same within the time to be known",
            "MB a second",
            format!(
                "/ {} s",
                number(inputs.assumptions.requirements.change_known_within_s.value)
            ),
            |f| {
                let within_s = inputs.assumptions.requirements.change_known_within_s.value;
                Some(full_list_bytes(inputs, f.servers) * f.balancers / within_s / BYTES_PER_MB)
            },
            mechanism::FULL_LISTS_OF_ALL_BALANCERS,
        )
        .over(UnknownQuantity::Servers),
    ]
}

/// Memory and CPU time of discovery itself.
fn discovery_rows<'a>(inputs: &'a Inputs) -> Vec<Row<'a>> {
    vec![
        Row::new(
            "state held",
            "MB",
            list_basis(inputs),
            |f| Some(full_list_bytes(inputs, f.servers) / BYTES_PER_MB),
            mechanism::DISCOVERY_AGENTS,
        )
        .over(UnknownQuantity::Servers),
        Row::new(
            "processor",
            "% of a core",
            "*not measured*: the run's discovery is a stand-in",
            |_| None,
            mechanism::DISCOVERY_AGENTS,
        ),
    ]
}
