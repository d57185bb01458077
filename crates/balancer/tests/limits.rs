//! Descriptors and memory: short limits, long endpoint lists.

mod common;

use std::time::{Duration, Instant};

use common::{Client, TestBalancer, wait_for, with_settings};
use serde_json::json;

#[test]
fn at_the_descriptor_limit_clients_are_answered_at_once_and_health_checks_go_on() {
    let balancer = TestBalancer::with_config(1, |config| {
        config.replace("\"sockets\": 1024", "\"sockets\": 160")
    });
    let mut clients: Vec<Client> = (0..60).map(|_| balancer.client("c=chat,d=1500")).collect();
    let answers: Vec<String> = clients.iter_mut().map(Client::read_line).collect();
    let count = |word: &str| {
        answers
            .iter()
            .filter(|answer| answer.starts_with(word))
            .count()
    };
    assert!(
        count("UP") > 5 && count("BUSY") > 5 && count("UP") + count("BUSY") == 60,
        "{answers:?}"
    );
    drop(clients);
    wait_for("room again", || {
        balancer.client("c=chat,d=900").receives("UP 1")
    });
}

/// Guards against servers that are never asked, or taken for silent, where there are more of them
/// than descriptors for health checks.
#[test]
fn more_servers_than_descriptors_for_health_checks_are_all_checked() {
    let balancer = TestBalancer::with_config(40, |config| {
        config.replace("\"sockets\": 1024", "\"sockets\": 256")
    });
    wait_for("two health checks of each", || {
        balancer
            .servers
            .iter()
            .all(|server| server.health_checks() >= 2)
    });
    let open = std::fs::read_dir(format!("/proc/{}/fd", balancer.process.id()))
        .unwrap()
        .count();
    assert!(open < 60, "{open} descriptors with nobody served");
    assert_eq!(balancer.client("c=chat,d=900").read_line(), "UP 1");
}

/// A balancer with 256 descriptors and 32 MB among as many balancers as servers, all of which are
/// one.
fn small_among(servers: usize) -> TestBalancer {
    let balancer = TestBalancer::with_config(1, |config| {
        let few = config
            .replace("\"sockets\": 1024", "\"sockets\": 256")
            .replace("\"memory_mb\": 192", "\"memory_mb\": 32");
        with_settings(&few, &[("replicas-of-me", json!(servers))])
    });
    for n in 1..servers {
        balancer
            .agent
            .publish(&format!("s-{n:04}"), balancer.servers[0].address, "Ready");
    }
    balancer
}

/// Most of sixty clients of as many groups are served, within the limits. Returns them, still open.
fn serves_within_its_limits(balancer: &TestBalancer) -> Vec<Client> {
    let mut open: Vec<Client> = Vec::new();
    let served = (0..60).filter(|n| {
        open.push(balancer.client(&format!("c=chat,d=2000,g=r{n}")));
        open.last_mut().unwrap().receives("UP 1")
    });
    let served = served.count();
    let status =
        std::fs::read_to_string(format!("/proc/{}/status", balancer.process.id())).unwrap();
    let most = status
        .lines()
        .find(|line| line.starts_with("VmHWM"))
        .unwrap();
    let kb: usize = most.split_whitespace().nth(1).unwrap().parse().unwrap();
    let sockets = std::fs::read_dir(format!("/proc/{}/fd", balancer.process.id()))
        .unwrap()
        .count();
    assert!(
        served >= 50 && kb < 32 << 10 && sockets <= 256,
        "{served} served, {kb} KB, {sockets} descriptors"
    );
    open
}

/// As long a list as is checked whole: each server is checked, and again.
#[test]
fn a_list_of_200_servers_is_checked_whole_within_32_mb_and_256_descriptors() {
    let balancer = small_among(200);
    wait_for("health checks", || {
        balancer.servers[0].health_checks() > 300
    });
    let _open = serves_within_its_limits(&balancer);
}

/// Guards against a balancer that a long list makes too large or too slow: 1,024 servers, within
/// the least memory and the fewest descriptors that the platform gives. It keeps to the budget of
/// health checks, ten a second and one second saved up, before any client comes, and goes on with
/// servers that hold its connections.
#[test]
fn a_list_of_1024_servers_is_served_within_32_mb_and_256_descriptors() {
    const HEALTH_CHECKS_PER_SECOND_MAX: f64 = 10.0;
    let balancer = small_among(1024);
    // Health checks from before the whole list was there don't count.
    std::thread::sleep(Duration::from_secs(1));
    let (before, since) = (balancer.servers[0].health_checks(), Instant::now());
    std::thread::sleep(Duration::from_secs(3));
    let checked = (balancer.servers[0].health_checks() - before) as f64;
    let most = HEALTH_CHECKS_PER_SECOND_MAX * (since.elapsed().as_secs_f64() + 1.0) + 1.0;
    assert!(checked <= most, "{checked} health checks, {most} at most");
    let _open = serves_within_its_limits(&balancer);
    let before = balancer.servers[0].health_checks();
    wait_for("health checks of servers that hold its connections", || {
        balancer.servers[0].health_checks() > before + 10
    });
}
