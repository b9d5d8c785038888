//! Every order of events in the small, breadth first, over the program's own `step` functions. What is found
//! is the shortest way to a broken property. `docs/checking.md`.
pub mod releases;
pub mod scenes;
pub mod search;
pub mod voters;
