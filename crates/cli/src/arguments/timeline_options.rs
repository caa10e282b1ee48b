//! Options of the timeline command.

use {
    bpaf::Bpaf,
    humantime::{Duration, Timestamp},
    std::{path::PathBuf, str::FromStr},
};

/// Output format of a timeline.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TimelineFormat {
    /// Text with one line for each event.
    Text,
    /// JSON list of events.
    Json,
    /// JSON in the Trace Event Format, for a browser's trace viewer.
    Trace,
}

impl FromStr for TimelineFormat {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            "trace" => Ok(Self::Trace),
            _ => Err("the format must be text, json or trace".to_owned()),
        }
    }
}

/// Events to show and their format.
#[derive(Bpaf, Clone, Debug)]
pub struct TimelineOptions {
    /// Only events of this contract.
    #[bpaf(long, argument("CONTRACT"), optional)]
    pub contract: Option<String>,
    /// Only events of the job with this key.
    #[bpaf(long, argument("KEY"), optional)]
    pub job: Option<String>,
    /// Only events at this endpoint.
    #[bpaf(long, argument("ENDPOINT"), optional)]
    pub endpoint: Option<String>,
    /// Only events since this time, such as 2026-01-31T12:00:00Z.
    #[bpaf(long, argument("MOMENT"), optional)]
    pub since: Option<Timestamp>,
    /// Only events before this time.
    #[bpaf(long, argument("MOMENT"), optional)]
    pub until: Option<Timestamp>,
    /// Only events of this last period, such as 30s.
    #[bpaf(long, argument("TIME"), optional)]
    pub last: Option<Duration>,
    /// Output format: text, json or trace.
    #[bpaf(long, argument("FORMAT"), optional)]
    pub format: Option<TimelineFormat>,
    /// File to write to instead of standard output.
    #[bpaf(long, argument("FILE"), optional, complete_shell(bpaf::ShellComp::File { mask: None }))]
    pub out: Option<PathBuf>,
}
