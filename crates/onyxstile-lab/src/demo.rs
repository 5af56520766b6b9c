//! Partners, a relay and some seconds of load on it: the demonstration, and the day on which servers fail.

use crate::Failed;
use crate::chart::{Line, panels};
use crate::load::{self, Load};
use crate::partner::{Ability, Mood, Partner};
use crate::proxy::Proxy;
use crate::relay::{Folder, Relay};
use onyxstile_nginx::parse::{Disk, parse};
use onyxstile_nginx::{import, write};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

/// How long messages that were taken on are waited for at the end: as long as they live, and some.
const LIFE: Duration = Duration::from_secs(30);

async fn partners(abilities: &[Ability]) -> Result<Vec<Rc<Partner>>, Failed> {
    let mut partners = Vec::new();
    for ability in abilities {
        partners.push(Partner::start(*ability).await?);
    }
    Ok(partners)
}

/// An nginx configuration with these servers in one group, each with what follows its address.
pub(crate) fn configuration<S: std::fmt::Display>(partners: &[Rc<Partner>], parameters: &[S]) -> String {
    let servers = partners.iter().zip(parameters);
    let servers = servers.map(|(p, with)| format!("    server {}{with};\n", p.address));
    let servers: String = servers.collect();
    format!(
        "http {{\n  upstream partners {{\n{servers}  }}\n  server {{\n    listen 8080;\n    server_name shop.example;\n    \
         location /orders/ {{\n      proxy_pass http://partners/inbox/;\n    }}\n  }}\n}}\n"
    )
}

async fn relay(binary: &Path, folder: &Folder, conf: &str) -> Result<Relay, Failed> {
    Relay::start(binary, &folder.0, &imported(folder, conf)?).await
}

/// The operator's file that the importer makes of a configuration.
pub(crate) fn imported(folder: &Folder, conf: &str) -> Result<String, Failed> {
    let file = folder.0.join("nginx.conf");
    std::fs::write(&file, conf)?;
    Ok(write::write(&import(&parse(&Disk, &file)?), "nginx.conf"))
}

/// How many times each id took effect, over all partners.
fn effects(partners: &[Rc<Partner>]) -> BTreeMap<String, usize> {
    let mut effects = BTreeMap::new();
    for partner in partners {
        partner
            .seen
            .borrow()
            .iter()
            .filter(|s| s.status == 200)
            .for_each(|s| *effects.entry(s.id.clone()).or_default() += 1);
    }
    effects
}

/// Starts partners, a relay set up from an nginx configuration, and a load of some seconds; prints what was
/// delivered by whom.
///
/// # Errors
/// Something does not start, or a message was lost or delivered twice.
pub async fn demo(binary: &Path, seconds: u64) -> Result<(), Failed> {
    let weights = [5, 1, 1];
    let partners = partners(&[Ability::default(); 3]).await?;
    let folder = Folder::new("demo")?;
    let relay =
        relay(binary, &folder, &configuration(&partners, &weights.map(|w| format!(" weight={w}")))).await?;
    println!("three partners with weights 5, 1 and 1, and a relay at {}", relay.address);
    let (host, target) = ("shop.example".to_string(), "/orders/new".to_string());
    let load = Load {
        address: relay.address,
        host,
        target,
        fields: "",
        per_s: 150.0,
        time: Duration::from_secs(seconds),
        seed: 1,
    };
    let result = load::run(load).await?;
    let end = Instant::now() + LIFE;
    while effects(&partners).len() < result.taken.len() && Instant::now() < end {
        sleep(Duration::from_millis(20)).await;
    }
    let effects = effects(&partners);
    println!("{} messages in {seconds} s, answers by status {:?}", result.offered, result.by_status);
    let [median, high, most] = result.wait_us;
    println!("answered after {median} us (median), {high} us (99%), {most} us (at most)");
    for (partner, weight) in partners.iter().zip(weights) {
        let (delivered, open) = (partner.delivered(), partner.open.get().1);
        println!("{}  weight {weight}  delivered {delivered}  connections {open}", partner.address);
    }
    let lost = result.taken.iter().filter(|id| !effects.contains_key(*id)).count();
    let twice = effects.values().filter(|n| **n > 1).count();
    println!("lost {lost}, delivered twice {twice}");
    relay.kill().await;
    if lost + twice > 0 { Err("a rule was broken".into()) } else { Ok(()) }
}

/// A day's troubles: at which second, to which server, and what.
type Troubles = &'static [(u64, usize, Mood, &'static str)];

