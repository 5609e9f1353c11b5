//! The record of what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Writes lines with the time since the start, in milliseconds.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    begun: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("record.txt can be written");
        Self {
            file: Arc::new(Mutex::new(file)),
            begun: Instant::now(),
        }
    }

    pub fn note(&self, text: &str) {
        let mut file = self.file.lock().expect("the record");
        let _ = writeln!(file, "{:>7} ms  {text}", self.begun.elapsed().as_millis());
    }

    /// A line of the record that is also printed.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.note(text);
    }
}
