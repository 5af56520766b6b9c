//! Memory of this process as the system counts it.

use crate::metrics::Metrics;

/// List of the system with facts about this process.
const STATUS_FILE: &str = "/proc/self/status";

/// Resident memory of a process, in bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResidentMemory {
    /// Now.
    pub current: u64,
    /// At its highest.
    pub peak: u64,
}

impl ResidentMemory {
    /// Resident memory of this process; `None` if the system does not tell it.
    pub fn read() -> Option<ResidentMemory> {
        ResidentMemory::parse(&std::fs::read_to_string(STATUS_FILE).ok()?)
    }

    /// Reads the fields of a status list, which are in KiB.
    pub fn parse(status: &str) -> Option<ResidentMemory> {
        let field = |name: &str| {
            let value = status.lines().find_map(|line| line.strip_prefix(name))?;
            Some(value.trim().strip_suffix("kB")?.trim().parse::<u64>().ok()? * 1024)
        };
        Some(ResidentMemory { current: field("VmRSS:")?, peak: field("VmHWM:")? })
    }
}

/// Adds the memory of this process.
pub fn add_metrics(metrics: &mut Metrics) {
    let Some(memory) = ResidentMemory::read() else { return };
    metrics.gauge("resident_bytes", "Resident memory of this process.", memory.current as f64);
    let help = "Peak of the resident memory of this process.";
    metrics.gauge("resident_peak_bytes", help, memory.peak as f64);
}
