//! Gossip between balancers.

mod common;

use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use common::toy::{DiscoveryAgent, ToyServer};
use common::{Client, EXAMPLE, TestBalancer, unused_address, wait_for, with_settings};
use serde_json::json;

/// A process that is killed when dropped.
struct RunningProcess {
    child: Child,
}

impl Drop for RunningProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Guards against messages that are not sent, not received, or accepted from strangers.
#[test]
fn balancers_gossip_where_a_group_is_held() {
    let agent = DiscoveryAgent::start("127.0.0.1:0").unwrap();
    let servers: Vec<Arc<ToyServer>> = (0..6)
        .map(|_| ToyServer::start("127.0.0.1:0").unwrap())
        .collect();
    for (i, server) in servers.iter().enumerate() {
        agent.publish(&format!("s-{i}"), server.address, "Ready");
    }
    let addresses: Vec<SocketAddr> = (0..2).map(|_| unused_address()).collect();
    let peers: Vec<String> = addresses
        .iter()
        .map(|address| format!("{}:7200", address.ip()))
        .collect();
    let mut children = Vec::new();
    let mut files = Vec::new();
    for (number, (address, peer)) in addresses.iter().zip(&peers).enumerate() {
        let config = EXAMPLE.replace("127.0.0.1:7000", &address.to_string());
        let config = config.replace("127.0.0.1:7100", &agent.address.to_string());
        let mut config: serde_json::Value = serde_json::from_str(&config).unwrap();
        config["settings"]["limits"]["may-tell"] = true.into();
        config["settings"]["replicas-of-me"] = 2.into();
        // No seed in common: what they agree on is gossip.
        config["seed"] = format!("{:x}", 77 + number).into();
        let name =
            |kind| std::env::temp_dir().join(format!("nettlemux-gossip-{}-{kind}", address.ip()));
        let (file, operator) = (name("config.json"), name("operator.toml"));
        std::fs::write(&file, config.to_string()).unwrap();
        // The second file has the key under the name of an earlier version.
        let key = ["addresses", "to"][number];
        std::fs::write(
            &operator,
            format!("[peers]\nlisten = {peer:?}\n{key} = {peers:?}\n"),
        )
        .unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_nettlemux"));
        command
            .args(["serve", "--config"])
            .arg(&file)
            .arg("--operator")
            .arg(&operator);
        children.push(RunningProcess {
            child: command
                .stdout(Stdio::null())
                .stderr(Stdio::null())
                .spawn()
                .unwrap(),
        });
        files.extend([file, operator]);
    }
    for address in &addresses {
        wait_for("PONG", || TcpStream::connect(address).is_ok());
        wait_for("a list", || {
            Client::open(*address, "c=chat,d=1000").receives("UP 1")
        });
    }
    let holder = |address: SocketAddr, group: &str| {
        let before: Vec<usize> = servers
            .iter()
            .map(|server| server.first_lines().len())
            .collect();
        let mut client = Client::open(address, &format!("c=chat,d=1000,g={group}"));
        assert_eq!(client.read_line(), "UP 1");
        let after = servers.iter().map(|server| server.first_lines().len());
        let server = before
            .iter()
            .zip(after)
            .position(|(before, after)| after > *before)
            .unwrap();
        (server, client)
    };
    // One server alone is ready as the first balancer gets the groups, so that no order agreed on
    // beforehand can have brought the second one's to the same.
    let others =
        |state| (0..5).for_each(|i| agent.publish(&format!("s-{i}"), servers[i].address, state));
    others("Terminating");
    wait_for("the one server", || holder(addresses[0], "none").0 == 5);
    // At most two messages are saved up: those of the wait above must not cost the first group its
    // own.
    thread::sleep(Duration::from_millis(300));
    let mut open = Vec::new();
    for group in 0..6 {
        open.push(holder(addresses[0], &format!("group-{group}")));
        thread::sleep(Duration::from_millis(100));
    }
    others("Ready");
    // A stranger's messages, of many groups: ignored.
    let stranger = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
    for number in 0..=u16::MAX {
        let [high, low] = number.to_be_bytes();
        let _ = stranger.send_to(&[1, high, low, b's', b'-', b'0'], &peers[1]);
    }
    thread::sleep(Duration::from_millis(1200));
    for group in 0..6 {
        open.push(holder(addresses[1], &format!("group-{group}")));
    }
    let on: Vec<usize> = open.iter().map(|(server, _)| *server).collect();
    assert_eq!(
        on, [5; 12],
        "the second places where the first has gossiped"
    );
    drop(children);
    files
        .iter()
        .for_each(|file| drop(std::fs::remove_file(file)));
}

/// Guards against a policy that relies on gossip where the settings allow it and no peers are
/// configured: it has to place as where gossip is not allowed, and so pass over a server that holds
/// well over its mean of the balancer's connections.
#[test]
fn gossip_without_peers_counts_as_not_allowed() {
    let balancer = TestBalancer::with_config(6, |config| {
        with_settings(
            &config,
            &[
                ("limits/may-tell", json!(true)),
                ("replicas-of-me", json!(300)),
            ],
        )
    });
    let mut open: Vec<Client> = Vec::new();
    for _ in 0..12 {
        open.push(balancer.client("c=chat,d=900,g=one"));
        assert_eq!(open.last_mut().unwrap().read_line(), "UP 1");
    }
    let of_group = |server: &Arc<ToyServer>| {
        server
            .first_lines()
            .iter()
            .filter(|line| line.contains("g=one"))
            .count()
    };
    let counts: Vec<usize> = balancer.servers.iter().map(of_group).collect();
    assert!(counts.iter().all(|count| *count <= 6), "{counts:?}");
}
