//! The configuration's head: versions only go up, whatever the store loses.

use standin::{FakePlatform, FaultPlan};
use store::{Error, HeadStore, Publication};

fn hash(content: &str) -> String {
    let sum = content
        .bytes()
        .fold(7_u64, |sum, byte| sum.wrapping_mul(31) + u64::from(byte));
    format!("{sum:064x}")
}

async fn publish(
    heads: &HeadStore<FakePlatform>,
    edited: u64,
    content: &str,
    token: &str,
) -> store::Result<Publication> {
    heads
        .publish(edited, &hash(content), content.as_bytes(), "author", token)
        .await
}

/// Promise: of operators that race, one wins, and each loser is told the head that beat it.
#[tokio::test]
async fn the_loser_of_a_race_learns_the_winner() {
    let platform = FakePlatform::new();
    let heads = HeadStore::new(platform.clone());
    assert!(matches!(
        publish(&heads, 0, "one", "t1").await,
        Ok(Publication::Accepted(_))
    ));
    let (a, b) = tokio::join!(publish(&heads, 1, "a", "ta"), publish(&heads, 1, "b", "tb"));
    let outcomes = [a.unwrap(), b.unwrap()];
    let winners: Vec<_> = outcomes
        .iter()
        .filter(|o| matches!(o, Publication::Accepted(_)))
        .collect();
    assert_eq!(winners.len(), 1);
    let Publication::Accepted(winner) = winners[0] else {
        unreachable!()
    };
    assert!(outcomes.contains(&Publication::Raced(Some(winner.clone()))));
    assert_eq!(heads.head().await.unwrap().unwrap().version, 2);
}

/// Promise: an accepted change survives a lost answer, and is accepted once.
#[tokio::test]
async fn a_lost_answer_is_settled_by_the_token() {
    let platform = FakePlatform::new();
    let heads = HeadStore::new(platform.clone());
    platform.set_faults(FaultPlan {
        lose_answers: true,
        ..FaultPlan::default()
    });
    // The object's own answer is lost as well; objects never change, so it is written again.
    let first = publish(&heads, 0, "one", "t1").await;
    assert!(matches!(first, Err(Error::Unknown(_))), "{first:?}");
    platform.set_faults(FaultPlan::default());
    assert!(
        heads.head().await.unwrap().is_none(),
        "the head must not have moved"
    );
    assert!(matches!(
        publish(&heads, 0, "one", "t1").await,
        Ok(Publication::Accepted(_))
    ));
}

/// Promise: in an outage nothing is written and that is said.
#[tokio::test]
async fn an_outage_writes_nothing() {
    let platform = FakePlatform::new();
    let heads = HeadStore::new(platform.clone());
    platform.set_faults(FaultPlan {
        outage: true,
        ..FaultPlan::default()
    });
    assert!(matches!(
        publish(&heads, 0, "one", "t1").await,
        Err(Error::Unavailable(_))
    ));
    platform.set_faults(FaultPlan::default());
    assert!(heads.head().await.unwrap().is_none());
}

/// Promise: 14,000 changes by racing operators end in exactly as many versions as were accepted.
#[tokio::test]
async fn every_accepted_change_is_one_version() {
    let platform = FakePlatform::new();
    let heads = HeadStore::new(platform.clone());
    let mut accepted = 0;
    for change in 0..14_000_u64 {
        let seen = if change % 7 == 0 {
            accepted - u64::from(accepted > 0)
        } else {
            accepted
        };
        let content = format!("change {change}");
        match publish(&heads, seen, &content, &format!("t{change}"))
            .await
            .unwrap()
        {
            Publication::Accepted(head) => {
                accepted += 1;
                assert_eq!(head.version, accepted);
            }
            Publication::Raced(Some(head)) => assert_eq!(head.version, accepted),
            Publication::Raced(None) => panic!("the head was lost"),
        }
    }
    let head = heads.head().await.unwrap().unwrap();
    assert_eq!(head.version, accepted);
    assert!(accepted >= 12_000);
}

/// A hash that isn't one never becomes a name in the object store.
#[tokio::test]
async fn a_strange_hash_is_refused() {
    let heads = HeadStore::new(FakePlatform::new());
    assert!(heads.content("../../secret").await.is_err());
}
