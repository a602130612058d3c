//! Mutual TLS between limiters: both sides present a certificate of the operator's own authority that is valid for
//! their name. TLS 1.3 only; no cryptography of our own (`rustls` with `ring`).

use rcgen::{
    BasicConstraints, CertificateParams, DnType, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair,
    KeyUsagePurpose,
};
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer, ServerName};
use rustls::server::WebPkiClientVerifier;
use rustls::{ClientConfig, RootCertStore, ServerConfig};
use std::io::Write;
use std::os::unix::fs::{DirBuilderExt, OpenOptionsExt, PermissionsExt};
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio_rustls::{TlsAcceptor, TlsConnector};
use x509_parser::prelude::{FromDer, GeneralName, X509Certificate};

/// The two halves of a connection.
pub type Streams = (Box<dyn AsyncRead + Unpin>, Box<dyn AsyncWrite + Unpin>);

const AUTHORITY_FILE: &str = "authority.pem";
const AUTHORITY_KEY_FILE: &str = "authority.key";
/// Holds the secret with which all limiters of a site compute fingerprints of requests.
const SECRET_FILE: &str = "fingerprint.key";
/// A certificate that expires within this time causes a warning.
const EXPIRY_WARNING: Duration = Duration::from_secs(30 * 86_400);
/// The validity of the certificates that `link init` creates, in days.
const VALIDITY_DAYS: i64 = 365;

/// The certificate that this instance presents, and the authorities that it trusts.
#[derive(Clone)]
pub struct Tls {
    client: TlsConnector,
    server: TlsAcceptor,
}

impl Tls {
    /// Reads the certificate and the private key of the instance `name`, and the trusted authorities, from the folder
    /// that `emberpin link init` created. `authority.pem` may hold both old and new certificates while they are being
    /// replaced.
    ///
    /// # Errors
    ///
    /// One line that names the file and the remedy.
    pub fn read(folder: &Path, name: &str) -> Result<Tls, String> {
        let (certificate, key) = (
            folder.join(format!("{name}.pem")),
            folder.join(format!("{name}.key")),
        );
        let chain = read_certificates(&certificate)?;
        warn_if_expiring(&certificate, &chain);
        check_owner_only(&key)?;
        let private = PrivateKeyDer::from_pem_file(&key)
            .map_err(|e| format!("{}: no private key: {e}", key.display()))?;
        let authority = folder.join(AUTHORITY_FILE);
        let mut roots = RootCertStore::empty();
        for root in read_certificates(&authority)? {
            roots
                .add(root)
                .map_err(|e| format!("{}: {e}", authority.display()))?;
        }
        let roots = Arc::new(roots);
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let certificate_error = |e: rustls::Error| format!("{}: {e}", certificate.display());
        let client = ClientConfig::builder_with_provider(provider.clone())
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(certificate_error)?
            .with_root_certificates(roots.clone())
            .with_client_auth_cert(chain.clone(), private.clone_key())
            .map_err(certificate_error)?;
        let verifier = WebPkiClientVerifier::builder_with_provider(roots, provider.clone()).build();
        let verifier = verifier.map_err(|e| format!("{}: {e}", authority.display()))?;
        let server = ServerConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(certificate_error)?
            .with_client_cert_verifier(verifier)
            .with_single_cert(chain, private)
            .map_err(certificate_error)?;
        Ok(Tls {
            client: Arc::new(client).into(),
            server: Arc::new(server).into(),
        })
    }

    /// Performs the TLS handshake on a connection to the member `to`; `None` if it fails, for example because the
    /// member's certificate is not valid for its name.
    pub async fn connect(&self, to: &str, stream: TcpStream) -> Option<Streams> {
        let name = ServerName::try_from(to.to_string()).ok()?;
        match self.client.connect(name, stream).await {
            Ok(stream) => Some(split(stream)),
            Err(e) => {
                eprintln!("emberpin: link: TLS handshake with {to} failed: {e}");
                None
            }
        }
    }

    /// Performs the TLS handshake on an accepted connection. Returns its streams and the DNS names that the peer's
    /// certificate is valid for; `None` if the handshake fails.
    pub async fn accept(&self, stream: TcpStream) -> Option<(Streams, Vec<String>)> {
        match self.server.accept(stream).await {
            Ok(stream) => {
                let certified = certified_names(stream.get_ref().1.peer_certificates());
                Some((split(stream), certified))
            }
            Err(e) => {
                eprintln!("emberpin: link: TLS handshake on an accepted connection failed: {e}");
                None
            }
        }
    }
}

fn split(stream: impl AsyncRead + AsyncWrite + 'static) -> Streams {
    let (reader, writer) = tokio::io::split(stream);
    (Box::new(reader), Box::new(writer))
}

