//! Tests of the command line against a running site.

use {
    chestnutrun_bench::site::{Site, SitePlan, SiteProcess, block_on},
    rstest::rstest,
    serde_json::{Value, json},
    std::{
        fs,
        process::{Command, Output},
        time::Duration,
    },
    tokio::time::sleep,
};

/// A running site with one contract and with a settings file for the commands.
struct Session {
    site: Site,
}

impl Session {
    async fn start() -> Self {
        let plan = SitePlan::builder().endpoints(2).build();
        let site = Site::start(plan).await.expect("the site starts");
        let contract = Site::contract("letters").in_flight_limit(16).build();
        let contract = contract.expect("the contract is valid");
        let created = site.create_contract(&contract).await;
        created.expect("the contract is in force");
        let session = Self { site };
        session.write("letters.token", "token-of-letters");
        session.write("settings.yaml", &session.settings());
        session
    }

    fn settings(&self) -> String {
        let plan = &self.site.plan;
        let list = |addresses: Vec<String>| format!("[\"{}\"]", addresses.join("\", \""));
        let entries = (0..plan.entries()).map(|i| plan.entry_operators_address(i).to_string());
        let agents = (0..plan.endpoints()).map(|i| plan.agent_operators_address(i).to_string());
        format!(
            "callers: {}\noperators: {}\nagents: {}\noperator_token_file: operator.token\n\
             contract_token_files:\n  letters: letters.token\n",
            plan.callers_address(1),
            list(entries.collect()),
            list(agents.collect()),
        )
    }

    fn write(&self, name: &str, text: &str) {
        fs::write(self.site.folder().join(name), text).expect("the file can be written");
    }

    fn run(&self, line: &str) -> Output {
        let mut command = Command::new(env!("CARGO_BIN_EXE_chestnutrun"));
        command.args(line.split_whitespace());
        command.env("CHESTNUTRUN_CONF", self.site.folder().join("settings.yaml"));
        command.output().expect("the command runs")
    }

    fn exit_code(&self, line: &str) -> Option<i32> {
        self.run(line).status.code()
    }

    fn json(&self, line: &str) -> Value {
        let out = self.run(&format!("{line} --json"));
        serde_json::from_slice(&out.stdout).expect("the command prints JSON")
    }

    fn process(&mut self, name: &str) -> &mut SiteProcess {
        self.site
            .process_mut(name)
            .expect("the site has the process")
    }

    async fn wait_until_configured(&self, entry: u16) {
        for _ in 0..MAX_CHECKS {
            let status = self.site.status(entry).await;
            if status["configuration"].as_u64().is_some_and(|at| at > 0) {
                return;
            }
            sleep(CHECK_INTERVAL).await;
        }
        panic!("entry-{entry} has no configuration");
    }

    async fn wait_until_draining_is(&self, endpoint: &str, is_draining: bool) {
        for _ in 0..MAX_CHECKS {
            let pages = self.json("status");
            let processes = pages.as_array().into_iter().flatten();
            let mut endpoints = processes
                .flat_map(|page| page["shards"].as_array().into_iter().flatten())
                .flat_map(|shard| shard["endpoints"].as_array().into_iter().flatten());
            let found = endpoints.find(|page| page["endpoint"] == endpoint);
            if found.is_some_and(|page| page["draining"] == is_draining) {
                return;
            }
            sleep(CHECK_INTERVAL).await;
        }
        panic!("draining of {endpoint} did not become {is_draining}");
    }
}

/// Number of checks for an awaited change before the test fails.
const MAX_CHECKS: u32 = 50;

/// Time between two checks for an awaited change.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

fn text(buf: &[u8]) -> String {
    String::from_utf8_lossy(buf).into_owned()
}

const SUBMIT: &str = "submit --contract letters --kind letter --input {\"run_ms\":5}";

#[rstest]
fn a_caller_submits_jobs_and_fetches_results() {
    block_on(async {
        let session = Session::start().await;
        let out = session.run(&format!("{SUBMIT} --key k1 --count 2"));
        let expected = "letters/k1: complete\n  0: completed: done letters/k1#0\n  \
                        1: completed: done letters/k1#1\n";
        assert_eq!(text(&out.stdout), expected, "{}", text(&out.stderr));
        assert_eq!(out.status.code(), Some(0));
        let page = session.json("result --contract letters k1");
        assert_eq!(page["status"], json!("complete"));
        let slow = "submit --contract letters --kind letter --input {\"run_ms\":500}";
        assert_eq!(
            session.exit_code(&format!("{slow} --key k2 --wait 0s")),
            Some(6)
        );
        let asked = session.exit_code("result --contract letters k2 --wait 5s");
        assert_eq!(asked, Some(0));
        session.site.close();
    });
}

