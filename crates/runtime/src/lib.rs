//! Parts that every process shares: runtime, stop signal, logs, metrics and operators' listener.
//!
//! - [`clock`]: clocks that keep running while the host is suspended.
//! - [`executor`]: the single-threaded runtime.
//! - [`stop`]: graceful and immediate stops, requested by signals or by another thread.
//! - [`listen`]: exclusive binding of the addresses that a process listens on.
//! - [`logs`]: JSON lines on standard error or standard output, filtered by level and target.
//! - [`program`]: the identity, log filter and metrics of the program on a thread.
//! - [`operators`]: the operators' HTTP listener.
//! - [`process`]: a `main` that reads settings and runs a program until it stops.
//!
//! A program's `run` function starts with these lines:
//!
//! ```text
//! let program = Program::new("entry", &settings.name, &settings.log)?;
//! let listener = operators::Listener::bind(settings.operators_listen)?;
//! let operators_gate = listener.gate();
//! monoio::spawn(listener.serve(program, inspect, settings.limits.clone(), stop.clone()));
//! ```
//!
//! and drains `operators_gate` before it returns. Its `main` is [`process::Process::main`].

pub mod clock;
pub mod executor;
pub mod listen;
pub mod logs;
pub mod operators;
pub mod process;
pub mod program;
mod recorder;
pub mod stop;
