//! Entry point of the `experiment` command.

use {
    crate::experiment::{
        DecisionsRun, ExperimentArguments, ExperimentConf, Measures, PolicyKind, RealRun, Report,
        RunReport, Variant, generate_arrivals, plots, select_arrivals,
    },
    std::{fs, io, path::Path},
};

/// Runs the experiments of all given files, prints their tables and, with `out`,
/// writes their reports and plots.
///
/// # Errors
/// Returns an error if a file cannot be read, a site does not start or a report
/// cannot be written.
pub async fn run(arguments: ExperimentArguments) -> io::Result<()> {
    for file in &arguments.files {
        let text = fs::read_to_string(file)?;
        let mut conf: ExperimentConf = serde_saphyr::from_str(&text).map_err(io::Error::other)?;
        if let Some(seed) = arguments.seed {
            conf.seeds = vec![seed];
        }
        let runs = run_all(&conf, arguments.real).await?;
        let report = Report {
            name: conf.name.clone(),
            real: arguments.real,
            seeds: conf.seeds.clone(),
            runs: runs
                .iter()
                .map(|(policy, variant, measures)| {
                    RunReport::new(*policy, variant.clone(), measures)
                })
                .collect(),
        };
        println!("{}", report.table());
        if let Some(folder) = &arguments.out {
            write_report(folder, &report, &runs)?;
        }
    }
    Ok(())
}

/// Runs each policy on each variant, and merges the runs of all seeds.
async fn run_all(conf: &ExperimentConf, real: bool) -> io::Result<Vec<plots::MeasuredRun>> {
    let mut runs = Vec::new();
    for policy in &conf.policies {
        if real && *policy == PolicyKind::Ideal {
            continue;
        }
        for variant in variants(conf) {
            let mut measures = Measures::default();
            for seed in &conf.seeds {
                let all_arrivals = generate_arrivals(conf, *seed);
                let selected = select_arrivals(conf, &all_arrivals, &variant);
                let run_measures = if real {
                    let run = RealRun::run(conf, selected, *policy).await;
                    run.map_err(io::Error::other)?
                } else {
                    DecisionsRun::new(conf, &selected, *policy, *seed).run()
                };
                measures.merge(&run_measures);
            }
            runs.push((*policy, variant, measures));
        }
    }
    Ok(runs)
}

fn variants(conf: &ExperimentConf) -> Vec<Variant> {
    let mut variants = vec![Variant::Full];
    variants.extend(conf.against.iter().cloned());
    variants
}

fn write_report(folder: &Path, report: &Report, runs: &[plots::MeasuredRun]) -> io::Result<()> {
    fs::create_dir_all(folder)?;
    let path = folder.join(format!("{}.json", report.name));
    let text = serde_json::to_string_pretty(report).map_err(io::Error::other)?;
    fs::write(&path, text)?;
    println!("{}", path.display());
    let plots =
        plots::plot(folder, &report.name, runs).map_err(|e| io::Error::other(e.to_string()))?;
    for plot in plots {
        println!("{}", plot.display());
    }
    Ok(())
}
