//! The operator's file, TOML: the home of all that operators may switch on, each feature in a table of its own, each off
//! where its table is missing. It owns the names and defaults of its keys and must never reach for a file or act on
//! what it says.

use std::fmt;
use std::net::SocketAddr;

use nettlemux_admission::AdmissionConfig;
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
    /// Admission control; none where this table is missing.
    #[serde(alias = "door", skip_serializing_if = "Option::is_none")]
    pub admission: Option<AdmissionSettings>,
    /// Words between balancers over UDP, where the settings allow them; none where this table is missing.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub peers: Option<Peers>,
    /// Keys and values that the file has under the names of an earlier version.
    #[serde(skip)]
    pub deprecated: Vec<Deprecated>,
}

/// A key or value of an earlier version, which is still read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Deprecated {
    /// What the file says, with its tables before it.
    pub old: &'static str,
    /// What it is called now.
    pub new: &'static str,
}

/// Keys that have been renamed, by their paths.
const RENAMED_KEYS: [Deprecated; 2] = [
    Deprecated {
        old: "door",
        new: "admission",
    },
    Deprecated {
        old: "peers.to",
        new: "peers.addresses",
    },
];
/// The value of `admission.by` that has been renamed.
const RENAMED_BY: Deprecated = Deprecated {
    old: "by = \"customer\"",
    new: "by = \"tenant\"",
};

/// Where the other balancers are.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Peers {
    /// Our own address for words, an address with a port.
    pub listen: SocketAddr,
    /// The others'; our own among them is passed over, so that all may have one list.
    #[serde(default, alias = "to")]
    #[schemars(length(max = 1024))]
    pub addresses: Vec<SocketAddr>,
}

impl Peers {
    /// What the form alone can't check. `key` is what the file calls the addresses.
    fn check(&self, key: &str) -> Result<(), Faulty> {
        let faulty = |why: String| {
            Err(Faulty {
                key: key.into(),
                why,
            })
        };
        if self.addresses.len() > PEERS_MAX {
            return faulty(format!("{} are over {PEERS_MAX}", self.addresses.len()));
        }
        let unreachable =
            |to: &&SocketAddr| to.is_ipv4() != self.listen.is_ipv4() || to.port() == 0;
        match self.addresses.iter().find(unreachable) {
            Some(to) => faulty(format!("{to} can't be reached from {}", self.listen)),
            None => Ok(()),
        }
    }
}

/// Each word goes to each of them in one turn.
const PEERS_MAX: usize = 1024;

/// Fair queues before the decision module, limits of each key, and return times that tell what the queue needs.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct AdmissionSettings {
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

