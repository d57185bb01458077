//! Parsing of the load reports that servers send.

use nettlemux_policy::LoadReport;

use crate::error::{SettingsError, SettingsProblem};

/// The field name in errors about malformed load reports.
const LOAD_REPORT_FIELD: &str = "report";
/// The name of load over capacity, if the settings give `x0` this meaning.
const X0: &str = "x0";
/// Names of the busy share. It is used as the utilization if the report has no load over capacity.
const BUSY_SHARE_NAMES: [&str; 2] = ["busy", "util"];
/// Names of the number of open connections.
const CONNECTION_COUNT_NAMES: [&str; 2] = ["rif", "inflight"];

/// Parses a number sent by a server or client; `None` if the text is not a finite number. Rejects
/// `nan`, `inf` and similar texts, which Rust parses as numbers too.
pub fn parse_number(text: &str) -> Option<f64> {
    let is_plain = text
        .bytes()
        .all(|byte| matches!(byte, b'0'..=b'9' | b'.' | b'-' | b'e'));
    let number = text.parse().ok();
    number.filter(|number: &f64| is_plain && number.is_finite())
}

/// How the load reports of a deployment are interpreted.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadReportFormat {
    /// Whether `x0` is load over capacity. If not, `x0` is ignored.
    pub(crate) x0_is_utilization: bool,
}

impl LoadReportFormat {
    /// Parses a load report: pairs of a name and a number, joined by `separator` and separated by
    /// commas. Invalid and negative numbers are skipped.
    ///
    /// # Errors
    /// If a pair has no separator.
    pub fn parse(&self, pairs: &str, separator: char) -> Result<LoadReport, SettingsError> {
        let mut report = LoadReport::default();
        let mut busy_share = None;
        for pair in pairs.split(',') {
            let (name, value) = pair.split_once(separator).ok_or_else(|| {
                let problem = SettingsProblem::NotAPair(pair.to_string());
                SettingsError::new(LOAD_REPORT_FIELD, problem)
            })?;
            let Some(value) = parse_number(value).filter(|value| *value >= 0.0) else {
                continue;
            };
            if name == X0 && self.x0_is_utilization {
                report.utilization = Some(value);
            } else if BUSY_SHARE_NAMES.contains(&name) {
                busy_share = Some(value);
            } else if CONNECTION_COUNT_NAMES.contains(&name) {
                report.connections = Some(value);
            }
        }
        report.utilization = report.utilization.or(busy_share);
        Ok(report)
    }
}
