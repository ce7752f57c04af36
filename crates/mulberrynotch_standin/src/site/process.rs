//! Child processes that are killed with their owner.

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

/// Interval of polling a process for its end.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A program with leading arguments.
#[derive(Clone, Debug)]
pub struct Program {
    /// Path of the program.
    pub path: PathBuf,
    /// Arguments in front of those of each start.
    pub arguments: Vec<String>,
}

/// A child process, which is killed on drop.
#[derive(Debug)]
pub struct Process {
    child: Child,
}

impl Program {
    /// Starts the program with its output redirected to the file `log`. Its standard input ends
    /// with this process.
    ///
    /// # Errors
    ///
    /// Fails when the program cannot be started or the file cannot be created.
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
    /// Fails when the program cannot be started, or ends without having printed the line.
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
            _ => Err(io::Error::other(format!(
                "{arguments:?} ended before it printed {line:?}"
            ))),
        }
    }
}

impl Process {
    /// Returns the process id.
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

    /// Kills the process and waits for its end.
    ///
    /// # Errors
    ///
    /// Fails when the process cannot be killed.
    pub fn kill(&mut self) -> io::Result<()> {
        self.child.kill()?;
        self.child.wait().map(drop)
    }

    /// Returns the exit status if the process has ended.
    ///
    /// # Errors
    ///
    /// Fails when the operating system cannot report the status.
    pub fn exit_status(&mut self) -> io::Result<Option<ExitStatus>> {
        self.child.try_wait()
    }

    /// Waits for the end of the process and returns its exit status.
    ///
    /// # Errors
    ///
    /// Fails when the process has not ended within `limit`.
    pub async fn wait(&mut self, limit: Duration) -> io::Result<ExitStatus> {
        let start = Instant::now();
        loop {
            if let Some(status) = self.exit_status()? {
                return Ok(status);
            }
            if start.elapsed() > limit {
                return Err(io::ErrorKind::TimedOut.into());
            }
            time::sleep(POLL_INTERVAL).await;
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Fails when the process has already ended.
        let _ = self.kill();
    }
}
