//! Tests of the errors that an entry returns to callers, against running processes.

mod documented;

use {
    chestnutrun_bench::site::{Site, SitePlan, block_on},
    ntex::http::Method,
    rstest::rstest,
    serde_json::{Value, json},
    std::time::{Duration, Instant},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time::{sleep, timeout},
    },
};

const TOKEN: (&str, &str) = ("authorization", "Bearer token-of-letters");
const KEY: (&str, &str) = ("idempotency-key", "k1");
const FIRST: (&str, &str) = ("submission-attempt", "1");
const JOBS: &str = "/v1/contracts/letters/jobs";
const TASK: &str = r#"{"kind": "stamp", "declared_run_time": "1ms"}"#;

/// A request that the entry refuses, and the expected refusal.
struct RefusedRequest {
    method: Method,
    path: &'static str,
    headers: Vec<(&'static str, &'static str)>,
    body: String,
    status: u16,
    /// Last part of the problem type, which is a URN.
    kind: &'static str,
    not_run: bool,
}

/// Returns a job submission that the entry refuses.
fn refused_submission(status: u16, kind: &'static str, body: impl Into<String>) -> RefusedRequest {
    RefusedRequest {
        method: Method::POST,
        path: JOBS,
        headers: vec![TOKEN, KEY],
        body: body.into(),
        status,
        kind,
        not_run: true,
    }
}

/// Returns a request without a body that the entry refuses, and whose refusal does
/// not say that the job has not run.
fn refused_job_request(
    method: Method,
    path: &'static str,
    status: u16,
    kind: &'static str,
) -> RefusedRequest {
    RefusedRequest {
        method,
        path,
        not_run: false,
        ..refused_submission(status, kind, "")
    }
}

