//! The minimum share of non-urgent openings, for agents that grant capacity and for balancers that
//! use the grants.

/// While both classes wait, one in this many grants goes to a non-urgent opening.
pub(crate) const NON_URGENT_ONE_IN: u32 = 8;

/// Whether the next grant is for a non-urgent opening, after `urgent_in_row` consecutive grants for
/// urgent ones.
pub(crate) fn is_non_urgent_due(urgent_in_row: u32) -> bool {
    urgent_in_row >= NON_URGENT_ONE_IN - 1
}
