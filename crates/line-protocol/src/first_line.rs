//! First lines, as clients send them. It owns their form and the names that the settings allow in them, and must never
//! touch a socket, a clock or a flow. Names of the wire end here.

use arrayvec::ArrayVec;
use nettlemux_flow_table::ClientIdentity;
use nettlemux_policy::{MS, Time};
use nettlemux_settings::operator::AdmissionKey;
use nettlemux_settings::{Settings, SettingsError, parse_number};

/// A connection's first line.
#[derive(Debug, PartialEq, Eq)]
pub enum First<'a> {
    Open(Open<'a>),
    Ping,
    Stats,
}

/// What a client asks for.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Open<'a> {
    pub id: &'a str,
    pub class: &'a str,
    /// How long the client waits, in milliseconds.
    pub wait: Option<u64>,
    pub group: Option<&'a str>,
    pub tenant: Option<&'a str>,
    /// The flow's key.
    pub key: &'a str,
    /// The client says that it tries again.
    pub retry: bool,
    /// The server that held it before.
    pub at: Option<&'a str>,
    /// Its connection broke or was moved.
    pub reconnecting: bool,
}

/// More values than any line has; guards against lines whose names are compared for long.
const MOST_VALUES: usize = 32;

/// Reads a first line, without its end. Whatever a real client would not send is refused: it must not be guessed what
/// was meant, since servers guess differently.
pub fn first(line: &[u8]) -> Result<First<'_>, &'static str> {
    let line = std::str::from_utf8(line).map_err(|_| "no text")?;
    if line.contains(|c: char| c.is_control()) {
        return Err("no line of text");
    }
    let mut supervisor = line.split(' ');
    match (supervisor.next(), line.len()) {
        (Some("PING"), 4) => return Ok(First::Ping),
        (Some("STATS"), 5) => return Ok(First::Stats),
        (Some("OPEN"), _) => {}
        _ => return Err("neither OPEN, PING nor STATS"),
    }
    let mut next = |why| supervisor.next().filter(|part| !part.is_empty()).ok_or(why);
    let mut open = Open {
        id: next("no id")?,
        ..Open::default()
    };
    open.key = next("no key")?;
    let values = next("no values")?;
    if supervisor.next().is_some() {
        return Err("more than an id, a key and values");
    }
    let mut names = ArrayVec::<&str, MOST_VALUES>::new();
    for pair in values.split(',') {
        let (name, value) = pair.split_once('=').ok_or("a value has no name")?;
        if name.is_empty() || value.is_empty() {
            return Err("a name or a value is empty");
        }
        if names.contains(&name) {
            return Err("a name comes twice");
        }
        names.try_push(name).map_err(|_| "too many values")?;
        match name {
            "c" => open.class = value,
            // No sign, and no more digits than a time can have.
            "d" if value.bytes().all(|byte| byte.is_ascii_digit()) => {
                open.wait = Some(value.parse().map_err(|_| "d is too large")?);
            }
            "d" => return Err("d is no whole number"),
            "g" => open.group = Some(value),
            "t" => open.tenant = Some(value),
            "at" => open.at = Some(value),
            "r" | "again" if value != "1" => return Err("a mark is not 1"),
            "again" => open.reconnecting = true,
            "r" => open.retry = true,
            _ if parse_number(value).is_none() => return Err("a figure is no number"),
            _ => {}
        }
    }
    if open.class.is_empty() {
        Err("no class")
    } else {
        Ok(First::Open(open))
    }
}

/// A traffic class as first lines name it, and the longest that its clients wait.
pub struct Class {
    pub name: String,
    pub longest: Time,
    pub target: Time,
}

/// Where the settings have no limit: an hour is no client's.
const LONGEST: Time = 60_000 * MS;

/// Reads what the settings say of first lines.
pub struct FirstLineSettings {
    /// How the door tells clients apart, where there is one, and the seed of its keys.
    pub by: Option<(AdmissionKey, u64)>,
    pub classes: Vec<Class>,
    pub tenants: Vec<String>,
    pub groups: bool,
}

