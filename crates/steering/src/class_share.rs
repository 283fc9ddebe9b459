//! The least share of openings that are not urgent: the same where agents grant room and where
//! balancers use it.

/// One grant in so many goes to an opening that is not urgent, while both kinds wait.
pub(crate) const OTHERS_ONE_IN: u32 = 8;

/// Whether the next grant is for openings that are not urgent, after so many for urgent ones.
pub(crate) fn others_are_due(urgent_in_row: u32) -> bool {
    urgent_in_row >= OTHERS_ONE_IN - 1
}
