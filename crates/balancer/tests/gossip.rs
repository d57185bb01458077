//! Gossip between balancers about the home servers of groups.

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

/// Guards against gossip messages that are not sent, not received, or accepted from senders that
/// are not configured as peers.
#[test]
fn peer_places_groups_on_home_servers_known_by_gossip() {
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
        // The seeds differ, so the balancers can agree only by gossip.
        config["seed"] = format!("{:x}", 77 + number).into();
        let name =
            |kind| std::env::temp_dir().join(format!("nettlemux-gossip-{}-{kind}", address.ip()));
        let (file, operator) = (name("config.json"), name("operator.toml"));
        std::fs::write(&file, config.to_string()).unwrap();
        // The second file uses the key's name from an earlier version.
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
        wait_for("endpoint list", || {
            Client::connect_with_open_line(*address, "c=chat,d=1000").next_line_is("UP 1")
        });
    }
    let open_flow = |address: SocketAddr, group: &str| {
        let before: Vec<usize> = servers
            .iter()
            .map(|server| server.first_lines().len())
            .collect();
        let mut client =
            Client::connect_with_open_line(address, &format!("c=chat,d=1000,g={group}"));
        assert_eq!(client.read_line(), "UP 1");
        let after = servers.iter().map(|server| server.first_lines().len());
        let server = before
            .iter()
            .zip(after)
            .position(|(before, after)| after > *before)
            .unwrap();
        (server, client)
    };
    // Only one server is ready while the first balancer places the groups. Otherwise both balancers
    // could place the groups alike by a common order of servers instead of by gossip.
    let publish_others =
        |state| (0..5).for_each(|i| agent.publish(&format!("s-{i}"), servers[i].address, state));
    publish_others("Terminating");
    wait_for("flow on the only ready server", || {
        open_flow(addresses[0], "none").0 == 5
    });
    // The gossip rate limit allows a burst of at most two messages. The pause restores it after the
    // messages of the wait above, so that the message about the first group is sent.
    thread::sleep(Duration::from_millis(300));
    let mut open = Vec::new();
    for group in 0..6 {
        open.push(open_flow(addresses[0], &format!("group-{group}")));
        thread::sleep(Duration::from_millis(100));
    }
    publish_others("Ready");
    // Messages about many groups from a sender that is not a peer: they must be ignored.
    let unknown_sender = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
    for number in 0..=u16::MAX {
        let [high, low] = number.to_be_bytes();
        let _ = unknown_sender.send_to(&[1, high, low, b's', b'-', b'0'], &peers[1]);
    }
    thread::sleep(Duration::from_millis(1200));
    for group in 0..6 {
        open.push(open_flow(addresses[1], &format!("group-{group}")));
    }
    let used_servers: Vec<usize> = open.iter().map(|(server, _)| *server).collect();
    assert_eq!(
        used_servers, [5; 12],
        "expected both balancers to place all groups on server 5"
    );
    drop(children);
    files
        .iter()
        .for_each(|file| drop(std::fs::remove_file(file)));
}

/// Guards against a policy that relies on gossip if the settings allow gossip but no peers are
/// configured. It has to place flows as if gossip were not allowed: it skips a server that has well
/// over the mean number of the balancer's connections.
#[test]
fn gossip_without_peers_is_treated_as_not_allowed() {
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
    let flows_of_group = |server: &Arc<ToyServer>| {
        server
            .first_lines()
            .iter()
            .filter(|line| line.contains("g=one"))
            .count()
    };
    let counts: Vec<usize> = balancer.servers.iter().map(flows_of_group).collect();
    assert!(
        counts.iter().all(|count| *count <= 6),
        "expected at most 6 flows of the group on a server: {counts:?}"
    );
}
