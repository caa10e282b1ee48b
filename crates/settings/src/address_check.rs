//! Checks of the addresses in settings.

use std::net::SocketAddr;

/// A key of the settings and the address that it sets.
pub(crate) type NamedAddress = (&'static str, SocketAddr);

/// Returns a problem for each address that no process can connect to: one with
/// port 0 or with an unspecified IP address.
pub(crate) fn unreachable(addresses: &[NamedAddress]) -> Vec<String> {
    let mut problems = Vec::new();
    for (key, address) in addresses {
        if address.port() == 0 {
            problems.push(format!("{key}: {address} has port 0; accepted: 1 to 65535"));
        }
        if address.ip().is_unspecified() {
            problems.push(format!(
                "{key}: {address} cannot be connected to; accepted: the IP address of one worker"
            ));
        }
    }
    problems
}

/// Returns a problem for each listening address with port 0, for which the
/// operating system would choose a port.
pub(crate) fn without_port(addresses: &[NamedAddress]) -> Vec<String> {
    let with_port_0 = addresses.iter().filter(|(_, address)| address.port() == 0);
    with_port_0
        .map(|(key, address)| format!("{key}: {address} has port 0; accepted: 1 to 65535"))
        .collect()
}

/// Returns a problem for each address that overlaps with an earlier one.
pub(crate) fn duplicates(addresses: &[NamedAddress]) -> Vec<String> {
    let mut problems = Vec::new();
    for (i, (key, address)) in addresses.iter().enumerate() {
        let earlier = addresses[..i]
            .iter()
            .find(|(_, other)| overlaps(*other, *address));
        if let Some((other, _)) = earlier {
            problems.push(format!("{key}: {address} is taken by {other} already"));
        }
    }
    problems
}

/// Returns true if the ports are equal and the IP addresses are equal too, or one
/// of them is unspecified, which means every address.
fn overlaps(one: SocketAddr, other: SocketAddr) -> bool {
    let is_any = one.ip().is_unspecified() || other.ip().is_unspecified();
    one.port() == other.port() && (is_any || one.ip() == other.ip())
}
