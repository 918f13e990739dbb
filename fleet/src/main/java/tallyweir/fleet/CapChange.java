package tallyweir.fleet;

import tallyweir.ids.TenantId;

/**
 * A cap that differs between two revisions.
 *
 * @param before the cap in the earlier revision, {@link Caps#UNCAPPED} for none
 * @param after the cap in the later revision, {@link Caps#UNCAPPED} for none
 */
public record CapChange(TenantId tenant, int before, int after) {}
