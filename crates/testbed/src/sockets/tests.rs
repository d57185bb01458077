//! When a run on sockets counts as void.

use super::*;

#[test]
fn a_machine_that_cannot_keep_up_makes_a_run_void() {
    let mut late = vec![MS; 98];
    assert_eq!(too_slow(&late), None);
    late.extend([LATE + 1, LATE + 1]);
    assert_eq!(too_slow(&late), None, "a few");
    late.push(LATE + 1);
    assert!(too_slow(&late).unwrap().contains("3 of 101 ticks late"));
    assert!(too_slow(&[vec![0; 999], vec![LATEST + 1]].concat()).is_some());
}
