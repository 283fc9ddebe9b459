//! What every daemon shows of itself: structured logs, metrics, and an HTTP
//! endpoint for both health and metrics.

mod admin;
mod line_writer;
mod logging;
mod metrics;
mod route_load;
mod story;
mod timeline;

pub use admin::{AdminServer, BoundAddresses, Health, HealthSource, start_admin};
pub use line_writer::{LineWriter, Lines};
pub use logging::{LogFormat, LogOptions, LogOutput, Logging};
pub use metrics::{Counter, Gauge, Histogram, Metrics, ReasonCounters};
pub use route_load::{CallerLoad, OpeningCounts, RouteCallers, ZoneLoad};
pub use story::{LogLine, Story, StoryLine, Subject};
pub use timeline::{
    IdleDaemon, Interval, StartWave, StepLength, Timeline, TimelineOptions, TimelineReport,
};