impl FirstLineSettings {
    pub fn new(settings: &Settings) -> Result<Self, SettingsError> {
        Ok(FirstLineSettings {
            by: None,
            classes: (settings
                .traffic_class_names()
                .into_iter()
                .zip(settings.flow_timeouts()))
            .zip(settings.traffic_classes()?)
            .map(|((name, longest), known)| Class {
                name,
                longest: longest.unwrap_or(LONGEST),
                target: known.latency_objective,
            })
            .collect(),
            tenants: settings.tenant_names(),
            groups: settings.has_groups(),
        })
    }

    /// Who asks, as the door tells clients apart; nobody in particular where there is none.
    pub fn who(&self, open: &Open, class: usize, accepted_at: Time) -> ClientIdentity {
        let Some((by, seed)) = self.by else {
            return ClientIdentity::default();
        };
        // A client is its group where it tells one, else the flow's key.
        let client = nettlemux_admission::hash_key(seed, open.group.unwrap_or(open.key).as_bytes());
        let key = match by {
            AdmissionKey::Client => client,
            AdmissionKey::Tenant => self.key_of(open.tenant.unwrap_or_default(), seed),
        };
        let latency_deadline = accepted_at + self.classes[class].target;
        ClientIdentity {
            key,
            client,
            is_retry: open.retry,
            latency_deadline,
        }
    }

    /// A tenant's key, the same for its name and its number.
    fn key_of(&self, name: &str, seed: u64) -> u64 {
        let number = self.tenant(name).unwrap_or(usize::MAX);
        nettlemux_admission::hash_key(
            seed,
            self.tenants
                .get(number)
                .map_or(name, String::as_str)
                .as_bytes(),
        )
    }

    /// A tenant's place among the settings', told by name or number; none for one that is unknown. Where there
    /// are no tenants all are alike.
    pub fn tenant(&self, name: &str) -> Option<usize> {
        let by_name = self.tenants.iter().position(|known| known == name);
        let by_number = || {
            name.parse()
                .ok()
                .filter(|number| *number < self.tenants.len())
        };
        if self.tenants.is_empty() {
            Some(0)
        } else {
            by_name.or_else(by_number)
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn first_lines() {
        let line = b"OPEN 9b1f 7f3a c=chat,d=2000,g=5c0f,h=3,x";
        assert_eq!(first(line), Err("a value has no name"));
        let open = Open {
            id: "9b1f",
            key: "7f3a",
            class: "chat",
            wait: Some(2000),
            group: Some("5c0f"),
            ..Open::default()
        };
        assert_eq!(first(&line[..line.len() - 2]), Ok(First::Open(open)));
        let at = Open {
            id: "1",
            key: "k",
            class: "c",
            at: Some("s-2"),
            ..Open::default()
        };
        assert_eq!(first(b"OPEN 1 k c=c,at=s-2"), Ok(First::Open(at)));
        assert_eq!(first(b"PING"), Ok(First::Ping));
        for bad in [
            &b""[..],
            b"HELLO",
            b"OPEN",
            b"OPEN 1",
            b"OPEN 1 k",
            b"OPEN 1 k d=1",
            b"OPEN 1 k c=a,d=x",
            b"\xff",
            // Guards against lines that are guessed at: whatever they ask for would be served.
            b"PING x",
            b"OPEN  k c=a,d=1",
            b"OPEN 1  c=a,d=1",
            b"OPEN 1 k  c=a,d=1",
            b"OPEN 1 k c=a,d=1 x",
            b"OPEN 1 k c=a,d=1,c=a",
            b"OPEN 1 k c=a,d=+5",
            b"OPEN 1 k c=a,d=-5",
            b"OPEN 1 k c=a,d=5.0",
            b"OPEN 1 k c=a,d=99999999999999999999",
            b"OPEN 1 k c=a,d=",
            b"OPEN 1 k c=a,d=1,g=",
            b"OPEN 1 k c=a,d=1,r=2",
            b"OPEN 1 k c=a,d=1,h=much",
            b"OPEN 1 k c=a,d=1,h=nan",
            b"OPEN 1 k c=a,d=1,h=inf",
            b"OPEN 1 k c=a,d=1\tx",
            format!(
                "OPEN 1 k c=a{}",
                (0..40).map(|n| format!(",x{n}=1")).collect::<String>()
            )
            .as_bytes(),
        ] {
            assert!(first(bad).is_err(), "{bad:?}");
        }
    }
}
