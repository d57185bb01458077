//! Load of one balancer: control work, placement, endpoint lists, configuration and flows.

mod endpoint_list;
mod flows;
mod health_checks;
mod placement;
mod state;

use crate::capacity::row::{Inputs, Row};

/// Returns the figures of one balancer.
pub fn rows<'a>(inputs: &'a Inputs) -> Vec<Row<'a>> {
    let groups = [
        health_checks::rows(inputs),
        state::rows(inputs),
        state::gossip_rows(inputs),
        placement::rows(inputs),
        endpoint_list::rows(inputs),
        endpoint_list::configuration_rows(inputs),
        flows::rows(inputs),
    ];
    groups.into_iter().flatten().collect()
}
