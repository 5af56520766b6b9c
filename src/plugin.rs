//! Plug-ins: scripts of the operator's, called at named points of a flow's life.
//!
//! A script may turn a flow down before it is taken on, or label it; it cannot loosen a rule, for nothing that
//! it says is asked anywhere else. It has no files, no sockets and no clock, and bounds on its steps and on
//! the size of what it makes. If it fails, that is logged and the flow goes on as without it.

use rhai::{AST, CallFnOptions, Dynamic, Engine, Map, Scope};
use std::fmt;
use std::path::PathBuf;
use std::time::Duration;

/// Scripts, and bytes of one, at most.
const SCRIPTS_MAX: usize = 16;
const SCRIPT_MAX: u64 = 64 * 1024;
/// Steps of one call, at most: well under a millisecond.
const OPERATIONS_MAX: u64 = 20_000;
/// Letters of a text that a script makes, and of a label.
const TEXT_MAX: usize = 4096;
const LABEL_MAX: usize = 64;
/// Longest time that a script may have a client stay away.
const WAIT_MAX: Duration = Duration::from_secs(3600);

/// A script that cannot be used.
#[derive(Debug)]
pub struct PluginError(String);

impl fmt::Display for PluginError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for PluginError {}

/// What a script sees of a flow.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FlowView {
    /// Its id on the wire.
    pub id: String,
    /// Its class.
    pub class: String,
    /// Its tenant, or empty.
    pub tenant: String,
    /// Its destination, as the operator or the platform numbers it.
    pub destination: u64,
    /// Bytes of its body.
    pub size: usize,
    /// For mail: its sender and its recipient.
    pub mail: Option<(String, String)>,
    /// What a script has labelled it with, or empty.
    pub label: String,
}

impl FlowView {
    fn map(&self) -> Map {
        let mut map = Map::new();
        let mut put = |name: &str, value: Dynamic| map.insert(name.into(), value);
        put("id", self.id.clone().into());
        put("class", self.class.clone().into());
        put("tenant", self.tenant.clone().into());
        put("destination", Dynamic::from_int(i64::try_from(self.destination).unwrap_or(i64::MAX)));
        put("size", Dynamic::from_int(self.size as i64));
        put("label", self.label.clone().into());
        if let Some((from, to)) = &self.mail {
            put("from", from.clone().into());
            put("to", to.clone().into());
        }
        map
    }
}

struct Script {
    name: String,
    ast: AST,
}

/// The scripts, in the order that the operator gives.
pub struct Hooks {
    engine: Engine,
    scripts: Vec<Script>,
}

impl fmt::Debug for Hooks {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_list().entries(self.scripts.iter().map(|s| &s.name)).finish()
    }
}

impl Hooks {
    /// Reads scripts.
    ///
    /// # Errors
    /// One that cannot be read, is too large or does not compile.
    pub fn load(files: &[PathBuf]) -> Result<Hooks, PluginError> {
        if files.len() > SCRIPTS_MAX {
            return Err(PluginError(format!("more than {SCRIPTS_MAX} scripts")));
        }
        let read = |path: &PathBuf| {
            let wrong = |e: &dyn fmt::Display| PluginError(format!("{}: {e}", path.display()));
            if std::fs::metadata(path).map_err(|e| wrong(&e))?.len() > SCRIPT_MAX {
                return Err(wrong(&"over 64 KiB"));
            }
            Ok((path.display().to_string(), std::fs::read_to_string(path).map_err(|e| wrong(&e))?))
        };
        Hooks::compile(&files.iter().map(read).collect::<Result<Vec<_>, _>>()?)
    }

    fn compile(texts: &[(String, String)]) -> Result<Hooks, PluginError> {
        let mut engine = Engine::new();
        // Guards the one thread that everything runs on: a script ends soon and stays small.
        engine
            .set_max_operations(OPERATIONS_MAX)
            .set_max_string_size(TEXT_MAX)
            .set_max_array_size(256)
            .set_max_map_size(64)
            .set_max_call_levels(16)
            .set_max_expr_depths(64, 32)
            .set_max_variables(64)
            .disable_symbol("eval")
            .on_print(|text| tracing::info!("{text}"))
            .on_debug(|text, _, at| tracing::debug!("{at}: {text}"));
        let script = |(name, text): &(String, String)| {
            let ast = engine.compile(text).map_err(|e| PluginError(format!("{name}: {e}")))?;
            Ok(Script { name: name.clone(), ast })
        };
        let scripts = texts.iter().map(script).collect::<Result<_, _>>()?;
        Ok(Hooks { engine, scripts })
    }

    /// Whether there is no script at all.
    pub fn is_empty(&self) -> bool {
        self.scripts.is_empty()
    }

