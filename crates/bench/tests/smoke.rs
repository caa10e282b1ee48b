//! Tests that a job completes and that agents connect to every entry, against
//! running processes.

use {
    chestnutrun_bench::site::{Site, SitePlan, block_on},
    rstest::rstest,
    serde_json::json,
    std::time::{Duration, Instant},
    tokio::time::sleep,
};

#[rstest]
#[case::at_the_owner(0)]
#[case::at_another_entry(1)]
#[case::at_a_third_entry(2)]
fn a_job_completes_at_each_entry(#[case] entry: u16) {
    block_on(async move {
        let plan = SitePlan::builder().endpoints(2).build();
        let site = Site::start(plan).await.expect("the site starts");
        let contract = Site::contract("letters").in_flight_limit(8).build();
        let contract = contract.expect("the contract is valid");
        site.create_contract(&contract)
            .await
            .expect("the contract comes into force");
        let body = json!({"tasks": [
            {"kind": "honorific", "declared_run_time": "1ms", "input": "{\"run_ms\":1}"},
            {"kind": "stamp", "declared_run_time": "1ms", "input": "{\"run_ms\":1}"},
        ]});
        let callers = site.plan.callers_address(entry);
        let reply = site.client.submit(callers, "letters", "k1", &body).await;
        let reply = reply.expect("the server replies");
        assert_eq!(reply.status, 200, "{}", reply.body);
        let expected = json!({
            "contract": "letters",
            "key": "k1",
            "state": "ended",
            "status": "complete",
            "tasks": [
                {"outcome": "completed", "output": "done letters/k1#0"},
                {"outcome": "completed", "output": "done letters/k1#1"},
            ],
        });
        assert_eq!(reply.body, expected);
        site.close();
    });
}

/// Number of sites that the test starts, one after another.
const SITES: usize = 8;

/// Time within which every agent of a site has to be linked to every entry.
const LINKED_WITHIN: Duration = Duration::from_secs(10);

#[test]
fn every_agent_links_to_every_entry() {
    for _ in 0..SITES {
        block_on(async {
            let plan = SitePlan::builder().endpoints(2).build();
            let site = Site::start(plan).await.expect("the site starts");
            let deadline = Instant::now() + LINKED_WITHIN;
            while !site.is_complete().await {
                assert!(
                    Instant::now() < deadline,
                    "an agent lacks a link to an entry"
                );
                sleep(Duration::from_millis(20)).await;
            }
            site.close();
        });
    }
}
