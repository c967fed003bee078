//! Settings files: reading, checking, and errors that name the file and the path in it.

use std::{
    fs,
    path::{Path, PathBuf},
};

use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu};

/// Largest edit distance of a key that is suggested in place of an unknown one, as a part of its length.
const SUGGESTED_DISTANCE: f64 = 0.45;

pub mod daemon;
pub mod fleet;
pub mod site;
pub mod tree;

/// An error in a settings file, in one line.
#[derive(Debug, Snafu)]
pub enum ConfigError {
    /// The file can't be read.
    #[snafu(display("{}: {source}", file.display()))]
    Unreadable {
        /// The file.
        file: PathBuf,
        /// The system's error.
        source: std::io::Error,
    },
    /// The file's text does not fit the schema.
    #[snafu(display("{}: at {path}: {expected}", file.display()))]
    Unfit {
        /// The file.
        file: PathBuf,
        /// Path in the tree.
        path: String,
        /// What was expected.
        expected: String,
    },
    /// A value contradicts another one or is out of its range.
    #[snafu(display("{}: at {path}: {expected}", file.display()))]
    Invalid {
        /// The file.
        file: PathBuf,
        /// Path in the tree.
        path: String,
        /// What was expected.
        expected: String,
    },
}

/// A fault that a check found in parsed settings.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fault {
    /// Path in the tree.
    pub path: String,
    /// What was expected.
    pub expected: String,
}

impl Fault {
    /// Returns a fault at a path.
    pub fn new(path: impl Into<String>, expected: impl Into<String>) -> Self {
        Self {
            path: path.into(),
            expected: expected.into(),
        }
    }
}

/// Settings that can be checked as a whole after parsing.
pub trait Check {
    /// Returns the first fault.
    ///
    /// # Errors
    ///
    /// Fails with the path and the expectation that was not met.
    fn check(&self) -> Result<(), Fault>;
}

/// Reads and checks a settings file.
///
/// # Errors
///
/// Fails with one line that names the file, the path in the tree and what was expected.
pub fn load<T: Check + DeserializeOwned>(file: &Path) -> Result<T, ConfigError> {
    let text = fs::read_to_string(file).context(UnreadableSnafu { file })?;
    parse(file, &text)
}

/// Parses and checks settings; `file` is named in errors.
///
/// # Errors
///
/// Fails like [`load`].
pub fn parse<T: Check + DeserializeOwned>(file: &Path, text: &str) -> Result<T, ConfigError> {
    let mut deserializer = serde_json::Deserializer::from_str(text);
    let parsed: Result<T, _> = serde_path_to_error::deserialize(&mut deserializer);
    let settings = parsed.map_err(|error| ConfigError::Unfit {
        file: file.to_owned(),
        path: error.path().to_string(),
        expected: with_suggestion(&error.inner().to_string()),
    })?;
    deserializer.end().map_err(|error| ConfigError::Unfit {
        file: file.to_owned(),
        path: ".".into(),
        expected: error.to_string(),
    })?;
    settings.check().map_err(|fault| ConfigError::Invalid {
        file: file.to_owned(),
        path: fault.path,
        expected: fault.expected,
    })?;
    Ok(settings)
}

/// Adds the nearest known key to the parser's words about an unknown one.
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
        Some((distance, name)) if text.starts_with("unknown ") && is_near(distance, unknown) => {
            format!("{text}; did you mean `{name}`?{place}")
        }
        _ => error.to_owned(),
    }
}

fn is_near(distance: usize, unknown: &str) -> bool {
    distance as f64 <= SUGGESTED_DISTANCE * unknown.chars().count() as f64
}
