//! What is run: deployments, policies, scenarios, and what became of a request.

use chestnutnotch_core::limit::GateRules;
use chestnutnotch_core::upstream::TableConfig;

use crate::work;
use crate::work::Load;

/// Sizes of one deployment.
#[derive(Clone, Copy)]
pub struct Site {
    pub name: &'static str,
    pub centres: usize,
    pub routers: usize,
    pub engines: usize,
    pub desks: usize,
    pub way_micros: u64,
}

/// How the routers decide.
#[derive(Clone, Copy)]
pub struct Policy {
    pub name: &'static str,
    pub rules: TableConfig,
    pub gate: GateRules,
    pub round_robin: bool,
}

/// What befalls the fleet.
#[derive(Clone, Copy, Default)]
pub struct Trouble {
    /// All engines are four times slower in this span.
    pub slow: Option<(u64, u64)>,
    /// The first engine leaves at this time, and half of the routers hear no announcement any more.
    pub leave: Option<u64>,
}

/// What became of a request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Fate {
    #[default]
    Open,
    Whole,
    Shed,
    Refused,
    Missed,
}

#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    pub fate: Fate,
    pub first: Option<u64>,
    pub end: u64,
    pub cached: u64,
    pub attempts: u32,
}

pub const SITES: [Site; 2] = [
    Site {
        name: "Kar Yolu",
        centres: 4,
        routers: 12,
        engines: 12,
        desks: 4,
        way_micros: 500,
    },
    Site {
        name: "Verband",
        centres: 3,
        routers: 10,
        engines: 12,
        desks: 3,
        way_micros: 1_500,
    },
];

/// A load with what befalls the fleet under it.
pub struct Scenario {
    pub name: &'static str,
    pub load: Load,
    pub trouble: Trouble,
    /// Calls of the plain desk or booking service in place of chats.
    pub desk: bool,
}

pub fn policies() -> Vec<Policy> {
    let rules = TableConfig::default();
    let gate = GateRules::default();
    let ours = Policy {
        name: "ours",
        rules,
        gate,
        round_robin: false,
    };
    vec![
        ours,
        Policy {
            name: "round robin",
            rules: TableConfig {
                cache_weight: 0,
                ..rules
            },
            round_robin: true,
            ..ours
        },
        Policy {
            name: "least reported load",
            rules: TableConfig {
                count_own: false,
                sample_size: usize::MAX,
                cache_weight: 0,
                ..rules
            },
            ..ours
        },
        Policy {
            name: "no prefix weight",
            rules: TableConfig {
                cache_weight: 0,
                ..rules
            },
            ..ours
        },
        Policy {
            name: "no fair share",
            gate: GateRules {
                fair: false,
                ..gate
            },
            ..ours
        },
        Policy {
            name: "no foresight",
            gate: GateRules {
                foresight: false,
                ..gate
            },
            ..ours
        },
        Policy {
            name: "best of all",
            rules: TableConfig {
                sample_size: usize::MAX,
                ..rules
            },
            ..ours
        },
        Policy {
            name: "weight 250",
            rules: TableConfig {
                cache_weight: 250,
                ..rules
            },
            ..ours
        },
        Policy {
            name: "weight 1000",
            rules: TableConfig {
                cache_weight: 1_000,
                ..rules
            },
            ..ours
        },
        Policy {
            name: "no distance",
            rules: TableConfig {
                remote_cost: 0,
                ..rules
            },
            ..ours
        },
    ]
}

pub fn scenarios() -> Vec<Scenario> {
    let span = 180_000_000;
    let mut flood = Load::ordinary(24.0, span);
    flood.rates[work::LARGE] = 50.0;
    let mut desk = Load::ordinary(60.0, span);
    desk.desk = true;
    vec![
        Scenario {
            name: "desk or booking calls, 60 a second",
            load: desk,
            trouble: Trouble::default(),
            desk: true,
        },
        Scenario {
            name: "steady, 32 requests/s",
            load: Load::ordinary(32.0, span),
            trouble: Trouble::default(),
            desk: false,
        },
        Scenario {
            name: "flood: the largest workspace at 50 requests/s",
            load: flood,
            trouble: Trouble::default(),
            desk: false,
        },
        Scenario {
            name: "all engines four times slower from 60 s to 120 s, 24 requests/s",
            load: Load::ordinary(24.0, span),
            trouble: Trouble {
                slow: Some((60_000_000, 120_000_000)),
                leave: None,
            },
            desk: false,
        },
        Scenario {
            name: "an engine leaves at 60 s, half of the routers hear nothing from then on, 24 requests/s",
            load: Load::ordinary(24.0, span),
            trouble: Trouble {
                slow: None,
                leave: Some(60_000_000),
            },
            desk: false,
        },
    ]
}
