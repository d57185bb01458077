//! Failures as reconnect storms. For each kind of failure: its rate, the machines that are lost, the
//! clients that reconnect, their rate, and the time until all are placed again.

use super::deployment::{Deployment, UnknownQuantity};
use super::markdown::{NOT_MEASURED, Table, figure, figures, number};
use super::needs::{BYTES_PER_MB, MICROSECONDS_PER_SECOND, entry_bytes, placement_us};
use super::row::Inputs;
use super::stored_run::Part;

const DAYS_PER_YEAR: f64 = 365.0;
const MS_PER_SECOND: f64 = 1e3;

/// One kind of failure and the reconnects that follow it.
struct Storm {
    name: &'static str,
    per_year: fn(&Inputs, &Deployment) -> f64,
    balancers_lost: fn(&Inputs, &Deployment) -> f64,
    servers_lost: fn(&Inputs, &Deployment) -> f64,
    returning_clients: fn(&Inputs, &Deployment) -> f64,
    /// Whether clients are told to reconnect. Otherwise they must first detect that their connection
    /// is lost.
    announced: bool,
}

fn none(_: &Inputs, _: &Deployment) -> f64 {
    0.0
}

fn one(_: &Inputs, _: &Deployment) -> f64 {
    1.0
}

fn machines_per_rack(inputs: &Inputs, _: &Deployment) -> f64 {
    inputs.assumptions.assumed.rack_machines.value
}

fn balancer_share(fleet: &Deployment) -> f64 {
    fleet.balancers / fleet.machines()
}

fn server_share(fleet: &Deployment) -> f64 {
    fleet.servers / fleet.machines()
}

const STORMS: [Storm; 8] = [
    Storm {
        name: "a balancer fails",
        per_year: |_, f| f.failures_per_day * DAYS_PER_YEAR * balancer_share(f),
        balancers_lost: one,
        servers_lost: none,
        returning_clients: |_, f| f.connections_per_balancer(),
        announced: false,
    },
    Storm {
        name: "a server fails",
        per_year: |_, f| f.failures_per_day * DAYS_PER_YEAR * server_share(f),
        balancers_lost: none,
        servers_lost: one,
        returning_clients: |_, f| f.connections_per_server(),
        announced: false,
    },
    Storm {
        name: "a balancer is restarted or replaced",
        per_year: |_, f| f.restarts_per_day * DAYS_PER_YEAR * balancer_share(f),
        balancers_lost: one,
        servers_lost: none,
        returning_clients: |_, f| f.connections_per_balancer(),
        announced: true,
    },
    Storm {
        name: "a server is restarted or replaced",
        per_year: |_, f| f.restarts_per_day * DAYS_PER_YEAR * server_share(f),
        balancers_lost: none,
        servers_lost: one,
        returning_clients: |_, f| f.connections_per_server(),
        announced: true,
    },
    Storm {
        name: "a rack of balancers goes",
        per_year: |i, _| i.assumptions.requirements.racks_per_year.value,
        balancers_lost: machines_per_rack,
        servers_lost: none,
        returning_clients: |i, f| machines_per_rack(i, f) * f.connections_per_balancer(),
        announced: false,
    },
    Storm {
        name: "a rack of servers goes",
        per_year: |i, _| i.assumptions.requirements.racks_per_year.value,
        balancers_lost: none,
        servers_lost: machines_per_rack,
        returning_clients: |i, f| machines_per_rack(i, f) * f.connections_per_server(),
        announced: false,
    },
    Storm {
        name: "a zone goes",
        per_year: |i, _| i.assumptions.requirements.zones_per_year.value,
        balancers_lost: |_, f| f.balancers / f.zones,
        servers_lost: |_, f| f.servers / f.zones,
        returning_clients: |_, f| f.zone_clients,
        announced: false,
    },
    Storm {
        name: "a region and the others lose each other",
        per_year: |i, _| i.assumptions.requirements.region_cuts_per_year.value,
        balancers_lost: none,
        servers_lost: none,
        // Connections that cross into the region and connections that cross out of it.
        returning_clients: |i, f| {
            2.0 * i.assumptions.assumed.crossing_share.value * f.connections / f.regions
        },
        announced: false,
    },
];

impl Storm {
    fn balancers_left(&self, inputs: &Inputs, fleet: &Deployment) -> f64 {
        fleet.balancers - (self.balancers_lost)(inputs, fleet)
    }

    fn servers_left(&self, inputs: &Inputs, fleet: &Deployment) -> f64 {
        fleet.servers - (self.servers_lost)(inputs, fleet)
    }

    fn clients_per_balancer(&self, inputs: &Inputs, fleet: &Deployment) -> f64 {
        (self.returning_clients)(inputs, fleet) / self.balancers_left(inputs, fleet)
    }

    fn clients_per_server(&self, inputs: &Inputs, fleet: &Deployment) -> f64 {
        (self.returning_clients)(inputs, fleet) / self.servers_left(inputs, fleet)
    }

    /// Seconds until a balancer's limit of attempts in flight has admitted all of its reconnecting
    /// clients. The limit starts low, and each established connection raises it by 1. It therefore
    /// doubles in each round of attempts.
    fn limit_growth_s(&self, inputs: &Inputs, fleet: &Deployment) -> f64 {
        let code = &inputs.assumptions.code;
        let initial_limit_max = code.attempts_in_flight_most.value;
        let initial_limit =
            (code.attempts_in_flight_fleet.value / fleet.balancers).clamp(1.0, initial_limit_max);
        let rounds = (self.clients_per_balancer(inputs, fleet) / initial_limit + 1.0).log2();
        rounds * inputs.assumptions.assumed.attempt_ms.value / MS_PER_SECOND
    }

