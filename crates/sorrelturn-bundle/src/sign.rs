//! Operators' keys.

use crate::ManifestError;
use data_encoding::HEXLOWER_PERMISSIVE as HEX;
use displaydoc::Display;
use ed25519_dalek::{Signature, Signer, SigningKey, Verifier, VerifyingKey};
use std::collections::BTreeMap;

/// Why a key can't be read.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum KeyError {
    /// the key of {0} is not 64 hexadecimal digits of an Ed25519 key
    Malformed(String),
    /// the system gives no random numbers
    NoRandomness,
}

impl std::error::Error for KeyError {}

/// The secret key by which an operator signs bundles.
pub struct OperatorKey {
    operator: String,
    key: SigningKey,
}

impl OperatorKey {
    /// Makes a new key.
    pub fn generate(operator: &str) -> Result<Self, KeyError> {
        let mut secret = [0; 32];
        getrandom::fill(&mut secret).map_err(|_| KeyError::NoRandomness)?;
        Ok(Self::from_secret(operator, &secret))
    }

    /// Reads a key from the hexadecimal text of its secret.
    pub fn from_hex(operator: &str, text: &str) -> Result<Self, KeyError> {
        let secret = decode_key(operator, text)?;
        Ok(Self::from_secret(operator, &secret))
    }

    fn from_secret(operator: &str, secret: &[u8; 32]) -> Self {
        Self {
            operator: operator.to_owned(),
            key: SigningKey::from_bytes(secret),
        }
    }

    /// The operator's name.
    pub fn operator(&self) -> &str {
        &self.operator
    }

    /// The secret in hexadecimal, for the operator's key file.
    pub fn secret_hex(&self) -> String {
        HEX.encode(&self.key.to_bytes())
    }

    /// The public key in hexadecimal, for the daemons' settings.
    pub fn public_hex(&self) -> String {
        HEX.encode(self.key.verifying_key().as_bytes())
    }

    pub(crate) fn sign(&self, text: &[u8]) -> String {
        HEX.encode(&self.key.sign(text).to_bytes())
    }
}

/// The operators whose bundles a daemon takes.
#[derive(Clone, Debug, Default)]
pub struct TrustedKeys {
    keys: BTreeMap<String, VerifyingKey>,
}

impl TrustedKeys {
    /// Reads public keys by operator.
    pub fn from_hex(keys: &BTreeMap<String, String>) -> Result<Self, KeyError> {
        let keys = keys
            .iter()
            .map(|(operator, text)| {
                let bytes = decode_key(operator, text)?;
                let key = VerifyingKey::from_bytes(&bytes)
                    .map_err(|_| KeyError::Malformed(operator.clone()))?;
                Ok((operator.clone(), key))
            })
            .collect::<Result<_, KeyError>>()?;
        Ok(Self { keys })
    }

    pub(crate) fn verify(
        &self,
        operator: &str,
        text: &[u8],
        signature: &str,
    ) -> Result<(), ManifestError> {
        let key = self
            .keys
            .get(operator)
            .ok_or_else(|| ManifestError::UnknownOperator(operator.to_owned()))?;
        let bad = || ManifestError::BadSignature(operator.to_owned());
        let bytes = HEX.decode(signature.as_bytes()).map_err(|_| bad())?;
        let signature = Signature::from_slice(&bytes).map_err(|_| bad())?;
        key.verify(text, &signature).map_err(|_| bad())
    }
}

fn decode_key(operator: &str, text: &str) -> Result<[u8; 32], KeyError> {
    HEX.decode(text.trim().as_bytes())
        .ok()
        .and_then(|bytes| bytes.try_into().ok())
        .ok_or_else(|| KeyError::Malformed(operator.to_owned()))
}
