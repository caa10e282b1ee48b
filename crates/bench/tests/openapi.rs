//! Calls every operation of the `OpenAPI` document, against running processes.

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

/// Sends requests to a site and records the operations of the document that they
/// called.
struct Session {
    site: Site,
    called_operations: BTreeSet<(String, String)>,
}

impl Session {
    async fn send_as_caller(&mut self, method: Method, path: &str, body: &Value) -> HttpReply {
        self.send(
            self.site.plan.callers_address(0),
            CALLER,
            method,
            path,
            body,
        )
        .await
    }

    async fn send_as_operator(&mut self, method: Method, path: &str, body: &Value) -> HttpReply {
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
        let key = format!("k{}", self.called_operations.len());
        let headers = [("authorization", token), ("idempotency-key", key.as_str())];
        let body = if body.is_null() {
            String::new()
        } else {
            body.to_string()
        };
        let sent = self.site.client.send(method.clone(), url, &headers, body);
        let reply = sent.await.expect("the server replies");
        documented::check_exchange(&method, path, &reply);
        let template = documented::path_template(path).expect("the document has the path");
        self.called_operations
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
        let site = Site::start(plan).await.expect("the site starts");
        let contract = Site::contract("letters").in_flight_limit(1);
        let contract = contract
            .queue_limit(2)
            .build()
            .expect("the contract is valid");
        site.create_contract(&contract)
            .await
            .expect("the contract comes into force");
        let mut session = Session {
            site,
            called_operations: BTreeSet::new(),
        };
        let none = Value::Null;
        let jobs = "/v1/contracts/letters/jobs";
        let reply = session.send_as_caller(Method::POST, jobs, &job(1, 1)).await;
        assert_eq!(reply.status, 200, "{}", reply.body);
        let path_without_wait = format!("{jobs}?wait=0s");
        let reply = session
            .send_as_caller(Method::POST, &path_without_wait, &job(2, 400))
            .await;
        assert_eq!(reply.status, 202, "{}", reply.body);
        let job_path = reply.location.expect("the reply has a location");
        let reply = session.send_as_caller(Method::GET, &job_path, &none).await;
        assert_eq!(reply.status, 202, "{}", reply.body);
        let reply = session
            .send_as_caller(Method::POST, jobs, &job(100, 1))
            .await;
        assert_eq!(reply.status, 429, "{}", reply.body);
        assert!(reply.retry_after.is_some());
        let reply = session
            .send_as_caller(Method::DELETE, &job_path, &none)
            .await;
        assert_eq!(reply.status, 200, "{}", reply.body);
        let reply = session.send_as_caller(Method::GET, &job_path, &none).await;
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
            let reply = session.send_as_operator(Method::GET, path, &none).await;
            assert_eq!(reply.status, 200, "{path}: {}", reply.body);
        }
        let path = "/v1/contracts/letters";
        let reply = session
            .send_as_operator(Method::PUT, path, &json!(contract))
            .await;
        assert_eq!(reply.status, 409, "{}", reply.body);
        let path = "/v1/endpoints/endpoint-0/drain";
        let reply = session.send_as_operator(Method::PUT, path, &none).await;
        assert_eq!(reply.status, 200, "{}", reply.body);
        let reply = session.send_as_operator(Method::DELETE, path, &none).await;
        assert_eq!(reply.status, 409, "{}", reply.body);
        let documented: BTreeSet<_> = documented::operations().into_iter().collect();
        assert_eq!(session.called_operations, documented);
        session.site.close();
    });
}
