use std::path::PathBuf;

use gumdrop::Options as _;

/// Command line of `dandelionseamd`.
#[allow(clippy::struct_excessive_bools)] // Each flag is one word of the command line.
#[derive(Debug, Default, gumdrop::Options)]
pub struct Options {
    /// Settings file.
    #[options(no_short, meta = "FILE", help = "settings file")]
    pub settings: Option<PathBuf>,
    /// Read the settings, report every fault and exit.
    #[options(no_short, help = "check the settings and exit")]
    pub check: bool,
    /// Print the settings in force, defaults included, and exit.
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
    /// Reads the arguments that follow the program name.
    ///
    /// # Errors
    ///
    /// Returns the reason when an argument is not known or lacks its value.
    pub fn read(arguments: &[String]) -> Result<Self, gumdrop::Error> {
        Self::parse_args_default(arguments)
    }

    /// Text for `--help`.
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
