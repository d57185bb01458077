//! The number of servers that a balancer with a long list considers and checks.

use std::collections::{BTreeMap, BTreeSet};

use nettlemux_candidates::{
    CandidateSet, FULL_SCAN_SERVERS_MAX, HealthCheckQueue, ServerId, ZoneReach,
};

const SEC: u64 = 1_000_000_000;
const TICK: u64 = SEC / 4;
const ZONES: u64 = 31;

fn candidate_set(servers: u64) -> CandidateSet {
    let mut candidates = CandidateSet::default();
    (0..servers).for_each(|id| candidates.insert(id, id % ZONES, 1.0));
    candidates
}

/// Guards against placements whose cost grows with the length of the list, also if a group is held
/// on every server.
#[test]
fn scope_is_bounded_for_lists_of_any_length() {
    for servers in [FULL_SCAN_SERVERS_MAX as u64 + 1, 600, 3_000, 12_000, 50_000] {
        let candidates = candidate_set(servers);
        for key in 0..200 {
            let zone = key % ZONES;
            assert!(
                candidates
                    .servers_for_key(key, zone, ZoneReach::OwnZone, [].into_iter())
                    .len()
                    <= 12
            );
            assert_eq!(
                candidates
                    .servers_for_key(key, zone, ZoneReach::AllZones, [].into_iter())
                    .len(),
                16,
                "{servers} servers"
            );
            // A group with ten connections on every server.
            let held: BTreeMap<ServerId, usize> = (0..servers).map(|id| (id, 10)).collect();
            let considered = candidates
                .servers_for_key(key, zone, ZoneReach::AllZones, held.iter())
                .len();
            assert!(
                considered <= 96,
                "{servers} servers: {considered} considered"
            );
            if key == 3 {
                break;
            }
        }
    }
}

/// Guards against a large group that fills its few candidates, and against a holder that is not
/// considered because it is no candidate of the key.
#[test]
fn scope_grows_with_own_connections_up_to_a_bound_and_contains_holders() {
    let candidates = candidate_set(6_000);
    let sizes = [0, 1, 40, 279, 100_000].map(|own| {
        let held = BTreeMap::from([(5_999, own)]);
        let scope = candidates.servers_for_key(1, 3, ZoneReach::AllZones, held.iter());
        assert!(scope.contains(&5_999) && scope.is_sorted());
        scope.len()
    });
    assert!(
        sizes.is_sorted() && sizes[0] < sizes[3] && sizes[4] <= 49,
        "{sizes:?}"
    );
}

#[test]
fn removed_server_is_not_in_scope() {
    let mut candidates = candidate_set(600);
    let first = candidates.servers_for_key(1, 3, ZoneReach::OwnZone, [].into_iter())[0];
    candidates.remove(first);
    assert!(
        !candidates
            .servers_for_key(1, 3, ZoneReach::AllZones, [].into_iter())
            .contains(&first)
    );
}

/// Guards against a balancer that scans a long list for every flow or gossip message: one scan
/// takes about 2 ms at 12,000 servers.
#[test]
fn list_scans_and_gossip_expiries_keep_to_their_rates() {
    let mut candidates = candidate_set(600);
    let scans = (0..10_000)
        .filter(|ms| candidates.try_begin_list_scan(ms * SEC / 1_000))
        .count();
    assert!((20..=22).contains(&scans), "{scans} list scans in 10 s");
    let expiries = (0..60_000)
        .filter(|ms| candidates.try_begin_gossip_expiry(ms * SEC / 1_000))
        .count();
    assert!(
        (6..=7).contains(&expiries),
        "{expiries} gossip expiries in 60 s"
    );
}

#[test]
fn longest_list_scanned_in_full_has_200_servers() {
    assert_eq!(FULL_SCAN_SERVERS_MAX, 200);
}

