//! Cost of placing new connections at a balancer.

use crate::capacity::deployment::UnknownQuantity;
use crate::capacity::mechanism::{self, Mechanism};
use crate::capacity::needs::{placement_cpu_percent, placement_us};
use crate::capacity::row::{Inputs, Row};
use crate::capacity::stored_run::{Part, Varied};

/// Returns the figures of the cost of placing new connections.
pub fn rows<'a>(inputs: &'a Inputs) -> Vec<Row<'a>> {
    let groups = [
        placement_rows(inputs),
        call_rows(inputs),
        cpu_rows(inputs),
        topic_rows(),
    ];
    groups.into_iter().flatten().collect()
}

/// Rate of new connections, and the cost of one placement.
fn placement_rows<'a>(inputs: &'a Inputs) -> Vec<Row<'a>> {
    let decisions = |figure| inputs.slope(Part::Decisions, Varied::Servers, figure);
    let (place, examined) = (
        decisions("place_p50_us"),
        decisions("servers_per_placement"),
    );
    vec![
        Row::new(
            "new connections",
            "a second",
            "connections / balancers / life (three lives)",
            |f| Some(f.placements_per_second_per_balancer()),
            Mechanism::Present("crates/dataplane/src/dispatcher.rs"),
        )
        .over(UnknownQuantity::ConnectionLife),
        Row::new(
            "servers looked at for one placement",
            "",
            examined.describe(),
            move |f| examined.at(f.servers),
            mechanism::BOUNDED_CANDIDATES,
        )
        .over(UnknownQuantity::Servers),
        Row::new(
            "one placement",
            "us",
            place.describe(),
            move |f| place.at(f.servers),
            mechanism::BOUNDED_CANDIDATES,
        )
        .over(UnknownQuantity::Servers),
    ]
}

/// All calls of the policy for a new connection.
fn call_rows<'a>(inputs: &'a Inputs) -> Vec<Row<'a>> {
    let decisions = |figure| inputs.slope(Part::Decisions, Varied::Servers, figure);
    let (per_flow, placed) = (decisions("place_us_per_flow"), decisions("placed_share"));
    let calls = decisions("place_calls_per_placement");
    vec![
        Row::new(
            "all calls for one new connection",
            "us",
            per_flow.describe(),
            |f| placement_us(inputs, f),
            mechanism::BOUNDED_CANDIDATES,
        )
        .over(UnknownQuantity::Servers),
        Row::new(
            "part of new connections that are placed",
            "",
            placed.describe(),
            move |f| placed.at(f.servers),
            mechanism::BOUNDED_CANDIDATES,
        )
        .over(UnknownQuantity::Servers),
        Row::new(
            "calls for one placement",
            "",
            calls.describe(),
            move |f| calls.at(f.servers),
            mechanism::BOUNDED_CANDIDATES,
        )
        .over(UnknownQuantity::Servers),
    ]
}

/// CPU time of placement.
fn cpu_rows<'a>(inputs: &'a Inputs) -> Vec<Row<'a>> {
    let percent_budget = inputs
        .assumptions
        .requirements
        .control_percent_of_core
        .value;
    let per_flow = inputs.slope(Part::Decisions, Varied::Servers, "place_us_per_flow");
    let basis = format!("{} x new connections a second", per_flow.describe());
    vec![
        Row::new(
            "placing, over the servers",
            "% of a core",
            basis.clone(),
            |f| placement_cpu_percent(inputs, f),
            mechanism::BOUNDED_CANDIDATES,
        )
        .over(UnknownQuantity::Servers)
        .within(percent_budget),
        Row::new(
            "placing, over the lives",
            "% of a core",
            basis,
            |f| placement_cpu_percent(inputs, f),
            mechanism::BOUNDED_CANDIDATES,
        )
        .over(UnknownQuantity::ConnectionLife)
        .within(percent_budget),
    ]
}

/// The largest topic.
fn topic_rows() -> Vec<Row<'static>> {
    vec![
        Row::new(
            "listeners of the largest topic at one balancer",
            "",
            "listeners / balancers",
            |f| Some(f.largest_topic_listeners / f.balancers),
            Mechanism::Present("`ConnectionTable` in crates/policy/src/connections.rs"),
        ),
        Row::new(
            "servers that the largest topic needs",
            "",
            "listeners / a server's mean of connections",
            |f| Some(f.largest_topic_listeners / f.connections_per_server()),
            mechanism::LARGE_TOPICS,
        )
        .over(UnknownQuantity::Servers),
    ]
}
