//! Writes what was sent, answered and run to the record of a case.

use std::{
    fs::File,
    io::{self, Write},
    path::Path,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

/// A start or an end of a run, as an executor saw it.
#[derive(Clone, Debug, PartialEq)]
pub struct RunEvent {
    /// When it happened, from the start of the record.
    pub at: Duration,
    pub executor: String,
    pub task: String,
    pub run: u64,
    /// How the run ended; none for a start.
    pub end: Option<String>,
}

#[derive(Clone)]
pub struct Record {
    begin: Instant,
    file: Arc<Mutex<File>>,
    runs: Arc<Mutex<Vec<RunEvent>>>,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self {
            begin: Instant::now(),
            file: Arc::new(Mutex::new(File::create(path)?)),
            runs: Arc::default(),
        })
    }

    pub fn now(&self) -> Duration {
        self.begin.elapsed()
    }

    pub fn write(&self, text: &str) {
        let line = format!("{:9.3} s  {text}\n", self.now().as_secs_f64());
        print!("{line}");
        let mut file = self.file.lock().unwrap();
        file.write_all(line.as_bytes())
            .expect("the record is written");
    }

    pub fn run_event(&self, executor: &str, task: &str, run: u64, end: Option<&str>) {
        let what = end.map_or("started".to_owned(), |how| format!("ended `{how}`"));
        self.write(&format!(
            "executor {executor}: task {task} run {run} {what}"
        ));
        self.runs.lock().unwrap().push(RunEvent {
            at: self.now(),
            executor: executor.to_owned(),
            task: task.to_owned(),
            run,
            end: end.map(str::to_owned),
        });
    }

    pub fn run_events(&self) -> Vec<RunEvent> {
        self.runs.lock().unwrap().clone()
    }
}