    /// Like [`Self::limit_growth_s`], but after the limit has been halved. From then on it grows by 1
    /// per round.
    fn halved_limit_growth_s(&self, inputs: &Inputs, fleet: &Deployment) -> f64 {
        let rounds = (2.0 * self.clients_per_balancer(inputs, fleet)).sqrt();
        rounds * inputs.assumptions.assumed.attempt_ms.value / MS_PER_SECOND
    }

    /// Seconds until the servers have accepted all reconnecting clients.
    fn server_accept_s(&self, inputs: &Inputs, fleet: &Deployment) -> f64 {
        self.clients_per_server(inputs, fleet)
            / inputs.assumptions.assumed.server_attempts_per_second.value
    }

    /// CPU seconds of a balancer to place all of its reconnecting clients, at the CPU time per
    /// placement that was measured in normal operation. `None` if it was not measured.
    fn decision_s(&self, inputs: &Inputs, fleet: &Deployment) -> Option<f64> {
        let per_client_us = placement_us(inputs, fleet)?;
        Some(self.clients_per_balancer(inputs, fleet) * per_client_us / MICROSECONDS_PER_SECOND)
    }

    /// Seconds until all reconnecting clients are placed again. This is a lower bound if the CPU time
    /// per placement was not measured.
    fn time_to_placed_s(&self, inputs: &Inputs, fleet: &Deployment, limit_growth_s: f64) -> f64 {
        let detection_s = if self.announced {
            0.0
        } else {
            inputs.assumptions.assumed.notice_s.value
        };
        let decision_s = self.decision_s(inputs, fleet).unwrap_or(0.0);
        let slowest_s = fleet
            .return_spread_s
            .max(limit_growth_s)
            .max(self.server_accept_s(inputs, fleet))
            .max(decision_s);
        detection_s + slowest_s
    }

    fn list_entries(&self, inputs: &Inputs, fleet: &Deployment) -> f64 {
        (self.servers_lost)(inputs, fleet)
    }
}

/// Returns the table of all storms at one fleet size.
pub fn table(inputs: &Inputs, fleet: &Deployment) -> String {
    let columns = [
        "storm",
        "a year",
        "balancers lost",
        "servers lost",
        "clients that come back",
        "for one surviving balancer",
        "attempts a second there",
        "attempts a second at a surviving server",
        "a core's seconds to decide",
        "s until placed again, window never halved",
        "s until placed again, halved at the start",
        "list bytes for one balancer",
        "s of its control budget",
        "list MB for all",
    ];
    let mut table = Table::new(&columns);
    for storm in &STORMS {
        table.row(cells(storm, inputs, fleet));
    }
    table.finish()
}

fn cells(storm: &Storm, inputs: &Inputs, fleet: &Deployment) -> Vec<String> {
    let spreads = fleet.cases(inputs.assumptions, UnknownQuantity::ReturnSpread);
    let over_spread = |value: &dyn Fn(&Deployment) -> f64| {
        let values: Vec<Option<f64>> = spreads.iter().map(|case| Some(value(case))).collect();
        figures(&values)
    };
    let entries = storm.list_entries(inputs, fleet);
    let bytes = entries * entry_bytes(inputs);
    let budget = inputs
        .assumptions
        .requirements
        .control_bytes_per_second
        .value;
    let lower_bound_prefix = if storm.decision_s(inputs, fleet).is_none() {
        "at least "
    } else {
        ""
    };
    vec![
        storm.name.to_string(),
        number((storm.per_year)(inputs, fleet)),
        number((storm.balancers_lost)(inputs, fleet)),
        number((storm.servers_lost)(inputs, fleet)),
        number((storm.returning_clients)(inputs, fleet)),
        number(storm.clients_per_balancer(inputs, fleet)),
        over_spread(&|case| storm.clients_per_balancer(inputs, case) / case.return_spread_s),
        over_spread(&|case| storm.clients_per_server(inputs, case) / case.return_spread_s),
        figure(storm.decision_s(inputs, fleet)),
        format!(
            "{lower_bound_prefix}{}",
            over_spread(&|case| storm.time_to_placed_s(
                inputs,
                case,
                storm.limit_growth_s(inputs, case)
            ))
        ),
        format!(
            "{lower_bound_prefix}{}",
            over_spread(&|case| storm.time_to_placed_s(
                inputs,
                case,
                storm.halved_limit_growth_s(inputs, case)
            ))
        ),
        number(bytes),
        number(bytes / budget),
        number(bytes * storm.balancers_left(inputs, fleet) / BYTES_PER_MB),
    ]
}

/// Returns the table of the storms of the stored run, with their figures as stored.
pub fn measured_table(inputs: &Inputs) -> String {
    let points: Vec<_> = inputs
        .run
        .into_iter()
        .flat_map(|run| run.points(Part::Storm))
        .collect();
    if points.is_empty() {
        return format!("No storm in the stored run: {NOT_MEASURED}.\n");
    }
    let mut table = Table::new(&["varied", "size", "figure", "value"]);
    for point in points {
        for (name, value) in &point.figures {
            let size = number(point.size);
            table.row([
                point.varied.name().to_string(),
                size,
                name.clone(),
                figure(value.as_f64()),
            ]);
        }
    }
    table.finish()
}
