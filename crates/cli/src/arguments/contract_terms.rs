//! Options for the terms of a contract.

use {bpaf::Bpaf, chestnutrun_types::Overflow, std::path::PathBuf};

/// Terms of the contract; those not given keep their value or the default.
#[derive(Bpaf, Clone, Debug)]
pub struct ContractTerms {
    /// Maximum number of tasks that run at once within the share.
    #[bpaf(long, argument("COUNT"), optional)]
    pub in_flight_limit: Option<u32>,
    /// Maximum number of tasks that wait.
    #[bpaf(long, argument("COUNT"), optional)]
    pub queue_limit: Option<u32>,
    /// Urgency relative to other contracts; higher goes first.
    #[bpaf(long, argument("NUMBER"), optional)]
    pub urgency: Option<u8>,
    /// Weight of the share relative to contracts of the same urgency.
    #[bpaf(long, argument("NUMBER"), optional)]
    pub weight: Option<u32>,
    /// What happens to tasks beyond the share: queue, refuse or borrow.
    #[bpaf(long, argument::<String>("WHAT"), parse(overflow), optional)]
    pub overflow: Option<Overflow>,
    /// File with the token of the contract's callers.
    #[bpaf(long, argument("FILE"), optional, complete_shell(bpaf::ShellComp::File { mask: None }))]
    pub contract_token_file: Option<PathBuf>,
}

fn overflow(text: String) -> Result<Overflow, String> {
    let value = serde_json::Value::String(text);
    serde_json::from_value(value)
        .map_err(|_| "the overflow must be queue, refuse or borrow".to_owned())
}
