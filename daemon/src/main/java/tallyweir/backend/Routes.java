package tallyweir.backend;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.SplittableRandom;
import tallyweir.config.Routing.Target;
import tallyweir.fleet.RevisionId;
import tallyweir.ids.WorkloadId;

/** Where queries call, under one revision; a query keeps what it was given at read until its end. */
final class Routes {
    /** Under no revision: each server calls where it was configured to. */
    static final Routes NONE = new Routes(RevisionId.NONE, List.of());

    final RevisionId revision;
    final List<Target> stores;

    Routes(RevisionId revision, List<Target> stores) {
        this.revision = revision;
        this.stores = List.copyOf(stores);
    }

    /** The store of a query, drawn by weight; null where no revision names any. */
    InetSocketAddress store(WorkloadId workload, SplittableRandom chance) {
        int all = 0;
        for (Target t : stores) {
            all += t.serves(workload) ? t.weight() : 0;
        }
        int at = all == 0 ? 0 : chance.nextInt(all);
        for (Target t : stores) {
            at -= t.serves(workload) ? t.weight() : 0;
            if (at < 0) {
                return t.at();
            }
        }
        return null;
    }
}