impl Default for AdmissionSettings {
    fn default() -> Self {
        AdmissionSettings {
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

impl AdmissionSettings {
    /// The door's own configuration; `key` turns a tenant's name into its key, or leaves its weight out.
    pub fn config(&self, longest: Time, key: impl Fn(&str) -> Option<u64>) -> AdmissionConfig {
        let weights = self
            .weights
            .iter()
            .filter_map(|(name, weight)| Some((key(name)?, *weight)));
        AdmissionConfig {
            queue_limit: self.waiting,
            queue_limit_per_key: self.waiting_each,
            policy_queue_limit: self.held,
            rate: self.rate,
            burst: self.burst,
            flow_limit_per_key: self.open,
            retry_budget_ratio: self.retries,
            retry_budget_max: self.saved,
            table_size: self.table,
            max_retry_after: longest,
            weights: weights.collect(),
        }
    }

    /// What the form alone can't check. `table` is what the file calls this table.
    fn check(&self, table: &str) -> Result<(), Faulty> {
        let faulty = |key: &str, why: String| {
            Err(Faulty {
                key: format!("{table}.{key}"),
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
    let deprecated = deprecated(&table);
    let file = toml::Value::Table(table);
    let schema = schema();
    unknown(&file, &schema, &schema, "")?;
    let operator: Operator = toml::from_str(text).map_err(|e| place(&e))?;
    if let Some(admission) = &operator.admission {
        admission.check(name_in_file("admission", &deprecated))?;
    }
    if let Some(peers) = &operator.peers {
        peers.check(name_in_file("peers.addresses", &deprecated))?;
    }
    Ok(Operator {
        deprecated,
        ..operator
    })
}

/// What the file has under the names of an earlier version.
fn deprecated(file: &toml::Table) -> Vec<Deprecated> {
    let value = |path: &str| {
        let mut keys = path.split('.');
        let first = file.get(keys.next()?)?;
        keys.try_fold(first, |value, key| value.get(key))
    };
    let mut found: Vec<Deprecated> = RENAMED_KEYS
        .into_iter()
        .filter(|key| value(key.old).is_some())
        .collect();
    let by = value("admission.by").or(value("door.by"));
    if by.and_then(toml::Value::as_str) == Some("customer") {
        found.push(RENAMED_BY);
    }
    found
}

/// What the file calls this key, which may be the name of an earlier version.
fn name_in_file(new: &'static str, deprecated: &[Deprecated]) -> &'static str {
    let renamed = deprecated.iter().find(|key| key.new == new);
    renamed.map_or(new, |key| key.old)
}

/// What this key of the file is called now.
fn current_name<'a>(path: &str, key: &'a str) -> &'a str {
    let full = join(path, key);
    let renamed = RENAMED_KEYS.iter().find(|renamed| renamed.old == full);
    renamed.map_or(key, |renamed| renamed.new.rsplit('.').next().unwrap_or(key))
}

fn join(path: &str, key: &str) -> String {
    if path.is_empty() {
        key.to_string()
    } else {
        format!("{path}.{key}")
    }
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
    for (key, inner) in table {
        let current = current_name(path, key);
        keys::known([current], &names).map_err(|(key, why)| Faulty {
            key: join(path, &key),
            why,
        })?;
        unknown(inner, &properties[current], whole, &join(path, key))?;
    }
    Ok(())
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
                "[peers]\nlisten = \"127.0.0.1:7200\"\naddreses = []",
                "peers.addreses",
                "is 'addresses' meant?",
            ),
            ("[peers]\nlisten = \"here\"", "(line 2)", "address"),
            ("[peers]\nto = []", "(line 1)", "listen"),
            (
                "[peers]\nlisten = \"127.0.0.1:7200\"\naddresses = [\"[::1]:7200\"]",
                "peers.addresses",
                "can't be reached",
            ),
            (
                "[peers]\nlisten = \"127.0.0.1:7200\"\nto = [\"[::1]:7200\"]",
                "peers.to",
                "can't be reached",
            ),
            (
                "[admission]\nwaitng = 3",
                "admission.waitng",
                "is 'waiting' meant?",
            ),
            (
                "[admission]\nwaiting = 0",
                "admission.waiting",
                "is not from 1 to",
            ),
            ("[admission]\nrate = -1.0", "admission.rate", "from 0 up"),
            (
                "[admission.weights]\ngold = 0.0",
                "admission.weights.gold",
                "0.001",
            ),
            (
                "[admission]\nby = \"client\"\nweights = { gold = 2.0 }",
                "admission.weights",
                "by client",
            ),
            ("[admission]\n[door]", "(line 1)", "duplicate"),
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

    #[test]
    fn a_file_of_an_earlier_version_is_read_and_its_old_names_are_told() {
        let peers = "[peers]\nlisten = \"127.0.0.1:7200\"\n";
        let old = format!("[door]\nby = \"customer\"\nopen = 7\n{peers}to = [\"127.0.0.1:7201\"]");
        let new = format!(
            "[admission]\nby = \"tenant\"\nopen = 7\n{peers}addresses = [\"127.0.0.1:7201\"]"
        );
        let (old, new) = (parse(&old).unwrap(), parse(&new).unwrap());
        let told: Vec<(&str, &str)> = old
            .deprecated
            .iter()
            .map(|key| (key.old, key.new))
            .collect();
        assert_eq!(
            told,
            [
                ("door", "admission"),
                ("peers.to", "peers.addresses"),
                ("by = \"customer\"", "by = \"tenant\""),
            ]
        );
        assert!(new.deprecated.is_empty());
        let read = Operator {
            deprecated: Vec::new(),
            ..old
        };
        assert_eq!(read, new);
    }
}
