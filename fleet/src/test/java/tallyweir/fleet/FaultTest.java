package tallyweir.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.reflect.RecordComponent;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/** Checks that the operators' page lists exactly the kinds of fault, each with its exit code. */
class FaultTest {
    private static Fault sample(Class<? extends Fault> kind) throws ReflectiveOperationException {
        RecordComponent[] facts = kind.getRecordComponents();
        Class<?>[] types = new Class<?>[facts.length];
        Object[] values = new Object[facts.length];
        for (int i = 0; i < facts.length; i++) {
            types[i] = facts[i].getType();
            values[i] = types[i] == String.class ? "FACT" + i : types[i] == int.class ? (Object) 7 : (Object) 70L;
        }
        return kind.getDeclaredConstructor(types).newInstance(values);
    }

    @Test
    void operatorsPageListsAllKindsWithTheirExitCodes() throws Exception {
        List<String> onPage = new ArrayList<>();
        for (String line : Files.readAllLines(Path.of("../docs/ops/fleet.md"))) {
            if (line.matches("\\| `[A-Z][A-Za-z]+` \\| [0-9]+ \\| .+ \\|")) {
                String[] cells = line.split(" \\| ");
                onPage.add(cells[0].replaceAll("[| `]", "") + " " + cells[1]);
            }
        }
        List<String> types = new ArrayList<>();
        for (Class<? extends Fault> kind : Fault.kinds()) {
            types.add(kind.getSimpleName() + " " + sample(kind).exitCode());
        }
        assertEquals(types, onPage);
        assertEquals(Set.of(Fault.class.getPermittedSubclasses()), Set.copyOf(Fault.kinds()));
    }

    @Test
    void eachKindShowsItsFactsAndGivesAdvice() throws Exception {
        Set<Integer> exits = new TreeSet<>();
        for (Class<? extends Fault> kind : Fault.kinds()) {
            Fault fault = sample(kind);
            exits.add(fault.exitCode());
            assertTrue(
                    fault.description().contains("FACT") || fault.description().contains("7"), fault.description());
            assertTrue(fault.advice().length() > 10, fault.advice());
            assertEquals(fault, fault.toException().fault());
        }
        assertEquals(Fault.kinds().size(), exits.size(), "each kind has its own exit code");
    }
}
