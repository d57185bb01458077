//! Tests of numbers by hash: the same in any order of arrival, and unique on a collision.

use super::*;

#[test]
fn a_name_gets_the_same_number_in_any_order_of_arrival() {
    let names = ["s-5be2a07c", "s-023359c9", "s-02bf5bf7", ""];
    let (mut forward_table, mut reverse_table) = (NameTable::default(), NameTable::default());
    let numbers = names.map(|name| forward_table.number_by_hash(name));
    let reversed: Vec<u64> = names
        .iter()
        .rev()
        .map(|name| reverse_table.number_by_hash(name))
        .rev()
        .collect();
    assert_eq!(numbers.as_slice(), reversed);
    assert_eq!(
        names.map(|name| forward_table.number_by_hash(name)),
        numbers
    );
    assert_eq!(
        forward_table.number_by_hash("a"),
        0xaf63_dc4c_8601_ec8c,
        "published FNV-1a test vector"
    );
    // Two names with the same hash get different numbers.
    let mut table = NameTable {
        numbers: HashMap::from([("another".to_string(), numbers[0])]),
    };
    assert_eq!(table.number_by_hash(names[0]), numbers[0] + 1);
}
