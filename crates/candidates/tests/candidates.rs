//! Spread, movement and agreement of candidates, counted over many keys.

use std::collections::{BTreeMap, BTreeSet};

use nettlemux_candidates::{Candidates, ServerId, ZoneId, hash};

const COUNT: usize = 16;
const ZONES: u64 = 31;

/// Servers 0.. of weight 1, in turn over so many zones.
fn servers(count: u64, zones: u64) -> Candidates {
    let mut candidates = Candidates::default();
    (0..count).for_each(|id| _ = candidates.insert(id, id % zones, 1.0));
    candidates
}

/// How often each server is a candidate of these keys, asked in all zones in turn.
fn appearances(
    candidates: &Candidates,
    keys: std::ops::Range<u64>,
    zones: u64,
) -> BTreeMap<ServerId, usize> {
    let mut seen = BTreeMap::new();
    for key in keys {
        for server in candidates.candidates(key, key % zones, COUNT) {
            *seen.entry(server).or_default() += 1;
        }
    }
    seen
}

/// Of the candidates before, the part that is none after; over so many keys and zones.
fn moved(
    before: &Candidates,
    after: &Candidates,
    zones: impl Iterator<Item = ZoneId> + Clone,
) -> f64 {
    let (mut gone, mut all) = (0, 0);
    for key in 0..100 {
        for zone in zones.clone() {
            let kept: BTreeSet<ServerId> = after.candidates(key, zone, COUNT).into_iter().collect();
            let old = before.candidates(key, zone, COUNT);
            gone += old.iter().filter(|server| !kept.contains(server)).count();
            all += old.len();
        }
    }
    gone as f64 / all as f64
}

#[test]
fn every_server_is_a_candidate_about_as_often() {
    // Some hundred appearances each, so that chance adds little to what the ring does.
    for (count, zones, keys_each) in [(600, 3, 20), (12_000, ZONES, 6)] {
        let candidates = servers(count, zones);
        let seen = appearances(&candidates, 0..count * keys_each, zones);
        let mean = (keys_each * COUNT as u64) as f64;
        let deviation = seen
            .values()
            .map(|times| (*times as f64 / mean - 1.0).powi(2))
            .sum::<f64>();
        let deviation = (deviation / count as f64).sqrt();
        assert_eq!(seen.len() as u64, count, "each is a candidate of some key");
        assert!(
            deviation < 0.3,
            "{count} servers: deviation {deviation:.3} of the mean"
        );
        let most = *seen.values().max().expect("some") as f64 / mean;
        assert!(
            most < 2.2,
            "{count} servers: the most frequent {most:.2} times the mean"
        );
    }
}

#[test]
fn weights_count_and_bad_ones_count_as_one() {
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
    let plain = servers(1_000, 1);
    for key in 0..200 {
        assert_eq!(
            candidates.candidates(key, 0, COUNT),
            plain.candidates(key, 0, COUNT)
        );
    }
    (0..500).for_each(|id| _ = candidates.insert(id, 0, 3.0));
    let seen = appearances(&candidates, 0..20_000, 1);
    let times = |ids: std::ops::Range<u64>| {
        ids.map(|id| seen.get(&id).copied().unwrap_or(0))
            .sum::<usize>()
    };
    let ratio = times(0..500) as f64 / times(500..1_000) as f64;
    assert!(
        (2.6..3.4).contains(&ratio),
        "three times the weight: {ratio:.2} times as often"
    );
}

