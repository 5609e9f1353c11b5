//! The command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Args, Parser, Subcommand};

/// laurelhill: stand-ins for tests and the demo.
#[derive(Debug, Parser)]
#[command(version, about)]
pub(crate) struct Arguments {
    /// Log more.
    #[arg(short, long, global = true)]
    pub(crate) verbose: bool,
    #[command(subcommand)]
    pub(crate) command: Command,
}

#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// The platform's store: rows and objects.
    Platform {
        /// Where it listens.
        #[arg(long, value_name = "ADDRESS")]
        listen: SocketAddr,
    },
    /// Every backend server of a deployment, in one process.
    Servers {
        /// Folder with the base and the overlays.
        #[arg(long, value_name = "FOLDER")]
        deploy: PathBuf,
        /// Where the servers are controlled and judged.
        #[arg(long, value_name = "ADDRESS")]
        control: SocketAddr,
        /// The platform's store, where the servers register.
        #[arg(long, value_name = "ADDRESS")]
        platform: SocketAddr,
    },
    /// Callers that make a load, keep a ledger and judge it.
    Callers(LoadArguments),
    /// Send one request and print the answer.
    Send {
        /// GET, PUT, POST or DELETE.
        method: String,
        /// http://IP:port/path
        url: String,
        /// The body, JSON.
        #[arg(default_value = "")]
        body: String,
        /// Key of the team in whose name it is sent.
        #[arg(long)]
        key: Option<String>,
        /// The status that is expected; without one, any of success.
        #[arg(long)]
        expect: Option<u16>,
    },
    /// Wait until a backend server runs nothing, and print how long that took.
    Drained {
        /// Its address.
        server: SocketAddr,
        /// Where the backend servers are judged.
        #[arg(long, value_name = "ADDRESS")]
        control: SocketAddr,
    },
    /// Wait until every URL answers with success.
    Wait {
        /// http://IP:port/path
        #[arg(required = true)]
        urls: Vec<String>,
        /// Longest wait in seconds.
        #[arg(long, default_value_t = 30)]
        seconds: u64,
    },
}

#[derive(Debug, Args)]
pub(crate) struct LoadArguments {
    /// Folder with the base and the overlays.
    #[arg(long, value_name = "FOLDER")]
    pub(crate) deploy: PathBuf,
    /// Where to look up.
    #[arg(long, value_name = "ADDRESS", value_delimiter = ',', required = true)]
    pub(crate) lookups: Vec<SocketAddr>,
    /// Where the backend servers are judged.
    #[arg(long, value_name = "ADDRESS")]
    pub(crate) control: SocketAddr,
    /// Keys of the callers' teams, in turn; without one they have none.
    #[arg(long, value_name = "KEY", value_delimiter = ',')]
    pub(crate) keys: Vec<String>,
    /// Name of the phase.
    #[arg(long, default_value = "load")]
    pub(crate) phase: String,
    /// How long, in seconds.
    #[arg(long, default_value_t = 5.0)]
    pub(crate) seconds: f64,
    /// Load as a share of the whole capacity.
    #[arg(long, default_value_t = 0.4)]
    pub(crate) load: f64,
    /// Seed of arrivals.
    #[arg(long, default_value_t = 1)]
    pub(crate) seed: u64,
    /// Print the table's header first.
    #[arg(long)]
    pub(crate) header: bool,
    /// Write the ledger as JSON lines.
    #[arg(long, value_name = "FILE")]
    pub(crate) ledger: Option<PathBuf>,
}
