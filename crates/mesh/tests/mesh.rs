//! Messages: hostile bytes, and letters and asks over real sockets.

use std::time::Duration;

use base::prelude::*;
use mesh::{AskClient, AskServer, LetterBox, LetterSender, decode, encode};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use standin::free_address;
use steer::{EntryMessage, Envelope, GossipDigest, PollAnswer, PollAsk};

/// Whatever bytes come, decoding ends in a message or an error.
#[test]
fn hostile_bytes_end_in_an_error() {
    let config = Config {
        cases: 2000,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let bytes = prop::collection::vec(any::<u8>(), 0..300);
    TestRunner::new_with_rng(config, rng)
        .run(&bytes, |bytes| {
            let _ = decode::<Envelope<EntryMessage>>(&bytes);
            let _ = decode::<GossipDigest>(&bytes);
            let _ = decode::<PollAsk>(&bytes);
            let _ = decode::<PollAnswer>(&bytes);
            Ok(())
        })
        .unwrap();
}

/// A message that is cut anywhere, or has bytes left over, is refused.
#[test]
fn cut_messages_are_refused() {
    let node = NodeId::new(&InstanceId::new("a"), Incarnation(1));
    let letter = Envelope {
        from: node,
        to: Incarnation(2),
        body: EntryMessage::Return {
            loan: steer::LoanId(7),
        },
    };
    let bytes = encode(&letter).unwrap();
    assert_eq!(decode::<Envelope<EntryMessage>>(&bytes).unwrap(), letter);
    for cut in 0..bytes.len() {
        assert!(decode::<Envelope<EntryMessage>>(&bytes[..cut]).is_err());
    }
    let longer = [bytes.as_slice(), &[0]].concat();
    assert!(decode::<Envelope<EntryMessage>>(&longer).is_err());
}

/// A claimed length far beyond the bytes that are there allocates nothing of that size.
#[test]
fn claimed_lengths_are_not_believed() {
    let huge = [0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x7f];
    assert!(decode::<GossipDigest>(&huge).is_err());
    assert!(decode::<Vec<u8>>(&huge).is_err());
}

/// Letters reach a peer, also one that starts listening later.
#[tokio::test]
async fn letters_arrive() {
    let address = free_address();
    let sender = LetterSender::new();
    sender.send(address, &"early".to_owned()).unwrap();
    let mut inbox = LetterBox::<String>::listen(address).unwrap();
    sender.send(address, &"late".to_owned()).unwrap();
    let mut got = vec![inbox.next().await.unwrap(), inbox.next().await.unwrap()];
    got.sort();
    assert_eq!(got, ["early", "late"]);
}

/// Asks are answered; without a server they fail and don't hang.
#[test]
fn asks_are_answered() {
    let address = free_address();
    let client = AskClient::dial(address, Duration::from_millis(200)).unwrap();
    assert!(client.ask::<_, u32>(&1_u32).is_err());
    let _server = AskServer::listen(address, |number: u32| number * 2).unwrap();
    let mut answer = Err(mesh::Error::Closed);
    for _ in 0..100 {
        answer = client.ask::<_, u32>(&21_u32);
        if answer.is_ok() {
            break;
        }
    }
    assert_eq!(answer.unwrap(), 42);
}
