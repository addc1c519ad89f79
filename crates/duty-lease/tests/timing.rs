//! The validation of a lease's timing.

use duty_lease::LeaseTiming;

/// Timings that leave no time for orders, or that the store does not allow, are rejected with the
/// field's name.
#[test]
fn invalid_timings_are_rejected() {
    assert_eq!(LeaseTiming::new(3000).check(), Ok(()));
    for ttl_ms in [0, 99, 600_001] {
        let timing = LeaseTiming::new(ttl_ms);
        let error = timing.check().expect_err("a time to live out of range");
        assert!(error.to_string().starts_with("life_ms: "), "{error}");
    }
    for share in [0.0, 0.75, f64::NAN, -1.0] {
        let timing = LeaseTiming {
            safety_share: share,
            ..LeaseTiming::new(3000)
        };
        let error = timing.check().expect_err("a share out of range");
        assert!(error.to_string().starts_with("safety_share: "), "{error}");
    }
}
