//! Reads of the table when another writer left rows that cannot be decoded.

use {
    chestnutrun_net::{HttpLimits, http_config, serve_http},
    chestnutrun_table::{HttpTable, Table, TableError},
    chestnutrun_types::TableSnapshot,
    ntex::{
        SharedCfg,
        client::Client,
        rt::{DefaultRuntime, System},
        web::{self, App, HttpResponse, types::State},
    },
    rstest::rstest,
    std::{rc::Rc, time::Duration},
    tokio::net::TcpListener,
};

const LIMITS: HttpLimits = HttpLimits {
    head_timeout: Duration::from_secs(5),
    keep_alive: Duration::from_secs(5),
    max_headers: 64,
};

/// Most bytes of a page of odd rows; an answer of the table may have 64 MiB.
const MAX_PAGE_BYTES: usize = 10_000_000;

const MEMBER: &str = r#"{"key":"site/entry/e","revision":2,
    "value":{"entry":"e","incarnation":1,"inner":"127.0.0.1:7","zone":"z"}}"#;

const DRAIN: &str = r#"{"key":"site/drain/d","revision":3,"value":"draining"}"#;

/// Reads a table with these rows, as JSON texts.
fn read(rows: &[String]) -> Result<TableSnapshot, TableError> {
    let body: Rc<str> = format!("{{\"revision\":9,\"rows\":[{}]}}", rows.join(",")).into();
    System::new("test", DefaultRuntime).block_on(async move {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let answer = |body: State<Rc<str>>| async move {
            HttpResponse::Ok()
                .content_type("application/json")
                .body(body.to_string())
        };
        let app = App::new().state(body).route("/rows", web::get().to(answer));
        ntex::rt::spawn(serve_http(listener, app, http_config("table", LIMITS)));
        let client = Client::builder().build(SharedCfg::default()).await;
        let table = HttpTable::new(address, client.expect("the client is built"));
        table.read().await
    })
}

/// One row that could not be decoded made every read fail. Entries then neither learned
/// of other changes nor confirmed their ownerships.
#[rstest]
#[case::key_only(r#"{"key":"site/entry/x"}"#)]
#[case::nested(&format!(
    r#"{{"key":"site/entry/x","revision":1,"value":{}{}}}"#,
    "[".repeat(100_000),
    "]".repeat(100_000)
))]
#[case::no_key(r#"{"revision":1,"value":7}"#)]
#[case::number(r#"{"key":"site/contract/x","revision":1,"value":1e999}"#)]
#[case::revision(r#"{"key":"site/drain/x","revision":1e30,"value":"draining"}"#)]
#[case::port(
    r#"{"key":"site/entry/x","revision":1,
    "value":{"entry":"x","incarnation":1,"inner":"127.0.0.1:70000","zone":"z"}}"#
)]
#[case::negative(
    r#"{"key":"site/entry/x","revision":1,
    "value":{"entry":"x","incarnation":-1,"inner":"127.0.0.1:7","zone":"z"}}"#
)]
#[case::no_shard(r#"{"key":"site/owner/x","revision":1,"value":{}}"#)]
#[case::two_keys(r#"{"key":"site/entry/x","key":"site/entry/y","revision":1,"value":{}}"#)]
#[case::no_row("7")]
fn one_odd_row_hides_the_whole_table(#[case] odd: &str) {
    let (odd, member, drain) = (odd.to_owned(), MEMBER.to_owned(), DRAIN.to_owned());
    let page = vec![odd.clone(); 500.min(MAX_PAGE_BYTES / odd.len())];
    for rows in [
        vec![odd.clone(), member.clone(), drain.clone()],
        vec![member.clone(), drain.clone(), odd],
        [vec![member], page, vec![drain]].concat(),
    ] {
        let snapshot = read(&rows).expect("the other rows are read");
        assert_eq!(snapshot.revision, 9);
        assert!(snapshot.members.contains_key("e"));
        assert_eq!(snapshot.members.len(), 1);
        assert!(snapshot.configuration.is_draining("d"));
    }
    assert!(read(&[]).expect("no row is read").members.is_empty());
}

/// An entry that skipped the ownership of another would go on as the owner.
#[rstest]
#[case::value(r#"{"key":"site/owner/0","revision":1,"value":{"shard":0}}"#)]
#[case::revision(r#"{"key":"site/owner/0","revision":-1,"value":{}}"#)]
#[case::number(r#"{"key":"site/owner/0","revision":1,"value":1e999}"#)]
fn an_ownership_that_cannot_be_read_is_taken_for_none(#[case] odd: &str) {
    let read = read(&[MEMBER.to_owned(), odd.to_owned()]);
    assert!(matches!(read, Err(TableError::Answer(_))), "{read:?}");
}
