//! What every process shares: its runtime, its stop signal, logs, metrics and operators' listener.
//!
//! - [`clock`]: clocks that keep running while the host is suspended.
//! - [`executor`]: the single-threaded runtime.
//! - [`stop`]: graceful and immediate stops, from signals or from another thread.
//! - [`listen`]: addresses that a process listens on, each for itself.
//! - [`logs`]: JSON lines on the standard error stream, filtered by level and target.
//! - [`program`]: the name, log filter and metrics of one program on its thread.
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
