//! The configuration: read, checked and given its defaults here and nowhere else. It owns the names of its
//! keys. It must never panic on what it reads: each complaint names the key at fault.

use std::env;
use std::fmt;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use nettlemux_admission::AdmissionConfig;
use nettlemux_dataplane::discovery::{self, ListUpdate};
use nettlemux_dataplane::retry;
use nettlemux_dataplane::runtime_settings::RuntimeSettings;
use nettlemux_policy::Time;
use nettlemux_settings::operator::{self, DeprecatedName, OperatorFile};
use nettlemux_settings::{DrainMigration, Settings, SettingsError};
use serde_json::Value;
use tracing::warn;

/// Where no limit is told. Many systems allow a process so many.
const SOCKETS: u64 = 1024;
/// Fewer can't carry a flow beside what the program itself needs.
const FEWEST_SOCKETS: u64 = 160;
/// Where no limit is told, and the least that carries the program and a few flows.
const MEMORY_MB: u64 = 192;
const LEAST_MEMORY_MB: u64 = 16;

/// All keys that a configuration may have, and those under `limits`. `cores` is told and needs no acting on: all work is
/// one worker's.
const KEYS: [&str; 7] = [
    "name",
    "listen",
    "discovery",
    "seed",
    "limits",
    "known",
    "settings",
];
const LIMITS: [&str; 3] = ["cores", "memory_mb", "sockets"];

pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub seed: u64,
    pub sockets: usize,
    /// In bytes.
    pub memory: usize,
    pub known: Option<ListUpdate>,
    pub settings: Settings,
    /// A connection that isn't made by then can't be made.
    pub dial_limit: Time,
    /// The longest pause between calls for the list, where it has to be asked for.
    pub asked: Option<Time>,
    /// Keys that nothing reads, each with the known one that is nearest.
    pub unknown: Vec<Faulty>,
}

impl Config {
    /// What the settings say beside the module's part.
    pub fn runtime_settings(&self) -> RuntimeSettings {
        RuntimeSettings {
            report_format: self.settings.load_report_format(),
            load_reports_on_request: self.settings.has_load_reports(),
            connect_timeout: self.dial_limit,
            endpoint_poll_interval_max: self.asked,
        }
    }

    /// Says in the log which keys nothing reads.
    pub fn warn_of_unknown(&self) {
        for Faulty { key, why } in &self.unknown {
            warn!(key, why, "unknown key in the configuration");
        }
    }

    /// The keys under which another configuration says something else that is only read at the start. What `known`
    /// says is of the start by its nature.
    pub fn needing_a_restart(&self, new: &Config) -> Vec<&'static str> {
        let changed = [
            ("name", self.name != new.name),
            ("listen", self.listen != new.listen),
            ("seed", self.seed != new.seed),
            ("limits.sockets", self.sockets != new.sockets),
            ("limits.memory_mb", self.memory != new.memory),
        ];
        changed
            .into_iter()
            .filter(|(_, changed)| *changed)
            .map(|(key, _)| key)
            .collect()
    }
}

/// What is wrong, and under which key.
#[derive(Debug)]
pub struct Faulty {
    key: String,
    why: String,
}

impl Faulty {
    fn new(key: &str, why: impl fmt::Display) -> Self {
        Faulty {
            key: key.into(),
            why: why.to_string(),
        }
    }
}

impl fmt::Display for Faulty {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "configuration key '{}': {}", self.key, self.why)
    }
}

/// Reads the file that was named, else the one that `LB_CONFIG` names.
pub fn load(file: Option<&Path>) -> Result<Config, Faulty> {
    load_by(file, |file| fs::read_to_string(file))
}

/// The same at the start, where one that can't be read at this moment is read a moment later.
pub fn load_at_start(file: Option<&Path>) -> Result<Config, Faulty> {
    load_by(file, |file| {
        retry::retry_transient(|| fs::read_to_string(file))
    })
}

fn load_by(
    file: Option<&Path>,
    read: impl Fn(&Path) -> io::Result<String>,
) -> Result<Config, Faulty> {
    let named = file
        .map(PathBuf::from)
        .or_else(|| env::var_os("LB_CONFIG").map(PathBuf::from));
    let file = named.ok_or_else(|| Faulty::new("LB_CONFIG", "not set, and no file was named"))?;
    let text =
        read(&file).map_err(|e| Faulty::new("LB_CONFIG", format!("{}: {e}", file.display())))?;
    parse(&text, |name| env::var(name).ok())
}

/// Reads the operator's file; without one, the defaults.
pub fn operator(file: Option<&Path>) -> Result<OperatorFile, String> {
    operator_by(file, |file| fs::read_to_string(file))
}

/// The same at the start, where one that can't be read at this moment is read a moment later.
pub fn operator_at_start(file: Option<&Path>) -> Result<OperatorFile, String> {
    operator_by(file, |file| {
        retry::retry_transient(|| fs::read_to_string(file))
    })
}

