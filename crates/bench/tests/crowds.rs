//! Tests that clients which do not keep to the limits neither end a process of a site of
//! our own nor take the descriptors and the memory that it needs for its links, the table
//! and operators, and that an ordinary request is answered while they stay connected.
//!
//! They guard against listeners whose limits do not follow from the machine. The tests
//! run one at a time. They check no times and no share of served requests.

use {
    chestnutrun_bench::{
        crowd::{Crowd, OwnRequests, Shape},
        site::{ProcessUsage, Site, SitePlan, SiteProcess, block_on},
    },
    ntex::http::Method,
    rstest::rstest,
    serde_json::json,
    std::{
        cell::Cell,
        rc::Rc,
        sync::{Mutex, PoisonError},
        time::Duration,
    },
    tokio::time::{sleep, timeout},
};

/// Descriptors that each process may open.
const DESCRIPTORS: usize = 256;

/// Descriptors that a crowd leaves to links, the table and operators.
const FREE_DESCRIPTORS: usize = 32;

/// Clients of a crowd: more than the process may have descriptors.
const CLIENTS: usize = 400;

/// Longest body that an entry accepts, in bytes.
const LONGEST_BODY: usize = 262_144;

/// Memory of the machine on which each process runs, in kilobytes.
const MEMORY_KILOBYTES: u64 = 96 * 1_024;

/// Most lines that a process may log about a crowd.
const MAX_LOG_LINES: usize = 100;

/// How long a mix of crowds stays, in seconds.
const MIX_SECONDS: u64 = 6;

/// Interval at which the size of the process is read.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);

/// Longest time for which a crowd sends before the ordinary request.
const LONGEST_CROWD: Duration = Duration::from_secs(30);

/// How long ordinary callers and operators wait before they give up.
const PATIENCE: Duration = Duration::from_secs(20);

/// The tests run one at a time.
static TURN: Mutex<()> = Mutex::new(());

/// Process that a crowd connects to, and its listener there.
#[derive(Clone, Copy, Debug)]
enum Target {
    Callers,
    Operators,
    Links,
    AgentOperators,
}

#[rstest]
#[case::silent_callers(Target::Callers, Shape::Silent)]
#[case::silent_operators(Target::Operators, Shape::Silent)]
#[case::silent_links(Target::Links, Shape::Silent)]
#[case::silent_agent_operators(Target::AgentOperators, Shape::Silent)]
fn a_crowd_leaves_descriptors_to_links_table_and_operators(
    #[case] target: Target,
    #[case] shape: Shape,
) {
    play(target, shape, String::new());
}

#[rstest]
#[case::bodies_without_their_end(Target::Callers, Shape::BodiesWithoutTheirEnd)]
#[case::large_bodies(Target::Callers, Shape::LargeBodiesWithOwnIds)]
#[case::wide_jobs(Target::Callers, Shape::WideJobs)]
#[case::chunk_extensions(Target::Callers, Shape::EndlessChunkExtension)]
#[case::unread_pages(Target::Callers, Shape::UnreadPages)]
#[case::unread_submissions(Target::Callers, Shape::UnreadSubmissions)]
#[case::extensions_of_operators(Target::Operators, Shape::EndlessExtensionOfRefused)]
#[case::extensions_of_agent(Target::AgentOperators, Shape::EndlessExtensionOfRefused)]
fn a_crowd_leaves_a_process_within_its_machine(#[case] target: Target, #[case] shape: Shape) {
    play(target, shape, memory_settings());
}

/// Plays drawn mixes of all shapes at callers, operators and links, from fixed seeds; by
/// hand the command plays more clients for longer.
#[rstest]
fn mixes_of_crowds_leave_an_entry_within_its_machine(#[values(1, 2, 3)] seed: u64) {
    let turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    block_on(async move {
        let site = start_site(memory_settings()).await;
        let plan = &site.plan;
        let arguments = [
            format!("--seed={seed}"),
            format!("--clients={CLIENTS}"),
            format!("--seconds={MIX_SECONDS}"),
            format!("--callers={}", plan.callers_address(0)),
            format!("--also={}", plan.entry_operators_address(0)),
            format!("--also={}", plan.links_address(0)),
            format!("--process={}", site.entries[0].id()),
            format!("--max-memory-mb={}", MEMORY_KILOBYTES / 1_024),
            format!("--max-descriptors={}", DESCRIPTORS - FREE_DESCRIPTORS),
        ];
        let arguments = ["crowd".to_owned()].into_iter().chain(arguments);
        let mut crowd = SiteProcess::start("crowd", "chestnutrun-bench", arguments, site.folder())
            .expect("the crowd starts");
        while crowd.exit_status().is_none() {
            sleep(SAMPLE_INTERVAL).await;
        }
        let report = std::fs::read_to_string(crowd.log()).unwrap_or_default();
        println!("{report}");
        let is_good = crowd.exit_status().is_some_and(|status| status.success());
        site.close();
        assert!(is_good, "{report}");
    });
    drop(turn);
}

