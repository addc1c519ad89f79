//! Conversion between units of time.

/// Seconds as whole milliseconds; negative ones count as none.
pub(crate) fn to_ms(seconds: f64) -> u64 {
    (seconds.max(0.0) * 1000.0) as u64
}
