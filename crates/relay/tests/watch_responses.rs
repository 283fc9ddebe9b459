//! Position and age of the update that a watch's response is converted into.

use weirhinge_fleet::Position;
use weirhinge_relay::WatchPage;

const WAIT_MS: u64 = 1_000;

fn at(revision: u64) -> Position {
    Position::new(0, revision)
}

fn page(revision: u64) -> WatchPage {
    WatchPage { at: at(revision), ..WatchPage::default() }
}

#[test]
fn response_confirms_its_position() {
    let update = page(347).into_update(at(347), WAIT_MS, WAIT_MS + 4);
    let update = update.expect("the store is at the known position");
    assert_eq!((update.after, update.through, update.complete), (at(347), at(347), false));
    assert_eq!(update.age_ms, 4, "the store responded when the wait was over");
}

#[test]
fn response_from_older_position_is_stale() {
    let stale = page(346).into_update(at(347), WAIT_MS, 5).expect_err("from an older state");
    assert_eq!((stale.at, stale.known), (at(346), at(347)));
}

#[test]
fn time_in_transit_is_age_of_update() {
    let update =
        page(347).into_update(at(347), WAIT_MS, WAIT_MS + 450).expect("at the known position");
    assert_eq!(update.age_ms, 450);
    let early = page(347).into_update(at(347), WAIT_MS, 12).expect("at the known position");
    assert_eq!(early.age_ms, 0);
}
