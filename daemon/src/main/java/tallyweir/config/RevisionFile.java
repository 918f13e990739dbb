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

/** Parser of the file that holds a complete revision. */
public final class RevisionFile {
    private RevisionFile() {}

    /**
     * Parses a complete revision.
     *
     * @throws tallyweir.fleet.FleetException with {@link Fault.BodyFaulty}, which names all invalid keys
     */
    public static Table parse(byte[] json) {
        FaultList faults = new FaultList();
        EntryReader reader = new EntryReader(faults);
        reader.readSections(parseObject(json));
        if (!faults.isEmpty()) {
            throw new Fault.BodyFaulty(faults.reasons()).toException();
        }
        List<Change> changes = new ArrayList<>();
        reader.entries().forEach((key, value) -> changes.add(new Change(key, Optional.empty(), Optional.of(value))));
        return Table.EMPTY.apply(changes);
    }

    /**
     * Parses a file as one JSON object.
     *
     * @throws tallyweir.fleet.FleetException with {@link Fault.BodyFaulty} if it is not one
     */
    static SettingsObject parseObject(byte[] json) {
        try (JsonParser in = new JsonFactory().createParser(json)) {
            in.nextToken();
            return SettingsObject.read(in, "");
        } catch (JsonProcessingException e) {
            throw new Fault.BodyFaulty("it is not valid JSON: " + e.getOriginalMessage()).toException();
        } catch (IOException e) {
            throw new Fault.BodyFaulty("it cannot be read: " + e).toException();
        } catch (InvalidSettingException e) {
            // The path of the root is empty, so the message begins with " is".
            throw new Fault.BodyFaulty("it" + e.getMessage()).toException();
        }
    }
}