#[test]
fn extreme_weights_stay_bounded_and_present() {
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

#[test]
fn from_one_server_to_fifty_thousand_the_answer_is_distinct_and_as_long_as_it_can_be() {
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
fn without_servers_there_is_no_candidate() {
    let mut candidates = Candidates::default();
    assert!(candidates.is_empty() && candidates.candidates(1, 0, COUNT).is_empty());
    candidates.insert(9, 0, 1.0);
    candidates.remove(9);
    candidates.remove(9);
    assert!(candidates.is_empty() && candidates.candidates(1, 0, COUNT).is_empty());
}

#[test]
fn own_zone_first_and_a_quarter_elsewhere_for_when_it_is_full() {
    let candidates = servers(6_000, ZONES);
    for key in 0..200 {
        let found = candidates.candidates(key, 5, COUNT);
        assert!(found[..12].iter().all(|id| id % ZONES == 5), "{found:?}");
        let far: BTreeSet<ZoneId> = found[12..].iter().map(|id| id % ZONES).collect();
        assert_eq!(far.len(), 4, "each of another zone: {found:?}");
        // A zone without servers gets what others have.
        assert_eq!(candidates.candidates(key, 99, COUNT).len(), COUNT);
    }
}

#[test]
fn further_zones_come_as_often_as_they_are_large() {
    let mut candidates = Candidates::default();
    (0..1_000).for_each(|id| _ = candidates.insert(id, 1, 1.0));
    (1_000..4_000).for_each(|id| _ = candidates.insert(id, 2, 1.0));
    let first = |key| candidates.candidates(key, 0, COUNT)[0] >= 1_000;
    let large = (0..4_000).filter(|key| first(*key)).count();
    assert!(
        (2_850..3_150).contains(&large),
        "{large} of 4000 for the zone of three in four servers"
    );
}

#[test]
fn a_larger_count_only_adds() {
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

#[test]
fn a_server_that_goes_or_comes_moves_its_own_share_only() {
    let before = servers(6_000, ZONES);
    let mut after = before.clone();
    after.remove(4_321);
    for key in 0..20_000 {
        let zone = key % ZONES;
        let old = before.candidates(key, zone, COUNT);
        let kept: BTreeSet<ServerId> = after.candidates(key, zone, COUNT).into_iter().collect();
        let gone: Vec<_> = old.iter().filter(|id| !kept.contains(id)).collect();
        // A zone's weight fell by a six thousandth, which may turn the order of two far zones.
        let far = gone
            .iter()
            .filter(|id| **id % ZONES != zone && **id != &4_321)
            .count();
        assert!(gone.len() - far <= 1 && far <= 4, "key {key}: {gone:?}");
        assert!(
            gone.iter().all(|id| **id == 4_321 || **id % ZONES != zone),
            "key {key}: {gone:?}"
        );
    }
    let part = moved(&before, &after, 0..ZONES);
    assert!(
        part < 4.0 / 6_000.0,
        "one of 6,000 moved {part:.5} of all candidates"
    );
    after.insert(4_321, 4_321 % ZONES, 1.0);
    assert_eq!(
        moved(&before, &after, 0..ZONES),
        0.0,
        "it comes back to where it was"
    );
}

#[test]
fn a_rack_that_goes_moves_little_more_than_its_share() {
    let before = servers(6_000, ZONES);
    let mut after = before.clone();
    // Forty servers of zone 7.
    (0..40).for_each(|i| _ = after.remove(7 + i * ZONES));
    let part = moved(&before, &after, 0..ZONES);
    assert!(part < 3.0 * 40.0 / 6_000.0, "{part:.4}");
    // Other zones' near candidates are untouched.
    for key in 0..500 {
        assert_eq!(
            before.candidates(key, 3, COUNT)[..12],
            after.candidates(key, 3, COUNT)[..12]
        );
    }
}

#[test]
fn a_zone_that_goes_spreads_over_the_others() {
    let before = servers(6_000, ZONES);
    let mut after = before.clone();
    (0..6_000)
        .filter(|id| id % ZONES == 7)
        .for_each(|id| _ = after.remove(id));
    let part = moved(&before, &after, (0..ZONES).filter(|zone| *zone != 7));
    assert!(part < 2.0 / ZONES as f64, "{part:.4}");
    let mut heirs: BTreeMap<ZoneId, usize> = BTreeMap::new();
    for key in 0..20_000 {
        *heirs
            .entry(after.candidates(key, 7, COUNT)[0] % ZONES)
            .or_default() += 1;
    }
    let most = *heirs.values().max().expect("some") as f64 / (20_000.0 / (ZONES - 1) as f64);
    assert!(
        heirs.len() == ZONES as usize - 1 && most < 1.3,
        "{most:.2} times the mean for one zone"
    );
}

#[test]
fn balancers_whose_lists_differ_by_some_entries_agree_on_nearly_all() {
    // Each misses 30 of 6,000, others than the other one; one heard of all in another order.
    let mut one = servers(6_000, ZONES);
    let mut other = Candidates::default();
    (0..6_000)
        .rev()
        .for_each(|id| _ = other.insert(id, id % ZONES, 1.0));
    assert_eq!(
        moved(&one, &other, 0..ZONES),
        0.0,
        "the order of news doesn't matter"
    );
    (0..30).for_each(|i| _ = one.remove(hash(i) % 6_000));
    (0..30).for_each(|i| _ = other.remove(hash(100 + i) % 6_000));
    let part = moved(&one, &other, 0..ZONES);
    assert!(part < 4.0 * 30.0 / 6_000.0, "{part:.4}");
    let homes = (0..2_000)
        .filter(|key| one.candidates(*key, 3, 1) == other.candidates(*key, 3, 1))
        .count();
    assert!(
        homes > 1_960,
        "{homes} of 2000 keys have the same first candidate"
    );
}

#[test]
fn balancers_are_no_input_so_one_that_comes_changes_nothing() {
    let (one, other) = (servers(6_000, ZONES), servers(6_000, ZONES));
    for key in 0..1_000 {
        assert_eq!(
            one.candidates(key, 1, COUNT),
            other.candidates(key, 1, COUNT)
        );
    }
}

#[test]
fn the_same_id_twice_is_one_server_with_the_last_word() {
    let mut candidates = servers(100, 2);
    let before = candidates.clone();
    candidates.insert(50, 0, 1.0);
    assert_eq!(candidates.len(), 100);
    assert_eq!(moved(&before, &candidates, 0..2), 0.0);
    // Another zone, another weight: it stands in one zone only.
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

#[test]
fn one_topic_of_390_000_listeners_spreads_over_as_many_servers_as_it_asks_for() {
    // 1,400 balancers over all zones, 279 listeners each: their shares of it sum over zones.
    let candidates = servers(6_000, ZONES);
    let mut held: BTreeMap<ServerId, usize> = BTreeMap::new();
    for balancer in 0..1_400 {
        let found = candidates.candidates(42, balancer % ZONES, 50);
        let near = &found[..38];
        (0..279).for_each(|i| {
            *held
                .entry(near[(balancer as usize + i) % near.len()])
                .or_default() += 1
        });
    }
    assert_eq!(held.len(), 38 * ZONES as usize);
    // A server holds some 10,000 connections.
    assert!(*held.values().max().expect("some") < 500);
}

#[test]
fn an_update_is_cheaper_than_a_rebuild() {
    // Counted, not timed: each point that changes is one step in a search tree.
    let ids = 0..12_000;
    let mut changed = Candidates::default();
    let all: usize = ids
        .clone()
        .map(|id| changed.insert(id, id % ZONES, 1.0))
        .sum();
    assert_eq!(changed.insert(76, 76 % ZONES, 1.0), 0, "no news, no work");
    let touched = changed.insert(77, 77 % ZONES, 2.5) + changed.remove(78);
    assert!(touched * 1_000 < all, "{touched} points of {all}");
    let mut built = Candidates::default();
    for id in ids.filter(|id| *id != 78) {
        built.insert(id, id % ZONES, if id == 77 { 2.5 } else { 1.0 });
    }
    assert_eq!(
        moved(&changed, &built, 0..ZONES),
        0.0,
        "and the answers are those of a rebuild"
    );
}
