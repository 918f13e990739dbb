package tallyweir.tool.bench;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Figures of a process are read from the system. */
class ProcessUsageTest {
    @Test
    void thisProcessHasUsedTimeAndMemory() throws Exception {
        ProcessUsage usage = ProcessUsage.of(ProcessHandle.current().pid());
        assertTrue(usage.cpuMillis() > 0);
        assertTrue(usage.cpuMillis() < 3_600_000);
        assertTrue(usage.residentKb() > 10_000);
    }

    @Test
    void theMachineHasBeenAtLeastAsBusyAsThisProcess() throws Exception {
        long own = ProcessUsage.of(ProcessHandle.current().pid()).cpuMillis();
        assertTrue(MachineUsage.now().busyMillis() >= own);
    }
}
