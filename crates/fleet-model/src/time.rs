//! Conversion between the seconds that scenarios are written in and the model's nanoseconds.

use nettlemux_policy::{SEC, Time};

/// Converts seconds to nanoseconds. A negative or undefined span is none.
pub fn seconds(seconds: f64) -> Time {
    (seconds.max(0.0) * SEC as f64) as Time
}
