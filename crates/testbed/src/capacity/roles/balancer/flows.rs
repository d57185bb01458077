//! Cost of flows at a balancer: memory, file descriptors and CPU time.

use crate::capacity::deployment::UnknownQuantity;
use crate::capacity::markdown::number;
use crate::capacity::mechanism::{self, Mechanism};
use crate::capacity::needs::{
    BYTES_PER_KB, BYTES_PER_MB, MICROSECONDS_PER_SECOND, PERCENT, cpu_percent_per_connect,
    descriptors_needed,
};
use crate::capacity::row::{Inputs, Row};
use crate::capacity::stored_run::{Part, Varied};

/// Returns the figures of the cost of flows.
pub fn rows<'a>(inputs: &'a Inputs) -> Vec<Row<'a>> {
    let groups = [
        memory_rows(inputs),
        descriptor_rows(inputs),
        connect_rows(inputs),
        delivery_rows(inputs),
    ];
    groups.into_iter().flatten().collect()
}

/// The balancer's connections and the memory of their flows.
fn memory_rows<'a>(inputs: &'a Inputs) -> Vec<Row<'a>> {
    let memory = inputs.slope(Part::Sockets, Varied::Connections, "memory_mb");
    let code = &inputs.assumptions.code;
    vec![
        Row::new(
            "own connections",
            "",
            "connections / balancers",
            |f| Some(f.connections_per_balancer()),
            Mechanism::Present("crates/flow-table/src/table.rs, crates/dataplane/src/pipeline.rs"),
        ),
        Row::new(
            "memory of flows, as bounded",
            "MB",
            format!(
                "{} KB (code) x own connections; beside the control budget",
                number(code.flow_memory_kb.value)
            ),
            |f| {
                let bytes = inputs.assumptions.code.flow_memory_kb.value * BYTES_PER_KB;
                Some(f.connections_per_balancer() * bytes / BYTES_PER_MB)
            },
            mechanism::DESCRIPTOR_BUDGETS,
        ),
        Row::new(
            "memory of flows, by slope",
            "MB",
            format!(
                "slope x own connections of {}; beside the control budget",
                memory.describe()
            ),
            move |f| Some(memory.per_unit()? * f.connections_per_balancer()),
            mechanism::DESCRIPTOR_BUDGETS,
        ),
    ]
}

/// File descriptors needed for flows, and those available for health checks.
fn descriptor_rows<'a>(inputs: &'a Inputs) -> Vec<Row<'a>> {
    vec![
        Row::new(
            "`limits.sockets` that this takes",
            "descriptors",
            "two a flow and the parts for probes and those that wait (code)",
            |f| Some(descriptors_needed(inputs, f)),
            mechanism::DESCRIPTOR_BUDGETS,
        ),
        Row::new(
            "descriptors for probes that this leaves, of those needed",
            "part",
            "a sixteenth of them / servers held",
            |f| {
                let part = inputs.assumptions.code.probe_descriptor_part.value;
                Some(descriptors_needed(inputs, f) / part / f.servers_held())
            },
            Mechanism::Present(
                "checks in turn where there are too few, crates/dataplane/src/health_check/checker.rs",
            ),
        )
        .over(UnknownQuantity::Servers),
    ]
}

/// CPU time to establish new connections.
fn connect_rows<'a>(inputs: &'a Inputs) -> Vec<Row<'a>> {
    vec![
        Row::new(
            "processor for setting connections up",
            "% of a core",
            "new connections x the ratio of slopes of processor and connects over connections (measured, sockets)",
            |f| Some(cpu_percent_per_connect(inputs)? * f.placements_per_second_per_balancer()),
            Mechanism::Present("crates/dataplane/src/pipeline.rs"),
        )
        .over(UnknownQuantity::ConnectionLife),
    ]
}

/// Messages delivered to listeners.
fn delivery_rows<'a>(inputs: &'a Inputs) -> Vec<Row<'a>> {
    let assumed = &inputs.assumptions.assumed;
    vec![
        Row::new(
            "deliveries",
            "a second",
            "deliveries / balancers",
            |f| Some(f.deliveries_per_second / f.balancers),
            mechanism::RELAY,
        ),
        Row::new(
            "processor for deliveries",
            "% of a core",
            format!(
                "{} us (*assumed*) x deliveries; beside the control budget",
                number(assumed.delivery_us.value)
            ),
            |f| {
                let each = inputs.assumptions.assumed.delivery_us.value / MICROSECONDS_PER_SECOND;
                Some(f.deliveries_per_second / f.balancers * each * PERCENT)
            },
            mechanism::RELAY,
        ),
        Row::new(
            "99 in 100 deliveries",
            "ms",
            "*not measured*: the scale run carries no lines of clients",
            |_| None,
            Mechanism::Present("lines go on as they come, crates/dataplane/src/relay.rs"),
        )
        .within(inputs.assumptions.requirements.delivery_limit_ms.value),
    ]
}
