//! Settings of the command line: addresses of a site and files with tokens.

use {
    chestnutrun_settings::Conf,
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, path::PathBuf},
};

/// Settings of the command line. Options and environment variables take precedence
/// over them.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct CliConf {
    /// Address of an entry, or of a load balancer before the entries, for callers.
    pub callers: Option<SocketAddr>,
    /// Addresses of the entries for operators.
    pub operators: Vec<SocketAddr>,
    /// Addresses of the agents for operators.
    pub agents: Vec<SocketAddr>,
    /// File with the operators' token.
    pub operator_token_file: Option<PathBuf>,
    /// Files with the tokens of contracts, by contract id.
    pub contract_token_files: IndexMap<String, PathBuf>,
}

impl Conf for CliConf {
    fn problems(&self) -> Vec<String> {
        let duplicate = |address| format!("address {address} is used twice");
        let addresses: Vec<SocketAddr> =
            self.operators.iter().chain(&self.agents).copied().collect();
        addresses
            .iter()
            .enumerate()
            .filter(|(i, address)| addresses[..*i].contains(address))
            .map(|(_, address)| duplicate(address))
            .collect()
    }
}
