package tallyweir.fleet.table;

import java.util.Optional;

/** What an entry is about. The code stands on the wire, in snapshots and in digests and never changes. */
public enum Kind {
    /** A store that servers call; the name is its address, then after a blank the workloads it is for, if not for all. */
    STORE(1, Value.Weight.class),
    /** The announce service; the name is empty. */
    ANNOUNCE(2, Value.Address.class),
    /** The kernel of the server of that name. */
    KERNEL(3, Value.Address.class),
    /** The most connections of the tenant of that name over the whole fleet. */
    CAP(4, Value.Cap.class),
    /** The server of that name turns new queries away. */
    STAND_BACK(5, Value.Present.class);

    private static final Kind[] ALL = values();

    private final int code;
    private final Class<? extends Value> valueType;

    Kind(int code, Class<? extends Value> valueType) {
        this.code = code;
        this.valueType = valueType;
    }

    /** The number that stands for it in encoded entries. */
    public int code() {
        return code;
    }

    /** The type of the values of its entries. */
    public Class<? extends Value> valueType() {
        return valueType;
    }

    /** The kind of a code, if there is one. */
    public static Optional<Kind> of(int code) {
        for (Kind kind : ALL) {
            if (kind.code == code) {
                return Optional.of(kind);
            }
        }
        return Optional.empty();
    }
}
