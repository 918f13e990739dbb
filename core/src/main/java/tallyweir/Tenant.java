package tallyweir;

import tallyweir.ring.SlidingWindow;

/**
 * This server's part of a tenant's quota, in queries per second, and the tenant's queries read here, retries
 * excluded.
 */
record Tenant(double quotaPerSecond, SlidingWindow reads) {}
