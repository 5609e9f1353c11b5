//! A position states that every change up to it is known, and nothing else raises it.

use place::fleet::store_progress::StoreProgress;
use place::prelude::*;

fn at(version: u64) -> StorePosition {
    StorePosition::new(0, version)
}

/// Guards against missed operator's rows: an entry that knows a later change of a rollout's record
/// is still behind a lead that knows a change of the operator's rows, and doesn't continue its
/// feed after that change.
#[test]
fn a_rollout_record_shows_no_operator_rows() {
    let mut known = StoreProgress {
        operator: at(5),
        operator_read: at(6),
        rollouts: at(9),
        ..StoreProgress::default()
    };
    let lead = StoreProgress {
        operator: at(8),
        operator_read: at(10),
        rollouts: at(9),
        ..StoreProgress::default()
    };
    assert!(known.is_behind_operator(&lead));
    known.confirm_operator(&lead);
    assert_eq!(known.operator_read, at(6));
    known.replace_operator(&lead);
    assert!(!known.is_behind_operator(&lead));
    assert_eq!((known.operator, known.operator_read), (at(8), at(10)));
}

/// Rollbacks reach followers: a lead that knows a later change of a rollout's record is newer,
/// although the operator's rows are the same, until its records were adopted.
#[test]
fn a_newer_rollout_record_is_asked_for() {
    let mut known = StoreProgress {
        operator: at(8),
        rollouts: at(9),
        ..StoreProgress::default()
    };
    let lead = StoreProgress {
        operator: at(8),
        rollouts: at(11),
        ..StoreProgress::default()
    };
    assert!(known.is_behind_operator(&lead));
    known.adopt_rollouts(&lead, false);
    assert!(!known.is_behind_operator(&lead));
    known.adopt_rollouts(&StoreProgress::default(), false);
    assert_eq!(known.rollouts, at(11));
}

/// Guards against missed operator's rows: an answer of a feed that began before the entry took over
/// a lead's older copy must be left out, since the changes between the two are unknown.
#[test]
fn feed_answers_apply_only_to_what_they_continue() {
    let mut known = StoreProgress {
        operator: at(20),
        operator_read: at(24),
        ..StoreProgress::default()
    };
    let after = Some(known.operator_read);
    assert!(known.continues_operator(after, at(26)));
    assert!(!known.continues_operator(after, at(19)));
    let older = StoreProgress {
        operator: at(12),
        operator_read: at(15),
        ..StoreProgress::default()
    };
    known.replace_operator(&older);
    assert!(!known.continues_operator(after, at(26)));
    assert!(known.continues_operator(Some(at(15)), at(26)));
    assert!(known.continues_operator(None, at(26)));
}
