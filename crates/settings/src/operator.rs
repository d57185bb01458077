//! The operator's file, TOML: the home of all that operators may switch on, each feature in a table of its own, each off
//! where its table is missing. It owns the names and defaults of its keys and must never reach for a file or act on
//! what it says.

use std::fmt;
use std::net::SocketAddr;

use nettlemux_admission::Config;
use nettlemux_policy::Time;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::keys;

/// The whole file; without one, the defaults.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Operator {
    pub log: Log,
    /// Fair queues at the door; none where this table is missing.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub door: Option<Door>,
    /// Words between balancers over UDP, where the settings allow them; none where this table is missing.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub peers: Option<Peers>,
}

/// Where the other balancers are.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Peers {
    /// Our own address for words, an address with a port.
    pub listen: SocketAddr,
    /// The others'; our own among them is passed over, so that all may have one list.
    #[serde(default)]
    #[schemars(length(max = 1024))]
    pub to: Vec<SocketAddr>,
}

impl Peers {
    fn check(&self) -> Result<(), Faulty> {
        let faulty = |key: &str, why: String| {
            Err(Faulty {
                key: format!("peers.{key}"),
                why,
            })
        };
        if self.to.len() > MOST_PEERS {
            return faulty("to", format!("{} are over {MOST_PEERS}", self.to.len()));
        }
        match self
            .to
            .iter()
            .find(|to| to.is_ipv4() != self.listen.is_ipv4() || to.port() == 0)
        {
            Some(to) => faulty("to", format!("{to} can't be reached from {}", self.listen)),
            None => Ok(()),
        }
    }
}

/// Each word goes to each of them in one turn.
const MOST_PEERS: usize = 1024;

/// Fair queues before the decision module, limits of each key, and return times that tell what the queue needs.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Door {
    /// Whose turns are taken in order.
    pub by: By,
    /// Flows that may wait in all, and of one key.
    #[schemars(range(min = 1, max = 1000000))]
    pub waiting: usize,
    #[schemars(range(min = 1, max = 10000))]
    pub waiting_each: usize,
    /// Flows that the decision module may hold before nobody else is let in.
    #[schemars(range(min = 1, max = 10000))]
    pub held: usize,
    /// New flows a second of one key, and how many may come at once; 0: no limit.
    pub rate: f64,
    pub burst: f64,
    /// Connections that one key may hold; 0: no limit.
    pub open: usize,
    /// Clients' retries that each established flow pays for, and how many may be saved up; 0: no limit.
    pub retries: f64,
    pub saved: f64,
    /// Places in the tables of rates and promises, 24 bytes each.
    #[schemars(range(min = 16, max = 1000000))]
    pub table: usize,
    /// Weights of tenants by name, where they aren't 1; only where turns are by tenant.
    pub weights: std::collections::BTreeMap<String, f64>,
}

/// What a key is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum By {
    /// The tenant that a first line names.
    #[default]
    #[serde(alias = "customer")]
    Tenant,
    /// The client: the group that a first line names, else the flow's key.
    Client,
}

impl Default for Door {
    fn default() -> Self {
        Door {
            by: By::Tenant,
            waiting: 1024,
            waiting_each: 64,
            held: 4,
            rate: 0.0,
            burst: 20.0,
            open: 0,
            retries: 0.0,
            saved: 100.0,
            table: 4096,
            weights: Default::default(),
        }
    }
}

impl Door {
    /// The door's own configuration; `key` turns a tenant's name into its key, or leaves its weight out.
    pub fn config(&self, longest: Time, key: impl Fn(&str) -> Option<u64>) -> Config {
        let weights = self
            .weights
            .iter()
            .filter_map(|(name, weight)| Some((key(name)?, *weight)));
        Config {
            waiting: self.waiting,
            waiting_each: self.waiting_each,
            held: self.held,
            rate: self.rate,
            burst: self.burst,
            open: self.open,
            retries: self.retries,
            saved: self.saved,
            table: self.table,
            longest,
            weights: weights.collect(),
        }
    }

    /// What the form alone can't check: the key at fault and why.
    fn check(&self) -> Result<(), Faulty> {
        let faulty = |key: &str, why: String| {
            Err(Faulty {
                key: format!("door.{key}"),
                why,
            })
        };
        let counts = [
            ("waiting", self.waiting, 1, 1_000_000),
            ("waiting_each", self.waiting_each, 1, 10_000),
            ("held", self.held, 1, 10_000),
            ("table", self.table, 16, 1_000_000),
        ];
        for (key, count, least, most) in counts {
            if !(least..=most).contains(&count) {
                return faulty(key, format!("{count} is not from {least} to {most}"));
            }
        }
        for (key, value) in [
            ("rate", self.rate),
            ("burst", self.burst),
            ("retries", self.retries),
            ("saved", self.saved),
        ] {
            if !value.is_finite() || value < 0.0 {
                return faulty(key, format!("{value} is not from 0 up"));
            }
        }
        match self
            .weights
            .iter()
            .find(|(_, weight)| !(0.001..=1000.0).contains(*weight))
        {
            Some((name, weight)) => faulty(
                &format!("weights.{name}"),
                format!("{weight} is not from 0.001 to 1000"),
            ),
            None if !self.weights.is_empty() && self.by == By::Client => {
                faulty("weights", "there are none where turns are by client".into())
            }
            None => Ok(()),
        }
    }
}

