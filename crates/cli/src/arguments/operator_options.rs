//! Options of operators' commands.

use {
    bpaf::{Bpaf, Parser, long},
    std::{
        net::{AddrParseError, SocketAddr},
        path::PathBuf,
    },
};

/// Options of operators' commands.
#[derive(Bpaf, Clone, Debug)]
pub struct OperatorOptions {
    #[bpaf(external(operators))]
    /// Addresses of entries for operators, or none to use the settings file.
    pub operators: Vec<SocketAddr>,
    #[bpaf(external(agents))]
    /// Addresses of agents for operators, or none to use the settings file.
    pub agents: Vec<SocketAddr>,
    /// File with the operators' token.
    #[bpaf(
        long,
        env("CHESTNUTRUN_OPERATOR_TOKEN_FILE"),
        argument("FILE"),
        optional,
        complete_shell(bpaf::ShellComp::File { mask: None })
    )]
    pub operator_token_file: Option<PathBuf>,
}

fn operators() -> impl Parser<Vec<SocketAddr>> {
    long("operators")
        .env("CHESTNUTRUN_OPERATORS")
        .help("Addresses of entries for operators, separated by commas")
        .argument::<String>("ADDRESS,...")
        .parse(|text| parse_addresses(&text))
        .fallback(Vec::new())
}

fn agents() -> impl Parser<Vec<SocketAddr>> {
    long("agents")
        .env("CHESTNUTRUN_AGENTS")
        .help("Addresses of agents for operators, separated by commas")
        .argument::<String>("ADDRESS,...")
        .parse(|text| parse_addresses(&text))
        .fallback(Vec::new())
}

fn parse_addresses(text: &str) -> Result<Vec<SocketAddr>, AddrParseError> {
    text.split(',').map(|part| part.trim().parse()).collect()
}
