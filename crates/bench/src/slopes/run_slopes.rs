//! Entry point of the `slopes` command.

use {
    crate::slopes::{
        SlopesArguments, frame_sizes,
        idle_cost::{self, IdleCost},
        load_cost::{self, LoadCost},
    },
    std::io,
};

/// Number of tasks in each job, for each measurement under load.
const JOB_SIZES: [u16; 3] = [1, 20, 170];

/// Runs all measurements and prints their results.
///
/// # Errors
/// Returns an error if a site does not start.
pub async fn run(arguments: SlopesArguments) -> io::Result<()> {
    frame_sizes::print();
    println!("idle, 3 entries, {} s", arguments.seconds);
    println!("  agents  entry %core  entry KB  agent %core  agent KB");
    for agents in [1, arguments.most_endpoints / 3, arguments.most_endpoints] {
        let cost = idle_cost::measure(agents.max(1), arguments.seconds)
            .await
            .map_err(io::Error::other)?;
        print_idle(&cost);
    }
    println!("load, 3 entries, 20 endpoints of 8 slots, tasks of 5 ms");
    println!(
        "  job tasks  tasks/s  owner us/task  others us/task  agents us/task  owner B/job  agents B/task"
    );
    for job_tasks in JOB_SIZES {
        let cost = load_cost::measure(job_tasks, arguments.seconds)
            .await
            .map_err(io::Error::other)?;
        print_load(&cost);
    }
    Ok(())
}

fn print_idle(cost: &IdleCost) {
    println!(
        "  {:>6}  {:>11.2}  {:>8.0}  {:>11.2}  {:>8.0}",
        cost.agents,
        cost.entry.core_percent,
        cost.entry.kilobytes,
        cost.agent.core_percent,
        cost.agent.kilobytes,
    );
}

fn print_load(cost: &LoadCost) {
    let us_per_task = |seconds: f64| 1e6 * seconds / cost.tasks;
    println!(
        "  {:>9}  {:>7.0}  {:>13.1}  {:>14.1}  {:>14.1}  {:>11.0}  {:>13.0}",
        cost.job_tasks,
        cost.tasks_per_second,
        us_per_task(cost.owner.processor_seconds),
        us_per_task(cost.other_entries_seconds),
        us_per_task(cost.agents_seconds),
        1e3 * cost.owner.grown_kilobytes / cost.jobs,
        1e3 * cost.agents_grown_kilobytes / cost.tasks,
    );
}
