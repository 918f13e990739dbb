package tallyweir;

/** How a run can be cancelled on this machine: not at all, by aborting it, or by suspending it to resume later. */
public enum CancellationMode {
    OFF,
    ABORT,
    SUSPEND
}
