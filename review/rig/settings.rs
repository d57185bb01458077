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
             \"contract\":{{\"answer-slack\":8000,\"ask-within\":10000000,\"fall\":3000000,\"fall-multiple\":3.0,\
             \"start-capacity\":0.35,\"stop-sending-within\":{},\"warm-up\":8200000}},\
             \"costs\":{{\"probe\":0.0019,\"moves\":0.029}},\
             \"limits\":{{\"dial-timeout\":250000,\"keepalive\":5000000,\"max-connects\":{},\"max-open\":1000000,\
             \"max-retry-after\":2000000,\"may-cancel\":true,\"may-tell\":false,\"probes\":true,\"retry-after\":true,\
             \"second-copies\":false}},\
             \"report\":{{\"fields\":[\"rif\",\"busy\",\"x0\"],\"how\":\"pull\"}},\
             \"service-types\":[{types}],\
             \"specifics\":{{\"groups\":true,\"mode\":\"proxy\",\"report-x0\":\"load asked of the server over what it can do\"}},\
             \"surplus-value\":0.1,\"tick\":2000,\"tier\":0,\"tiers\":[\"servers\"],\"value-per\":\"request\"}}",
            self.areas,
            self.balancers,
            self.discovery,
            self.grace_ms * 1000,
            self.max_connects,
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
        service_types: vec![
            class("practice", 3200),
            class("graded-lab", 4800),
            class("class-demo", 3200),
        ],
    }
}
