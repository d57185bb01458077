//! A balancer gets the settings of another deployment, whose connect timeouts are shorter, and is
//! restarted as planned 10 s later. Its clients have to be moved before SIGKILL.

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::agent::Agent;
use crate::balancer::{Balancer, ROOMY};
use crate::client::{Client, Status};
use crate::record::Record;
use crate::server::Server;
use crate::settings;

const CLIENTS: usize = 20;
/// Time from the change to the planned restart.
const TIME_UNTIL_RESTART: Duration = Duration::from_secs(10);
/// SIGKILL comes no sooner than the longest deadline and 0.7 s more after SIGTERM; the rules on
/// sockets allow 50 ms more.
const SIGKILL_AFTER: Duration = Duration::from_millis(1200 + 700 + 50);

pub fn play(record: &Arc<Record>, folder: &Path, trouble: bool) -> Verdict {
    let agent = Agent::start(record);
    let servers: Vec<_> = (0..4)
        .map(|number| Server::start(&format!("s-{number}"), record))
        .collect();
    for server in &servers {
        agent.set(&server.name, server.address, "kathmandu", "Ready");
    }
    let before = settings::colombo().settings();
    let after = settings::ktm().settings();
    // Without the disruption the balancer has the later settings from its start.
    let first = if trouble { &before } else { &after };
    let mut balancer =
        Balancer::start("n0", folder.join("n0"), agent.address, first, ROOMY, record);
    let (class, wait_ms) = if trouble {
        ("lift-status", 1800)
    } else {
        ("live-view", 1200)
    };
    if !balancer.wait_until_it_serves(class, wait_ms) {
        return Verdict::CouldNotRun("the balancer does not serve".into());
    }
    if trouble {
        balancer.change_settings(&after);
    }
    let changed_at = Instant::now();
    thread::sleep(Duration::from_secs(1));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let client = Client::open(balancer.address, "live-view", 1200, record);
            client.wait_for_answer(Duration::from_secs(3));
            client
        })
        .collect();
    thread::sleep(TIME_UNTIL_RESTART.saturating_sub(changed_at.elapsed()));
    let up: Vec<_> = clients
        .iter()
        .filter(|client| client.status() == Status::Up)
        .collect();
    if up.len() < CLIENTS / 2 {
        return Verdict::CouldNotRun(format!("only {} clients are up", up.len()));
    }
    let told_at = Instant::now();
    balancer.signal("TERM");
    thread::sleep(SIGKILL_AFTER.saturating_sub(told_at.elapsed()));
    if !balancer.has_ended() {
        balancer.signal("KILL");
    }
    thread::sleep(Duration::from_millis(300));
    let moved = up
        .iter()
        .filter(|client| client.status() == Status::Moved)
        .count();
    record.add(&format!("of {} connections {moved} were moved", up.len()));
    if moved == up.len() {
        Verdict::Held
    } else {
        Verdict::Broken
    }
}
