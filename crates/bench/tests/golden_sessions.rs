//! Runs sessions against running processes and compares their text with the files
//! under `golden`; `UPDATE_EXPECT=1` updates these files.

mod golden_session;

use {
    chestnutrun_bench::site::{Site, SitePlan, SitePlanBuilder, block_on},
    chestnutrun_types::{Contract, Overflow},
    expect_test::expect_file,
    golden_session::Session,
    ntex::http::Method,
    rstest::rstest,
    serde_json::{Value, json},
};

const JOBS: &str = "/v1/contracts/letters/jobs";
const CONTRACT: &str = "/v1/contracts/letters";

fn job(tasks: &[(&str, u64)]) -> Value {
    let task = |(kind, run_ms): &(&str, u64)| {
        let input = format!("{{\"run_ms\":{run_ms}}}");
        json!({"kind": kind, "declared_run_time": format!("{run_ms}ms"), "input": input})
    };
    json!({"tasks": tasks.iter().map(task).collect::<Vec<_>>()})
}

fn plan(entries: u16, endpoints: u16) -> SitePlan {
    plan_builder(entries, endpoints).build()
}

fn plan_builder(entries: u16, endpoints: u16) -> SitePlanBuilder {
    SitePlan::builder().entries(entries).endpoints(endpoints)
}

/// Returns the plan of a site that starts tasks in the order of their arrival, so
/// that short tasks wait for a long one that came first.
fn first_come_plan(entries: u16, endpoints: u16) -> SitePlan {
    plan_builder(entries, endpoints)
        .policy("first-come")
        .build()
}

fn letters_contract(limit: u32) -> Contract {
    let contract = Site::contract("letters").in_flight_limit(limit).build();
    contract.expect("the contract is valid")
}

#[rstest]
fn submit_and_wait() {
    block_on(async {
        let contract = Site::contract("letters").in_flight_limit(8);
        let mut session = Session::start(plan(1, 1), contract).await;
        let body = job(&[("honorific", 1), ("letter", 5), ("stamp", 1)]);
        let key = [("idempotency-key", "caller-7.1")];
        session
            .send_as_caller(0, Method::POST, JOBS, &key, &body)
            .await;
        let failing = json!({"tasks": [
            {"kind": "stamp", "declared_run_time": "1ms", "input": "{\"fails\":true}"},
            {"kind": "stamp", "declared_run_time": "1ms"},
        ]});
        session.add_remark("One task that fails makes the job fail; the other's output stays.");
        let key = [("idempotency-key", "caller-7.2")];
        session
            .send_as_caller(0, Method::POST, JOBS, &key, &failing)
            .await;
        expect_file!["./golden/submit_and_wait.txt"].assert_eq(&session.close());
    });
}

#[rstest]
fn submit_and_ask_later() {
    block_on(async {
        let contract = Site::contract("letters").in_flight_limit(8);
        let mut session = Session::start(plan(1, 1), contract).await;
        let key = [("idempotency-key", "caller-7.1")];
        let path = format!("{JOBS}?wait=0s");
        let body = job(&[("letter", 1_500)]);
        let reply = session
            .send_as_caller(0, Method::POST, &path, &key, &body)
            .await;
        let job_path = reply.location.expect("the reply has a location");
        session
            .send_as_caller(0, Method::GET, &job_path, &[], &Value::Null)
            .await;
        let waiting = format!("{job_path}?wait=30s");
        session
            .send_as_caller(0, Method::GET, &waiting, &[], &Value::Null)
            .await;
        let unknown = format!("{JOBS}/caller-7.2");
        session
            .send_as_caller(0, Method::GET, &unknown, &[], &Value::Null)
            .await;
        expect_file!["./golden/submit_and_ask_later.txt"].assert_eq(&session.close());
    });
}

