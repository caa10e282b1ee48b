//! Tests that each request is counted for its own connection while others end: the
//! library gives the id of a connection that ended to the next one.

use {
    chestnutrun_decisions::intake::IntakeLimits,
    chestnutrun_net::{
        BodyLimits, HttpLimits, SharedIntake, collect_body, http_config, serve_http_within,
    },
    ntex::{
        rt::{DefaultRuntime, System},
        web::{
            App, HttpRequest, HttpResponse, to,
            types::{Payload, State},
        },
    },
    rstest::rstest,
    std::time::Duration,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
    },
};

const LIMITS: HttpLimits = HttpLimits {
    head_timeout: Duration::from_secs(5),
    keep_alive: Duration::from_secs(5),
    max_headers: 16,
};

const BODY_LIMITS: BodyLimits = BodyLimits {
    max_bytes: 100,
    timeout: Duration::from_secs(2),
};

async fn read(req: HttpRequest, payload: Payload, intake: State<SharedIntake>) -> HttpResponse {
    let service = intake.begin(req.io());
    let body = collect_body(&req, payload, BODY_LIMITS, &service).await;
    service.close();
    match body {
        Ok(_) => HttpResponse::Ok().finish(),
        Err(_) => HttpResponse::ServiceUnavailable().finish(),
    }
}

#[rstest]
fn requests_are_served_while_other_connections_end() {
    System::new("test", DefaultRuntime).block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let to_address = listener.local_addr().unwrap();
        let limits = IntakeLimits {
            connections: 8,
            bytes: 4_096,
        };
        let intake = SharedIntake::new(limits);
        let app = App::new().state(intake.clone()).default_service(to(read));
        let cfg = http_config("test", LIMITS);
        ntex::rt::spawn(serve_http_within(listener, app, cfg, intake.clone()));
        let mut last = None;
        for _ in 0..100 {
            let mut next = TcpStream::connect(to_address).await.unwrap();
            // The connection before this one ends while this one begins.
            drop(last.take());
            let head = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc";
            next.write_all(head).await.unwrap();
            let mut buf = [0; 64];
            let read = next.read(&mut buf).await.unwrap();
            let answer = String::from_utf8_lossy(&buf[..read]).into_owned();
            assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
            last = Some(next);
        }
        drop(last);
        tokio::time::sleep(Duration::from_millis(100)).await;
        let metrics = intake.metrics("test");
        let held = metrics.lines().take(2).map(|line| line.ends_with(" 0"));
        assert!(held.into_iter().all(|is_zero| is_zero), "{metrics}");
    });
}
