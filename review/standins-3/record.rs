//! The record of a run: what was sent, answered and run, with times.

use std::{
    fs::File,
    io::Write,
    sync::{Arc, Mutex},
    time::Instant,
};

/// One run of a task at an executor.
#[derive(Clone, Debug)]
pub struct Run {
    pub executor: String,
    pub born: u64,
    pub task: String,
    pub number: u64,
    pub from_ms: u64,
    pub to_ms: Option<u64>,
    pub how: String,
}

struct Inner {
    file: File,
    runs: Vec<Run>,
}

#[derive(Clone)]
pub struct Record {
    begun: Instant,
    inner: Arc<Mutex<Inner>>,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Self> {
        let inner = Inner {
            file: File::create(path)?,
            runs: Vec::new(),
        };
        Ok(Self {
            begun: Instant::now(),
            inner: Arc::new(Mutex::new(inner)),
        })
    }

    pub fn now_ms(&self) -> u64 {
        self.begun.elapsed().as_millis() as u64
    }

    pub fn say(&self, text: &str) {
        let at = self.now_ms();
        let mut inner = self.inner.lock().unwrap();
        let _ = writeln!(inner.file, "{at:>7} ms  {text}");
    }

    pub fn started(&self, run: Run) {
        self.say(&format!(
            "{} begins {} run {}",
            run.executor, run.task, run.number
        ));
        self.inner.lock().unwrap().runs.push(run);
    }

    pub fn ended(&self, executor: &str, born: u64, task: &str, number: u64, how: &str) {
        self.say(&format!("{executor} ends {task} run {number}: {how}"));
        let at = self.now_ms();
        let mut inner = self.inner.lock().unwrap();
        let mut runs = inner.runs.iter_mut();
        let run = runs.find(|run| {
            run.executor == executor
                && run.born == born
                && run.task == task
                && run.number == number
                && run.to_ms.is_none()
        });
        if let Some(run) = run {
            run.to_ms = Some(at);
            run.how = how.to_owned();
        }
    }

    pub fn runs(&self) -> Vec<Run> {
        self.inner.lock().unwrap().runs.clone()
    }

    /// Returns the pairs of runs of one task that overlap, and for how long.
    pub fn overlaps(&self) -> Vec<(Run, Run, u64)> {
        let (runs, now) = (self.runs(), self.now_ms());
        let mut found = Vec::new();
        for (at, one) in runs.iter().enumerate() {
            for other in &runs[at + 1..] {
                let end = one.to_ms.unwrap_or(now).min(other.to_ms.unwrap_or(now));
                let from = one.from_ms.max(other.from_ms);
                if one.task == other.task && end > from {
                    found.push((one.clone(), other.clone(), end - from));
                }
            }
        }
        found
    }
}
