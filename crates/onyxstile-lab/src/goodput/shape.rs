//! What is played: engines, classes of programs, relays, and load.

/// One class of programs.
#[derive(Debug, Clone)]
pub struct Class {
    /// Its rank; 0 is the most urgent.
    pub priority: u8,
    /// Programs that begin in a second, at load 1.
    pub per_s: f64,
    /// Turns of a program on average.
    pub turns: f64,
    /// Events of a turn on average.
    pub events: f64,
    /// New tokens of a turn on average.
    pub tokens: f64,
    /// The part of turns that is followed by sub-agents.
    pub fan: f64,
    /// The pause between turns, in ms.
    pub think_ms: f64,
    /// The aim, as a multiple of the time on idle endpoints.
    pub aim_times: f64,
    /// What the way of a turn is reckoned at, in ms.
    pub way_ms: f64,
}

/// One model endpoint.
#[derive(Debug, Clone)]
pub struct EngineShape {
    /// Requests at once.
    pub batch: usize,
    /// The time of a step, in ms.
    pub step_ms: f64,
    /// What one more running request adds to it, in ms.
    pub step_ms_per_slot: f64,
    /// What a thousand tokens of all running requests add to it, in ms.
    pub context_ms_per_k: f64,
    /// Tokens read in a ms.
    pub read_per_ms: f64,
    /// Most tokens read between two steps.
    pub chunk: f64,
    /// Tokens in an event.
    pub stride: u32,
    /// Tokens that its memory holds.
    pub memory_tokens: u64,
}

/// What is played.
#[derive(Debug, Clone)]
pub struct Shape {
    /// Its name in tables.
    pub name: &'static str,
    /// Classes of programs.
    pub classes: Vec<Class>,
    /// All endpoints are alike but for their speed.
    pub engine: EngineShape,
    /// How many endpoints.
    pub engines: usize,
    /// How many relays.
    pub relays: usize,
    /// Zones, over which both are spread evenly.
    pub zones: usize,
    /// Shared first parts of prompts.
    pub first_parts: u32,
    /// Times the load.
    pub load: f64,
    /// Seconds of arrivals.
    pub seconds: f64,
    /// Seeds all draws.
    pub seed: u64,
    /// Whether relays refuse programs.
    pub admits: bool,
}

/// The time of each engine's step, as a multiple; they take turns.
pub(super) const SPEEDS: [f64; 3] = [1.0, 1.0, 1.3];
/// Tokens of a shared first part on average.
pub(super) const FIRST_PART_TOKENS: f64 = 2560.0;

impl Shape {
    /// Nine endpoints and six relays, as the page of kartli-relay gives them.
    pub fn small() -> Shape {
        let class = |priority, per_s, turns, tokens, fan, think_ms, aim_times, way_ms| Class {
            priority,
            per_s,
            turns,
            events: 11.0,
            tokens,
            fan,
            think_ms,
            aim_times,
            way_ms,
        };
        Shape {
            name: "small",
            classes: vec![
                class(1, 5.28, 4.0, 1030.0, 0.05, 20.0, 2.3, 36.0),
                class(0, 1.52, 9.0, 514.0, 0.25, 150.0, 2.5, 46.0),
            ],
            engine: EngineShape {
                batch: 32,
                step_ms: 4.73,
                step_ms_per_slot: 0.012,
                context_ms_per_k: 0.023,
                read_per_ms: 38.4,
                chunk: 2048.0,
                stride: 3,
                memory_tokens: 233_991,
            },
            engines: 9,
            relays: 6,
            zones: 4,
            first_parts: 8,
            load: 1.0,
            seconds: 30.0,
            seed: 1,
            admits: true,
        }
    }

    /// Eighteen endpoints, as the page of warmstead-hearth gives them.
    pub fn medium() -> Shape {
        let mut shape = Shape::small();
        shape.name = "medium";
        shape.engines = 18;
        shape.zones = 3;
        shape.classes[0].per_s = 12.8;
        shape.classes[0].way_ms = 28.0;
        shape.classes[1] =
            Class { per_s: 8.0, turns: 7.0, fan: 0.08, way_ms: 33.0, ..shape.classes[1].clone() };
        shape
    }

    /// Fifty-six endpoints and 71 relays, as the page of mncg-onyx-grown gives them.
    pub fn large() -> Shape {
        let mut shape = Shape::small();
        shape.name = "large";
        shape.engines = 56;
        shape.relays = 71;
        shape.zones = 5;
        shape.engine = EngineShape { batch: 24, step_ms: 5.47, stride: 4, ..shape.engine };
        shape.classes[0] = Class {
            per_s: 80.3,
            turns: 3.0,
            events: 8.5,
            aim_times: 2.1,
            way_ms: 46.0,
            ..shape.classes[0].clone()
        };
        shape.classes[1] =
            Class { per_s: 23.1, turns: 7.0, events: 8.5, way_ms: 46.0, ..shape.classes[1].clone() };
        shape
    }
}
