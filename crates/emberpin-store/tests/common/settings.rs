//! The settings file of a store in tests and in `measure_store`.

use std::net::Ipv4Addr;
use std::path::Path;

/// The settings that differ between stores. All others are constants of [`NodeSettings::to_toml`].
pub struct NodeSettings<'a> {
    /// The store's own address.
    pub ip: Ipv4Addr,
    /// The port that all stores listen on.
    pub port: u16,
    /// The data folder.
    pub data_dir: &'a Path,
    /// Addresses of the machines to contact, or with which to found a system.
    pub seeds: &'a [Ipv4Addr],
    /// Whether the store founds the system, as at the system's first start.
    pub bootstrap: bool,
    /// Limit of the disk usage in MiB; `None` for no limit.
    pub disk_limit_mib: Option<u64>,
}

impl NodeSettings<'_> {
    /// Returns the text of the settings file.
    pub fn to_toml(&self) -> String {
        let seeds: Vec<String> = self
            .seeds
            .iter()
            .map(|seed| format!("\"{seed}:1\""))
            .collect();
        let disk_limit = self
            .disk_limit_mib
            .map(|limit| format!("disk_mb = {limit}\n"))
            .unwrap_or_default();
        format!(
            "[self]\nnodename = \"core\"\nip = \"{ip}\"\naz = \"z1\"\nrgn = \"r\"\nbootstrap = {bootstrap}\n\
             datadir = \"{data_dir}\"\n[self.limits]\nmem_mb = 256\nnofile = 1024\n{disk_limit}\
             [network]\nport_range = [{port},{last}]\nseeds = [{seeds}]\n[network.listen]\n\
             [network.zones]\nz1 = \"r\"\nz2 = \"r\"\n[infra]\nhb = \"1s\"\n[defs.tolerance]\nnodes = 1\n\
             [defs.bounds]\ndrain = \"2s\"\ngrace = \"6s\"\napply = \"2s\"\nevac = \"2s\"\nack = \"5s\"\n\
             contact = \"3s\"\nretry_ratio = 0.2\nretry_win = \"10s\"\nretry_extra = 60\nwarm_excess = 1.5\n\
             warm_extra = 5\n",
            ip = self.ip,
            bootstrap = self.bootstrap,
            data_dir = self.data_dir.display(),
            port = self.port,
            last = self.port + 1,
            seeds = seeds.join(","),
        )
    }
}
