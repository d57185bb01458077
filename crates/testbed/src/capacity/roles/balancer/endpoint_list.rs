//! Cost of the endpoint list and of configuration changes at a balancer.

use crate::capacity::deployment::UnknownQuantity;
use crate::capacity::markdown::number;
use crate::capacity::mechanism::{self, Mechanism};
use crate::capacity::needs::{
    SECONDS_PER_DAY, change_bytes_per_second, change_message_bytes, empty_watch_bytes, entry_bytes,
    full_list_bytes, list_basis, list_changes_per_day,
};
use crate::capacity::row::{Inputs, Row};
use crate::capacity::stored_run::{Part, Varied};

/// Returns the figures of the cost of the endpoint list.
pub fn rows<'a>(inputs: &'a Inputs) -> Vec<Row<'a>> {
    let groups = [
        ordinary_day_rows(inputs),
        full_list_rows(inputs),
        zone_loss_rows(inputs),
        change_time_rows(inputs),
    ];
    groups.into_iter().flatten().collect()
}

/// Bytes for the endpoint list on an ordinary day.
fn ordinary_day_rows<'a>(inputs: &'a Inputs) -> Vec<Row<'a>> {
    let bytes = inputs
        .assumptions
        .requirements
        .control_bytes_per_second
        .value;
    let code = &inputs.assumptions.code;
    vec![
        Row::new(
            "watching a list that doesn't change",
            "bytes a second",
            format!(
                "{} bytes (*assumed*) / {} s (code)",
                number(empty_watch_bytes(inputs)),
                number(code.watch_hold_s.value)
            ),
            |_| Some(empty_watch_bytes(inputs) / inputs.assumptions.code.watch_hold_s.value),
            Mechanism::Present("held polls, crates/dataplane/src/discovery/watch.rs"),
        )
        .within(bytes),
        Row::new(
            "changes of the list on an ordinary day",
            "bytes a second",
            "changes of servers a day x an entry",
            |f| Some(list_changes_per_day(inputs, f) * entry_bytes(inputs) / SECONDS_PER_DAY),
            mechanism::LIST_CHANGES,
        )
        .over(UnknownQuantity::Servers)
        .within(bytes),
    ]
}

/// Transfer of a full endpoint list.
fn full_list_rows<'a>(inputs: &'a Inputs) -> Vec<Row<'a>> {
    let requirements = &inputs.assumptions.requirements;
    let bytes = requirements.control_bytes_per_second.value;
    let code = &inputs.assumptions.code;
    vec![
        Row::new(
            "a whole list",
            "bytes",
            list_basis(inputs),
            |f| Some(full_list_bytes(inputs, f.servers)),
            mechanism::FULL_LIST,
        )
        .over(UnknownQuantity::Servers)
        .within(code.answer_limit_bytes.value),
        Row::new(
            "a whole list within the time to be ready",
            "bytes a second",
            format!(
                "a whole list / {} s",
                number(requirements.ready_within_s.value)
            ),
            |f| {
                Some(
                    full_list_bytes(inputs, f.servers)
                        / inputs.assumptions.requirements.ready_within_s.value,
                )
            },
            mechanism::FULL_LIST,
        )
        .over(UnknownQuantity::Servers)
        .within(bytes),
    ]
}

/// Removal of the servers of a lost zone from the list.
fn zone_loss_rows<'a>(inputs: &'a Inputs) -> Vec<Row<'a>> {
    let bytes = inputs
        .assumptions
        .requirements
        .control_bytes_per_second
        .value;
    let change_known_within = inputs.assumptions.requirements.change_known_within_s.value;
    vec![
        Row::new(
            "a zone's servers that go, within the time to be known",
            "bytes a second",
            format!(
                "servers / zones x an entry / {} s",
                number(change_known_within)
            ),
            move |f| Some(f.servers / f.zones * entry_bytes(inputs) / change_known_within),
            mechanism::LIST_CHANGES,
        )
        .over(UnknownQuantity::Servers)
        .within(bytes),
    ]
}

/// Time from the addition of a server until the balancer first uses it.
fn change_time_rows<'a>(inputs: &'a Inputs) -> Vec<Row<'a>> {
    let change_known_within = inputs.assumptions.requirements.change_known_within_s.value;
    let seen = |varied| inputs.slope(Part::Sockets, varied, "change_seen_ms_p99");
    let seen_over_servers = seen(Varied::Servers);
    let seen = seen(Varied::ChangesPerSecond);
    vec![
        Row::new(
            "a new server until its first probe or attempt, over the servers",
            "ms",
            seen_over_servers.describe(),
            move |f| seen_over_servers.at(f.servers),
            Mechanism::Present(
                "crates/dataplane/src/discovery/watch.rs, crates/dataplane/src/dispatcher.rs",
            ),
        )
        .over(UnknownQuantity::Servers)
        .within(change_known_within * 1e3),
        Row::new(
            "a new server until its first probe or attempt, over the changes of an ordinary day",
            "ms",
            seen.describe(),
            move |f| seen.at(list_changes_per_day(inputs, f) / SECONDS_PER_DAY),
            Mechanism::Present(
                "crates/dataplane/src/discovery/watch.rs, crates/dataplane/src/dispatcher.rs",
            ),
        )
        .within(change_known_within * 1e3),
    ]
}

/// Returns the figures of configuration changes that would be sent to one balancer.
pub fn configuration_rows<'a>(inputs: &'a Inputs) -> Vec<Row<'a>> {
    let requirements = &inputs.assumptions.requirements;
    let bytes = requirements.control_bytes_per_second.value;
    vec![
        Row::new(
            "a change of the configuration within its time",
            "bytes a second",
            format!(
                "(change + head) / {} s (three sizes)",
                number(requirements.configuration_limit_s.value)
            ),
            |f| Some(change_bytes_per_second(inputs, f)),
            mechanism::CONFIGURATION,
        )
        .over(UnknownQuantity::ChangeBytes)
        .within(bytes),
        Row::new(
            "changes of the configuration on the mean",
            "bytes a second",
            "changes a day x (change + head) / a day (three sizes)",
            |f| {
                Some(
                    f.configuration_changes_per_day * change_message_bytes(inputs, f)
                        / SECONDS_PER_DAY,
                )
            },
            mechanism::CONFIGURATION,
        )
        .over(UnknownQuantity::ChangeBytes)
        .within(bytes),
    ]
}
