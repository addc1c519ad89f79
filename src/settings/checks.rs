//! Validation of single values, shared by several settings.

use super::SettingsError;

/// Requires a finite number above 0.
pub(super) fn check_positive(field: &'static str, value: f64) -> Result<(), SettingsError> {
    if value.is_finite() && value > 0.0 {
        return Ok(());
    }
    let problem = format!("must be a number above 0, not {value}");
    Err(SettingsError::invalid(field, problem))
}

/// Requires a finite number of at least 0.
pub(super) fn check_not_negative(field: &'static str, value: f64) -> Result<(), SettingsError> {
    if value.is_finite() && value >= 0.0 {
        return Ok(());
    }
    Err(SettingsError::invalid(field, "must be 0 or more"))
}
