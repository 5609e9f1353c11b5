//! The command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Args, CommandFactory, Parser, Subcommand};
use clap_complete::Shell;

use crate::error::Result;

/// Operator tool for laurelhill.
///
/// Exit codes: 0 success, 1 refused or not completed, 2 invalid usage or settings, 3 outcome
/// unknown; the error message then says what to run next.
#[derive(Debug, Parser)]
#[command(version, about)]
pub(crate) struct Arguments {
    /// Print JSON.
    #[arg(long, global = true)]
    pub(crate) json: bool,
    #[command(subcommand)]
    pub(crate) command: Command,
}

#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Validate the base and its overlays without writing anything.
    Check {
        /// Folder with the base and its overlays.
        folder: PathBuf,
    },
    /// Show what applying a folder would change.
    Diff {
        /// Folder with the base and its overlays.
        folder: PathBuf,
        #[command(flatten)]
        platform: PlatformArguments,
    },
    /// Publish a folder's base and overlays as the next version.
    Apply(ApplyArguments),
    /// Stop sending new requests to the backend servers of a failure domain or region.
    Drain(DrainArguments),
    /// End the drain of a failure domain or region.
    Undrain(DrainArguments),
    /// List quarantined requests, which are refused because servers crashed while handling them.
    Quarantines {
        #[command(flatten)]
        platform: PlatformArguments,
    },
    /// End the quarantine of a request.
    Lift {
        /// The request's fingerprint as shown in the log, or a unique prefix of it.
        print: String,
        #[command(flatten)]
        platform: PlatformArguments,
    },
    /// Roll out another version of a service.
    Rollout {
        #[command(subcommand)]
        command: RolloutCommand,
    },
    /// Show teams and manage their keys.
    Team {
        #[command(subcommand)]
        command: TeamCommand,
    },
    /// Show the state of instances, including the version in force. With a service, show whose
    /// requests are refused, why, since when and until when, and which instances are behind.
    Status {
        /// The service.
        #[arg(long, value_name = "NAME")]
        service: Option<String>,
        #[command(flatten)]
        instances: InstanceArguments,
    },
    /// Show where a service's traffic is sent, with the state of its backend servers.
    Explain {
        /// The service.
        service: String,
        /// Look-up address of an entry.
        #[arg(long, value_name = "ADDRESS")]
        lookup: SocketAddr,
    },
    /// Explain what happened to a request, from the entries' logs.
    ExplainRequest {
        /// The request's ID.
        id: String,
        /// Log files of entries; standard input if none are given.
        logs: Vec<PathBuf>,
    },
    /// Print the settings reference in Markdown.
    Settings,
    /// Print a completion script for a shell.
    Completions {
        /// The shell.
        shell: Shell,
    },
    /// Print the manual page.
    Manual,
}

#[derive(Debug, Subcommand)]
pub(crate) enum RolloutCommand {
    /// Shift a service's traffic gradually to the backend servers of another version, which run
    /// alongside those of the current one.
    Start {
        /// The service.
        service: String,
        /// The target version.
        #[arg(long = "to", value_name = "VERSION")]
        version: String,
        /// Time within which all traffic is shifted, such as 90s.
        #[arg(long, value_name = "TIME")]
        within: String,
        #[command(flatten)]
        platform: PlatformArguments,
    },
    /// Show the progress of rollouts.
    Status {
        /// The service; all services if omitted.
        service: Option<String>,
        #[command(flatten)]
        platform: PlatformArguments,
    },
    /// Abort a rollout that is still running and return to the previous version.
    Abort {
        /// The service.
        service: String,
        #[command(flatten)]
        platform: PlatformArguments,
    },
}

#[derive(Debug, Subcommand)]
pub(crate) enum TeamCommand {
    /// List the teams of a folder.
    List {
        /// Folder with the base and its overlays.
        folder: PathBuf,
    },
    /// Show a team.
    Show {
        /// Folder with the base and its overlays.
        folder: PathBuf,
        /// The team.
        team: String,
    },
    /// Generate an additional key for a team; the key is shown only once, and its digest is
    /// written to the folder.
    Rotate {
        /// Folder with the base and its overlays.
        folder: PathBuf,
        /// The team.
        team: String,
    },
    /// Revoke a key: remove it from the folder, apply the folder, and report which instances
    /// have the change in force and until when the others may accept the key.
    Revoke(RevokeArguments),
}

#[derive(Debug, Clone, Args)]
pub(crate) struct RevokeArguments {
    /// The team.
    pub(crate) team: String,
    /// Prefix of the key's digest, as listed by `team show`.
    pub(crate) key: String,
    #[command(flatten)]
    pub(crate) change: ApplyArguments,
}

#[derive(Debug, Clone, Args)]
pub(crate) struct PlatformArguments {
    /// Address of the platform's store.
    #[arg(long, env = "LAURELHILL_PLATFORM", value_name = "ADDRESS")]
    pub(crate) platform: SocketAddr,
}

#[derive(Debug, Clone, Args)]
pub(crate) struct InstanceArguments {
    /// Look-up addresses of entries.
    #[arg(long, value_name = "ADDRESS", value_delimiter = ',')]
    pub(crate) instances: Vec<SocketAddr>,
}

#[derive(Debug, Clone, Args)]
pub(crate) struct WaitArguments {
    /// Wait until the version is in force on all --instances.
    #[arg(long, requires = "instances")]
    pub(crate) wait: bool,
    /// Longest wait in seconds.
    #[arg(long, default_value_t = 14)]
    pub(crate) seconds: u64,
    #[command(flatten)]
    pub(crate) instances: InstanceArguments,
}

#[derive(Debug, Clone, Args)]
pub(crate) struct ApplyArguments {
    /// Folder with the base and its overlays.
    pub(crate) folder: PathBuf,
    #[command(flatten)]
    pub(crate) platform: PlatformArguments,
    /// The version that the edited files are based on; defaults to the current version.
    #[arg(long)]
    pub(crate) edited: Option<u64>,
    /// The author of the change.
    #[arg(long, env = "USER", default_value = "operator")]
    pub(crate) author: String,
    #[command(flatten)]
    pub(crate) wait: WaitArguments,
}

#[derive(Debug, Clone, Args)]
pub(crate) struct DrainArguments {
    /// What to drain: domain or region.
    pub(crate) kind: String,
    /// Name of the failure domain or region.
    pub(crate) name: String,
    #[command(flatten)]
    pub(crate) platform: PlatformArguments,
}

pub(crate) fn completions(shell: Shell) {
    let mut command = Arguments::command();
    clap_complete::generate(shell, &mut command, "lhctl", &mut std::io::stdout());
}

pub(crate) fn manual() -> Result<()> {
    clap_mangen::Man::new(Arguments::command()).render(&mut std::io::stdout())?;
    Ok(())
}
