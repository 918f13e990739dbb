package tallyweir.tool.bench;

/** What stands between sidecars and runs in one part of a measurement. */
enum ServerCase {
    /** The stand-ins alone: a process that answers by itself after the time of a run. */
    BASELINE("stand-ins alone"),
    /** The program without a fleet part. */
    FLEET_OFF("fleet part off"),
    /** The program as a server of a fleet whose voter is another process. */
    FLEET_ON("fleet part on");

    private final String label;

    ServerCase(String label) {
        this.label = label;
    }

    /** As it is printed. */
    String label() {
        return label;
    }
}
