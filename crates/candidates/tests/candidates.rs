//! Evenness, stability and agreement of candidates, counted over many keys.

use std::collections::{BTreeMap, BTreeSet};

use nettlemux_candidates::{Candidates, ServerId, ZoneId, hash};

const COUNT: usize = 16;
const ZONES: u64 = 31;

/// Returns `count` servers of weight 1, assigned to the zones in turn.
fn servers(count: u64, zones: u64) -> Candidates {
    let mut candidates = Candidates::default();
    (0..count).for_each(|id| _ = candidates.insert(id, id % zones, 1.0));
    candidates
}

/// Counts for each server how many of these keys it is a candidate of. The caller's zone changes
/// from key to key.
fn candidate_frequencies(
    candidates: &Candidates,
    keys: std::ops::Range<u64>,
    zones: u64,
) -> BTreeMap<ServerId, usize> {
    let mut frequencies = BTreeMap::new();
    for key in keys {
        for server in candidates.candidates(key, key % zones, COUNT) {
            *frequencies.entry(server).or_default() += 1;
        }
    }
    frequencies
}

/// Returns the fraction of candidates before a change that are no longer candidates after it, over
/// 100 keys and these zones of callers.
fn moved_fraction(
    before: &Candidates,
    after: &Candidates,
    zones: impl Iterator<Item = ZoneId> + Clone,
) -> f64 {
    let (mut moved, mut all) = (0, 0);
    for key in 0..100 {
        for zone in zones.clone() {
            let kept: BTreeSet<ServerId> = after.candidates(key, zone, COUNT).into_iter().collect();
            let old = before.candidates(key, zone, COUNT);
            moved += old.iter().filter(|server| !kept.contains(server)).count();
            all += old.len();
        }
    }
    moved as f64 / all as f64
}

/// Guards against servers that get far more flows than others because the ring selects them as
/// candidates more often.
#[test]
fn servers_of_equal_weight_are_candidates_about_equally_often() {
    // Each server is a candidate some hundred times, so that chance adds little to the unevenness
    // of the ring.
    for (count, zones, keys_each) in [(600, 3, 20), (12_000, ZONES, 6)] {
        let candidates = servers(count, zones);
        let frequencies = candidate_frequencies(&candidates, 0..count * keys_each, zones);
        let mean = (keys_each * COUNT as u64) as f64;
        let deviation = frequencies
            .values()
            .map(|times| (*times as f64 / mean - 1.0).powi(2))
            .sum::<f64>();
        let deviation = (deviation / count as f64).sqrt();
        assert_eq!(
            frequencies.len() as u64,
            count,
            "some servers are candidates of no key"
        );
        assert!(
            deviation < 0.3,
            "{count} servers: standard deviation {deviation:.3} of the mean"
        );
        let most = *frequencies.values().max().expect("frequencies are empty") as f64 / mean;
        assert!(
            most < 2.2,
            "{count} servers: the most frequent {most:.2} times the mean"
        );
    }
}

/// Guards against an endpoint list with an unusable weight that removes a server from placement or
/// gives it all flows.
#[test]
fn candidate_frequency_follows_weights_and_unusable_weights_count_as_one() {
    let mut candidates = servers(1_000, 1);
    for (id, weight) in [
        (0, 0.0),
        (1, f64::NAN),
        (2, -5.0),
        (3, f64::INFINITY),
        (4, f64::NEG_INFINITY),
        (5, -0.0),
    ] {
        candidates.insert(id, 0, weight);
    }
    let of_weight_one = servers(1_000, 1);
    for key in 0..200 {
        assert_eq!(
            candidates.candidates(key, 0, COUNT),
            of_weight_one.candidates(key, 0, COUNT)
        );
    }
    (0..500).for_each(|id| _ = candidates.insert(id, 0, 3.0));
    let frequencies = candidate_frequencies(&candidates, 0..20_000, 1);
    let total = |ids: std::ops::Range<u64>| {
        ids.map(|id| frequencies.get(&id).copied().unwrap_or(0))
            .sum::<usize>()
    };
    let ratio = total(0..500) as f64 / total(500..1_000) as f64;
    assert!(
        (2.6..3.4).contains(&ratio),
        "servers of weight 3 are candidates {ratio:.2} times as often as those of weight 1"
    );
}

