//! Descriptors and memory: low limits and long endpoint lists.

mod common;

use std::time::{Duration, Instant};

use common::{Client, TestBalancer, wait_for, with_settings};
use serde_json::json;

/// Guards against clients that get no answer at the descriptor limit, and against health checks
/// that stop there, so that no client is served later.
#[test]
fn clients_at_the_descriptor_limit_are_answered_and_later_ones_are_served_again() {
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
        "expected more than 5 UP, more than 5 BUSY and nothing else: {answers:?}"
    );
    drop(clients);
    wait_for("free descriptors", || {
        balancer.client("c=chat,d=900").next_line_is("UP 1")
    });
}

/// Guards against servers that are never checked, or that are assumed unresponsive, if there are
/// more servers than descriptors for health checks.
#[test]
fn all_servers_are_checked_if_there_are_more_than_descriptors_for_health_checks() {
    let balancer = TestBalancer::with_config(40, |config| {
        config.replace("\"sockets\": 1024", "\"sockets\": 256")
    });
    wait_for("two health checks of each", || {
        balancer
            .servers
            .iter()
            .all(|server| server.health_check_count() >= 2)
    });
    let open = std::fs::read_dir(format!("/proc/{}/fd", balancer.process.id()))
        .unwrap()
        .count();
    assert!(
        open < 60,
        "expected fewer than 60 descriptors while no client is served, found {open}"
    );
    assert_eq!(balancer.client("c=chat,d=900").read_line(), "UP 1");
}

/// Starts a balancer with 256 descriptors and 32 MB, in a deployment with as many balancers as
/// servers. All listed servers are the same process.
fn start_small_balancer(servers: usize) -> TestBalancer {
    let balancer = TestBalancer::with_config(1, |config| {
        let small = config
            .replace("\"sockets\": 1024", "\"sockets\": 256")
            .replace("\"memory_mb\": 192", "\"memory_mb\": 32");
        with_settings(&small, &[("replicas-of-me", json!(servers))])
    });
    for n in 1..servers {
        balancer
            .agent
            .publish(&format!("s-{n:04}"), balancer.servers[0].address, "Ready");
    }
    balancer
}

/// Asserts that at least 50 of 60 clients, each of another group, are served within the limits of
/// memory and descriptors. Returns the open clients.
fn assert_serves_within_limits(balancer: &TestBalancer) -> Vec<Client> {
    let mut open: Vec<Client> = Vec::new();
    let served = (0..60).filter(|n| {
        open.push(balancer.client(&format!("c=chat,d=2000,g=r{n}")));
        open.last_mut().unwrap().next_line_is("UP 1")
    });
    let served = served.count();
    let kb = balancer.peak_memory_kb();
    let descriptors = std::fs::read_dir(format!("/proc/{}/fd", balancer.process.id()))
        .unwrap()
        .count();
    assert!(
        served >= 50 && kb < 32 << 10 && descriptors <= 256,
        "expected at least 50 of 60 clients served within 32 MB and 256 descriptors, \
         found {served} served, {kb} KB, {descriptors} descriptors"
    );
    open
}

/// 200 servers is the longest list of which the balancer checks every server, and checks it again.
#[test]
fn list_of_200_servers_is_fully_checked_within_32_mb_and_256_descriptors() {
    let balancer = start_small_balancer(200);
    wait_for("health checks", || {
        balancer.servers[0].health_check_count() > 300
    });
    let _open = assert_serves_within_limits(&balancer);
}

/// Guards against a long endpoint list that makes the balancer too large or too slow: 1,024 servers
/// with the lowest memory and descriptor limits that the platform sets. Before any client connects,
/// the balancer must keep to the budget of health checks, which is ten per second and at most one
/// second's worth saved up. Afterwards it must go on checking servers that hold its connections.
#[test]
fn list_of_1024_servers_is_served_within_32_mb_and_256_descriptors() {
    const HEALTH_CHECKS_PER_SECOND_MAX: f64 = 10.0;
    let balancer = start_small_balancer(1024);
    // Health checks made before the whole list was known don't count.
    std::thread::sleep(Duration::from_secs(1));
    let (before, since) = (balancer.servers[0].health_check_count(), Instant::now());
    std::thread::sleep(Duration::from_secs(3));
    let checked = (balancer.servers[0].health_check_count() - before) as f64;
    let allowed = HEALTH_CHECKS_PER_SECOND_MAX * (since.elapsed().as_secs_f64() + 1.0) + 1.0;
    assert!(
        checked <= allowed,
        "expected at most {allowed} health checks, found {checked}"
    );
    let _open = assert_serves_within_limits(&balancer);
    let before = balancer.servers[0].health_check_count();
    wait_for("health checks of servers that hold its connections", || {
        balancer.servers[0].health_check_count() > before + 10
    });
}
