//! Deployments, policies and scenarios of the simulation, and the outcome of a request.

use chestnutnotch_core::limit::AdmissionRules;
use chestnutnotch_core::upstream::TableConfig;

use crate::work;
use crate::work::Load;

/// Size of one deployment.
#[derive(Clone, Copy)]
pub struct Site {
    pub name: &'static str,
    /// Number of data centres.
    pub centres: usize,
    /// Number of routers.
    pub routers: usize,
    /// Number of model engines.
    pub engines: usize,
    /// Number of upstreams of the desk or booking service.
    pub desks: usize,
    /// One-way network latency between two data centres.
    pub latency_micros: u64,
}

/// Settings by which the routers choose upstreams and admit requests.
#[derive(Clone, Copy)]
pub struct Policy {
    pub name: &'static str,
    /// Settings of the choice.
    pub config: TableConfig,
    /// Settings of the admission control.
    pub gate: AdmissionRules,
    /// Whether the routers take the upstreams in turn, whatever their load.
    pub round_robin: bool,
}

/// Disruption of the fleet during a run.
#[derive(Clone, Copy, Default)]
pub struct Disruption {
    /// Time from and until which all engines are four times slower, in microseconds.
    pub slow: Option<(u64, u64)>,
    /// Time in microseconds at which the first engine leaves, and from which half of the routers
    /// receive no announcements.
    pub leave: Option<u64>,
}

/// Status of a request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Status {
    #[default]
    /// The request is not finished.
    Open,
    /// The answer is complete.
    Completed,
    /// Admission control refused the request.
    Shed,
    /// No upstream took the request.
    Refused,
    /// The answer did not arrive by the deadline.
    Missed,
}

/// Outcome of a request; times are in microseconds of the simulation.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    pub status: Status,
    /// When the first token arrived.
    pub first_token: Option<u64>,
    /// When the request was finished.
    pub end: u64,
    /// Prompt tokens that the engine had cached.
    pub cached: u64,
    /// Attempts made.
    pub attempts: u32,
}

/// Deployments that are simulated.
pub const SITES: [Site; 2] = [
    Site {
        name: "Kar Yolu",
        centres: 4,
        routers: 12,
        engines: 12,
        desks: 4,
        latency_micros: 500,
    },
    Site {
        name: "Verband",
        centres: 3,
        routers: 10,
        engines: 12,
        desks: 3,
        latency_micros: 1_500,
    },
];

/// A load, and the disruption of the fleet under it.
pub struct Scenario {
    pub name: &'static str,
    pub load: Load,
    pub disruption: Disruption,
    /// Whether the requests are calls of the desk or booking service instead of chats.
    pub desk: bool,
}

/// Returns the production policy, first, and the ones it is compared with.
pub fn policies() -> Vec<Policy> {
    let config = TableConfig::default();
    let gate = AdmissionRules::default();
    let ours = Policy {
        name: "ours",
        config,
        gate,
        round_robin: false,
    };
    vec![
        ours,
        Policy {
            name: "round robin",
            config: TableConfig {
                cache_weight: 0,
                ..config
            },
            round_robin: true,
            ..ours
        },
        Policy {
            name: "least reported load",
            config: TableConfig {
                count_own: false,
                sample_size: usize::MAX,
                cache_weight: 0,
                ..config
            },
            ..ours
        },
        Policy {
            name: "no prefix weight",
            config: TableConfig {
                cache_weight: 0,
                ..config
            },
            ..ours
        },
        Policy {
            name: "no fair share",
            gate: AdmissionRules {
                fair: false,
                ..gate
            },
            ..ours
        },
        Policy {
            name: "no foresight",
            gate: AdmissionRules {
                shed_early: false,
                ..gate
            },
            ..ours
        },
        Policy {
            name: "best of all",
            config: TableConfig {
                sample_size: usize::MAX,
                ..config
            },
            ..ours
        },
        Policy {
            name: "weight 250",
            config: TableConfig {
                cache_weight: 250,
                ..config
            },
            ..ours
        },
        Policy {
            name: "weight 1000",
            config: TableConfig {
                cache_weight: 1_000,
                ..config
            },
            ..ours
        },
        Policy {
            name: "no distance",
            config: TableConfig {
                remote_cost: 0,
                ..config
            },
            ..ours
        },
    ]
}

/// Returns the scenarios, each of 180 s.
pub fn scenarios() -> Vec<Scenario> {
    let micros = 180_000_000;
    let mut flood = Load::ordinary(24.0, micros);
    flood.rates[work::LARGEST] = 50.0;
    let mut desk = Load::ordinary(60.0, micros);
    desk.desk = true;
    vec![
        Scenario {
            name: "desk or booking calls, 60 a second",
            load: desk,
            disruption: Disruption::default(),
            desk: true,
        },
        Scenario {
            name: "steady, 32 requests/s",
            load: Load::ordinary(32.0, micros),
            disruption: Disruption::default(),
            desk: false,
        },
        Scenario {
            name: "flood: the largest workspace at 50 requests/s",
            load: flood,
            disruption: Disruption::default(),
            desk: false,
        },
        Scenario {
            name: "all engines four times slower from 60 s to 120 s, 24 requests/s",
            load: Load::ordinary(24.0, micros),
            disruption: Disruption {
                slow: Some((60_000_000, 120_000_000)),
                leave: None,
            },
            desk: false,
        },
        Scenario {
            name: "an engine leaves at 60 s, half of the routers hear nothing from then on, 24 requests/s",
            load: Load::ordinary(24.0, micros),
            disruption: Disruption {
                slow: None,
                leave: Some(60_000_000),
            },
            desk: false,
        },
    ]
}
