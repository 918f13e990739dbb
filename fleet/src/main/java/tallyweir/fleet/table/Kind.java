package tallyweir.fleet.table;

import java.util.Optional;

/** The kind of an entry. Its code is part of wire messages, snapshots and digests, so it must never change. */
public enum Kind {
    /** A store that servers call. The name is its address, followed by a blank and its workloads unless it serves all of them. */
    STORE(1, Value.Weight.class),
    /** The address of the announce service; the name is empty. */
    ANNOUNCE(2, Value.Address.class),
    /** The address of the kernel of the named server. */
    KERNEL(3, Value.Address.class),
    /** The maximum number of connections of the named tenant over the whole fleet. */
    CAP(4, Value.Cap.class),
    /** The named server is withdrawn: it turns incoming queries away. */
    STAND_BACK(5, Value.Present.class);

    private static final Kind[] ALL = values();

    private final int code;
    private final Class<? extends Value> valueType;

    Kind(int code, Class<? extends Value> valueType) {
        this.code = code;
        this.valueType = valueType;
    }

    /** The number that represents this kind in encoded entries. */
    public int code() {
        return code;
    }

    /** The type of the values that entries of this kind have. */
    public Class<? extends Value> valueType() {
        return valueType;
    }

    /** The kind with this code, or empty if the code is unknown. */
    public static Optional<Kind> of(int code) {
        for (Kind kind : ALL) {
            if (kind.code == code) {
                return Optional.of(kind);
            }
        }
        return Optional.empty();
    }
}