/// A day that is played by proxy and by relay.
#[derive(Debug, Clone, Copy)]
pub struct Story {
    /// Its chart's title.
    pub title: &'static str,
    /// What follows each server's address in the group.
    servers: [&'static str; 4],
    troubles: Troubles,
    per_s: f64,
    seconds: u64,
}

/// One server after the other hangs, refuses and goes.
pub const FAILURES: Story = Story {
    title: "Messages delivered by four real servers, a second",
    servers: [""; 4],
    troubles: &[
        (4, 0, Mood::Hangs, "a hangs"),
        (9, 0, Mood::Well, "a back"),
        (12, 1, Mood::Refuses(Some(Duration::from_millis(800))), "b refuses"),
        (16, 1, Mood::Well, "b back"),
        (18, 2, Mood::Gone, "c gone"),
        (22, 2, Mood::Well, "c back, cold"),
    ],
    per_s: 60.0,
    seconds: 32,
};

/// Both primaries go; the backups carry the load; the primaries come back cold.
pub const RETURN: Story = Story {
    title: "Both primaries (a, b) go and come back cold; c and d are backups: messages delivered, a second",
    servers: ["", "", " backup", " backup"],
    troubles: &[
        (5, 0, Mood::Gone, "a, b gone"),
        (5, 1, Mood::Gone, ""),
        (14, 0, Mood::Well, "a, b back, cold"),
        (14, 1, Mood::Well, ""),
    ],
    per_s: 60.0,
    seconds: 32,
};

/// What the day of failures came to.
#[derive(Debug, serde::Serialize)]
pub struct Day {
    /// Relay or proxy.
    pub by: &'static str,
    /// Messages handed in.
    pub offered: u64,
    /// Answered 202 or 200.
    pub taken: usize,
    /// Taken on and delivered.
    pub delivered: usize,
    /// Taken on and told to have failed.
    pub told: usize,
    /// Taken on, and neither.
    pub lost: usize,
    /// Delivered more than once.
    pub twice: usize,
    /// Calls that servers turned away above their limits, within 8 s of coming back: a flood shows here.
    pub flooded: usize,
}

async fn day(
    story: Story, by: &'static str, to: SocketAddr, partners: &[Rc<Partner>], relay: Option<&Relay>,
) -> Result<(Day, Vec<Line>), Failed> {
    let started = Instant::now();
    let script: Vec<Rc<Partner>> = partners.to_vec();
    spawn_local(async move {
        for (at, which, mood, _) in story.troubles.iter().copied() {
            tokio::time::sleep_until(started + Duration::from_secs(at)).await;
            script[which].set(mood);
        }
    });
    let (host, target) = ("shop.example".to_string(), "/orders/new".to_string());
    let load = Load {
        address: to,
        host,
        target,
        fields: "",
        per_s: story.per_s,
        time: Duration::from_secs(story.seconds),
        seed: 7,
    };
    let result = load::run(load).await?;
    let failed = || relay.map_or(vec![], |r| r.logged("undelivered: "));
    let ended = |effects: &BTreeMap<String, usize>| {
        let told = failed().join("\n");
        result
            .taken
            .iter()
            .filter(|id| effects.contains_key(*id) || told.contains(&format!("\"{id}\"")))
            .count()
    };
    let end = Instant::now() + LIFE;
    while relay.is_some() && ended(&effects(partners)) < result.taken.len() && Instant::now() < end {
        sleep(Duration::from_millis(100)).await;
    }
    let effects = effects(partners);
    let delivered = result.taken.iter().filter(|id| effects.contains_key(*id)).count();
    let lost =
        if relay.is_some() { result.taken.len() - ended(&effects) } else { result.taken.len() - delivered };
    let after_return = |n: usize, at: Instant| {
        let back = story.troubles.iter().filter(|t| t.1 == n && t.2 == Mood::Well);
        back.map(|t| started + Duration::from_secs(t.0)).any(|b| at >= b && at < b + Duration::from_secs(8))
    };
    let flooded = partners
        .iter()
        .enumerate()
        .map(|(n, p)| p.seen.borrow().iter().filter(|s| s.status == 429 && after_return(n, s.at)).count());
    let counted = Day {
        flooded: flooded.sum(),
        by,
        offered: result.offered,
        taken: result.taken.len(),
        delivered,
        told: failed().len(),
        lost,
        twice: effects.values().filter(|n| **n > 1).count(),
    };
    let line = |(n, partner): (usize, &Rc<Partner>)| {
        let mut seconds = vec![0.0; story.seconds as usize];
        for s in partner.seen.borrow().iter().filter(|s| s.status == 200) {
            if let Some(count) = seconds.get_mut((s.at - started).as_secs() as usize) {
                *count += 1.0;
            }
        }
        let points = seconds.iter().enumerate().map(|(t, n)| (t as f64, *n)).collect();
        Line { name: ["a", "b", "c", "d"][n].into(), points }
    };
    Ok((counted, partners.iter().enumerate().map(line).collect()))
}

/// A day on which servers fail, by relay and by proxy, with a chart of who delivered when.
///
/// # Errors
/// Something does not start, or the relay broke a rule.
pub async fn failures(story: Story, binary: &Path, chart: &Path) -> Result<Vec<Day>, Failed> {
    let limit = Some((60, Duration::from_secs(1)));
    let cold = Some((0.2, Duration::from_secs(6)));
    let ability = Ability { pace: Duration::from_millis(30), limit, tells: true, cold };
    let mut days = Vec::new();
    let mut drawn = Vec::new();
    for by in ["proxy", "relay"] {
        let partners = partners(&[ability; 4]).await?;
        let folder = Folder::new(by)?;
        let conf = configuration(&partners, &story.servers);
        let (counted, lines) = if by == "relay" {
            let relay = relay(binary, &folder, &conf).await?;
            let done = day(story, by, relay.address, &partners, Some(&relay)).await?;
            relay.kill().await;
            done
        } else {
            let file = folder.0.join("nginx.conf");
            std::fs::write(&file, &conf)?;
            let at = Rc::new(Proxy::read(&file)?).serve().await?;
            day(story, by, at, &partners, None).await?
        };
        days.push(counted);
        drawn.push((by, lines));
    }
    let marks: Vec<(f64, &str)> = story.troubles.iter().map(|t| (t.0 as f64, t.3)).collect();
    panels(chart, story.title, ("seconds", "messages"), &drawn, &marks)?;
    let broken = days.iter().any(|d| d.by == "relay" && (d.lost > 0 || d.twice > 0));
    if broken { Err(format!("a rule was broken: {days:?}").into()) } else { Ok(days) }
}
