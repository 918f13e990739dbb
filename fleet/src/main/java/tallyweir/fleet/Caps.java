package tallyweir.fleet;

import tallyweir.ids.TenantId;

/** The caps of one revision, by lookup: nobody needs to list them. */
@FunctionalInterface
public interface Caps {
    /** What a lookup returns for a tenant without a cap. */
    int UNCAPPED = -1;

    /** The caps where there is no revision yet. */
    Caps NONE = tenant -> UNCAPPED;

    /** How many connections a tenant may have in the whole fleet, {@link #UNCAPPED} for any number. */
    int of(TenantId tenant);
}
