//! A crowd connects and says nothing while usual clients ask to be served. Each request that the
//! balancer's machine has accepted has to get its answer in time.

use std::env;
use std::fs;
use std::io::{ErrorKind, Read, stdin};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::agent::Agent;
use crate::balancer::{Balancer, Limits};
use crate::client::{Client, Status};
use crate::record::Record;
use crate::server::Server;
use crate::settings;

/// The clients that make up the crowd, and the connections of each.
const CROWD_CLIENTS: usize = 3;
const CONNECTIONS_EACH: usize = 900;
const USUAL_CLIENTS: usize = 20;
const WAIT_MS: u64 = 1200;
/// An answer may come half a second after the client's time; the rules on sockets allow 50 ms more.
const ANSWER_WITHIN: Duration = Duration::from_millis(WAIT_MS + 500 + 50);
const STAY: Duration = Duration::from_secs(12);
/// Connections that a listener's queue on this machine has to have room for.
const QUEUE_MIN: usize = CROWD_CLIENTS * CONNECTIONS_EACH + USUAL_CLIENTS;

pub fn play(record: &Arc<Record>, folder: &Path, trouble: bool) -> Verdict {
    // A connection that the machine has no room for isn't accepted, and its request not taken.
    let room = fs::read_to_string("/proc/sys/net/core/somaxconn").unwrap_or_default();
    if room.trim().parse().unwrap_or(0) < QUEUE_MIN {
        return Verdict::CouldNotRun("the machine's listener queues are too short".into());
    }
    let agent = Agent::start(record);
    for number in 0..4 {
        let server = Server::start(&format!("s-{number}"), record);
        agent.set(&server.name, server.address, "kathmandu", "Ready");
    }
    let limits = Limits {
        memory_mb: 64,
        sockets: 256,
    };
    let settings = settings::ktm().settings();
    let folder = folder.join("n0");
    let balancer = Balancer::start("n0", folder, agent.address, &settings, limits, record);
    if !balancer.wait_until_it_serves("live-view", WAIT_MS) {
        return Verdict::CouldNotRun("the balancer does not serve".into());
    }
    let mut crowd: Vec<Child> = Vec::new();
    if trouble {
        record.add(&format!(
            "{CROWD_CLIENTS} clients open {CONNECTIONS_EACH} connections each and say nothing"
        ));
        for _ in 0..CROWD_CLIENTS {
            let rig = env::current_exe().expect("the path of this program");
            let mut command = Command::new(rig);
            command.args(["idle", &balancer.address.to_string()]);
            // It leaves when this pipe closes, whatever ends this program.
            command.stdin(Stdio::piped());
            crowd.push(command.spawn().expect("the crowd can be started"));
        }
        thread::sleep(Duration::from_millis(200));
    }
    let clients: Vec<_> = (0..USUAL_CLIENTS)
        .map(|_| {
            thread::sleep(Duration::from_millis(10));
            Client::open(balancer.address, "live-view", WAIT_MS, record)
        })
        .collect();
    // Each client waits until its last moment and then leaves.
    let last_moments = Instant::now() + ANSWER_WITHIN;
    for client in &clients {
        client.leave_unanswered_after(ANSWER_WITHIN);
    }
    thread::sleep(last_moments.saturating_duration_since(Instant::now()) + Duration::from_secs(2));
    let mut unanswered = 0;
    let mut served = 0;
    for client in &clients {
        let status = client.status();
        let took = client.answered_after();
        let is_late = took.is_none_or(|took| took > ANSWER_WITHIN);
        // While a crowd fills the descriptors a new connection may be shut unread.
        let is_shut = status == Status::CutOff;
        record.add(&format!(
            "{}: {status:?} after {took:?}{}",
            client.id,
            if is_late && !is_shut {
                ", too late"
            } else {
                ""
            }
        ));
        unanswered += usize::from(is_late && !is_shut);
        served += usize::from(status == Status::Up);
    }
    for child in &mut crowd {
        let _ = child.kill();
        let _ = child.wait();
    }
    record.add(&format!(
        "of {USUAL_CLIENTS} requests {served} were served, {unanswered} had no answer {ANSWER_WITHIN:?} after their last byte"
    ));
    if unanswered > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// One client of the crowd: opens its connections at full speed, says nothing, reads what it is sent
/// and closes what the balancer has closed.
pub fn idle(balancer: &str) {
    let address: SocketAddr = balancer.parse().expect("an address");
    let mut connections: Vec<_> = (0..CONNECTIONS_EACH)
        .filter_map(|_| TcpStream::connect(address).ok())
        .filter(|connection| connection.set_nonblocking(true).is_ok())
        .collect();
    thread::spawn(move || {
        loop {
            connections.retain_mut(|connection| {
                let mut text = [0; 64];
                match connection.read(&mut text) {
                    Ok(count) => count > 0,
                    Err(error) => error.kind() == ErrorKind::WouldBlock,
                }
            });
            thread::sleep(Duration::from_millis(20));
        }
    });
    let (sender, receiver) = std::sync::mpsc::channel();
    thread::spawn(move || {
        let _ = stdin().read(&mut [0; 1]);
        let _ = sender.send(());
    });
    let _ = receiver.recv_timeout(STAY);
}
