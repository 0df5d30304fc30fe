//! The laurelstile daemon.
#![deny(warnings)]
#![forbid(unsafe_code)]

use std::path::PathBuf;

fn main() -> miette::Result<()> {
    let flags = xflags::parse_or_exit! {
        /// File with the settings of this process, in JSON.
        required --settings settings: PathBuf
    };
    laurelstiled::process::run(&flags.settings)?;
    Ok(())
}
