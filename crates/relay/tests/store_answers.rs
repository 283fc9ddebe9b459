//! What an answer of the store to a watch proves.

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
fn an_answer_confirms_the_position_that_it_states() {
    let update = page(347).into_update(at(347), WAIT_MS, WAIT_MS + 4);
    let update = update.expect("the store is where the reader is");
    assert_eq!((update.after, update.through, update.complete), (at(347), at(347), false));
    assert_eq!(update.age_ms, 4, "it was written when the wait was over");
}

#[test]
fn an_answer_from_behind_confirms_nothing() {
    let behind = page(346).into_update(at(347), WAIT_MS, 5).expect_err("from an older state");
    assert_eq!((behind.at, behind.after), (at(346), at(347)));
}

#[test]
fn an_answer_that_was_held_up_is_as_old_as_that() {
    let update = page(347).into_update(at(347), WAIT_MS, WAIT_MS + 450).expect("in step");
    assert_eq!(update.age_ms, 450);
    let early = page(347).into_update(at(347), WAIT_MS, 12).expect("in step");
    assert_eq!(early.age_ms, 0);
}
