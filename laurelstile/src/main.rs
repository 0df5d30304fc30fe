//! The operators' command-line tool.
#![deny(warnings)]
#![forbid(unsafe_code)]

mod commands;
mod flags;
mod output;

use std::process::ExitCode;

use laurelstile::error::OperatorError;

fn main() -> ExitCode {
    let flags = flags::Laurelstile::from_env_or_exit();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let outcome = match runtime {
        Ok(runtime) => runtime.block_on(commands::run(flags)),
        Err(error) => Err(OperatorError::Runtime(error)),
    };
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            let code = error.exit_code();
            eprintln!("{:?}", miette::Report::new(error));
            ExitCode::from(code)
        }
    }
}
