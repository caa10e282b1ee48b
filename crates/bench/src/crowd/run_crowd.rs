//! Entry point of the `crowd` command.

use {
    crate::{
        crowd::{
            ClientRequests, CrowdArguments, OrdinaryAnswers, OwnRequests, RequestsFile, Shape,
            crowd_clients::{Sent, open},
        },
        site::{ProcessUsage, SiteClient},
    },
    ntex::http::Method,
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{
        io,
        net::SocketAddr,
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::time::{sleep, timeout},
};

/// Pause between two readings of the process, and between two ordinary callers.
const INTERVAL: Duration = Duration::from_millis(100);

/// Longest time for which a client keeps its connection open once it has sent everything,
/// in milliseconds, and for which it sends at most.
const MAX_STAY_MS: u64 = 5_000;

/// Longest body of the demo's entries, in bytes.
const DEMO_LONGEST_BODY: usize = 8 << 20;

/// Plays a crowd against a running site, and prints what its process took and whether
/// ordinary callers were answered.
///
/// # Errors
/// Returns an error if the requests cannot be read, the process ended or took more than it
/// may, or no ordinary caller was answered.
pub async fn run(arguments: CrowdArguments) -> io::Result<()> {
    let requests: Rc<dyn ClientRequests> = match &arguments.requests {
        Some(path) => Rc::new(RequestsFile::read(path)?),
        None => Rc::new(OwnRequests::new(
            "letters",
            "token-of-letters",
            DEMO_LONGEST_BODY,
        )),
    };
    let until = Instant::now() + Duration::from_secs(arguments.seconds);
    let sent = Rc::new(Sent::default());
    let clients = (0..arguments.clients).map(|number| {
        let seed = arguments.seed.wrapping_mul(1 << 20) + number as u64;
        let client = MixedClient {
            rng: StdRng::seed_from_u64(seed),
            arguments: arguments.clone(),
            requests: requests.clone(),
            sent: sent.clone(),
        };
        tokio::task::spawn_local(client.run(until))
    });
    let clients: Vec<_> = clients.collect();
    let watched = watch(&arguments, &*requests, until).await;
    for client in clients {
        client.abort();
    }
    println!(
        "seed {}, {} clients, {} s: {} kB sent",
        arguments.seed,
        arguments.clients,
        arguments.seconds,
        sent.bytes() / 1_024
    );
    print_closings(&arguments).await;
    watched.report(&arguments)
}

/// A client that does one thing after another, each on a new connection.
struct MixedClient {
    rng: StdRng,
    arguments: CrowdArguments,
    requests: Rc<dyn ClientRequests>,
    sent: Rc<Sent>,
}

impl MixedClient {
    async fn run(mut self, until: Instant) {
        while Instant::now() < until {
            let shapes = &self.arguments.shape[..];
            let shapes = if shapes.is_empty() {
                &Shape::ALL[..]
            } else {
                shapes
            };
            let shape = shapes[self.rng.random_range(0..shapes.len())];
            let to = self.draw_address();
            let stay = Duration::from_millis(self.rng.random_range(0..MAX_STAY_MS));
            let script = shape.script(&*self.requests);
            // The connection is closed when the time is over, wherever it is.
            let _ = timeout(stay, open(to, &script, &self.sent)).await;
            // A client that is refused at once does not try again at once.
            sleep(INTERVAL).await;
        }
    }

    /// Returns the address of callers, or as often one of the others.
    fn draw_address(&mut self) -> SocketAddr {
        let also = &self.arguments.also;
        if also.is_empty() || self.rng.random_bool(0.5) {
            self.arguments.callers
        } else {
            also[self.rng.random_range(0..also.len())]
        }
    }
}

/// What was seen of the process and of ordinary callers.
#[derive(Debug, Default)]
struct Watched {
    highest: ProcessUsage,
    is_running: bool,
    answers: OrdinaryAnswers,
}

impl Watched {
    /// Prints what was seen; returns an error that names everything that must not be.
    fn report(&self, arguments: &CrowdArguments) -> io::Result<()> {
        let (kilobytes, descriptors) = (self.highest.memory_kilobytes, self.highest.descriptors);
        println!("ordinary callers: {}", self.answers);
        println!("highest: {kilobytes} kB resident, {descriptors} descriptors");
        let has_answer = self.answers.served + self.answers.refused > 0;
        let max_kilobytes = arguments.max_memory_mb.map(|mb| mb << 10);
        let faults = [
            (arguments.process.is_some() && !self.is_running).then_some("the process ended"),
            (!has_answer).then_some("no ordinary caller was answered"),
            max_kilobytes
                .is_some_and(|max| kilobytes > max)
                .then_some("the process took too much memory"),
            arguments
                .max_descriptors
                .is_some_and(|max| descriptors > max)
                .then_some("the process took too many descriptors"),
        ];
        let faults: Vec<_> = faults.into_iter().flatten().collect();
        if faults.is_empty() {
            Ok(())
        } else {
            Err(io::Error::other(faults.join("; ")))
        }
    }
}

/// Submits ordinary jobs, one after another, and reads the size of the process.
async fn watch(
    arguments: &CrowdArguments,
    requests: &dyn ClientRequests,
    until: Instant,
) -> Watched {
    let mut watched = Watched::default();
    let mut sampled = ProcessUsage::default();
    let sampling = async {
        loop {
            if let Some(id) = arguments.process {
                sampled = sampled.highest(ProcessUsage::of(id));
            }
            sleep(INTERVAL).await;
        }
    };
    let mut answers = OrdinaryAnswers::default();
    let calling = async {
        while Instant::now() < until {
            let number = (arguments.seed << 32) + answers.submitted;
            answers.submit(arguments.callers, requests, number).await;
            sleep(INTERVAL).await;
        }
    };
    tokio::select! {
        () = sampling => {}
        () = calling => {}
    }
    watched.answers = answers;
    watched.highest = sampled;
    let usage = arguments.process.map(ProcessUsage::of);
    watched.is_running = usage.is_some_and(|usage| usage.memory_kilobytes > 0);
    watched
}

/// Prints the closings by cause from the metrics of the process.
async fn print_closings(arguments: &CrowdArguments) {
    let Some(metrics) = arguments.metrics else {
        return;
    };
    let page = async {
        let client = SiteClient::new("").await?;
        let url = format!("http://{metrics}/metrics");
        client.send(Method::GET, url, &[], String::new()).await
    };
    match page.await {
        Ok(reply) => {
            let text = reply.body.as_str().unwrap_or_default();
            let closings = text
                .lines()
                .filter(|line| line.starts_with("chestnutrun_client_"));
            for line in closings.filter(|line| !line.ends_with(" 0")) {
                println!("{line}");
            }
        }
        Err(error) => eprintln!("metrics are missing: {error}"),
    }
}
