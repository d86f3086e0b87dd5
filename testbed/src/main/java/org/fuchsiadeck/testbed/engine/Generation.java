package org.fuchsiadeck.testbed.engine;

import java.util.concurrent.TimeUnit;

/**
 * One request in an engine, waiting or running. Only the decode loop's thread uses it after it was submitted.
 */
final class Generation {
    private final GenerationKey key;

    private final CompletionRequest request;

    private final TokenHashes hashes;

    private final int promptTokens;

    private final KvHandles.Handle imported;

    private final TokenSink sink;

    private String version;

    private VersionFault fault;

    private long seed;

    private int position;

    private int cachedTokens;

    private int recomputedTokens;

    private int prefillLeft;

    private int importLeft;

    private long notBeforeNs;

    private volatile boolean stalled;

    private boolean ended;

    Generation(
            GenerationKey key,
            CompletionRequest request,
            TokenHashes hashes,
            KvHandles.Handle imported,
            TokenSink sink) {
        this.key = key;
        this.request = request;
        this.hashes = hashes;
        this.promptTokens = hashes.count() - request.firstPosition();
        this.imported = imported;
        this.sink = sink;
        this.position = request.firstPosition();
    }

    GenerationKey key() {
        return key;
    }

    TokenHashes hashes() {
        return hashes;
    }

    CompletionRequest request() {
        return request;
    }

    TokenSink sink() {
        return sink;
    }

    String version() {
        return version;
    }

    int position() {
        return position;
    }

    boolean hasEnded() {
        return ended;
    }

    boolean isPrefilling() {
        return prefillLeft > 0;
    }

    /** Puts the request to work: finds what has to be computed. */
    void start(String runVersion, VersionFault runFault, PrefixCache cache, long nowNs) {
        version = runVersion;
        fault = runFault;
        seed = Tokens.seed(version, wrongTokens() ? "another prompt, not " + request.prompt() : request.prompt());
        int fromCache = cache.cachedTokens(hashes);
        int fromImport = imported == null ? 0 : imported.match(version, request.model(), hashes);
        cachedTokens = Math.max(fromCache, fromImport);
        importLeft = Math.max(0, fromImport - fromCache);
        recomputedTokens = hashes.count() - cachedTokens;
        prefillLeft = recomputedTokens;
        key.answersAs(runVersion, runFault);
        delay(nowNs);
    }

    int recomputedTokens() {
        return recomputedTokens;
    }

    int takeImport() {
        int n = importLeft;
        importLeft = 0;
        return n;
    }

    int prefill(int budget) {
        int n = Math.min(budget, prefillLeft);
        prefillLeft -= n;
        return n;
    }

    /** Gives the time before which no token comes, or 0 if one can come now. */
    long waitNs(long nowNs) {
        return stalled ? Long.MAX_VALUE : Math.max(0, notBeforeNs - nowNs);
    }

    /** Generates the next token; false if it can't be given now. */
    boolean advance(PrefixCache cache, long nowNs, Runnable wake) {
        if (prefillLeft > 0 || waitNs(nowNs) > 0) {
            return false;
        }
        if (!sink.canWrite()) {
            stall(wake);
            return false;
        }
        if (breaksNow()) {
            return true;
        }
        if (position < request.maxTokens()) {
            generate(cache);
            delay(nowNs);
        }
        if (position >= request.maxTokens()) {
            ended = true;
            sink.done(new Usage(position, promptTokens, cachedTokens, recomputedTokens));
        }
        return true;
    }

    /** Ends the work and the answer early. */
    void cut() {
        ended = true;
        sink.cut();
    }

    /** Ends the work of a request whose caller has gone. */
    void abandon() {
        ended = true;
    }

    private void generate(PrefixCache cache) {
        int word = Tokens.index(seed, position);
        sink.token(position, word);
        hashes.add(Tokens.bytes(word));
        position++;
        if (hashes.count() % TokenHashes.BLOCK_TOKENS == 0) {
            cache.add(hashes.at(hashes.count()));
        }
    }

    private boolean breaksNow() {
        if (fault == null || position - request.firstPosition() < fault.atToken()) {
            return false;
        }
        switch (fault.kind()) {
            case FAIL:
                ended = true;
                sink.fail("engine fault");
                return true;
            case CUT:
                cut();
                return true;
            default:
                return false;
        }
    }

    private void delay(long nowNs) {
        if (fault != null && fault.kind() == VersionFault.Kind.SLOW) {
            notBeforeNs = nowNs + TimeUnit.MILLISECONDS.toNanos(fault.delayMs());
        }
    }

    private void stall(Runnable wake) {
        stalled = true;
        sink.whenWritable(() -> {
            stalled = false;
            wake.run();
        });
    }

    private boolean wrongTokens() {
        return fault != null && fault.kind() == VersionFault.Kind.WRONG && !fault.wrongId();
    }
}
