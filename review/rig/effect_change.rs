//! A once-only request is under way at a server when new settings come that call its service type
//! repeatable. Then the connection to the server breaks. The request must not be sent again. Without
//! the disruption there are no new settings, and the server answers in the end.

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

const CLIENTS_MAX: usize = 40;

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
    let earlier = servers[0].received().len();
    // One of the four servers hangs. Clients come until it has two of their requests.
    let hanging = &servers[0];
    hanging.set_behavior(Behavior::Hangs);
    let mut clients = Vec::new();
    while hanging.received().len() < 2 + earlier && clients.len() < CLIENTS_MAX {
        clients.push(Client::open(balancer.address, class, 4800, record));
        thread::sleep(Duration::from_millis(20));
    }
    if hanging.received().len() < 2 + earlier {
        return Verdict::CouldNotRun("no requests came to the server that hangs".into());
    }
    if trouble {
        balancer.change_settings(&after);
    }
    thread::sleep(Duration::from_millis(1000));
    if trouble {
        hanging.break_hanging();
    } else {
        hanging.answer_hanging();
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
