//! Every operation of the `OpenAPI` document, over real processes.

mod documented;

use {
    chestnutrun_bench::site::{HttpReply, Site, SitePlan, block_on},
    ntex::http::Method,
    rstest::rstest,
    serde_json::{Value, json},
    std::collections::BTreeSet,
};

const OPERATOR: &str = "Bearer operators-of-the-bench";
const CALLER: &str = "Bearer token-of-letters";

/// Sends requests and notes which operations they were.
struct Session {
    site: Site,
    seen: BTreeSet<(String, String)>,
}

impl Session {
    async fn call(&mut self, method: Method, path: &str, body: &Value) -> HttpReply {
        self.send(
            self.site.plan.callers_address(0),
            CALLER,
            method,
            path,
            body,
        )
        .await
    }

    async fn operate(&mut self, method: Method, path: &str, body: &Value) -> HttpReply {
        self.send(
            self.site.plan.entry_operators_address(0),
            OPERATOR,
            method,
            path,
            body,
        )
        .await
    }

    async fn send(
        &mut self,
        address: std::net::SocketAddr,
        token: &str,
        method: Method,
        path: &str,
        body: &Value,
    ) -> HttpReply {
        let url = format!("http://{address}{path}");
        let key = format!("k{}", self.seen.len());
        let headers = [("authorization", token), ("idempotency-key", key.as_str())];
        let body = if body.is_null() {
            String::new()
        } else {
            body.to_string()
        };
        let sent = self.site.client.send(method.clone(), url, &headers, body);
        let reply = sent.await.expect("an answer comes");
        documented::check(&method, path, &reply);
        let template = documented::template(path).expect("it is documented");
        self.seen
            .insert((template.to_owned(), method.as_str().to_lowercase()));
        reply
    }
}

fn job(count: usize, run_ms: u64) -> Value {
    let input = format!("{{\"run_ms\":{run_ms}}}");
    let task = json!({"kind": "stamp", "declared_run_time": "1s", "input": input});
    json!({"tasks": vec![task; count]})
}

#[rstest]
fn every_operation_answers_as_documented() {
    block_on(async {
        let plan = SitePlan::builder().entries(1).endpoints(1).build();
        let site = Site::start(plan).await.expect("the site comes up");
        let contract = Site::contract("letters").in_flight_limit(1);
        let contract = contract.queue_limit(2).build().expect("it is valid");
        site.create_contract(&contract).await.expect("in force");
        let mut session = Session {
            site,
            seen: BTreeSet::new(),
        };
        let none = Value::Null;
        let jobs = "/v1/contracts/letters/jobs";
        let reply = session.call(Method::POST, jobs, &job(1, 1)).await;
        assert_eq!(reply.status, 200, "{}", reply.body);
        let open = format!("{jobs}?wait=0s");
        let reply = session.call(Method::POST, &open, &job(2, 400)).await;
        assert_eq!(reply.status, 202, "{}", reply.body);
        let of_job = reply.location.expect("it has a location");
        let reply = session.call(Method::GET, &of_job, &none).await;
        assert_eq!(reply.status, 202, "{}", reply.body);
        let reply = session.call(Method::POST, jobs, &job(100, 1)).await;
        assert_eq!(reply.status, 429, "{}", reply.body);
        assert!(reply.retry_after.is_some());
        let reply = session.call(Method::DELETE, &of_job, &none).await;
        assert_eq!(reply.status, 200, "{}", reply.body);
        let reply = session.call(Method::GET, &of_job, &none).await;
        assert_eq!(reply.status, 200, "{}", reply.body);
        let pages = [
            "/live",
            "/ready",
            "/metrics",
            "/v1/status",
            "/v1/timeline",
            "/v1/contracts",
            "/v1/contracts/letters",
            "/v1/contracts/letters/history",
            "/v1/endpoints",
        ];
        for path in pages {
            let reply = session.operate(Method::GET, path, &none).await;
            assert_eq!(reply.status, 200, "{path}: {}", reply.body);
        }
        let path = "/v1/contracts/letters";
        let reply = session.operate(Method::PUT, path, &json!(contract)).await;
        assert_eq!(reply.status, 409, "{}", reply.body);
        let path = "/v1/endpoints/endpoint-0/drain";
        let reply = session.operate(Method::PUT, path, &none).await;
        assert_eq!(reply.status, 200, "{}", reply.body);
        let reply = session.operate(Method::DELETE, path, &none).await;
        assert_eq!(reply.status, 409, "{}", reply.body);
        let documented: BTreeSet<_> = documented::operations().into_iter().collect();
        assert_eq!(session.seen, documented);
        session.site.close();
    });
}
