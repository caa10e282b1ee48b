//! Checks HTTP exchanges against the `OpenAPI` document.

use {
    chestnutrun_bench::site::HttpReply,
    ntex::http::Method,
    serde_json::{Value, json},
    std::sync::LazyLock,
};

static DOCUMENT: LazyLock<Value> = LazyLock::new(|| {
    let text = include_str!("../../../../docs/openapi.yaml");
    serde_saphyr::from_str(text).expect("the document is YAML")
});

/// Problems that any path may return; the document describes them in its text and
/// not with each path.
const PROBLEMS_OF_EVERY_PATH: [&str; 2] = ["method-not-allowed", "not-found"];

/// Returns each path of the document with each of its methods.
#[allow(dead_code, reason = "not every test file uses this function")]
pub fn operations() -> Vec<(String, String)> {
    let paths = DOCUMENT["paths"]
        .as_object()
        .expect("the document has paths");
    let methods = ["get", "put", "post", "delete"];
    let operations = paths.iter().flat_map(|(path, item)| {
        let known = methods.iter().filter(|method| item.get(**method).is_some());
        known.map(|method| (path.clone(), (*method).to_owned()))
    });
    operations.collect()
}

/// Returns the path template of the document that matches a request's path; a query
/// is ignored.
pub fn path_template(path: &str) -> Option<&'static str> {
    let path = path.split('?').next().unwrap_or_default();
    let paths = DOCUMENT["paths"]
        .as_object()
        .expect("the document has paths");
    let matching = paths
        .keys()
        .filter(|template| matches_template(template, path));
    matching
        .map(String::as_str)
        .min_by_key(|template| template.matches('{').count())
}

/// Asserts that the document has the reply's problem type, and its status and media
/// type for the request's path and method.
pub fn check_exchange(method: &Method, path: &str, reply: &HttpReply) {
    let kind = problem_type(reply);
    if let Some(kind) = kind {
        let schema = &DOCUMENT["components"]["schemas"]["Problem"];
        let kinds = schema["properties"]["type"]["enum"].as_array();
        assert!(
            kinds.is_some_and(|kinds| kinds.contains(&json!(kind))),
            "{kind} is not documented"
        );
    }
    if PROBLEMS_OF_EVERY_PATH
        .iter()
        .any(|name| kind.is_some_and(|kind| kind.ends_with(name)))
    {
        return;
    }
    let exchange = format!("{method} {path} {} {:?}", reply.status, reply.media_type);
    let template =
        path_template(path).unwrap_or_else(|| panic!("the document has no path for {exchange}"));
    let method = method.as_str().to_lowercase();
    let responses = &DOCUMENT["paths"][template][&method]["responses"];
    let response = resolve_reference(&responses[reply.status.to_string()]);
    assert!(
        !response.is_null(),
        "the document has no response for {exchange}"
    );
    let media_type = reply.media_type.as_deref().unwrap_or_default();
    assert!(
        !response["content"][media_type].is_null(),
        "the document has no media type for {exchange}"
    );
}

fn problem_type(reply: &HttpReply) -> Option<&str> {
    let is_problem = reply.media_type.as_deref() == Some("application/problem+json");
    reply.body["type"].as_str().filter(|_| is_problem)
}

fn resolve_reference(value: &'static Value) -> &'static Value {
    match value["$ref"].as_str() {
        Some(pointer) => DOCUMENT
            .pointer(pointer.trim_start_matches('#'))
            .unwrap_or_else(|| panic!("{pointer} is not in the document")),
        None => value,
    }
}

fn matches_template(template: &str, path: &str) -> bool {
    let parts = template.split('/').zip(path.split('/'));
    let as_long = template.matches('/').count() == path.matches('/').count();
    as_long && { parts }.all(|(of, part)| of == part || of.starts_with('{'))
}