/// Runs the queue for this many seconds. `own` is the number of own connections of each server.
/// Returns the times at which each server was checked.
fn run_queue(
    queue: &mut HealthCheckQueue,
    own: &BTreeMap<ServerId, usize>,
    seconds: u64,
) -> BTreeMap<ServerId, Vec<u64>> {
    let mut checked: BTreeMap<ServerId, Vec<u64>> = BTreeMap::new();
    for tick in 1..=seconds * 4 {
        let now = 100 * SEC + tick * TICK;
        let last = |id| {
            Some(
                checked
                    .get(&id)
                    .and_then(|at| at.last().copied())
                    .unwrap_or(0),
            )
        };
        for server in queue.take_due(now, own, |held| *held, last) {
            checked.entry(server).or_default().push(now);
        }
    }
    checked
}

/// Guards against servers with few own connections that are never checked because a server with
/// many of them is always due first.
#[test]
fn server_with_most_own_connections_is_checked_most_and_all_are_checked() {
    let mut queue = HealthCheckQueue::default();
    let own: BTreeMap<ServerId, usize> = (0..100)
        .map(|id| (id, if id == 42 { 100 } else { 5 }))
        .collect();
    let checked = run_queue(&mut queue, &own, 100);
    let total: usize = checked.values().map(Vec::len).sum();
    assert!(
        (490..=510).contains(&total),
        "{total} checks in 100 s, expected half of the budget"
    );
    assert_eq!(checked.len(), 100, "not all servers were checked");
    assert!(
        checked[&42].len() > 20,
        "{} checks of the server with most own connections",
        checked[&42].len()
    );
}

/// Guards against an overloaded server whose next check waits behind those of all other servers,
/// and against budget spent on a server that was checked just before.
#[test]
fn rechecks_come_first_and_two_checks_of_a_server_are_two_seconds_apart() {
    let mut queue = HealthCheckQueue::default();
    let own: BTreeMap<ServerId, usize> = (0..6_000).map(|id| (id, 7)).collect();
    queue.recheck_soon(100 * SEC, 5_000);
    queue.recheck_soon(100 * SEC, 5_001);
    let checked = run_queue(&mut queue, &own, 3);
    let first = 102 * SEC;
    // The budget allows one or two checks a tick, so no other server is checked between these.
    assert_eq!(checked[&5_000][0], first);
    assert!(checked[&5_001][0] <= first + TICK);
    let gaps = checked
        .values()
        .flat_map(|at| at.windows(2).map(|pair| pair[1] - pair[0]));
    assert!(gaps.min().is_none_or(|least| least >= 2 * SEC));
}

#[test]
fn server_that_must_not_be_checked_is_skipped() {
    let mut queue = HealthCheckQueue::default();
    queue.recheck_soon(0, 1);
    let own = BTreeMap::from([(1, 5), (2, 5)]);
    assert_eq!(
        queue.take_due(100 * SEC, &own, |held| *held, |id| (id == 2).then_some(0)),
        [2]
    );
    assert!(
        queue
            .take_due(
                200 * SEC,
                &BTreeMap::<ServerId, usize>::new(),
                |held| *held,
                |_| None
            )
            .is_empty()
    );
}

/// Guards against flows that use up the whole budget: the overload of servers with own connections
/// would not be found.
#[test]
fn flows_and_servers_with_own_connections_each_get_half_of_the_budget() {
    let mut queue = HealthCheckQueue::default();
    let own: BTreeMap<ServerId, usize> = (0..600).map(|id| (id, 7)).collect();
    let (mut reserved, mut checked) = (0, BTreeSet::new());
    for tick in 0..80 {
        let now = 100 * SEC + tick * TICK;
        reserved += (0..20).filter(|_| queue.reserve(now, 1)).count();
        checked.extend(queue.take_due(
            now,
            &own,
            |held| *held,
            |id| Some(if checked.contains(&id) { now } else { 0 }),
        ));
    }
    assert!(
        (100..=105).contains(&reserved),
        "{reserved} checks reserved for flows in 20 s"
    );
    assert!(
        (100..=105).contains(&checked.len()),
        "{} servers with own connections checked in 20 s",
        checked.len()
    );
}
