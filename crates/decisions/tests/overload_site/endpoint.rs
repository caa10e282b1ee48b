//! An endpoint that runs what it has room for.

use {
    super::Micros,
    chestnutrun_decisions::guard::{
        Announcement, ListOrder, ListReply, ListedEnd, ListedRun, RunEnd,
    },
    chestnutrun_types::{EndpointInfo, Resources, TaskId},
    indexmap::IndexMap,
    std::time::Duration,
};

/// Processor of an endpoint, in thousandths of a core.
pub const ENDPOINT_CPU: u32 = 16_000;

/// Room and speed of an endpoint, and the number of its process.
#[derive(Clone, Copy, Debug)]
pub struct EndpointSpec {
    /// Processor in thousandths of a core.
    pub cpu: u32,
    /// Work that is done in a unit of time.
    pub speed: f64,
    pub incarnation: u64,
}

impl Default for EndpointSpec {
    fn default() -> Self {
        Self {
            cpu: ENDPOINT_CPU,
            speed: 1.0,
            incarnation: 1,
        }
    }
}

impl EndpointSpec {
    /// Returns the work per unit of time that the endpoint does when it is full, in cores.
    pub fn cores(self) -> f64 {
        f64::from(self.cpu) / 1_000.0 * self.speed
    }
}

#[derive(Debug)]
struct Running {
    task: TaskId,
    need: Resources,
    begin: Micros,
    end: Micros,
}

/// An endpoint that runs what it has room for.
#[derive(Debug, Default)]
pub struct Endpoint {
    pub spec: EndpointSpec,
    runs: IndexMap<u64, Running>,
    ends: Vec<ListedEnd>,
    /// A list order that waits for an end, and when its wait is over.
    pub waiting_list: Option<(ListOrder, Micros)>,
}

impl Endpoint {
    pub fn new(spec: EndpointSpec) -> Self {
        Self {
            spec,
            ..Self::default()
        }
    }

    pub fn announcement(&self, number: usize, zone: usize, at: Micros) -> Announcement {
        Announcement {
            info: EndpointInfo {
                endpoint: format!("endpoint-{number}").into(),
                incarnation: self.spec.incarnation,
                service: "service".into(),
                zone: format!("zone-{zone}").into(),
                labels: Vec::new(),
                total: Resources {
                    cpu_millis: self.spec.cpu,
                    memory_mb: 32_768,
                    accelerators: 0,
                },
            },
            clock: Duration::from_micros(at),
            sequence: at,
            leaving: false,
        }
    }

    /// Starts a run; returns false for lack of room.
    pub fn start(
        &mut self,
        at: Micros,
        run: u64,
        task: TaskId,
        need: Resources,
        work: Micros,
    ) -> bool {
        let held: u32 = self.runs.values().map(|run| run.need.cpu_millis).sum();
        if held + need.cpu_millis > self.spec.cpu {
            return false;
        }
        let running = Running {
            task,
            need,
            begin: at,
            end: at + work,
        };
        self.runs.insert(run, running);
        true
    }

    /// Ends a run, if it has not ended.
    pub fn end(&mut self, run: u64, how: RunEnd) {
        if let Some(ended) = self.runs.swap_remove(&run) {
            let number = u64::try_from(self.ends.len()).unwrap() + 1;
            self.ends.push(ListedEnd {
                number,
                task: ended.task,
                run,
                how,
            });
        }
    }

    pub fn has_ends_after(&self, number: u64) -> bool {
        self.ends.last().is_some_and(|end| end.number > number)
    }

    pub fn list(&self, at: Micros, order: &ListOrder) -> ListReply {
        let running = self.runs.iter().map(|(run, running)| {
            let share = (at - running.begin) * 100 / (running.end - running.begin).max(1);
            ListedRun {
                task: running.task.clone(),
                run: *run,
                percent: u32::try_from(share.min(99)).unwrap(),
            }
        });
        let processed = usize::try_from(order.last_processed_end).unwrap();
        ListReply {
            running: running.collect(),
            ended: self.ends[processed..].to_vec(),
        }
    }
}
