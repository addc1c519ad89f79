//! The adaptive limit on requests in flight.

use gaugesill::admission::AdmissionLimit;

#[test]
fn the_admission_limit_follows_measured_durations() {
    let mut limit = AdmissionLimit::new(500, 800);
    let start = limit.limit();
    for round in 0..20 {
        limit.record(2000, 50, 1000 * round);
    }
    assert!(limit.limit() < start / 2);
    let low = limit.limit();
    assert!(limit.admits(low - 1) && !limit.admits(low + 1));
    for round in 0..2000 {
        limit.record(5, limit.limit(), 30_000 + round);
    }
    assert!(limit.limit() > low);
}
