//! Entry point of the `demo` command.

use {
    crate::{
        demo::{
            DemoArguments, Opening, SiteProfile, cli_settings::write_cli_settings,
            endpoint_alone::endpoint_alone, judge, messages::Messages, report::Report,
            send_opening::send_opening, usage::Usage,
        },
        site::{Site, SiteError, SitePlan},
        standins::StartLog,
    },
    ntex::http::Method,
    std::{fs, io, time::Instant},
    tokio::signal::unix::{Signal, SignalKind, signal},
};

/// Runs the demo and prints its report; on Ctrl-C or SIGTERM it stops every
/// process that it started.
///
/// # Errors
/// Returns an error if the site does not start, a guarantee was violated or the
/// demo was stopped before its report.
pub async fn run(arguments: DemoArguments) -> io::Result<()> {
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut terminate = signal(SignalKind::terminate())?;
    let profile = SiteProfile::for_site(arguments.site);
    let plan = profile.plan().build();
    let folder = Site::folder_of(&plan);
    // The future owns the site; dropping it kills the processes.
    let ended = tokio::select! {
        ended = run_opening(plan, &profile, arguments.seed) => ended,
        () = wait_for_stop(&mut interrupt, &mut terminate) => {
            Err(io::Error::other("stopped by a signal before the report"))
        }
    };
    let outcome = match ended {
        Ok((site, outcome)) => {
            if arguments.keep {
                print_addresses(&site, &profile)?;
                wait_for_stop(&mut interrupt, &mut terminate).await;
            }
            site.close();
            outcome
        }
        Err(error) => Err(error),
    };
    // The folder does not exist if the site never started.
    let _ = fs::remove_dir_all(folder);
    outcome
}

/// Waits for Ctrl-C or SIGTERM.
async fn wait_for_stop(interrupt: &mut Signal, terminate: &mut Signal) {
    tokio::select! {
        _ = interrupt.recv() => {}
        _ = terminate.recv() => {}
    }
}

/// Starts the site, sends the opening and prints the report; returns the site, and
/// an error if a guarantee was violated.
async fn run_opening(
    plan: SitePlan,
    profile: &SiteProfile,
    seed: u64,
) -> io::Result<(Site, io::Result<()>)> {
    eprintln!("{}: starting the site", profile.title);
    let begin = Instant::now();
    let site = Site::start(plan).await.map_err(io::Error::other)?;
    create_contracts(&site, profile)
        .await
        .map_err(io::Error::other)?;
    eprintln!(
        "{} entries and {} endpoints serve after {} ms",
        site.plan.entries(),
        site.plan.endpoints(),
        begin.elapsed().as_millis()
    );
    let report = send_and_judge(&site, profile, seed)
        .await
        .map_err(io::Error::other)?;
    println!("{report}");
    let outcome = match report.judgement.violations.len() {
        0 => Ok(()),
        count => Err(io::Error::other(format!("{count} promises were broken"))),
    };
    Ok((site, outcome))
}

async fn create_contracts(site: &Site, profile: &SiteProfile) -> Result<(), SiteError> {
    for kind in profile.kinds {
        let contract = Site::contract(kind.contract)
            .in_flight_limit(site.plan.slots())
            .queue_limit(10_000)
            .urgency(kind.urgency)
            .build()
            .expect("the demo's contracts are valid");
        site.create_contract(&contract).await?;
    }
    Ok(())
}

/// Sends the opening and collects the report.
async fn send_and_judge(
    site: &Site,
    profile: &SiteProfile,
    seed: u64,
) -> Result<Report, SiteError> {
    let slots = site.plan.slots();
    let opening = Opening::plan(profile, slots, site.plan.entries(), seed);
    let before = Messages::read(site).await?;
    let results = send_opening(&site.client, &site.plan, &opening).await;
    let messages = Messages::read(site).await?.since(before);
    let mut logs: Vec<StartLog> = Vec::new();
    for number in 0..site.plan.endpoints() {
        logs.push(start_log(site, number).await?);
    }
    let judgement = judge(&opening, &results, &logs, site.plan.slots_each());
    Ok(Report {
        endpoint_alone: endpoint_alone(site).await?,
        opening,
        results,
        judgement,
        messages,
        usage: Usage::of_site(site),
        kinds: profile.kinds,
    })
}

/// Reads the start log of an endpoint.
async fn start_log(site: &Site, number: u16) -> Result<StartLog, SiteError> {
    let address = site.plan.endpoint_address(number);
    let reply = site
        .client
        .send_as_operator(Method::GET, address, "/starts", String::new())
        .await?;
    serde_json::from_value(reply.body)
        .map_err(|e| SiteError::UnexpectedAnswer("/starts".to_owned(), reply.status, e.to_string()))
}

/// Prints the addresses and settings with which the running site can be used.
fn print_addresses(site: &Site, profile: &SiteProfile) -> io::Result<()> {
    let settings = write_cli_settings(site, profile)?;
    println!("The site stays up until Ctrl-C.");
    for number in 0..site.plan.entries() {
        let callers = site.plan.callers_address(number);
        let operators = site.plan.entry_operators_address(number);
        println!("entry-{number}: callers http://{callers}, operators http://{operators}");
    }
    for number in 0..site.plan.endpoints() {
        let operators = site.plan.agent_operators_address(number);
        println!("agent-{number}: operators http://{operators}");
    }
    println!("tokens: {}/*.token", site.folder().display());
    println!("export CHESTNUTRUN_CONF={}", settings.display());
    Ok(())
}
