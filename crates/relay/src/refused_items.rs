//! Items of the store that could not be used, each told once.

use std::collections::HashMap;

use crate::platform::RejectedItem;

/// Most items remembered, some 200 bytes each. Beyond them items are told again.
const MOST_REMEMBERED: usize = 1_024;

/// The refused items that were told already, by key.
#[derive(Clone, Debug, Default)]
pub struct RefusedItems {
    told: HashMap<String, RejectedItem>,
}

impl RefusedItems {
    /// Whether an item is refused for the first time, or otherwise than the last time: each
    /// listing brings it again.
    pub fn is_news(&mut self, item: &RejectedItem) -> bool {
        if self.told.get(&item.key) == Some(item) {
            return false;
        }
        if self.told.len() >= MOST_REMEMBERED {
            self.told.clear();
        }
        self.told.insert(item.key.clone(), item.clone());
        true
    }
}
