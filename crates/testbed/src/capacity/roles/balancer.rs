//! One balancer: control, placing, lists and settings, flows.

use crate::capacity::deployment::{Deployment, Unknown};
use crate::capacity::markdown::number;
use crate::capacity::mechanism::{self, Mechanism};
use crate::capacity::needs::{
    BYTES_PER_KB, BYTES_PER_MB, MICROSECONDS_PER_SECOND, PERCENT, SECONDS_PER_DAY,
    change_bytes_per_second, change_message_bytes, control_memory_mb, descriptors_needed,
    entry_bytes, least_probes, list_basis, list_changes_per_day, measured_control_bytes,
    module_probes, own_state_mb, percent_per_set_up, placement_percent, placement_us, probe_bytes,
    probe_bytes_basis, probes_percent, watch_bytes, whole_list_bytes,
};
use crate::capacity::row::{Inputs, Row};
use crate::capacity::stored_run::{Part, Varied};

/// One balancer.
pub fn rows<'a>(inputs: &'a Inputs) -> Vec<Row<'a>> {
    let kinds = [
        probe_rows(inputs),
        state_rows(inputs),
        peer_rows(inputs),
        placement_rows(inputs),
        list_rows(inputs),
        configuration_rows(inputs),
        flow_rows(inputs),
    ];
    kinds.into_iter().flatten().collect()
}

/// Health checks three times: as the policy asks for them with the operators' own connections, as
/// its longest interval gives them at least, and as counted on sockets.
fn probe_rows<'a>(inputs: &'a Inputs) -> Vec<Row<'a>> {
    let (requirements, code) = (&inputs.assumptions.requirements, &inputs.assumptions.code);
    let of_module = inputs.slope(Part::Module, Varied::Servers, "probes_per_second");
    let sockets = |figure| inputs.slope(Part::Sockets, Varied::Servers, figure);
    let (on_sockets, processor) = (sockets("probes_per_second"), sockets("cpu_percent_of_core"));
    let bytes = requirements.control_bytes_per_second.value;
    let percent = requirements.control_percent_of_core.value;
    let probes_paid_for = bytes / probe_bytes(inputs);
    let a_probe = format!("probes x {} bytes", number(probe_bytes(inputs)));
    let ratio = "those probes x the ratio of slopes of processor and probes over servers (measured, sockets)";
    let longest = format!(
        "servers held, by chance / {} s (code)",
        number(code.probe_interval_longest_s.value)
    );
    let row = |quantity, unit, basis: &str, value: ProbeValue<'a>, budget| {
        Row::new(quantity, unit, basis, value, mechanism::CONTROL_BUDGET)
            .over(Unknown::Servers)
            .within(budget)
    };
    vec![
        Row::new(
            "one probe",
            "bytes",
            probe_bytes_basis(inputs),
            |_| Some(probe_bytes(inputs)),
            Mechanism::Present("one line each way, crates/dataplane/src/health_check/checker.rs"),
        ),
        row(
            "health checks with the operators' own connections",
            "a second",
            &of_module.describe(),
            Box::new(|f| module_probes(inputs, f)),
            probes_paid_for,
        ),
        row(
            "bytes of the policy's health checks",
            "a second",
            &a_probe,
            Box::new(|f| Some(module_probes(inputs, f)? * probe_bytes(inputs))),
            bytes,
        ),
        row(
            "processor for the policy's health checks",
            "% of a core",
            ratio,
            Box::new(|f| probes_percent(inputs, module_probes(inputs, f)?)),
            percent,
        ),
        row(
            "probes at the longest interval, without a control budget",
            "a second",
            &longest,
            Box::new(|f| Some(least_probes(inputs, f))),
            probes_paid_for,
        ),
        row(
            "bytes of probes at the longest interval, without a control budget",
            "a second",
            &a_probe,
            Box::new(|f| Some(least_probes(inputs, f) * probe_bytes(inputs))),
            bytes,
        ),
        row(
            "processor for probes at the longest interval, without a control budget",
            "% of a core",
            ratio,
            Box::new(|f| probes_percent(inputs, least_probes(inputs, f))),
            percent,
        ),
        row(
            "probes on sockets, at the run's price",
            "a second",
            &on_sockets.describe(),
            Box::new(move |f| on_sockets.at(f.servers)),
            probes_paid_for,
        ),
        row(
            "control bytes on sockets, at the run's price",
            "a second",
            &format!(
                "{} + packet headers (*assumed*)",
                sockets("control_bytes_per_second").describe()
            ),
            Box::new(|f| measured_control_bytes(inputs, f)),
            bytes,
        ),
        row(
            "processor on sockets, at the run's price",
            "% of a core",
            &processor.describe(),
            Box::new(move |f| processor.at(f.servers)),
            percent,
        ),
    ]
}

