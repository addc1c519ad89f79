//! Conversion between seconds and milliseconds.

/// Converts seconds to whole milliseconds, rounded down. Negative durations become 0.
pub(crate) fn to_ms(seconds: f64) -> u64 {
    (seconds.max(0.0) * 1000.0) as u64
}

/// Converts milliseconds to seconds.
pub(crate) fn ms_to_s(milliseconds: u64) -> f64 {
    milliseconds as f64 / 1000.0
}