    /// Calls a function of every script that has it.
    fn call(&self, point: &str, arguments: &[Dynamic], mut heed: impl FnMut(&Map)) {
        for script in &self.scripts {
            let there = |f: rhai::ScriptFnMetadata<'_>| f.name == point && f.params.len() == arguments.len();
            if !script.ast.iter_functions().any(there) {
                continue;
            }
            let options = CallFnOptions::new().eval_ast(false);
            let called = self.engine.call_fn_with_options::<Dynamic>(
                options,
                &mut Scope::new(),
                &script.ast,
                point,
                arguments.to_vec(),
            );
            match called {
                Ok(value) => {
                    if let Some(map) = value.try_cast::<Map>() {
                        heed(&map);
                    }
                }
                Err(e) => tracing::warn!("script {}, {point}: {e}", script.name),
            }
        }
    }

    /// A flow is about to be taken on. Labels it, or says for how long its client is to stay away.
    pub fn flow_taken(&self, flow: &mut FlowView) -> Option<Duration> {
        let (mut wait, mut label) = (None, None);
        self.call("flow_taken", &[flow.map().into()], |said| {
            if let Some(ms) = said.get("turn_down").and_then(|v| v.as_int().ok()) {
                let asked = Duration::from_millis(u64::try_from(ms).unwrap_or(0)).min(WAIT_MAX);
                wait = Some(wait.map_or(asked, |w: Duration| w.max(asked)));
            }
            if let Some(text) = said.get("label").and_then(|v| v.clone().into_string().ok()) {
                label = Some(text.chars().filter(|c| !c.is_control()).take(LABEL_MAX).collect());
            }
        });
        flow.label = label.unwrap_or_default();
        wait
    }

    /// An attempt of a flow has ended.
    pub fn attempt_ended(
        &self, flow: &FlowView, number: u32, server: &str, outcome: &str, elapsed: Duration,
    ) {
        let mut attempt = Map::new();
        attempt.insert("number".into(), Dynamic::from_int(number.into()));
        attempt.insert("server".into(), server.to_string().into());
        attempt.insert("outcome".into(), outcome.to_string().into());
        attempt.insert("ms".into(), Dynamic::from_int(elapsed.as_millis() as i64));
        self.call("attempt_ended", &[flow.map().into(), attempt.into()], |_| {});
    }

    /// A flow has ended: `delivered`, `failed`, `returned` or `over`.
    pub fn flow_ended(&self, flow: &FlowView, end: &str) {
        self.call("flow_ended", &[flow.map().into(), end.to_string().into()], |_| {});
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn hooks(texts: &[&str]) -> Result<Hooks, PluginError> {
        Hooks::compile(&texts.iter().map(|t| ("test".to_string(), t.to_string())).collect::<Vec<_>>())
    }

    fn flow() -> FlowView {
        FlowView { class: "orders".into(), size: 9, ..FlowView::default() }
    }

    #[test]
    fn scripts_turn_down_and_label_and_the_longest_wait_holds() {
        let first = r#"fn flow_taken(f) { if f.size > 8 { #{ turn_down: 700, label: `big ${f.class}` } } }"#;
        let second = "fn flow_taken(f) { #{ turn_down: 300 } }  fn flow_ended(f, end) { print(end) }";
        let hooks = hooks(&[first, second]).unwrap();
        let mut view = flow();
        assert_eq!(hooks.flow_taken(&mut view), Some(Duration::from_millis(700)));
        assert_eq!(view.label, "big orders");
        hooks.flow_ended(&view, "delivered");
        let mut small = FlowView { size: 1, ..flow() };
        assert_eq!(
            (hooks.flow_taken(&mut small), small.label.as_str()),
            (Some(Duration::from_millis(300)), "")
        );
    }

    #[test]
    fn a_script_that_fails_or_does_not_end_changes_nothing() {
        for text in [
            "fn flow_taken(f) { loop {} }",
            "fn flow_taken(f) { let s = \"x\"; loop { s += s; } }",
            "fn flow_taken(f) { flow_taken(f) }",
            "fn flow_taken(f) { throw \"no\" }",
            "fn flow_taken(f) { f.nothing.more }",
            "fn flow_taken(f) { 7 }",
            "fn flow_taken(f, g) { #{ turn_down: 1 } }",
            "fn other() {}",
        ] {
            let mut view = flow();
            assert_eq!(hooks(&[text]).unwrap().flow_taken(&mut view), None, "{text}");
            assert_eq!(view, flow(), "{text}");
        }
        assert!(hooks(&["fn flow_taken(f) { eval(\"1\") }"]).is_err() && hooks(&["fn ("]).is_err());
    }
}
