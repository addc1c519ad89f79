//! The limit on requests in progress.

use gaugesill::admission::AdmissionLimit;

#[test]
fn the_admission_limit_follows_measured_times() {
    let mut a = AdmissionLimit::new(500, 800);
    let start = a.limit();
    for n in 0..20 {
        a.record(2000, 50, 1000 * n);
    }
    assert!(a.limit() < start / 2);
    let low = a.limit();
    assert!(a.admits(low - 1) && !a.admits(low + 1));
    for n in 0..2000 {
        a.record(5, a.limit(), 30_000 + n);
    }
    assert!(a.limit() > low);
}
