//! The record of a case: lines with the time since the start in seconds.

use std::{
    fs::File,
    io::Write,
    sync::{Arc, Mutex},
    time::Instant,
};

#[derive(Clone)]
pub struct Record {
    pub start: Instant,
    lines: Arc<Mutex<Vec<(f64, String)>>>,
}

impl Record {
    pub fn new() -> Self {
        Self { start: Instant::now(), lines: Arc::default() }
    }

    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn say(&self, line: impl Into<String>) {
        let now = self.now();
        self.lines.lock().unwrap().push((now, line.into()));
    }

    pub fn say_at(&self, at: f64, line: String) {
        self.lines.lock().unwrap().push((at, line));
    }

    pub fn write(&self, path: &str) -> std::io::Result<()> {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut file = File::create(path)?;
        for (at, line) in lines {
            writeln!(file, "{at:9.3} {line}")?;
        }
        Ok(())
    }
}
