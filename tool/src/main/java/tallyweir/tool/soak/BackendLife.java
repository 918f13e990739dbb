package tallyweir.tool.soak;

import java.util.ArrayList;
import java.util.List;

/** When one backend was told to leave, killed, and stood still, as the one who did it knows. Any thread may ask. */
final class BackendLife {
    /**
     * @param noticed when it was told to leave, 0 where it was killed without notice
     * @param killed when the kill was begun
     * @param gone when the process was known to be gone
     */
    record Death(long noticed, long killed, long gone) {}

    private record Pause(long began, long ended) {}

    private final List<Death> deaths = new ArrayList<>();
    private final List<Pause> pauses = new ArrayList<>();

    synchronized void died(long noticed, long killed, long gone) {
        deaths.add(new Death(noticed, killed, gone));
    }

    synchronized void stood(long began, long ended) {
        pauses.add(new Pause(began, ended));
    }

    /** Whether the backend was killed without notice while a connection to it was open: that frees what was written on it. */
    synchronized boolean wasKilledWithoutNotice(long connected, long ended) {
        return deaths.stream()
                .anyMatch(death -> death.noticed == 0 && connected <= death.gone && death.killed <= ended);
    }

    /** Whether a request was with the backend when it was killed after a notice. */
    synchronized boolean wasKilledAfterNotice(long written, long ended) {
        return deaths.stream().anyMatch(death -> death.noticed != 0 && written <= death.gone && death.killed <= ended);
    }

    /** The notice under which the backend stood at a moment, 0 for none. */
    synchronized long noticeAt(long moment) {
        return deaths.stream()
                .filter(death -> death.noticed != 0 && death.noticed <= moment && moment <= death.killed)
                .mapToLong(Death::noticed)
                .findFirst()
                .orElse(0);
    }

    synchronized boolean stoodDuring(long from, long to) {
        return pauses.stream().anyMatch(pause -> pause.began <= to && from <= pause.ended);
    }

    synchronized long drains() {
        return deaths.stream().filter(death -> death.noticed != 0).count();
    }

    synchronized long kills() {
        return deaths.stream().filter(death -> death.noticed == 0).count();
    }
}
