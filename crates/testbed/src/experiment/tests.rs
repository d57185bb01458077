//! Estimates of means and their confidence intervals.

use super::*;

#[test]
fn confidence_intervals_follow_students_t_distribution() {
    assert_eq!(
        estimate(&[2.0]),
        Estimate {
            mean: 2.0,
            confidence_half_width: None
        }
    );
    let two = estimate(&[1.0, 3.0]);
    // t with one degree of freedom at 97.5 % is 12.706.
    assert!(
        (two.mean - 2.0).abs() < 1e-12
            && (two.confidence_half_width.unwrap() - 12.706).abs() < 0.01
    );
}
