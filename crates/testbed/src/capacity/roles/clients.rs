//! Figures summed over all clients.

use crate::capacity::deployment::UnknownQuantity;
use crate::capacity::markdown::number;
use crate::capacity::mechanism::{self, Mechanism};
use crate::capacity::needs::BYTES_PER_MB;
use crate::capacity::row::{Inputs, Row};

/// Returns the figures summed over all clients.
pub fn rows<'a>(inputs: &'a Inputs) -> Vec<Row<'a>> {
    let groups = [connection_rows(inputs), delivery_rows(inputs), shard_rows()];
    groups.into_iter().flatten().collect()
}

/// New connections, and the lines that keep idle connections alive.
fn connection_rows<'a>(inputs: &'a Inputs) -> Vec<Row<'a>> {
    let (assumed, code) = (&inputs.assumptions.assumed, &inputs.assumptions.code);
    vec![
        Row::new(
            "new connections",
            "a second",
            "connections / life (three lives)",
            |f| Some(f.placements_per_second()),
            Mechanism::Present(
                "admission, crates/admission/src/controller.rs where it is on; concurrency limits, \
                 crates/policy/src/concurrency.rs",
            ),
        )
        .over(UnknownQuantity::ConnectionLife),
        Row::new(
            "lines that keep connections from counting as gone",
            "a second",
            format!(
                "connections / {} s (code)",
                number(code.idle_client_s.value)
            ),
            |f| Some(f.connections / inputs.assumptions.code.idle_client_s.value),
            Mechanism::Partial(
                "a listener that sends nothing is told to move; crates/dataplane/src/relay.rs",
            ),
        ),
        Row::new(
            "bytes of those lines",
            "MB a second",
            format!(
                "x {} bytes (*assumed*)",
                number(assumed.client_line_bytes.value)
            ),
            |f| {
                let lines = f.connections / inputs.assumptions.code.idle_client_s.value;
                Some(lines * inputs.assumptions.assumed.client_line_bytes.value / BYTES_PER_MB)
            },
            mechanism::RELAY,
        ),
    ]
}

/// Deliveries to all clients.
fn delivery_rows<'a>(inputs: &'a Inputs) -> Vec<Row<'a>> {
    let assumed = &inputs.assumptions.assumed;
    vec![
        Row::new(
            "deliveries",
            "a second",
            "as required",
            |f| Some(f.deliveries_per_second),
            mechanism::RELAY,
        ),
        Row::new(
            "bytes of deliveries",
            "MB a second",
            format!(
                "x {} bytes (*assumed*)",
                number(assumed.delivery_bytes.value)
            ),
            |f| {
                Some(
                    f.deliveries_per_second * inputs.assumptions.assumed.delivery_bytes.value
                        / BYTES_PER_MB,
                )
            },
            mechanism::RELAY,
        ),
    ]
}

/// Listeners of a shard and the balancers that hold them.
fn shard_rows() -> Vec<Row<'static>> {
    vec![
        Row::new(
            "listeners of a shard, on the mean",
            "",
            "connections / shards",
            |f| Some(f.connections / f.shards),
            Mechanism::Partial(
                "holders first, then the group's home, crates/policy/src/group_affinity.rs",
            ),
        ),
        Row::new(
            "balancers that hold a listener of a mean shard",
            "part",
            "1 - e^(-listeners / balancers)",
            |f| Some(1.0 - (-f.connections / f.shards / f.balancers).exp()),
            Mechanism::Partial("each agrees on the home by order of group and server"),
        ),
    ]
}
