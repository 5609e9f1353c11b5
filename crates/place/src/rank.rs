//! Rendezvous hashing: every entry ranks the servers of a region in the same order for an
//! object. Its requests therefore reach the servers that already cache it, and a server that
//! joins or leaves moves only the objects that it wins or loses.

/// Hashes `bytes` with FNV-1a. The result is the same on every machine and in every run.
pub fn stable_hash(bytes: &[u8]) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    let mut hash = OFFSET;
    for byte in bytes {
        hash ^= u64::from(*byte);
        hash = hash.wrapping_mul(PRIME);
    }
    hash
}

/// Returns the rendezvous weight of a pair; the member with the highest weight ranks first.
pub fn pair_weight(object: u64, member: u64) -> u64 {
    let mut mixed = object ^ member.rotate_left(32);
    mixed = (mixed ^ (mixed >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    mixed = (mixed ^ (mixed >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    mixed ^ (mixed >> 33)
}
