//! Conversion from seconds, which scenarios use, to nanoseconds, which the model uses.

use nettlemux_policy::{SEC, Time};

/// Converts seconds to nanoseconds. A negative duration or NaN gives 0.
pub fn seconds(seconds: f64) -> Time {
    (seconds.max(0.0) * SEC as f64) as Time
}
