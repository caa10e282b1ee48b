//! The site that a command talks to, from options, variables and settings.

use {
    crate::{
        CliConf, CliError,
        arguments::{CallerOptions, Common, OperatorOptions},
    },
    std::{
        fs,
        net::SocketAddr,
        path::{Path, PathBuf},
    },
};

/// The site as a caller sees it.
#[derive(Clone, Debug)]
pub(crate) struct CallerSite {
    /// Address of an entry for callers.
    pub(crate) callers: SocketAddr,
    /// Contract under which is asked.
    pub(crate) contract: String,
    /// Token of the contract.
    pub(crate) token: String,
}

/// The site as an operator sees it.
#[derive(Clone, Debug)]
pub(crate) struct OperatorSite {
    /// Addresses of entries for operators; the first takes changes.
    pub(crate) entries: Vec<SocketAddr>,
    /// Addresses of agents for operators.
    pub(crate) agents: Vec<SocketAddr>,
    /// Token of the operators.
    pub(crate) token: String,
}

impl CallerSite {
    /// Puts together options and settings.
    pub(crate) fn new(options: CallerOptions, common: &Common) -> Result<Self, CliError> {
        let conf = load_conf(common)?;
        let callers = options.callers.or(conf.callers);
        let callers = callers.ok_or(CliError::Missing(
            "no address: give --callers, CHESTNUTRUN_CALLERS or `callers` of --conf",
        ))?;
        let of_contract = conf.contract_token_files.get(&options.contract);
        let token_file = options.token_file.or(of_contract.cloned());
        let token_file = token_file.ok_or(CliError::Missing(
            "no token: give --token-file, CHESTNUTRUN_TOKEN_FILE or `contract_token_files` of --conf",
        ))?;
        Ok(Self {
            callers,
            token: read_token(&token_file)?,
            contract: options.contract,
        })
    }

    /// Returns the URL of the contract's jobs.
    pub(crate) fn jobs_url(&self) -> String {
        format!(
            "http://{}/v1/contracts/{}/jobs",
            self.callers, self.contract
        )
    }
}

impl OperatorSite {
    /// Returns the same site without its agents.
    pub(crate) fn entries_only(&self) -> Self {
        Self {
            agents: Vec::new(),
            ..self.clone()
        }
    }

    /// Puts together options and settings.
    pub(crate) fn new(options: OperatorOptions, common: &Common) -> Result<Self, CliError> {
        let conf = load_conf(common)?;
        let given = |options: Vec<SocketAddr>, conf: Vec<SocketAddr>| {
            if options.is_empty() { conf } else { options }
        };
        let entries = given(options.operators, conf.operators);
        if entries.is_empty() {
            return Err(CliError::Missing(
                "no address: give --operators, CHESTNUTRUN_OPERATORS or `operators` of --conf",
            ));
        }
        let token_file = options.operator_token_file.or(conf.operator_token_file);
        let token_file = token_file.ok_or(CliError::Missing(
            "no token: give --operator-token-file, CHESTNUTRUN_OPERATOR_TOKEN_FILE or \
             `operator_token_file` of --conf",
        ))?;
        Ok(Self {
            entries,
            agents: given(options.agents, conf.agents),
            token: read_token(&token_file)?,
        })
    }

    /// Returns the URL of a path at the entry that takes changes.
    pub(crate) fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.entries[0])
    }
}

/// Reads a token from its file.
pub(crate) fn read_token(path: &Path) -> Result<String, CliError> {
    match fs::read_to_string(path) {
        Ok(text) => Ok(text.trim().to_owned()),
        Err(source) => Err(CliError::File {
            path: path.to_owned(),
            source,
        }),
    }
}

fn load_conf(common: &Common) -> Result<CliConf, CliError> {
    let Some(path) = &common.conf else {
        return Ok(CliConf::default());
    };
    let mut conf: CliConf = chestnutrun_settings::load(path)?;
    let folder = path.parent().unwrap_or(Path::new("")).to_owned();
    let beside = |file: &mut PathBuf| *file = folder.join(&*file);
    conf.operator_token_file.iter_mut().for_each(beside);
    conf.contract_token_files.values_mut().for_each(beside);
    Ok(conf)
}
