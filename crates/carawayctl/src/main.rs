//! `carawayctl`, the command-line client of operators.

mod args;
mod client;
mod config;
mod evacuation;
mod explain;
mod key;
mod load;
mod output;
mod patch;
mod sql;
mod status;
mod workspace;

use std::process::ExitCode;

use args::{Args, Command};
use clap::{CommandFactory, Parser};

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let args = Args::parse();
    let cx = client::Cx::new(&args);
    let result = match args.command {
        Command::Patch(options) => patch::patch(&cx, &options).await,
        Command::Config(command) => config::config(&cx, &command).await,
        Command::Status => status::status(&cx).await,
        Command::Explain(options) => explain::explain(&cx, &options).await,
        Command::Evacuate(options) => evacuation::evacuate(&cx, &options).await,
        Command::Restore(options) => evacuation::restore(&cx, &options).await,
        Command::Workspace(command) => workspace::workspace(&cx, &command).await,
        Command::Key(command) => key::key(&cx, &command).await,
        Command::Sql(options) => sql::sql(&cx, &options).await,
        Command::Load(options) => load::load(&cx, &options).await,
        Command::Completions { shell } => {
            let mut command = Args::command();
            clap_complete::generate(shell, &mut command, "carawayctl", &mut std::io::stdout());
            Ok(())
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => client::report_error(&error),
    }
}