fn operator_by(
    file: Option<&Path>,
    read: impl Fn(&Path) -> io::Result<String>,
) -> Result<OperatorFile, String> {
    let Some(file) = file else {
        return Ok(OperatorFile::default());
    };
    let text = read(file).map_err(|e| format!("operator's file {}: {e}", file.display()))?;
    operator::parse(&text).map_err(|e| e.to_string())
}

/// Warns of each key of the operator's file that has the name of an earlier version.
pub fn warn_of_deprecated(operator: &OperatorFile) {
    for DeprecatedName { old, new } in &operator.deprecated {
        warn!(old, new, "deprecated name in the operator's file");
    }
}

/// The door as the operator's file has it, its tenants' names turned into keys of this run.
pub fn admission(keys: &operator::AdmissionSettings, seed: u64, longest: Time) -> AdmissionConfig {
    keys.config(longest, |name| {
        Some(nettlemux_admission::hash_key(seed, name.as_bytes()))
    })
}

/// Checks a configuration; what it doesn't tell is taken from the environment, else a default.
pub fn parse(text: &str, environment: impl Fn(&str) -> Option<String>) -> Result<Config, Faulty> {
    let mut value: Value = serde_json::from_str(text)
        .map_err(|e| Faulty::new("(whole file)", format!("no JSON: {e}")))?;
    // What is `null` is missing.
    let keys = value
        .as_object_mut()
        .ok_or_else(|| Faulty::new("(whole file)", "no object"))?;
    keys.retain(|_, value| !value.is_null());
    // Told, for a slip of the pen that costs a limit, but no fault: the platform writes this file and may say more in it
    // than we know. Guards against a fleet that doesn't start since one key is new. `settings` are the platform's too.
    let check = |value: Option<&Value>, known: &[&str], path: &str| -> Vec<Faulty> {
        let names = value
            .and_then(Value::as_object)
            .into_iter()
            .flatten()
            .map(|(name, _)| name.as_str());
        let unknown = nettlemux_settings::unknown_names(names, known);
        unknown
            .map(|unknown| Faulty::new(&format!("{path}{}", unknown.name), unknown.hint))
            .collect()
    };
    let mut unknown = check(Some(&value), &KEYS, "");
    unknown.extend(check(value.get("limits"), &LIMITS, "limits."));
    let told = |key: &str, variable: &str| match value.get(key) {
        Some(Value::String(text)) => Ok(Some(text.clone())),
        Some(other) => Err(Faulty::new(key, format!("{other} is no text"))),
        None => Ok(environment(variable)),
    };
    let address = |key: &str, variable: &str| {
        let text = told(key, variable)?
            .ok_or_else(|| Faulty::new(key, format!("missing, and {variable} is not set")))?;
        text.parse::<SocketAddr>()
            .map_err(|_| Faulty::new(key, format!("'{text}' is no address with a port")))
    };
    let seed = told("seed", "LB_SEED")?.unwrap_or_else(|| "0".into());
    let seed = u64::from_str_radix(&seed, 16).map_err(|_| {
        Faulty::new(
            "seed",
            format!("'{seed}' is no hexadecimal number of 64 bits"),
        )
    })?;
    let limit = |key: &str, default: u64, least: u64| {
        let told = value
            .get("limits")
            .and_then(|limits| limits.get(key))
            .filter(|told| !told.is_null());
        let faulty = |why: String| Faulty::new(&format!("limits.{key}"), why);
        let told = told.map(|told| {
            told.as_u64()
                .ok_or_else(|| faulty(format!("{told} is no count")))
        });
        let told = told.transpose()?.unwrap_or(default);
        if told < least {
            Err(faulty(format!("{told} is under {least}")))
        } else {
            Ok(told as usize)
        }
    };
    let sockets = limit("sockets", SOCKETS, FEWEST_SOCKETS)?;
    let memory = limit("memory_mb", MEMORY_MB, LEAST_MEMORY_MB)?.saturating_mul(1 << 20);
    let known = value
        .get("known")
        .map(discovery::update_of)
        .transpose()
        .map_err(|why| Faulty::new("known", why))?;
    let settings = value.get("settings").ok_or_else(|| {
        let others = unknown
            .iter()
            .map(|other| format!("; '{}': {}", other.key, other.why));
        Faulty::new("settings", format!("missing{}", others.collect::<String>()))
    })?;
    let faulty = |e: SettingsError| {
        let key = if e.field == "settings" {
            e.field
        } else {
            format!("settings.{}", e.field.replace('/', "."))
        };
        Faulty::new(&key, e.problem)
    };
    let settings = Settings::within(settings).map_err(faulty)?;
    // Read now, so that a faulty setting is told before the balancer starts.
    settings
        .policy(seed, 0, DrainMigration::Enabled)
        .map_err(faulty)?;
    Ok(Config {
        name: told("name", "LB_NAME")?.unwrap_or_else(|| "nettlemux".into()),
        listen: address("listen", "LB_LISTEN")?,
        discovery: address("discovery", "LB_DISCOVERY")?,
        seed,
        sockets,
        memory,
        known,
        dial_limit: settings.dial_timeout().map_err(faulty)?,
        asked: settings.endpoint_poll_interval_max().map_err(faulty)?,
        settings,
        unknown,
    })
}
