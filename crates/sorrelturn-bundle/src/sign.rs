//! Keys with which operators sign bundles.

use crate::ManifestError;
use data_encoding::HEXLOWER_PERMISSIVE as HEX;
use displaydoc::Display;
use ed25519_dalek::{Signature, Signer, SigningKey, Verifier, VerifyingKey};
use std::collections::BTreeMap;

/// An error of reading or generating a key.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum KeyError {
    /// the key of {0} is not an Ed25519 key of 64 hexadecimal digits
    Malformed(String),
    /// the system provides no random numbers
    NoRandomness,
}

impl std::error::Error for KeyError {}

/// The secret key with which an operator signs bundles.
pub struct OperatorKey {
    operator: String,
    key: SigningKey,
}

impl OperatorKey {
    /// Generates a random key.
    pub fn generate(operator: &str) -> Result<Self, KeyError> {
        let mut secret = [0; 32];
        getrandom::fill(&mut secret).map_err(|_| KeyError::NoRandomness)?;
        Ok(Self::from_secret(operator, &secret))
    }

    /// Parses a secret key of 64 hexadecimal digits.
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

    /// Returns the name of the operator.
    pub fn operator(&self) -> &str {
        &self.operator
    }

    /// Returns the secret key in hexadecimal, for the operator's key file.
    pub fn secret_hex(&self) -> String {
        HEX.encode(&self.key.to_bytes())
    }

    /// Returns the public key in hexadecimal, for the settings of daemons.
    pub fn public_hex(&self) -> String {
        HEX.encode(self.key.verifying_key().as_bytes())
    }

    pub(crate) fn sign(&self, text: &[u8]) -> String {
        HEX.encode(&self.key.sign(text).to_bytes())
    }
}

/// The public keys of the operators whose bundles a daemon accepts.
#[derive(Clone, Debug, Default)]
pub struct TrustedKeys {
    keys: BTreeMap<String, VerifyingKey>,
}

impl TrustedKeys {
    /// Parses public keys in hexadecimal, by operator.
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
        let bad_signature = || ManifestError::BadSignature(operator.to_owned());
        let bytes = HEX
            .decode(signature.as_bytes())
            .map_err(|_| bad_signature())?;
        let signature = Signature::from_slice(&bytes).map_err(|_| bad_signature())?;
        key.verify(text, &signature).map_err(|_| bad_signature())
    }
}

fn decode_key(operator: &str, text: &str) -> Result<[u8; 32], KeyError> {
    HEX.decode(text.trim().as_bytes())
        .ok()
        .and_then(|bytes| bytes.try_into().ok())
        .ok_or_else(|| KeyError::Malformed(operator.to_owned()))
}
