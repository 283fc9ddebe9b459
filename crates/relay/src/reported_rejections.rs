//! Rejected items of the store that were reported already, so that each is logged only once.

use std::collections::HashMap;

use crate::platform::RejectedItem;

/// Most items remembered, some 200 bytes each. Beyond them items are reported again.
const MAX_REMEMBERED: usize = 1_024;

/// The rejected items that were reported already, by key.
#[derive(Clone, Debug, Default)]
pub struct ReportedRejections {
    reported: HashMap<String, RejectedItem>,
}

impl ReportedRejections {
    /// Records an item. Returns true if it is rejected for the first time or for a new reason: each
    /// listing brings it again.
    pub fn record(&mut self, item: &RejectedItem) -> bool {
        if self.reported.get(&item.key) == Some(item) {
            return false;
        }
        if self.reported.len() >= MAX_REMEMBERED {
            self.reported.clear();
        }
        self.reported.insert(item.key.clone(), item.clone());
        true
    }
}
