use std::path::PathBuf;

use gumdrop::Options as _;

/// Command line of `dandelionseamd`.
#[allow(clippy::struct_excessive_bools)] // Each flag is a separate command line option.
#[derive(Debug, Default, gumdrop::Options)]
pub struct Options {
    /// Settings file.
    #[options(no_short, meta = "FILE", help = "settings file")]
    pub settings: Option<PathBuf>,
    /// Check the settings, report every error and exit.
    #[options(no_short, help = "check the settings and exit")]
    pub check: bool,
    /// Print the effective settings, defaults included, and exit.
    #[options(no_short, help = "print the settings, defaults included, and exit")]
    pub print_settings: bool,
    /// Print the version and exit.
    #[options(no_short, help = "print the version and exit")]
    pub version: bool,
    /// Print the usage and exit.
    #[options(no_short, help = "print this text and exit")]
    pub help: bool,
}

impl Options {
    /// Parses the arguments that follow the program name.
    ///
    /// # Errors
    ///
    /// Returns an error when an argument is unknown or its value is missing.
    pub fn parse(arguments: &[String]) -> Result<Self, gumdrop::Error> {
        Self::parse_args_default(arguments)
    }

    /// Usage text for `--help`.
    #[must_use]
    pub fn usage() -> String {
        format!(
            "Usage: dandelionseamd --settings FILE\n\n{}",
            Self::self_usage_text()
        )
    }

    fn self_usage_text() -> &'static str {
        <Self as gumdrop::Options>::usage()
    }
}
