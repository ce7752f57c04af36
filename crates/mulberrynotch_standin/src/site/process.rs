//! Processes that end with their owner.

use std::{
    fs::File,
    io::{
        self,
        BufRead,
        BufReader, //
    },
    path::{
        Path,
        PathBuf, //
    },
    process::{
        Child,
        Command,
        ExitStatus,
        Stdio, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use tokio::time;

/// Time between two looks at a process.
const STEP: Duration = Duration::from_millis(20);

/// A program and the arguments in front of those of each use.
#[derive(Clone, Debug)]
pub struct Program {
    /// Path of the program.
    pub path: PathBuf,
    /// Arguments that come first.
    pub arguments: Vec<String>,
}

/// A process, killed when it is dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
}

impl Program {
    /// Starts the program, with its output in the file `log`. Its standard input ends with this
    /// process.
    ///
    /// # Errors
    ///
    /// Fails when it cannot be started or the file cannot be created.
    pub fn start(&self, arguments: &[&str], log: &Path) -> io::Result<Process> {
        let log = File::create(log)?;
        self.spawn(arguments, log.try_clone()?.into(), log.into())
    }

    fn spawn(&self, arguments: &[&str], out: Stdio, errors: Stdio) -> io::Result<Process> {
        let child = Command::new(&self.path)
            .args(&self.arguments)
            .args(arguments)
            .stdin(Stdio::piped())
            .stdout(out)
            .stderr(errors)
            .spawn()?;
        Ok(Process { child })
    }

    /// Starts the program and waits until it prints `line`.
    ///
    /// # Errors
    ///
    /// Fails when it cannot be started, or ends before.
    pub async fn start_until(&self, arguments: &[&str], line: &str) -> io::Result<Process> {
        let mut process = self.spawn(arguments, Stdio::piped(), Stdio::inherit())?;
        let stdout = process.child.stdout.take();
        let expected = line.to_owned();
        let seen = tokio::task::spawn_blocking(move || {
            let lines = stdout.into_iter().flat_map(|it| BufReader::new(it).lines());
            lines.map_while(Result::ok).any(|it| it == expected)
        });
        match seen.await {
            Ok(true) => Ok(process),
            _ => Err(io::Error::other(format!("{arguments:?} ended too early"))),
        }
    }
}

impl Process {
    /// Number of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal, such as `TERM`, `STOP` or `CONT`.
    ///
    /// # Errors
    ///
    /// Fails when the signal cannot be sent.
    pub fn signal(&self, name: &str) -> io::Result<()> {
        let status = Command::new("kill")
            .args([format!("-{name}"), self.id().to_string()])
            .status()?;
        if status.success() {
            Ok(())
        } else {
            Err(io::Error::other(format!("kill -{name}: {status}")))
        }
    }

    /// Ends the process at once.
    ///
    /// # Errors
    ///
    /// Fails when it cannot be ended.
    pub fn kill(&mut self) -> io::Result<()> {
        self.child.kill()?;
        self.child.wait().map(drop)
    }

    /// Exit status, if the process has ended.
    ///
    /// # Errors
    ///
    /// Fails when the system does not tell.
    pub fn exit_status(&mut self) -> io::Result<Option<ExitStatus>> {
        self.child.try_wait()
    }

    /// Waits for the end of the process.
    ///
    /// # Errors
    ///
    /// Fails when it has not ended within `limit`.
    pub async fn wait(&mut self, limit: Duration) -> io::Result<ExitStatus> {
        let start = Instant::now();
        loop {
            if let Some(status) = self.exit_status()? {
                return Ok(status);
            }
            if start.elapsed() > limit {
                return Err(io::ErrorKind::TimedOut.into());
            }
            time::sleep(STEP).await;
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.kill();
    }
}