/// Works a figure of health checks out for a fleet.
type ProbeValue<'a> = Box<dyn Fn(&Deployment) -> Option<f64> + 'a>;

/// What a balancer holds of servers and of its own connections.
fn state_rows<'a>(inputs: &'a Inputs) -> Vec<Row<'a>> {
    let memory_budget = inputs.assumptions.requirements.control_memory_mb.value;
    let sockets = |figure| inputs.slope(Part::Sockets, Varied::Servers, figure);
    let (memory, descriptors) = (sockets("memory_mb"), sockets("descriptors"));
    let of_server = inputs.slope(Part::Module, Varied::Servers, "bytes_per_server");
    let of_connection = inputs.slope(Part::Module, Varied::Connections, "bytes_per_connection");
    let in_table = inputs.slope(
        Part::Module,
        Varied::Connections,
        "flow_table_bytes_per_connection",
    );
    vec![
        Row::new(
            "memory of the process on sockets, with the run's few flows",
            "MB",
            memory.describe(),
            move |f| memory.at(f.servers),
            mechanism::STACK_PER_PROBE,
        )
        .over(Unknown::Servers)
        .within(memory_budget),
        Row::new(
            "the policy's state of servers",
            "MB",
            format!("{} x servers", of_server.describe()),
            move |f| Some(of_server.at(f.servers)? * f.servers / BYTES_PER_MB),
            Mechanism::Present("`Server` in crates/policy/src/endpoints.rs"),
        )
        .over(Unknown::Servers)
        .within(memory_budget),
        Row::new(
            "the policy's state of own connections",
            "MB",
            format!("{} x own connections", of_connection.describe()),
            |f| own_state_mb(inputs, f),
            Mechanism::Present("`ConnectionTable` in crates/policy/src/connections.rs"),
        )
        .within(memory_budget),
        Row::new(
            "the flow table",
            "MB",
            format!("{} x own connections", in_table.describe()),
            move |f| Some(in_table.at(f.own_connections())? * f.own_connections() / BYTES_PER_MB),
            Mechanism::Present("crates/flow-table/src/table.rs"),
        )
        .within(memory_budget),
        Row::new(
            "memory for control: the process on sockets and the policy's own connections",
            "MB",
            "sum of both rows above",
            |f| control_memory_mb(inputs, f),
            mechanism::STACK_PER_PROBE,
        )
        .over(Unknown::Servers)
        .within(memory_budget),
        Row::new(
            "descriptors on sockets, with the run's few flows",
            "",
            descriptors.describe(),
            move |f| descriptors.at(f.servers),
            mechanism::PROBE_CONNECTIONS,
        )
        .over(Unknown::Servers),
    ]
}

/// What balancers would have to tell one another, were they to agree on holders that way.
fn peer_rows<'a>(inputs: &'a Inputs) -> Vec<Row<'a>> {
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

fn placement_rows<'a>(inputs: &'a Inputs) -> Vec<Row<'a>> {
    let requirements = &inputs.assumptions.requirements;
    let module = |figure| inputs.slope(Part::Module, Varied::Servers, figure);
    let (place, looked_at) = (module("place_p50_us"), module("servers_per_placement"));
    let calls = module("place_calls_per_placement");
    let per_flow = module("place_us_per_flow");
    let placed = module("placed_share");
    let share = format!("{} x new connections a second", per_flow.describe());
    vec![
        Row::new(
            "new connections",
            "a second",
            "connections / balancers / life (three lives)",
            |f| Some(f.own_placements_per_second()),
            Mechanism::Present("crates/dataplane/src/dispatcher.rs"),
        )
        .over(Unknown::ConnectionLife),
        Row::new(
            "servers looked at for one placement",
            "",
            looked_at.describe(),
            move |f| looked_at.at(f.servers),
            mechanism::BOUNDED_CANDIDATES,
        )
        .over(Unknown::Servers),
        Row::new(
            "one placement",
            "us",
            place.describe(),
            move |f| place.at(f.servers),
            mechanism::BOUNDED_CANDIDATES,
        )
        .over(Unknown::Servers),
        Row::new(
            "all calls for one new connection",
            "us",
            per_flow.describe(),
            |f| placement_us(inputs, f),
            mechanism::BOUNDED_CANDIDATES,
        )
        .over(Unknown::Servers),
        Row::new(
            "part of new connections that are placed",
            "",
            placed.describe(),
            move |f| placed.at(f.servers),
            mechanism::BOUNDED_CANDIDATES,
        )
        .over(Unknown::Servers),
        Row::new(
            "calls for one placement",
            "",
            calls.describe(),
            move |f| calls.at(f.servers),
            mechanism::BOUNDED_CANDIDATES,
        )
        .over(Unknown::Servers),
        Row::new(
            "placing, over the servers",
            "% of a core",
            share.clone(),
            |f| placement_percent(inputs, f),
            mechanism::BOUNDED_CANDIDATES,
        )
        .over(Unknown::Servers)
        .within(requirements.control_percent_of_core.value),
        Row::new(
            "placing, over the lives",
            "% of a core",
            share,
            |f| placement_percent(inputs, f),
            mechanism::BOUNDED_CANDIDATES,
        )
        .over(Unknown::ConnectionLife)
        .within(requirements.control_percent_of_core.value),
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
            |f| Some(f.largest_topic_listeners / f.server_connections()),
            mechanism::LARGE_TOPICS,
        )
        .over(Unknown::Servers),
    ]
}

