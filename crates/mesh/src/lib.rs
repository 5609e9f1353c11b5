//! Messages between laurelhill's own processes: one-way letters and asks with
//! one answer, carried by nng over TCP and encoded by postcard.
//!
//! Letters may be lost, repeated or late; whoever uses them has to bear that.
//! This is the only crate that links nng.

mod ask;
mod codec;
mod error;
mod letter;

pub use ask::{AskClient, AskServer};
pub use codec::{MAX_MESSAGE, decode, encode};
pub use error::{Error, Result};
pub use letter::{LetterBox, LetterSender};
