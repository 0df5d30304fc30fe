//! laurelstile-sim
