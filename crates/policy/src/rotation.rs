//! Smooth weighted round robin, as in nginx: each turn adds each server's weight to its credit,
//! selects the server with the highest credit, and deducts the sum of all weights from it.

use nanorand::{Rng, WyRand};
use nettlemux_candidates::usable_weight;

use crate::endpoints::{Endpoints, Server};
use crate::types::ServerId;

/// Draws a server's initial credit at random, so that balancers do not rotate in step.
pub(crate) fn initial_credit(rng: &mut WyRand) -> f64 {
    rng.generate::<f64>()
}

/// Returns the credit that a server has at the next turn.
pub(crate) fn next_credit(server: &Server) -> f64 {
    server.rotation_credit + usable_weight(server.endpoint.weight)
}

/// Takes a turn among these servers and returns the selected one; `None` if there are no servers.
pub(crate) fn take_turn(endpoints: &mut Endpoints, among: &[ServerId]) -> Option<ServerId> {
    let servers = &mut endpoints.servers;
    let mut total = 0.0;
    for server_id in among {
        let server = servers.get_mut(server_id)?;
        let weight = usable_weight(server.endpoint.weight);
        server.rotation_credit += weight;
        total += weight;
    }
    let credit = |server_id: &ServerId| servers[server_id].rotation_credit;
    let first = among
        .iter()
        .copied()
        .reduce(|a, b| if credit(&b) > credit(&a) { b } else { a })?;
    servers.get_mut(&first)?.rotation_credit -= total;
    Some(first)
}