fn job_with(count: usize) -> String {
    format!(r#"{{"tasks": [{}]}}"#, vec![TASK; count].join(", "))
}

fn refusals() -> Vec<RefusedRequest> {
    let mut cases = vec![
        refused_submission(400, "bad-json", "{\"tasks\": [\n}"),
        refused_submission(400, "bad-json", "{\"tasks\": ["),
        refused_submission(400, "bad-json", ""),
        refused_submission(400, "bad-field", r#"{"tasks": [], "colour": 1}"#),
        refused_submission(400, "bad-field", r#"{"tasks": 7}"#),
        refused_submission(
            400,
            "bad-field",
            r#"{"tasks": [{"kind": "stamp", "declared_run_time": "5"}]}"#,
        ),
        refused_submission(400, "no-task", r#"{"tasks": []}"#),
        refused_submission(400, "too-many-tasks", job_with(171)),
        refused_submission(
            400,
            "bad-task",
            r#"{"tasks": [{"kind": "", "declared_run_time": "1s"}]}"#,
        ),
        refused_submission(
            400,
            "bad-deadline",
            format!(r#"{{"tasks": [{TASK}], "deadline_in": "999years"}}"#),
        ),
        refused_submission(413, "body-too-long", " ".repeat(9 * 1024 * 1024)),
        RefusedRequest {
            headers: vec![TOKEN],
            ..refused_submission(400, "key-missing", job_with(1))
        },
        RefusedRequest {
            headers: vec![TOKEN, ("idempotency-key", "a b")],
            ..refused_submission(400, "bad-key", job_with(1))
        },
        RefusedRequest {
            path: "/v1/contracts/letters/jobs?wait=soon",
            ..refused_submission(400, "bad-query", job_with(1))
        },
        RefusedRequest {
            path: "/v1/contracts/letters/jobs?colour=1",
            ..refused_submission(400, "bad-query", job_with(1))
        },
        RefusedRequest {
            headers: vec![KEY, FIRST],
            ..refused_submission(401, "unauthorized", job_with(1))
        },
        RefusedRequest {
            headers: vec![KEY],
            not_run: false,
            ..refused_submission(401, "unauthorized", job_with(1))
        },
        RefusedRequest {
            path: "/v1/contracts/nobody/jobs",
            headers: vec![TOKEN, KEY, FIRST],
            ..refused_submission(401, "unauthorized", job_with(1))
        },
        RefusedRequest {
            path: "/v2/jobs",
            ..refused_submission(404, "not-found", job_with(1))
        },
        RefusedRequest {
            method: Method::PUT,
            ..refused_submission(405, "method-not-allowed", job_with(1))
        },
        refused_job_request(
            Method::GET,
            "/v1/contracts/letters/jobs/nothing",
            404,
            "unknown-job",
        ),
        refused_job_request(
            Method::DELETE,
            "/v1/contracts/letters/jobs/nothing",
            404,
            "unknown-job",
        ),
        refused_job_request(
            Method::GET,
            "/v1/contracts/letters/jobs/k1?wait=soon",
            400,
            "bad-query",
        ),
        refused_job_request(
            Method::GET,
            "/v1/contracts/letters/jobs/a%20b",
            400,
            "bad-key",
        ),
    ];
    cases.push(RefusedRequest {
        method: Method::PATCH,
        ..refused_job_request(
            Method::GET,
            "/v1/contracts/letters/jobs/k1",
            405,
            "method-not-allowed",
        )
    });
    cases.last_mut().expect("a case was pushed").not_run = true;
    cases
}

async fn start_site() -> Site {
    let plan = SitePlan::builder().entries(1).endpoints(1).build();
    let site = Site::start(plan).await.expect("the site starts");
    let contract = Site::contract("letters")
        .build()
        .expect("the contract is valid");
    site.create_contract(&contract)
        .await
        .expect("the contract comes into force");
    site
}

async fn check_refusal(site: &Site, case: &RefusedRequest) {
    let url = format!("http://{}{}", site.plan.callers_address(0), case.path);
    let sent = site
        .client
        .send(case.method.clone(), url, &case.headers, case.body.clone())
        .await;
    let reply = sent.expect("the server replies");
    documented::check_exchange(&case.method, case.path, &reply);
    let kind = format!("urn:chestnutrun:problem:{}", case.kind);
    assert_eq!(reply.body["type"], kind, "{}", reply.body);
    assert_eq!(reply.status, case.status, "{}", reply.body);
    assert_eq!(reply.body["status"], case.status, "{}", reply.body);
    assert_eq!(reply.body["not_run"], case.not_run, "{}", reply.body);
}

#[rstest]
fn refusals_are_problem_documents() {
    block_on(async {
        let site = start_site().await;
        for case in refusals() {
            check_refusal(&site, &case).await;
        }
        let starts = starts(&site).await;
        assert_eq!(starts, json!([]), "a refused request has started a task");
        site.close();
    });
}

#[rstest]
fn bad_json_names_line_and_column() {
    block_on(async {
        let site = start_site().await;
        let body = "{\n  \"tasks\": [],\n  \"colour\": 1\n}";
        let url = format!("http://{}{JOBS}", site.plan.callers_address(0));
        let sent = site
            .client
            .send(Method::POST, url, &[TOKEN, KEY], body.to_owned())
            .await;
        let reply = sent.expect("the server replies");
        assert_eq!(
            (&reply.body["line"], &reply.body["column"]),
            (&json!(3), &json!(10))
        );
        site.close();
    });
}

#[rstest]
fn a_reused_key_does_not_claim_that_the_job_has_not_run() {
    block_on(async {
        let site = start_site().await;
        let callers = site.plan.callers_address(0);
        let first = json!({"tasks": [{"kind": "stamp", "declared_run_time": "1ms"}]});
        let other = json!({"tasks": [{"kind": "letter", "declared_run_time": "1ms"}]});
        let reply = site.client.submit(callers, "letters", "k1", &first).await;
        assert_eq!(reply.expect("the server replies").status, 200);
        let reply = site.client.submit(callers, "letters", "k1", &other).await;
        let reply = reply.expect("the server replies");
        assert_eq!(reply.status, 409, "{}", reply.body);
        assert_eq!(reply.body["type"], "urn:chestnutrun:problem:key-reused");
        assert_eq!(reply.body["not_run"], false);
        site.close();
    });
}

#[rstest]
fn an_entry_without_configuration_is_not_ready() {
    block_on(async {
        let mut site = start_site().await;
        set_fault(&site, "refusing").await;
        site.entries[0].restart().expect("the entry starts");
        let job = json!({"tasks": [{"kind": "stamp", "declared_run_time": "1ms"}]});
        let callers = site.plan.callers_address(0);
        let deadline = Instant::now() + Duration::from_secs(10);
        let reply = loop {
            match site.client.submit(callers, "letters", "k1", &job).await {
                Ok(reply) => break reply,
                Err(error) => assert!(Instant::now() < deadline, "{error}"),
            }
            sleep(Duration::from_millis(20)).await;
        };
        assert_eq!(reply.status, 503, "{}", reply.body);
        assert_eq!(reply.body["type"], "urn:chestnutrun:problem:not-ready");
        assert_eq!(
            reply.body["not_run"], false,
            "an earlier submission may have run"
        );
        assert_eq!(reply.retry_after.as_deref(), Some("1"));
        site.close();
    });
}

async fn set_fault(site: &Site, fault: &str) {
    let url = format!("http://{}/fault", site.plan.table_address());
    let headers = [("content-type", "application/json")];
    let body = format!("\"{fault}\"");
    let set = site.client.send(Method::PUT, url, &headers, body).await;
    assert_eq!(set.expect("the server replies").status, 204);
}

/// A receipt means that an owner has recorded the job, so an entry that reaches no
/// owner must not send one.
#[rstest]
fn without_an_owner_there_is_no_receipt() {
    block_on(async {
        let plan = SitePlan::builder().entries(2).endpoints(1).build();
        let mut site = Site::start(plan).await.expect("the site starts");
        let contract = Site::contract("letters")
            .build()
            .expect("the contract is valid");
        site.create_contract(&contract)
            .await
            .expect("the contract comes into force");
        let shards = site.status(0).await["shards"].clone();
        let owner = usize::from(shards.as_array().is_none_or(Vec::is_empty));
        set_fault(&site, "refusing").await;
        site.entries[owner].kill();
        let other = site.plan.callers_address(u16::from(owner == 0));
        let url = format!("http://{other}{JOBS}?wait=0s");
        let headers = [TOKEN, KEY, FIRST];
        let sent = site.client.send(Method::POST, url, &headers, job_with(1));
        let reply = sent.await.expect("the server replies");
        documented::check_exchange(&Method::POST, JOBS, &reply);
        assert_eq!(reply.status, 503, "{}", reply.body);
        assert_eq!(reply.body["type"], "urn:chestnutrun:problem:no-receipt");
        assert_eq!(reply.body["not_run"], false);
        assert_eq!(reply.retry_after.as_deref(), Some("1"));
        set_fault(&site, "none").await;
        let url = format!("http://{other}{JOBS}");
        let sent = site
            .client
            .send(Method::POST, url, &[TOKEN, KEY], job_with(1));
        let reply = sent.await.expect("the server replies");
        assert_eq!(reply.status, 200, "{}", reply.body);
        let count = starts(&site).await.as_array().map_or(0, Vec::len);
        let is_unknown = reply.body["tasks"][0]["outcome"] == "outcome-unknown";
        assert_eq!(count, usize::from(!is_unknown), "{}", reply.body);
        site.close();
    });
}

/// Sends bytes to the entry without an HTTP client, closes the sending half of the
/// connection if `close_sending` is set, and returns the response.
async fn send_raw(site: &Site, bytes: &[u8], close_sending: bool) -> String {
    let mut stream = TcpStream::connect(site.plan.callers_address(0))
        .await
        .expect("the entry listens");
    stream
        .write_all(bytes)
        .await
        .expect("the entry receives bytes");
    if close_sending {
        stream
            .shutdown()
            .await
            .expect("the sending half can be closed");
    }
    let mut buf = Vec::new();
    // If the entry leaves the connection open after the response, the timeout ends
    // the read.
    let _ = timeout(Duration::from_secs(15), stream.read_to_end(&mut buf)).await;
    String::from_utf8_lossy(&buf).into_owned()
}

fn request_head(length: usize) -> String {
    format!(
        "POST {JOBS} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\
         authorization: Bearer token-of-letters\r\nidempotency-key: k1\r\n\
         content-length: {length}\r\n\r\n"
    )
}

#[rstest]
fn malformed_and_slow_requests_get_specific_errors() {
    block_on(async {
        let site = start_site().await;
        let many_headers: Vec<String> = (0..100).map(|i| format!("x-{i}: 1\r\n")).collect();
        let many_headers = many_headers.concat();
        let cases: [(Vec<u8>, &str, &str); 5] = [
            (
                [request_head(2).as_bytes(), b"\xff\xfe"].concat(),
                " 400 ",
                "bad-utf8",
            ),
            (
                format!("GET {JOBS}/k1 HTTP/1.1\r\nhost: a\r\n{many_headers}\r\n").into_bytes(),
                " 431 ",
                "head-too-large",
            ),
            (b"nonsense\r\n\r\n".to_vec(), " 400 ", "bad-request"),
            (
                [request_head(50).as_bytes(), b"{\"tasks\""].concat(),
                " 408 ",
                "body-too-slow",
            ),
            (
                format!("POST {JOBS} HTTP/1.1\r\nhost").into_bytes(),
                " 408 ",
                "head-too-slow",
            ),
        ];
        for (bytes, status, kind) in cases {
            let answer = send_raw(&site, &bytes, false).await;
            assert!(answer.contains(status), "{kind}: {answer:?}");
            assert!(
                answer.contains(&format!("problem:{kind}")),
                "{kind}: {answer:?}"
            );
        }
        let half = send_raw(
            &site,
            &[request_head(50).as_bytes(), b"{\"tasks\""].concat(),
            true,
        )
        .await;
        assert!(
            half.is_empty() || half.contains("problem:body-cut-off"),
            "{half:?}"
        );
        assert_eq!(
            starts(&site).await,
            json!([]),
            "a malformed request has started a task"
        );
        site.close();
    });
}

async fn starts(site: &Site) -> Value {
    let url = format!("http://{}/starts", site.plan.endpoint_address(0));
    let sent = site.client.send(Method::GET, url, &[], String::new()).await;
    sent.expect("the server replies").body["starts"].clone()
}
