//! Decides when a keeper has read enough of the others' departures.

/// `DepartureReading` counts the answers of the other members to a keeper that reads their departures.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DepartureReading {
    /// The number of members of the group, the reading keeper included.
    pub members: usize,
    /// Whether the reading keeper has all departures that it ever stored.
    pub own_complete: bool,
    /// The number of other members that have answered.
    pub answers: usize,
    /// How many of those have all departures that they ever stored.
    pub complete_answers: usize,
}

impl DepartureReading {
    /// `is_enough` tells whether the answers contain each confirmed departure that is left anywhere.
    /// A majority stored it, so the answers of a majority contain it; a keeper that has lost some
    /// does not count, itself included. The answers of all members contain whatever is left.
    pub fn is_enough(&self) -> bool {
        let complete = self.complete_answers + usize::from(self.own_complete);
        self.answers + 1 >= self.members || complete > self.members / 2
    }
}
