//! Command-line arguments of `chestnutrun-bench demo`.

use {bpaf::Bpaf, std::str::FromStr};

/// The sites that the demo can start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SiteName {
    /// The Cooperative's site, called letter desk.
    Cooperative,
    /// The Alliance's site, called splint desk.
    Alliance,
}

impl FromStr for SiteName {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "cooperative" => Ok(Self::Cooperative),
            "alliance" => Ok(Self::Alliance),
            _ => Err("the site must be cooperative or alliance".to_owned()),
        }
    }
}

/// Arguments of the `demo` command.
#[derive(Bpaf, Clone, Debug)]
pub struct DemoArguments {
    /// Site to start: cooperative or alliance.
    #[bpaf(argument("SITE"), fallback(SiteName::Cooperative))]
    pub site: SiteName,
    /// Seed of the arrivals and run times.
    #[bpaf(argument("NUMBER"), fallback(1))]
    pub seed: u64,
    /// Keep the site running after the report, until Ctrl-C.
    #[bpaf(switch)]
    pub keep: bool,
}