/// Guards against the largest weights using up memory by their number of points, and against the
/// least weights leaving a server without any point.
#[test]
fn extreme_weights_neither_exhaust_memory_nor_drop_servers() {
    let mut candidates = Candidates::default();
    for id in 0..50_000 {
        candidates.insert(
            id,
            id % ZONES,
            if id % 2 == 0 {
                f64::MAX
            } else {
                f64::MIN_POSITIVE
            },
        );
    }
    assert_eq!(candidates.len(), 50_000);
    assert_eq!(candidates.candidates(1, 1, COUNT).len(), COUNT);
}

/// For lists of 1 to 50,000 servers, in one zone or several.
#[test]
fn candidates_are_distinct_and_as_many_as_asked_for_or_listed() {
    for count in [1, 2, 3, 15, 16, 17, 200, 3_000, 50_000] {
        for zones in [1, 2, ZONES] {
            let candidates = servers(count, zones);
            assert_eq!(candidates.len() as u64, count);
            for key in 0..50 {
                for want in [0, 1, 4, COUNT, 64] {
                    let found = candidates.candidates(key, key % zones, want);
                    let distinct: BTreeSet<ServerId> = found.iter().copied().collect();
                    assert_eq!(
                        distinct.len(),
                        found.len(),
                        "{count} servers, {zones} zones: {found:?}"
                    );
                    assert_eq!(
                        found.len(),
                        want.min(count as usize),
                        "{count} servers, {zones} zones"
                    );
                }
            }
        }
    }
}

#[test]
fn empty_list_has_no_candidates() {
    let mut candidates = Candidates::default();
    assert!(candidates.is_empty() && candidates.candidates(1, 0, COUNT).is_empty());
    candidates.insert(9, 0, 1.0);
    candidates.remove(9);
    candidates.remove(9);
    assert!(candidates.is_empty() && candidates.candidates(1, 0, COUNT).is_empty());
}

/// Guards against a key without any server with room when its caller's zone is full.
#[test]
fn first_three_quarters_are_in_the_own_zone_and_the_rest_in_distinct_other_zones() {
    let candidates = servers(6_000, ZONES);
    for key in 0..200 {
        let found = candidates.candidates(key, 5, COUNT);
        assert!(found[..12].iter().all(|id| id % ZONES == 5), "{found:?}");
        let other_zones: BTreeSet<ZoneId> = found[12..].iter().map(|id| id % ZONES).collect();
        assert_eq!(
            other_zones.len(),
            4,
            "two candidates are in the same other zone: {found:?}"
        );
        // A caller whose zone has no servers gets servers of other zones.
        assert_eq!(candidates.candidates(key, 99, COUNT).len(), COUNT);
    }
}

/// Guards against small zones that get as many flows from other zones as large ones and overload.
#[test]
fn other_zones_come_first_in_proportion_to_their_size() {
    let mut candidates = Candidates::default();
    (0..1_000).for_each(|id| _ = candidates.insert(id, 1, 1.0));
    (1_000..4_000).for_each(|id| _ = candidates.insert(id, 2, 1.0));
    let is_large_zone_first = |key| candidates.candidates(key, 0, COUNT)[0] >= 1_000;
    let large = (0..4_000).filter(|key| is_large_zone_first(*key)).count();
    assert!(
        (2_850..3_150).contains(&large),
        "the zone with three quarters of the servers comes first for {large} of 4000 keys"
    );
}

/// Guards against balancers that ask for different counts, because they hold different numbers of
/// connections, and then disagree on the servers of a group.
#[test]
fn larger_count_only_adds_candidates() {
    for (count, zones) in [(40, 3), (600, 3), (6_000, ZONES)] {
        let candidates = servers(count, zones);
        for key in 0..200 {
            let mut last = BTreeSet::new();
            for want in 1..=64 {
                let next: BTreeSet<ServerId> = candidates
                    .candidates(key, key % zones, want)
                    .into_iter()
                    .collect();
                assert!(
                    last.is_subset(&next),
                    "{count} servers, key {key}, {want}: {last:?} {next:?}"
                );
                last = next;
            }
        }
    }
}

