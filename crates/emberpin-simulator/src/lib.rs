//! Scenarios as small text files, run on simulated time against the state machines of stores, registries and routing.
//!
//! One file is one scenario, one line is one step. Everything that is drawn (delays, what a power cut leaves on a disk,
//! which machine an operator calls) comes from one seed, so that a run that fails can be repeated.
//!
//! ```text
//! # What it shows, in a comment.
//! cores 5                         machines with a store and a registry each, core-1 to core-5; the first three are seeds
//! limiters 2                      machines with a proxy each, limiter-1 and limiter-2
//! zones petaling ampang           machines and limiters lie in them in turn
//! tolerance 2                     disks that may be lost at once
//! seed 7
//! wrong build: no-sync            the scenario must fail on this mutant; see `mutants`
//! at 2s operator A patch svc=a route=r1:h1/p/:a ver=9      retried until it is answered
//! at 2s operator B patch via core-2 ...                    first to core-2; `only core-2`: sent once, there
//! at 2s operator C evac petaling begin                     or `finish`
//! at 2s operator A again via core-3                        its last request once more, as a call of its own
//! at 2s operator A get                                     reads all; the response is checked with all others
//! at 2s answers lost 70%                                   of responses to operators
//! at 2s server s1 up svc=a zone=petaling                   more: addr=NUMBER, cold=3s
//! at 2s server s1 drain                                    or `leave`, `crash`, `cold 3s`
//! at 2s server s1 says up seq 3 to core-2                  a heartbeat that comes late
//! at 2s kill core-1 limiter-2     processes end; `cores` and `limiters` stand for all of them
//! at 2s power core-1              of what was not synced, some of the first writes stay; `power hard`: none
//! at 2s wipe core-1               power is lost, and the disk with it
//! at 2s start core-1
//! at 2s bootstrap core-1          starts with settings that say that the whole system starts for the first time
//! at 2s seeds core-4 core-5       the seeds that processes are configured with at later starts
//! at 2s stall 3s core-1           its disk does not respond for 3 s
//! at 2s replace core-2 core-6     core-2 is removed for good, core-6 comes with an empty disk
//! at 2s freeze core-1             until `thaw core-1`
//! at 2s clock core-1 105%         its monotonic clock is fast
//! at 2s cut core-1 core-2 | core-3 limiter-1       a network partition; with `>`, only from left to right
//! at 2s slow 2s..5s core-1 > core-2 limiter-1      messages arrive 2 s to 5 s later; `|`: both ways
//! at 2s heal                                       all partitions, slow links and losses end; `heal core-1`: the
//!                                                  partitions and slow links of core-1
//! at 2s lose accept core-1 > core-2                messages between stores: prepare, accept, chosen, exchange, promise, seats
//! at 2s lose-nothing                               that ends
//! at 2s network delay 1ms..40ms late 5% twice 5%   messages between stores are late, or are duplicated
//! at 2s disk 1ms..8ms             how long a sync takes
//! expect at 6s operator A told 200                 or `told nothing`
//! expect at 6s get holds route r1 ver 9            or `svc a ver 9`; `get lacks route r1`
//! expect at 6s limiters route h1/p/ ver 9          or one limiter; `limiters no route h1/p/`
//! expect at 6s limiters server s1 usable           or `held`, `gone`
//! expect at 6s voters 5
//! expect at 6s core-1 votes                        or `waits`
//! expect at 6s limiters ready                      or `unready`
//! end at 9s
//! ```
//!
//! A patch holds `svc=NAME`, `route=NAME:HOST/PREFIX/:SERVICE` (or `a*90+b*10`), `drop=ROUTE`, `dropsvc=NAME`, each with
//! `@VERSION` or the `ver=` of the call, and `timeout=` for its routes; `torn` cuts its body short.
//!
//! After the end all faults are over, and what must always hold is asserted: see `invariants` and `history`.
//!
//! The modules depend on each other in one direction: `scenario` (the format), `state` (machines, clients and network as
//! data), `simulation` (what happens to them), `runner` (one run), `search` (many).
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
