//! What the client's errors tell of a request, against real sockets.

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
    let client = client.expect("a client");
    let sent = client.post(format!("http://{to}/")).send_body("run").await;
    sent.expect_err("nobody answers")
}

#[rstest]
fn a_request_without_a_listener_was_not_sent() {
    System::new("test", DefaultRuntime).block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        drop(listener);
        assert!(was_not_sent(&post(address).await));
    });
}

#[rstest]
fn a_request_that_was_read_may_have_an_effect() {
    System::new("test", DefaultRuntime).block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        ntex::rt::spawn(async move {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            let mut buf = [0; 1_024];
            let read = stream.read(&mut buf).await;
            assert!(read.is_ok_and(|bytes| bytes > 0), "the request came");
        });
        assert!(!was_not_sent(&post(address).await));
    });
}