/// Guards against a change of one server that moves the groups of other servers.
#[test]
fn removing_and_adding_one_server_moves_its_own_share_only() {
    let before = servers(6_000, ZONES);
    let mut after = before.clone();
    after.remove(4_321);
    for key in 0..20_000 {
        let zone = key % ZONES;
        let old = before.candidates(key, zone, COUNT);
        let kept: BTreeSet<ServerId> = after.candidates(key, zone, COUNT).into_iter().collect();
        let moved: Vec<_> = old.iter().filter(|id| !kept.contains(id)).collect();
        // The zone's weight fell by a six thousandth of the total, which may swap two other zones
        // in the key's order.
        let in_other_zones = moved
            .iter()
            .filter(|id| **id % ZONES != zone && **id != &4_321)
            .count();
        assert!(
            moved.len() - in_other_zones <= 1 && in_other_zones <= 4,
            "key {key}: {moved:?}"
        );
        assert!(
            moved.iter().all(|id| **id == 4_321 || **id % ZONES != zone),
            "key {key}: {moved:?}"
        );
    }
    let fraction = moved_fraction(&before, &after, 0..ZONES);
    assert!(
        fraction < 4.0 / 6_000.0,
        "removing one of 6,000 servers moved {fraction:.5} of all candidates"
    );
    after.insert(4_321, 4_321 % ZONES, 1.0);
    assert_eq!(
        moved_fraction(&before, &after, 0..ZONES),
        0.0,
        "adding the server again did not restore the candidates"
    );
}

/// Guards against the loss of a rack that moves the groups of servers elsewhere.
#[test]
fn removing_a_rack_moves_little_more_than_its_share() {
    let before = servers(6_000, ZONES);
    let mut after = before.clone();
    // The rack: forty servers of zone 7.
    (0..40).for_each(|i| _ = after.remove(7 + i * ZONES));
    let fraction = moved_fraction(&before, &after, 0..ZONES);
    assert!(
        fraction < 3.0 * 40.0 / 6_000.0,
        "{fraction:.4} of all candidates moved"
    );
    // In other zones the candidates in the own zone stay.
    for key in 0..500 {
        assert_eq!(
            before.candidates(key, 3, COUNT)[..12],
            after.candidates(key, 3, COUNT)[..12]
        );
    }
}

/// Guards against the loss of a zone whose flows all go to one other zone and overload it.
#[test]
fn flows_of_a_removed_zone_spread_evenly_over_the_others() {
    let before = servers(6_000, ZONES);
    let mut after = before.clone();
    (0..6_000)
        .filter(|id| id % ZONES == 7)
        .for_each(|id| _ = after.remove(id));
    let fraction = moved_fraction(&before, &after, (0..ZONES).filter(|zone| *zone != 7));
    assert!(
        fraction < 2.0 / ZONES as f64,
        "{fraction:.4} of all candidates moved"
    );
    let mut first_zones: BTreeMap<ZoneId, usize> = BTreeMap::new();
    for key in 0..20_000 {
        *first_zones
            .entry(after.candidates(key, 7, COUNT)[0] % ZONES)
            .or_default() += 1;
    }
    let most = *first_zones.values().max().expect("no zone came first") as f64
        / (20_000.0 / (ZONES - 1) as f64);
    assert!(
        first_zones.len() == ZONES as usize - 1 && most < 1.3,
        "one zone comes first {most:.2} times as often as the mean"
    );
}

