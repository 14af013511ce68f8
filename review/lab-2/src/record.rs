//! The record of a run: what was sent, answered and run, with the time since the start.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Creates `record.txt` in a folder.
    pub fn create(folder: &Path) -> Record {
        let file = File::create(folder.join("record.txt")).expect("record can be created");
        Record { start: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    /// Seconds since the start.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// Writes one line.
    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        writeln!(file, "{:9.3} {text}", self.now()).expect("record can be written");
    }

    /// Writes a line to the record and to the standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}