#[rstest]
fn resubmit_at_another_entry() {
    block_on(async {
        let contract = Site::contract("letters").in_flight_limit(8);
        let mut session = Session::start(plan(3, 1), contract).await;
        let key = [("idempotency-key", "caller-7.1")];
        let body = job(&[("stamp", 300)]);
        session
            .send_as_caller(0, Method::POST, &format!("{JOBS}?wait=0s"), &key, &body)
            .await;
        session.add_remark("The caller believes the answer lost and submits elsewhere.");
        session
            .send_as_caller(1, Method::POST, JOBS, &key, &body)
            .await;
        session.add_remark("Once more, after the end.");
        session
            .send_as_caller(2, Method::POST, JOBS, &key, &body)
            .await;
        session.add_remark("The same key with another body.");
        session
            .send_as_caller(1, Method::POST, JOBS, &key, &job(&[("letter", 1)]))
            .await;
        session.record_starts(0).await;
        expect_file!["./golden/resubmit_at_another_entry.txt"].assert_eq(&session.close());
    });
}

#[rstest]
fn overload() {
    block_on(async {
        let contract = Site::contract("letters").in_flight_limit(1).queue_limit(2);
        let mut session = Session::start(first_come_plan(1, 1), contract).await;
        let long = job(&[("letter", 1_500), ("letter", 1), ("letter", 1)]);
        let key = [("idempotency-key", "caller-7.1")];
        session
            .send_as_caller(0, Method::POST, &format!("{JOBS}?wait=0s"), &key, &long)
            .await;
        session.add_remark("The queue takes no more.");
        let key = [("idempotency-key", "caller-7.2")];
        session
            .send_as_caller(0, Method::POST, JOBS, &key, &job(&[("stamp", 1); 3]))
            .await;
        let key = [("idempotency-key", "caller-7.1")];
        session.add_remark("What was accepted is not affected.");
        session
            .send_as_caller(0, Method::POST, JOBS, &key, &long)
            .await;
        session.record_starts(0).await;
        session.add_remark("Now the queue has room.");
        let key = [("idempotency-key", "caller-7.2")];
        session
            .send_as_caller(0, Method::POST, JOBS, &key, &job(&[("stamp", 1); 3]))
            .await;
        expect_file!["./golden/overload.txt"].assert_eq(&session.close());
    });
}

#[rstest]
fn overload_without_a_queue() {
    block_on(async {
        let contract = Site::contract("letters").in_flight_limit(2);
        let contract = contract.overflow(Overflow::Refuse);
        let mut session = Session::start(plan(1, 1), contract).await;
        let key = [("idempotency-key", "caller-7.1")];
        let long = job(&[("letter", 1_500), ("letter", 1_500)]);
        session
            .send_as_caller(0, Method::POST, &format!("{JOBS}?wait=0s"), &key, &long)
            .await;
        let key = [("idempotency-key", "caller-7.2")];
        session
            .send_as_caller(0, Method::POST, JOBS, &key, &job(&[("stamp", 1)]))
            .await;
        let waiting = format!("{JOBS}/caller-7.1?wait=30s");
        session
            .send_as_caller(0, Method::GET, &waiting, &[], &Value::Null)
            .await;
        session.record_starts(0).await;
        expect_file!["./golden/overload_without_a_queue.txt"].assert_eq(&session.close());
    });
}

#[rstest]
fn cancel() {
    block_on(async {
        let contract = Site::contract("letters").in_flight_limit(1);
        let mut session = Session::start(first_come_plan(2, 1), contract).await;
        let key = [("idempotency-key", "caller-7.1")];
        let body = job(&[("letter", 1_500), ("letter", 1), ("letter", 1)]);
        let path = format!("{JOBS}?wait=0s");
        let reply = session
            .send_as_caller(0, Method::POST, &path, &key, &body)
            .await;
        let job_path = reply.location.expect("the reply has a location");
        session.wait_for_start(0).await;
        session.add_remark("The task that runs goes on; the others never start.");
        session
            .send_as_caller(1, Method::DELETE, &job_path, &[], &Value::Null)
            .await;
        session.record_starts(0).await;
        let unknown = format!("{JOBS}/caller-7.2");
        session
            .send_as_caller(1, Method::DELETE, &unknown, &[], &Value::Null)
            .await;
        expect_file!["./golden/cancel.txt"].assert_eq(&session.close());
    });
}

