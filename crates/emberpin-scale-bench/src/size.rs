//! Sizes: what is run, and what is designed for.

/// What a cost may depend on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Dimension {
    /// Limiters with sessions.
    Limiters,
    /// Servers that beat.
    Servers,
    /// Routes of the configuration.
    Routes,
    /// Services of the configuration.
    Services,
}

impl Dimension {
    /// All.
    pub const ALL: [Dimension; 4] = [
        Dimension::Limiters,
        Dimension::Servers,
        Dimension::Routes,
        Dimension::Services,
    ];

    /// One of what it counts.
    pub fn name(self) -> &'static str {
        match self {
            Dimension::Limiters => "limiter",
            Dimension::Servers => "server",
            Dimension::Routes => "route",
            Dimension::Services => "service",
        }
    }
}

/// How much there is of each.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size {
    /// See [`Dimension::Limiters`].
    pub limiters: usize,
    /// See [`Dimension::Servers`].
    pub servers: usize,
    /// See [`Dimension::Routes`].
    pub routes: usize,
    /// See [`Dimension::Services`].
    pub services: usize,
}

/// More of anything is not run: each server needs an address and a descriptor.
pub const MOST: usize = 10_000;
/// What is designed for.
pub const DESIGN: Size = Size {
    limiters: 480,
    servers: 4_200,
    routes: 860,
    services: 98,
};
/// Where each line of a full run begins. It has more servers than a run has services: a service without
/// servers costs the proxy next to nothing.
pub const BASE: Size = Size {
    limiters: 20,
    servers: 100,
    routes: 20,
    services: 10,
};

impl Size {
    /// Four whole numbers from 1 to [`MOST`], with commas.
    pub fn read(text: &str) -> Option<Size> {
        let counts = text.split(',').map(|count| {
            count
                .trim()
                .parse()
                .ok()
                .filter(|count| (1..=MOST).contains(count))
        });
        match counts.collect::<Option<Vec<usize>>>()?.as_slice() {
            [limiters, servers, routes, services] => Some(Size {
                limiters: *limiters,
                servers: *servers,
                routes: *routes,
                services: *services,
            }),
            _ => None,
        }
    }

    /// How much there is of this.
    pub fn of(&self, dimension: Dimension) -> usize {
        match dimension {
            Dimension::Limiters => self.limiters,
            Dimension::Servers => self.servers,
            Dimension::Routes => self.routes,
            Dimension::Services => self.services,
        }
    }

    /// The same, with another count of one.
    pub fn with(mut self, dimension: Dimension, count: usize) -> Size {
        match dimension {
            Dimension::Limiters => self.limiters = count,
            Dimension::Servers => self.servers = count,
            Dimension::Routes => self.routes = count,
            Dimension::Services => self.services = count,
        }
        self
    }

    /// Whether it differs from another in nothing but this.
    pub fn only(&self, dimension: Dimension, other: &Size) -> bool {
        self.with(dimension, other.of(dimension)) == *other
    }
}

/// What a full run measures: one dimension at a time.
pub fn full() -> Vec<Size> {
    let along = |dimension, counts: &[usize]| -> Vec<Size> {
        counts
            .iter()
            .map(|count| BASE.with(dimension, *count))
            .collect()
    };
    let mut sizes = vec![BASE];
    sizes.extend(along(Dimension::Limiters, &[60, 120]));
    sizes.extend(along(Dimension::Servers, &[200, 400, 800]));
    sizes.extend(along(Dimension::Routes, &[200, 860]));
    sizes.extend(along(Dimension::Services, &[98]));
    sizes
}

/// Two small sizes, to see that all parts work; their lines mean nothing.
pub fn quick() -> Vec<Size> {
    let small = Size {
        limiters: 4,
        servers: 6,
        routes: 4,
        services: 2,
    };
    vec![small, small.with(Dimension::Limiters, 8)]
}
