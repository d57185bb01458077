//! What a balancer keeps of a long list: how many servers it looks at and checks.

use std::collections::{BTreeMap, BTreeSet};

use nettlemux_candidates::{CandidateSet, HealthCheckQueue, ServerId, WHOLE_LIST_MAX, ZoneReach};

const SEC: u64 = 1_000_000_000;
const TICK: u64 = SEC / 4;
const ZONES: u64 = 31;

fn candidate_set(servers: u64) -> CandidateSet {
    let mut list = CandidateSet::default();
    (0..servers).for_each(|id| list.insert(id, id % ZONES, 1.0));
    list
}

#[test]
fn the_servers_looked_at_for_a_flow_are_few_however_long_the_list() {
    for servers in [WHOLE_LIST_MAX as u64 + 1, 600, 3_000, 12_000, 50_000] {
        let list = candidate_set(servers);
        for key in 0..200 {
            let zone = key % ZONES;
            assert!(
                list.scope(key, zone, ZoneReach::OwnZone, [].into_iter())
                    .len()
                    <= 12
            );
            assert_eq!(
                list.scope(key, zone, ZoneReach::AllZones, [].into_iter())
                    .len(),
                16,
                "{servers} servers"
            );
            // A group held on every server, with ten connections on each.
            let held: BTreeMap<ServerId, usize> = (0..servers).map(|id| (id, 10)).collect();
            let looked_at = list
                .scope(key, zone, ZoneReach::AllZones, held.iter())
                .len();
            assert!(looked_at <= 96, "{servers} servers: {looked_at}");
            if key == 3 {
                break;
            }
        }
    }
}

#[test]
fn more_own_connections_of_a_key_bring_more_candidates_and_holders_are_among_them() {
    let list = candidate_set(6_000);
    let sizes = [0, 1, 40, 279, 100_000].map(|own| {
        let held = BTreeMap::from([(5_999, own)]);
        let scope = list.scope(1, 3, ZoneReach::AllZones, held.iter());
        assert!(scope.contains(&5_999) && scope.is_sorted());
        scope.len()
    });
    assert!(
        sizes.is_sorted() && sizes[0] < sizes[3] && sizes[4] <= 49,
        "{sizes:?}"
    );
}

#[test]
fn a_server_that_is_not_ready_is_no_candidate() {
    let mut list = candidate_set(600);
    let first = list.scope(1, 3, ZoneReach::OwnZone, [].into_iter())[0];
    list.remove(first);
    assert!(
        !list
            .scope(1, 3, ZoneReach::AllZones, [].into_iter())
            .contains(&first)
    );
}

#[test]
fn the_whole_list_is_walked_seldom() {
    let mut list = candidate_set(600);
    let walks = (0..10_000)
        .filter(|ms| list.may_walk_list(ms * SEC / 1_000))
        .count();
    assert!((20..=22).contains(&walks), "{walks} in 10 s");
    let sweeps = (0..60_000)
        .filter(|ms| list.may_expire_gossip(ms * SEC / 1_000))
        .count();
    assert!((6..=7).contains(&sweeps), "{sweeps} in a minute");
}

#[test]
fn lists_of_200_are_looked_at_whole() {
    assert_eq!(WHOLE_LIST_MAX, 200);
}

/// Plays so many seconds of a queue over servers with so many own connections; returns when each
/// was checked.
fn play(
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

#[test]
fn largest_own_load_is_checked_most_and_nobody_is_left_out() {
    let mut queue = HealthCheckQueue::default();
    let own: BTreeMap<ServerId, usize> = (0..100)
        .map(|id| (id, if id == 42 { 100 } else { 5 }))
        .collect();
    let checked = play(&mut queue, &own, 100);
    let total: usize = checked.values().map(Vec::len).sum();
    assert!(
        (490..=510).contains(&total),
        "half of the budget: {total} in 100 s"
    );
    assert_eq!(checked.len(), 100, "each is checked");
    assert!(
        checked[&42].len() > 20,
        "{} checks of the largest",
        checked[&42].len()
    );
}

#[test]
fn overloaded_servers_come_first_and_again_no_sooner_than_in_two_seconds() {
    let mut queue = HealthCheckQueue::default();
    let own: BTreeMap<ServerId, usize> = (0..6_000).map(|id| (id, 7)).collect();
    queue.recheck_soon(100 * SEC, 5_000);
    queue.recheck_soon(100 * SEC, 5_001);
    let checked = play(&mut queue, &own, 3);
    let first = 102 * SEC;
    // The budget allows one or two a tick: nobody else comes between them.
    assert_eq!(checked[&5_000][0], first);
    assert!(checked[&5_001][0] <= first + TICK);
    let gaps = checked
        .values()
        .flat_map(|at| at.windows(2).map(|pair| pair[1] - pair[0]));
    assert!(gaps.min().is_none_or(|least| least >= 2 * SEC));
}

#[test]
fn a_server_that_may_not_be_checked_costs_nothing() {
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

#[test]
fn flows_and_own_servers_have_half_of_the_budget_each() {
    let mut queue = HealthCheckQueue::default();
    let own: BTreeMap<ServerId, usize> = (0..600).map(|id| (id, 7)).collect();
    let (mut paid, mut sent) = (0, BTreeSet::new());
    for tick in 0..80 {
        let now = 100 * SEC + tick * TICK;
        paid += (0..20).filter(|_| queue.reserve(now, 1)).count();
        sent.extend(queue.take_due(
            now,
            &own,
            |held| *held,
            |id| Some(if sent.contains(&id) { now } else { 0 }),
        ));
    }
    assert!((100..=105).contains(&paid), "{paid} in 20 s");
    assert!((100..=105).contains(&sent.len()), "{} in 20 s", sent.len());
}
