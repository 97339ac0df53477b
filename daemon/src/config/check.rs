//! `linnetknot check`: validates files without starting the daemon.

use super::{get, read_object, Config, ConfigError, Fields};
use std::path::{Path, PathBuf};

/// The descriptions of valid files in the output.
const CONFIGURATION: &str = "a configuration, sound";
const INTERCONNECT_FILE: &str = "an interconnect file, sound";
const ENVIRONMENT: &str = "a start would find nothing wrong";

/// A checked file, with a description of its kind or the first error found.
#[derive(Debug)]
pub struct CheckedFile {
    /// The path of the file, or `environment` for the files that a start would read.
    pub name: String,
    /// The description of a valid file, or the error in an invalid one.
    pub result: Result<&'static str, ConfigError>,
}

/// Checks files. If none are given, checks the files that the daemon would read at its start.
pub fn check(files: &[PathBuf]) -> Vec<CheckedFile> {
    if files.is_empty() {
        return vec![CheckedFile {
            name: "environment".to_owned(),
            result: Config::from_env().map(|_| ENVIRONMENT),
        }];
    }
    let mut checked = Vec::new();
    // If a configuration is also given, the operators' own file is checked against its settings.
    let mut configuration = None;
    let mut interconnect_files = Vec::new();
    for path in files {
        let name = path.display().to_string();
        match read_file(path) {
            Ok(FileContent::Interconnect(fields)) => interconnect_files.push((name, fields)),
            Ok(FileContent::Configuration(config)) => {
                configuration = Some(*config);
                checked.push(CheckedFile {
                    name,
                    result: Ok(CONFIGURATION),
                });
            }
            Err(e) => checked.push(CheckedFile {
                name,
                result: Err(e),
            }),
        }
    }
    for (name, fields) in interconnect_files {
        let result = check_interconnect(configuration.clone(), &fields)
            .map(|()| INTERCONNECT_FILE)
            .map_err(|e| e.in_file(&name));
        checked.push(CheckedFile { name, result });
    }
    checked
}

enum FileContent {
    Configuration(Box<Config>),
    Interconnect(Fields),
}

fn read_file(path: &Path) -> Result<FileContent, ConfigError> {
    let name = path.display().to_string();
    let fields = read_object(&name)?;
    if get(&fields, "settings").is_none() && get(&fields, "listen").is_none() {
        return Ok(FileContent::Interconnect(fields));
    }
    let config = Config::read(&fields).map_err(|e| e.in_file(&name))?;
    Ok(FileContent::Configuration(Box::new(config)))
}

fn check_interconnect(configuration: Option<Config>, fields: &Fields) -> Result<(), ConfigError> {
    let mut config = configuration.map_or_else(Config::empty, Ok)?;
    config.interconnect(fields)
}
