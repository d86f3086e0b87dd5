package org.fuchsiadeck.core.rollout;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.fuchsiadeck.core.model.VersionShares.ServiceVersion;

/**
 * Text format of a {@link RolloutRegistry} in the platform's service. It has one line of named fields for each rollout,
 * stage change, condemned version and version that took over.
 */
public final class RegistryFormat {
    private RegistryFormat() {}

    /**
     * Serializes a registry.
     *
     * @param registry the registry
     * @return its text form
     */
    public static String serialize(RolloutRegistry registry) {
        StringBuilder out = new StringBuilder();
        for (Rollout rollout : registry.rollouts().values()) {
            out.append(rolloutLine(rollout));
            rollout.moves().forEach(m -> out.append(moveLine(rollout.service(), m)));
        }
        registry.condemned().values().forEach(c -> out.append(condemnedLine(c)));
        registry.takenOver().forEach((version, number) -> out.append(takenOverLine(version, number)));
        return out.toString();
    }

    /**
     * Parses a registry.
     *
     * @param text the text form
     * @return the registry
     * @throws IllegalArgumentException if the text is not the text form of a registry; the message names the line
     */
    public static RolloutRegistry parse(String text) {
        RolloutRegistry registry = RolloutRegistry.EMPTY;
        int number = 0;
        for (String line : text.split("\n")) {
            number++;
            try {
                registry = line.isBlank() ? registry : withLine(registry, line);
            } catch (RuntimeException e) {
                throw new IllegalArgumentException("line " + number + ": " + e.getMessage(), e);
            }
        }
        return registry;
    }

    private static RolloutRegistry withLine(RolloutRegistry registry, String line) {
        String[] parts = line.split(" ");
        Fields fields = Fields.parse(parts);
        return switch (parts[0]) {
            case "rollout" -> registry.with(rollout(fields));
            case "move" -> registry.with(withMove(registry, fields));
            case "condemned" -> registry.with(condemned(fields));
            case "taken_over" -> registry.withTakenOver(version(fields), fields.number("number"));
            default -> throw new IllegalArgumentException("unknown entry " + parts[0]);
        };
    }

    private static Rollout rollout(Fields fields) {
        return new Rollout(
                fields.text("service"),
                fields.number("number"),
                fields.text("old"),
                fields.text("new"),
                (int) fields.number("early_percent"),
                fields.number("started"),
                fields.number("due"),
                Rollout.InsufficientEvidencePolicy.valueOf(fields.text("too_little")),
                RolloutStage.valueOf(fields.text("stage")),
                List.of());
    }

    private static Rollout withMove(RolloutRegistry registry, Fields fields) {
        Rollout r = registry.rollouts()
                .get(fields.text("service"))
                .getOrElseThrow(() -> new IllegalArgumentException(
                        "expected the rollout of service " + fields.text("service") + " before its move"));
        List<Rollout.Move> moves = new ArrayList<>(r.moves());
        moves.add(new Rollout.Move(
                fields.number("at"), RolloutStage.valueOf(fields.text("stage")), fields.text("reason")));
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

    private static Condemnation condemned(Fields fields) {
        return new Condemnation(version(fields), fields.number("number"), fields.text("reason"));
    }

    private static ServiceVersion version(Fields fields) {
        return new ServiceVersion(fields.text("service"), fields.text("version"));
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
