//! Values that messages leave out: what is usual takes no bytes.

/// Whether a flag is as usual, which serde asks of a reference.
#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes the field by reference"
)]
pub(super) fn is_false(flag: &bool) -> bool {
    !*flag
}
