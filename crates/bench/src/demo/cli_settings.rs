//! Writes the settings that the command-line client needs for the demo's site.

use {
    crate::{demo::SiteProfile, site::Site},
    std::{fmt::Write, fs, io, net::SocketAddr, path::PathBuf},
};

/// Name of the settings file in the site's folder.
const FILE_NAME: &str = "chestnutrun.yaml";

/// Writes the settings and the contract tokens to the site's folder and returns
/// the path of the settings file.
pub(crate) fn write_cli_settings(site: &Site, profile: &SiteProfile) -> io::Result<PathBuf> {
    let plan = &site.plan;
    let entries = (0..plan.entries()).map(|number| plan.entry_operators_address(number));
    let agents = (0..plan.endpoints()).map(|number| plan.agent_operators_address(number));
    let mut text = format!(
        "callers: {callers}\noperators: [{operators}]\nagents: [{agents}]\n\
         operator_token_file: operator.token\ncontract_token_files:\n",
        callers = plan.callers_address(0),
        operators = quoted_list(entries),
        agents = quoted_list(agents),
    );
    for kind in profile.kinds {
        let file = format!("{}.token", kind.contract);
        // Writing to a string cannot fail.
        let _ = writeln!(text, "  {}: {file}", kind.contract);
        fs::write(
            site.folder().join(file),
            format!("token-of-{}", kind.contract),
        )?;
    }
    let path = site.folder().join(FILE_NAME);
    fs::write(&path, text)?;
    Ok(path)
}

/// Returns the addresses quoted and separated by commas.
fn quoted_list(addresses: impl Iterator<Item = SocketAddr>) -> String {
    let quoted: Vec<String> = addresses.map(|address| format!("\"{address}\"")).collect();
    quoted.join(", ")
}
