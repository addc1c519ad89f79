//! Access to CBOR values by field names.

use ciborium::Value;

/// A field of a map.
pub(super) fn field<'a>(value: &'a Value, name: &str) -> Option<&'a Value> {
    let found = value
        .as_map()?
        .iter()
        .find(|(key, _)| key.as_text() == Some(name));
    found.map(|(_, value)| value)
}

/// A value that is a non-negative integer.
pub(super) fn number(value: &Value) -> Option<u64> {
    u64::try_from(i128::from(value.as_integer()?)).ok()
}

/// The texts in a list; empty if the value is not a list.
pub(super) fn texts(value: Option<&Value>) -> Vec<String> {
    let items = value.and_then(Value::as_array).into_iter().flatten();
    items
        .filter_map(|item| item.as_text().map(str::to_string))
        .collect()
}
