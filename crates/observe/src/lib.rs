//! Observability of the daemons: structured logs, metrics and the admin HTTP server, and the
//! analysis of logs behind `weirhinge explain`.

mod admin;
mod line_writer;
mod logging;
mod merged_logs;
mod metrics;
mod route_load;
mod timeline;

pub use admin::{AdminServer, BoundAddresses, Health, HealthSource, start_admin};
pub use line_writer::{LineHandle, LineWriter};
pub use logging::{LogFormat, LogOptions, LogOutput, Logging};
pub use merged_logs::{LogLine, MergedLine, MergedLogs, Subject};
pub use metrics::{Counter, Gauge, Histogram, Metrics, ReasonCounters};
pub use route_load::{ClientLoad, OpeningCounts, RouteClients, ZoneLoad};
pub use timeline::{
    IdleDaemon, Interval, StartWave, StepDurations, Timeline, TimelineOptions, TimelineReport,
};
