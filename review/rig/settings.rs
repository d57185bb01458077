//! Settings in the form that the platform gives to a balancer, with figures of the operators' pages.

/// A service type: name, setup target and connect timeout in ms, and what a repeat does.
pub struct ServiceType {
    pub name: &'static str,
    pub target_ms: u64,
    pub timeout_ms: u64,
    pub repeat: &'static str,
}

/// What differs from one deployment to another.
pub struct Deployment {
    pub areas: &'static str,
    /// `push` or `ask`.
    pub discovery: &'static str,
    pub balancers: u32,
    pub max_connects: u32,
    /// The grace of drains.
    pub grace_ms: u64,
    /// A cold server: share of its capacity, time until it is warm, and the time in which it falls.
    pub cold: (f64, u64, u64),
    pub fall_multiple: f64,
    pub max_retry_after_ms: u64,
    pub may_tell: bool,
    pub service_types: Vec<ServiceType>,
}

impl Deployment {
    /// Returns the settings as JSON.
    pub fn settings(&self) -> String {
        let types = self.service_types.iter().map(|class| {
            format!(
                "{{\"name\":\"{}\",\"setup-target\":{},\"hard-limit\":{},\"repeat\":\"{}\",\"value\":1.0,\
                 \"late-value\":0.0,\"streamed\":true,\"group\":\"all\",\"window\":5000000}}",
                class.name,
                class.target_ms * 1000,
                class.timeout_ms * 1000,
                class.repeat
            )
        });
        let types = types.collect::<Vec<_>>().join(",");
        format!(
            "{{\"accounts\":[],\"areas\":[{}],\"zone\":0,\"models\":[\"m\"],\"me\":0,\"replicas-of-me\":{},\
             \"discovery\":\"{}\",\"weights\":\"nominal\",\"family\":\"conn\",\
             \"contract\":{{\"answer-slack\":8000,\"ask-within\":10000000,\"fall\":{},\"fall-multiple\":{:.1},\
             \"start-capacity\":{},\"stop-sending-within\":{},\"warm-up\":{}}},\
             \"costs\":{{\"probe\":0.0019,\"moves\":0.029}},\
             \"limits\":{{\"dial-timeout\":250000,\"keepalive\":5000000,\"max-connects\":{},\"max-open\":1000000,\
             \"max-retry-after\":{},\"may-cancel\":true,\"may-tell\":{},\"probes\":true,\"retry-after\":true,\
             \"second-copies\":false}},\
             \"report\":{{\"fields\":[\"rif\",\"busy\",\"x0\"],\"how\":\"pull\"}},\
             \"service-types\":[{types}],\
             \"specifics\":{{\"groups\":true,\"mode\":\"proxy\",\"report-x0\":\"load asked of the server over what it can do\"}},\
             \"surplus-value\":0.1,\"tick\":2000,\"tier\":0,\"tiers\":[\"servers\"],\"value-per\":\"request\"}}",
            self.areas,
            self.balancers,
            self.discovery,
            self.cold.2 * 1000,
            self.fall_multiple,
            self.cold.0,
            self.grace_ms * 1000,
            self.cold.1 * 1000,
            self.max_connects,
            self.max_retry_after_ms * 1000,
            self.may_tell,
        )
    }
}

/// `colombo-maps`: the brief's service types; the list is pushed.
pub fn colombo() -> Deployment {
    let class = |name, target_ms, timeout_ms| ServiceType {
        name,
        target_ms,
        timeout_ms,
        repeat: "free",
    };
    Deployment {
        areas: "\"kelaniya\",\"rajagiriya\"",
        discovery: "push",
        balancers: 1,
        max_connects: 5,
        grace_ms: 400,
        cold: (0.35, 8200, 3000),
        fall_multiple: 3.0,
        max_retry_after_ms: 2000,
        may_tell: false,
        service_types: vec![
            class("lift-status", 300, 1800),
            class("tile-refresh", 800, 3200),
            class("piste-closures", 800, 4800),
            class("grooming-marks", 300, 1800),
        ],
    }
}

/// `ktm-gallery`: one service type that is given up after 1.2 s; the list has to be asked for.
pub fn ktm() -> Deployment {
    Deployment {
        areas: "\"kathmandu\",\"pokhara\"",
        discovery: "ask",
        balancers: 1,
        max_connects: 5,
        grace_ms: 2000,
        cold: (0.32, 9000, 2000),
        fall_multiple: 3.0,
        max_retry_after_ms: 600,
        may_tell: true,
        service_types: vec![ServiceType {
            name: "live-view",
            target_ms: 300,
            timeout_ms: 1200,
            repeat: "free",
        }],
    }
}

/// `deneyevi-istanbul`: the list has to be asked for, and a drain has a grace of 400 ms.
pub fn deneyevi() -> Deployment {
    let class = |name, timeout_ms| ServiceType {
        name,
        target_ms: 800,
        timeout_ms,
        repeat: "free",
    };
    Deployment {
        areas: "\"ist-1\",\"ist-2\"",
        discovery: "ask",
        balancers: 12,
        max_connects: 3,
        grace_ms: 400,
        cold: (0.15, 24000, 1500),
        fall_multiple: 4.0,
        max_retry_after_ms: 2000,
        may_tell: true,
        service_types: vec![
            class("practice", 3200),
            class("graded-lab", 4800),
            class("class-demo", 3200),
        ],
    }
}
