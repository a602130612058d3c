//! The registry's process: one thread, the settings file, two listeners.

use crate::calls::Calls;
use crate::host::{Host, Identity};
use crate::store::Stores;
use crate::{links, net};
use emberpin_membership::registry::{Limits, PART_BYTES};
use emberpin_runtime::logs;
use emberpin_runtime::preamble::ProcessIdentity;
use emberpin_runtime::settings::{Settings, Wrong};
use std::ffi::OsString;
use std::net::{Ipv4Addr, SocketAddr};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;
use tokio::signal::unix::{signal, SignalKind};

/// Calls that are at work may end within this time after SIGTERM.
const ENDS: Duration = Duration::from_millis(250);

/// Runs the program with these arguments.
pub fn main(arguments: impl Iterator<Item = OsString>) -> ExitCode {
    let mut options = getopts::Options::new();
    options.optflag("", "check", "read the settings, and end");
    options.optflag("h", "help", "show this");
    options.optflag("V", "version", "show the version");
    let chosen = match options.parse(arguments) {
        Ok(chosen) if chosen.free.is_empty() => chosen,
        Ok(chosen) => return wrong(&format!("{}: no such argument", chosen.free[0])),
        Err(e) => return wrong(&e.to_string()),
    };
    if chosen.opt_present("help") {
        print!(
            "{}",
            options.usage("emberpin-registry: the registry of the gateway")
        );
        return ExitCode::SUCCESS;
    }
    if chosen.opt_present("version") {
        println!("emberpin-registry {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let (settings, ctl) = match settings() {
        Ok(settings) => settings,
        Err(e) => return wrong(&e.to_string()),
    };
    if chosen.opt_present("check") {
        return ExitCode::SUCCESS;
    }
    logs::keep(log::LevelFilter::Info);
    let runtime = match tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(e) => return wrong(&format!("the runtime: {e}")),
    };
    match runtime.block_on(run(settings, ctl)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => wrong(&e),
    }
}

fn wrong(what: &str) -> ExitCode {
    eprintln!("emberpin-registry: {what}");
    ExitCode::from(2)
}

fn settings() -> Result<(Settings, SocketAddr), Wrong> {
    let settings = Settings::from_env()?;
    let missing = || Wrong {
        file: std::env::var(emberpin_runtime::settings::FILE).unwrap_or_default(),
        field: "network.listen.ctl".into(),
        what: "is missing".into(),
    };
    let ctl = settings.ctl.ok_or_else(missing)?;
    Ok((settings, ctl))
}

async fn run(settings: Settings, ctl: SocketAddr) -> Result<(), String> {
    let mut term = signal(SignalKind::terminate()).map_err(|e| format!("SIGTERM: {e}"))?;
    // Settings that change are those of the next instance.
    let _hup = signal(SignalKind::hangup()).map_err(|e| format!("SIGHUP: {e}"))?;
    let mut instance = [0; 8];
    getrandom::fill(&mut instance).map_err(|e| format!("a random number: {e}"))?;
    let port = settings.registry_port();
    let outside = net::listen(ctl, "ctl")?;
    let inside = net::listen(SocketAddr::from((settings.ip, port)), "registry")?;
    let seeds: Vec<Ipv4Addr> = settings
        .seeds
        .iter()
        .filter_map(|seed| match seed {
            SocketAddr::V4(seed) => Some(*seed.ip()),
            SocketAddr::V6(_) => None,
        })
        .collect();
    let process = Arc::new(ProcessIdentity::new(u64::from_be_bytes(instance)));
    let stores = Arc::new(Stores::new(
        process.clone(),
        settings.ip,
        settings.store_port(),
        seeds.clone(),
    ));
    let limits = Limits {
        me: settings.ip,
        zone: settings.zone.clone(),
        incarnation: u64::from_be_bytes(instance),
        beat_ms: u64::try_from(settings.beat.as_millis())
            .unwrap_or(u64::MAX)
            .max(1),
        seeds,
        part_bytes: PART_BYTES,
    };
    let (host, commands) = Host::new(
        Identity {
            name: settings.nodename.clone(),
            port,
            process: process.clone(),
        },
        limits,
        stores.clone(),
    );
    let calls = Arc::new(Calls::new(commands.clone(), stores.clone(), ctl.port()));
    stores.follow(&commands);
    tokio::spawn(host.run());
    let inside = tokio::spawn(links::serve(inside, process, commands));
    let outside = tokio::spawn(calls.clone().serve(outside));
    term.recv().await;
    outside.abort();
    inside.abort();
    calls.stop();
    tokio::time::sleep(ENDS).await;
    Ok(())
}
