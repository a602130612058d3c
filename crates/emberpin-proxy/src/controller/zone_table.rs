//! The indexes by which decision modules identify zones.

/// Zone names by the index with which decision modules identify zones. An index is never reused.
pub(super) struct ZoneTable {
    names: Vec<String>,
}

impl ZoneTable {
    /// This proxy's own zone gets index 0, which decision modules prefer; the order of the others does not matter.
    pub(super) fn new<'a>(own: &str, all: impl Iterator<Item = &'a String>) -> ZoneTable {
        let mut names = vec![own.to_string()];
        names.extend(all.filter(|zone| *zone != own).cloned());
        ZoneTable { names }
    }

    pub(super) fn index_of(&mut self, name: &str) -> usize {
        if let Some(index) = self.names.iter().position(|zone| zone == name) {
            return index;
        }
        self.names.push(name.to_string());
        self.names.len() - 1
    }
}
