package tallyweir.tool.scale;

/**
 * A fault that is to happen.
 *
 * @param at when it begins, seconds after the measurement began
 * @param lasts how long, seconds; a process that was ended starts again after that
 */
record PlannedFault(double at, Kind kind, double lasts) {
    /** What fails. */
    enum Kind {
        /** A machine with one server. */
        SERVER("server"),
        /** One server's process, which starts again. */
        RESTART("restart"),
        /** All servers of a rack. */
        RACK("rack"),
        /** All servers of a zone. */
        ZONE("zone"),
        /** All ways between the two regions. */
        REGIONS_CUT("regions-cut");

        private final String label;

        Kind(String label) {
            this.label = label;
        }

        /** The word that stands for it in files and in the output. */
        String label() {
            return label;
        }
    }
}
