//! The demonstration runs the whole path over real processes.

use std::process::Command;

#[test]
fn the_demonstration_succeeds() {
    let output = Command::new(env!("CARGO_BIN_EXE_laurelstile-lab"))
        .arg("demo")
        .output()
        .expect("the lab can be started");
    let text = String::from_utf8_lossy(&output.stdout);
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{text}\n{errors}");
    assert!(text.contains("every process has ended"), "{text}");
}
