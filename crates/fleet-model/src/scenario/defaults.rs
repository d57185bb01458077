//! Default values of the keys that a scenario file omits. Times are in seconds.

use super::IdempotencySetting;

pub(super) fn seed() -> u64 {
    1
}
pub(super) fn one() -> f64 {
    1.0
}
pub(super) fn death_notice() -> f64 {
    2.0
}
pub(super) fn slots() -> usize {
    100_000
}
pub(super) fn connection_rate() -> f64 {
    20.0
}
pub(super) fn message_time() -> f64 {
    0.015
}
pub(super) fn setup_time() -> f64 {
    0.01
}
pub(super) fn initial_capacity() -> f64 {
    0.35
}
pub(super) fn warm_up() -> f64 {
    8.0
}
pub(super) fn collapse_multiple() -> f64 {
    3.0
}
pub(super) fn collapse_window() -> f64 {
    3.0
}
pub(super) fn report_interval() -> f64 {
    0.5
}
pub(super) fn report_noise() -> f64 {
    0.03
}
pub(super) fn load_spread() -> f64 {
    0.5
}
pub(super) fn load_change_interval() -> f64 {
    10.0
}
pub(super) fn tries() -> usize {
    5
}
pub(super) fn retry_interval() -> f64 {
    0.5
}
pub(super) fn line_interval() -> f64 {
    2.0
}
pub(super) fn latency_objective() -> f64 {
    0.3
}
pub(super) fn deadline() -> f64 {
    2.0
}
pub(super) fn message_objective() -> f64 {
    0.2
}
pub(super) fn deduplication_window() -> f64 {
    10.0
}
pub(super) fn idempotency() -> IdempotencySetting {
    IdempotencySetting::Idempotent
}
