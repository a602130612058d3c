//! Scenarios as small text files, run on simulated time against the state machines of stores, registries and routing.
//!
//! A file holds one scenario, with one step per line. All random choices (delays, which unsynced writes survive a power
//! cut, which machine an operator calls) derive from one seed, so a failing run can be reproduced.
//!
//! ```text
//! # A comment says what the scenario shows.
//! cores 5                         machines with a store and a registry, core-1 to core-5; the first 3 are seeds
//! limiters 2                      machines with a proxy each, limiter-1 and limiter-2
//! zones petaling ampang           assigned to core machines and limiters in turn
//! tolerance 2                     number of disks that may be lost at once
//! seed 7
//! wrong build: no-sync            the scenario must fail on this mutant; see `mutants`
//! at 2s operator A patch svc=a route=r1:h1/p/:a ver=9      retried until it gets a response
//! at 2s operator B patch via core-2 ...                    first attempt at core-2; `only core-2`: no retries
//! at 2s operator C evac petaling begin                     or `finish`
//! at 2s operator A again via core-3                        repeats its last request, as a new call
//! at 2s operator A get                                     reads the configuration, as part of the history
//! at 2s answers lost 70%                                   of the responses to operators
//! at 2s server s1 up svc=a zone=petaling                   more: addr=NUMBER, cold=3s
//! at 2s server s1 drain                                    or `leave`, `crash`, `cold 3s`
//! at 2s server s1 says up seq 3 to core-2                  a delayed heartbeat with an old sequence number
//! at 2s kill core-1 limiter-2     kills processes; `cores` and `limiters` stand for all machines of that kind
//! at 2s power core-1              cuts power; a prefix of the unsynced writes survives; `power hard`: none of them
//! at 2s wipe core-1               the machine loses power and its disk
//! at 2s start core-1
//! at 2s bootstrap core-1          starts with the settings of the whole system's first start
//! at 2s seeds core-4 core-5       the seeds in the settings of processes started from now on
//! at 2s stall 3s core-1           its disk does not respond for 3 s
//! at 2s replace core-2 core-6     core-2 is removed permanently, core-6 starts with an empty disk
//! at 2s freeze core-1             stops the process until `thaw core-1`
//! at 2s clock core-1 105%         its monotonic clock is fast
//! at 2s cut core-1 core-2 | core-3 limiter-1       a network partition; with `>`, only from left to right
//! at 2s slow 2s..5s core-1 > core-2 limiter-1      messages arrive 2 s to 5 s later; `|`: both ways
//! at 2s heal                                       ends all partitions, slow links and losses; `heal core-1`: only
//!                                                  the partitions and slow links of core-1
//! at 2s lose accept core-1 > core-2                drops messages between stores of one kind: prepare,
//!                                                  accept, chosen, exchange, promise or seats
//! at 2s lose-nothing                               ends all `lose` steps
//! at 2s network delay 1ms..40ms late 5% twice 5%   delays and duplicates messages between stores
//! at 2s disk 1ms..8ms             duration of a disk sync
//! expect at 6s operator A told 200                 status of its last call; `told nothing`: no response yet
//! expect at 6s get holds route r1 ver 9            or `svc a ver 9`; `get lacks route r1`
//! expect at 6s limiters route h1/p/ ver 9          or one limiter; `limiters no route h1/p/`
//! expect at 6s limiters server s1 usable           or `held`, `gone`
//! expect at 6s voters 5
//! expect at 6s core-1 votes                        or `waits`
//! expect at 6s limiters ready                      or `unready`
//! end at 9s
//! ```
//!
//! A patch consists of `svc=NAME`, `route=NAME:HOST/PREFIX/:SERVICE` (or weighted services, `a*90+b*10`), `drop=ROUTE`
//! and `dropsvc=NAME`. Each item has its own `@VERSION` or the `ver=` of the call. `timeout=` applies to the routes of
//! the patch, and `torn` truncates its body.
//!
//! At the end of a run all faults are ended and the invariants are checked: see `invariants` and `history`.
//!
//! The modules depend on each other in one direction: `scenario` (the format), `state` (machines, clients and network
//! as data), `simulation` (events and their handling), `runner` (one run), `search` (many runs).
#![forbid(unsafe_code)]

pub mod fault_effects;
mod generator;
pub mod history;
mod invariants;
pub mod machine;
pub mod mutants;
pub mod runner;
pub mod scenario;
pub mod search;
pub mod shrink;
mod simulation;
mod state;
pub mod violation;
