//! Where a request goes: routes, splits, tries, budgets, cold servers, zones.
#![forbid(unsafe_code)]
