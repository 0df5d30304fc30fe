//! Standard output, whose reader may go away: `laurelstile loss LOG | head` is done then.

use std::fmt::Arguments;
use std::io::{ErrorKind, Write};

/// Writes text to standard output. Ends the process quietly if nobody reads it any more,
/// or if it cannot be written for another reason, with an error.
pub fn write(text: Arguments<'_>) {
    let mut output = std::io::stdout().lock();
    if let Err(error) = output.write_fmt(text).and_then(|()| output.flush()) {
        if error.kind() == ErrorKind::BrokenPipe {
            std::process::exit(0);
        }
        eprintln!("cannot write to standard output: {error}");
        std::process::exit(1);
    }
}

/// Writes a line to standard output, as `println!` does, but see [`write`].
macro_rules! say {
    ($($part:tt)*) => {
        $crate::output::write(format_args!("{}\n", format_args!($($part)*)))
    };
}

pub(crate) use say;
