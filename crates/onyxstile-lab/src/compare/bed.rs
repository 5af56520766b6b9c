//! One sample's partners, with the stand-in proxy and a relay that were set up from it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use onyxstile_nginx::parse::{Disk, parse};
use onyxstile_nginx::{Imported, import, write};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

use super::requests::Asked;
use crate::Failed;
use crate::http::{Wire, post};
use crate::partner::{Ability, Partner};
use crate::proxy::Proxy;
use crate::relay::{Folder, Relay};

/// How long a message that was taken on may be on its way.
const PATIENCE: Duration = Duration::from_secs(5);

/// What a request came to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum End {
    To(usize, String),
    Status(u16),
    Lost,
}

/// What a comparison needs.
pub(super) struct Bed {
    pub(super) partners: Vec<Rc<Partner>>,
    pub(super) proxy: SocketAddr,
    pub(super) relay: Relay,
    pub(super) imported: Imported,
    _folder: Folder,
}

/// Addresses of real servers as the samples write them.
fn addresses(text: &str) -> Vec<String> {
    let mut found = Vec::new();
    for (at, _) in text.match_indices("127.0.0.").chain(text.match_indices("localhost:")) {
        let word: String =
            text[at..].chars().take_while(|c| c.is_ascii_alphanumeric() || ".:".contains(*c)).collect();
        if word.split_once(":7").is_some_and(|(_, p)| p.len() == 3) && !found.contains(&word) {
            found.push(word);
        }
    }
    found
}

fn copy_samples(from: &Path, to: &Path, replace: &BTreeMap<String, String>) -> std::io::Result<()> {
    std::fs::create_dir_all(to)?;
    for entry in std::fs::read_dir(from)? {
        let path = entry?.path();
        let name = to.join(path.file_name().unwrap_or_default());
        if path.is_dir() {
            copy_samples(&path, &name, replace)?;
        } else {
            let mut text = std::fs::read_to_string(&path)?;
            replace.iter().for_each(|(old, new)| text = text.replace(old.as_str(), new));
            std::fs::write(name, text)?;
        }
    }
    Ok(())
}

impl Bed {
    pub(super) async fn make(binary: &Path, sample: &Path) -> Result<Bed, Failed> {
        let name = sample.file_stem().unwrap_or_default().to_string_lossy().into_owned();
        let folder = Folder::new(&name)?;
        let from = sample.parent().unwrap_or(Path::new("."));
        let mut text = std::fs::read_to_string(sample)?;
        if text.contains("include conf.d/*") {
            text += &std::fs::read_to_string(from.join("conf.d/10-groups.conf"))?;
        }
        let (mut partners, mut replace) = (Vec::new(), BTreeMap::new());
        for address in addresses(&text) {
            let partner = Partner::start(Ability::default()).await?;
            // Marked first, so that no port given out now is taken for one of the sample's.
            let host = if address.starts_with("localhost") { "localhost" } else { "127.0.0.1" };
            replace.insert(address, format!("{host}:{}", partner.address.port()));
            partners.push(partner);
        }
        let inside = folder.0.join("samples");
        copy_samples(from, &inside, &replace)?;
        let file = inside.join(sample.file_name().unwrap_or_default());
        let proxy = Rc::new(Proxy::read(&file)?).serve().await?;
        let imported = import(&parse(&Disk, &file)?);
        let relay = Relay::start(binary, &folder.0, &write::write(&imported, &name)).await?;
        Ok(Bed { partners, proxy, relay, imported, _folder: folder })
    }

    /// Where a request that was sent on has arrived.
    fn arrived(&self, id: &str, after: &[usize]) -> Option<End> {
        let partners = self.partners.iter().zip(after).enumerate();
        partners.into_iter().find_map(|(n, (p, from))| {
            let seen = p.seen.borrow();
            let call = seen[*from..].iter().find(|s| s.id == id)?;
            Some(End::To(n, call.target.clone()))
        })
    }

    pub(super) async fn one(&self, to: SocketAddr, request: &Asked, id: &str) -> Result<End, Failed> {
        let after: Vec<usize> = self.partners.iter().map(|p| p.seen.borrow().len()).collect();
        let mut wire = Wire::to(to, Some(request.client)).await?;
        let answer = wire.ask(&post(&request.host, &request.target, id, &request.fields)).await?;
        match answer.status() {
            200 | 202 => {
                let end = Instant::now() + PATIENCE;
                while Instant::now() < end {
                    if let Some(end) = self.arrived(id, &after) {
                        return Ok(end);
                    }
                    sleep(Duration::from_millis(1)).await;
                }
                Ok(End::Lost)
            }
            status => Ok(End::Status(status)),
        }
    }

    fn counts(&self) -> Vec<usize> {
        self.partners.iter().map(|p| p.delivered()).collect()
    }

    /// Clients at once; how often each server was chosen.
    pub(super) async fn many(
        &self, to: SocketAddr, asked: &[Asked], each: usize, tag: &str,
    ) -> Result<Vec<usize>, Failed> {
        let before = self.counts();
        let clients = asked.iter().enumerate().map(|(n, request)| {
            let (request, tag) = (request.clone(), tag.to_string());
            spawn_local(async move {
                let mut wire = Wire::to(to, Some(request.client)).await?;
                let mut taken = 0;
                for i in 0..each {
                    // One a client that differs each time, for methods that go by it.
                    let target = format!(
                        "{}{}plant={n}-{i}",
                        request.target,
                        if request.target.contains('?') { '&' } else { '?' }
                    );
                    for again in 0..50 {
                        let id = format!("{tag}{n}-{i}-{again}");
                        let answer = wire.ask(&post(&request.host, &target, &id, &request.fields)).await?;
                        if answer.status() < 300 {
                            taken += 1;
                            break;
                        }
                        if answer.field("connection") == Some("close") {
                            wire = Wire::to(to, Some(request.client)).await?;
                        }
                        sleep(Duration::from_millis(20)).await;
                    }
                }
                Ok::<usize, std::io::Error>(taken)
            })
        });
        let mut taken = 0;
        for client in clients.collect::<Vec<_>>() {
            taken += client.await??;
        }
        let end = Instant::now() + PATIENCE;
        loop {
            let counts: Vec<usize> = self.counts().iter().zip(&before).map(|(a, b)| a - b).collect();
            if counts.iter().sum::<usize>() >= taken || Instant::now() > end {
                return Ok(counts);
            }
            sleep(Duration::from_millis(5)).await;
        }
    }
}
