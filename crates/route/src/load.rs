/// Load of a target, measured by the node beside it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Slots in use.
    pub in_use: u32,
    /// Calls that are queued for a slot.
    pub queued: u32,
    /// Current slots of the target; fewer than declared while it is cold or sheds load.
    pub slots: u32,
    /// Estimated wait for a slot, in microseconds.
    pub wait_us: u64,
    /// Time that the link of the instance needs to send its backlog of large answers, in
    /// microseconds.
    pub link_us: u64,
    /// Calls refused in the last second.
    pub shed: u32,
    /// Whether the target became ready less than 5 seconds ago.
    pub cold: bool,
}
