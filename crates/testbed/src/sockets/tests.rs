//! Tests of when a run on sockets is void.

use super::*;

#[test]
fn late_ticks_beyond_the_limits_make_a_run_void() {
    let mut delays = vec![MS; 98];
    assert_eq!(too_slow(&delays), None);
    delays.extend([LATE_TICK_THRESHOLD + 1, LATE_TICK_THRESHOLD + 1]);
    assert_eq!(too_slow(&delays), None, "a few late ticks");
    delays.push(LATE_TICK_THRESHOLD + 1);
    assert!(too_slow(&delays).unwrap().contains("3 of 101 ticks late"));
    assert!(too_slow(&[vec![0; 999], vec![TICK_DELAY_MAX + 1]].concat()).is_some());
}
