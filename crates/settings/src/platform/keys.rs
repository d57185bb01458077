//! The platform's names of its settings and of their values. No other module contains these names.
//!
//! The parts of a path are separated by `/`.

/// The field name in errors about settings from a JSON text that contains nothing else.
pub(super) const STANDALONE: &str = "conf";
/// The field name in errors about settings embedded in another object.
pub(super) const EMBEDDED: &str = "settings";

pub(super) const BATCH_INTERVAL: &str = "tick";
pub(super) const ZONE: &str = "zone";
pub(super) const BALANCERS: &str = "replicas-of-me";
pub(super) const SURPLUS_WEIGHT: &str = "surplus-value";

// Lists. The number of an entry is its index.
pub(super) const ZONES: &str = "areas";
pub(super) const MACHINE_MODELS: &str = "models";
pub(super) const TRAFFIC_CLASSES: &str = "service-types";
pub(super) const TENANTS: &str = "accounts";
/// The name of an entry, in any of these lists.
pub(super) const NAME: &str = "name";

// Settings of a traffic class.
pub(super) const FLOW_TIMEOUT: &str = "hard-limit";
pub(super) const LATENCY_OBJECTIVE: &str = "setup-target";
pub(super) const PRIORITY_WEIGHT: &str = "value";
pub(super) const IDEMPOTENCY: &str = "repeat";
pub(super) const IDEMPOTENT: &str = "free";
pub(super) const DEDUPLICATED: &str = "guarded";
pub(super) const NON_IDEMPOTENT: &str = "single_shot";
pub(super) const DEDUPLICATION_SCOPE: &str = "group";
pub(super) const SCOPE_ALL: &str = "all";
pub(super) const SCOPE_ZONE: &str = "zone";
pub(super) const SCOPE_CELL: &str = "cell";
pub(super) const DEDUPLICATION_WINDOW: &str = "window";

// Settings of a tenant.
pub(super) const QUOTA: &str = "fraction";

// Permissions and limits of a balancer.
pub(super) const ATTEMPTS_MAX: &str = "limits/max-connects";
pub(super) const HEDGING_ALLOWED: &str = "limits/second-copies";
pub(super) const CANCELLATION_ALLOWED: &str = "limits/may-cancel";
pub(super) const HEALTH_CHECKS_ALLOWED: &str = "limits/probes";
pub(super) const GOSSIP_ALLOWED: &str = "limits/may-tell";
pub(super) const RETRY_AFTER_ALLOWED: &str = "limits/retry-after";
pub(super) const MAX_RETRY_AFTER: &str = "limits/max-retry-after";
pub(super) const DIAL_TIMEOUT: &str = "limits/dial-timeout";
pub(super) const HEALTH_CHECK_COST: &str = "costs/probe";

// Slow start.
pub(super) const SLOW_START_CAPACITY: &str = "contract/start-capacity";
pub(super) const WARM_UP: &str = "contract/warm-up";
pub(super) const SLOW_START_FAILURE_MULTIPLE: &str = "contract/fall-multiple";
pub(super) const SLOW_START_FAILURE_WINDOW: &str = "contract/fall";

// The endpoint list.
pub(super) const DISCOVERY: &str = "discovery";
pub(super) const DISCOVERY_BY_POLL: &str = "ask";
pub(super) const DISCOVERY_BY_PUSH: &str = "push";
pub(super) const ENDPOINT_POLL_INTERVAL_MAX: &str = "contract/ask-within";

// Load reports and groups.
pub(super) const LOAD_REPORTS: &str = "report/how";
pub(super) const LOAD_REPORTS_NONE: &str = "silent";
pub(super) const X0_MEANING: &str = "specifics/report-x0";
/// If the meaning of `x0` contains this text, `x0` is load over capacity.
pub(super) const X0_IS_UTILIZATION: &str = "over what it can do";
pub(super) const GROUPS: &str = "specifics/groups";
