//! Tickets that bind at-most-once requests to one run of one instance.
//!
//! An instance signs a stamp with a key that only its current run knows, and distributes the
//! stamp over the fleet. The entry that answers a look-up appends a nonce; stamp and nonce
//! together are the ticket. The caller numbers its requests under the ticket.

use base::prelude::*;
use hmac::{Hmac, Mac};
use sha2::Sha256;

/// Length to which signatures are truncated, in bytes.
const SIGNATURE_BYTES: usize = 16;
/// Maximum length of a ticket, in bytes.
const MAX_TICKET: usize = 512;

/// Signs and checks the stamps of one run of one instance.
#[derive(Clone)]
pub struct StampKey {
    node: NodeId,
    key: [u8; 32],
    start: Instant,
}

/// A ticket as sent by a caller. Only the instance that it names can verify it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ticket {
    /// The run that the ticket is bound to.
    pub node: NodeId,
    /// Time of expiry, in milliseconds since the start of that run.
    pub expires_ms: u64,
    /// The signature over the run and the time of expiry.
    signature: String,
    /// Random number from the entry that answered the look-up.
    pub nonce: u64,
}

/// The result of verifying a ticket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TicketVerdict {
    /// Valid until the given time.
    Valid(Instant),
    /// Signed by this run, but expired at the given time.
    Expired(Instant),
    /// Not signed by this run.
    Forged,
}

impl std::fmt::Debug for StampKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("StampKey")
            .field("node", &self.node)
            .finish_non_exhaustive()
    }
}

impl StampKey {
    /// Creates the key of the run `node` that started at `start`.
    pub fn new(node: &NodeId, key: [u8; 32], start: Instant) -> Self {
        Self {
            node: node.clone(),
            key,
            start,
        }
    }

    /// Returns a stamp that is valid until `expires`.
    pub fn stamp(&self, expires: Instant) -> String {
        let expires_ms = self.millis_since_start(expires);
        let signature = self.sign(expires_ms);
        format!(
            "{}~{}~{expires_ms}~{signature}",
            self.node.instance, self.node.incarnation
        )
    }

    /// Verifies a ticket that names this run.
    pub fn check(&self, now: Instant, ticket: &Ticket) -> TicketVerdict {
        let expected = self.sign(ticket.expires_ms);
        if ticket.node != self.node || !equal_in_constant_time(&expected, &ticket.signature) {
            return TicketVerdict::Forged;
        }
        let end = self.start + Duration::from_millis(ticket.expires_ms);
        if end <= now {
            return TicketVerdict::Expired(end);
        }
        TicketVerdict::Valid(end)
    }

    fn millis_since_start(&self, at: Instant) -> u64 {
        let since = at.saturating_duration_since(self.start);
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    }

    fn sign(&self, expires_ms: u64) -> String {
        let Ok(mut mac) = Hmac::<Sha256>::new_from_slice(&self.key) else {
            return String::new();
        };
        mac.update(self.node.instance.as_str().as_bytes());
        mac.update(&self.node.incarnation.0.to_le_bytes());
        mac.update(&expires_ms.to_le_bytes());
        let bytes = mac.finalize().into_bytes();
        let kept = bytes.iter().take(SIGNATURE_BYTES);
        kept.map(|byte| format!("{byte:02x}")).collect()
    }
}

impl Ticket {
    /// Formats the ticket of a stamp and a nonce.
    pub fn issue(stamp: &str, nonce: u64) -> String {
        format!("{stamp}~{nonce:016x}")
    }

    /// Parses a ticket without verifying its signature; `None` if the text is malformed.
    pub fn parse(text: &str) -> Option<Self> {
        if text.len() > MAX_TICKET {
            return None;
        }
        let mut parts = text.split('~');
        let instance = parts.next().filter(|name| !name.is_empty())?;
        let incarnation = u64::from_str_radix(parts.next()?, 16).ok()?;
        let expires_ms = parts.next()?.parse().ok()?;
        let signature = parts.next()?.to_owned();
        let nonce = u64::from_str_radix(parts.next()?, 16).ok()?;
        if parts.next().is_some() {
            return None;
        }
        let instance = InstanceId::new(instance);
        Some(Self {
            node: NodeId::new(&instance, Incarnation(incarnation)),
            expires_ms,
            signature,
            nonce,
        })
    }
}

fn equal_in_constant_time(a: &str, b: &str) -> bool {
    let (a, b) = (a.as_bytes(), b.as_bytes());
    if a.len() != b.len() {
        return false;
    }
    let difference = a.iter().zip(b).fold(0, |sum, (x, y)| sum | (x ^ y));
    difference == 0
}
