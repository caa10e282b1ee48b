//! Settings of TLS on one address.

use {
    serde::{Deserialize, Serialize},
    std::path::PathBuf,
};

/// Settings of TLS on one address.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TlsConf {
    /// File with the certificate chain, in PEM.
    pub certificate_file: PathBuf,
    /// File with the private key, in PEM.
    pub key_file: PathBuf,
}
