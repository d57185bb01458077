//! Load reports as servers write them.

use nettlemux_policy::LoadReport;

use crate::error::{SettingsError, SettingsProblem};

/// The field that a malformed load report is reported under.
const FIELD: &str = "report";
/// Load over capacity, where the settings say that it is.
const X0: &str = "x0";
/// Names of the busy share, which stands in for load over capacity.
const BUSY_SHARE: [&str; 2] = ["busy", "util"];
/// Names of the number of connections.
const CONNECTIONS: [&str; 2] = ["rif", "inflight"];

/// Returns the number that a server or client has written, `None` where it is none. Guards against
/// `nan`, `inf` and the like, which Rust reads as numbers too.
pub fn parse_number(text: &str) -> Option<f64> {
    let is_plain = text
        .bytes()
        .all(|byte| matches!(byte, b'0'..=b'9' | b'.' | b'-' | b'e'));
    let number = text.parse().ok();
    number.filter(|number: &f64| is_plain && number.is_finite())
}

/// How the load reports of a deployment are read.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadReportFormat {
    /// Whether `x0` is load over capacity. It is ignored where it isn't.
    pub(crate) x0_is_utilization: bool,
}

impl LoadReportFormat {
    /// Reads a load report: pairs of a name and a number with `separator` between them, set apart
    /// by commas. A number that can't be read is left out.
    ///
    /// # Errors
    /// Where a pair has no separator.
    pub fn parse(&self, pairs: &str, separator: char) -> Result<LoadReport, SettingsError> {
        let mut report = LoadReport::default();
        let mut busy_share = None;
        for pair in pairs.split(',') {
            let (name, value) = pair.split_once(separator).ok_or_else(|| {
                let problem = SettingsProblem::NotAPair(pair.to_string());
                SettingsError::new(FIELD, problem)
            })?;
            let Some(value) = parse_number(value).filter(|value| *value >= 0.0) else {
                continue;
            };
            if name == X0 && self.x0_is_utilization {
                report.utilization = Some(value);
            } else if BUSY_SHARE.contains(&name) {
                busy_share = Some(value);
            } else if CONNECTIONS.contains(&name) {
                report.connections = Some(value);
            }
        }
        report.utilization = report.utilization.or(busy_share);
        Ok(report)
    }
}
