//! Cold servers: what all balancers together may send a server that has just started, and how long
//! it takes to fill.

use super::deployment::{Deployment, UnknownQuantity};
use super::markdown::{Table, figures};
use super::mechanism::{self, Mechanism};
use super::row::Inputs;

/// What a server in slow start may be sent, and how long it takes until it holds its part.
struct ColdServer {
    start_share: f64,
    collapse_multiple: f64,
    warm_up_s: f64,
    fill_factor: f64,
}

impl ColdServer {
    fn new(inputs: &Inputs) -> Self {
        let assumed = &inputs.assumptions.assumed;
        ColdServer {
            start_share: assumed.cold_start_share.value,
            collapse_multiple: assumed.cold_multiple.value,
            warm_up_s: assumed.warm_up_s.value,
            fill_factor: inputs.assumptions.code.cold_fill_factor.value,
        }
    }

    /// Attempts a second that all balancers together may send it just after its start.
    fn fleet_attempts_per_second(&self, connections: f64) -> f64 {
        self.collapse_multiple * self.start_share * self.fill_factor * connections / self.warm_up_s
    }

    /// Seconds until that pace, which rises with its warmth, has brought what a warm server holds.
    fn fill_s(&self) -> f64 {
        // The solution of factor x (share t + (1 - share) t^2 / 2 W) / W = 1.
        let factor = self.collapse_multiple * self.fill_factor;
        let rise = (1.0 - self.start_share) / (2.0 * self.warm_up_s);
        let wanted = self.warm_up_s / factor;
        let root = (self.start_share * self.start_share + 4.0 * rise * wanted).sqrt();
        (root - self.start_share) / (2.0 * rise)
    }
}

/// One figure of servers in slow start.
struct ColdRow<'a> {
    quantity: &'static str,
    unit: &'static str,
    value: Box<dyn Fn(&Deployment) -> f64 + 'a>,
    mechanism: Mechanism,
}

impl<'a> ColdRow<'a> {
    fn new(
        quantity: &'static str,
        unit: &'static str,
        value: impl Fn(&Deployment) -> f64 + 'a,
        mechanism: Mechanism,
    ) -> Self {
        ColdRow {
            quantity,
            unit,
            value: Box::new(value),
            mechanism,
        }
    }

    /// Over the three numbers of servers.
    fn describe(&self, inputs: &Inputs, fleet: &Deployment) -> String {
        let cases = fleet.cases(inputs.assumptions, UnknownQuantity::Servers);
        let values: Vec<Option<f64>> = cases.iter().map(|case| Some((self.value)(case))).collect();
        figures(&values)
    }
}

fn cold_rows(cold: &ColdServer) -> Vec<ColdRow<'_>> {
    let fleet_attempts_per_second =
        |fleet: &Deployment| cold.fleet_attempts_per_second(fleet.connections_per_server());
    let pace = mechanism::COLD_SERVER_RATE_LIMIT;
    vec![
        ColdRow::new(
            "attempts from all balancers at a new server's start",
            "a second",
            fleet_attempts_per_second,
            pace,
        ),
        ColdRow::new(
            "the part of one balancer",
            "a second",
            move |f| fleet_attempts_per_second(f) / f.balancers,
            pace,
        ),
        ColdRow::new(
            "put down to chance beyond a second's budget of N: 2 sqrt(N) + 2",
            "",
            move |f| 2.0 * fleet_attempts_per_second(f).sqrt() + 2.0,
            pace,
        ),
        ColdRow::new(
            "until it holds what a warm one holds, at that pace",
            "s",
            |_| cold.fill_s(),
            pace,
        ),
        ColdRow::new(
            "attempts to all of a zone's new servers at their start",
            "a second",
            move |f| fleet_attempts_per_second(f) * f.servers / f.zones,
            mechanism::COLD_SERVER_SUM_LIMIT,
        ),
    ]
}

/// Cold servers: what the fleet may send one, and each balancer's part.
pub fn table(inputs: &Inputs, full: &Deployment, tenth: &Deployment) -> String {
    let cold = ColdServer::new(inputs);
    let mut table = Table::new(&["figure", "unit", "full size", "a tenth", "mechanism"]);
    for row in cold_rows(&cold) {
        let names = [row.quantity, row.unit].map(String::from);
        let sizes = [row.describe(inputs, full), row.describe(inputs, tenth)];
        table.row(
            names
                .into_iter()
                .chain(sizes)
                .chain([row.mechanism.describe()]),
        );
    }
    table.finish()
}
