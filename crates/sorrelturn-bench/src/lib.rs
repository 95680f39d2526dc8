#![doc = include_str!("../README.md")]

mod backend;
mod baseline;
mod capacity;
mod client;
mod commands;
mod decisions;
mod examples;
mod exchanges;
mod exec;
pub mod experiment;
mod fleet;
mod idle_fleet;
mod load;
mod other_writer;
mod plan;
mod processes;
mod relay;
mod reserved_ports;
mod retry_simulation;
mod routed_backend;
mod routed_fleet;
mod scenario;
pub mod soak;
mod summary;
mod workload;

pub use backend::{FakeBackend, serve_backend};
pub use baseline::{Baseline, BaselineKind};
pub use client::{Answer, Client, Expected};
pub use commands::{COMMANDS, CommandEntry, root, soak as soak_command};
pub use examples::example_bundle;
pub use exchanges::{ExchangeConfig, ExchangeCounts, exchange_many};
pub use exec::run_on;
pub use fleet::{FleetPlan, InstancePlan, LocalFleet, operator_key, publish_bundle};
pub use load::{Load, LoadPhase, Record, RetryConfig, TokenMode};
pub use plan::{Fault, KindPlan, Plan, PlannedCall, plan_for};
pub use processes::{DaemonProcess, Process, ProcessFleet, binary, cpu_time, memory};
pub use relay::Relay;
pub use reserved_ports::ReservedPorts;
pub use retry_simulation::{
    OVERLOAD_CASES, OverloadCase, PRODUCT_POLICY, RETRYING_KINDS, RefusedRequest, RetryAfterRule,
    RetryPolicy, RetryStats, RetryingKind, simulate_retries,
};
pub use routed_backend::{
    BODY, CALL_PATH, Cancelled, EndlessPart, Framing, IDLE_TIMEOUT_S, ReceivedRequest,
    RoutedBackend, SIGNATURE, Script,
};
pub use routed_fleet::{Paths, RoutedFleet, RoutedInstance, until};
pub use scenario::{PhaseDurations, SCENARIOS, Scenario, System, run_scenario};
pub use summary::{Goodput, Summary};
pub use workload::{MixPart, Workload};
