//! Cold servers: the rate of attempts that all balancers together may send to a server that has just
//! started, and the time until it holds as many connections as a warm server.

use super::deployment::{Deployment, UnknownQuantity};
use super::markdown::{Table, figures};
use super::mechanism::{self, Mechanism};
use super::row::Inputs;

/// Parameters of a server in slow start.
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

    /// Attempts per second that all balancers together may send to the server just after its start.
    fn fleet_attempts_per_second(&self, connections: f64) -> f64 {
        self.collapse_multiple * self.start_share * self.fill_factor * connections / self.warm_up_s
    }

    /// Seconds until the server holds as many connections as a warm server. The rate of attempts rises
    /// while the server warms up.
    fn fill_s(&self) -> f64 {
        // Solves factor x (share t + (1 - share) t^2 / 2 W) / W = 1 for t, where W is the warm-up time
        // and share is the capacity at the start as a fraction of the full capacity.
        let factor = self.collapse_multiple * self.fill_factor;
        let quadratic = (1.0 - self.start_share) / (2.0 * self.warm_up_s);
        let constant = self.warm_up_s / factor;
        let root = (self.start_share * self.start_share + 4.0 * quadratic * constant).sqrt();
        (root - self.start_share) / (2.0 * quadratic)
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

    /// Returns the values of the figure for the three numbers of servers.
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

/// Returns the table of cold servers: the rate of attempts from all balancers and from each one.
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
