//! Checks against real sockets which errors of the HTTP client prove that a
//! request was not sent.

use {
    chestnutrun_net::was_not_sent,
    ntex::{
        SharedCfg,
        client::{Client, error::ClientError},
        rt::{DefaultRuntime, System},
    },
    rstest::rstest,
    std::net::SocketAddr,
    tokio::{io::AsyncReadExt, net::TcpListener},
};

async fn post(to: SocketAddr) -> ClientError {
    let client = Client::builder().build(SharedCfg::default()).await;
    let client = client.expect("the client is built");
    let result = client.post(format!("http://{to}/")).send_body("run").await;
    result.expect_err("the request gets no answer")
}

#[rstest]
fn a_request_without_a_listener_was_not_sent() {
    System::new("test", DefaultRuntime).block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("the listener's address");
        drop(listener);
        assert!(was_not_sent(&post(address).await));
    });
}

#[rstest]
fn a_request_that_was_read_may_have_an_effect() {
    System::new("test", DefaultRuntime).block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("the listener's address");
        ntex::rt::spawn(async move {
            let (mut stream, _) = listener.accept().await.expect("the client connects");
            let mut buf = [0; 1_024];
            let read = stream.read(&mut buf).await;
            assert!(read.is_ok_and(|bytes| bytes > 0), "the request arrived");
        });
        assert!(!was_not_sent(&post(address).await));
    });
}
