//! Table of client address blocks (CIDR), which maps a caller's address to its region or site.

use std::fmt;
use std::net::IpAddr;

/// Error for a text that isn't a valid address block.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BlockParseError(String);

impl fmt::Display for BlockParseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "'{}' is not a valid address block; write it as 10.1.0.0/16",
            self.0
        )
    }
}

impl std::error::Error for BlockParseError {}

/// Parses a block such as `10.1.0.0/16`.
///
/// # Errors
/// Fails if the address or the prefix length is invalid.
pub fn parse_block(text: &str) -> Result<(IpAddr, u8), BlockParseError> {
    let fail = || BlockParseError(text.to_owned());
    let (address, length) = text.trim().split_once('/').ok_or_else(fail)?;
    let address: IpAddr = address.parse().map_err(|_| fail())?;
    let length: u8 = length.parse().map_err(|_| fail())?;
    let bits = if address.is_ipv4() { 32 } else { 128 };
    if length > bits {
        return Err(fail());
    }
    Ok((address, length))
}

/// Marks ranges outside all blocks.
const NO_SITE: u16 = u16::MAX;

/// Disjoint address ranges in two flat arrays: the first address of each range, and its site.
#[derive(Debug, Clone)]
struct RangeTable<A> {
    starts: Vec<A>,
    sites: Vec<u16>,
}

impl<A: Copy + Ord> RangeTable<A> {
    /// Flattens overlapping blocks; the longest prefix wins. `blocks` holds the first address,
    /// the last address and the site of each block; `next` returns the address after the given
    /// one, if any.
    fn new(mut blocks: Vec<(A, A, u16)>, next: impl Fn(A) -> Option<A>) -> Self {
        blocks.sort_by(|a, b| a.0.cmp(&b.0).then(b.1.cmp(&a.1)));
        let mut table = Self {
            starts: Vec::with_capacity(blocks.len() * 2),
            sites: Vec::with_capacity(blocks.len() * 2),
        };
        let mut open_blocks: Vec<(A, u16)> = Vec::new();
        for (first, last, site) in blocks {
            table.close_before(&mut open_blocks, Some(first), &next);
            table.push(first, site);
            open_blocks.push((last, site));
        }
        table.close_before(&mut open_blocks, None, &next);
        table.starts.shrink_to_fit();
        table.sites.shrink_to_fit();
        table
    }

    /// Ends the open blocks that lie before `first` and resumes the enclosing block of each.
    fn close_before(
        &mut self,
        open_blocks: &mut Vec<(A, u16)>,
        first: Option<A>,
        next: impl Fn(A) -> Option<A>,
    ) {
        while let Some((last, _)) = open_blocks.last().copied() {
            if first.is_some_and(|first| first <= last) {
                return;
            }
            open_blocks.pop();
            let enclosing = open_blocks.last().map_or(NO_SITE, |(_, site)| *site);
            if let Some(after) = next(last) {
                self.push(after, enclosing);
            }
        }
    }

    fn push(&mut self, start: A, site: u16) {
        if self.starts.last() == Some(&start) {
            self.starts.pop();
            self.sites.pop();
        }
        if self.sites.last() == Some(&site) {
            return;
        }
        self.starts.push(start);
        self.sites.push(site);
    }

    fn find(&self, address: A) -> Option<u16> {
        let after = self.starts.partition_point(|start| *start <= address);
        let site = *self.sites.get(after.checked_sub(1)?)?;
        (site != NO_SITE).then_some(site)
    }

    fn bytes(&self) -> usize {
        self.starts.len() * (size_of::<A>() + size_of::<u16>())
    }
}

/// Builder of a [`BlockTable`].
#[derive(Debug, Clone, Default)]
pub struct BlockTableBuilder {
    v4: Vec<(u32, u32, u16)>,
    v6: Vec<(u128, u128, u16)>,
}

impl BlockTableBuilder {
    /// Creates a builder without blocks.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a block for `site`, which must be below 65,535.
    #[must_use]
    pub fn with_block(mut self, address: IpAddr, length: u8, site: u16) -> Self {
        match address {
            IpAddr::V4(address) => {
                let host = u32::MAX.checked_shr(u32::from(length)).unwrap_or(0);
                let first = u32::from(address) & !host;
                self.v4.push((first, first | host, site));
            }
            IpAddr::V6(address) => {
                let host = u128::MAX.checked_shr(u32::from(length)).unwrap_or(0);
                let first = u128::from(address) & !host;
                self.v6.push((first, first | host, site));
            }
        }
        self
    }

    /// Builds the table.
    pub fn build(self) -> BlockTable {
        BlockTable {
            v4: RangeTable::new(self.v4, |address| address.checked_add(1)),
            v6: RangeTable::new(self.v6, |address| address.checked_add(1)),
        }
    }
}

/// Finds the site of an address by binary search in flat arrays.
///
/// ```
/// use place::blocks::{BlockTableBuilder, parse_block};
///
/// let (address, length) = parse_block("10.1.0.0/16")?;
/// let table = BlockTableBuilder::new().with_block(address, length, 7).build();
/// assert_eq!(table.find("10.1.2.3".parse().unwrap()), Some(7));
/// assert_eq!(table.find("10.2.0.0".parse().unwrap()), None);
/// # Ok::<(), place::blocks::BlockParseError>(())
/// ```
#[derive(Debug, Clone)]
pub struct BlockTable {
    v4: RangeTable<u32>,
    v6: RangeTable<u128>,
}

impl BlockTable {
    /// Returns the site of `address`.
    pub fn find(&self, address: IpAddr) -> Option<u16> {
        match address.to_canonical() {
            IpAddr::V4(address) => self.v4.find(u32::from(address)),
            IpAddr::V6(address) => self.v6.find(u128::from(address)),
        }
    }

    /// Returns the size of the arrays in bytes.
    pub fn bytes(&self) -> usize {
        self.v4.bytes() + self.v6.bytes()
    }
}
