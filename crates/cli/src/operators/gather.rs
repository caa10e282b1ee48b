//! Reads a page of every process of a site.

use {
    crate::{
        CliError,
        client::{HttpClient, Request},
        site::OperatorSite,
    },
    ntex::http::Method,
    serde_json::Value,
    std::net::SocketAddr,
};

/// The answer of one process.
#[derive(Debug)]
pub(crate) struct ProcessReply {
    /// Address of the process.
    pub(crate) address: SocketAddr,
    /// Page that the process returned, or the error if it returned none.
    pub(crate) page: Result<Value, CliError>,
}

/// Reads a page of every entry and agent, one after the other. A process that does
/// not answer has an error in place of its page.
pub(crate) async fn gather(
    site: &OperatorSite,
    entry_path: &str,
    agent_path: &str,
) -> Result<Vec<ProcessReply>, CliError> {
    let client = HttpClient::new().await?;
    let entries = site.entries.iter().map(|address| (*address, entry_path));
    let agents = site.agents.iter().map(|address| (*address, agent_path));
    let mut replies = Vec::new();
    for (address, path) in entries.chain(agents) {
        let url = format!("http://{address}{path}");
        let request = Request::new(Method::GET, url, &site.token);
        let page = match client.send(request).await {
            Ok(reply) => reply.json(),
            Err(error) => Err(error),
        };
        replies.push(ProcessReply { address, page });
    }
    Ok(replies)
}
