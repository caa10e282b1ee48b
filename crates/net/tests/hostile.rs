//! Tests of listeners whose clients send lines that do not end, or many requests at once:
//! the HTTP library bounds neither.

use {
    chestnutrun_decisions::intake::IntakeLimits,
    chestnutrun_net::{
        BodyFault, BodyLimits, HttpLimits, SharedIntake, collect_body, http_config,
        serve_http_within,
    },
    ntex::{
        http::StatusCode,
        rt::{DefaultRuntime, System},
        web::{
            App, HttpRequest, HttpResponse, to,
            types::{Payload, State},
        },
    },
    rstest::rstest,
    std::{cell::RefCell, future::Future, net::SocketAddr, rc::Rc, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        time::timeout,
    },
};

const LIMITS: HttpLimits = HttpLimits {
    head_timeout: Duration::from_secs(5),
    keep_alive: Duration::from_secs(5),
    max_headers: 16,
};

const BODY_LIMITS: BodyLimits = BodyLimits {
    max_bytes: 100_000,
    timeout: Duration::from_secs(20),
};

const PLACES: usize = 2;

const CHUNKED: &[u8] = b"POST /body HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Requests that a client sends at once.
const PIPELINED: usize = 50;

/// Longest time for which a test waits for what has to come.
const PATIENCE: Duration = Duration::from_secs(10);

/// Paths of the requests in the order in which they were served.
type Served = Rc<RefCell<Vec<String>>>;

#[derive(Clone)]
struct Handle {
    intake: SharedIntake,
    served: Served,
}

async fn answer(req: HttpRequest, payload: Payload, handle: State<Handle>) -> HttpResponse {
    handle.served.borrow_mut().push(req.path().to_owned());
    match req.path() {
        "/body" => read(&req, payload, &handle.intake).await,
        "/unread" => {
            tokio::time::sleep(PATIENCE).await;
            HttpResponse::Ok().finish()
        }
        _ => {
            handle.intake.begin(req.io()).close();
            HttpResponse::Ok().finish()
        }
    }
}

async fn read(req: &HttpRequest, payload: Payload, intake: &SharedIntake) -> HttpResponse {
    let service = intake.begin(req.io());
    let body = collect_body(req, payload, BODY_LIMITS, &service).await;
    service.close();
    let status = match body {
        Ok(_) => StatusCode::OK,
        Err(BodyFault::LongLine) => StatusCode::BAD_REQUEST,
        Err(_) => StatusCode::SERVICE_UNAVAILABLE,
    };
    HttpResponse::build(status).force_close().finish()
}

/// Runs a test against a listener with few places.
fn with_listener<F: Future<Output = ()>>(test: impl FnOnce(SocketAddr, Served) -> F + 'static) {
    System::new("test", DefaultRuntime).block_on(async move {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let to_address = listener.local_addr().unwrap();
        let intake = SharedIntake::new(IntakeLimits {
            connections: PLACES,
            bytes: 1 << 20,
        });
        let served = Served::default();
        let handle = Handle {
            intake: intake.clone(),
            served: served.clone(),
        };
        let app = App::new().state(handle).default_service(to(answer));
        let cfg = http_config("test", LIMITS);
        ntex::rt::spawn(serve_http_within(listener, app, cfg, intake));
        test(to_address, served).await;
    });
}

async fn connect(to_address: SocketAddr) -> TcpStream {
    TcpStream::connect(to_address).await.unwrap()
}

fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: x\r\n\r\n")
}

/// Reads until the connection ends, or for as long as a test waits.
async fn read_all(connection: &mut TcpStream) -> String {
    let mut buf = Vec::new();
    // What came before a reset or the end of the time counts.
    let _ = timeout(PATIENCE, connection.read_to_end(&mut buf)).await;
    String::from_utf8_lossy(&buf).into_owned()
}

#[rstest]
#[case::extension(b"1;", 400)]
#[case::long_but_legal(b"", 200)]
fn a_chunk_with_a_line_that_is_too_long_is_answered(#[case] chunk: &[u8], #[case] status: u16) {
    let chunk = chunk.to_vec();
    with_listener(async move |to_address, _| {
        let mut connection = connect(to_address).await;
        connection.write_all(CHUNKED).await.unwrap();
        let line = if chunk.is_empty() {
            // An extension as long as the longest head of the users' sites.
            [b"1;", vec![b'e'; 16_384].as_slice(), b"\r\nx\r\n0\r\n\r\n"].concat()
        } else {
            [&chunk[..], &vec![b'e'; 28 * 1_024]].concat()
        };
        connection.write_all(&line).await.unwrap();
        let answer = read_all(&mut connection).await;
        assert!(
            answer.starts_with(&format!("HTTP/1.1 {status}")),
            "{answer}"
        );
    });
}