#[rstest]
fn exit_codes_tell_what_is_known_of_a_job() {
    block_on(async {
        let session = Session::start().await;
        assert_eq!(session.exit_code(&format!("{SUBMIT} --key k1")), Some(0));
        let other_body = format!("{SUBMIT} --key k1 --count 2");
        assert_eq!(session.exit_code(&other_body), Some(3));
        let fails = "submit --contract letters --kind x --input {\"fails\":true}";
        assert_eq!(session.exit_code(fails), Some(1));
        let nobody = format!("{SUBMIT} --callers 127.0.0.1:1");
        assert_eq!(session.exit_code(&nobody), Some(5));
        let no_token = "submit --contract stamps --kind x";
        assert_eq!(session.exit_code(no_token), Some(2));
        let mistyped = "submit --contract letters --kidn x";
        assert_eq!(session.exit_code(mistyped), Some(2));
        session.site.close();
    });
}

#[rstest]
fn a_problem_is_shown_and_tokens_are_not() {
    block_on(async {
        let session = Session::start().await;
        session.write("letters.token", "a-wrong-token");
        let out = session.run(&format!("{SUBMIT} --key k1"));
        assert_eq!(out.status.code(), Some(3));
        let shown = text(&out.stderr);
        assert!(shown.starts_with("error: unauthorized (401): "), "{shown}");
        assert!(!shown.contains("a-wrong-token"), "{shown}");
        let problem = session.json(&format!("{SUBMIT} --key k1"));
        let kind = json!("urn:chestnutrun:problem:unauthorized");
        assert_eq!(problem["type"], kind);
        session.site.close();
    });
}

#[rstest]
fn a_status_covers_entries_and_agents() {
    block_on(async {
        let session = Session::start().await;
        let pages = session.json("status");
        let pages = pages.as_array().expect("the output is a list");
        let names: Vec<&str> = pages.iter().filter_map(|p| p["process"].as_str()).collect();
        assert_eq!(names.len(), 5, "{names:?}");
        let shown = text(&session.run("status").stdout);
        assert!(shown.contains("shard 0 epoch 1"), "{shown}");
        assert!(shown.contains("endpoint-1"), "{shown}");
        session.site.close();
    });
}

#[rstest]
fn a_timeline_shows_a_job_from_its_submission_to_its_answer() {
    block_on(async {
        let session = Session::start().await;
        assert_eq!(session.exit_code(&format!("{SUBMIT} --key k1")), Some(0));
        let events = session.json("timeline --job k1");
        let events = events.as_array().expect("the output is a list");
        let mut kinds: Vec<&str> = events.iter().filter_map(|e| e["kind"].as_str()).collect();
        kinds.retain(|kind| *kind != "receipt");
        let expected = [
            "submitted",
            "admitted",
            "start-sent",
            "started",
            "ended",
            "answered",
        ];
        assert_eq!(kinds, expected);
        let submitted = events[0]["process"].as_str();
        assert_eq!(
            submitted,
            Some("entry-1"),
            "the entry that got the submission"
        );
        let file = session.site.folder().join("trace.json");
        let line = format!("timeline --format trace --out {}", file.display());
        assert_eq!(session.exit_code(&line), Some(0));
        let trace = fs::read_to_string(file).expect("the file is written");
        let trace: Value = serde_json::from_str(&trace).expect("the file is JSON");
        let trace = trace["traceEvents"]
            .as_array()
            .expect("the trace has events");
        assert!(trace.len() > 10);
        session.site.close();
    });
}

#[rstest]
fn settings_of_every_program_are_checked() {
    block_on(async {
        let session = Session::start().await;
        let folder = session.site.folder().display().to_string();
        let good = format!(
            "check-config {folder}/entry-0.yaml {folder}/agent-0.yaml {folder}/settings.yaml"
        );
        assert_eq!(session.exit_code(&good), Some(0));
        session.write("bad.yaml", "callers: 127.0.0.1:80\noperatrs: []\n");
        let out = session.run(&format!("check-config {folder}/bad.yaml"));
        assert_eq!(out.status.code(), Some(2));
        let shown = text(&out.stderr);
        assert!(shown.contains("operatrs"), "{shown}");
        session.site.close();
    });
}

