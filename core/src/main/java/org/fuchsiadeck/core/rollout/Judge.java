package org.fuchsiadeck.core.rollout;

import io.vavr.collection.TreeMap;
import org.fuchsiadeck.core.rollout.VerdictRule.Judgement;
import org.fuchsiadeck.core.rollout.VerdictRule.Verdict;

/**
 * Applies a rule to all that is known of a rollout: to the whole of it, and to the recent part, since some faults show
 * late.
 */
public final class Judge {
    private Judge() {}

    /**
     * Judges the whole and the recent evidence of a rollout.
     *
     * @param rule the rule
     * @param rollout the rollout
     * @param total what was seen since the rollout began
     * @param recent what was seen lately
     * @return the verdict; bad if either part is bad
     */
    public static Judgement judge(VerdictRule rule, Rollout rollout, Evidence total, Evidence recent) {
        Judgement whole = rule.judge(rollout, total);
        if (whole.verdict() == Verdict.BAD) {
            return whole;
        }
        Judgement late = rule.judge(rollout, baseline(rollout, total).plus(only(rollout.newVersion(), recent)));
        return late.verdict() == Verdict.BAD ? late : whole;
    }

    static Judgement judge(VerdictRule rule, RolloutState state, long nowMs, Rollout rollout) {
        return judge(rule, rollout, merge(state, rollout, nowMs, true), merge(state, rollout, nowMs, false));
    }

    static Evidence merge(RolloutState state, Rollout rollout, long nowMs, boolean whole) {
        Evidence sum = state.own()
                .get(rollout.service())
                .map(o -> whole ? o.total() : o.at(nowMs).recent())
                .getOrElse(Evidence.EMPTY);
        for (Observations other :
                state.others().getOrElse(rollout.service(), TreeMap.empty()).values()) {
            if (other.number() == rollout.number()) {
                sum = sum.plus(whole ? other.total() : other.at(nowMs).recent());
            }
        }
        return sum;
    }

    private static Evidence baseline(Rollout rollout, Evidence total) {
        return only(rollout.oldVersion(), total);
    }

    private static Evidence only(String version, Evidence evidence) {
        return new Evidence(evidence.cells().filterKeys(c -> c.version().equals(version)));
    }
}
