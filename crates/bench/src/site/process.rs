//! Starts, signals and measures one process of a site.

use {
    crate::site::SiteError,
    std::{
        fs::File,
        path::{Path, PathBuf},
        process::{Child, Command, ExitStatus, Stdio},
        time::Duration,
    },
};

/// Length of the clock tick in which `/proc` counts processor time.
const CLOCK_TICK: Duration = Duration::from_millis(10);

/// Memory, descriptors and processor time that a process has used.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ProcessUsage {
    /// Open descriptors.
    pub descriptors: usize,
    /// Resident memory, in kilobytes.
    pub memory_kilobytes: u64,
    /// User and system time since the start of the process.
    pub processor: Duration,
}

/// One process of a site; it is killed when it is dropped.
#[derive(Debug)]
pub struct SiteProcess {
    name: String,
    program: PathBuf,
    arguments: Vec<String>,
    descriptors: Option<usize>,
    log: PathBuf,
    child: Child,
}

impl SiteProcess {
    /// Starts a program of this build; its output is appended to `name.log` in
    /// `folder`.
    ///
    /// # Errors
    /// Returns an error if the program does not start.
    pub fn start(
        name: impl Into<String>,
        program: &str,
        arguments: impl IntoIterator<Item = String>,
        folder: &Path,
    ) -> Result<Self, SiteError> {
        Self::start_within(name, program, arguments, folder, None)
    }

    /// Starts a program like [`start`](Self::start), which may open so many descriptors;
    /// as many as this process if none are given.
    ///
    /// # Errors
    /// Returns an error if the program does not start.
    pub fn start_within(
        name: impl Into<String>,
        program: &str,
        arguments: impl IntoIterator<Item = String>,
        folder: &Path,
        descriptors: Option<usize>,
    ) -> Result<Self, SiteError> {
        let name = name.into();
        let program = program_path(program)?;
        let arguments: Vec<String> = arguments.into_iter().collect();
        let log = folder.join(format!("{name}.log"));
        let child = spawn(&program, &arguments, &log, descriptors)?;
        Ok(Self {
            name,
            program,
            arguments,
            descriptors,
            log,
            child,
        })
    }

    /// Returns the name of the process within the site, such as `entry-0`.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the path of the file with the output of the process.
    #[must_use]
    pub fn log(&self) -> &Path {
        &self.log
    }

    /// Sends a signal, by its name without `SIG`.
    ///
    /// # Errors
    /// Returns an error if the `kill` program does not run.
    pub fn signal(&self, name: &str) -> Result<(), SiteError> {
        let status = Command::new("kill")
            .args(["-s", name, &self.id().to_string()])
            .stderr(Stdio::null())
            .status();
        match status {
            Ok(_) => Ok(()),
            Err(error) => Err(SiteError::Io(format!("kill {}", self.name), error)),
        }
    }

    /// Kills the process and waits until it has exited.
    pub fn kill(&mut self) {
        // Both calls fail only for a process that has exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Kills the process if it still runs, and starts it with the same arguments.
    ///
    /// # Errors
    /// Returns an error if the program does not start.
    pub fn restart(&mut self) -> Result<(), SiteError> {
        self.kill();
        self.child = spawn(&self.program, &self.arguments, &self.log, self.descriptors)?;
        Ok(())
    }

    /// Returns the exit status, or none while the process runs.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Reads the usage so far from `/proc`; a value that cannot be read is 0.
    #[must_use]
    pub fn usage(&self) -> ProcessUsage {
        ProcessUsage::of(self.id())
    }
}

impl ProcessUsage {
    /// Returns the higher value of each.
    #[must_use]
    pub fn highest(self, other: Self) -> Self {
        Self {
            descriptors: self.descriptors.max(other.descriptors),
            memory_kilobytes: self.memory_kilobytes.max(other.memory_kilobytes),
            processor: self.processor.max(other.processor),
        }
    }

    /// Reads the usage of the process with this id from `/proc`; a value that cannot be
    /// read is 0.
    #[must_use]
    pub fn of(id: u32) -> Self {
        let folder = PathBuf::from(format!("/proc/{id}"));
        let status = std::fs::read_to_string(folder.join("status")).unwrap_or_default();
        let memory = status
            .lines()
            .find_map(|line| line.strip_prefix("VmRSS:"))
            .and_then(|rest| rest.split_whitespace().next()?.parse().ok());
        let stat = std::fs::read_to_string(folder.join("stat")).unwrap_or_default();
        let after_name = stat.rsplit(')').next().unwrap_or_default();
        let fields: Vec<u64> = after_name
            .split_whitespace()
            .map(|field| field.parse().unwrap_or_default())
            .collect();
        let ticks = fields.get(11..13).map(|times| times.iter().sum());
        let ticks: u64 = ticks.unwrap_or_default();
        let descriptors = std::fs::read_dir(folder.join("fd"));
        Self {
            descriptors: descriptors.map_or(0, Iterator::count),
            memory_kilobytes: memory.unwrap_or_default(),
            processor: CLOCK_TICK * u32::try_from(ticks).unwrap_or(u32::MAX),
        }
    }
}

impl Drop for SiteProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

fn spawn(
    program: &Path,
    arguments: &[String],
    log: &Path,
    descriptors: Option<usize>,
) -> Result<Child, SiteError> {
    let io_error = |error| SiteError::Io(program.display().to_string(), error);
    let out = File::options()
        .append(true)
        .create(true)
        .open(log)
        .map_err(io_error)?;
    let err = out.try_clone().map_err(io_error)?;
    let mut command = match descriptors {
        // The shell sets the limit and becomes the program, so that the id stays.
        Some(count) => {
            let mut shell = Command::new("sh");
            let script = format!("ulimit -n {count} && exec \"$0\" \"$@\"");
            shell.args(["-c", &script]).arg(program);
            shell
        }
        None => Command::new(program),
    };
    command
        .args(arguments)
        .stdin(Stdio::null())
        .stdout(out)
        .stderr(err)
        .spawn()
        .map_err(io_error)
}

/// Finds a program in the folder of the running program or, because test
/// programs lie one folder deeper, in its parent folder.
fn program_path(program: &str) -> Result<PathBuf, SiteError> {
    let current = std::env::current_exe().map_err(|e| SiteError::Io(program.to_owned(), e))?;
    let beside = current.with_file_name(program);
    if beside.exists() {
        return Ok(beside);
    }
    let in_parent = current
        .parent()
        .and_then(Path::parent)
        .map(|p| p.join(program));
    match in_parent {
        Some(path) if path.exists() => Ok(path),
        _ => Err(SiteError::Io(
            format!("{program} is not built: run `cargo build --workspace` first"),
            std::io::ErrorKind::NotFound.into(),
        )),
    }
}
