package tallyweir.fleet;

import java.util.ArrayList;
import java.util.List;
import tallyweir.ids.TenantId;

/**
 * The floors that a server may use, of any tenant: the least of those by all caps that were in force here since the fleet
 * said last that floors are free. A floor that rises after that may still be lent, and one that fell counts as fallen
 * even where it rose again.
 */
final class FloorMemory {
    private static final int CAPS_MOST = 32; // beyond it all floors are nothing, until they are free again

    private final List<Caps> sinceFree = new ArrayList<>();
    private boolean known; // whether all that came since floors were free is remembered
    private Caps inForce = Caps.NONE;
    private int places = 1;
    private double floorShare;

    /** How floors come of caps in this fleet. */
    void settings(int places, double floorShare) {
        this.places = places;
        this.floorShare = floorShare;
    }

    /** Other caps are in force here from now on. */
    void caps(Caps caps) {
        inForce = caps;
        if (!known) {
            return;
        }
        if (sinceFree.size() < CAPS_MOST) {
            sinceFree.add(caps);
        } else {
            sinceFree.clear();
            known = false;
        }
    }

    /** The fleet says that the floors by the caps in force here may be used. */
    void free() {
        sinceFree.clear();
        sinceFree.add(inForce);
        known = true;
    }

    /** The floor by the caps in force. */
    int inForce(TenantId tenant) {
        return floor(inForce, tenant);
    }

    /** The floor that may be used. */
    int usable(TenantId tenant) {
        if (!known) {
            return 0;
        }
        int least = Integer.MAX_VALUE;
        for (Caps caps : sinceFree) {
            least = Math.min(least, floor(caps, tenant));
        }
        return least;
    }

    private int floor(Caps caps, TenantId tenant) {
        int cap = caps.of(tenant);
        return cap == Caps.UNCAPPED ? 0 : Gate.floor(cap, floorShare, places);
    }

    /** All that its future hangs on. */
    String describe() {
        return known + "," + sinceFree.size();
    }
}
