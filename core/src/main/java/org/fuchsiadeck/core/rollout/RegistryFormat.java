package org.fuchsiadeck.core.rollout;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.fuchsiadeck.core.model.VersionShares.ServiceVersion;

/**
 * The text form of a {@link RolloutRegistry}, as the platform's service keeps it: one line for each rollout, move,
 * condemned version and version that took over, with named fields.
 */
public final class RegistryFormat {
    private RegistryFormat() {}

    /**
     * Writes a book.
     *
     * @param book the book
     * @return its text form
     */
    public static String serialize(RolloutRegistry book) {
        StringBuilder out = new StringBuilder();
        for (Rollout rollout : book.rollouts().values()) {
            out.append(rolloutLine(rollout));
            rollout.moves().forEach(m -> out.append(moveLine(rollout.service(), m)));
        }
        book.condemned().values().forEach(c -> out.append(condemnedLine(c)));
        book.takenOver().forEach((version, number) -> out.append(takenOverLine(version, number)));
        return out.toString();
    }

    /**
     * Reads a book.
     *
     * @param text the text form
     * @return the book
     * @throws IllegalArgumentException if the text is not the text form of a book; the message names the line
     */
    public static RolloutRegistry parse(String text) {
        RolloutRegistry book = RolloutRegistry.EMPTY;
        int number = 0;
        for (String line : text.split("\n")) {
            number++;
            try {
                book = line.isBlank() ? book : add(book, line);
            } catch (RuntimeException e) {
                throw new IllegalArgumentException("line " + number + ": " + e.getMessage(), e);
            }
        }
        return book;
    }

    private static RolloutRegistry add(RolloutRegistry book, String line) {
        String[] parts = line.split(" ");
        Fields f = Fields.parse(parts);
        return switch (parts[0]) {
            case "rollout" -> book.with(rollout(f));
            case "move" -> book.with(moved(book, f));
            case "condemned" -> book.with(condemned(f));
            case "taken_over" -> book.withTakenOver(version(f), f.number("number"));
            default -> throw new IllegalArgumentException("unknown entry " + parts[0]);
        };
    }

    private static Rollout rollout(Fields f) {
        return new Rollout(
                f.text("service"),
                f.number("number"),
                f.text("old"),
                f.text("new"),
                (int) f.number("early_percent"),
                f.number("started"),
                f.number("due"),
                Rollout.InsufficientEvidencePolicy.valueOf(f.text("too_little")),
                RolloutStage.valueOf(f.text("stage")),
                List.of());
    }

    private static Rollout moved(RolloutRegistry book, Fields f) {
        Rollout r = book.rollouts()
                .get(f.text("service"))
                .getOrElseThrow(() -> new IllegalArgumentException("a move before its rollout"));
        List<Rollout.Move> moves = new ArrayList<>(r.moves());
        moves.add(new Rollout.Move(f.number("at"), RolloutStage.valueOf(f.text("stage")), f.text("reason")));
        return new Rollout(
                r.service(),
                r.number(),
                r.oldVersion(),
                r.newVersion(),
                r.earlyPercent(),
                r.startedWallMs(),
                r.dueWallMs(),
                r.tooLittle(),
                r.stage(),
                moves);
    }

    private static Condemnation condemned(Fields f) {
        return new Condemnation(version(f), f.number("number"), f.text("reason"));
    }

    private static ServiceVersion version(Fields f) {
        return new ServiceVersion(f.text("service"), f.text("version"));
    }

    private static String rolloutLine(Rollout r) {
        return "rollout service=" + escape(r.service())
                + " number=" + r.number()
                + " old=" + escape(r.oldVersion())
                + " new=" + escape(r.newVersion())
                + " early_percent=" + r.earlyPercent()
                + " started=" + r.startedWallMs()
                + " due=" + r.dueWallMs()
                + " too_little=" + r.tooLittle()
                + " stage=" + r.stage()
                + "\n";
    }

    private static String moveLine(String service, Rollout.Move m) {
        return "move service=" + escape(service)
                + " at=" + m.atWallMs()
                + " stage=" + m.stage()
                + " reason=" + escape(m.reason())
                + "\n";
    }

    private static String condemnedLine(Condemnation c) {
        return "condemned service=" + escape(c.version().service())
                + " version=" + escape(c.version().version())
                + " number=" + c.number()
                + " reason=" + escape(c.reason())
                + "\n";
    }

    private static String takenOverLine(ServiceVersion version, long number) {
        return "taken_over service=" + escape(version.service())
                + " version=" + escape(version.version())
                + " number=" + number
                + "\n";
    }

    private static String escape(String text) {
        return text.replace("%", "%25")
                .replace(" ", "%20")
                .replace("=", "%3D")
                .replace("\r", "%0D")
                .replace("\n", "%0A");
    }

    private static String unescape(String text) {
        return text.replace("%0A", "\n")
                .replace("%0D", "\r")
                .replace("%3D", "=")
                .replace("%20", " ")
                .replace("%25", "%");
    }

    private record Fields(Map<String, String> values) {
        static Fields parse(String[] parts) {
            Map<String, String> values = new HashMap<>();
            for (int i = 1; i < parts.length; i++) {
                int equals = parts[i].indexOf('=');
                if (equals < 1) {
                    throw new IllegalArgumentException("a field must be name=value, was " + parts[i]);
                }
                values.put(parts[i].substring(0, equals), unescape(parts[i].substring(equals + 1)));
            }
            return new Fields(values);
        }

        String text(String name) {
            String value = values.get(name);
            if (value == null) {
                throw new IllegalArgumentException("the field " + name + " is missing");
            }
            return value;
        }

        long number(String name) {
            return Long.parseLong(text(name));
        }
    }
}
