use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use crate::Error;

/// A started program, killed when dropped.
pub struct Process {
    name: String,
    child: Child,
}

impl Process {
    /// Starts the program `program`, which lies beside this one, and sends its output to `log`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Io`] when the program cannot be started.
    pub fn start(program: &str, arguments: &[String], log: &Path) -> Result<Self, Error> {
        let path = beside(program)?;
        let output =
            File::create(log).map_err(|error| Error::Io(log.display().to_string(), error))?;
        let errors = output
            .try_clone()
            .map_err(|error| Error::Io(log.display().to_string(), error))?;
        let child = Command::new(&path)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(errors)
            .spawn()
            .map_err(|error| Error::Io(path.display().to_string(), error))?;
        Ok(Self {
            name: program.to_owned(),
            child,
        })
    }

    /// Id of the process.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Checks that the process still runs.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Ended`] when it does not.
    pub fn check(&mut self) -> Result<(), Error> {
        match self.child.try_wait() {
            Ok(None) => Ok(()),
            _ => Err(Error::Ended(self.name.clone())),
        }
    }

    /// Kills the process and waits for its end.
    pub fn close(mut self) {
        self.kill();
    }

    fn kill(&mut self) {
        // Both fail only when the process has ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Path of a program in the folder of this one.
fn beside(program: &str) -> Result<PathBuf, Error> {
    let own =
        std::env::current_exe().map_err(|error| Error::Io("own program".to_owned(), error))?;
    Ok(own.with_file_name(program))
}
