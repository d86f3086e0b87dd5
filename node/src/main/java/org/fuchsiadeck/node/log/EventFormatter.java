package org.fuchsiadeck.node.log;

import org.fuchsiadeck.core.EventCode;
import org.jboss.logmanager.ExtLogRecord;
import org.jboss.logmanager.formatters.JsonFormatter;

/**
 * Formats log records as JSON lines, with the fields of numbered events.
 */
final class EventFormatter extends JsonFormatter {
    private static final int EVENT_PARAMETERS = 2;

    private final String node;

    EventFormatter(String node) {
        this.node = node;
        setRecordDelimiter("\n");
        setExceptionOutputType(ExceptionOutputType.FORMATTED);
    }

    @Override
    protected void after(Generator generator, ExtLogRecord record) throws Exception {
        generator.add("node", node);
        Object[] parameters = record.getParameters();
        boolean numbered =
                parameters != null && parameters.length == EVENT_PARAMETERS && parameters[0] instanceof EventCode;
        if (numbered) {
            EventCode code = (EventCode) parameters[0];
            generator.add("event", code.number());
            generator.add("name", code.name());
            generator.add("detail", String.valueOf(parameters[1]));
        }
        super.after(generator, record);
    }
}
