//! The settings that balancers get in a scale run, in the platform's form, the same for the policy
//! alone and on sockets.

use serde_json::{Value, json};

/// Microseconds of a second, the unit of times in settings.
const SECOND_US: u64 = 1_000_000;
/// How long a client waits for its connection, and within what time it should be placed.
const DEADLINE_US: u64 = 2 * SECOND_US;
const LATENCY_TARGET_US: u64 = SECOND_US * 3 / 10;

/// What differs between runs.
#[derive(Clone, Copy, Debug)]
pub struct SettingsOf {
    pub balancers: u64,
    pub probe_price: f64,
    pub may_gossip: bool,
}

/// The settings of one balancer.
pub fn settings(of: SettingsOf) -> Value {
    json!({
        "zone": 0,
        "areas": ["a"],
        "models": ["m"],
        "discovery": "push",
        "weights": "nominal",
        "replicas-of-me": of.balancers,
        "accounts": [],
        "costs": {"probe": of.probe_price},
        "contract": {"start-capacity": 0.35, "warm-up": 8 * SECOND_US, "fall-multiple": 3.0},
        "limits": {
            "max-connects": 3, "second-copies": false, "may-cancel": true, "probes": true,
            "may-tell": of.may_gossip, "retry-after": true, "max-retry-after": 2 * SECOND_US,
            "dial-timeout": SECOND_US / 4,
        },
        "report": {"how": "pull", "fields": ["x0", "busy"]},
        "service-types": [{
            "name": "chat", "setup-target": LATENCY_TARGET_US, "hard-limit": DEADLINE_US, "value": 1.0,
            "repeat": "free",
        }],
        "specifics": {"groups": true, "report-x0": "load asked of the server over what it can do"},
    })
}

/// How long a client waits for its connection, in milliseconds.
pub const DEADLINE_MS: u64 = DEADLINE_US / 1000;
