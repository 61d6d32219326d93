use gumdrop::Options;
use types::{Version, id};

/// Checks and publishes the configuration of a service mesh, and reports on its nodes.
#[derive(Debug, Options)]
pub struct Arguments {
    #[options(help = "print help")]
    help: bool,
    #[options(command)]
    pub command: Option<Command>,
}

#[derive(Debug, Options)]
pub enum Command {
    #[options(help = "check operator files")]
    Check(Check),
    #[options(help = "publish operator files as a new version")]
    Publish(Publish),
    #[options(help = "show which versions the nodes hold")]
    Status(Status),
    #[options(help = "show what changed between two versions")]
    Diff(Diff),
    #[options(help = "list the newest versions")]
    History(History),
    #[options(help = "collect an owner's account from all nodes")]
    Account(Account),
}

#[derive(Debug, Options)]
pub struct Check {
    #[options(help = "print help")]
    pub help: bool,
    #[options(help = "print JSON")]
    pub json: bool,
    #[options(
        no_short,
        meta = "URL",
        help = "check against the published version, too (default: DANDELIONSEAM_STORE)"
    )]
    pub store: Vec<String>,
    #[options(
        free,
        required,
        help = "directories with operator files, or single files"
    )]
    pub paths: Vec<String>,
}

#[expect(
    clippy::struct_excessive_bools,
    reason = "each flag of the command line is one field"
)]
#[derive(Debug, Options)]
pub struct Publish {
    #[options(help = "print help")]
    pub help: bool,
    #[options(help = "print JSON")]
    pub json: bool,
    #[options(
        no_short,
        meta = "URL",
        help = "address of the store (default: DANDELIONSEAM_STORE)"
    )]
    pub store: Vec<String>,
    #[options(no_short, meta = "SERVICE", help = "remove a service")]
    pub remove: Vec<id::Service>,
    #[options(
        no_short,
        meta = "VERSION",
        help = "version that the files were made from (default: the newest)"
    )]
    pub base: Option<Version>,
    #[options(no_short, help = "do everything but the publishing")]
    pub dry_run: bool,
    #[options(no_short, help = "wait until the version is in force everywhere")]
    pub wait: bool,
    #[options(
        no_short,
        meta = "URL",
        help = "admin port of a node, for --wait (default: DANDELIONSEAM_NODE)"
    )]
    pub node: Vec<String>,
    #[options(
        no_short,
        meta = "SECONDS",
        default = "30",
        help = "time limit of the publishing and of the wait"
    )]
    pub limit: u64,
    #[options(
        no_short,
        meta = "NAME",
        help = "name that the history shows (default: USER)"
    )]
    pub publisher: Option<String>,
    #[options(free, help = "directories with operator files, or single files")]
    pub paths: Vec<String>,
}

#[derive(Debug, Options)]
pub struct Status {
    #[options(help = "print help")]
    pub help: bool,
    #[options(help = "print JSON")]
    pub json: bool,
    #[options(
        no_short,
        meta = "URL",
        help = "admin port of a node (default: DANDELIONSEAM_NODE)"
    )]
    pub node: Vec<String>,
}

#[derive(Debug, Options)]
pub struct Diff {
    #[options(help = "print help")]
    pub help: bool,
    #[options(help = "print JSON")]
    pub json: bool,
    #[options(
        no_short,
        meta = "URL",
        help = "address of the store (default: DANDELIONSEAM_STORE)"
    )]
    pub store: Vec<String>,
    #[options(free, required, help = "two versions")]
    pub versions: Vec<Version>,
}

#[derive(Debug, Options)]
pub struct History {
    #[options(help = "print help")]
    pub help: bool,
    #[options(help = "print JSON")]
    pub json: bool,
    #[options(
        no_short,
        meta = "URL",
        help = "address of the store (default: DANDELIONSEAM_STORE)"
    )]
    pub store: Vec<String>,
    #[options(no_short, meta = "COUNT", default = "20", help = "number of versions")]
    pub limit: usize,
}

#[derive(Debug, Options)]
pub struct Account {
    #[options(help = "print help")]
    pub help: bool,
    #[options(help = "print JSON")]
    pub json: bool,
    #[options(
        no_short,
        meta = "URL",
        help = "admin port of a node (default: DANDELIONSEAM_NODE)"
    )]
    pub node: Vec<String>,
    #[options(no_short, required, meta = "NAME", help = "owner of the account")]
    pub owner: Option<id::Owner>,
    #[options(
        no_short,
        meta = "COUNT",
        default = "50",
        help = "number of failures to print as text"
    )]
    pub limit: usize,
}

impl Arguments {
    /// Help for the command, or for the tool without one.
    pub fn usage_text(&self) -> String {
        match &self.command {
            Some(command) => format!(
                "Usage: dandelionseam {} [OPTIONS]\n\n{}",
                command.command_name().unwrap_or_default(),
                command.self_usage()
            ),
            None => format!(
                "Usage: dandelionseam COMMAND [OPTIONS]\n\n{}\n\nCommands:\n{}",
                Self::usage(),
                Command::usage()
            ),
        }
    }
}

impl Command {
    /// Whether the output is JSON.
    pub const fn json(&self) -> bool {
        match self {
            Self::Check(options) => options.json,
            Self::Publish(options) => options.json,
            Self::Status(options) => options.json,
            Self::Diff(options) => options.json,
            Self::History(options) => options.json,
            Self::Account(options) => options.json,
        }
    }
}
