//! Loads and checks settings files; errors name the file and the path in it.

use std::{
    fs,
    path::{Path, PathBuf},
};

use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu};

/// Largest edit distance between an unknown key and a suggested one, as a fraction of the unknown
/// key's length.
const MAX_SUGGESTION_DISTANCE_RATIO: f64 = 0.45;

pub mod daemon;
pub mod fleet;
pub mod site;
pub mod tree;

/// An error in a settings file; its text is a single line.
#[derive(Debug, Snafu)]
pub enum ConfigError {
    /// The file can't be read.
    #[snafu(display("{}: {source}", file.display()))]
    Unreadable {
        /// Settings file.
        file: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The text is not JSON or does not match the schema.
    #[snafu(display("{}: at {path}: {message}", file.display()))]
    Malformed {
        /// Settings file.
        file: PathBuf,
        /// Path of the value in the file.
        path: String,
        /// Message of the parser, which tells what was found and expected.
        message: String,
    },
    /// A value is out of its range or conflicts with another one.
    #[snafu(display("{}: at {path}: {expected}", file.display()))]
    Invalid {
        /// Settings file.
        file: PathBuf,
        /// Path of the value in the file.
        path: String,
        /// Description of the valid values.
        expected: String,
    },
}

/// A value that a check of parsed settings rejected.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Violation {
    /// Path of the value in the checked settings.
    pub path: String,
    /// Description of the valid values.
    pub expected: String,
}

impl Violation {
    /// Returns a violation at a path in the checked settings.
    pub fn new(path: impl Into<String>, expected: impl Into<String>) -> Self {
        Self {
            path: path.into(),
            expected: expected.into(),
        }
    }
}

/// Settings that can be checked as a whole after parsing.
pub trait Check {
    /// Checks ranges and cross references.
    ///
    /// # Errors
    ///
    /// Fails with the first violation.
    fn check(&self) -> Result<(), Violation>;
}

/// Reads and checks a settings file.
///
/// # Errors
///
/// Fails if the file can't be read, does not match the schema, or holds an invalid value.
pub fn load<T: Check + DeserializeOwned>(file: &Path) -> Result<T, ConfigError> {
    let text = fs::read_to_string(file).context(UnreadableSnafu { file })?;
    parse(file, &text)
}

/// Parses and checks settings; `file` is only named in errors.
///
/// # Errors
///
/// Fails if the text does not match the schema or holds an invalid value.
pub fn parse<T: Check + DeserializeOwned>(file: &Path, text: &str) -> Result<T, ConfigError> {
    let mut deserializer = serde_json::Deserializer::from_str(text);
    let parsed: Result<T, _> = serde_path_to_error::deserialize(&mut deserializer);
    let settings = parsed.map_err(|error| ConfigError::Malformed {
        file: file.to_owned(),
        path: error.path().to_string(),
        message: with_suggestion(&error.inner().to_string()),
    })?;
    deserializer.end().map_err(|error| ConfigError::Malformed {
        file: file.to_owned(),
        path: ".".into(),
        message: error.to_string(),
    })?;
    settings.check().map_err(|violation| ConfigError::Invalid {
        file: file.to_owned(),
        path: violation.path,
        expected: violation.expected,
    })?;
    Ok(settings)
}

/// Adds the closest known key to a parser's message about an unknown one.
fn with_suggestion(error: &str) -> String {
    let (text, place) = match error.split_once(" at line ") {
        Some((text, place)) => (text, format!(" at line {place}")),
        None => (error, String::new()),
    };
    let mut names = text.split('`').skip(1).step_by(2);
    let unknown = names.next().unwrap_or_default();
    let known = names.map(|name| (strsim::damerau_levenshtein(unknown, name), name));
    let nearest = known.min();
    match nearest {
        Some((distance, name))
            if text.starts_with("unknown ") && is_close_match(distance, unknown) =>
        {
            format!("{text}; did you mean `{name}`?{place}")
        }
        _ => error.to_owned(),
    }
}

fn is_close_match(distance: usize, unknown: &str) -> bool {
    distance as f64 <= MAX_SUGGESTION_DISTANCE_RATIO * unknown.chars().count() as f64
}