/// What the log looks like.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    pub format: Format,
    /// The least that is told; the command line's word goes before this.
    pub level: Level,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Format {
    /// Lines for people.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Level {
    Error,
    Warn,
    #[default]
    Info,
    Debug,
    Trace,
}

/// What is wrong with a file, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Faulty {
    /// The key at fault, its tables before it.
    pub key: String,
    pub why: String,
}

impl fmt::Display for Faulty {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "operator's file, key '{}': {}", self.key, self.why)
    }
}

/// The file's JSON schema (draft 2020-12).
pub fn schema() -> Value {
    schemars::schema_for!(Operator).to_value()
}

/// Reads the file's text.
///
/// # Errors
/// Names the key at fault; an unknown one with the nearest known one.
pub fn parse(text: &str) -> Result<Operator, Faulty> {
    let place = |e: &toml::de::Error| {
        let line = e.span().map_or(1, |span| {
            text[..span.start.min(text.len())].matches('\n').count() + 1
        });
        Faulty {
            key: format!("(line {line})"),
            why: e.message().to_string(),
        }
    };
    let table: toml::Table = text.parse().map_err(|e| place(&e))?;
    let schema = schema();
    unknown(&toml::Value::Table(table), &schema, &schema, "")?;
    let operator: Operator = toml::from_str(text).map_err(|e| place(&e))?;
    operator.door.iter().try_for_each(Door::check)?;
    operator.peers.iter().try_for_each(Peers::check)?;
    Ok(operator)
}

/// Walks what the file says beside the schema, so that every table to come is checked alike.
fn unknown(value: &toml::Value, schema: &Value, whole: &Value, path: &str) -> Result<(), Faulty> {
    let schema = match schema
        .get("$ref")
        .and_then(Value::as_str)
        .and_then(|at| at.strip_prefix('#'))
    {
        Some(at) => whole.pointer(at).unwrap_or(schema),
        None => schema,
    };
    // A table that may be missing stands beside `null`.
    let either = schema
        .get("anyOf")
        .and_then(Value::as_array)
        .into_iter()
        .flatten();
    if let Some(one) = either.clone().find(|one| one.get("$ref").is_some()) {
        return unknown(value, one, whole, path);
    }
    let (Some(table), Some(properties)) = (value.as_table(), schema.get("properties")) else {
        return Ok(());
    };
    let names: Vec<&str> = properties
        .as_object()
        .into_iter()
        .flatten()
        .map(|(name, _)| name.as_str())
        .collect();
    let full = |key: &str| {
        if path.is_empty() {
            key.to_string()
        } else {
            format!("{path}.{key}")
        }
    };
    keys::known(table.keys().map(String::as_str), &names).map_err(|(key, why)| Faulty {
        key: full(&key),
        why,
    })?;
    table
        .iter()
        .try_for_each(|(key, inner)| unknown(inner, &properties[key.as_str()], whole, &full(key)))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn files_are_read_and_faults_named() {
        assert_eq!(parse("").unwrap(), Operator::default());
        let read = parse("[log]\nformat = \"json\"\nlevel = \"debug\"").unwrap();
        assert_eq!(
            read.log,
            Log {
                format: Format::Json,
                level: Level::Debug
            }
        );
        for (text, key, why) in [
            ("[lgo]", "lgo", "is 'log' meant?"),
            (
                "[log]\nfromat = \"json\"",
                "log.fromat",
                "is 'format' meant?",
            ),
            ("\n[log]\nformat = \"jsn\"", "(line 3)", "json"),
            ("\n\n[log", "(line 3)", ""),
            ("[log]\nlevel = 3", "(line 2)", ""),
            ("log = 3", "(line 1)", ""),
            (
                "[peers]\nlisten = \"127.0.0.1:7200\"\nt = []",
                "peers.t",
                "is 'to' meant?",
            ),
            ("[peers]\nlisten = \"here\"", "(line 2)", "address"),
            ("[peers]\nto = []", "(line 1)", "listen"),
            (
                "[peers]\nlisten = \"127.0.0.1:7200\"\nto = [\"[::1]:7200\"]",
                "peers.to",
                "can't be reached",
            ),
            ("[door]\nwaitng = 3", "door.waitng", "is 'waiting' meant?"),
            ("[door]\nwaiting = 0", "door.waiting", "is not from 1 to"),
            ("[door]\nrate = -1.0", "door.rate", "from 0 up"),
            ("[door.weights]\ngold = 0.0", "door.weights.gold", "0.001"),
            (
                "[door]\nby = \"client\"\nweights = { gold = 2.0 }",
                "door.weights",
                "by client",
            ),
        ] {
            let faulty = parse(text).unwrap_err();
            assert_eq!(faulty.key, key, "{text}: {faulty}");
            assert!(faulty.why.contains(why), "{text}: {faulty}");
        }
        assert!(schema()["properties"]["log"].is_object());
    }
}
