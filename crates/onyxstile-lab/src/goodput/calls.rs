//! Calls of a play: sent by a relay, read and written by an engine, heard event by event, given up by a client.

use std::time::Duration;

use onyxstile_system::balance::{CallRequirements, EVENTS_PER_SAMPLE, EndpointKey, PendingStream};
use onyxstile_system::prefix::Part;

use super::clients::{DEADLINE_MS, SILENCE_MS, Tries};
use super::engine::{Job, Written};
use super::play::{CLIENT_MS, Event, Line, Play, SERVICE, STORAGE_MS};
use super::programs::{longer, roll};

/// A call that is out.
pub(super) struct Call {
    pub(super) line: usize,
    pub(super) key: EndpointKey,
    pub(super) engine: usize,
    pub(super) expected: Option<PendingStream>,
    pub(super) parts: Vec<Part>,
    pub(super) sent_ms: f64,
    pub(super) heard_ms: f64,
    pub(super) events: u32,
    pub(super) waited_ms: f64,
}

impl Play<'_> {
    pub(super) fn send(&mut self, number: usize) {
        let (now, id) = (self.now(), self.next_call);
        self.next_call += 1;
        let line = &self.lines[number];
        let turn = &line.turns[line.next];
        let parts = longer(&line.parts, id, turn.new_tokens);
        let name = format!("{}", line.program);
        let roll = roll(&mut self.random);
        let relay = &mut self.relays[line.relay];
        relay.endpoints.note_prompt(&parts);
        let requirements = CallRequirements {
            service: SERVICE,
            parts: &parts,
            program: Some(&name),
            ..CallRequirements::default()
        };
        let Some(key) = relay.endpoints.choose(now, &requirements, roll) else { return };
        let expected = relay.endpoints.stream_sent(now, key, &parts);
        if let Some(endpoint) = relay.endpoints.get_mut(key) {
            endpoint.cache.note(&parts, self.shape.engine.memory_tokens);
            endpoint.begin();
        }
        let engine = relay.keys[&key];
        let way = relay.way_ms(engine, self.shape);
        let (sent_ms, heard_ms) = (self.now_ms, self.now_ms);
        let call =
            Call { line: number, key, engine, expected, parts, sent_ms, heard_ms, events: 0, waited_ms: 0.0 };
        self.calls.insert(id, call);
        self.after(way, Event::Arrive(id));
        self.after(SILENCE_MS, Event::Check(id));
    }

    pub(super) fn arrive(&mut self, id: u64) {
        let Some(call) = self.calls.get(&id) else { return };
        let line = &self.lines[call.line];
        let tokens_out = line.turns[line.next].events * self.shape.engine.stride;
        let engine = call.engine;
        self.engines[engine].take(Job { id, parts: call.parts.clone(), tokens_out });
        if !self.engines[engine].is_at_work {
            self.begin_step(engine);
        }
    }

    fn begin_step(&mut self, engine: usize) {
        if let Some(ms) = self.engines[engine].begin_step() {
            self.after(ms, Event::Step(engine));
        }
    }

    pub(super) fn end_step(&mut self, engine: usize) {
        for written in self.engines[engine].end_step() {
            match written {
                Written::First(id) => self.first_event(id),
                Written::Event(id) => self.event(id),
                Written::Last(id) => self.last_event(id),
            }
        }
        self.begin_step(engine);
    }

    fn first_event(&mut self, id: u64) {
        let now = self.now();
        let Some(call) = self.calls.get_mut(&id) else { return };
        let endpoints = &mut self.relays[self.lines[call.line].relay].endpoints;
        let load = self.engines[call.engine].load();
        if let Some(endpoint) = endpoints.get_mut(call.key) {
            endpoint.note_load(now, load);
            endpoint.succeeded(now, Some(Duration::from_secs_f64((self.now_ms - call.sent_ms) / 1e3)));
        }
        if let Some(expected) = call.expected.take() {
            endpoints.stream_started(now, &expected);
            endpoints.stream_wait_ended(&expected);
        }
        call.heard_ms = self.now_ms;
    }

    fn event(&mut self, id: u64) {
        let now = self.now();
        let Some(call) = self.calls.get_mut(&id) else { return };
        call.events += 1;
        call.waited_ms += self.now_ms - call.heard_ms;
        call.heard_ms = self.now_ms;
        if call.events >= EVENTS_PER_SAMPLE {
            let endpoints = &mut self.relays[self.lines[call.line].relay].endpoints;
            let waited = Duration::from_secs_f64(call.waited_ms / 1e3);
            endpoints.stream_progressed(now, call.key, call.events, waited);
            (call.events, call.waited_ms) = (0, 0.0);
        }
    }

    fn last_event(&mut self, id: u64) {
        self.event(id);
        let Some(call) = self.end_call(id) else { return };
        let number = call.line;
        let line = &mut self.lines[number];
        let turn = line.turns[line.next].clone();
        self.relays[line.relay].endpoints.stream_ended(call.key, turn.events);
        let written = turn.events * self.shape.engine.stride;
        line.parts = longer(&call.parts, id ^ 1 << 40, written);
        line.next += 1;
        line.tries = Tries::default();
        line.open_children = turn.sub_agents.len();
        let ms = STORAGE_MS + CLIENT_MS * 2.0 + turn.pause_ms;
        if turn.sub_agents.is_empty() {
            self.go_on(number, ms);
        }
        for turns in turn.sub_agents {
            let parent = &self.lines[number];
            let child = Line::new(parent.program, turns, parent.parts.clone(), Some(number), parent.relay);
            self.lines.push(child);
            self.after(STORAGE_MS + CLIENT_MS * 2.0, Event::Try(self.lines.len() - 1));
        }
    }

    fn end_call(&mut self, id: u64) -> Option<Call> {
        let call = self.calls.remove(&id)?;
        let endpoints = &mut self.relays[self.lines[call.line].relay].endpoints;
        if let Some(expected) = &call.expected {
            endpoints.stream_wait_ended(expected);
        }
        if let Some(endpoint) = endpoints.get_mut(call.key) {
            endpoint.end();
        }
        Some(call)
    }

    /// A client that has heard nothing for too long gives the turn up.
    pub(super) fn check(&mut self, id: u64) {
        let Some(call) = self.calls.get(&id) else { return };
        let ends = (call.heard_ms + SILENCE_MS).min(call.sent_ms + DEADLINE_MS);
        if self.now_ms + 0.5 < ends {
            self.at(ends, Event::Check(id));
            return;
        }
        self.engines[call.engine].cancel(id);
        let line = call.line;
        self.end_call(id);
        self.outcome.given_up += 1;
        let again = self.lines[line].tries.failed(&mut self.random);
        self.again_or_over(line, again);
    }
}
