package tallyweir.fleet;

import java.util.ArrayList;
import java.util.List;
import tallyweir.ids.TenantId;

/**
 * The floors that a server may use, for any tenant: the minimum over all caps that were in force here since the fleet last
 * declared the floors free. A floor that rose since then may still be lent to others, and one that fell stays at its lower
 * value even if it rose again.
 */
final class FloorMemory {
    private static final int CAPS_MOST = 32; // with more, all floors are 0 until they are declared free again

    private final List<Caps> sinceFree = new ArrayList<>();
    private boolean known; // whether capsSinceFree holds all caps since the floors were last free
    private Caps inForce = Caps.NONE;
    private int places = 1;
    private double floorShare;

    /** Sets how floors are derived from caps in this fleet. */
    void settings(int places, double floorShare) {
        this.places = places;
        this.floorShare = floorShare;
    }

    /** Other caps have come into force here. */
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

    /** The fleet has declared that the floors of the caps in force here may be used. */
    void free() {
        sinceFree.clear();
        sinceFree.add(inForce);
        known = true;
    }

    /** The floor that follows from the caps in force. */
    int inForce(TenantId tenant) {
        return floor(inForce, tenant);
    }

    /** The floor that may be used now. */
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

    /** A text that is equal for equal states; the exploration of states compares it. */
    String describe() {
        return known + "," + sinceFree.size();
    }
}
