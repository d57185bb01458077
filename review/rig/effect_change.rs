//! A once-only request is under way at a server when new settings come that call its service type
//! repeatable. Then the connection to the server breaks. The request must not be sent again.

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::agent::Agent;
use crate::balancer::{Balancer, ROOMY};
use crate::client::Client;
use crate::record::Record;
use crate::server::{Behavior, Server};
use crate::settings;

pub fn play(record: &Arc<Record>, folder: &Path, trouble: bool) -> Verdict {
    let agent = Agent::start(record);
    let servers: Vec<_> = (0..4)
        .map(|number| Server::start(&format!("s-{number}"), record))
        .collect();
    for server in &servers {
        agent.set(&server.name, server.address, "kelaniya", "Ready");
    }
    let mut deployment = settings::colombo();
    let class = deployment.service_types[2].name;
    deployment.service_types[2].repeat = "single_shot";
    let before = deployment.settings();
    deployment.service_types[2].repeat = "free";
    let after = deployment.settings();

    let balancer = Balancer::start(
        "n0",
        folder.join("n0"),
        agent.address,
        &before,
        ROOMY,
        record,
    );
    if !balancer.wait_until_it_serves("lift-status", 1800) {
        return Verdict::CouldNotRun("the balancer does not serve".into());
    }
    for server in &servers {
        server.set_behavior(Behavior::Hangs);
    }
    let clients: Vec<_> = (0..4)
        .map(|_| Client::open(balancer.address, class, 4800, record))
        .collect();
    thread::sleep(Duration::from_millis(500));
    if trouble {
        balancer.change_settings(&after);
    }
    thread::sleep(Duration::from_millis(1000));
    for server in &servers {
        server.set_behavior(Behavior::Serves);
        server.break_hanging();
    }
    thread::sleep(Duration::from_secs(5));
    let mut broken = false;
    for client in &clients {
        let runs = servers.iter().flat_map(|server| server.received());
        let count = runs.filter(|line| line.id == client.id).count();
        record.add(&format!("{} ran {count} times", client.id));
        broken |= count > 1;
    }
    if broken {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
