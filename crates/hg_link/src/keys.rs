//! The deployment's certificate authority and the keys of its hosts, on disk.

use std::fs::{self, OpenOptions};
use std::io::{self, Write as _};
use std::os::unix::fs::OpenOptionsExt as _;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use derive_more::{Display, Error};
use hg_model::HostName;
use rcgen::{
    BasicConstraints, CertificateParams, DnType, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair,
    KeyUsagePurpose,
};
use rustls::RootCertStore;
use rustls::server::WebPkiClientVerifier;
use rustls_pki_types::pem::PemObject as _;
use rustls_pki_types::{CertificateDer, PrivateKeyDer};

use crate::stream_limit::{MESSAGES_MAX, REQUESTS_AT_FIRST};

/// The DNS name in every host's certificate, which the connecting side verifies.
pub(crate) const SERVER_NAME: &str = "link.heathergrade";
const ALPN: &[u8] = b"heathergrade/1";
const FOLDER_MODE: u32 = 0o700;
const FILE_MODE: u32 = 0o600;
/// A link on which nothing arrives for this long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Why keys could not be created, read or used.
#[derive(Debug, Display, Error)]
#[display("keys: {step} {}: {cause}", file.display())]
pub struct KeyError {
    /// The step that failed.
    pub step: &'static str,
    /// The file or folder concerned.
    pub file: PathBuf,
    /// The cause, as text.
    #[error(not(source))]
    pub cause: String,
}

/// A folder with the authority's certificate and one host's certificate and key.
#[derive(Debug, Clone)]
pub struct KeyFolder {
    folder: PathBuf,
}

impl KeyFolder {
    /// Refers to a folder without reading it.
    pub fn new(folder: impl Into<PathBuf>) -> Self {
        Self { folder: folder.into() }
    }

    /// Creates an authority in this folder, unless it has one, and a key folder below it for each
    /// host.
    ///
    /// A host's folder holds all that the host's processes need, and not the authority's key.
    ///
    /// # Errors
    ///
    /// [`KeyError`] if a host's file exists already, or a file cannot be written.
    pub fn create(&self, hosts: &[HostName]) -> Result<(), KeyError> {
        create_folder(&self.folder)?;
        let authority = Authority::open_or_create(&self.folder)?;
        for host in hosts {
            let folder = self.folder.join(host.as_str());
            create_folder(&folder)?;
            let (certificate, key) = authority.issue(host, &folder)?;
            write_new(&folder.join("authority.pem"), &authority.certificate)?;
            write_new(&folder.join("host.pem"), &certificate)?;
            write_new(&folder.join("host.key"), &key)?;
        }
        Ok(())
    }

    /// The QUIC and TLS configuration of the accepting side.
    ///
    /// # Errors
    ///
    /// [`KeyError`] if the keys are missing or malformed.
    pub(crate) fn server(&self) -> Result<quinn::ServerConfig, KeyError> {
        let roots = Arc::new(self.roots()?);
        let (chain, key) = self.identity()?;
        let verifier = WebPkiClientVerifier::builder_with_provider(roots, provider())
            .build()
            .map_err(|e| self.error("use", "authority.pem", &e))?;
        let mut tls = rustls::ServerConfig::builder_with_provider(provider())
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(|e| self.error("use", "host.pem", &e))?
            .with_client_cert_verifier(verifier)
            .with_single_cert(chain, key)
            .map_err(|e| self.error("use", "host.pem", &e))?;
        tls.alpn_protocols = vec![ALPN.to_vec()];
        let quic = quinn::crypto::rustls::QuicServerConfig::try_from(tls)
            .map_err(|e| self.error("use", "host.pem", &e))?;
        let mut config = quinn::ServerConfig::with_crypto(Arc::new(quic));
        config.transport_config(Arc::new(transport()));
        Ok(config)
    }

    /// The QUIC and TLS configuration of the connecting side.
    ///
    /// # Errors
    ///
    /// [`KeyError`] if the keys are missing or malformed.
    pub(crate) fn client(&self) -> Result<quinn::ClientConfig, KeyError> {
        let (chain, key) = self.identity()?;
        let mut tls = rustls::ClientConfig::builder_with_provider(provider())
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(|e| self.error("use", "host.pem", &e))?
            .with_root_certificates(self.roots()?)
            .with_client_auth_cert(chain, key)
            .map_err(|e| self.error("use", "host.pem", &e))?;
        tls.alpn_protocols = vec![ALPN.to_vec()];
        let quic = quinn::crypto::rustls::QuicClientConfig::try_from(tls)
            .map_err(|e| self.error("use", "host.pem", &e))?;
        let mut config = quinn::ClientConfig::new(Arc::new(quic));
        config.transport_config(Arc::new(transport()));
        Ok(config)
    }

