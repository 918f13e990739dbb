package tallyweir.fleet;

import tallyweir.ids.TenantId;

/** The connection caps of one revision, by lookup only: no caller needs to list them. */
@FunctionalInterface
public interface Caps {
    /** The result for a tenant without a cap. */
    int UNCAPPED = -1;

    /** The caps while there is no revision: no tenant has one. */
    Caps NONE = tenant -> UNCAPPED;

    /** Maximum number of connections of a tenant in the whole fleet, {@link #UNCAPPED} for no limit. */
    int of(TenantId tenant);
}
