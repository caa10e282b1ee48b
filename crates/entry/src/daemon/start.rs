//! Creates an entry from its settings and runs it.

use {
    crate::{
        Arguments, EntryDaemon, EntryError, callers,
        daemon::entry_daemon::EntryDaemonParts,
        links::Links,
        listener::Listener,
        operators::{self, OperatorHandle},
    },
    chestnutrun_net::{
        HttpLimits, Intakes, LinkIds, LinkServerConf, LinkTiming, serve_links, tls_config,
    },
    chestnutrun_observe::{Metrics, Timeline, start_logs},
    chestnutrun_settings::{EntryConf, TlsConf, load},
    chestnutrun_table::HttpTable,
    chestnutrun_types::{Member, Now},
    ntex::{SharedCfg, client::Client},
    rustls::ServerConfig,
    std::{fs, net::SocketAddr, path::Path, rc::Rc, sync::Arc, time::Duration},
    tokio::{net::TcpListener, sync::mpsc::channel},
};

/// Capacity of each event queue of the loop.
const MAX_QUEUED_EVENTS: usize = 4_096;

/// Shortest token of operators and of the site, in characters.
const MIN_TOKEN_CHARACTERS: usize = 16;

/// How long a caller's idle connection stays open.
const KEEP_ALIVE: Duration = Duration::from_secs(75);

/// Runs an entry until SIGTERM or SIGINT stops it.
///
/// # Errors
/// Returns an error if the entry cannot start.
pub async fn run(arguments: Arguments) -> Result<(), EntryError> {
    let conf: EntryConf = load(&arguments.conf)?;
    let intakes = intakes(&conf)?;
    if arguments.check_config {
        println!("{}: settings are valid", arguments.conf.display());
        return Ok(());
    }
    start_logs(conf.log.level.into());
    let site_token: Rc<str> = read_token(&conf.site_token_file)?;
    let operator_token = read_token(&conf.operator_token_file)?;
    let callers_tls = tls_server_config(conf.callers_tls.as_ref())?;
    let operators_tls = tls_server_config(conf.operators_tls.as_ref())?;
    let callers_listener = listen(conf.callers).await?;
    let operators_listener = listen(conf.operators).await?;
    let inner_listener = listen(conf.inner).await?;
    let (tx, rx) = channel(MAX_QUEUED_EVENTS);
    let (link_tx, link_rx) = channel(MAX_QUEUED_EVENTS);
    let me = own_member(&conf);
    let table = HttpTable::new(conf.table, table_client().await?);
    let ids = LinkIds::default();
    let links = Links::new(me.clone(), site_token.clone(), ids.clone(), link_tx.clone());
    ntex::rt::spawn(callers::serve(
        Listener {
            socket: callers_listener,
            name: "callers",
            limits: callers_limits(&conf),
            intake: intakes.callers.clone(),
            tls: callers_tls,
        },
        tx.clone(),
        conf.limits,
    ));
    ntex::rt::spawn(operators::serve(
        Listener {
            socket: operators_listener,
            name: "operators",
            limits: operators::LIMITS,
            intake: intakes.pages.clone(),
            tls: operators_tls,
        },
        OperatorHandle {
            tx: tx.clone(),
            intakes: intakes.clone(),
            token: operator_token,
            store: Rc::new(table.clone()),
        },
    ));
    ntex::rt::spawn(serve_links(
        inner_listener,
        LinkServerConf {
            site_token,
            ids,
            timing: LinkTiming::default(),
            events: link_tx,
        },
        intakes.links,
    ));
    let daemon = EntryDaemon::new(EntryDaemonParts {
        table: Box::new(table),
        metrics: Metrics::new()?,
        timeline: Timeline::new(&*conf.name),
        me,
        links,
        tx,
        conf,
    });
    daemon.serve(rx, link_rx).await
}

/// Derives what the listeners may hold from what the machine allows.
fn intakes(conf: &EntryConf) -> Result<Intakes, EntryError> {
    let machine = &conf.machine;
    let is_encrypted = conf.callers_tls.is_some();
    let intakes = Intakes::of_machine(machine.memory_bytes(), machine.sockets(), is_encrypted);
    let longest = intakes.callers.longest_body();
    if conf.limits.body_size.bytes() > longest {
        return Err(EntryError::NoMemoryForBody {
            body_size: conf.limits.body_size,
            longest,
        });
    }
    Ok(intakes)
}

fn callers_limits(conf: &EntryConf) -> HttpLimits {
    HttpLimits {
        head_timeout: conf.limits.head_timeout,
        keep_alive: KEEP_ALIVE,
        max_headers: conf.limits.headers,
    }
}

fn tls_server_config(conf: Option<&TlsConf>) -> Result<Option<Arc<ServerConfig>>, EntryError> {
    let config = conf.map(|conf| tls_config(&conf.certificate_file, &conf.key_file));
    Ok(config.transpose()?)
}

async fn table_client() -> Result<Client, EntryError> {
    Client::builder()
        .build(SharedCfg::default())
        .await
        .map_err(|e| EntryError::Client(format!("{e:?}")))
}

async fn listen(address: SocketAddr) -> Result<TcpListener, EntryError> {
    TcpListener::bind(address)
        .await
        .map_err(|e| EntryError::Listen(address, e))
}

/// Reads a token from a file; returns an error if it is too short, because an empty
/// token would admit everyone.
fn read_token(path: &Path) -> Result<Rc<str>, EntryError> {
    let text = fs::read_to_string(path).map_err(|e| EntryError::Token(path.to_owned(), e))?;
    let token = text.trim();
    if token.len() < MIN_TOKEN_CHARACTERS {
        return Err(EntryError::ShortToken(path.to_owned()));
    }
    Ok(token.into())
}

fn own_member(conf: &EntryConf) -> Member {
    Member {
        entry: conf.name.as_str().into(),
        incarnation: Now::read().incarnation(),
        inner: conf.announced_inner.unwrap_or(conf.inner),
        zone: conf.zone.as_str().into(),
    }
}
