//! How many requests a target may have in hand before new flows wait.

use weirhinge_fleet::Millis;

/// Requests in hand, in percent of the slots, at which new flows wait. A short queue
/// at the target keeps it at work, a longer one only ages.
const ROOM_PERCENT: u32 = 125;
/// The same for flows of urgent routes: requests on flows that are open already cannot
/// be kept from going before them.
const URGENT_ROOM_PERCENT: u32 = 200;
/// Room at a target whose size is not known, until its answers tell more. A target's
/// record says its size, but after a loss of all machines it is written a second after
/// the target takes requests, later while the store is down.
const FIRST_ROOM: u32 = 4;
/// Most room that is given to a target whose size is not known.
const MOST_ROOM: u32 = 1_000;
/// Answers within this time show that the target does not queue much; well below what
/// interactive routes aim at.
const PROMPT_MS: Millis = 120;
/// Answers that take longer show that it does.
const SLOW_MS: Millis = 200;

/// The limit on requests in hand.
#[derive(Clone, Debug)]
pub(super) struct Admission {
    /// Requests that the target works on at once; none if not known.
    slots: Option<u32>,
    /// Room found out from answers while the size is not known (additive increase and
    /// decrease around the load at which answers slow down).
    estimate: u32,
}

impl Admission {
    /// Whether the size of the target is known.
    pub(super) fn is_sized(&self) -> bool {
        self.slots.is_some()
    }

    /// Notes how many requests the target works on at once.
    pub(super) fn set_slots(&mut self, slots: u32) {
        self.slots = Some(slots);
    }

    /// Notes how long the target took for an answer with `load` requests in hand.
    pub(super) fn answered(&mut self, took: Millis, load: u32) {
        if took <= PROMPT_MS && load >= self.estimate {
            self.estimate = (self.estimate + 1).min(MOST_ROOM);
        } else if took > SLOW_MS {
            self.estimate = (self.estimate - 1).max(FIRST_ROOM);
        }
    }

    /// Whether new flows must wait with this many requests in hand.
    pub(super) fn is_busy(&self, load: u32, urgent: bool) -> bool {
        let percent = if urgent { URGENT_ROOM_PERCENT } else { ROOM_PERCENT };
        let room = match self.slots {
            Some(slots) => slots.saturating_mul(percent),
            None => self.estimate * 100 * percent / ROOM_PERCENT,
        };
        load.saturating_mul(100) >= room
    }
}

impl Default for Admission {
    fn default() -> Self {
        Self { slots: None, estimate: FIRST_ROOM }
    }
}
