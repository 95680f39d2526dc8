//! `sorrelctl key fleet`

use super::{CommandEntry, key_new::write_secret};
use crate::{Failure, Output, exit};
use clap::{Arg, ArgMatches, Command, value_parser};
use rcgen::{BasicConstraints, CertificateParams, DnType, IsCa, Issuer, KeyPair, KeyUsagePurpose};
use std::{fs, path::PathBuf};

/// The name in every daemon's certificate.
const CERTIFICATE_NAME: &str = "sorrelturn";

pub(super) const ENTRY: CommandEntry = CommandEntry {
    name: &["key", "fleet"],
    signature,
    run,
};

fn signature() -> Command {
    Command::new("fleet")
        .about("Generates the keys and certificates that daemons authenticate each other with")
        .after_help(
            "Example:\n  sorrelctl key fleet --folder keys\n\nCreates authority.pem and \
             authority.key in the folder if they don't exist, and a new daemon.pem and daemon.key signed by \
             them.\nTo rotate: append the new authority.pem to the old one in every daemon's \
             file, reload, deploy the new daemon.pem, reload, then remove the old authority.",
        )
        .arg(
            Arg::new("folder")
                .long("folder")
                .value_name("FOLDER")
                .help("The folder for the keys; created if it doesn't exist")
                .required(true)
                .value_parser(value_parser!(PathBuf)),
        )
}

fn run(args: &ArgMatches) -> Result<Output, Failure> {
    let folder = args
        .get_one::<PathBuf>("folder")
        .expect("clap requires the folder");
    let folder_name = folder.display().to_string();
    fs::create_dir_all(folder).map_err(|error| Failure::file(&folder_name, &error))?;
    let authority_key = authority_key(folder)?;
    let issuer = Issuer::new(authority_params(), authority_key);
    let daemon_key = KeyPair::generate().map_err(certificate_failure)?;
    let mut params =
        CertificateParams::new(vec![CERTIFICATE_NAME.to_owned()]).map_err(certificate_failure)?;
    params
        .distinguished_name
        .push(DnType::CommonName, "sorrelturn daemon");
    let certificate = params
        .signed_by(&daemon_key, &issuer)
        .map_err(certificate_failure)?;
    replace(&folder.join("daemon.pem"), &certificate.pem())?;
    replace_secret(&folder.join("daemon.key"), &daemon_key.serialize_pem())?;
    let json = serde_json::json!({ "folder": folder_name });
    Ok(Output::new(
        format!("{folder_name} contains authority.pem, daemon.pem and daemon.key"),
        &json,
    ))
}

fn authority_key(folder: &std::path::Path) -> Result<KeyPair, Failure> {
    let file = folder.join("authority.key");
    if let Ok(text) = fs::read_to_string(&file) {
        return KeyPair::from_pem(&text).map_err(certificate_failure);
    }
    let key = KeyPair::generate().map_err(certificate_failure)?;
    let certificate = authority_params()
        .self_signed(&key)
        .map_err(certificate_failure)?;
    write_secret(&file, &key.serialize_pem())?;
    replace(&folder.join("authority.pem"), &certificate.pem())?;
    Ok(key)
}

fn authority_params() -> CertificateParams {
    let mut params = CertificateParams::default();
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
    params
        .distinguished_name
        .push(DnType::CommonName, "sorrelturn fleet authority");
    params
}

fn replace(file: &PathBuf, text: &str) -> Result<(), Failure> {
    fs::write(file, text).map_err(|error| Failure::file(&file.display().to_string(), &error))
}

fn replace_secret(file: &PathBuf, text: &str) -> Result<(), Failure> {
    let _ = fs::remove_file(file);
    write_secret(file, text)
}

fn certificate_failure(error: rcgen::Error) -> Failure {
    let help = "remove broken files from the folder and try again";
    Failure::new(exit::FINDINGS, error.to_string(), help)
}
