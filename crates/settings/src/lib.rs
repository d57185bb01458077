//! The settings of a deployment: those of the platform, which a balancer gets at its start, and the
//! operator's file, by which operators switch features on.
//!
//! The package owns the names, units and defaults of all settings; [`platform`] and [`operator`]
//! map them to the terms of the other packages. It makes the load balancing policy from the
//! platform's settings. It must never decide anything, reach for a file or act on what it reads.

#![warn(missing_docs)]

mod error;
mod load_report;
mod names;
pub mod operator;
pub mod platform;

pub use crate::error::{SettingsError, SettingsProblem};
pub use crate::load_report::{LoadReportFormat, parse_number};
pub use crate::names::{NameHint, UnknownName, nearest_name, unknown_names};
pub use crate::platform::{DrainMigration, Settings};
