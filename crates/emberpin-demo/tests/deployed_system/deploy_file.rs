//! Reads the roles of `deploy/system.toml`.

use emberpin_demo::role::Role;

/// One role of the deploy file.
pub struct DeployedRole {
    /// The program.
    pub role: Role,
    /// The arguments of the program.
    pub arguments: Vec<String>,
    /// The class of the machines that the program runs on.
    pub class: String,
    /// The fraction of those machines that run the program.
    pub share: f64,
    /// The names of the endpoints that the program listens on.
    pub serves: Vec<String>,
}

/// Reads the roles of the deploy file. Each `run` line must name a program that this executable can run as, too.
pub fn read_roles() -> Vec<DeployedRole> {
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/system.toml");
    let text = std::fs::read_to_string(file).expect("the deploy file");
    let deploy: toml::Table = text.parse().expect("TOML");
    let role = |role: &toml::Value| {
        let text = |name: &str| role[name].as_str().expect("a text").to_owned();
        let run = text("run");
        let mut words = run.split(' ').map(str::to_owned);
        let program = words.next();
        let program = program
            .as_deref()
            .and_then(|program| program.rsplit('/').next())
            .and_then(|name| name.strip_prefix("emberpin-"));
        let serves = role["serves"].as_array().expect("a list");
        DeployedRole {
            role: program
                .and_then(Role::from_name)
                .expect("a program of the gateway"),
            arguments: words.collect(),
            class: text("on"),
            share: role["share"].as_float().expect("a share"),
            serves: serves
                .iter()
                .filter_map(|what| what.as_str().map(str::to_owned))
                .collect(),
        }
    };
    deploy["roles"]
        .as_table()
        .expect("roles")
        .values()
        .map(role)
        .collect()
}
