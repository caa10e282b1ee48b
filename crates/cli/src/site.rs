//! The site that a command uses: addresses and tokens from options, environment
//! variables and settings.

use {
    crate::{
        CliConf, CliError,
        arguments::{CallerOptions, CommonOptions, OperatorOptions},
    },
    std::{
        fs,
        net::SocketAddr,
        path::{Path, PathBuf},
    },
};

/// Address and token with which a caller's command reaches a site.
#[derive(Clone, Debug)]
pub(crate) struct CallerSite {
    /// Address of an entry for callers.
    pub(crate) callers: SocketAddr,
    /// Contract of the requests.
    pub(crate) contract: String,
    /// Token of the contract.
    pub(crate) token: String,
}

/// Addresses and token with which an operator's command reaches a site.
#[derive(Clone, Debug)]
pub(crate) struct OperatorSite {
    /// Addresses of entries for operators, at least one; changes go to the first.
    pub(crate) entries: Vec<SocketAddr>,
    /// Addresses of agents for operators.
    pub(crate) agents: Vec<SocketAddr>,
    /// Token of the operators.
    pub(crate) token: String,
}

impl CallerSite {
    /// Combines options and settings; options take precedence.
    pub(crate) fn new(options: CallerOptions, common: &CommonOptions) -> Result<Self, CliError> {
        let conf = load_conf(common)?;
        let callers = options.callers.or(conf.callers);
        let callers = callers.ok_or(CliError::Missing(
            "no address of an entry: set --callers, CHESTNUTRUN_CALLERS or `callers` in the --conf \
             file",
        ))?;
        let from_conf = conf.contract_token_files.get(&options.contract);
        let token_file = options.token_file.or(from_conf.cloned());
        let token_file = token_file.ok_or(CliError::Missing(
            "no token: set --token-file, CHESTNUTRUN_TOKEN_FILE or `contract_token_files` in the \
             --conf file",
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
    /// Returns a copy of the site without its agents.
    pub(crate) fn entries_only(&self) -> Self {
        Self {
            agents: Vec::new(),
            ..self.clone()
        }
    }

    /// Combines options and settings; options take precedence.
    pub(crate) fn new(options: OperatorOptions, common: &CommonOptions) -> Result<Self, CliError> {
        let conf = load_conf(common)?;
        let options_or_conf = |options: Vec<SocketAddr>, conf: Vec<SocketAddr>| {
            if options.is_empty() { conf } else { options }
        };
        let entries = options_or_conf(options.operators, conf.operators);
        if entries.is_empty() {
            return Err(CliError::Missing(
                "no address of an entry: set --operators, CHESTNUTRUN_OPERATORS or `operators` in the \
                 --conf file",
            ));
        }
        let token_file = options.operator_token_file.or(conf.operator_token_file);
        let token_file = token_file.ok_or(CliError::Missing(
            "no token: set --operator-token-file, CHESTNUTRUN_OPERATOR_TOKEN_FILE or \
             `operator_token_file` in the --conf file",
        ))?;
        Ok(Self {
            entries,
            agents: options_or_conf(options.agents, conf.agents),
            token: read_token(&token_file)?,
        })
    }

    /// Returns the URL of a path at the first entry.
    pub(crate) fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.entries[0])
    }
}

/// Reads a token from a file, without the white space around it.
pub(crate) fn read_token(path: &Path) -> Result<String, CliError> {
    match fs::read_to_string(path) {
        Ok(text) => Ok(text.trim().to_owned()),
        Err(source) => Err(CliError::File {
            path: path.to_owned(),
            source,
        }),
    }
}

/// Loads the settings file, or the defaults if none is given. Paths in the file
/// are relative to its folder.
fn load_conf(common: &CommonOptions) -> Result<CliConf, CliError> {
    let Some(path) = &common.conf else {
        return Ok(CliConf::default());
    };
    let mut conf: CliConf = chestnutrun_settings::load(path)?;
    let folder = path.parent().unwrap_or(Path::new("")).to_owned();
    let resolve = |file: &mut PathBuf| *file = folder.join(&*file);
    conf.operator_token_file.iter_mut().for_each(resolve);
    conf.contract_token_files.values_mut().for_each(resolve);
    Ok(conf)
}
