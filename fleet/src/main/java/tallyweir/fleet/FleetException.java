package tallyweir.fleet;

/** Thrown when a request fails with a {@link Fault}. */
public final class FleetException extends RuntimeException {
    private static final long serialVersionUID = 1;

    private final transient Fault fault;

    FleetException(Fault fault) {
        super(fault.description());
        this.fault = fault;
    }

    public Fault fault() {
        return fault;
    }
}
