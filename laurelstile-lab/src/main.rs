//! The lab: stand-ins for the platform and back ends, and runs that start
//! whole cells of processes on loopback. Only the lab starts processes.
#![deny(warnings)]
#![forbid(unsafe_code)]

mod caller;
mod cell;
mod demo;
mod flags;
mod hollow;
mod load;
mod measure;
mod net;
mod prove;
mod standin;

use flags::{LaurelstileLab, LaurelstileLabCmd};
use laurelstile_lab::error::LabError;

fn main() -> miette::Result<()> {
    let flags = LaurelstileLab::from_env_or_exit();
    // The daemon builds a runtime of its own.
    if let LaurelstileLabCmd::Daemon(daemon) = &flags.subcommand {
        laurelstiled::process::run(&daemon.settings)?;
        return Ok(());
    }
    let runtime = tokio::runtime::Runtime::new().map_err(LabError::Runtime)?;
    runtime.block_on(run(flags))?;
    Ok(())
}

async fn run(flags: LaurelstileLab) -> Result<(), LabError> {
    match flags.subcommand {
        LaurelstileLabCmd::Daemon(_) => Ok(()),
        LaurelstileLabCmd::Platform(platform) => standin::platform::run(platform.listen).await,
        LaurelstileLabCmd::Backend(backend) => {
            standin::backend::run(backend.listen, &backend.name, backend.history.as_deref()).await
        }
        LaurelstileLabCmd::Hollow(hollow) => hollow::run(&hollow.settings).await,
        LaurelstileLabCmd::Demo(_) => demo::run().await,
        LaurelstileLabCmd::Load(load) => load::run(load).await,
        LaurelstileLabCmd::Prove(prove) => prove::run(prove).await,
    }
}