fn list_rows<'a>(inputs: &'a Inputs) -> Vec<Row<'a>> {
    let (requirements, code) = (&inputs.assumptions.requirements, &inputs.assumptions.code);
    let bytes = requirements.control_bytes_per_second.value;
    let seen = inputs.slope(
        Part::Sockets,
        Varied::ChangesPerSecond,
        "change_seen_ms_p99",
    );
    let seen_over_servers = inputs.slope(Part::Sockets, Varied::Servers, "change_seen_ms_p99");
    let change_known_within = requirements.change_known_within_s.value;
    vec![
        Row::new(
            "watching a list that doesn't change",
            "bytes a second",
            format!(
                "{} bytes (*assumed*) / {} s (code)",
                number(watch_bytes(inputs)),
                number(code.watch_hold_s.value)
            ),
            |_| Some(watch_bytes(inputs) / inputs.assumptions.code.watch_hold_s.value),
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
        .over(Unknown::Servers)
        .within(bytes),
        Row::new(
            "a whole list",
            "bytes",
            list_basis(inputs),
            |f| Some(whole_list_bytes(inputs, f.servers)),
            mechanism::WHOLE_LIST,
        )
        .over(Unknown::Servers)
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
                    whole_list_bytes(inputs, f.servers)
                        / inputs.assumptions.requirements.ready_within_s.value,
                )
            },
            mechanism::WHOLE_LIST,
        )
        .over(Unknown::Servers)
        .within(bytes),
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
        .over(Unknown::Servers)
        .within(bytes),
        Row::new(
            "a new server until its first probe or attempt, over the servers",
            "ms",
            seen_over_servers.describe(),
            move |f| seen_over_servers.at(f.servers),
            Mechanism::Present(
                "crates/dataplane/src/discovery/watch.rs, crates/dataplane/src/dispatcher.rs",
            ),
        )
        .over(Unknown::Servers)
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

/// Changes of the configuration as they would come to one balancer.
fn configuration_rows<'a>(inputs: &'a Inputs) -> Vec<Row<'a>> {
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
        .over(Unknown::ChangeBytes)
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
        .over(Unknown::ChangeBytes)
        .within(bytes),
    ]
}

fn flow_rows<'a>(inputs: &'a Inputs) -> Vec<Row<'a>> {
    let memory = inputs.slope(Part::Sockets, Varied::Connections, "memory_mb");
    let (assumed, code) = (&inputs.assumptions.assumed, &inputs.assumptions.code);
    vec![
        Row::new(
            "own connections",
            "",
            "connections / balancers",
            |f| Some(f.own_connections()),
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
                Some(f.own_connections() * bytes / BYTES_PER_MB)
            },
            mechanism::SHARES,
        ),
        Row::new(
            "memory of flows, by slope",
            "MB",
            format!("slope x own connections of {}; beside the control budget", memory.describe()),
            move |f| Some(memory.per_unit()? * f.own_connections()),
            mechanism::SHARES,
        ),
        Row::new(
            "`limits.sockets` that this takes",
            "descriptors",
            "two a flow and the parts for probes and those that wait (code)",
            |f| Some(descriptors_needed(inputs, f)),
            mechanism::SHARES,
        ),
        Row::new(
            "descriptors for probes that this leaves, of those needed",
            "part",
            "a sixteenth of them / servers held",
            |f| {
                let part = inputs.assumptions.code.probe_descriptor_part.value;
                Some(descriptors_needed(inputs, f) / part / f.servers_held())
            },
            Mechanism::Present("checks in turn where there are too few, crates/dataplane/src/health_check/checker.rs"),
        )
        .over(Unknown::Servers),
        Row::new(
            "processor for setting connections up",
            "% of a core",
            "new connections x the ratio of slopes of processor and connects over connections (measured, sockets)",
            |f| Some(percent_per_set_up(inputs)? * f.own_placements_per_second()),
            Mechanism::Present("crates/dataplane/src/pipeline.rs"),
        )
        .over(Unknown::ConnectionLife),
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
