//! Programs, drawn by a seed: their turns, sub-agents, pauses and aims.

use onyxstile_system::prefix::{self, Part};
use rand_core::RngCore;
use rand_pcg::Pcg64Mcg;

use super::shape::{Class, EngineShape, FIRST_PART_TOKENS, Shape};

/// Spread of the count of turns, of events, of prompts and of tools' work (standard deviation of the logarithm).
const TURNS_SPREAD: f64 = 0.4;
const EVENTS_SPREAD: f64 = 0.8;
const TOKENS_SPREAD: f64 = 0.7;
const WORK_SPREAD: f64 = 1.0;
/// Tools: the part of turns that call each, and its work in ms.
const TOOLS: [(f64, f64); 3] = [(0.7, 26.0), (0.4, 104.0), (0.2, 69.4)];
/// Sub-agents side by side, and the turns of each.
const SUB_AGENTS: usize = 3;
const SUB_AGENT_TURNS: usize = 2;
/// The objective that is added to an aim, in ms.
const OBJECTIVE_MS: f64 = 250.0;

/// One turn.
#[derive(Debug, Clone)]
pub(super) struct Turn {
    pub(super) new_tokens: u32,
    pub(super) events: u32,
    /// Tools and pause behind it, in ms.
    pub(super) pause_ms: f64,
    /// Lines of sub-agents that run before the next turn.
    pub(super) sub_agents: Vec<Vec<Turn>>,
}

/// One program.
pub(super) struct Program {
    pub(super) class: usize,
    pub(super) begins_ms: f64,
    pub(super) aim_ms: f64,
    pub(super) first_part: u32,
    pub(super) turns: Vec<Turn>,
}

/// A number in 0..1.
pub(super) fn roll(random: &mut Pcg64Mcg) -> f64 {
    (f64::from(random.next_u32()) + 0.5) / 4_294_967_296.0
}

/// A log-normal number with this mean.
fn log_normal(random: &mut Pcg64Mcg, mean: f64, spread: f64) -> f64 {
    let normal = (-2.0 * roll(random).ln()).sqrt() * (std::f64::consts::TAU * roll(random)).cos();
    mean * (spread * normal - spread * spread / 2.0).exp()
}

/// All programs of a play, in the order in which they begin.
pub(super) fn draw(shape: &Shape, random: &mut Pcg64Mcg) -> Vec<Program> {
    let mut programs = Vec::new();
    for (number, class) in shape.classes.iter().enumerate() {
        let mut at = 0.0;
        loop {
            at -= roll(random).ln() / (class.per_s * shape.load) * 1e3;
            if at >= shape.seconds * 1e3 {
                break;
            }
            programs.push(program(shape, class, number, at, random));
        }
    }
    programs.sort_by(|left, right| left.begins_ms.total_cmp(&right.begins_ms));
    programs
}

fn program(shape: &Shape, class: &Class, number: usize, begins_ms: f64, random: &mut Pcg64Mcg) -> Program {
    let count = log_normal(random, class.turns, TURNS_SPREAD).round().clamp(1.0, class.turns * 2.0) as usize;
    let turns: Vec<Turn> = (0..count).map(|_| turn(class, true, random)).collect();
    let idle = turns.iter().map(|turn| idle_ms(turn, class, &shape.engine)).sum::<f64>();
    // Two draws make some first parts more frequent than others.
    let first_part = (random.next_u32() % shape.first_parts).min(random.next_u32() % shape.first_parts);
    Program { class: number, begins_ms, aim_ms: idle * class.aim_times + OBJECTIVE_MS, first_part, turns }
}

fn turn(class: &Class, may_fan: bool, random: &mut Pcg64Mcg) -> Turn {
    let events =
        log_normal(random, class.events, EVENTS_SPREAD).round().clamp(1.0, class.events * 4.0) as u32;
    let new_tokens = log_normal(random, class.tokens, TOKENS_SPREAD).clamp(20.0, class.tokens * 5.0) as u32;
    let mut tools_ms = 0.0f64;
    for (part, work) in TOOLS {
        if roll(random) < part {
            tools_ms = tools_ms.max(log_normal(random, work, WORK_SPREAD).min(work * 8.0));
        }
    }
    let pause_ms = tools_ms + log_normal(random, class.think_ms, 0.6);
    let fans = may_fan && roll(random) < class.fan;
    let sub_agent = |random: &mut Pcg64Mcg| {
        (0..SUB_AGENT_TURNS).map(|_| turn(class, false, random)).collect::<Vec<Turn>>()
    };
    let sub_agents = if fans { (0..SUB_AGENTS).map(|_| sub_agent(random)).collect() } else { Vec::new() };
    Turn { new_tokens, events, pause_ms, sub_agents }
}

/// The time of a turn and of what comes behind it, on idle endpoints.
fn idle_ms(turn: &Turn, class: &Class, engine: &EngineShape) -> f64 {
    let reading = f64::from(turn.new_tokens) / engine.read_per_ms;
    let writing = f64::from(turn.events * engine.stride) * engine.step_ms;
    let line = |line: &Vec<Turn>| line.iter().map(|turn| idle_ms(turn, class, engine)).sum::<f64>();
    let sub_agents = turn.sub_agents.iter().map(line).fold(0.0, f64::max);
    reading + writing + class.way_ms + turn.pause_ms + sub_agents
}

/// The first part of prompts and its tokens.
pub(super) fn first_part(number: u32) -> Part {
    prefix::parse(&format!("{:x}:{}", number + 1, FIRST_PART_TOKENS as u32))[0]
}

/// What a line's prompt becomes with one more part.
pub(super) fn longer(parts: &[Part], id: u64, tokens: u32) -> Vec<Part> {
    let chain = parts.last().map_or(0, |part| part.chain) ^ id.wrapping_mul(0x9E37_79B9_7F4A_7C15);
    let mut longer = parts.to_vec();
    longer.push(Part { chain, tokens });
    longer
}
