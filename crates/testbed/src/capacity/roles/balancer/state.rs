//! A balancer's state of servers and of its own connections, and the messages that it would send to
//! peers.

use crate::capacity::deployment::UnknownQuantity;
use crate::capacity::markdown::number;
use crate::capacity::mechanism::{self, Mechanism};
use crate::capacity::needs::{BYTES_PER_MB, connection_state_mb, control_memory_mb};
use crate::capacity::row::{Inputs, Row};
use crate::capacity::stored_run::{Part, Varied};

/// Returns the figures of a balancer's state of servers and of its own connections.
pub fn rows<'a>(inputs: &'a Inputs) -> Vec<Row<'a>> {
    let groups = [
        server_rows(inputs),
        connection_rows(inputs),
        process_rows(inputs),
    ];
    groups.into_iter().flatten().collect()
}

/// Memory that grows with the number of servers.
fn server_rows<'a>(inputs: &'a Inputs) -> Vec<Row<'a>> {
    let memory_budget = inputs.assumptions.requirements.control_memory_mb.value;
    let memory = inputs.slope(Part::Sockets, Varied::Servers, "memory_mb");
    let of_server = inputs.slope(Part::Decisions, Varied::Servers, "bytes_per_server");
    vec![
        Row::new(
            "memory of the process on sockets, with the run's few flows",
            "MB",
            memory.describe(),
            move |f| memory.at(f.servers),
            mechanism::HEALTH_CHECK_STACKS,
        )
        .over(UnknownQuantity::Servers)
        .within(memory_budget),
        Row::new(
            "the policy's state of servers",
            "MB",
            format!("{} x servers", of_server.describe()),
            move |f| Some(of_server.at(f.servers)? * f.servers / BYTES_PER_MB),
            Mechanism::Present("`Server` in crates/policy/src/endpoints.rs"),
        )
        .over(UnknownQuantity::Servers)
        .within(memory_budget),
    ]
}

/// Memory that grows with the number of the balancer's connections.
fn connection_rows<'a>(inputs: &'a Inputs) -> Vec<Row<'a>> {
    let memory_budget = inputs.assumptions.requirements.control_memory_mb.value;
    let of_connection = inputs.slope(Part::Decisions, Varied::Connections, "bytes_per_connection");
    let in_table = inputs.slope(
        Part::Decisions,
        Varied::Connections,
        "flow_table_bytes_per_connection",
    );
    vec![
        Row::new(
            "the policy's state of own connections",
            "MB",
            format!("{} x own connections", of_connection.describe()),
            |f| connection_state_mb(inputs, f),
            Mechanism::Present("`ConnectionTable` in crates/policy/src/connections.rs"),
        )
        .within(memory_budget),
        Row::new(
            "the flow table",
            "MB",
            format!("{} x own connections", in_table.describe()),
            move |f| {
                Some(
                    in_table.at(f.connections_per_balancer())? * f.connections_per_balancer()
                        / BYTES_PER_MB,
                )
            },
            Mechanism::Present("crates/flow-table/src/table.rs"),
        )
        .within(memory_budget),
    ]
}

/// Memory for control work and file descriptors of the whole process.
fn process_rows<'a>(inputs: &'a Inputs) -> Vec<Row<'a>> {
    let memory_budget = inputs.assumptions.requirements.control_memory_mb.value;
    let descriptors = inputs.slope(Part::Sockets, Varied::Servers, "descriptors");
    vec![
        Row::new(
            "memory for control: the process on sockets and the policy's own connections",
            "MB",
            "sum of both rows above",
            |f| control_memory_mb(inputs, f),
            mechanism::HEALTH_CHECK_STACKS,
        )
        .over(UnknownQuantity::Servers)
        .within(memory_budget),
        Row::new(
            "descriptors on sockets, with the run's few flows",
            "",
            descriptors.describe(),
            move |f| descriptors.at(f.servers),
            mechanism::HEALTH_CHECK_CONNECTIONS,
        )
        .over(UnknownQuantity::Servers),
    ]
}

/// Returns the figures of the messages that balancers would need if they agreed on the holders of
/// groups by gossip.
pub fn gossip_rows<'a>(inputs: &'a Inputs) -> Vec<Row<'a>> {
    let code = &inputs.assumptions.code;
    vec![
        Row::new(
            "messages between balancers that would be needed",
            "a second",
            format!(
                "shards / {} s (code), one server each",
                number(code.peer_message_repeat_s.value)
            ),
            |f| Some(f.shards / inputs.assumptions.code.peer_message_repeat_s.value),
            mechanism::PEER_MESSAGES,
        )
        .within(code.peer_messages_heard_per_second.value),
        Row::new(
            "shards that share a number in those messages",
            "",
            format!("shards / {} (code)", number(code.peer_message_groups.value)),
            |f| Some(f.shards / inputs.assumptions.code.peer_message_groups.value),
            Mechanism::Partial(
                "sixteen bits a group, `GroupPlacement` in crates/policy/src/types.rs",
            ),
        ),
    ]
}
