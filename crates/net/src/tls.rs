//! TLS configuration of HTTP listeners.

use {
    rustls::{
        ServerConfig,
        pki_types::{CertificateDer, PrivateKeyDer, pem::PemObject},
    },
    std::{
        path::{Path, PathBuf},
        sync::Arc,
    },
    thiserror::Error,
};

/// The only protocol that listeners offer over TLS (ALPN).
const HTTP_1_1: &[u8] = b"http/1.1";

/// Why a TLS configuration could not be created from a certificate and a key.
#[derive(Debug, Error)]
pub enum TlsError {
    /// The file cannot be read or does not contain the expected PEM.
    #[error("{path}: {message}", path = .0.display(), message = .1)]
    File(PathBuf, String),
    /// The certificate in the file is not valid for the key.
    #[error("{path}: {source}", path = .0.display(), source = .1)]
    Mismatch(PathBuf, rustls::Error),
}

/// Creates the TLS configuration of a listener from PEM files.
///
/// # Errors
/// Returns an error that names the file at fault.
pub fn tls_config(certificate_file: &Path, key_file: &Path) -> Result<Arc<ServerConfig>, TlsError> {
    let file_error = |path: &Path, message: String| TlsError::File(path.to_owned(), message);
    let chain: Result<Vec<_>, _> =
        CertificateDer::pem_file_iter(certificate_file).and_then(Iterator::collect);
    let chain = chain.map_err(|e| file_error(certificate_file, e.to_string()))?;
    let key = PrivateKeyDer::from_pem_file(key_file);
    let key = key.map_err(|e| file_error(key_file, e.to_string()))?;
    let mut config = ServerConfig::builder()
        .with_no_client_auth()
        .with_single_cert(chain, key)
        .map_err(|e| TlsError::Mismatch(certificate_file.to_owned(), e))?;
    config.alpn_protocols = vec![HTTP_1_1.to_vec()];
    Ok(Arc::new(config))
}
