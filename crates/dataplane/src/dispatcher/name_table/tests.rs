//! Numbers by hash: the same in any order of arrival, unique on a collision.

use super::*;

#[test]
fn a_server_has_the_same_number_whatever_was_told_before_it() {
    let names = ["s-5be2a07c", "s-023359c9", "s-02bf5bf7", ""];
    let (mut one, mut other) = (NameTable::default(), NameTable::default());
    let numbers = names.map(|name| one.number_by_hash(name));
    let reversed: Vec<u64> = names
        .iter()
        .rev()
        .map(|name| other.number_by_hash(name))
        .rev()
        .collect();
    assert_eq!(numbers.as_slice(), reversed);
    assert_eq!(names.map(|name| one.number_by_hash(name)), numbers);
    assert_eq!(
        one.number_by_hash("a"),
        0xaf63_dc4c_8601_ec8c,
        "the published value"
    );
    // Two names with one number stay two servers.
    let mut taken = NameTable {
        numbers: HashMap::from([("another".to_string(), numbers[0])]),
    };
    assert_eq!(taken.number_by_hash(names[0]), numbers[0] + 1);
}
