//! Which ids are remembered when many flows have ended.

use super::*;

/// Memory for 2,000 ids in a generation.
const MEMORY_BYTES: usize = 2000 * REMEMBERED_ID_BYTES * SIZED_GENERATIONS;

/// Reserves an id and ends its flow. Returns whether the id was new.
fn end_flow(ids: &Arc<ClientIds>, id: &str, repeat_effect: RepeatEffect) -> bool {
    ids.reserve(id)
        .map(|mut reserved| reserved.repeat_effect = repeat_effect)
        .is_some()
}

#[test]
fn an_id_is_known_while_its_flow_lasts_and_after_its_end() {
    let ids = ClientIds::new(MEMORY_BYTES);
    let reserved = ids.reserve("a");
    assert!(ids.reserve("a").is_none());
    drop(reserved);
    assert!(ids.reserve("a").is_none() && ids.reserve("b").is_some());
}

/// Guards against an id that runs twice because a client has used many other ids meanwhile, whatever
/// became of their flows.
#[test]
fn ids_are_forgotten_only_for_as_many_ids_of_the_same_kind() {
    use RepeatEffect::{FirstRun, Harmful, Harmless};
    for (kind, others) in [
        (Harmful, [FirstRun, Harmless]),
        (Harmless, [FirstRun, Harmful]),
        (FirstRun, [Harmless, Harmful]),
    ] {
        let ids = ClientIds::new(MEMORY_BYTES);
        assert!(end_flow(&ids, "first", kind));
        for (name, other) in ["x", "y"].into_iter().zip(others) {
            for n in 0..20_000 {
                assert!(end_flow(&ids, &format!("{name}{n}"), other));
            }
        }
        let generation = ids.known().ended(kind).generation_max;
        for n in 1..generation {
            assert!(end_flow(&ids, &format!("z{n}"), kind));
        }
        assert!(!end_flow(&ids, "first", kind), "{kind:?}");
    }
}

/// Guards against memory that grows with the number of clients.
#[test]
fn remembered_ids_are_limited_by_the_memory_and_not_by_their_length() {
    let ids = ClientIds::new(MEMORY_BYTES);
    let long = "i".repeat(4000);
    for effect in [
        RepeatEffect::FirstRun,
        RepeatEffect::Harmless,
        RepeatEffect::Harmful,
    ] {
        for n in 0..10_000 {
            assert!(end_flow(&ids, &format!("{effect:?}{n}{long}"), effect));
        }
        let mut known = ids.known();
        let recent = known.ended(effect);
        let remembered = recent.younger.len() + recent.older.len();
        assert!((1024..=4000).contains(&remembered), "{remembered}");
    }
    assert!(ids.known().in_use.is_empty());
}
