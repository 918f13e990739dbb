package tallyweir.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import tallyweir.fleet.Fault;
import tallyweir.fleet.table.Change;
import tallyweir.fleet.table.Table;

/** The file of a whole revision: the one reader of its format. */
public final class RevisionFile {
    private RevisionFile() {}

    /**
     * Reads a whole revision.
     *
     * @throws tallyweir.fleet.FleetException with {@link Fault.BodyFaulty}, which names all keys that are faulty
     */
    public static Table parse(byte[] json) {
        FaultList faults = new FaultList();
        EntryReader reader = new EntryReader(faults);
        reader.sections(tree(json));
        if (!faults.isEmpty()) {
            throw new Fault.BodyFaulty(faults.reasons()).thrown();
        }
        List<Change> all = new ArrayList<>();
        reader.entries().forEach((key, value) -> all.add(new Change(key, Optional.empty(), Optional.of(value))));
        return Table.EMPTY.apply(all);
    }

    /** The JSON object of a file. */
    static Tree tree(byte[] json) {
        try (JsonParser in = new JsonFactory().createParser(json)) {
            in.nextToken();
            return Tree.read(in, "");
        } catch (JsonProcessingException e) {
            throw new Fault.BodyFaulty("it is not valid JSON: " + e.getOriginalMessage()).thrown();
        } catch (IOException e) {
            throw new Fault.BodyFaulty("it cannot be read: " + e).thrown();
        } catch (BadSetting e) {
            throw new Fault.BodyFaulty("it" + e.getMessage()).thrown();
        }
    }
}
