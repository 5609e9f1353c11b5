//! The way from an entry to the store, as a proxy. Connections that are open can go silent for good
//! without a reset, while new ones work.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// The way to the store.
#[derive(Clone)]
pub struct StorePath {
    pub address: SocketAddr,
    store: SocketAddr,
    /// Connections that were opened before the last silence began have lower numbers.
    opened: Arc<AtomicU64>,
    silent_below: Arc<AtomicU64>,
    /// When the store last answered a feed of the operator's rows.
    answered_at: Arc<Mutex<Option<Instant>>>,
}

impl StorePath {
    pub fn start(store: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let path = Self {
            address: listener.local_addr().expect("an address"),
            store,
            opened: Arc::default(),
            silent_below: Arc::default(),
            answered_at: Arc::default(),
        };
        let accepting = path.clone();
        std::thread::spawn(move || {
            for entry in listener.incoming().flatten() {
                let number = accepting.opened.fetch_add(1, Ordering::SeqCst);
                let path = accepting.clone();
                std::thread::spawn(move || path.carry(entry, number));
            }
        });
        path
    }

    /// Lets all open connections go silent.
    pub fn silence(&self) {
        let opened = self.opened.load(Ordering::SeqCst);
        self.silent_below.store(opened, Ordering::SeqCst);
    }

    /// When the store last answered a feed of the operator's rows.
    pub fn answered_at(&self) -> Option<Instant> {
        *self.answered_at.lock().expect("the time")
    }

    fn is_silent(&self, number: u64) -> bool {
        number < self.silent_below.load(Ordering::SeqCst)
    }

    fn carry(&self, entry: TcpStream, number: u64) {
        let Ok(store) = TcpStream::connect(self.store) else {
            return;
        };
        let _ = entry.set_nodelay(true);
        let _ = store.set_nodelay(true);
        let (Ok(mut from_entry), Ok(mut to_store)) = (entry.try_clone(), store.try_clone()) else {
            return;
        };
        let is_feed = Arc::new(Mutex::new(false));
        let (path, feed) = (self.clone(), Arc::clone(&is_feed));
        std::thread::spawn(move || {
            let mut bytes = [0; 16 << 10];
            while let Ok(count) = from_entry.read(&mut bytes) {
                // What comes on a silent connection is swallowed, its end too.
                if path.is_silent(number) {
                    if count == 0 {
                        break;
                    }
                    continue;
                }
                let text = String::from_utf8_lossy(&bytes[..count]);
                *feed.lock().expect("the flag") = text.starts_with("GET /rows-feed?table=op&");
                if count == 0 || to_store.write_all(&bytes[..count]).is_err() {
                    break;
                }
            }
            let _ = to_store.shutdown(Shutdown::Both);
        });
        let (mut store, mut entry) = (store, entry);
        let mut bytes = [0; 16 << 10];
        while let Ok(count) = store.read(&mut bytes) {
            if count == 0 {
                break;
            }
            if self.is_silent(number) {
                continue;
            }
            if *is_feed.lock().expect("the flag") {
                *self.answered_at.lock().expect("the time") = Some(Instant::now());
            }
            if entry.write_all(&bytes[..count]).is_err() {
                break;
            }
        }
        if !self.is_silent(number) {
            let _ = entry.shutdown(Shutdown::Both);
        }
    }
}
