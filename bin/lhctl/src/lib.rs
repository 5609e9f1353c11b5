//! Operator tool: validates, compares and applies configurations, drains failure domains,
//! manages rollouts, team keys and quarantines, and shows where traffic is sent and why.

mod apply;
mod cli;
mod contradictions;
mod drain;
mod error;
mod explain;
mod platform;
mod quarantine;
mod refusals;
mod revoke;
mod rollout;
mod status;
mod team;
mod trace;

use clap::Parser;

pub use error::{Error, Result};

/// Parses the command line and runs the command.
///
/// # Errors
/// If the command fails or is refused, or if its outcome is unknown.
pub fn run() -> Result<()> {
    let arguments = cli::Arguments::parse();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(dispatch(arguments))
}

async fn dispatch(arguments: cli::Arguments) -> Result<()> {
    let json = arguments.json;
    match arguments.command {
        cli::Command::Check { folder } => apply::check(&folder, json),
        cli::Command::Diff { folder, platform } => apply::diff(&folder, &platform, json).await,
        cli::Command::Apply(change) => apply::apply(&change, json).await,
        cli::Command::Drain(target) => {
            drain::change(&target, drain::DrainAction::Drain, json).await
        }
        cli::Command::Undrain(target) => {
            drain::change(&target, drain::DrainAction::Undrain, json).await
        }
        cli::Command::Quarantines { platform } => quarantine::list(platform.platform, json).await,
        cli::Command::Lift { print, platform } => {
            quarantine::lift(platform.platform, &print, json).await
        }
        cli::Command::Rollout { command } => rollout::run(&command, json).await,
        cli::Command::Team { command } => run_team(&command, json).await,
        cli::Command::Status { service, instances } => {
            status::show(&instances, service.as_deref(), json).await
        }
        cli::Command::Explain { service, lookup } => explain::show(&service, lookup, json).await,
        cli::Command::ExplainRequest { id, logs } => trace::explain(&id, &logs, json),
        cli::Command::Settings => {
            print!("{}", conf::schema::markdown());
            Ok(())
        }
        cli::Command::Completions { shell } => {
            cli::completions(shell);
            Ok(())
        }
        cli::Command::Manual => cli::manual(),
    }
}

async fn run_team(command: &cli::TeamCommand, json: bool) -> Result<()> {
    match command {
        cli::TeamCommand::List { folder } => team::list(folder, json),
        cli::TeamCommand::Show { folder, team } => team::show(folder, team, json),
        cli::TeamCommand::Rotate { folder, team } => team::rotate(folder, team, json),
        cli::TeamCommand::Revoke(arguments) => team::revoke(arguments, json).await,
    }
}
