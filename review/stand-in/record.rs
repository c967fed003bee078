//! What was sent, answered and run, with the seconds since the start.

use std::{fs::File, io::Write, path::Path, sync::Mutex, time::Instant};

pub struct Record {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    pub fn new(path: &Path) -> Self {
        Self {
            file: Mutex::new(File::create(path).expect("record")),
            started: Instant::now(),
        }
    }

    pub fn say(&self, line: &str) {
        self.say_at(Instant::now(), line);
    }

    pub fn say_at(&self, at: Instant, line: &str) {
        let seconds = self.seconds(at);
        let _ = writeln!(self.file.lock().unwrap(), "{seconds:8.3} {line}");
    }

    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.started).as_secs_f64()
    }
}
