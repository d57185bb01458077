//! The settings of a deployment: the platform's settings, which a balancer receives at startup, and
//! the operator's file, in which operators enable optional features.
//!
//! This crate owns the names, units and defaults of all settings; [`platform`] and [`operator`]
//! convert them to the types of the other crates. It builds the load balancing policy from the
//! platform's settings. It must never make decisions, access files or act on the values it reads.

#![warn(missing_docs)]

mod error;
mod load_report;
mod names;
pub mod operator;
pub mod platform;

pub use crate::error::{SettingsError, SettingsProblem};
pub use crate::load_report::{LoadReportFormat, parse_number};
pub use crate::names::{NameHint, UnknownName, nearest_name, unknown_names};
pub use crate::platform::{DrainMigration, Settings, Tenant};
