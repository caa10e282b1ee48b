//! Runs an experiment on real processes on loopback.
//!
//! Jobs are sent at their planned times, whether or not earlier jobs have ended.

use {
    crate::{
        experiment::{
            Arrival, ExperimentConf, FaultConf, FaultKind, Measures, PolicyKind,
            site_messages::messages,
        },
        site::{Site, SiteError, SitePlan},
        standins::EndpointFault,
    },
    ntex::http::Method,
    serde_json::{Value, json},
    std::{
        cell::RefCell,
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::{sync::mpsc::channel, time::sleep_until},
};

/// Longest time after the last arrival that a run waits for answers.
const DRAIN_TIMEOUT: Duration = Duration::from_mins(1);

/// One run on real processes.
#[derive(Debug)]
pub struct RealRun {
    conf: ExperimentConf,
    measures: RefCell<Measures>,
    started_at: Instant,
}

impl RealRun {
    /// Runs the experiment to its end and returns the measurements.
    ///
    /// # Errors
    /// Returns an error if the site does not start.
    pub async fn run(
        conf: &ExperimentConf,
        arrivals: Vec<Arrival>,
        policy_kind: PolicyKind,
    ) -> Result<Measures, SiteError> {
        let site = Rc::new(start_site(conf, policy_kind).await?);
        let messages_before = messages(&site).await;
        let run = Rc::new(Self {
            conf: conf.clone(),
            measures: RefCell::default(),
            started_at: Instant::now(),
        });
        for fault in conf.faults.clone() {
            let (run, site) = (run.clone(), site.clone());
            ntex::rt::spawn(async move { run.inject_fault(&site, fault).await });
        }
        let (done, mut all_done) = channel::<()>(1);
        for (number, arrival) in arrivals.into_iter().enumerate() {
            sleep_until((run.started_at + arrival.at).into()).await;
            let (run, site, done) = (run.clone(), site.clone(), done.clone());
            ntex::rt::spawn(async move {
                run.submit(&site, number, arrival).await;
                drop(done);
            });
        }
        drop(done);
        // The channel closes when every submission has ended.
        let _ = tokio::time::timeout(DRAIN_TIMEOUT, all_done.recv()).await;
        let mut measures = run.measures.borrow().clone();
        measures.messages = messages(&site).await.saturating_sub(messages_before);
        let length = conf.length.saturating_sub(conf.warm_up);
        measures.slots = length.as_secs_f64() * f64::from(conf.site.all_slots());
        if let Ok(site) = Rc::try_unwrap(site) {
            site.close();
        }
        Ok(measures)
    }

    async fn submit(&self, site: &Site, number: usize, arrival: Arrival) {
        let contract = &self.conf.contracts[arrival.contract];
        let tasks = arrival.tasks.iter().map(|task| {
            let micros = u64::try_from(task.declared.as_micros()).unwrap_or(u64::MAX);
            let run_ms = u64::try_from(task.run_time.as_millis()).unwrap_or(u64::MAX);
            json!({
                "kind": contract.mix[task.mix_index].kind,
                "declared_run_time": format!("{micros}us"),
                "input": json!({ "run_ms": run_ms }).to_string(),
            })
        });
        let body = json!({
            "tasks": tasks.collect::<Vec<Value>>(),
            "deadline_in": format!("{}ms", contract.deadline_in.as_millis()),
        });
        let entry = u16::try_from(number % usize::from(self.conf.site.entries));
        let callers = site.plan.callers_address(entry.unwrap_or_default());
        let key = format!("job-{number}");
        let submitted_at = Instant::now();
        let reply = site
            .client
            .submit(callers, &contract.name, &key, &body)
            .await;
        let response = submitted_at.elapsed();
        let mut measures = self.measures.borrow_mut();
        measures.tasks += arrival.tasks.len() as u64;
        match reply {
            Ok(reply) if reply.status == 200 => {
                self.record_answer(&mut measures, &arrival, &reply.body, response);
            }
            Ok(reply) => measures.record_failure(format!("status {}", reply.status)),
            Err(_) => measures.record_failure("no answer"),
        }
    }

    /// Records the outcomes of an answered job.
    ///
    /// The response time of the job is compared with the run time of its longest
    /// task.
    fn record_answer(
        &self,
        measures: &mut Measures,
        arrival: &Arrival,
        answer: &Value,
        response: Duration,
    ) {
        let longest = arrival.tasks.iter().max_by_key(|task| task.run_time);
        if let Some(longest) = longest.filter(|_| answer["status"] == "complete") {
            measures.record_completion(
                &self.conf,
                arrival.contract,
                longest.mix_index,
                arrival.at,
                response,
                longest.run_time,
            );
        }
        let ended_at = arrival.at + response;
        for (index, task) in arrival.tasks.iter().enumerate() {
            let outcome = &answer["tasks"][index]["outcome"];
            if outcome == "completed" {
                measures.busy += self.busy_seconds(ended_at, task.run_time);
            } else {
                let text = outcome.to_string();
                measures.record_failure(text.chars().take(40).collect::<String>());
            }
        }
    }

    /// Returns the seconds of a task's run that lie between the end of the warm-up
    /// and the end of the arrivals.
    fn busy_seconds(&self, ended_at: Duration, run_time: Duration) -> f64 {
        let from = ended_at.saturating_sub(run_time).max(self.conf.warm_up);
        let to = ended_at.min(self.conf.length);
        to.saturating_sub(from).as_secs_f64()
    }

    async fn inject_fault(&self, site: &Site, fault: FaultConf) {
        sleep_until((self.started_at + fault.at).into()).await;
        let numbers = fault.first..fault.first + fault.endpoints;
        match fault.what {
            FaultKind::FailsAll => {
                set_faults(site, numbers.clone(), EndpointFault::FailsAll).await;
                if let Some(until) = fault.until {
                    sleep_until((self.started_at + until).into()).await;
                    set_faults(site, numbers, EndpointFault::None).await;
                }
            }
            FaultKind::Lost => {
                for number in numbers {
                    let number = usize::from(number);
                    // Signalling fails if the process has already ended.
                    let _ = site.agents[number].signal("KILL");
                    let _ = site.endpoints[number].signal("KILL");
                }
            }
        }
    }
}

async fn start_site(conf: &ExperimentConf, policy_kind: PolicyKind) -> Result<Site, SiteError> {
    let plan = SitePlan::builder()
        .entries(conf.site.entries)
        .endpoints(conf.site.endpoints)
        .slots(conf.site.slots)
        .policy(policy_kind.name())
        .log_level("warn")
        .build();
    let site = Site::start(plan).await?;
    for contract in &conf.contracts {
        let built = Site::contract(&contract.name)
            .in_flight_limit(contract.in_flight_limit)
            .queue_limit(contract.queue_limit)
            .urgency(contract.urgency)
            .weight(contract.weight)
            .overflow(contract.overflow)
            .build()
            .map_err(|e| SiteError::NotReady(e.to_string()))?;
        site.create_contract(&built).await?;
    }
    Ok(site)
}

async fn set_faults(site: &Site, numbers: std::ops::Range<u16>, fault: EndpointFault) {
    for number in numbers {
        let url = format!("http://{}/fault", site.plan.endpoint_address(number));
        let body = json!(fault).to_string();
        let headers = [("content-type", "application/json")];
        // The request fails if the endpoint has been lost.
        let _ = site.client.send(Method::PUT, url, &headers, body).await;
    }
}
