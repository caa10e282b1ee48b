//! Tests of TLS for callers and operators, against a running entry.

use {
    chestnutrun_bench::{
        crowd::{Crowd, Script},
        site::{ProcessUsage, SitePlan, SiteProcess, block_on},
    },
    ntex::{
        SharedCfg,
        client::{Client, Connector},
    },
    rcgen::{CertifiedKey, generate_simple_self_signed},
    rstest::rstest,
    rustls::{ClientConfig, RootCertStore, pki_types::CertificateDer},
    std::{
        fs,
        net::SocketAddr,
        path::{Path, PathBuf},
        time::{Duration, Instant},
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time::sleep,
    },
};

/// Clients that do not finish their handshakes; the library handles 256 at a time unless
/// it is told otherwise.
const UNFINISHED: usize = 300;

/// Clients of a crowd; more than the memory of the test's settings allows.
const CLIENTS: usize = 800;

/// Memory of the machine in the settings of the test, in megabytes.
const MEMORY_MB: u64 = 52;

/// How long a crowd sends.
const CROWD_TIME: Duration = Duration::from_secs(4);

/// Payload of a TLS record, in bytes.
const RECORD_BYTES: u16 = 16_000;

/// First bytes of a handshake message of 64 KB, which comes in several records.
const LONG_HELLO: [u8; 4] = [1, 0, 0xff, 0xff];

/// A running entry with TLS, and its certificate, which clients trust.
struct TlsEntry {
    process: SiteProcess,
    folder: PathBuf,
    callers: SocketAddr,
    operators: SocketAddr,
    certificate: CertificateDer<'static>,
}

impl TlsEntry {
    fn start() -> Self {
        Self::start_with("")
    }

    /// Starts an entry with further lines of settings.
    fn start_with(further: &str) -> Self {
        let plan = SitePlan::builder().build();
        let callers = plan.callers_address(0);
        let operators = plan.entry_operators_address(0);
        let folder = std::env::temp_dir().join(format!("chestnutrun-tls-{}", callers.ip()));
        fs::create_dir_all(&folder).expect("the folder can be created");
        let names = [callers.ip().to_string()];
        let made = generate_simple_self_signed(names).expect("a certificate can be generated");
        let CertifiedKey { cert, signing_key } = made;
        write(&folder, "certificate.pem", &cert.pem());
        write(&folder, "key.pem", &signing_key.serialize_pem());
        write(&folder, "token", "a-token-for-the-test");
        let path = folder.display();
        let tls = format!("certificate_file: {path}/certificate.pem\n  key_file: {path}/key.pem");
        let settings = format!(
            "name: entry-0\nzone: a\ncallers: {callers}\noperators: {operators}\n\
             inner: {}\ntable: {}\nsite_token_file: {path}/token\noperator_token_file: {path}/token\n\
             callers_tls:\n  {tls}\noperators_tls:\n  {tls}\n{further}",
            plan.links_address(0),
            plan.table_address(),
        );
        write(&folder, "entry-0.yaml", &settings);
        let arguments = ["--conf".to_owned(), format!("{path}/entry-0.yaml")];
        let process = SiteProcess::start("entry-0", "chestnutrun-entry", arguments, &folder);
        Self {
            process: process.expect("the entry starts"),
            folder,
            callers,
            operators,
            certificate: cert.der().clone(),
        }
    }

    async fn client(&self) -> Client {
        let mut roots = RootCertStore::empty();
        roots
            .add(self.certificate.clone())
            .expect("the certificate is a valid root");
        let config = ClientConfig::builder()
            .with_root_certificates(roots)
            .with_no_client_auth();
        let connector = Connector::default().rustls(config);
        let client = Client::builder().connector::<&str>(connector);
        client
            .build(SharedCfg::default())
            .await
            .expect("the client can be created")
    }

