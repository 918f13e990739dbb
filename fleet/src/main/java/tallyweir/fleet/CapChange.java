package tallyweir.fleet;

import tallyweir.ids.TenantId;

/**
 * A tenant's cap that differs between two revisions.
 *
 * @param before the cap in the earlier revision, {@link Caps#UNCAPPED} if there is none
 * @param after the cap in the later revision, {@link Caps#UNCAPPED} if there is none
 */
public record CapChange(TenantId tenant, int before, int after) {}