/// The DNS names that a verified certificate is valid for.
fn certified_names(chain: Option<&[CertificateDer<'_>]>) -> Vec<String> {
    let Some((_, certificate)) =
        chain.and_then(|chain| X509Certificate::from_der(chain.first()?).ok())
    else {
        return Vec::new();
    };
    let Ok(Some(names)) = certificate.subject_alternative_name() else {
        return Vec::new();
    };
    let dns = names
        .value
        .general_names
        .iter()
        .filter_map(|name| match name {
            GeneralName::DNSName(name) => Some(name.to_string()),
            _ => None,
        });
    dns.collect()
}

fn read_certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>, String> {
    let shown = path.display();
    let read =
        CertificateDer::pem_file_iter(path).map_err(|e| format!("{shown}: no certificate: {e}"))?;
    let certificates: Result<Vec<_>, _> = read.collect();
    match certificates.map_err(|e| format!("{shown}: no certificate: {e}"))? {
        certificates if certificates.is_empty() => Err(format!(
            "{shown}: no certificate in it; `emberpin link init` creates one"
        )),
        certificates => Ok(certificates),
    }
}

fn warn_if_expiring(path: &Path, chain: &[CertificateDer<'_>]) {
    let Some(Ok((_, certificate))) = chain.first().map(|first| X509Certificate::from_der(first))
    else {
        return;
    };
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let expiry = u64::try_from(certificate.validity().not_after.timestamp()).unwrap_or(0);
    let remaining = Duration::from_secs(expiry).saturating_sub(now);
    if remaining < EXPIRY_WARNING {
        eprintln!(
            "emberpin: link: {} expires in {} days; replace it",
            path.display(),
            remaining.as_secs() / 86_400
        );
    }
}

fn check_owner_only(path: &Path) -> Result<(), String> {
    let shown = path.display();
    let metadata = std::fs::metadata(path).map_err(|e| format!("{shown}: {e}"))?;
    match metadata.permissions().mode() & 0o077 {
        0 => Ok(()),
        _ => Err(format!(
            "{shown}: others than its owner may read it; chmod 600 it, and replace it if they have read it"
        )),
    }
}

/// Reads the secret with which all limiters of a site compute fingerprints: 64 hexadecimal digits.
///
/// # Errors
///
/// One line that names the file and the remedy.
pub fn read_secret(folder: &Path) -> Result<[u8; 32], String> {
    let path = folder.join(SECRET_FILE);
    check_owner_only(&path)?;
    let shown = path.display();
    let text = std::fs::read_to_string(&path).map_err(|e| format!("{shown}: {e}"))?;
    let text = text.trim_end();
    let mut bytes = [0; 32];
    let digit = |position: usize| {
        text.as_bytes()
            .get(position)
            .and_then(|digit| char::from(*digit).to_digit(16))
    };
    for (index, byte) in bytes.iter_mut().enumerate() {
        match (digit(2 * index), digit(2 * index + 1), text.len()) {
            (Some(high), Some(low), 64) => *byte = (high << 4 | low) as u8,
            _ => {
                return Err(format!(
                    "{shown}: expected 64 hexadecimal digits; `emberpin link init` creates them"
                ))
            }
        }
    }
    Ok(bytes)
}

/// Creates a private authority, a certificate for each of these instances, and the secret for fingerprints, in a folder
/// that must not exist yet. Each instance needs `authority.pem`, `fingerprint.key` and the two files of its name, and
/// nothing else.
///
/// # Errors
///
/// One line that names what could not be created.
pub fn init(folder: &Path, members: &[String], secret: [u8; 32]) -> Result<(), String> {
    let shown = folder.display();
    std::fs::DirBuilder::new()
        .mode(0o700)
        .create(folder)
        .map_err(|e| format!("cannot create {shown}: {e}"))?;
    let certificate_error = |e: rcgen::Error| format!("cannot create a certificate: {e}");
    let save = |name: String, text: &str, mode: u32| {
        let path = folder.join(name);
        let mut options = std::fs::OpenOptions::new();
        let file = options.write(true).create_new(true).mode(mode).open(&path);
        let written = file.and_then(|mut file| file.write_all(text.as_bytes()));
        written.map_err(|e| format!("cannot write {}: {e}", path.display()))
    };
    let expiry = || {
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            .as_secs();
        rcgen_time(now as i64 + VALIDITY_DAYS * 86_400)
    };
    let authority_key = KeyPair::generate().map_err(certificate_error)?;
    let mut authority = CertificateParams::new(Vec::new()).map_err(certificate_error)?;
    authority
        .distinguished_name
        .push(DnType::CommonName, "emberpin link");
    authority.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
    authority.key_usages = vec![KeyUsagePurpose::KeyCertSign];
    authority.not_after = expiry();
    let certificate = authority
        .self_signed(&authority_key)
        .map_err(certificate_error)?;
    save(AUTHORITY_FILE.into(), &certificate.pem(), 0o644)?;
    save(
        AUTHORITY_KEY_FILE.into(),
        &authority_key.serialize_pem(),
        0o600,
    )?;
    let issuer = Issuer::new(authority, authority_key);
    for name in members {
        let key = KeyPair::generate().map_err(certificate_error)?;
        let mut params = CertificateParams::new(vec![name.clone()]).map_err(certificate_error)?;
        params
            .distinguished_name
            .push(DnType::CommonName, name.as_str());
        params.extended_key_usages = vec![
            ExtendedKeyUsagePurpose::ServerAuth,
            ExtendedKeyUsagePurpose::ClientAuth,
        ];
        params.not_after = expiry();
        let certificate = params.signed_by(&key, &issuer).map_err(certificate_error)?;
        save(format!("{name}.pem"), &certificate.pem(), 0o644)?;
        save(format!("{name}.key"), &key.serialize_pem(), 0o600)?;
    }
    let digits: String = secret.iter().map(|byte| format!("{byte:02x}")).collect();
    save(SECRET_FILE.into(), &(digits + "\n"), 0o600)
}

fn rcgen_time(unix_seconds: i64) -> time::OffsetDateTime {
    time::OffsetDateTime::from_unix_timestamp(unix_seconds)
        .unwrap_or(time::OffsetDateTime::UNIX_EPOCH)
}
