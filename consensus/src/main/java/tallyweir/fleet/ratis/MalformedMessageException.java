package tallyweir.fleet.ratis;

import java.io.IOException;

/** Thrown for bytes that are not exactly one valid message of the expected type. No part of such a message is used. */
final class MalformedMessageException extends IOException {
    private static final long serialVersionUID = 1;

    MalformedMessageException(String message) {
        super(message);
    }

    MalformedMessageException(String message, Throwable cause) {
        super(message, cause);
    }
}