    fn close(mut self) {
        self.process.kill();
        // A folder that cannot be removed does no harm.
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn write(folder: &Path, name: &str, text: &str) {
    fs::write(folder.join(name), text).expect("the file can be written");
}

/// Sends the request again until the entry listens; returns status and body.
async fn get(client: &Client, url: &str) -> (u16, String) {
    let deadline = Instant::now() + Duration::from_secs(10);
    loop {
        match client.get(url).send().await {
            Ok(res) => {
                let buf = res.body().await.expect("the body can be read");
                return (
                    res.status().as_u16(),
                    String::from_utf8_lossy(&buf).into_owned(),
                );
            }
            Err(error) => assert!(Instant::now() < deadline, "{url}: {error}"),
        }
        sleep(Duration::from_millis(20)).await;
    }
}

#[rstest]
fn callers_and_operators_are_served_over_tls() {
    block_on(async {
        let entry = TlsEntry::start();
        let client = entry.client().await;
        let live = get(&client, &format!("https://{}/live", entry.operators)).await;
        assert_eq!(live, (200, "live\n".to_owned()));
        let url = format!("https://{}/v1/contracts/letters/jobs/k1", entry.callers);
        let (status, body) = get(&client, &url).await;
        assert_eq!(status, 503, "{body}");
        assert!(body.contains("urn:chestnutrun:problem:not-ready"), "{body}");
        entry.close();
    });
}

#[rstest]
fn plain_http_gets_no_response_on_an_address_with_tls() {
    block_on(async {
        let entry = TlsEntry::start();
        let client = entry.client().await;
        let url = format!("{}/live", entry.operators);
        get(&client, &format!("https://{url}")).await;
        let plain = client.get(format!("http://{url}")).send().await;
        assert!(plain.is_err(), "{plain:?}");
        entry.close();
    });
}

/// Clients that do not finish their handshakes must not keep others from beginning one,
/// not even at another address of the process.
#[rstest]
fn a_handshake_does_not_wait_for_those_of_others() {
    block_on(async {
        let entry = TlsEntry::start();
        let client = entry.client().await;
        get(&client, &format!("https://{}/live", entry.operators)).await;
        let mut silent = Vec::new();
        for _ in 0..UNFINISHED {
            let connection = TcpStream::connect(entry.callers).await;
            silent.push(connection.expect("the entry listens"));
        }
        let mut plain = TcpStream::connect(entry.operators).await.unwrap();
        let sent = plain.write_all(b"GET /live HTTP/1.1\r\n\r\n").await;
        sent.expect("the request is sent");
        let (mut answer, mut nothing) = (Vec::new(), [0; 1]);
        let is_first = tokio::select! {
            // The handshake fails, and the connection ends.
            _ = plain.read_to_end(&mut answer) => true,
            _ = silent[0].read(&mut nothing) => false,
        };
        assert!(is_first, "the handshakes before it had to end first");
        entry.close();
    });
}

/// Returns a handshake message that does not end, with the bytes that the TLS library
/// collects of it.
fn unfinished_hello() -> Script {
    let [high, low] = RECORD_BYTES.to_be_bytes();
    let record = |payload: &[u8]| {
        let mut record = vec![22, 3, 1, high, low];
        record.extend(payload);
        record.resize(5 + usize::from(RECORD_BYTES), 0);
        record
    };
    Script {
        head: record(&LONG_HELLO),
        piece: record(&[]),
        repeats: 3,
        ..Script::default()
    }
}

/// Guards against a limit of connections that leaves out what TLS takes for each.
#[rstest]
fn a_crowd_without_handshakes_leaves_an_entry_within_its_machine() {
    block_on(async {
        let further = format!(
            "limits:\n  body_size: 1MiB\nmachine:\n  memory: {MEMORY_MB}MiB\n  descriptors: 4096\n"
        );
        let mut entry = TlsEntry::start_with(&further);
        let client = entry.client().await;
        let url = format!("https://{}/v1/contracts/letters/jobs/k1", entry.callers);
        get(&client, &url).await;
        let crowd = Crowd::start(entry.callers, CLIENTS, unfinished_hello());
        let until = Instant::now() + CROWD_TIME;
        let mut highest = entry.process.usage();
        while Instant::now() < until {
            highest = highest.highest(ProcessUsage::of(entry.process.id()));
            sleep(Duration::from_millis(10)).await;
        }
        let (status, _) = get(&client, &url).await;
        crowd.close();
        println!("highest {highest:?}");
        assert_eq!(entry.process.exit_status(), None);
        assert!(
            highest.memory_kilobytes <= MEMORY_MB * 1_024,
            "{highest:?} of {MEMORY_MB} MB"
        );
        assert_eq!(
            status, 503,
            "the site is not ready, and the caller is told so"
        );
        entry.close();
    });
}
