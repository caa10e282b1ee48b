//! Compares the events and fields in docs/LOGS.md with those in written log lines.

use {
    chestnutrun_observe::LogLine,
    chestnutrun_types::{DecisionEvent, EndKind, TaskPosition},
    indexmap::{IndexMap, IndexSet},
    rstest::rstest,
    std::fs,
};

const TASK: TaskPosition = TaskPosition { step: 0, index: 0 };

/// Returns one event of each kind.
fn one_of_each() -> Vec<DecisionEvent> {
    let mut all = entry_events();
    all.extend(agent_events());
    all.extend(shared_events());
    let names: IndexSet<&str> = all.iter().map(DecisionEvent::name).collect();
    assert_eq!(names.len(), all.len(), "an event kind is listed twice");
    all
}

fn entry_events() -> Vec<DecisionEvent> {
    vec![
        DecisionEvent::JobTaken {
            job: "j".into(),
            route: "r".into(),
            tasks: 1,
            chain_ms: 1,
            slack_ms: 1,
            caller_waits_ms: 1,
            held: 1,
        },
        DecisionEvent::JobSubmittedAgain {
            job: "j".into(),
            is_same: true,
            held_ms: 1,
            callers: 2,
        },
        DecisionEvent::TasksPlaced {
            job: "j".into(),
            agent: "a".into(),
            assignment: 1,
            tasks: 1,
            after_ms: 1,
            free_cpu_millis: 1,
            report_age_ms: 1,
        },
        DecisionEvent::TaskReturned {
            job: "j".into(),
            task: TASK,
            agent: "a".into(),
            run: 1,
            how: EndKind::Failed,
            ran_ms: 1,
        },
        DecisionEvent::JobAnswered {
            job: "j".into(),
            route: "r".into(),
            outcome: "completed".into(),
            took_ms: 1,
            placed_after_ms: Some(1),
            done: 1,
            at_agents: 0,
            returned: 0,
        },
        DecisionEvent::JobRefusedByForecast {
            job: "j".into(),
            wait_ms: 1,
            left_ms: 1,
            work_core_ms: 1,
            rate_cpu_millis: 1,
            view_age_ms: 1,
        },
        DecisionEvent::JobGivenUp {
            job: "j".into(),
            crashes: 2,
        },
        DecisionEvent::CancelRequested {
            job: "j".into(),
            is_here: true,
            is_held: false,
        },
        DecisionEvent::CallerDisconnected {
            job: "j".into(),
            took_ms: 1,
        },
        DecisionEvent::RouteNotFound {
            host: "h".into(),
            path: "/p/".into(),
            routing_version: 2,
        },
        DecisionEvent::AgentLinked {
            agent: "a".into(),
            incarnation: 1,
            endpoint: Some("e".into()),
            live: 0,
        },
        DecisionEvent::AgentLost {
            agent: "a".into(),
            in_doubt: 0,
        },
        DecisionEvent::EndpointChanged {
            agent: "a".into(),
            endpoint: None,
            incarnation: 1,
            service: None,
            cpu_millis: 0,
        },
    ]
}

fn agent_events() -> Vec<DecisionEvent> {
    vec![
        DecisionEvent::TaskStarted {
            job: "j".into(),
            task: TASK,
            run: 1,
            entry: "e".into(),
            assignment: 1,
            waited_ms: 1,
            free_cpu_millis: 1,
        },
        DecisionEvent::StartRefused {
            job: "j".into(),
            task: TASK,
            run: 1,
            reason: "no-room".into(),
        },
        DecisionEvent::TaskStopped {
            job: "j".into(),
            task: TASK,
            run: 1,
            reason: "no-answer".into(),
            percent: 0,
        },
        DecisionEvent::TaskEnded {
            job: "j".into(),
            task: TASK,
            run: 1,
            how: EndKind::Done,
            ran_ms: 1,
        },
        DecisionEvent::EndpointLifecycle {
            endpoint: "e".into(),
            incarnation: 1,
            news: "usable".into(),
        },
        DecisionEvent::EndpointCrashed {
            endpoint: "e".into(),
            incarnation: 1,
            at_work: Vec::new(),
        },
        DecisionEvent::EntryLost {
            entry: "e".into(),
            tasks: 0,
            proof_age_ms: 1,
        },
    ]
}

fn shared_events() -> Vec<DecisionEvent> {
    vec![
        DecisionEvent::RoutingInForce {
            version: 2,
            replaced: 1,
            source: "peer".into(),
        },
        DecisionEvent::DirectoryAnswer {
            call: "read".into(),
            outcome: "done".into(),
            after: None,
            directory_revision: Some(7),
            row_revision: Some(5),
            routing_version: Some(2),
        },
        DecisionEvent::Dependency {
            name: "directory".into(),
            is_there: false,
        },
        DecisionEvent::Process {
            news: "started".into(),
            held: 0,
        },
        DecisionEvent::LinesLeftOut { count: 1 },
    ]
}

/// Returns the fields of each event as the page documents them.
fn documented_fields() -> IndexMap<String, IndexSet<String>> {
    let page = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/LOGS.md");
    let page = fs::read_to_string(page).expect("docs/LOGS.md can be read");
    let rows = page.lines().filter(|line| line.starts_with("| `"));
    let rows = rows.map(|row| {
        let cells: Vec<&str> = row.trim_matches('|').split('|').collect();
        let event = cells[0].trim().trim_matches('`').to_owned();
        (event, quoted_names(cells[2]))
    });
    rows.collect()
}

/// Returns the texts in backticks outside of parentheses.
fn quoted_names(cell: &str) -> IndexSet<String> {
    let mut outside = String::new();
    let mut depth = 0;
    for letter in cell.chars() {
        match letter {
            '(' => depth += 1,
            ')' => depth -= 1,
            _ if depth == 0 => outside.push(letter),
            _ => {}
        }
    }
    let quoted = outside.split('`').skip(1).step_by(2);
    quoted.map(str::to_owned).collect()
}

/// Returns the fields of a line that belong to its event, not to every line.
fn written_fields(event: DecisionEvent) -> IndexSet<String> {
    let line = LogLine {
        at_us: 1,
        process: "p".into(),
        sequence: 1,
        event,
    };
    let value = serde_json::to_value(line).expect("a line has an encoding");
    let object = value.as_object().expect("a line is an object");
    let common = ["at_us", "process", "sequence", "event"];
    let own = object.keys().filter(|key| !common.contains(&key.as_str()));
    own.cloned().collect()
}

#[rstest]
fn the_page_has_every_event_with_its_fields() {
    let page = documented_fields();
    let all = one_of_each();
    assert_eq!(page.len(), all.len(), "{:?}", page.keys());
    for event in all {
        let name = event.name();
        let written = written_fields(event);
        let mut documented = page.get(name).cloned().unwrap_or_default();
        documented.sort();
        let mut written: IndexSet<String> = written;
        written.sort();
        assert_eq!(documented, written, "{name}");
    }
}

#[rstest]
fn the_page_names_every_way_a_run_can_end() {
    let page = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/LOGS.md");
    let page = fs::read_to_string(page).expect("docs/LOGS.md can be read");
    let ends = [
        EndKind::Done,
        EndKind::Failed,
        EndKind::NotStarted,
        EndKind::Stopped,
        EndKind::Stalled,
    ];
    for end in ends {
        let name = serde_json::to_value(end).expect("an end kind has an encoding");
        let name = name.as_str().expect("an end kind is encoded as a string");
        assert!(page.contains(&format!("`{name}`")), "{name}");
    }
}