    fn roots(&self) -> Result<RootCertStore, KeyError> {
        let file = self.folder.join("authority.pem");
        let certificate = CertificateDer::from_pem_file(&file)
            .map_err(|e| self.error("read", "authority.pem", &e))?;
        let mut roots = RootCertStore::empty();
        roots.add(certificate).map_err(|e| self.error("use", "authority.pem", &e))?;
        Ok(roots)
    }

    fn identity(&self) -> Result<(Vec<CertificateDer<'static>>, PrivateKeyDer<'static>), KeyError> {
        let certificate = CertificateDer::from_pem_file(self.folder.join("host.pem"))
            .map_err(|e| self.error("read", "host.pem", &e))?;
        let key = PrivateKeyDer::from_pem_file(self.folder.join("host.key"))
            .map_err(|e| self.error("read", "host.key", &e))?;
        Ok((vec![certificate], key))
    }

    fn error(&self, step: &'static str, file: &str, cause: &impl ToString) -> KeyError {
        KeyError { step, file: self.folder.join(file), cause: cause.to_string() }
    }
}

/// The deployment's own certificate authority.
struct Authority {
    certificate: String,
    issuer: Issuer<'static, KeyPair>,
}

impl Authority {
    fn open_or_create(folder: &Path) -> Result<Self, KeyError> {
        let key_file = folder.join("authority.key");
        let certificate_file = folder.join("authority.pem");
        if key_file.exists() {
            return Self::open(&key_file, &certificate_file);
        }
        let key = KeyPair::generate().map_err(|e| error("make", &key_file, &e))?;
        let params = Self::params();
        let certificate =
            params.self_signed(&key).map_err(|e| error("make", &certificate_file, &e))?;
        write_new(&key_file, &key.serialize_pem())?;
        write_new(&certificate_file, &certificate.pem())?;
        Ok(Self { certificate: certificate.pem(), issuer: Issuer::new(params, key) })
    }

    fn open(key_file: &Path, certificate_file: &Path) -> Result<Self, KeyError> {
        let read = |file: &Path| fs::read_to_string(file).map_err(|e| error("read", file, &e));
        let key = KeyPair::from_pem(&read(key_file)?).map_err(|e| error("read", key_file, &e))?;
        let certificate = read(certificate_file)?;
        Ok(Self { certificate, issuer: Issuer::new(Self::params(), key) })
    }

    /// The parameters of the authority's certificate, which do not depend on its key.
    fn params() -> CertificateParams {
        let mut params = CertificateParams::default();
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
        params.distinguished_name.push(DnType::CommonName, "heathergrade authority");
        params
    }

    fn issue(&self, host: &HostName, folder: &Path) -> Result<(String, String), KeyError> {
        let file = folder.join("host.pem");
        let key = KeyPair::generate().map_err(|e| error("make", &file, &e))?;
        let names = vec![SERVER_NAME.to_owned(), format!("{host}.heathergrade")];
        let mut params = CertificateParams::new(names).map_err(|e| error("make", &file, &e))?;
        params.distinguished_name.push(DnType::CommonName, host.as_str());
        params.use_authority_key_identifier_extension = true;
        params.extended_key_usages =
            vec![ExtendedKeyUsagePurpose::ServerAuth, ExtendedKeyUsagePurpose::ClientAuth];
        let certificate =
            params.signed_by(&key, &self.issuer).map_err(|e| error("make", &file, &e))?;
        Ok((certificate.pem(), key.serialize_pem()))
    }
}

fn provider() -> Arc<rustls::crypto::CryptoProvider> {
    Arc::new(rustls::crypto::ring::default_provider())
}

fn transport() -> quinn::TransportConfig {
    let mut transport = quinn::TransportConfig::default();
    let idle =
        quinn::IdleTimeout::try_from(IDLE_TIMEOUT).expect("the timeout is far below the maximum");
    transport.max_idle_timeout(Some(idle));
    transport.keep_alive_interval(Some(KEEP_ALIVE_INTERVAL));
    transport.max_concurrent_bidi_streams(REQUESTS_AT_FIRST.into());
    transport.max_concurrent_uni_streams(MESSAGES_MAX.into());
    transport
}

fn error(step: &'static str, file: &Path, cause: &impl ToString) -> KeyError {
    KeyError { step, file: file.to_owned(), cause: cause.to_string() }
}

fn create_folder(folder: &Path) -> Result<(), KeyError> {
    use std::os::unix::fs::DirBuilderExt as _;
    let created = fs::DirBuilder::new().recursive(true).mode(FOLDER_MODE).create(folder);
    created.map_err(|e| error("make", folder, &e))
}

/// Writes a new file that only its owner can read; fails if the file exists.
fn write_new(file: &Path, content: &str) -> Result<(), KeyError> {
    let write = || -> io::Result<()> {
        let mut options = OpenOptions::new();
        let mut f = options.write(true).create_new(true).mode(FILE_MODE).open(file)?;
        f.write_all(content.as_bytes())?;
        f.sync_all()
    };
    write().map_err(|e| error("write", file, &e))
}
