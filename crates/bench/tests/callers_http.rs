//! Requests of callers that an entry refuses, over real processes.

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

/// One refused request and what is expected of the refusal.
struct Refused {
    method: Method,
    path: &'static str,
    headers: Vec<(&'static str, &'static str)>,
    body: String,
    status: u16,
    kind: &'static str,
    not_run: bool,
}

fn refused(status: u16, kind: &'static str, body: impl Into<String>) -> Refused {
    Refused {
        method: Method::POST,
        path: JOBS,
        headers: vec![TOKEN, KEY],
        body: body.into(),
        status,
        kind,
        not_run: true,
    }
}

fn asked(method: Method, path: &'static str, status: u16, kind: &'static str) -> Refused {
    Refused {
        method,
        path,
        not_run: false,
        ..refused(status, kind, "")
    }
}

fn job_of(count: usize) -> String {
    format!(r#"{{"tasks": [{}]}}"#, vec![TASK; count].join(", "))
}

fn refusals() -> Vec<Refused> {
    let mut cases = vec![
        refused(400, "bad-json", "{\"tasks\": [\n}"),
        refused(400, "bad-json", "{\"tasks\": ["),
        refused(400, "bad-json", ""),
        refused(400, "bad-field", r#"{"tasks": [], "colour": 1}"#),
        refused(400, "bad-field", r#"{"tasks": 7}"#),
        refused(
            400,
            "bad-field",
            r#"{"tasks": [{"kind": "stamp", "declared_run_time": "5"}]}"#,
        ),
        refused(400, "no-task", r#"{"tasks": []}"#),
        refused(400, "too-many-tasks", job_of(171)),
        refused(
            400,
            "bad-task",
            r#"{"tasks": [{"kind": "", "declared_run_time": "1s"}]}"#,
        ),
        refused(
            400,
            "bad-deadline",
            format!(r#"{{"tasks": [{TASK}], "deadline_in": "999years"}}"#),
        ),
        refused(413, "body-too-long", " ".repeat(9 * 1024 * 1024)),
        Refused {
            headers: vec![TOKEN],
            ..refused(400, "key-missing", job_of(1))
        },
        Refused {
            headers: vec![TOKEN, ("idempotency-key", "a b")],
            ..refused(400, "bad-key", job_of(1))
        },
        Refused {
            path: "/v1/contracts/letters/jobs?wait=soon",
            ..refused(400, "bad-query", job_of(1))
        },
        Refused {
            path: "/v1/contracts/letters/jobs?colour=1",
            ..refused(400, "bad-query", job_of(1))
        },
        Refused {
            headers: vec![KEY, FIRST],
            ..refused(401, "unauthorized", job_of(1))
        },
        Refused {
            headers: vec![KEY],
            not_run: false,
            ..refused(401, "unauthorized", job_of(1))
        },
        Refused {
            path: "/v1/contracts/nobody/jobs",
            headers: vec![TOKEN, KEY, FIRST],
            ..refused(401, "unauthorized", job_of(1))
        },
        Refused {
            path: "/v2/jobs",
            ..refused(404, "not-found", job_of(1))
        },
        Refused {
            method: Method::PUT,
            ..refused(405, "method-not-allowed", job_of(1))
        },
        asked(
            Method::GET,
            "/v1/contracts/letters/jobs/nothing",
            404,
            "unknown-job",
        ),
        asked(
            Method::DELETE,
            "/v1/contracts/letters/jobs/nothing",
            404,
            "unknown-job",
        ),
        asked(
            Method::GET,
            "/v1/contracts/letters/jobs/k1?wait=soon",
            400,
            "bad-query",
        ),
        asked(
            Method::GET,
            "/v1/contracts/letters/jobs/a%20b",
            400,
            "bad-key",
        ),
    ];
    cases.push(Refused {
        method: Method::PATCH,
        ..asked(
            Method::GET,
            "/v1/contracts/letters/jobs/k1",
            405,
            "method-not-allowed",
        )
    });
    cases.last_mut().expect("one was pushed").not_run = true;
    cases
}

async fn site() -> Site {
    let plan = SitePlan::builder().entries(1).endpoints(1).build();
    let site = Site::start(plan).await.expect("the site comes up");
    let contract = Site::contract("letters").build().expect("it is valid");
    site.create_contract(&contract).await.expect("in force");
    site
}

async fn check(site: &Site, case: &Refused) {
    let url = format!("http://{}{}", site.plan.callers_address(0), case.path);
    let sent = site
        .client
        .send(case.method.clone(), url, &case.headers, case.body.clone())
        .await;
    let reply = sent.expect("an answer comes");
    documented::check(&case.method, case.path, &reply);
    let kind = format!("urn:chestnutrun:problem:{}", case.kind);
    assert_eq!(reply.body["type"], kind, "{}", reply.body);
    assert_eq!(reply.status, case.status, "{}", reply.body);
    assert_eq!(reply.body["status"], case.status, "{}", reply.body);
    assert_eq!(reply.body["not_run"], case.not_run, "{}", reply.body);
}

#[rstest]
fn refusals_are_problem_documents() {
    block_on(async {
        let site = site().await;
        for case in refusals() {
            check(&site, &case).await;
        }
        let starts = starts(&site).await;
        assert_eq!(starts, json!([]), "a refused request started a task");
        site.close();
    });
}

#[rstest]
fn bad_json_names_line_and_column() {
    block_on(async {
        let site = site().await;
        let body = "{\n  \"tasks\": [],\n  \"colour\": 1\n}";
        let url = format!("http://{}{JOBS}", site.plan.callers_address(0));
        let sent = site
            .client
            .send(Method::POST, url, &[TOKEN, KEY], body.to_owned())
            .await;
        let reply = sent.expect("an answer comes");
        assert_eq!(
            (&reply.body["line"], &reply.body["column"]),
            (&json!(3), &json!(10))
        );
        site.close();
    });
}

#[rstest]
fn a_key_with_another_body_claims_nothing() {
    block_on(async {
        let site = site().await;
        let callers = site.plan.callers_address(0);
        let first = json!({"tasks": [{"kind": "stamp", "declared_run_time": "1ms"}]});
        let other = json!({"tasks": [{"kind": "letter", "declared_run_time": "1ms"}]});
        let reply = site.client.submit(callers, "letters", "k1", &first).await;
        assert_eq!(reply.expect("an answer comes").status, 200);
        let reply = site.client.submit(callers, "letters", "k1", &other).await;
        let reply = reply.expect("an answer comes");
        assert_eq!(reply.status, 409, "{}", reply.body);
        assert_eq!(reply.body["type"], "urn:chestnutrun:problem:key-reused");
        assert_eq!(reply.body["not_run"], false);
        site.close();
    });
}

#[rstest]
fn an_entry_without_configuration_is_not_ready() {
    block_on(async {
        let mut site = site().await;
        set_fault(&site, "refusing").await;
        site.entries[0].restart().expect("it starts");
        let job = json!({"tasks": [{"kind": "stamp", "declared_run_time": "1ms"}]});
        let callers = site.plan.callers_address(0);
        let by = Instant::now() + Duration::from_secs(10);
        let reply = loop {
            match site.client.submit(callers, "letters", "k1", &job).await {
                Ok(reply) => break reply,
                Err(error) => assert!(Instant::now() < by, "{error}"),
            }
            sleep(Duration::from_millis(20)).await;
        };
        assert_eq!(reply.status, 503, "{}", reply.body);
        assert_eq!(reply.body["type"], "urn:chestnutrun:problem:not-ready");
        assert_eq!(reply.body["not_run"], false, "an earlier try may have run");
        assert_eq!(reply.retry_after.as_deref(), Some("1"));
        site.close();
    });
}

async fn set_fault(site: &Site, fault: &str) {
    let url = format!("http://{}/fault", site.plan.table_address());
    let headers = [("content-type", "application/json")];
    let body = format!("\"{fault}\"");
    let set = site.client.send(Method::PUT, url, &headers, body).await;
    assert_eq!(set.expect("an answer comes").status, 204);
}

/// A receipt means that an owner has recorded the job.
#[rstest]
fn without_an_owner_there_is_no_receipt() {
    block_on(async {
        let plan = SitePlan::builder().entries(2).endpoints(1).build();
        let mut site = Site::start(plan).await.expect("the site comes up");
        let contract = Site::contract("letters").build().expect("it is valid");
        site.create_contract(&contract).await.expect("in force");
        let shards = site.status(0).await["shards"].clone();
        let owner = usize::from(shards.as_array().is_none_or(Vec::is_empty));
        set_fault(&site, "refusing").await;
        site.entries[owner].kill();
        let other = site.plan.callers_address(u16::from(owner == 0));
        let url = format!("http://{other}{JOBS}?wait=0s");
        let headers = [TOKEN, KEY, FIRST];
        let sent = site.client.send(Method::POST, url, &headers, job_of(1));
        let reply = sent.await.expect("an answer comes");
        documented::check(&Method::POST, JOBS, &reply);
        assert_eq!(reply.status, 503, "{}", reply.body);
        assert_eq!(reply.body["type"], "urn:chestnutrun:problem:no-receipt");
        assert_eq!(reply.body["not_run"], false);
        assert_eq!(reply.retry_after.as_deref(), Some("1"));
        set_fault(&site, "none").await;
        let url = format!("http://{other}{JOBS}");
        let sent = site
            .client
            .send(Method::POST, url, &[TOKEN, KEY], job_of(1));
        let reply = sent.await.expect("an answer comes");
        assert_eq!(reply.status, 200, "{}", reply.body);
        let count = starts(&site).await.as_array().map_or(0, Vec::len);
        let is_unknown = reply.body["tasks"][0]["outcome"] == "outcome-unknown";
        assert_eq!(count, usize::from(!is_unknown), "{}", reply.body);
        site.close();
    });
}

/// Sends bytes as they are, closes the sending half where asked, and returns
/// what comes back.
async fn raw(site: &Site, bytes: &[u8], shut: bool) -> String {
    let mut stream = TcpStream::connect(site.plan.callers_address(0))
        .await
        .expect("it listens");
    stream.write_all(bytes).await.expect("it takes bytes");
    if shut {
        stream.shutdown().await.expect("it can be shut");
    }
    let mut buf = Vec::new();
    // A connection that stays open after the answer ends the read as well.
    let _ = timeout(Duration::from_secs(15), stream.read_to_end(&mut buf)).await;
    String::from_utf8_lossy(&buf).into_owned()
}

fn head(length: usize) -> String {
    format!(
        "POST {JOBS} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\
         authorization: Bearer token-of-letters\r\nidempotency-key: k1\r\n\
         content-length: {length}\r\n\r\n"
    )
}

#[rstest]
fn odd_requests_get_clear_errors() {
    block_on(async {
        let site = site().await;
        let many: Vec<String> = (0..100).map(|i| format!("x-{i}: 1\r\n")).collect();
        let many = many.concat();
        let cases: [(Vec<u8>, &str, &str); 5] = [
            (
                [head(2).as_bytes(), b"\xff\xfe"].concat(),
                " 400 ",
                "bad-utf8",
            ),
            (
                format!("GET {JOBS}/k1 HTTP/1.1\r\nhost: a\r\n{many}\r\n").into_bytes(),
                " 431 ",
                "head-too-large",
            ),
            (b"nonsense\r\n\r\n".to_vec(), " 400 ", "bad-request"),
            (
                [head(50).as_bytes(), b"{\"tasks\""].concat(),
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
            let answer = raw(&site, &bytes, false).await;
            assert!(answer.contains(status), "{kind}: {answer:?}");
            assert!(
                answer.contains(&format!("problem:{kind}")),
                "{kind}: {answer:?}"
            );
        }
        let half = raw(&site, &[head(50).as_bytes(), b"{\"tasks\""].concat(), true).await;
        assert!(
            half.is_empty() || half.contains("problem:body-cut-off"),
            "{half:?}"
        );
        assert_eq!(
            starts(&site).await,
            json!([]),
            "an odd request started a task"
        );
        site.close();
    });
}

async fn starts(site: &Site) -> Value {
    let url = format!("http://{}/starts", site.plan.endpoint_address(0));
    let sent = site.client.send(Method::GET, url, &[], String::new()).await;
    sent.expect("an answer comes").body["starts"].clone()
}