/// A client that goes on sending must get the status for which its request was refused.
#[rstest]
#[case::target("GET /", "a", "431")]
#[case::header("GET / HTTP/1.1\r\nHost: ", "a", "431")]
#[case::empty_lines("", "\r\n", "431")]
#[case::chunk(&String::from_utf8_lossy(CHUNKED), "0", "400")]
#[case::extension(&format!("{}1;", String::from_utf8_lossy(CHUNKED)), "e", "400")]
fn a_refused_client_that_sends_on_gets_its_status(
    #[case] head: &str,
    #[case] piece: &str,
    #[case] status: &str,
) {
    let req = head.to_owned() + &piece.repeat(4 << 20);
    let expected = format!("HTTP/1.1 {status}");
    with_listener(async move |to_address, _| {
        let (mut read_half, mut write_half) = connect(to_address).await.into_split();
        let writing = tokio::task::spawn_local(async move {
            // Fails once the connection is closed.
            let _ = write_half.write_all(req.as_bytes()).await;
            write_half
        });
        let mut buf = [0; 12];
        let read = timeout(PATIENCE, read_half.read_exact(&mut buf)).await;
        let answer = String::from_utf8_lossy(&buf);
        assert!(
            matches!(read, Ok(Ok(_))) && answer == expected,
            "{read:?} {answer}"
        );
        writing.abort();
    });
}

/// Guards against a handler that does not ask for the body, while the library collects a
/// line that does not end.
#[rstest]
fn a_line_without_an_end_closes_a_connection_whose_body_nobody_reads() {
    with_listener(async move |to_address, _| {
        let mut connection = connect(to_address).await;
        let head = String::from_utf8_lossy(CHUNKED).replace("/body", "/unread");
        connection.write_all(head.as_bytes()).await.unwrap();
        connection.write_all(b"1;").await.unwrap();
        let piece = vec![b'e'; 1 << 20];
        let writing = async {
            // More than the kernel keeps on both sides.
            for _ in 0..64 {
                connection.write_all(&piece).await?;
            }
            std::io::Result::Ok(())
        };
        let written = timeout(PATIENCE, writing).await;
        let is_closed = matches!(written, Ok(Err(_)));
        assert!(is_closed, "the process took the whole line");
    });
}

/// The library serves all requests that a client has sent before it looks at others.
#[rstest]
fn requests_that_were_sent_at_once_do_not_go_before_those_of_others() {
    with_listener(async move |to_address, served| {
        let (mut first, mut second) = (connect(to_address).await, connect(to_address).await);
        let at_once = get("/first").repeat(PIPELINED);
        first.write_all(at_once.as_bytes()).await.unwrap();
        second.write_all(get("/second").as_bytes()).await.unwrap();
        let mut buf = [0; 64];
        second.read_exact(&mut buf[..12]).await.unwrap();
        let before = served.borrow().iter().position(|path| path == "/second");
        let before = before.expect("the second client is served");
        assert!(before < PIPELINED, "it was served after all others");
    });
}

/// A response that says that the connection closes has to be the last one.
#[rstest]
fn a_connection_with_further_requests_yields_to_a_new_one() {
    with_listener(async move |to_address, _| {
        let mut busy = Vec::new();
        for _ in 0..PLACES {
            let mut connection = connect(to_address).await;
            connection.write_all(get("/busy").as_bytes()).await.unwrap();
            busy.push(connection);
        }
        let mut last = connect(to_address).await;
        last.write_all(get("/last").as_bytes()).await.unwrap();
        let keep_busy = async {
            loop {
                for connection in &mut busy {
                    // A connection that was closed refuses the request.
                    let _ = connection
                        .write_all(get("/busy").repeat(20).as_bytes())
                        .await;
                }
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        let mut buf = [0; 12];
        tokio::select! {
            () = keep_busy => {}
            read = timeout(PATIENCE, last.read_exact(&mut buf)) => {
                assert!(matches!(read, Ok(Ok(_))), "the last client got no place");
            }
        }
    });
}