/// Returns settings of an entry with little memory.
fn memory_settings() -> String {
    format!("limits:\n  body_size: {LONGEST_BODY}B\nmachine:\n  memory: {MEMORY_KILOBYTES}KiB\n")
}

/// Starts a site of one entry and one endpoint with the contract of the callers.
async fn start_site(settings: String) -> Site {
    let plan = SitePlan::builder()
        .entries(1)
        .endpoints(1)
        .descriptors(DESCRIPTORS)
        .entry_settings(settings)
        .build();
    let site = Site::start(plan).await.expect("the site starts");
    let contract = Site::contract("letters").in_flight_limit(8).build();
    let contract = contract.expect("the contract is valid");
    let created = site.create_contract(&contract).await;
    created.expect("the contract comes into force");
    site
}

/// Plays a crowd against a site with further settings of its entry, and checks what holds.
fn play(target: Target, shape: Shape, settings: String) {
    let turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    block_on(async move {
        let mut site = start_site(settings).await;
        let (process, to) = match target {
            Target::Callers => (&site.entries[0], site.plan.callers_address(0)),
            Target::Operators => (&site.entries[0], site.plan.entry_operators_address(0)),
            Target::Links => (&site.entries[0], site.plan.links_address(0)),
            Target::AgentOperators => (&site.agents[0], site.plan.agent_operators_address(0)),
        };
        let idle = process.usage();
        let lines = log_lines(process);
        let highest = Rc::new(Cell::new(idle));
        let sampling = tokio::task::spawn_local(sample(process.id(), highest.clone()));
        let requests = OwnRequests::new("letters", "token-of-letters", LONGEST_BODY);
        let crowd = Crowd::start(to, CLIENTS, shape.script(&requests));
        crowd.until_quiet(LONGEST_CROWD).await;

        let body = json!({"tasks": [{"kind": "stamp", "declared_run_time": "1ms",
            "input": "{\"run_ms\":1}"}]});
        let callers = site.plan.callers_address(0);
        let answer = site.client.submit(callers, "letters", "ordinary", &body);
        let answer = timeout(PATIENCE, answer).await.ok().and_then(Result::ok);
        let operators = site.plan.entry_operators_address(0);
        let page =
            site.client
                .send_as_operator(Method::GET, operators, "/v1/status", String::new());
        let page = timeout(PATIENCE, page).await.ok().and_then(Result::ok);
        sampling.abort();

        let highest = highest.get();
        let (memory, descriptors) = (highest.memory_kilobytes, highest.descriptors);
        let lines = log_lines(process) - lines;
        println!(
            "idle {idle:?}, highest {memory} kB and {descriptors} descriptors, {} kB written, \
             {lines} lines, {answer:?}",
            crowd.written() / 1_024
        );
        crowd.close();
        let mut faults = Vec::new();
        let mut processes = site.entries.iter_mut().chain(&mut site.agents);
        if processes.find_map(SiteProcess::exit_status).is_some() {
            faults.push("a process ended".to_owned());
        }
        if memory > MEMORY_KILOBYTES {
            faults.push(format!("{memory} kB resident of {MEMORY_KILOBYTES}"));
        }
        if descriptors > DESCRIPTORS - FREE_DESCRIPTORS {
            faults.push(format!("{descriptors} descriptors of {DESCRIPTORS}"));
        }
        if lines > MAX_LOG_LINES {
            faults.push(format!("{lines} lines logged of {MAX_LOG_LINES}"));
        }
        if answer.as_ref().map(|reply| reply.status) != Some(200) {
            faults.push(format!("the ordinary request got {answer:?}"));
        }
        if page.as_ref().map(|reply| reply.status) != Some(200) {
            faults.push(format!("the operator got {page:?}"));
        }
        site.close();
        assert!(faults.is_empty(), "{}", faults.join("; "));
    });
    drop(turn);
}

/// Keeps the highest usage of a process.
async fn sample(process: u32, highest: Rc<Cell<ProcessUsage>>) {
    loop {
        highest.set(highest.get().highest(ProcessUsage::of(process)));
        sleep(SAMPLE_INTERVAL).await;
    }
}

fn log_lines(process: &SiteProcess) -> usize {
    let log = std::fs::read_to_string(process.log()).unwrap_or_default();
    log.lines().count()
}
