package org.fuchsiadeck.cli.load;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.fuchsiadeck.core.model.Address;

/**
 * Makes the requests of a run. Prompts of one group begin with the same words, whatever their kind.
 */
final class Payloads {
    private static final String[] WORDS = {
        "শিশু",
        "ভাত",
        "ডাল",
        "স্কুল",
        "খাতা",
        "মাস",
        "উপস্থিত",
        "ডিম",
        "techo",
        "lluvia",
        "ladera",
        "teja",
        "visita",
        "register",
        "present",
        "absent",
        "roof",
        "survey",
        "count",
        "week"
    };
    private static final long GROUP_SEED = 77_000;

    private final long seed;
    private final int prefixWords;
    private final Map<Integer, String[]> prefixes = new ConcurrentHashMap<>();

    Payloads(Experiment experiment, long seed) {
        this.seed = seed;
        this.prefixWords = experiment.requests().stream()
                .mapToInt(RequestMix::prefixWords)
                .max()
                .orElse(0);
    }

    /** Returns the id of a request, which is also that of its entry. */
    String id(Planned planned) {
        return "r" + seed + "-" + planned.number();
    }

    /** Returns the prompt of a stream. */
    String prompt(Planned planned) {
        StringBuilder prompt = new StringBuilder();
        String[] prefix = prefixes.computeIfAbsent(planned.group(), this::prefix);
        for (int i = 0; i < planned.request().prefixWords(); i++) {
            prompt.append(prefix[i]).append(' ');
        }
        for (int i = 0; i < planned.request().ownWords(); i++) {
            prompt.append(id(planned)).append('/').append(i).append(' ');
        }
        return prompt.toString();
    }

    /** Builds a request; the prompt is used for streams only. */
    CallerRequest build(Planned planned, Address to, String prompt) {
        RequestMix kind = planned.request();
        Map<String, String> headers = new HashMap<>();
        headers.put(CallerRequest.TEAM, planned.team());
        headers.put(CallerRequest.REQUEST_ID, id(planned));
        String path = kind.path().replace("*", "g" + planned.group());
        return switch (kind.kind()) {
            case READ -> new CallerRequest(to, "GET", path, headers, "");
            case STREAM -> new CallerRequest(to, "POST", path, headers, completion(kind, prompt));
            case ENTRY -> {
                headers.put(CallerRequest.KEY, id(planned));
                String body = object().put("entry", id(planned)).toString();
                yield new CallerRequest(to, "POST", path, headers, body);
            }
        };
    }

    private static String completion(RequestMix kind, String prompt) {
        return object().put("model", kind.model())
                .put("prompt", prompt)
                .put("max_tokens", kind.maxTokens())
                .put("stream", true)
                .toString();
    }

    private String[] prefix(int group) {
        Random random = new Random(GROUP_SEED + group);
        String[] words = new String[prefixWords];
        for (int i = 0; i < prefixWords; i++) {
            words[i] = WORDS[random.nextInt(WORDS.length)];
        }
        return words;
    }

    private static ObjectNode object() {
        return JsonNodeFactory.instance.objectNode();
    }
}
