//! Connections between daemons: TCP, or TLS with the fleet's keys on both sides.

use crate::config::settings::FleetKeySettings;
use arc_swap::ArcSwap;
use displaydoc::Display;
use futures_rustls::{
    TlsAcceptor, TlsConnector,
    pki_types::{CertificateDer, PrivateKeyDer, ServerName, pem::PemObject},
    rustls::{ClientConfig, RootCertStore, ServerConfig, server::WebPkiClientVerifier},
};
use smol::{
    io::{AsyncRead, AsyncWrite},
    net::TcpStream,
};
use sorrelturn_platform::ReadySocket;
use std::{io, path::Path, sync::Arc};

/// The name in every daemon's certificate; a daemon's identity comes from its member record.
const FLEET_NAME: &str = "sorrelturn";

/// A connection with or without TLS.
pub(crate) trait Stream: AsyncRead + AsyncWrite + Send + Unpin {}

impl<T: AsyncRead + AsyncWrite + Send + Unpin> Stream for T {}

pub(crate) type BoxStream = Box<dyn Stream>;

/// Why the fleet's keys can't be used, or a handshake with them failed.
#[derive(Debug, Display)]
pub enum KeysError {
    /// can't read {file}: {error}
    Unreadable {
        /// The file.
        file: String,
        /// The reason.
        error: String,
    },
    /// the keys are invalid, or the TLS handshake failed: {0}
    Mismatch(String),
}

impl std::error::Error for KeysError {}

/// The keys by which daemons prove that they belong to the fleet.
pub(crate) struct FleetKeys {
    settings: Option<FleetKeySettings>,
    current: ArcSwap<Option<TlsPair>>,
}

struct TlsPair {
    connector: TlsConnector,
    acceptor: TlsAcceptor,
}

impl FleetKeys {
    /// Reads the keys; without settings, connections are in the clear.
    pub(crate) fn load(settings: Option<FleetKeySettings>) -> Result<Self, KeysError> {
        let pair = settings.as_ref().map(TlsPair::load).transpose()?;
        Ok(Self {
            settings,
            current: ArcSwap::from_pointee(pair),
        })
    }

    /// Reads the keys again for new connections; retains the old ones on failure.
    pub(crate) fn reload(&self) -> Result<(), KeysError> {
        if let Some(settings) = &self.settings {
            self.current.store(Arc::new(Some(TlsPair::load(settings)?)));
        }
        Ok(())
    }

    /// Opens the client side of a connection.
    pub(crate) async fn connect(&self, tcp: TcpStream) -> io::Result<BoxStream> {
        tcp.set_nodelay(true)?;
        let pair = self.current.load_full();
        let Some(pair) = pair.as_ref() else {
            return Ok(Box::new(ReadySocket::new(tcp)));
        };
        let name = ServerName::try_from(FLEET_NAME).map_err(io::Error::other)?;
        Ok(Box::new(
            pair.connector.connect(name, ReadySocket::new(tcp)).await?,
        ))
    }

    /// Opens the server side of a connection; fails for a client outside the fleet.
    pub(crate) async fn accept(&self, tcp: TcpStream) -> io::Result<BoxStream> {
        let pair = self.current.load_full();
        let Some(pair) = pair.as_ref() else {
            return Ok(Box::new(ReadySocket::for_server(tcp)));
        };
        Ok(Box::new(
            pair.acceptor.accept(ReadySocket::for_server(tcp)).await?,
        ))
    }
}

/// Opens the client side of a connection to a daemon, for commands and tests.
pub async fn fleet_client_stream(
    keys: &FleetKeySettings,
    tcp: TcpStream,
) -> Result<impl AsyncRead + AsyncWrite + Send + Unpin, KeysError> {
    let pair = TlsPair::load(keys)?;
    let name = ServerName::try_from(FLEET_NAME).map_err(mismatch)?;
    pair.connector.connect(name, tcp).await.map_err(mismatch)
}

impl TlsPair {
    fn load(settings: &FleetKeySettings) -> Result<Self, KeysError> {
        let mut roots = RootCertStore::empty();
        for authority in certificates(&settings.authorities)? {
            roots.add(authority).map_err(mismatch)?;
        }
        let roots = Arc::new(roots);
        let chain = certificates(&settings.certificate)?;
        let key = PrivateKeyDer::from_pem_file(&settings.key)
            .map_err(|error| unreadable(&settings.key, &error))?;
        let client = ClientConfig::builder()
            .with_root_certificates(Arc::clone(&roots))
            .with_client_auth_cert(chain.clone(), key.clone_key())
            .map_err(mismatch)?;
        let verifier = WebPkiClientVerifier::builder(roots)
            .build()
            .map_err(mismatch)?;
        let server = ServerConfig::builder()
            .with_client_cert_verifier(verifier)
            .with_single_cert(chain, key)
            .map_err(mismatch)?;
        Ok(Self {
            connector: Arc::new(client).into(),
            acceptor: Arc::new(server).into(),
        })
    }
}

fn certificates(file: &Path) -> Result<Vec<CertificateDer<'static>>, KeysError> {
    CertificateDer::pem_file_iter(file)
        .and_then(Iterator::collect)
        .map_err(|error| unreadable(file, &error))
}

fn unreadable(file: &Path, error: &impl std::fmt::Display) -> KeysError {
    KeysError::Unreadable {
        file: file.display().to_string(),
        error: error.to_string(),
    }
}

fn mismatch(error: impl std::fmt::Display) -> KeysError {
    KeysError::Mismatch(error.to_string())
}
