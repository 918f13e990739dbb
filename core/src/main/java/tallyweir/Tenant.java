package tallyweir;

import tallyweir.ring.Ring;

/** A tenant's share for this server and its reads here. */
record Tenant(double perSecond, Ring reads) {}