/// Guards against balancers that send a group to different servers because their lists differ for a
/// while or were updated in another order.
#[test]
fn balancers_whose_lists_differ_slightly_agree_on_nearly_all_candidates() {
    // The lists have the same servers, added in a different order.
    let mut one = servers(6_000, ZONES);
    let mut other = Candidates::default();
    (0..6_000)
        .rev()
        .for_each(|id| _ = other.insert(id, id % ZONES, 1.0));
    assert_eq!(
        moved_fraction(&one, &other, 0..ZONES),
        0.0,
        "candidates depend on the order of insertion"
    );
    // Each list now lacks up to 30 of the 6,000 servers, chosen independently.
    (0..30).for_each(|i| _ = one.remove(hash(i) % 6_000));
    (0..30).for_each(|i| _ = other.remove(hash(100 + i) % 6_000));
    let fraction = moved_fraction(&one, &other, 0..ZONES);
    assert!(
        fraction < 4.0 * 30.0 / 6_000.0,
        "the lists differ in {fraction:.4} of all candidates"
    );
    let same_first = (0..2_000)
        .filter(|key| one.candidates(*key, 3, 1) == other.candidates(*key, 3, 1))
        .count();
    assert!(
        same_first > 1_960,
        "{same_first} of 2000 keys have the same first candidate"
    );
}

/// Candidates depend on the list only, so that starting or stopping a balancer moves no group.
#[test]
fn balancers_with_the_same_list_have_the_same_candidates() {
    let (one, other) = (servers(6_000, ZONES), servers(6_000, ZONES));
    for key in 0..1_000 {
        assert_eq!(
            one.candidates(key, 1, COUNT),
            other.candidates(key, 1, COUNT)
        );
    }
}

/// Guards against a server that is listed again and then stands in two zones, or with two weights.
#[test]
fn server_that_is_inserted_again_has_its_last_zone_and_weight_only() {
    let mut candidates = servers(100, 2);
    let before = candidates.clone();
    candidates.insert(50, 0, 1.0);
    assert_eq!(candidates.len(), 100);
    assert_eq!(moved_fraction(&before, &candidates, 0..2), 0.0);
    // With another zone and weight the server is in its new zone only.
    candidates.insert(50, 1, 2.0);
    assert_eq!(candidates.len(), 100);
    assert!(!candidates.candidates(1, 0, 100)[..49].contains(&50));
    assert_eq!(
        candidates
            .candidates(1, 0, 100)
            .iter()
            .filter(|id| **id == 50)
            .count(),
        1
    );
    candidates.remove(50);
    assert!(!candidates.candidates(1, 1, 100).contains(&50));
}

/// Guards against a group of 390,000 connections that fills a few servers: 1,400 balancers over all
/// zones hold 279 connections of it each.
#[test]
fn connections_of_a_very_large_group_spread_over_candidates_in_all_zones() {
    let candidates = servers(6_000, ZONES);
    let mut held: BTreeMap<ServerId, usize> = BTreeMap::new();
    for balancer in 0..1_400 {
        let found = candidates.candidates(42, balancer % ZONES, 50);
        let in_zone = &found[..38];
        (0..279).for_each(|i| {
            *held
                .entry(in_zone[(balancer as usize + i) % in_zone.len()])
                .or_default() += 1
        });
    }
    assert_eq!(held.len(), 38 * ZONES as usize);
    // A server holds about 10,000 connections in all.
    assert!(*held.values().max().expect("no server holds a connection") < 500);
}

/// Guards against updates of a long list that cost as much as building it anew. The cost is counted
/// in points that change, each of which is one operation on a search tree.
#[test]
fn update_changes_far_fewer_points_than_a_rebuild_and_gives_the_same_candidates() {
    let ids = 0..12_000;
    let mut changed = Candidates::default();
    let all: usize = ids
        .clone()
        .map(|id| changed.insert(id, id % ZONES, 1.0))
        .sum();
    assert_eq!(
        changed.insert(76, 76 % ZONES, 1.0),
        0,
        "inserting an unchanged server changed points"
    );
    let updated = changed.insert(77, 77 % ZONES, 2.5) + changed.remove(78);
    assert!(
        updated * 1_000 < all,
        "the update changed {updated} of {all} points"
    );
    let mut rebuilt = Candidates::default();
    for id in ids.filter(|id| *id != 78) {
        rebuilt.insert(id, id % ZONES, if id == 77 { 2.5 } else { 1.0 });
    }
    assert_eq!(
        moved_fraction(&changed, &rebuilt, 0..ZONES),
        0.0,
        "candidates after the update differ from those of a rebuild"
    );
}
