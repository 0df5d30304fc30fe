//! Predicates for fields that are left out of messages at their usual value.

/// For `skip_serializing_if`, which passes a reference.
#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes the field by reference"
)]
pub(super) fn is_false(flag: &bool) -> bool {
    !*flag
}

/// For `skip_serializing_if`, which passes a reference.
#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes the field by reference"
)]
pub(super) fn is_zero(number: &u32) -> bool {
    *number == 0
}
