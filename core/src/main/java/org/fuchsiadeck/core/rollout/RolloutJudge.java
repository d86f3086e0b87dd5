package org.fuchsiadeck.core.rollout;

import io.vavr.collection.TreeMap;
import org.fuchsiadeck.core.rollout.VerdictRule.Judgement;

/**
 * Applies a verdict rule to the merged evidence of all nodes: to all of it, and to the recent part, since some faults
 * show late.
 */
final class RolloutJudge {
    private RolloutJudge() {}

    static Judgement judge(VerdictRule rule, RolloutState state, long nowMs, Rollout rollout) {
        return rule.judge(
                rollout, mergeEvidence(state, rollout, nowMs, true), mergeEvidence(state, rollout, nowMs, false));
    }

    static Evidence mergeEvidence(RolloutState state, Rollout rollout, long nowMs, boolean sinceStart) {
        EvidenceAccumulator sum = new EvidenceAccumulator();
        state.own()
                .get(rollout.service())
                .forEach(own ->
                        sum.add(sinceStart ? own.total() : own.advancedTo(nowMs).recent()));
        for (Observations other :
                state.others().getOrElse(rollout.service(), TreeMap.empty()).values()) {
            if (other.number() == rollout.number()) {
                sum.add(sinceStart ? other.total() : other.advancedTo(nowMs).recent());
            }
        }
        return sum.toEvidence();
    }
}
