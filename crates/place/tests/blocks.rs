//! Tests of the table of client address blocks.

use place::blocks::{BlockTableBuilder, parse_block};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Fixed, so that every run has the same result.
const SEED: u64 = 7;

fn prefix(address: u32, length: u8) -> u64 {
    u64::from(address) >> (32 - u32::from(length))
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// An address must map to the longest block that contains it, as a search through all
    /// blocks finds.
    #[test]
    fn the_longest_block_wins(
        blocks in prop::collection::vec((any::<u32>(), 4u8..=32), 1..120),
        near in prop::collection::vec((any::<prop::sample::Index>(), any::<u32>(), 8u32..32), 1..60),
    ) {
        let mut builder = BlockTableBuilder::new();
        let mut distinct: Vec<(u32, u8, u16)> = Vec::new();
        for (site, (address, length)) in blocks.iter().enumerate() {
            let known = distinct.iter().any(|(other, same, _)| {
                same == length && prefix(*other, *length) == prefix(*address, *length)
            });
            if known {
                continue;
            }
            let ip = std::net::Ipv4Addr::from(*address);
            builder = builder.with_block(ip.into(), *length, site as u16);
            distinct.push((*address, *length, site as u16));
        }
        let table = builder.build();
        for (index, noise, shift) in near {
            let address = blocks[index.index(blocks.len())].0 ^ (noise >> shift);
            let around = distinct.iter().filter(|(other, length, _)| {
                prefix(*other, *length) == prefix(address, *length)
            });
            let longest = around.max_by_key(|(_, length, _)| *length);
            let found = table.find(std::net::Ipv4Addr::from(address).into());
            prop_assert_eq!(found, longest.map(|(_, _, site)| *site));
        }
    }
}

/// Invalid blocks must be rejected.
#[test]
fn invalid_blocks_are_rejected() {
    for text in ["10.0.0.0/33", "10.0.0.0", "north/8", "::/129"] {
        assert!(parse_block(text).is_err(), "{text}");
    }
}
