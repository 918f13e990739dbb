package tallyweir.fleet;

import java.util.ArrayList;
import java.util.List;
import tallyweir.ids.TenantId;

/**
 * The floors that a server may use, for any tenant: the minimum over all caps that were in force here since the fleet last
 * declared the floors free. A floor that rose since then may still be lent to others, and one that fell stays at its lower
 * value even if it rose again.
 */
final class FloorHistory {
    private static final int MAX_CAPS = 32; // with more, all floors are 0 until they are declared free again

    private final List<Caps> capsSinceFree = new ArrayList<>();
    private boolean isComplete; // whether capsSinceFree holds all caps since the floors were last free
    private Caps capsInForce = Caps.NONE;
    private int slots = 1;
    private double floorShare;

    /** Sets how floors are derived from caps in this fleet. */
    void configure(int slots, double floorShare) {
        this.slots = slots;
        this.floorShare = floorShare;
    }

    /** Other caps have come into force here. */
    void onCapsInForce(Caps caps) {
        capsInForce = caps;
        if (!isComplete) {
            return;
        }
        if (capsSinceFree.size() < MAX_CAPS) {
            capsSinceFree.add(caps);
        } else {
            capsSinceFree.clear();
            isComplete = false;
        }
    }

    /** The fleet has declared that the floors of the caps in force here may be used. */
    void onFloorsFree() {
        capsSinceFree.clear();
        capsSinceFree.add(capsInForce);
        isComplete = true;
    }

    /** The floor that follows from the caps in force. */
    int floorInForce(TenantId tenant) {
        return floor(capsInForce, tenant);
    }

    /** The floor that may be used now. */
    int usableFloor(TenantId tenant) {
        if (!isComplete) {
            return 0;
        }
        int minFloor = Integer.MAX_VALUE;
        for (Caps caps : capsSinceFree) {
            minFloor = Math.min(minFloor, floor(caps, tenant));
        }
        return minFloor;
    }

    private int floor(Caps caps, TenantId tenant) {
        int cap = caps.of(tenant);
        return cap == Caps.UNCAPPED ? 0 : Gate.floor(cap, floorShare, slots);
    }

    /** A text that is equal for equal states; the exploration of states compares it. */
    String describe() {
        return isComplete + "," + capsSinceFree.size();
    }
}