#[rstest]
fn change_a_contract_in_a_race() {
    block_on(async {
        let contract = Site::contract("letters").in_flight_limit(4);
        let mut session = Session::start(plan(2, 1), contract).await;
        let none = Value::Null;
        let reply = session
            .send_as_operator(0, Method::GET, CONTRACT, &[], &none)
            .await;
        let revision = reply.body["revision"].to_string();
        session.add_remark("Two operators change the same revision at two entries.");
        let change_by_min = [
            ("if-match", revision.as_str()),
            ("operator-name", "Min"),
            ("operation-id", "a"),
        ];
        session
            .send_as_operator(
                0,
                Method::PUT,
                CONTRACT,
                &change_by_min,
                &json!(letters_contract(6)),
            )
            .await;
        let change_by_sun = [
            ("if-match", revision.as_str()),
            ("operator-name", "Sun"),
            ("operation-id", "b"),
        ];
        let reply = session
            .send_as_operator(
                1,
                Method::PUT,
                CONTRACT,
                &change_by_sun,
                &json!(letters_contract(9)),
            )
            .await;
        session.add_remark("The second looks at the present contract and decides again.");
        let revision = reply.body["present_revision"].to_string();
        let change_by_sun = [
            ("if-match", revision.as_str()),
            ("operator-name", "Sun"),
            ("operation-id", "c"),
        ];
        session
            .send_as_operator(
                1,
                Method::PUT,
                CONTRACT,
                &change_by_sun,
                &json!(letters_contract(9)),
            )
            .await;
        session.add_remark("The same request again, as after a lost answer.");
        session
            .send_as_operator(
                1,
                Method::PUT,
                CONTRACT,
                &change_by_sun,
                &json!(letters_contract(9)),
            )
            .await;
        session
            .wait_for(CONTRACT, "/in_flight_limit", &json!(9))
            .await;
        let path = format!("{CONTRACT}/history");
        let mut history = session
            .send_as_operator(0, Method::GET, &path, &[], &none)
            .await;
        let first = history.body["changes"][0]["operation"].take();
        assert!(first.is_string(), "the first operation has a generated id");
        expect_file!["./golden/change_a_contract_in_a_race.txt"].assert_eq(&session.close());
    });
}

#[rstest]
fn drain_and_return_an_endpoint() {
    block_on(async {
        let contract = Site::contract("letters").in_flight_limit(8);
        let mut session = Session::start(plan(2, 2), contract).await;
        let path = "/v1/endpoints/endpoint-0/drain";
        let none = Value::Null;
        session
            .send_as_operator(0, Method::PUT, path, &[("operation-id", "a")], &none)
            .await;
        session
            .wait_for("/v1/endpoints", "/endpoints/0/drain", &json!("draining"))
            .await;
        let key = [("idempotency-key", "caller-7.1")];
        session
            .send_as_caller(1, Method::POST, JOBS, &key, &job(&[("stamp", 20); 4]))
            .await;
        session.record_starts(0).await;
        session.record_starts(1).await;
        session.add_remark("A return that does not know the present revision.");
        let reply = session
            .send_as_operator(1, Method::DELETE, path, &[], &none)
            .await;
        let revision = reply.body["present_revision"].to_string();
        let headers = [("if-match", revision.as_str()), ("operation-id", "b")];
        session
            .send_as_operator(1, Method::DELETE, path, &headers, &none)
            .await;
        session
            .wait_for("/v1/endpoints", "/endpoints/0/drain", &json!("serving"))
            .await;
        expect_file!["./golden/drain_and_return_an_endpoint.txt"].assert_eq(&session.close());
    });
}
