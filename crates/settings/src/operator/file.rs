//! The tables of the operator's file.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::admission::AdmissionSettings;
use super::deprecated::DeprecatedName;
use super::log::Log;
use super::peers::Peers;

/// The operator's file. Without a file, all settings have their defaults.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
#[schemars(rename = "Operator")]
pub struct OperatorFile {
    /// Format and level of the log.
    pub log: Log,
    /// Admission control. Disabled if this table is missing.
    #[serde(alias = "door", skip_serializing_if = "Option::is_none")]
    pub admission: Option<AdmissionSettings>,
    /// Gossip between balancers over UDP, if the platform's settings allow it. Disabled if this
    /// table is missing.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub peers: Option<Peers>,
    /// Keys and values that the file has under deprecated names.
    #[serde(skip)]
    pub deprecated: Vec<DeprecatedName>,
}
