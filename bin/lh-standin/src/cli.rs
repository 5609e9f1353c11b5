//! Command-line interface.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Args, Parser, Subcommand};

/// laurelhill: test doubles for tests and the demo.
#[derive(Debug, Parser)]
#[command(version, about)]
pub(crate) struct Arguments {
    /// Enable debug logging.
    #[arg(short, long, global = true)]
    pub(crate) verbose: bool,
    #[command(subcommand)]
    pub(crate) command: Command,
}

#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Run the platform's store: rows and objects.
    Platform {
        /// Listen address.
        #[arg(long, value_name = "ADDRESS")]
        listen: SocketAddr,
    },
    /// Run all backend servers of a deployment in one process.
    Servers {
        /// Folder with the base configuration and the overlays.
        #[arg(long, value_name = "FOLDER")]
        deploy: PathBuf,
        /// Listen address of the control interface.
        #[arg(long, value_name = "ADDRESS")]
        control: SocketAddr,
        /// Address of the platform's store, at which the servers register.
        #[arg(long, value_name = "ADDRESS")]
        platform: SocketAddr,
    },
    /// Generate load from callers and check the guarantees by their ledger.
    Callers(LoadArguments),
    /// Send a request and print the response.
    Send {
        /// GET, PUT, POST or DELETE.
        method: String,
        /// http://IP:port/path
        url: String,
        /// JSON body.
        #[arg(default_value = "")]
        body: String,
        /// API key of the team on whose behalf the request is sent.
        #[arg(long)]
        key: Option<String>,
        /// Expected status code; by default any success status.
        #[arg(long)]
        expect: Option<u16>,
    },
    /// Wait until a backend server is idle, and print how long that took.
    Drained {
        /// Address of the server.
        server: SocketAddr,
        /// Address of the control interface of the backend servers.
        #[arg(long, value_name = "ADDRESS")]
        control: SocketAddr,
    },
    /// Wait until every URL responds with a success status.
    Wait {
        /// http://IP:port/path
        #[arg(required = true)]
        urls: Vec<String>,
        /// Timeout in seconds.
        #[arg(long, default_value_t = 30)]
        seconds: u64,
    },
}

#[derive(Debug, Args)]
pub(crate) struct LoadArguments {
    /// Folder with the base configuration and the overlays.
    #[arg(long, value_name = "FOLDER")]
    pub(crate) deploy: PathBuf,
    /// Lookup addresses of the entries.
    #[arg(long, value_name = "ADDRESS", value_delimiter = ',', required = true)]
    pub(crate) lookups: Vec<SocketAddr>,
    /// Address of the control interface of the backend servers.
    #[arg(long, value_name = "ADDRESS")]
    pub(crate) control: SocketAddr,
    /// API keys of the callers' teams, assigned in turn; by default callers send no key.
    #[arg(long, value_name = "KEY", value_delimiter = ',')]
    pub(crate) keys: Vec<String>,
    /// Name of the phase, printed in its row.
    #[arg(long, default_value = "load")]
    pub(crate) phase: String,
    /// Duration in seconds.
    #[arg(long, default_value_t = 5.0)]
    pub(crate) seconds: f64,
    /// Load as a share of the total capacity.
    #[arg(long, default_value_t = 0.4)]
    pub(crate) load: f64,
    /// Seed of the arrival times.
    #[arg(long, default_value_t = 1)]
    pub(crate) seed: u64,
    /// Print the table header first.
    #[arg(long)]
    pub(crate) header: bool,
    /// Write the ledger to this file, as JSON lines.
    #[arg(long, value_name = "FILE")]
    pub(crate) ledger: Option<PathBuf>,
}
