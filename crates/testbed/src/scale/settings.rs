//! The settings of the balancers in a scale run, in the platform's format. They are the same for the
//! policy alone and for a fleet on sockets.

use serde_json::{Value, json};

/// One second in microseconds, the unit of times in the settings.
const SECOND_US: u64 = 1_000_000;
/// How long a client waits for its connection.
const DEADLINE_US: u64 = 2 * SECOND_US;
/// Latency objective: the time within which a client should get its connection.
const LATENCY_OBJECTIVE_US: u64 = SECOND_US * 3 / 10;

/// The settings that differ between runs.
#[derive(Clone, Copy, Debug)]
pub struct VaryingSettings {
    pub balancers: u64,
    pub probe_price: f64,
    pub may_gossip: bool,
}

/// Returns the settings of one balancer.
pub fn settings(varying: VaryingSettings) -> Value {
    json!({
        "zone": 0,
        "areas": ["a"],
        "models": ["m"],
        "discovery": "push",
        "weights": "nominal",
        "replicas-of-me": varying.balancers,
        "accounts": [],
        "costs": {"probe": varying.probe_price},
        "contract": {"start-capacity": 0.35, "warm-up": 8 * SECOND_US, "fall-multiple": 3.0},
        "limits": {
            "max-connects": 3, "second-copies": false, "may-cancel": true, "probes": true,
            "may-tell": varying.may_gossip, "retry-after": true, "max-retry-after": 2 * SECOND_US,
            "dial-timeout": SECOND_US / 4,
        },
        "report": {"how": "pull", "fields": ["x0", "busy"]},
        "service-types": [{
            "name": "chat", "setup-target": LATENCY_OBJECTIVE_US, "hard-limit": DEADLINE_US, "value": 1.0,
            "repeat": "free",
        }],
        "specifics": {"groups": true, "report-x0": "load asked of the server over what it can do"},
    })
}

/// How long a client waits for its connection, in milliseconds.
pub const DEADLINE_MS: u64 = DEADLINE_US / 1000;