#[rstest]
fn contracts_are_checked_before_they_are_sent() {
    block_on(async {
        let session = Session::start().await;
        let folder = session.site.folder().display().to_string();
        let mut page = session.json("contract list");
        session.write("now.json", &page.to_string());
        let check = format!("check-config --in-force {folder}/now.json {folder}/next.json");
        page["contracts"]["letters"]["weight"] = json!(7);
        session.write("next.json", &page.to_string());
        let out = session.run(&check);
        assert_eq!(out.status.code(), Some(0), "{}", text(&out.stderr));
        let shown = text(&out.stdout);
        assert!(
            shown.contains("changed: contracts.letters.weight: "),
            "{shown}"
        );
        page["contracts"]["letters"]["weight"] = json!(0);
        session.write("next.json", &page.to_string());
        let out = session.run(&format!("{check} --json"));
        assert_eq!(out.status.code(), Some(2));
        let shown: Value = serde_json::from_slice(&out.stdout).unwrap();
        let problem = &shown[0]["report"]["problems"][0];
        assert_eq!(problem["place"], json!("contracts.letters"), "{shown}");
        session.site.close();
    });
}

#[rstest]
fn an_operator_creates_and_changes_a_contract() {
    block_on(async {
        let session = Session::start().await;
        session.write("stamps.token", "token-of-stamps");
        let token = session.site.folder().join("stamps.token");
        let create = format!(
            "contract create stamps --urgency 3 --contract-token-file {}",
            token.display()
        );
        assert_eq!(session.exit_code(&create), Some(0));
        assert_eq!(
            session.exit_code(&create),
            Some(4),
            "the contract exists already"
        );
        let first = session.json("contract show stamps");
        assert_eq!(
            first["urgency"],
            json!(3),
            "the contract is in force at once"
        );
        assert_eq!(
            session.exit_code("contract change stamps --weight 7"),
            Some(0)
        );
        let second = session.json("contract show stamps");
        assert_eq!(
            second["weight"],
            json!(7),
            "the contract is in force at once"
        );
        assert_eq!(
            second["urgency"],
            json!(3),
            "an option that is not given changes nothing"
        );
        let stale = format!(
            "contract change stamps --weight 9 --revision {}",
            first["revision"]
        );
        let out = session.run(&stale);
        assert_eq!(out.status.code(), Some(4));
        let shown = text(&out.stderr);
        let present = format!("present_revision: {}", second["revision"]);
        assert!(shown.contains(&present), "{shown}");
        let history = session.json("contract history stamps");
        let changes = history["changes"].as_array().map_or(0, Vec::len);
        assert_eq!(changes, 2, "{history}");
        let listed = text(&session.run("contract list").stdout);
        assert!(listed.contains("stamps"), "{listed}");
        let submit = format!(
            "submit --contract stamps --token-file {} --kind stamp",
            token.display()
        );
        assert_eq!(session.exit_code(&submit), Some(0));
        session.site.close();
    });
}

/// The restarted entry has no link to the frozen agent, but other entries have one.
#[rstest]
fn an_endpoint_drains_though_the_first_entry_has_no_link_to_its_agent() {
    block_on(async {
        let mut session = Session::start().await;
        session
            .process("agent-0")
            .signal("STOP")
            .expect("the agent is running");
        let entry = session.process("entry-0");
        entry.kill();
        entry.restart().expect("the entry restarts");
        session.wait_until_configured(0).await;
        let out = session.run("drain endpoint-0");
        let shown = text(&out.stdout) + &text(&out.stderr);
        assert_eq!(out.status.code(), Some(0), "{shown}");
        session
            .process("agent-0")
            .signal("CONT")
            .expect("the agent is running");
        session.site.close();
    });
}

#[rstest]
fn an_operator_drains_an_endpoint_and_returns_it() {
    block_on(async {
        let session = Session::start().await;
        let out = session.run("drain endpoint-0");
        let shown = text(&out.stdout) + &text(&out.stderr);
        assert!(shown.ends_with("in force at 3 of 3 entries\n"), "{shown}");
        // A second change right after the first one does not conflict with the first.
        assert_eq!(session.exit_code("undrain endpoint-0"), Some(0));
        assert_eq!(session.exit_code("drain endpoint-0"), Some(0));
        session.wait_until_draining_is("endpoint-0", true).await;
        assert_eq!(session.exit_code("undrain endpoint-0"), Some(0));
        session.wait_until_draining_is("endpoint-0", false).await;
        let out = session.run("drain endpoint-9");
        assert_eq!(out.status.code(), Some(2));
        let shown = text(&out.stderr);
        assert!(shown.contains("endpoint-0, endpoint-1"), "{shown}");
        session.site.close();
    });
}
