//! Tests of the metrics of entries and agents, and of the threads and memory of
//! idle processes.

use {
    chestnutrun_bench::site::{Site, SitePlan, SiteProcess, block_on},
    ntex::http::Method,
    rstest::rstest,
    serde_json::json,
    std::{fs, net::SocketAddr},
};

/// Maximum resident memory of an idle process, in kilobytes.
const MAX_IDLE_KILOBYTES: u64 = 32 * 1024;

async fn start_site() -> Site {
    let plan = SitePlan::builder().endpoints(2).build();
    let site = Site::start(plan).await.expect("the site starts");
    let contract = Site::contract("letters").in_flight_limit(16).build();
    let contract = contract.expect("the contract is valid");
    let created = site.create_contract(&contract).await;
    created.expect("the contract is in force");
    site
}

async fn metrics(site: &Site, operators: SocketAddr) -> String {
    let sent = site
        .client
        .send_as_operator(Method::GET, operators, "/metrics", String::new())
        .await;
    let reply = sent.expect("the process returns its metrics");
    reply.body.as_str().unwrap_or_default().to_owned()
}

/// Asserts that each of `lines` is the beginning of a line of the page.
fn assert_shows(page: &str, lines: &[&str]) {
    for line in lines {
        let is_on_page = page.lines().any(|shown| shown.starts_with(line));
        assert!(is_on_page, "{line} is not in\n{page}");
    }
}

#[rstest]
fn metrics_count_tasks_messages_and_table_requests() {
    block_on(async {
        let site = start_site().await;
        let body = json!({"tasks": [
            {"kind": "honorific", "declared_run_time": "1ms", "input": "{\"run_ms\":1}"},
        ]});
        let callers = site.plan.callers_address(1);
        let reply = site.client.submit(callers, "letters", "k1", &body).await;
        assert_eq!(reply.expect("the server replies").status, 200);
        let mut owner_page = String::new();
        for number in 0..site.plan.entries() {
            let page = metrics(&site, site.plan.entry_operators_address(number)).await;
            if page.contains("chestnutrun_ownership_epoch{shard=\"0\"} 1") {
                owner_page = page;
            }
        }
        assert_shows(
            &owner_page,
            &[
                "chestnutrun_contract_tasks{contract=\"letters\",state=\"running\"} 0",
                "chestnutrun_contract_tasks{contract=\"letters\",state=\"waiting\"} 0",
                "chestnutrun_jobs{state=\"recorded\"} 1",
                "chestnutrun_links{peer=\"agent\"} 2",
                "chestnutrun_messages_total{direction=\"received\",kind=\"finished\",peer=\"agent\"} 1",
                "chestnutrun_messages_total{direction=\"sent\",kind=\"start\",peer=\"agent\"} 1",
                "chestnutrun_slots{state=\"total\"} 16",
                "chestnutrun_table_requests_total{operation=\"read\",outcome=\"done\"}",
                "chestnutrun_table_requests_total{operation=\"write\",outcome=\"done\"}",
            ],
        );
        let submission_page = metrics(&site, site.plan.entry_operators_address(1)).await;
        assert_shows(
            &submission_page,
            &[
                "chestnutrun_replies_total{kind=\"answered\"} 1",
                "chestnutrun_response_time_seconds_count{outcome=\"answered\"} 1",
            ],
        );
        let mut agent_pages = String::new();
        for number in 0..site.plan.endpoints() {
            agent_pages += &metrics(&site, site.plan.agent_operators_address(number)).await;
        }
        assert_shows(
            &agent_pages,
            &[
                "chestnutrun_run_time_seconds_count{outcome=\"completed\"} 1",
                "chestnutrun_tasks_total{outcome=\"completed\"} 1",
                "chestnutrun_messages_total{direction=\"sent\",kind=\"finished\",peer=\"entry\"} 1",
            ],
        );
        site.close();
    });
}

fn threads(process: &SiteProcess) -> Vec<String> {
    let folder = format!("/proc/{}/task", process.id());
    let tasks = fs::read_dir(folder).expect("the process is running");
    tasks
        .flatten()
        .filter_map(|task| fs::read_to_string(task.path().join("comm")).ok())
        .map(|name| name.trim().to_owned())
        .collect()
}

/// Name of the timer thread of the HTTP library, the only thread that a library
/// starts.
const LIBRARY_THREAD: &str = "futures-timer";

#[rstest]
fn an_idle_process_has_one_thread_and_little_memory() {
    block_on(async {
        let site = start_site().await;
        for process in site.entries.iter().chain(&site.agents) {
            let mut threads = threads(process);
            threads.retain(|name| name != LIBRARY_THREAD);
            assert_eq!(threads.len(), 1, "{}: {threads:?}", process.name());
            let kilobytes = process.usage().memory_kilobytes;
            let name = process.name();
            assert!(
                (1..=MAX_IDLE_KILOBYTES).contains(&kilobytes),
                "{name}: {kilobytes} kB"
            );
        }
        site.close();
    });
}
