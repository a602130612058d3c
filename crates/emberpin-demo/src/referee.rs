//! The referee: judges the stand-ins' books, and nothing that the gateway says of itself.

use crate::books::Pages;
use std::collections::HashMap;
use std::time::Duration;

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Breach {
    /// A mutating try ran more than once.
    #[error("mutating try {id} ran {runs} times")]
    Twice {
        /// Which.
        id: String,
        /// How often.
        runs: usize,
    },
    /// A mutating try was refused with a promise, and yet it ran.
    #[error("mutating try {id} was answered {status}, and yet it ran")]
    Refused {
        /// Which.
        id: String,
        /// The promise.
        status: u16,
    },
    /// A request that reached an evacuated zone too late.
    #[error("try {id} reached the evacuated zone {zone} {late:.1?} after its time")]
    Evacuated {
        /// Which.
        id: String,
        /// Where.
        zone: String,
        /// How much too late.
        late: Duration,
    },
    /// The configuration that was read back is not the one that was acknowledged.
    #[error("read back: {item} {what}")]
    ReadBack {
        /// The item.
        item: String,
        /// What is the matter with it.
        what: &'static str,
    },
    /// A client's success that is not its server's answer.
    #[error("try {id} got a success that is not its server's answer")]
    Foreign {
        /// Which.
        id: String,
    },
    /// A server ran what no client sent.
    #[error("a server ran {id}, which no client sent")]
    Unasked {
        /// Its name.
        id: String,
    },
    /// A proper order of the operator that nobody acknowledged.
    #[error("{0} was not acknowledged")]
    Unacknowledged(String),
    /// A process that nobody told to end.
    #[error("{0}")]
    Ended(String),
}

/// All breaches of these books.
pub fn judge(pages: &Pages) -> Vec<Breach> {
    let mut breaches = Vec::new();
    let mut runs: HashMap<&str, usize> = HashMap::new();
    for arrival in pages.arrivals.iter().filter(|arrival| arrival.ran) {
        *runs.entry(&arrival.try_id).or_default() += 1;
    }
    for sent in &pages.tries {
        let runs = runs.remove(sent.id.as_str()).unwrap_or(0);
        if sent.is_mutating && runs > 1 {
            breaches.push(Breach::Twice {
                id: sent.id.clone(),
                runs,
            });
        }
        let promise = sent.status.filter(|status| is_promise(*status));
        if let Some(status) = promise.filter(|_| sent.is_mutating && runs > 0) {
            breaches.push(Breach::Refused {
                id: sent.id.clone(),
                status,
            });
        }
        if sent.is_foreign {
            breaches.push(Breach::Foreign {
                id: sent.id.clone(),
            });
        }
    }
    // What is left belongs to no try.
    let mut unasked: Vec<&str> = runs.into_keys().collect();
    unasked.sort_unstable();
    breaches.extend(
        unasked
            .into_iter()
            .map(|id| Breach::Unasked { id: id.into() }),
    );
    for evacuation in &pages.evacuations {
        let from = evacuation.acknowledged + evacuation.bound;
        let until = evacuation.finish.unwrap_or(Duration::MAX);
        for late in pages
            .arrivals
            .iter()
            .filter(|arrival| arrival.zone == evacuation.zone)
        {
            if late.at > from && late.at < until {
                let (id, zone) = (late.try_id.clone(), late.zone.clone());
                breaches.push(Breach::Evacuated {
                    id,
                    zone,
                    late: late.at - from,
                });
            }
        }
    }
    read_back(pages, &mut breaches);
    breaches.extend(
        pages
            .unacknowledged
            .iter()
            .cloned()
            .map(Breach::Unacknowledged),
    );
    breaches.extend(pages.ended.iter().cloned().map(Breach::Ended));
    breaches
}

/// The request has not run, and never will.
pub fn is_promise(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

fn read_back(pages: &Pages, breaches: &mut Vec<Breach>) {
    let mut breach = |item: &str, what| {
        breaches.push(Breach::ReadBack {
            item: item.into(),
            what,
        });
    };
    let Some(read) = &pages.read_back else {
        return breach("the configuration", "did not come");
    };
    for (item, value) in &pages.acknowledged {
        match read.get(item) {
            None => breach(item, "is missing"),
            Some(read) if read["ver"] != value["ver"] => breach(item, "has another version"),
            Some(read) if read != value => breach(item, "differs"),
            Some(_) => {}
        }
    }
    for item in read
        .keys()
        .filter(|item| !pages.acknowledged.contains_key(*item))
    {
        breach(item, "is there, though it was dropped or never sent");
    }
}
