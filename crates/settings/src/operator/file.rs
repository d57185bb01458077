//! The tables of the operator's file.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::admission::AdmissionSettings;
use super::deprecated::DeprecatedName;
use super::log::Log;
use super::peers::Peers;

/// The whole file; without one, the defaults.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
#[schemars(rename = "Operator")]
pub struct OperatorFile {
    /// The log.
    pub log: Log,
    /// Admission control; none where this table is missing.
    #[serde(alias = "door", skip_serializing_if = "Option::is_none")]
    pub admission: Option<AdmissionSettings>,
    /// Gossip between balancers over UDP, where the settings allow it; none where this table is
    /// missing.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub peers: Option<Peers>,
    /// Keys and values that the file has under the names of an earlier version.
    #[serde(skip)]
    pub deprecated: Vec<DeprecatedName>,
}
