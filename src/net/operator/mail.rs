//! The operator's file on the mail front.

use super::*;

/// The mail front.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MailTable {
    pub(super) smtp: Option<SocketAddr>,
    pub(super) lmtp: Option<SocketAddr>,
    pub(super) hostname: String,
    pub(super) class: String,
    pub(super) deadline_s: Option<f64>,
    pub(super) bounce: Option<u64>,
    #[serde(default = "default_size")]
    pub(super) max_size: usize,
    #[serde(default = "default_recipients")]
    pub(super) max_recipients: usize,
    #[serde(default = "default_clients")]
    pub(super) max_clients: usize,
    #[serde(default = "default_per_call")]
    pub(super) per_call: usize,
    #[serde(default)]
    pub(super) times: TimesTable,
}

/// Waits, in seconds. What RFC 5321 (4.5.3.2) asks for at least, unless the operator knows better.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(super) struct TimesTable {
    client_s: f64,
    client_data_s: f64,
    command_s: f64,
    block_s: f64,
    done_s: f64,
    keep_s: f64,
}

impl Default for TimesTable {
    fn default() -> Self {
        TimesTable {
            client_s: 300.0,
            client_data_s: 180.0,
            command_s: 300.0,
            block_s: 180.0,
            done_s: 600.0,
            keep_s: 5.0,
        }
    }
}

fn default_size() -> usize {
    60 * 1024
}
fn default_recipients() -> usize {
    100
}
fn default_clients() -> usize {
    128
}
fn default_per_call() -> usize {
    20
}
/// The name of the kind that mail servers are of, unless the file says otherwise.
pub(super) const MAIL_KIND: &str = "mail";

impl OperatorFile {
    /// The mail front, and its kind of real server among the settings.
    ///
    /// # Errors
    /// A class that the settings do not name, or whose flows might take effect twice.
    pub fn mail(
        &self, settings: &mut Settings, names: &mut Names,
    ) -> Result<Option<MailSettings>, ConfigError> {
        let Some(m) = &self.mail else { return Ok(None) };
        let class = names.classes.iter().position(|c| *c == m.class).map(|c| &settings.classes[c]);
        let class = class.ok_or(ConfigError(format!("mail: class `{}` is not in the settings", m.class)))?;
        if class.effect != Effect::Once {
            return Err(ConfigError(format!("mail: class `{}` may take effect twice", m.class)));
        }
        let deadline = m.deadline_s.map_or(class.deadline, seconds);
        if deadline > class.deadline {
            return Err(ConfigError("mail: `deadline_s` is above the class's".into()));
        }
        names.kinds.push(MAIL_KIND.into());
        settings.kinds.resize(
            names.kinds.len() - 1,
            crate::api::KindSettings { per_call: 1, independent_routes: false },
        );
        settings
            .kinds
            .push(crate::api::KindSettings { per_call: m.per_call.max(1), independent_routes: false });
        let route = |r: &RouteTable| {
            Some((r.domain.clone()?.to_ascii_lowercase(), mail_front::destination(r.destination)))
        };
        let t = m.times;
        Ok(Some(MailSettings {
            smtp: m.smtp,
            lmtp: m.lmtp,
            hostname: m.hostname.clone(),
            class: m.class.clone(),
            deadline,
            routes: self.route.iter().filter_map(route).collect(),
            bounce: m.bounce.map(mail_front::destination),
            max_size: m.max_size,
            max_recipients: m.max_recipients.max(1),
            max_clients: m.max_clients.max(1),
            per_call: m.per_call.max(1),
            times: Times {
                client: seconds(t.client_s),
                client_data: seconds(t.client_data_s),
                command: seconds(t.command_s),
                block: seconds(t.block_s),
                done: seconds(t.done_s),
                keep: seconds(t.keep_s),
            },
        }))
    }
}

fn seconds(s: f64) -> Duration {
    Duration::try_from_secs_f64(s).unwrap_or_default()
}
